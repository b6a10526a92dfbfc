"""Rows of calls, written again if the store comes back without them.

An entry keeps the call rows that the store acknowledged to it lately. When the
store returns from a copy, the entry writes those again that the copy lacks or
holds in an earlier state. Meanwhile all accesses to call rows fail as in an
outage, so that no key is reserved anew before its outcome is back.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass

from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.errors import (
    Step,
    StoreConflictError,
    StoreUnavailableError,
)
from bergamotthread.process.store.platform import Row, StoreReturns, Table
from bergamotthread.request.call_row import (
    CALL_PREFIX,
    CallRow,
    Dispatched,
    Done,
    Refused,
    Reserved,
    Resolved,
    Unknown,
    decode_row,
    is_expired,
)

# Rows are kept for several times the age of a copy, which is some seconds.
KEPT_MS = 15_000
KEPT_ROWS_MAX = 5000
# Time after a return in which the entries write their rows again. Calls wait
# for it within the time for which they bear an outage (1500 ms).
REWRITE_MS = 1000
# An entry that keeps rows asks the store this often, so that it finds a return
# in time also while it has no calls.
WATCH_INTERVAL_MS = 300
REWRITES_AT_ONCE = 8
RETRY_DELAY_MS = 50

# Order in which a call passes through its states under one fencing token.
_ORDER = (Reserved, Dispatched, Unknown, Refused, Done, Resolved)


@dataclass(frozen=True, slots=True)
class _KeptRow:
    row: Row
    kept_ms: float


class KeptCallRows(Table):
    """Table that outlives a return of the store from a copy, for call rows.

    Attributes
    ----------
    rewritten_count
        Rows written again since the start.
    """

    def __init__(
        self, inner: Table, clock: Clock, returns: StoreReturns
    ) -> None:
        self._inner = inner
        self._clock = clock
        self._kept_by_key: dict[str, _KeptRow] = {}
        self._settled_ms = -math.inf
        self._rewriting: asyncio.Task[None] | None = None
        self.rewritten_count = 0
        returns.listeners.append(self._handle_return)

    async def run(self) -> None:
        """Find returns of the store while rows are kept, until cancelled."""
        while True:
            await self._clock.sleep_ms(WATCH_INTERVAL_MS)
            self._drop_old()
            newest_key = next(reversed(self._kept_by_key), None)
            if newest_key is None:
                continue
            try:
                await self._inner.read(newest_key)
            except StoreUnavailableError as error:
                logging.debug('store not asked for its era: %s', error)

    async def read(self, key: str) -> Row | None:
        """Return the row, or None if it does not exist."""
        self._check_settled(key)
        row = await self._inner.read(key)
        self._check_settled(key)
        if row is not None:
            self._keep(row)
        return row

    async def write(self, key: str, body: bytes, *, expected: int) -> Row:
        """Write a row whose revision is `expected`."""
        self._check_settled(key)
        row = await self._inner.write(key, body, expected=expected)
        self._keep(row)
        self._check_settled(key)
        return row

    async def delete(self, key: str, *, expected: int) -> None:
        """Delete a row whose revision is `expected`."""
        await self._inner.delete(key, expected=expected)
        self._kept_by_key.pop(key, None)

    async def scan(self, prefix: str, *, limit: int) -> tuple[Row, ...]:
        """Return up to `limit` rows whose keys start with `prefix`."""
        return await self._inner.scan(prefix, limit=limit)

    def _check_settled(self, key: str) -> None:
        remaining_ms = self._settled_ms - self._clock.now_ms()
        if remaining_ms > 0 and key.startswith(CALL_PREFIX):
            raise StoreUnavailableError(
                f'the store came back older; rows of calls are written again '
                f'for {remaining_ms:.0f} ms',
                step=Step.STORE,
            )

    def _keep(self, row: Row) -> None:
        if not row.key.startswith(CALL_PREFIX):
            return
        kept = self._kept_by_key.pop(row.key, None)
        # A key that is reserved anew in a store that came back older has the
        # lower state of the two.
        if kept is not None and self._is_later(kept.row, row):
            row = kept.row
        self._kept_by_key[row.key] = _KeptRow(row, self._clock.now_ms())
        if len(self._kept_by_key) > KEPT_ROWS_MAX:
            self._kept_by_key.pop(next(iter(self._kept_by_key)))

    def _drop_old(self) -> None:
        oldest_ms = self._clock.now_ms() - KEPT_MS
        for key, kept in tuple(self._kept_by_key.items()):
            if kept.kept_ms >= oldest_ms:
                return
            self._kept_by_key.pop(key)

    def _handle_return(self) -> None:
        self._settled_ms = self._clock.now_ms() + REWRITE_MS
        if self._rewriting is not None:
            self._rewriting.cancel()
        self._rewriting = asyncio.create_task(self._rewrite_all())

    async def _rewrite_all(self) -> None:
        """Write the kept rows again, the newest first."""
        rows = [kept.row for kept in reversed(self._kept_by_key.values())]
        for start in range(0, len(rows), REWRITES_AT_ONCE):
            batch = rows[start : start + REWRITES_AT_ONCE]
            await asyncio.gather(*(self._rewrite(row) for row in batch))
        logging.warning(
            'the store came back older: %d call rows checked, '
            '%d written again since the start',
            len(rows),
            self.rewritten_count,
        )

    async def _rewrite(self, row: Row) -> None:
        give_up_ms = self._clock.now_ms() + KEPT_MS
        while self._clock.now_ms() < give_up_ms:
            try:
                await self._write_if_later(row)
            except (StoreConflictError, StoreUnavailableError) as error:
                logging.debug('row %s not written again: %s', row.key, error)
                await self._clock.sleep_ms(RETRY_DELAY_MS)
            else:
                return

    async def _write_if_later(self, row: Row) -> None:
        stored = await self._inner.read(row.key)
        if not self._is_later(row, stored):
            return
        revision = stored.revision if stored else 0
        written = await self._inner.write(row.key, row.body, expected=revision)
        self._keep(written)
        self.rewritten_count += 1

    def _is_later(self, known: Row, stored: Row | None) -> bool:
        """Return whether a known row follows the one that the store holds."""
        call_row = decode_row(known.body)
        if is_expired(call_row, self._clock.calendar_ms()):
            return False
        return stored is None or (
            _progress(call_row) > _progress(decode_row(stored.body))
        )


def _progress(row: CallRow) -> tuple[int, int]:
    return row.fence, _ORDER.index(type(row.state))
