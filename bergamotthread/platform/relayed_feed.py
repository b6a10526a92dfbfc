"""Relays changes of the store's tables to other entries.

An entry serves the same feed call as the store, from the changes that it has
read, and adds how long ago the store confirmed them. Entries that follow it
use the same client as for the store.
"""

from __future__ import annotations

import asyncio
import base64
import zlib
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import lru_cache
from urllib.parse import parse_qsl

import msgspec

from bergamotthread.clock import Clock
from bergamotthread.connection.http.caller_connection import (
    CallerConnection,
    CallerLimits,
    Exchange,
)
from bergamotthread.platform.store import (
    PACKED_FIELD,
    StoredRow,
    WireRow,
    WireRows,
)

FEED_PATH = b'/api/rows-feed'
# Changes of one table kept for other entries; a manifest takes 20 to 800 KB.
KEPT_CHANGES_MAX = 200
# Rows of at least this size are compressed for followers.
PACKED_BYTES_MIN = 4096
# Compressed rows that are kept, for the followers that ask one after the other.
_PACKED_ROWS_KEPT = 4
FEED_WAIT_MAX_MS = 10_000
_GONE = 410


@dataclass
class TableHistory:
    """Most recent changes of one table, and when they were confirmed.

    Parameters
    ----------
    version
        Version of the store up to which the changes are complete.
    kept_after_version
        Version after which the changes are kept.
    confirmed_ms
        Boot clock time, which includes suspension, up to which all writes are
        known.
    is_direct
        Whether the latest changes came from the store itself.
    """

    clock: Clock
    version: int = 0
    kept_after_version: int = 0
    confirmed_ms: float = 0
    is_direct: bool = True
    _changes: deque[StoredRow] = field(default_factory=deque)
    _updated: asyncio.Event = field(default_factory=asyncio.Event)

    def restart(self, version: int, requested_ms: float) -> None:
        """Drop the kept changes; the whole table was read at `version`.

        Parameters
        ----------
        requested_ms
            Boot clock time at which the read was requested.
        """
        self._changes.clear()
        self.kept_after_version = version
        self.is_direct = True
        self._confirm(version, requested_ms)

    def add(
        self,
        rows: Iterable[StoredRow],
        version: int,
        requested_ms: float,
        is_direct: bool,
    ) -> None:
        """Append changes; all writes up to `requested_ms` are then known.

        Parameters
        ----------
        is_direct
            Whether the changes came from the store itself.
        """
        self.is_direct = is_direct
        for row in rows:
            if len(self._changes) >= KEPT_CHANGES_MAX:
                self.kept_after_version = self._changes.popleft().version
            self._changes.append(row)
        self._confirm(version, requested_ms)

    async def changes_after(
        self,
        version: int,
        wait_ms: float,
        *,
        is_packed: bool = False,
    ) -> WireRows | None:
        """Return the changes after a version.

        Parameters
        ----------
        is_packed
            Whether to compress large rows.

        If there are none yet, wait up to `wait_ms`, but no longer than
        `FEED_WAIT_MAX_MS`, for the next confirmation. Return None if some of
        the changes are no longer kept or the table has not been read yet.
        The result has the age of the latest confirmation.
        """
        if version < self.kept_after_version or not self.version:
            return None
        called_ms = self.clock.boot_ms()
        event = self._updated
        if self._lacks_news(version, wait_ms):
            await _wait_for_event(
                event, min(wait_ms, FEED_WAIT_MAX_MS), self.clock
            )
        if version < self.kept_after_version:
            return None
        rows = tuple(
            _wire_row(row, is_packed=is_packed)
            for row in self._changes
            if row.version > version
        )
        now_ms = self.clock.boot_ms()
        return WireRows(
            rows,
            self.version,
            age_ms=now_ms - self.confirmed_ms,
            waited_ms=now_ms - called_ms,
            is_direct=self.is_direct,
        )

    def _lacks_news(self, version: int, wait_ms: float) -> bool:
        """Return whether a follower gains more from the next confirmation.

        The version rises with changes of other tables. A confirmation older
        than the follower's wait is too old for it.
        """
        if version >= self.version:
            return True
        has_rows = any(row.version > version for row in self._changes)
        is_recent = self.clock.boot_ms() - self.confirmed_ms < wait_ms
        return not has_rows and not is_recent

    def _confirm(self, version: int, requested_ms: float) -> None:
        self.version = max(version, self.version)
        self.confirmed_ms = max(requested_ms, self.confirmed_ms)
        event = self._updated
        self._updated = asyncio.Event()
        event.set()


@dataclass
class RelayedFeedServer:
    """Serves the feed call to other entries."""

    clock: Clock
    history_by_table: dict[str, TableHistory]
    connections: set[CallerConnection] = field(default_factory=set)
    limits: CallerLimits = CallerLimits()
    is_draining: bool = False

    async def answer(self, exchange: Exchange) -> None:
        """Answer one feed call.

        The status is 404 if the path or the table is unknown or the version
        is not a number, and 410 if `TableHistory.changes_after` returns None.
        """
        path, _, query = exchange.request.target.partition(b'?')
        fields = dict(parse_qsl(query.decode('latin-1')))
        history = self.history_by_table.get(fields.get('table', ''))
        after = fields.get('after', '')
        if path != FEED_PATH or history is None or not after.isdigit():
            exchange.respond(404, ())
            return
        wait_ms = fields.get('wait_ms', '0')
        changes = await history.changes_after(
            int(after),
            float(wait_ms) if wait_ms.isdigit() else 0,
            is_packed=PACKED_FIELD in fields,
        )
        if changes is None:
            exchange.respond(_GONE, ())
            return
        exchange.respond(200, (), msgspec.json.encode(changes))


async def _wait_for_event(
    event: asyncio.Event, wait_ms: float, clock: Clock
) -> None:
    try:
        async with clock.timeout_ms(wait_ms):
            await event.wait()
    except TimeoutError:
        return


def _wire_row(row: StoredRow, *, is_packed: bool) -> WireRow:
    if row.payload is None:
        return WireRow(row.key, deleted=True, ver=row.version)
    if is_packed and len(row.payload) >= PACKED_BYTES_MIN:
        return WireRow(
            row.key, encoded=_pack(row.payload), ver=row.version, is_packed=True
        )
    encoded = base64.b64encode(row.payload).decode()
    return WireRow(row.key, encoded=encoded, ver=row.version)


@lru_cache(maxsize=_PACKED_ROWS_KEPT)
def _pack(payload: bytes) -> str:
    return base64.b64encode(zlib.compress(payload)).decode()
