"""Rows of the store that keep quarantines, and crashes not told directly.

A quarantine outlives all entries. Entries that cannot reach one another, but
the store, learn of crashes from it. The rows stand beside the entries' own ones
and are followed with them.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import msgspec
from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.platform.poison_relay import PoisonMessage, PoisonRelay
from bergamotthread.platform.store import (
    PlatformStoreClient,
    RowChange,
    StoreCallError,
    StoredRow,
)
from bergamotthread.platform.watches import ENTRY_TABLE
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.wire.messages import Quarantine

QUARANTINE_PREFIX = 'quarantine/'
CRASHES_PREFIX = 'crashes/'
# Time between two writes of an entry's row of crashes, and its share for each
# registered entry: together they write at most 100 times a second.
CRASHES_INTERVAL_MS = 500
CRASHES_INTERVAL_PER_ENTRY_MS = 10
# Crashes are no longer of use to others after this time.
CRASHES_AGE_MAX_MS = 600_000
SAVE_RETRY_MS = 1000
UNSAVED_MAX = 256
# Rows of past quarantines that are removed when a new one is written.
REMOVED_MAX = 4
_HASH_BASE = 16


class _QuarantineRow(msgspec.Struct, frozen=True):
    """Stored quarantine; `until_ms` is calendar time."""

    deaths: int
    until_ms: int
    decided_by: str


class _CrashesRow(msgspec.Struct, frozen=True):
    """What an entry could not tell all; `written_ms` is calendar time."""

    written_ms: int
    message: PoisonMessage


@dataclass
class PoisonRows:
    """Writes rows of this entry, and applies those of the others."""

    clock: Clock
    store: PlatformStoreClient
    relay: PoisonRelay
    log: DecisionLog
    _own_hashes: set[int] = field(default_factory=set)
    _unsaved: dict[str, bytes] = field(default_factory=dict)
    _past_row_by_key: dict[str, StoredRow] = field(default_factory=dict)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _crashes_due_ms: float = 0

    def save_quarantine(self, notice: Quarantine) -> None:
        """Write a quarantine that this entry decided."""
        remaining_ms = self.relay.guard.quarantine_remaining_ms(
            notice.fingerprint
        )
        until_ms = self.clock.calendar_ms() + int(remaining_ms)
        self._own_hashes.add(notice.fingerprint)
        row = _QuarantineRow(notice.deaths, until_ms, self.relay.feeds.own_host)
        self._save(
            f'{QUARANTINE_PREFIX}{notice.fingerprint:016x}',
            msgspec.json.encode(row),
        )

    def save_all_again(self) -> None:
        """Write the quarantines in force of this entry; the store lost rows."""
        for notice, _ in self.relay.guard.quarantines():
            if notice.fingerprint in self._own_hashes:
                self.save_quarantine(notice)

    def save_crashes(self, message: PoisonMessage) -> None:
        """Write what could not be told to all entries, within the rate."""
        now_ms = self.clock.now_ms()
        if now_ms < self._crashes_due_ms:
            return
        self._crashes_due_ms = now_ms + max(
            CRASHES_INTERVAL_MS,
            CRASHES_INTERVAL_PER_ENTRY_MS * len(self.relay.feeds),
        )
        row = _CrashesRow(self.clock.calendar_ms(), message)
        self._save(f'{CRASHES_PREFIX}{message.host}', msgspec.json.encode(row))

    def apply(self, row: StoredRow) -> bool:
        """Apply a row of the table; return whether it is one of these."""
        try:
            if row.key.startswith(QUARANTINE_PREFIX):
                name = row.key.removeprefix(QUARANTINE_PREFIX)
                self._apply_quarantine(row, int(name, _HASH_BASE))
            elif row.key.startswith(CRASHES_PREFIX):
                self._apply_crashes(row)
            else:
                return False
        except (msgspec.MsgspecError, ValueError) as error:
            logging.warning('row %s is ignored: %s', row.key, error)
        return True

    async def run(self) -> None:
        """Write rows until cancelled; after a failure again later."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            try:
                await self._write_all()
            except StoreCallError as error:
                self.log.write('quarantine-not-saved', detail=str(error))
                self._changed.set()
                await self.clock.sleep_ms(SAVE_RETRY_MS)

    def _save(self, key: str, payload: bytes) -> None:
        self._unsaved[key] = payload
        if len(self._unsaved) > UNSAVED_MAX:
            self._unsaved.pop(next(iter(self._unsaved)))
        self._changed.set()

    async def _write_all(self) -> None:
        while self._unsaved:
            key, payload = next(iter(self._unsaved.items()))
            await self.store.put(ENTRY_TABLE, key, payload)
            if self._unsaved.get(key) == payload:
                self._unsaved.pop(key)
        for key in tuple(self._past_row_by_key)[:REMOVED_MAX]:
            past = self._past_row_by_key.pop(key)
            await self.store.change(
                RowChange(ENTRY_TABLE, key, None, past.version)
            )

    def _apply_quarantine(self, row: StoredRow, fingerprint: int) -> None:
        if row.payload is None:
            self._past_row_by_key.pop(row.key, None)
            self.relay.lift(fingerprint)
            return
        stored = msgspec.json.decode(row.payload, type=_QuarantineRow)
        remaining_ms = stored.until_ms - self.clock.calendar_ms()
        if remaining_ms <= 0:
            self._past_row_by_key[row.key] = row
            return
        notice = Quarantine(fingerprint, stored.deaths, confirmed=True)
        self.relay.apply_quarantine(notice, remaining_ms, stored.decided_by)

    def _apply_crashes(self, row: StoredRow) -> None:
        if row.payload is None:
            return
        stored = msgspec.json.decode(row.payload, type=_CrashesRow)
        age_ms = max(self.clock.calendar_ms() - stored.written_ms, 0)
        is_own = stored.message.host == self.relay.feeds.own_host
        if not is_own and age_ms < CRASHES_AGE_MAX_MS:
            self.relay.apply_message(stored.message, age_ms)
