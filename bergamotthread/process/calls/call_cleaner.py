"""Upkeep of the rows of calls, within the write budget.

Rows whose key lifetime is over are deleted, and rows whose holder went silent
after the dispatch become unknown, so that operators see them.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.errors import StoreConflictError, StoreUnavailableError
from bergamotthread.process.store.platform import Row, Table
from bergamotthread.request.call_row import (
    CALL_PREFIX,
    CallRow,
    Dispatched,
    Unknown,
    decode_row,
    encode_row,
    is_expired,
    settle,
    unknown_key,
)
from bergamotthread.request.call_store import write_unknown_index

LOG_INTERVAL_S = 60
_DIGITS = '0123456789abcdef'


@dataclass(frozen=True)
class CleanerLimits:
    """Limits of the upkeep by one process.

    Parameters
    ----------
    interval_ms
        Time between two steps; each step scans one prefix.
    scan_rows
        Rows that a scan returns; a prefix with more is narrowed.
    writes
        Rows that a step writes or deletes at most.
    grace_ms
        Time after its lease before a dispatched row becomes unknown.
    digits
        Hexadecimal digits of the prefix that is scanned at first.
    """

    interval_ms: float = 10_000
    scan_rows: int = 200
    writes: int = 10
    grace_ms: int = 60_000
    digits: int = 2


@dataclass(frozen=True)
class CleanerStep:
    """What one step found and did."""

    scanned: int = 0
    deleted: int = 0
    marked: int = 0


@dataclass
class CallCleaner:
    """Scans the rows of calls, one random prefix after another.

    All entries clean without a coordinator; two that meet at one row are told
    apart by compare-and-set.
    """

    table: Table
    clock: Clock
    limits: CleanerLimits = CleanerLimits()
    rng: random.Random = field(default_factory=random.Random)
    _writes_left: int = 0

    async def run(self) -> None:
        """Clean at an interval until cancelled."""
        while True:
            jitter = self.rng.uniform(0.5, 1.5)
            await self.clock.sleep_ms(self.limits.interval_ms * jitter)
            try:
                await self.step()
            except StoreUnavailableError as error:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    'upkeep of calls waits for the store: %s',
                    LOG_INTERVAL_S,
                    error,
                )

    async def step(self) -> CleanerStep:
        """Clean the rows of one prefix."""
        rows = await self._scan()
        self._writes_left = self.limits.writes
        deleted = 0
        marked = 0
        for row in rows:
            if self._writes_left <= 0:
                break
            call_row = decode_row(row.body)
            if is_expired(call_row, self.clock.calendar_ms()):
                deleted += await self._delete(row)
            else:
                marked += await self._mark(row, call_row)
        return CleanerStep(len(rows), deleted, marked)

    async def _scan(self) -> tuple[Row, ...]:
        prefix = CALL_PREFIX + self._random_digits(self.limits.digits)
        rows = await self.table.scan(prefix, limit=self.limits.scan_rows)
        while len(rows) >= self.limits.scan_rows:
            prefix += self._random_digits(1)
            rows = await self.table.scan(prefix, limit=self.limits.scan_rows)
        return rows

    def _random_digits(self, count: int) -> str:
        return ''.join(self.rng.choices(_DIGITS, k=count))

    async def _delete(self, row: Row) -> bool:
        self._writes_left -= 1
        try:
            await self.table.delete(row.key, expected=row.revision)
        except StoreConflictError:
            return False
        return True

    async def _mark(self, row: Row, call_row: CallRow) -> bool:
        match call_row.state:
            case Unknown():
                return await self._index(row)
            case Dispatched(sending=sending, lease_until_ms=lease_until_ms):
                now_ms = self.clock.calendar_ms()
                if now_ms < lease_until_ms + self.limits.grace_ms:
                    return False
                goal = Unknown(sending, 'its holder went silent')
                lost = settle(call_row, goal, 'cleaner', now_ms)
                return lost is not None and await self._write(row, lost)
        return False

    async def _index(self, row: Row) -> bool:
        if await self.table.read(unknown_key(row.key)) is not None:
            return False
        self._writes_left -= 1
        await write_unknown_index(self.table, row.key)
        return True

    async def _write(self, row: Row, call_row: CallRow) -> bool:
        self._writes_left -= 2
        await write_unknown_index(self.table, row.key)
        try:
            await self.table.write(
                row.key,
                encode_row(call_row),
                expected=row.revision,
            )
        except StoreConflictError:
            return False
        return True
