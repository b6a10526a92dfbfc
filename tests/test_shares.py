import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import pytest

from bergamotthread.clock import Clock
from bergamotthread.process.shares.share_home import (
    LEASE_HOLD_MS,
    SHARE_LEASE_MS,
    home_of,
)
from bergamotthread.process.shares.share_usage import MIN_BURST_REQUESTS
from bergamotthread.process.shares.shares import TeamLimits
from bergamotthread.request.refusal import Ran, ReasonCode
from bergamotthread.testing.memory_network import MemoryNetwork
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.version.objects import ObjectSet, Team
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Envelope, GrantedShare, ShareGrants

LIMIT = 100
TEAM = 'foundry'
STEP_MS = 20
SETTLED_MS = 40_000


@dataclass
class _View:
    entries: tuple[str, ...]
    reachable: float = 1

    def responsive_entries(self) -> tuple[str, ...]:
        return self.entries

    def reachable_fraction(self) -> float:
        return self.reachable


@dataclass
class _Bench:
    """Entries under load, with the time of each admission."""

    count: int
    loss: float = 0
    concurrent: int = 1_000_000
    limits: dict[str, TeamLimits] = field(default_factory=dict)
    views: dict[str, _View] = field(default_factory=dict)
    tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    admitted_ms: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.clock = Clock.from_loop(asyncio.get_running_loop())
        self.network = MemoryNetwork(
            delay_ms=20, jitter_ms=30, loss=self.loss, duplication=self.loss
        )
        self.entries = tuple(f'e{number}' for number in range(self.count))
        team = Team(
            TEAM, requests_per_s=LIMIT, concurrent_generations=self.concurrent
        )
        version = PublishedVersion.from_object_set(3, ObjectSet(teams=(team,)))
        for entry in self.entries:
            self.views[entry] = _View(self.entries)
            transport = self.network.transport(entry)
            limits = TeamLimits(transport, self.clock, self.views[entry])
            limits.apply_version(version)
            transport.start(limits.on_message)
            self.limits[entry] = limits
            self.tasks[entry] = asyncio.create_task(limits.run())

    @property
    def home(self) -> str:
        return home_of(TEAM, self.entries)

    async def load(
        self, duration_ms: float, entries: tuple[str, ...] | None = None
    ) -> None:
        """Offer twice the limit to each of `entries`."""
        until_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < until_ms:
            for entry in entries or self.entries:
                for _ in range(2 * LIMIT * STEP_MS // 1000):
                    if self.limits[entry].try_admit(TEAM) is None:
                        self.limits[entry].release(TEAM)
                        self.admitted_ms.append(self.clock.now_ms())
            await self.clock.sleep_ms(STEP_MS)

    def highest(self, window_ms: float, since_ms: float = 0) -> float:
        """Return the highest rate of admissions per second in any window."""
        times = [at for at in self.admitted_ms if at >= since_ms]
        first = 0
        most = 0
        for index, at_ms in enumerate(times):
            while times[first] <= at_ms - window_ms:
                first += 1
            most = max(most, index - first + 1)
        return most * 1000 / window_ms

    def close(self) -> None:
        for task in self.tasks.values():
            task.cancel()


def _run(
    scenario: Callable[[_Bench], Coroutine[Any, Any, None]], **options: Any
) -> None:
    async def run() -> None:
        bench = _Bench(**options)
        await scenario(bench)
        bench.close()

    run_virtual(run())


async def _steady(bench: _Bench) -> None:
    await bench.load(80_000)
    assert bench.highest(10_000, 0) <= LIMIT * 1.1 + 4 * MIN_BURST_REQUESTS / 10
    settled = [at for at in bench.admitted_ms if at >= SETTLED_MS]
    assert len(settled) >= 0.9 * LIMIT * (80_000 - SETTLED_MS) / 1000


@pytest.mark.parametrize('loss', [0, 0.05])
def test_limit_is_kept_and_can_be_fully_used(loss: float) -> None:
    _run(_steady, count=4, loss=loss)


async def _cut_off(bench: _Bench) -> None:
    isolated = next(entry for entry in bench.entries if entry != bench.home)
    await bench.load(SETTLED_MS, (isolated,))
    for other in bench.entries:
        bench.network.cut_both(isolated, other)
    await bench.load(SHARE_LEASE_MS + 2000, (isolated,))
    before = len(bench.admitted_ms)
    await bench.load(20_000, (isolated,))
    rate = (len(bench.admitted_ms) - before) / 20
    assert rate == pytest.approx(LIMIT / 4 / 4, rel=0.1)


def test_isolated_entry_keeps_only_its_floor() -> None:
    _run(_cut_off, count=4)


async def _home_lost(bench: _Bench) -> None:
    await bench.load(SETTLED_MS)
    lost = bench.home
    bench.tasks.pop(lost).cancel()
    bench.network.ends_by_address.pop(lost)
    remaining = tuple(address for address in bench.entries if address != lost)
    await bench.load(3000, remaining)
    for entry in remaining:
        bench.views[entry].entries = remaining
    await bench.load(60_000, remaining)
    assert bench.highest(10_000, SETTLED_MS) <= LIMIT * 1.1
    late = [at for at in bench.admitted_ms if at >= SETTLED_MS + 40_000]
    assert len(late) >= 0.85 * LIMIT * 23


def test_lost_home_is_replaced_without_exceeding_the_limit() -> None:
    _run(_home_lost, count=4)


async def _changing_view(bench: _Bench) -> None:
    await bench.load(SETTLED_MS)
    near = tuple(address for address in bench.entries if address != bench.home)
    for entry in near[:2]:
        bench.views[entry].entries = near
    await bench.load(8000)
    for entry in bench.entries:
        bench.views[entry].entries = near
    await bench.load(40_000)
    assert bench.highest(10_000, SETTLED_MS) <= LIMIT * 1.1


def test_homes_of_differing_views_do_not_lease_the_same_share() -> None:
    _run(_changing_view, count=5)


async def _partition(bench: _Bench) -> None:
    await bench.load(SETTLED_MS)
    near, far = bench.entries[:2], bench.entries[2:]
    for near_entry in near:
        for far_entry in far:
            bench.network.cut_both(near_entry, far_entry)
    for side in (near, far):
        for entry in side:
            bench.views[entry].entries = side
            bench.views[entry].reachable = len(side) / bench.count
    await bench.load(60_000)
    assert bench.highest(10_000, SETTLED_MS) <= LIMIT * 1.1
    late = [at for at in bench.admitted_ms if at >= SETTLED_MS + 40_000]
    assert len(late) >= 0.8 * LIMIT * 20


def test_both_sides_of_a_partition_together_keep_the_limit() -> None:
    _run(_partition, count=5)


async def _paused_home(bench: _Bench) -> None:
    await bench.load(SETTLED_MS)
    paused = bench.home
    others = tuple(address for address in bench.entries if address != paused)
    bench.tasks.pop(paused).cancel()
    for entry in others:
        bench.views[entry].entries = others
        bench.network.cut_both(entry, paused)
    await bench.load(30_000, others)
    bench.network.heal()
    for entry in others:
        bench.views[entry].entries = bench.entries
    bench.tasks[paused] = asyncio.create_task(bench.limits[paused].run())
    await bench.load(40_000)
    assert bench.highest(10_000, SETTLED_MS) <= LIMIT * 1.1


def test_home_after_a_pause_does_not_lease_what_others_leased() -> None:
    _run(_paused_home, count=4)


async def _late_grant(bench: _Bench) -> None:
    other = next(entry for entry in bench.entries if entry != bench.home)
    await bench.load(SETTLED_MS, (other,))
    usage = bench.limits[other].leases.usage_by_name[TEAM]
    late = ShareGrants(1, SHARE_LEASE_MS, (GrantedShare(TEAM, 0.1),))
    bench.limits[other].on_message(Envelope(bench.home, 1, late))
    assert usage.share.leased > 0.5


def test_grant_for_an_outdated_request_is_ignored() -> None:
    _run(_late_grant, count=3)


async def _retry_after(bench: _Bench) -> None:
    limits = bench.limits['e0']
    await bench.clock.sleep_ms(LEASE_HOLD_MS)
    while (refusal := limits.try_admit(TEAM)) is None:
        limits.release(TEAM)
    assert refusal.reason is ReasonCode.OVER_LIMIT
    assert refusal.ran is Ran.NOT_RUN
    assert refusal.decided_by == 'teams/foundry'
    assert refusal.config_version == 3
    refusals = [limits.try_admit(TEAM) for _ in range(19)]
    waits_ms = [one.retry_after_ms for one in refusals if one is not None]
    assert len(waits_ms) == 19
    assert waits_ms == sorted(waits_ms)
    assert waits_ms[-1] == pytest.approx(20 * 1000 / LIMIT, abs=10)
    await bench.clock.sleep_ms(waits_ms[-1])
    for _ in range(20):
        assert limits.try_admit(TEAM) is None


def test_retry_after_of_the_rate_limit_is_exact() -> None:
    _run(_retry_after, count=1)


async def _concurrent(bench: _Bench) -> None:
    running = 0
    for _ in range(60):
        for entry in bench.entries:
            running += bench.limits[entry].try_admit(TEAM) is None
        await bench.clock.sleep_ms(1000)
    assert 18 <= running <= 20 + bench.count
    limits = bench.limits['e0']
    refusal = limits.try_admit(TEAM)
    assert refusal is not None
    assert 'concurrent_generations' in refusal.figures
    await bench.clock.sleep_ms(refusal.retry_after_ms)
    limits.release(TEAM)
    assert limits.try_admit(TEAM) is None


def test_running_requests_are_limited_across_entries() -> None:
    _run(_concurrent, count=2, concurrent=20)


async def _running_retry_after(bench: _Bench) -> None:
    limits = bench.limits['e0']
    while limits.try_admit(TEAM) is None:
        await bench.clock.sleep_ms(100)
    for _ in range(50):
        await bench.clock.sleep_ms(400)
        limits.release(TEAM)
        assert limits.try_admit(TEAM) is None
    first, second = limits.try_admit(TEAM), limits.try_admit(TEAM)
    assert first is not None
    assert second is not None
    assert first.retry_after_ms == pytest.approx(400, rel=0.05)
    assert second.retry_after_ms == pytest.approx(800, rel=0.05)


def test_retry_after_of_the_running_limit_follows_recent_ends() -> None:
    _run(_running_retry_after, count=1, concurrent=5)


async def _alone(bench: _Bench) -> None:
    await bench.load(10_000)
    assert len(bench.admitted_ms) == pytest.approx(10 * LIMIT, rel=0.15)


def test_single_entry_can_use_the_limit_without_a_lease() -> None:
    _run(_alone, count=1)


async def _unknown(bench: _Bench) -> None:
    refusal = bench.limits['e0'].try_admit('nobody')
    assert refusal is not None
    assert refusal.reason is ReasonCode.FORBIDDEN


def test_unknown_team_is_refused() -> None:
    _run(_unknown, count=1)
