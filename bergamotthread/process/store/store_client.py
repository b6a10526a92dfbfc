"""Client of the platform that a slow or silent store can not stall.

Every access has a timeout, counts towards the rate limit of the process and
takes one of a limited number of concurrent slots. A circuit breaker rejects
accesses while the store does not answer. Reads are retried within a retry
budget. A write is sent once, since only its writer can find out whether an
unanswered write took effect.
"""

from __future__ import annotations

import asyncio
import enum
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import TypeVar

from bergamotthread.clock import Clock
from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.errors import (
    Step,
    StoreConflictError,
    StoreUnavailableError,
)
from bergamotthread.process.overload.circuit import CircuitBreaker
from bergamotthread.process.overload.retry_credit import RetryCredit
from bergamotthread.process.settings import PlatformSettings
from bergamotthread.process.shares.rate_share import RateLimiter
from bergamotthread.process.store.platform import (
    HostEntry,
    HostList,
    ObjectStore,
    Row,
    StoreReturns,
    Table,
)

_Answer = TypeVar('_Answer')
_Access = Callable[[], Awaitable[_Answer]]
_MS_PER_S = 1000
_BACKOFF_MS = 50
_MAX_READS = 3


class StoreNotAskedError(StoreUnavailableError):
    """The access was rejected before it was sent; it has no effect."""


class StoreUse(enum.Enum):
    """Purpose of an access; audit records have the lowest priority."""

    CALLS = 'calls'
    PUBLICATION = 'publication'
    LEASES = 'leases'
    AUDIT = 'audit'


@dataclass(frozen=True)
class StoreLimits:
    """Limits on the accesses of one process to the store.

    Parameters
    ----------
    reads_per_s, writes_per_s
        Rate limits of the process.
    timeout_ms
        Timeout of one access, including the wait for the rate limit.
    concurrent
        Maximum number of concurrent accesses.
    """

    reads_per_s: float = 2
    writes_per_s: float = 1
    timeout_ms: float = 1000
    concurrent: int = 64

    @classmethod
    def from_settings(cls, settings: PlatformSettings) -> StoreLimits:
        """Return the limits in the platform settings."""
        return cls(
            reads_per_s=settings.reads_per_s,
            writes_per_s=settings.writes_per_s,
            timeout_ms=settings.timeout_ms,
        )


def _not_asked_error(cause: str) -> StoreNotAskedError:
    return StoreNotAskedError(f'store not asked: {cause}', step=Step.STORE)


@dataclass
class StoreGuard:
    """Sends accesses to the store within the limits of the process."""

    limits: StoreLimits
    clock: Clock
    rng: random.Random = field(default_factory=random.Random)

    def __post_init__(self) -> None:
        self.circuit = CircuitBreaker(self.clock, rng=self.rng)
        self.reads = RateLimiter(self.clock, self.limits.reads_per_s)
        self.writes = RateLimiter(self.clock, self.limits.writes_per_s)
        self.budget = RetryCredit()
        self._slots = asyncio.Semaphore(self.limits.concurrent)

    async def write(
        self,
        use: StoreUse,
        access: _Access[_Answer],
    ) -> _Answer:
        """Send a write once.

        Raises
        ------
        StoreNotAskedError
            If the write was rejected before it was sent.
        StoreUnavailableError
            If it was sent and may have taken effect.
        """
        return await self._run_access(self.writes, use, access)

    async def read(self, use: StoreUse, access: _Access[_Answer]) -> _Answer:
        """Send a read and retry it within the retry budget.

        Raises
        ------
        StoreUnavailableError
            If the store did not answer or the read was rejected.
        """
        self.budget.earn()
        for attempt in range(1, _MAX_READS):
            try:
                return await self._run_access(self.reads, use, access)
            except StoreNotAskedError:
                raise
            except StoreUnavailableError:
                if self.circuit.is_open or not self.budget.spend():
                    raise
            await self.clock.sleep_ms(
                self.rng.random() * _BACKOFF_MS * 2**attempt,
            )
        return await self._run_access(self.reads, use, access)

    async def _run_access(
        self,
        rate_limiter: RateLimiter,
        use: StoreUse,
        access: _Access[_Answer],
    ) -> _Answer:
        if self._slots.locked():
            raise _not_asked_error(
                f'{self.limits.concurrent} accesses under way'
            )
        started_ms = self.clock.now_ms()
        async with self._slots:
            await self._admit(rate_limiter, use)
            waited_ms = self.clock.now_ms() - started_ms
            return await self._send(access, self.limits.timeout_ms - waited_ms)

    async def _admit(self, rate_limiter: RateLimiter, use: StoreUse) -> None:
        if not self.circuit.is_ready:
            raise _not_asked_error('circuit is open')
        granted = await rate_limiter.acquire(
            preferred=use is not StoreUse.AUDIT,
            timeout_ms=self.limits.timeout_ms / 2,
        )
        if not granted:
            raise _not_asked_error(
                f'rate share of {rate_limiter.per_s}/s is used up'
            )
        if not self.circuit.admit():
            raise _not_asked_error('circuit is open')

    async def _send(self, access: _Access[_Answer], limit_ms: float) -> _Answer:
        try:
            async with asyncio.timeout(limit_ms / _MS_PER_S):
                answer = await access()
        except StoreConflictError:
            self.circuit.record_success()
            raise
        except (StoreUnavailableError, TimeoutError) as error:
            self.circuit.record_failure()
            raise StoreUnavailableError(str(error), step=Step.STORE) from error
        except asyncio.CancelledError:
            self.circuit.release()
            raise
        self.circuit.record_success()
        return answer


@dataclass(frozen=True)
class GuardedTable(Table):
    """Table whose accesses are limited by a `StoreGuard`."""

    inner: Table
    guard: StoreGuard
    use: StoreUse

    async def read(self, key: str) -> Row | None:
        """Return the row, or None if it does not exist."""
        access = partial(self.inner.read, key)
        return await self.guard.read(self.use, access)

    async def write(self, key: str, body: bytes, *, expected: int) -> Row:
        """Write a row whose revision is `expected`."""
        access = partial(self.inner.write, key, body, expected=expected)
        return await self.guard.write(self.use, access)

    async def delete(self, key: str, *, expected: int) -> None:
        """Delete a row whose revision is `expected`."""
        access = partial(self.inner.delete, key, expected=expected)
        await self.guard.write(self.use, access)

    async def scan(self, prefix: str, *, limit: int) -> tuple[Row, ...]:
        """Return up to `limit` rows whose keys start with `prefix`."""
        access = partial(self.inner.scan, prefix, limit=limit)
        return await self.guard.read(self.use, access)


@dataclass(frozen=True)
class GuardedObjectStore(ObjectStore):
    """Object store whose accesses are limited by a `StoreGuard`."""

    inner: ObjectStore
    guard: StoreGuard
    use: StoreUse

    async def put(self, name: str, body: bytes) -> None:
        """Store an object; storing the same body again is not an error."""
        access = partial(self.inner.put, name, body)
        await self.guard.write(self.use, access)

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""
        access = partial(self.inner.get, name)
        return await self.guard.read(self.use, access)

    async def names(self, prefix: str, *, limit: int) -> tuple[str, ...]:
        """Return up to `limit` names that start with `prefix`, sorted."""
        access = partial(self.inner.names, prefix, limit=limit)
        return await self.guard.read(self.use, access)


@dataclass(frozen=True)
class GuardedHostList(HostList):
    """Host list whose reads are limited by a `StoreGuard`."""

    inner: HostList
    guard: StoreGuard

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return all hosts that the platform lists."""
        return await self.guard.read(StoreUse.LEASES, self.inner.hosts)


@dataclass(frozen=True)
class StoreClient:
    """Access to the platform's store and host list within the limits."""

    inner_table: Table
    inner_objects: ObjectStore
    inner_hosts: HostList
    guard: StoreGuard
    connections: UpstreamPool | None = None
    returns: StoreReturns = field(default_factory=StoreReturns)

    def table(self, use: StoreUse) -> GuardedTable:
        """Return the table for accesses of one purpose."""
        return GuardedTable(self.inner_table, self.guard, use)

    def object_store(self, use: StoreUse) -> GuardedObjectStore:
        """Return the object store for accesses of one purpose."""
        return GuardedObjectStore(self.inner_objects, self.guard, use)

    def hosts(self) -> GuardedHostList:
        """Return the host list."""
        return GuardedHostList(self.inner_hosts, self.guard)

    def close(self) -> None:
        """Close the connections to the platform."""
        if self.connections is not None:
            self.connections.close()
