"""The platform's table and object store in memory, with faults."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.errors import (
    Step,
    StoreConflictError,
    StoreUnavailableError,
)
from bergamotthread.process.platform import (
    HostEntry,
    HostList,
    ObjectStore,
    Row,
    Table,
)


@dataclass
class PlatformFaults:
    """Faults in force; `lost_answers` counts writes that take effect mutely."""

    down: bool = False
    delay_ms: float = 0
    lost_answers: int = 0


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

    async def before_read(self) -> None:
        """Apply delay and outage to a read."""
        self.reads += 1
        await self._delay()

    async def before_write(self) -> None:
        """Apply delay and outage to a write."""
        self.writes += 1
        await self._delay()

    def after_write(self) -> None:
        """Lose the answer of a write that took effect, if told to."""
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            raise StoreUnavailableError('answer lost', step=Step.STORE)

    async def _delay(self) -> None:
        if self.faults.delay_ms:
            await self.clock.sleep_ms(self.faults.delay_ms)
        if self.faults.down:
            raise StoreUnavailableError('platform is down', step=Step.STORE)


@dataclass
class MemoryTable(Table):
    """Client of the table of a `MemoryPlatform`; `cut` isolates this client."""

    platform: MemoryPlatform
    cut: bool = False

    async def read(self, key: str) -> Row | None:
        """Return the row, or None where there is none."""
        self._check_cut()
        await self.platform.before_read()
        return self.platform.rows_by_key.get(key)

    async def write(self, key: str, body: bytes, *, expected: int) -> Row:
        """Write a row whose revision is `expected`."""
        self._check_cut()
        await self.platform.before_write()
        self._check_revision(key, expected)
        row = Row(key, body, expected + 1)
        self.platform.rows_by_key[key] = row
        self.platform.after_write()
        return row

    async def delete(self, key: str, *, expected: int) -> None:
        """Delete a row whose revision is `expected`."""
        self._check_cut()
        await self.platform.before_write()
        self._check_revision(key, expected)
        self.platform.rows_by_key.pop(key, None)
        self.platform.after_write()

    async def scan(self, prefix: str, *, limit: int) -> tuple[Row, ...]:
        """Return up to `limit` rows whose keys start with `prefix`."""
        self._check_cut()
        await self.platform.before_read()
        keys = sorted(self.platform.rows_by_key)
        chosen = [key for key in keys if key.startswith(prefix)]
        return tuple(self.platform.rows_by_key[key] for key in chosen[:limit])

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
        """Store an object; the same name and body again is no error."""
        await self.platform.before_write()
        if self.platform.bodies_by_name.setdefault(name, body) != body:
            raise StoreConflictError(f'{name} exists', step=Step.STORE)
        self.platform.after_write()

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None where there is none."""
        await self.platform.before_read()
        return self.platform.bodies_by_name.get(name)

    async def names(self, prefix: str, *, limit: int) -> tuple[str, ...]:
        """Return up to `limit` names that start with `prefix`, sorted."""
        await self.platform.before_read()
        names = sorted(self.platform.bodies_by_name)
        return tuple(one for one in names if one.startswith(prefix))[:limit]


@dataclass
class MemoryHostList(HostList):
    """The host list of a `MemoryPlatform`."""

    platform: MemoryPlatform

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return all hosts that the platform lists."""
        await self.platform.before_read()
        return tuple(self.platform.hosts_by_address.values())
