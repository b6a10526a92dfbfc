"""Convergence time and false removals of the membership protocol.

Run ``python -m benchmarks.membership [SIZE ...]``. The real code runs in
virtual time over an in-memory network with 10% loss.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from dataclasses import dataclass, field
from functools import partial

from bergamotthread.clock import Clock
from bergamotthread.process.membership.membership import Membership
from bergamotthread.process.settings import PlaceSettings
from bergamotthread.process.store.platform import HostEntry
from bergamotthread.testing.memory_network import (
    MemoryNetwork,
    MemoryTransport,
)
from bergamotthread.testing.memory_platform import (
    MemoryHostList,
    MemoryPlatform,
)
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.wire.messages import Envelope

REGIONS = 10
LOSS = 0.1
PAUSE_MS = 30_000
SETTLE_MS = 30_000
SETTLE_MS_PER_MEMBER = 500
STEADY_MS = 60_000
WATCH_MS = 120_000
STEP_MS = 250
DEFAULT_SIZES = (4, 16, 64, 400)


@dataclass
class Cluster:
    """Members on one simulated network, some of which may be paused."""

    loss: float = LOSS
    network: MemoryNetwork = field(init=False)
    platform: MemoryPlatform = field(init=False)
    clock: Clock = field(init=False)
    members_by_address: dict[str, Membership] = field(default_factory=dict)
    task_by_address: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    held_by_address: dict[str, list[Envelope]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the network and the platform."""
        self.clock = Clock.from_loop(asyncio.get_running_loop())
        self.network = MemoryNetwork(
            delay_ms=20, jitter_ms=20, loss=self.loss, seed=1
        )
        self.platform = MemoryPlatform(self.clock)

    def add(
        self, number: int, incarnation: int = 1, *, listed: bool = True
    ) -> str:
        """Start a member; return its address."""
        place = make_place(number)
        transport = self.network.transport(place.address, incarnation)
        if listed:
            self.platform.hosts_by_address[place.address] = HostEntry(
                place.address, 'entry', place.region, place.failure_domain
            )
        member = Membership(
            transport, self.clock, place, MemoryHostList(self.platform)
        )
        self.members_by_address[place.address] = member
        self._start(transport, member)
        return place.address

    def _start(self, transport: MemoryTransport, member: Membership) -> None:
        address = transport.address
        transport.start(partial(self._receive, address, member))
        self.task_by_address[address] = asyncio.create_task(member.run())

    def _receive(
        self, address: str, member: Membership, envelope: Envelope
    ) -> None:
        held = self.held_by_address.get(address)
        if held is None:
            member.on_message(envelope)
        else:
            held.append(envelope)

    def crash(self, address: str) -> None:
        """Stop a member without notice; it stays in the host list."""
        self.task_by_address.pop(address).cancel()
        self.members_by_address.pop(address)
        self.network.ends_by_address.pop(address)

    def pause(self, address: str) -> None:
        """Suspend a member; messages to it are queued as in its sockets."""
        self.held_by_address[address] = []
        self.task_by_address.pop(address).cancel()

    def resume(self, address: str) -> None:
        """Resume a paused member; timers run before queued messages."""
        member = self.members_by_address[address]
        member.tick()
        for envelope in self.held_by_address.pop(address):
            member.on_message(envelope)
        self.task_by_address[address] = asyncio.create_task(member.run())

    async def time_until_known(
        self, address: str, *, live: bool, limit_ms: float = WATCH_MS
    ) -> float:
        """Return the ms until all other members agree on `address`.

        Returns at least `limit_ms` if they have not agreed by then.
        """
        began_ms = self.clock.now_ms()
        while self.clock.now_ms() - began_ms < limit_ms:
            if self._agree(address, live=live):
                break
            await self.clock.sleep_ms(STEP_MS)
        return self.clock.now_ms() - began_ms

    def _agree(self, address: str, *, live: bool) -> bool:
        return all(
            (address in member.live_entries()) is live
            for observer, member in self.members_by_address.items()
            if observer != address
        )

    def highest_rate(self, began: dict[str, int], duration_ms: float) -> float:
        """Return the highest bytes/s sent by one member.

        `began` holds the bytes by sender at the start of the `duration_ms`.
        """
        highest = max(
            total - began.get(address, 0)
            for address, total in self.network.bytes_by_sender.items()
        )
        return highest * 1000 / duration_ms

    def removals(self) -> int:
        """Return the number of removals, summed over all members."""
        return sum(
            member.counters.removals
            for member in self.members_by_address.values()
        )

    def suspicions(self) -> int:
        """Return the number of suspicions, summed over all members."""
        return sum(
            member.counters.suspicions
            for member in self.members_by_address.values()
        )

    def close(self) -> None:
        """Cancel the tasks of all members."""
        for task in self.task_by_address.values():
            task.cancel()


@dataclass(frozen=True)
class Figures:
    """Figures of one cluster size; rates are in bytes per second."""

    size: int
    false_suspicions: int
    false_removals: int
    mean_rate: float
    highest_rate: float
    join_ms: float
    crash_ms: float
    cpu_us_per_member_s: float


def make_place(number: int) -> PlaceSettings:
    """Return the address, region and failure domain of a member."""
    return PlaceSettings(
        address=f'10.1.{number // 250}.{number % 250}:7000',
        region=f'region-{number % REGIONS}',
        failure_domain=f'domain-{number % 37}',
    )


async def _measure(size: int) -> Figures:
    cluster = Cluster()
    addresses = [cluster.add(number) for number in range(size)]
    await cluster.clock.sleep_ms(SETTLE_MS + SETTLE_MS_PER_MEMBER * size)
    sent_before = dict(cluster.network.bytes_by_sender)
    began_s = time.process_time()
    await cluster.clock.sleep_ms(STEADY_MS)
    cpu_us = (time.process_time() - began_s) * 1_000_000
    sent = sum(cluster.network.bytes_by_sender.values()) - sum(
        sent_before.values()
    )
    highest = cluster.highest_rate(sent_before, STEADY_MS)
    await _pause_some(cluster, addresses)
    removals = cluster.removals()
    suspicions = cluster.suspicions()
    joined = cluster.add(size, listed=False)
    join_ms = await cluster.time_until_known(joined, live=True)
    cluster.crash(addresses[0])
    crash_ms = await cluster.time_until_known(addresses[0], live=False)
    cluster.close()
    member_s = size * STEADY_MS / 1000
    return Figures(
        size=size,
        false_suspicions=suspicions,
        false_removals=removals,
        mean_rate=sent / member_s,
        highest_rate=highest,
        join_ms=join_ms,
        crash_ms=crash_ms,
        cpu_us_per_member_s=cpu_us / member_s,
    )


async def _pause_some(cluster: Cluster, addresses: list[str]) -> None:
    count = max(1, len(addresses) // 20)
    paused = random.Random(2).sample(addresses, count)
    for address in paused:
        cluster.pause(address)
    await cluster.clock.sleep_ms(PAUSE_MS)
    for address in paused:
        cluster.resume(address)
    await cluster.clock.sleep_ms(PAUSE_MS)


def measure(size: int) -> Figures:
    """Measure a cluster of `size` members."""
    return run_virtual(_measure(size))


def main() -> None:
    """Print a row of figures per size."""
    sizes = [int(argument) for argument in sys.argv[1:]] or DEFAULT_SIZES
    print(
        'members | false suspicions | false removals | mean B/s '
        '| highest B/s | join ms | crash ms | CPU us per member and s'
    )
    for size in sizes:
        row = measure(size)
        print(
            f'{row.size} | {row.false_suspicions} | {row.false_removals} '
            f'| {row.mean_rate:.0f} | {row.highest_rate:.0f} '
            f'| {row.join_ms:.0f} | {row.crash_ms:.0f} '
            f'| {row.cpu_us_per_member_s:.0f}',
            flush=True,
        )


if __name__ == '__main__':
    main()
