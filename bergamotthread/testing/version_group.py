"""Group of version holders in memory, with pauses, cut links and losses."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.settings import PlaceSettings
from bergamotthread.process.store.platform import Row, Table
from bergamotthread.process.store.store_client import (
    GuardedTable,
    StoreGuard,
    StoreLimits,
    StoreUse,
)
from bergamotthread.testing.memory_network import MemoryNetwork, MemoryTransport
from bergamotthread.testing.memory_platform import (
    MemoryObjectStore,
    MemoryPlatform,
    MemoryTable,
)
from bergamotthread.version.acceptance import Acceptance, AcceptanceWatch
from bergamotthread.version.distribution import VersionHolder
from bergamotthread.version.publication import Publisher
from bergamotthread.wire.messages import Envelope

SAMPLE_INTERVAL_MS = 20


@dataclass(frozen=True)
class PausableClock(Clock):
    """Clock whose sleeps end only while the process is running."""

    running: asyncio.Event

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the calling task, at least until the process is running."""
        await super().sleep_ms(duration_ms)
        await self.running.wait()


@dataclass
class PausableTable(MemoryTable):
    """Table client that returns answers only while the process is running."""

    running: asyncio.Event = field(default_factory=asyncio.Event)

    async def read(self, key: str) -> Row | None:
        """Return the row once the process is running."""
        row = await super().read(key)
        await self.running.wait()
        return row

    async def write(self, key: str, body: bytes, *, expected: int) -> Row:
        """Write the row and return it once the process is running."""
        row = await super().write(key, body, expected=expected)
        await self.running.wait()
        return row


@dataclass(frozen=True)
class Admission:
    """Time and version at which a holder was asked whether it admits."""

    at_ms: float
    address: str
    version: int


@dataclass
class GroupMember:
    """One process of the group."""

    holder: VersionHolder
    transport: MemoryTransport
    table: PausableTable
    region: str
    running: asyncio.Event
    held_back: list[Envelope] = field(default_factory=list)
    task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Return the address of the process."""
        return self.transport.address

    def receive(self, envelope: Envelope) -> None:
        """Pass an envelope to the holder or keep it during a pause."""
        if self.running.is_set():
            self.holder.on_message(envelope)
        else:
            self.held_back.append(envelope)


@dataclass
class VersionGroup:
    """Holders of a few regions, their platform and sampled admissions."""

    clock: Clock
    platform: MemoryPlatform
    network: MemoryNetwork
    holder_type: type[VersionHolder] = VersionHolder
    sample_interval_ms: float = SAMPLE_INTERVAL_MS
    members_by_address: dict[str, GroupMember] = field(default_factory=dict)
    admissions: list[Admission] = field(default_factory=list)
    refusals: list[Admission] = field(default_factory=list)
    in_force_ms_by_version: dict[int, float] = field(default_factory=dict)
    accepted_ms_by_version: dict[int, float] = field(default_factory=dict)

    @classmethod
    def from_loop(cls, network: MemoryNetwork) -> VersionGroup:
        """Return a group on the running event loop; the store takes 5 ms."""
        clock = Clock.from_loop(asyncio.get_running_loop())
        platform = MemoryPlatform(clock)
        platform.faults.delay_ms = 5
        return cls(clock, platform, network)

    def publisher(self) -> Publisher:
        """Return a publisher, as an operator's command uses it."""
        return Publisher.from_platform(
            MemoryTable(self.platform),
            MemoryObjectStore(self.platform),
            self.clock,
        )

    def add(
        self,
        region: str,
        address: str,
        incarnation: int = 1,
        *,
        has_table: bool = True,
        limits: StoreLimits | None = None,
    ) -> GroupMember:
        """Start a process, which replaces any earlier one at its address."""
        running = asyncio.Event()
        running.set()
        clock = PausableClock(
            self.clock.monotonic_s,
            self.clock.calendar_s,
            running,
        )
        transport = self.network.transport(address, incarnation)
        table = PausableTable(self.platform, running=running)
        held_table: Table | None = table if has_table else None
        if limits is not None:
            guard = StoreGuard(limits, clock, random.Random(1))
            held_table = GuardedTable(table, guard, StoreUse.PUBLICATION)
        holder = self.holder_type(
            held_table,
            MemoryObjectStore(self.platform),
            transport,
            clock,
            lambda: self.peers_of(region),
            place=PlaceSettings(address, region, f'{region}-a'),
        )
        member = GroupMember(holder, transport, table, region, running)
        transport.start(member.receive)
        self.members_by_address[address] = member
        member.task = asyncio.ensure_future(holder.run())
        return member

    def peers_of(self, region: str) -> list[str]:
        """Return the addresses of a region's processes."""
        return [
            member.address
            for member in self.members_by_address.values()
            if member.region == region
        ]

    def kill(self, address: str) -> None:
        """Stop a process without notifying the others."""
        member = self.members_by_address.pop(address)
        member.transport.close()
        if member.task is not None:
            member.task.cancel()

    def pause(self, address: str) -> None:
        """Pause a process between two instructions."""
        self.members_by_address[address].running.clear()

    def resume(self, address: str) -> None:
        """Resume a paused process and first sample what it would admit.

        Messages received during the pause are handled after the sample.
        """
        member = self.members_by_address[address]
        member.running.set()
        self._sample_member(member)
        while member.held_back:
            member.holder.on_message(member.held_back.pop(0))

    def sample(self) -> None:
        """Record what every running process would admit now."""
        for member in self.members_by_address.values():
            if member.running.is_set():
                self._sample_member(member)

    async def sample_forever(self) -> None:
        """Sample periodically until cancelled."""
        while True:
            self.sample()
            self._note_in_force()
            await self.clock.sleep_ms(self.sample_interval_ms)

    async def accept(
        self,
        version: int,
        timeout_ms: float = 60_000,
    ) -> Acceptance:
        """Wait for acceptance as the command line does and record its time."""
        watch = AcceptanceWatch(MemoryTable(self.platform), self.clock)
        acceptance = await watch.wait(version, timeout_ms=timeout_ms)
        if acceptance.is_accepted:
            self.accepted_ms_by_version[version] = self.clock.now_ms()
        return acceptance

    def violations(self) -> list[Admission]:
        """Return admissions by a version older than one already accepted."""
        return [
            admission
            for admission in self.admissions
            for version, accepted_ms in self.accepted_ms_by_version.items()
            if admission.at_ms >= accepted_ms and admission.version < version
        ]

    def _sample_member(self, member: GroupMember) -> None:
        now_ms = self.clock.now_ms()
        version = member.holder.version
        sample = Admission(now_ms, member.address, version)
        if member.holder.admission_refusal() is None:
            self.admissions.append(sample)
        else:
            self.refusals.append(sample)

    def _note_in_force(self) -> None:
        lowest = min(
            (
                member.holder.version
                for member in self.members_by_address.values()
            ),
            default=0,
        )
        for version in range(lowest, 0, -1):
            if version in self.in_force_ms_by_version:
                break
            self.in_force_ms_by_version[version] = self.clock.now_ms()
