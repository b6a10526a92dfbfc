"""Lease of a region with a fence, stored as a row of the platform's table."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from bergamotthread.clock import Clock
from bergamotthread.errors import StoreConflictError, StoreUnavailableError
from bergamotthread.process.store.platform import Row, Table

KEY_PREFIX = 'lease/orders/'
REGION_LEASE_MS = 15_000
TAKE_OVER_MARGIN_MS = 5000
RENEW_INTERVAL_MS = 5000


class LeaseRow(msgspec.Struct, frozen=True):
    """Content of the row; `attempt` identifies the write to its writer."""

    holder: str
    fence: int
    attempt: str


@dataclass(frozen=True)
class _SeenRevision:
    revision: int
    since_ms: float


def lease_key(region: str) -> str:
    """Return the key of a region's row."""
    return KEY_PREFIX + region


def decode_lease(row: Row | None) -> LeaseRow | None:
    """Return the content of a row, or None if there is no row."""
    if row is None:
        return None
    return msgspec.json.decode(row.body, type=LeaseRow)


class RegionLease:
    """View of one process on the lease of one region.

    The holder measures the lease from before the write that renewed it. Other
    processes measure from when they first saw the current revision of the row.
    If it doesn't change for `REGION_LEASE_MS` and a margin of
    `TAKE_OVER_MARGIN_MS`, they take over with the next fence. All use their own
    monotonic clocks, so calendar clocks need not agree.

    Parameters
    ----------
    table
        The platform's table.
    clock
        Clock of the process.
    region
        Region of the lease.
    holder
        Address of the process.
    incarnation
        Incarnation of the process.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        region: str,
        holder: str,
        incarnation: int,
    ) -> None:
        self.fence = 0
        self._table = table
        self._clock = clock
        self._key = lease_key(region)
        self._holder = holder
        self._name = f'{holder}/{incarnation}'
        self._attempts = 0
        self._attempt_sent_ms: dict[str, float] = {}
        self._valid_until_ms = float(0)
        self._seen: _SeenRevision | None = None

    def is_valid(self) -> bool:
        """Return whether this process holds the lease now."""
        return self.fence > 0 and self._clock.now_ms() < self._valid_until_ms

    def give_up(self) -> None:
        """Stop acting as the holder, since a newer fence was seen."""
        self._valid_until_ms = float(0)

    async def run(self, is_candidate: Callable[[], bool]) -> None:
        """Renew or watch the lease until cancelled.

        Parameters
        ----------
        is_candidate
            Returns whether this process may take over the lease. If not, it
            still renews a lease that it holds.
        """
        while True:
            if is_candidate() or self.is_valid():
                await self.step()
            await self._clock.sleep_ms(RENEW_INTERVAL_MS)

    async def step(self) -> None:
        """Read the row once, and renew or take over the lease if due."""
        try:
            await self._step()
        except StoreUnavailableError:
            return
        except StoreConflictError:
            self._seen = None

    async def _step(self) -> None:
        row = await self._table.read(self._key)
        lease = decode_lease(row)
        if row is None or lease is None:
            await self._write(expected=0, fence=1)
            return
        self._detect_own_write(row, lease)
        if self.is_valid() and lease.fence == self.fence:
            await self._write(expected=row.revision, fence=self.fence)
        elif self._is_expired(row):
            await self._write(expected=row.revision, fence=lease.fence + 1)

    def _detect_own_write(self, row: Row, lease: LeaseRow) -> None:
        """Detect an own write whose reply was lost, and changes of the row."""
        sent_ms = self._attempt_sent_ms.get(lease.attempt)
        if sent_ms is not None and lease.fence >= self.fence:
            self._set_held(lease.fence, sent_ms)
        elif lease.fence > self.fence:
            self.give_up()
        now_ms = self._clock.now_ms()
        if self._seen is None or self._seen.revision != row.revision:
            self._seen = _SeenRevision(row.revision, now_ms)

    def _is_expired(self, row: Row) -> bool:
        seen = self._seen
        if seen is None or seen.revision != row.revision:
            return False
        unchanged_ms = self._clock.now_ms() - seen.since_ms
        return unchanged_ms >= REGION_LEASE_MS + TAKE_OVER_MARGIN_MS

    async def _write(self, *, expected: int, fence: int) -> None:
        self._attempts += 1
        attempt = f'{self._name}/{self._attempts}'
        sent_ms = self._clock.now_ms()
        self._attempt_sent_ms = {attempt: sent_ms}
        body = msgspec.json.encode(LeaseRow(self._holder, fence, attempt))
        row = await self._table.write(self._key, body, expected=expected)
        self._seen = _SeenRevision(row.revision, sent_ms)
        self._set_held(fence, sent_ms)

    def _set_held(self, fence: int, sent_ms: float) -> None:
        self.fence = fence
        self._valid_until_ms = max(
            self._valid_until_ms, sent_ms + REGION_LEASE_MS
        )
