"""Propagates counted deaths and quarantines.

Both are sent to peers; quarantines also go to the table and the audit trail.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.errors import StoreConflictError
from bergamotthread.process.poison.guard import PoisonGuard, QuarantineSink
from bergamotthread.process.poison.limits import QUARANTINE_MS
from bergamotthread.process.store.platform import Table
from bergamotthread.wire.messages import Quarantine

QUARANTINE_PREFIX = 'quarantine/'
QUARANTINE_ROWS_MAX = 1000
UNSAVED_ROWS_MAX = 256


class QuarantineRow(msgspec.Struct, frozen=True):
    """Stored quarantine; `until_ms` is in milliseconds since the Unix epoch."""

    fingerprint: int
    deaths: int
    until_ms: int
    decided_by: str


class QuarantineAuditSink(Protocol):
    """Receiver of records for the audit trail."""

    def quarantine_recorded(self, row: QuarantineRow) -> None:
        """Record a quarantine that this process confirmed."""


def quarantine_key(content_hash: int) -> str:
    """Return the row key for a fingerprint."""
    return f'{QUARANTINE_PREFIX}{content_hash:016x}'


@dataclass
class QuarantinePublisher(QuarantineSink):
    """Sends quarantines to peers and keeps rows until the table stores them.

    Quarantines are sent immediately. Counted deaths are sent by `flush`, and
    only the newest number of each fingerprint: the loss of a failure domain,
    after which the numbers fall back to zero, then causes no traffic.
    """

    clock: Clock
    transport: Transport
    table: Table
    audit: QuarantineAuditSink
    peers: Callable[[], tuple[str, ...]]
    dropped_rows: int = 0
    _unsaved: list[QuarantineRow] = field(default_factory=list)

    def quarantined(self, notice: Quarantine) -> None:
        """Send a quarantine to all peers and queue its row for `save`.

        If more than `UNSAVED_ROWS_MAX` rows are queued, the oldest one is
        dropped and counted in `dropped_rows`.
        """
        self._send_to_peers(notice)
        row = QuarantineRow(
            fingerprint=notice.fingerprint,
            deaths=notice.deaths,
            until_ms=self.clock.calendar_ms() + QUARANTINE_MS,
            decided_by=self.transport.address,
        )
        self.audit.quarantine_recorded(row)
        self._unsaved.append(row)
        if len(self._unsaved) > UNSAVED_ROWS_MAX:
            self._unsaved.pop(0)
            self.dropped_rows += 1

    def flush(self, guard: PoisonGuard) -> None:
        """Send changed numbers of counted deaths to peers.

        It is called about once a second.
        """
        for notice in guard.pop_changed_charges():
            self._send_to_peers(notice)

    async def save(self) -> None:
        """Write all queued rows to the table.

        Raises
        ------
        StoreUnavailableError
            If the table does not answer; the rows stay queued for the next
            call.
        """
        while self._unsaved:
            row = self._unsaved[0]
            await self._write(row)
            if row in self._unsaved:
                self._unsaved.remove(row)

    async def load(self, guard: PoisonGuard) -> None:
        """Restore the quarantines in the table that have not expired."""
        rows = await self.table.scan(
            QUARANTINE_PREFIX,
            limit=QUARANTINE_ROWS_MAX,
        )
        calendar_ms = self.clock.calendar_ms()
        for stored in rows:
            row = msgspec.json.decode(stored.body, type=QuarantineRow)
            notice = Quarantine(row.fingerprint, row.deaths, confirmed=True)
            if row.until_ms > calendar_ms:
                guard.restore_quarantine(notice, row.until_ms - calendar_ms)

    async def _write(self, row: QuarantineRow) -> None:
        key = quarantine_key(row.fingerprint)
        stored = await self.table.read(key)
        expected = stored.revision if stored else 0
        try:
            await self.table.write(
                key,
                msgspec.json.encode(row),
                expected=expected,
            )
        except StoreConflictError:
            return

    def _send_to_peers(self, notice: Quarantine) -> None:
        for peer in self.peers():
            self.transport.send(peer, notice)
