"""Cost of guarded calls, also with a slow or unavailable store.

Counts store accesses and latency in virtual time. Run
``python -m pytest benchmarks/test_calls.py -s`` to print the figures.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

import pytest

from bergamotthread.process.store.store_client import (
    GuardedTable,
    StoreGuard,
    StoreLimits,
    StoreUse,
)
from bergamotthread.request.call_row import Done
from bergamotthread.request.refusal import Ran, RefusedError
from bergamotthread.testing.call_group import CallGroup
from bergamotthread.testing.memory_platform import PlatformFaults
from bergamotthread.testing.virtual_loop import run_virtual

STORE_WRITES_PER_S = 500
WRITES_PER_CALL_MAX = 3
READS_PER_CALL_MAX = 0
ADDED_TABLE_LATENCIES_MAX = 2
SERVICE_MS = 100
LOAD_S = 5
HOUR_S = 3600
FINAL_ANSWER_MAX_MS = 5000


@dataclass
class Outcomes:
    """Latencies of answered and refused calls in ms, and keys not run."""

    answered_ms: list[float] = field(default_factory=list)
    refused_ms: list[float] = field(default_factory=list)
    not_run_keys: list[str] = field(default_factory=list)


def _percentile(sorted_ms: list[float], percent: int) -> float:
    if not sorted_ms:
        return float(0)
    return sorted_ms[min(len(sorted_ms) - 1, len(sorted_ms) * percent // 100)]


async def _measure(group: CallGroup, key: str, outcomes: Outcomes) -> None:
    runner = group.runners_by_address['entry-1']
    started_ms = group.clock.now_ms()
    request = group.request(key, timeout_ms=2000, remaining_ms=4000)
    try:
        await runner.run(request)
    except RefusedError as error:
        outcomes.refused_ms.append(group.clock.now_ms() - started_ms)
        if error.refusal.ran is Ran.NOT_RUN:
            outcomes.not_run_keys.append(key)
        return
    outcomes.answered_ms.append(group.clock.now_ms() - started_ms)


def _guard_store(group: CallGroup, limits: StoreLimits) -> None:
    guard = StoreGuard(limits, group.clock, random.Random(2))
    inner = group.tables_by_address['entry-1']
    group.start_entry('entry-1', GuardedTable(inner, guard, StoreUse.CALLS))


async def _one_call(table_ms: float) -> tuple[int, int, float]:
    group = CallGroup.create(store_delay_ms=table_ms)
    group.service.delay_ms = SERVICE_MS
    outcomes = Outcomes()
    await _measure(group, 'k', outcomes)
    await group.clock.sleep_ms(1000)
    platform = group.platform
    network_ms = 2 * group.network.delay_ms
    added_ms = outcomes.answered_ms[0] - SERVICE_MS - network_ms
    return platform.writes, platform.reads, added_ms / table_ms


@pytest.mark.parametrize('table_ms', [5, 40])
def test_cost_of_a_guarded_call(table_ms: float) -> None:
    """A call without a fault stays within the writes and latency allowed."""
    writes, reads, latencies = run_virtual(_one_call(table_ms))
    print(
        f'table {table_ms} ms: {writes} writes, {reads} reads, '
        f'{latencies:.2f} table latencies added',
    )
    assert writes <= WRITES_PER_CALL_MAX
    assert reads <= READS_PER_CALL_MAX
    assert latencies <= ADDED_TABLE_LATENCIES_MAX + 0.01


async def _replay() -> tuple[int, int]:
    group = CallGroup.create()
    outcomes = Outcomes()
    await _measure(group, 'k', outcomes)
    await group.clock.sleep_ms(1000)
    writes, reads = group.platform.writes, group.platform.reads
    await _measure(group, 'k', outcomes)
    await group.clock.sleep_ms(1000)
    return group.platform.writes - writes, group.platform.reads - reads


def test_cost_of_a_replay() -> None:
    """A repeated key costs one conflicting write and one read."""
    writes, reads = run_virtual(_replay())
    print(f'replay: {writes} conflicting write, {reads} read')
    assert (writes, reads) == (1, 1)


async def _limited_store(calls_per_s: int) -> tuple[CallGroup, Outcomes]:
    group = CallGroup.create()
    group.platform.faults = PlatformFaults(
        delay_ms=5,
        writes_per_s=STORE_WRITES_PER_S,
    )
    limits = StoreLimits(STORE_WRITES_PER_S, STORE_WRITES_PER_S, 1000, 256)
    _guard_store(group, limits)
    outcomes = Outcomes()
    tasks = []
    for index in range(calls_per_s * LOAD_S):
        tasks.append(
            asyncio.ensure_future(_measure(group, f'{index}', outcomes))
        )
        await group.clock.sleep_ms(1000 / calls_per_s)
    await asyncio.gather(*tasks)
    await group.clock.sleep_ms(120_000)
    return group, outcomes


def _unsettled(group: CallGroup) -> int:
    rows = [group.row(key) for key in group.service.runs_by_key]
    return sum(not isinstance(row and row.state, Done) for row in rows)


@pytest.mark.parametrize('calls_per_s', [100, 300])
def test_store_with_limited_writes(calls_per_s: int) -> None:
    """Calls run once and end in time at a store of 500 writes a second."""
    group, outcomes = run_virtual(_limited_store(calls_per_s))
    answered = sorted(outcomes.answered_ms)
    refused = sorted(outcomes.refused_ms)
    print(
        f'{calls_per_s} calls/s: {len(answered) / LOAD_S:.0f} answered/s, '
        f'p50 {_percentile(answered, 50):.0f} ms, '
        f'p99 {_percentile(answered, 99):.0f} ms, '
        f'{len(refused) / LOAD_S:.0f} refused/s, '
        f'slowest refusal {_percentile(refused, 100):.0f} ms, '
        f'{_unsettled(group)} answered calls not recorded',
    )
    assert max(group.service.runs_by_key.values()) == 1
    assert all(group.runs(key) == 0 for key in outcomes.not_run_keys)
    assert max(answered + refused) <= FINAL_ANSWER_MAX_MS
    if calls_per_s * WRITES_PER_CALL_MAX < STORE_WRITES_PER_S:
        assert not refused


async def _hour_without_store() -> tuple[CallGroup, Outcomes, list[float]]:
    group = CallGroup.create()
    _guard_store(group, StoreLimits(50, 50, 1000, 64))
    group.platform.faults = PlatformFaults(down=True)
    outcomes = Outcomes()
    plain_ms: list[float] = []
    tasks = []
    for index in range(HOUR_S):
        tasks.append(
            asyncio.ensure_future(_measure(group, f'{index}', outcomes))
        )
        started_ms = group.clock.now_ms()
        runner = group.runners_by_address['entry-1']
        await runner.run(group.request('', idempotent=True))
        plain_ms.append(group.clock.now_ms() - started_ms)
        await group.clock.sleep_ms(1000)
    await asyncio.gather(*tasks)
    return group, outcomes, plain_ms


def test_an_hour_without_the_store() -> None:
    """Without the store, guarded calls are refused, idempotent ones run."""
    group, outcomes, plain_ms = run_virtual(_hour_without_store())
    print(
        f'hour without the store: {len(outcomes.refused_ms)} guarded calls '
        f'refused, slowest after {max(outcomes.refused_ms):.0f} ms; '
        f'{len(plain_ms)} idempotent calls answered, slowest after '
        f'{max(plain_ms):.0f} ms; '
        f'{group.platform.reads + group.platform.writes} accesses sent',
    )
    assert len(outcomes.refused_ms) == HOUR_S
    assert max(outcomes.refused_ms) <= FINAL_ANSWER_MAX_MS
    assert max(plain_ms) <= 2 * group.network.delay_ms + 1
    assert set(group.service.runs_by_key) <= {''}


async def _many_calls(count: int) -> float:
    group = CallGroup.create()
    outcomes = Outcomes()
    started_s = time.process_time()
    for index in range(count):
        await _measure(group, f'{index}', outcomes)
    await group.clock.sleep_ms(10)
    return (time.process_time() - started_s) / count


def test_processor_time_of_a_guarded_call() -> None:
    """Print the CPU time of caller, service and in-memory stand-ins."""
    cost_s = run_virtual(_many_calls(500))
    print(f'guarded call: {cost_s * 1e6:.0f} us of processor time, all ends')
    assert cost_s > 0
