import asyncio
import random

import pytest

from bergamotthread.clock import Clock
from bergamotthread.process.orders.region_lease import (
    REGION_LEASE_MS,
    RENEW_INTERVAL_MS,
    TAKE_OVER_MARGIN_MS,
    RegionLease,
)
from bergamotthread.testing.memory_platform import (
    MemoryPlatform,
    MemoryTable,
)
from bergamotthread.testing.virtual_loop import run_virtual

TAKE_OVER_MS = REGION_LEASE_MS + TAKE_OVER_MARGIN_MS


class _Bench:
    def __init__(self, count: int) -> None:
        self.clock = Clock.from_loop(asyncio.get_running_loop())
        self.platform = MemoryPlatform(self.clock)
        self.tables = [MemoryTable(self.platform) for _ in range(count)]
        self.leases = [
            RegionLease(table, self.clock, 'r0', f'e{number}', 1)
            for number, table in enumerate(self.tables)
        ]

    async def steps(self, duration_ms: float, *leases: RegionLease) -> None:
        until_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < until_ms:
            for lease in leases:
                await lease.step()
            await self.clock.sleep_ms(RENEW_INTERVAL_MS)


async def _paused_holder() -> None:
    bench = _Bench(2)
    first, second = bench.leases
    await bench.steps(60_000, first, second)
    assert first.is_valid()
    assert first.fence == 1
    await bench.steps(TAKE_OVER_MS + RENEW_INTERVAL_MS, second)
    assert not first.is_valid()
    assert second.is_valid()
    assert second.fence == 2
    await first.step()
    assert not first.is_valid()


def test_paused_holder_loses_the_lease_and_the_fence_rises() -> None:
    run_virtual(_paused_holder())


async def _slow_pause() -> None:
    bench = _Bench(2)
    first, second = bench.leases
    await first.step()
    await second.step()
    await bench.clock.sleep_ms(REGION_LEASE_MS)
    assert not first.is_valid()
    await first.step()
    assert not first.is_valid()
    await bench.steps(TAKE_OVER_MS, first)
    assert first.is_valid()
    assert first.fence == 2


def test_holder_that_renews_too_late_needs_a_new_fence() -> None:
    run_virtual(_slow_pause())


async def _lost_answer(lost: int) -> None:
    bench = _Bench(1)
    lease = bench.leases[0]
    bench.platform.faults.lost_answers = lost
    started_ms = bench.clock.now_ms()
    for _ in range(lost + 1):
        await lease.step()
    assert lease.is_valid()
    assert lease.fence == 1
    await bench.clock.sleep_ms(
        REGION_LEASE_MS - bench.clock.now_ms() + started_ms
    )
    assert not lease.is_valid()


@pytest.mark.parametrize('lost', [1, 2])
def test_write_whose_reply_was_lost_is_recognised(lost: int) -> None:
    run_virtual(_lost_answer(lost))


async def _outage() -> None:
    bench = _Bench(2)
    await bench.steps(20_000, *bench.leases)
    bench.platform.faults.down = True
    await bench.steps(600_000, *bench.leases)
    assert not any(lease.is_valid() for lease in bench.leases)
    bench.platform.faults.down = False
    await bench.steps(TAKE_OVER_MS + 2 * RENEW_INTERVAL_MS, *bench.leases)
    assert sorted(lease.is_valid() for lease in bench.leases) == [False, True]


def test_lease_is_held_again_after_an_outage() -> None:
    run_virtual(_outage())


async def _random_faults(seed: int) -> int:
    bench = _Bench(3)
    source = random.Random(seed)
    holders_by_fence: dict[int, int] = {}
    for _ in range(300):
        bench.platform.faults.down = source.random() < 0.2
        bench.platform.faults.lost_answers = int(source.random() < 0.2)
        for number, lease in enumerate(bench.leases):
            if source.random() < 0.6:
                await lease.step()
            if lease.is_valid():
                holders_by_fence.setdefault(lease.fence, number)
                assert holders_by_fence[lease.fence] == number
        assert sum(lease.is_valid() for lease in bench.leases) <= 1
        await bench.clock.sleep_ms(source.choice([100, 3000, 9000]))
    return len(holders_by_fence)


@pytest.mark.parametrize('seed', range(8))
def test_there_are_never_two_holders(seed: int) -> None:
    assert run_virtual(_random_faults(seed)) > 3
