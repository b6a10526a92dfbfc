"""The platform's table, object store and host list in memory, with faults."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from bergamotthread.clock import Clock
from bergamotthread.errors import (
    Step,
    StoreConflictError,
    StoreUnavailableError,
)
from bergamotthread.process.store.platform import (
    HostEntry,
    HostList,
    ObjectStore,
    Row,
    Table,
)

_MS_PER_S = 1000


_Answer = TypeVar('_Answer')


async def _detach(access: Coroutine[Any, Any, _Answer]) -> _Answer:
    task = asyncio.ensure_future(access)
    task.add_done_callback(_retrieve)
    return await asyncio.shield(task)


def _retrieve(task: asyncio.Task[Any]) -> None:
    if not task.cancelled():
        task.exception()


@dataclass
class PlatformFaults:
    """Faults that currently apply to the platform.

    Parameters
    ----------
    down
        Whether every access fails; writes then have no effect.
    delay_ms
        Time that each access takes before it takes effect.
    lost_answers
        Number of further writes that take effect but raise an error.
    late_answer_ms
        Time between the effect of a write and its answer.
    writes_per_s
        Rate at which writes are processed one by one; 0 for no limit.
    """

    down: bool = False
    delay_ms: float = 0
    lost_answers: int = 0
    late_answer_ms: float = 0
    writes_per_s: float = 0


@dataclass
class MemoryPlatform:
    """State shared by all clients of one platform."""

    clock: Clock
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    rows_by_key: dict[str, Row] = field(default_factory=dict)
    bodies_by_name: dict[str, bytes] = field(default_factory=dict)
    hosts_by_address: dict[str, HostEntry] = field(default_factory=dict)
    reads: int = 0
    writes: int = 0
    next_write_ms: float = 0

    async def before_read(self) -> None:
        """Apply delay and outage to a read."""
        self.reads += 1
        await self._delay()

    async def before_write(self) -> None:
        """Apply delay and outage to a write."""
        self.writes += 1
        await self._queue_write()
        await self._delay()

    async def after_write(self) -> None:
        """Apply delayed and lost answers to a write that took effect."""
        if self.faults.late_answer_ms:
            await self.clock.sleep_ms(self.faults.late_answer_ms)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            raise StoreUnavailableError('answer lost', step=Step.STORE)

    async def _queue_write(self) -> None:
        if not self.faults.writes_per_s:
            return
        now_ms = self.clock.now_ms()
        start_ms = max(now_ms, self.next_write_ms)
        self.next_write_ms = start_ms + _MS_PER_S / self.faults.writes_per_s
        await self.clock.sleep_ms(start_ms - now_ms)

    async def _delay(self) -> None:
        if self.faults.delay_ms:
            await self.clock.sleep_ms(self.faults.delay_ms)
        if self.faults.down:
            raise StoreUnavailableError('platform is down', step=Step.STORE)


@dataclass
class MemoryTable(Table):
    """Client of the table of a `MemoryPlatform`; `cut` isolates this client.

    A write continues after its caller is cancelled, like one that was sent over
    a network, so that it can take effect after the caller's timeout.
    """

    platform: MemoryPlatform
    cut: bool = False

    async def read(self, key: str) -> Row | None:
        """Return the row, or None if it does not exist."""
        self._check_cut()
        await self.platform.before_read()
        return self.platform.rows_by_key.get(key)

    async def write(self, key: str, body: bytes, *, expected: int) -> Row:
        """Write a row whose revision is `expected`."""
        self._check_cut()
        return await _detach(self._write(Row(key, body, expected + 1)))

    async def delete(self, key: str, *, expected: int) -> None:
        """Delete a row whose revision is `expected`."""
        self._check_cut()
        await _detach(self._delete(key, expected))

    async def scan(self, prefix: str, *, limit: int) -> tuple[Row, ...]:
        """Return up to `limit` rows whose keys start with `prefix`."""
        self._check_cut()
        await self.platform.before_read()
        keys = sorted(self.platform.rows_by_key)
        found = [key for key in keys if key.startswith(prefix)]
        return tuple(self.platform.rows_by_key[key] for key in found[:limit])

    async def _write(self, row: Row) -> Row:
        await self.platform.before_write()
        self._check_revision(row.key, row.revision - 1)
        self.platform.rows_by_key[row.key] = row
        await self.platform.after_write()
        return row

    async def _delete(self, key: str, expected: int) -> None:
        await self.platform.before_write()
        self._check_revision(key, expected)
        self.platform.rows_by_key.pop(key, None)
        await self.platform.after_write()

    def _check_revision(self, key: str, expected: int) -> None:
        row = self.platform.rows_by_key.get(key)
        revision = row.revision if row else 0
        if revision != expected:
            raise StoreConflictError(
                f'{key} has revision {revision}, expected {expected}',
                step=Step.STORE,
            )

    def _check_cut(self) -> None:
        if self.cut:
            raise StoreUnavailableError('client is cut off', step=Step.STORE)


@dataclass
class MemoryObjectStore(ObjectStore):
    """Client of the object store of a `MemoryPlatform`."""

    platform: MemoryPlatform

    async def put(self, name: str, body: bytes) -> None:
        """Store an object; storing the same body again is not an error."""
        await self.platform.before_write()
        if self.platform.bodies_by_name.setdefault(name, body) != body:
            raise StoreConflictError(f'{name} exists', step=Step.STORE)
        await self.platform.after_write()

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""
        await self.platform.before_read()
        return self.platform.bodies_by_name.get(name)

    async def names(self, prefix: str, *, limit: int) -> tuple[str, ...]:
        """Return up to `limit` names that start with `prefix`, sorted."""
        await self.platform.before_read()
        names = sorted(self.platform.bodies_by_name)
        return tuple(name for name in names if name.startswith(prefix))[:limit]


@dataclass
class MemoryHostList(HostList):
    """The host list of a `MemoryPlatform`."""

    platform: MemoryPlatform

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return all hosts that the platform lists."""
        await self.platform.before_read()
        return tuple(self.platform.hosts_by_address.values())
