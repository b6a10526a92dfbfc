"""Cleaning of call rows within a write budget.

Rows are deleted when the lifetime of their key is over. Dispatched rows whose
lease ended without an outcome, because their holder went silent, are marked
unknown, so that operators see them.
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
    """Limits of the cleaning by one process.

    Parameters
    ----------
    interval_ms
        Mean time between two steps; each step scans one key prefix.
    scan_rows_max
        Maximum number of rows per scan. A prefix that reaches it is made
        longer and scanned again.
    writes_max
        Number of writes and deletions after which a step ends, index rows
        included.
    grace_ms
        Time after the end of its lease at which a dispatched row is marked
        unknown.
    prefix_digits
        Number of hexadecimal digits of the first prefix of a step.
    """

    interval_ms: float = 10_000
    scan_rows_max: int = 200
    writes_max: int = 10
    grace_ms: int = 60_000
    prefix_digits: int = 2


@dataclass(frozen=True)
class CleanerStep:
    """Numbers of rows that a step scanned, deleted and marked unknown.

    Unknown rows whose missing index row was written count as marked.
    """

    scanned: int = 0
    deleted: int = 0
    marked: int = 0


@dataclass
class CallCleaner:
    """Scans call rows by random key prefixes and cleans them.

    All entries clean without a coordinator. If two of them change the same
    row, compare-and-set lets only one succeed.
    """

    table: Table
    clock: Clock
    limits: CleanerLimits = CleanerLimits()
    rng: random.Random = field(default_factory=random.Random)
    _remaining_writes: int = 0

    async def run(self) -> None:
        """Clean at a jittered interval until cancelled."""
        while True:
            jitter = self.rng.uniform(0.5, 1.5)
            await self.clock.sleep_ms(self.limits.interval_ms * jitter)
            try:
                await self.step()
            except StoreUnavailableError as error:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    'cleaning of call rows stopped until next interval: %s',
                    LOG_INTERVAL_S,
                    error,
                )

    async def step(self) -> CleanerStep:
        """Clean the rows of one prefix."""
        rows = await self._scan()
        self._remaining_writes = self.limits.writes_max
        deleted = 0
        marked = 0
        for row in rows:
            if self._remaining_writes <= 0:
                break
            call_row = decode_row(row.body)
            if is_expired(call_row, self.clock.calendar_ms()):
                deleted += await self._delete(row)
            else:
                marked += await self._mark_unknown(row, call_row)
        return CleanerStep(len(rows), deleted, marked)

    async def _scan(self) -> tuple[Row, ...]:
        prefix = CALL_PREFIX + self._random_digits(self.limits.prefix_digits)
        rows = await self.table.scan(prefix, limit=self.limits.scan_rows_max)
        while len(rows) >= self.limits.scan_rows_max:
            prefix += self._random_digits(1)
            rows = await self.table.scan(
                prefix, limit=self.limits.scan_rows_max
            )
        return rows

    def _random_digits(self, count: int) -> str:
        return ''.join(self.rng.choices(_DIGITS, k=count))

    async def _delete(self, row: Row) -> bool:
        self._remaining_writes -= 1
        try:
            await self.table.delete(row.key, expected=row.revision)
        except StoreConflictError:
            return False
        return True

    async def _mark_unknown(self, row: Row, call_row: CallRow) -> bool:
        match call_row.state:
            case Unknown():
                return await self._ensure_indexed(row)
            case Dispatched(sending=sending, lease_until_ms=lease_until_ms):
                now_ms = self.clock.calendar_ms()
                if now_ms < lease_until_ms + self.limits.grace_ms:
                    return False
                unknown = Unknown(sending, 'its holder went silent')
                settled = settle(call_row, unknown, 'cleaner', now_ms)
                return settled is not None and await self._write_unknown(
                    row, settled
                )
        return False

    async def _ensure_indexed(self, row: Row) -> bool:
        if await self.table.read(unknown_key(row.key)) is not None:
            return False
        self._remaining_writes -= 1
        await write_unknown_index(self.table, row.key)
        return True

    async def _write_unknown(self, row: Row, call_row: CallRow) -> bool:
        self._remaining_writes -= 2
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
