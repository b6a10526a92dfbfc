import asyncio
import random
from collections.abc import Coroutine
from typing import Any

import pytest

from bergamotthread.clock import Clock
from bergamotthread.errors import StoreConflictError, StoreUnavailableError
from bergamotthread.process.store.store_client import (
    StoreClient,
    StoreGuard,
    StoreLimits,
    StoreNotAskedError,
    StoreUse,
)
from bergamotthread.testing.memory_platform import (
    MemoryHostList,
    MemoryObjectStore,
    MemoryPlatform,
    MemoryTable,
    PlatformFaults,
)
from bergamotthread.testing.virtual_loop import run_virtual

_LIMITS = StoreLimits(
    reads_per_s=100,
    writes_per_s=10,
    timeout_ms=200,
    concurrent=8,
)


async def _make_client(limits: StoreLimits = _LIMITS) -> StoreClient:
    clock = Clock.from_loop(asyncio.get_running_loop())
    platform = MemoryPlatform(clock)
    return StoreClient(
        MemoryTable(platform),
        MemoryObjectStore(platform),
        MemoryHostList(platform),
        StoreGuard(limits, clock, random.Random(1)),
    )


def _set_faults(client: StoreClient, **faults: float) -> None:
    client.inner_table.platform.faults = PlatformFaults(**faults)


async def _time_to_failure(access: Coroutine[Any, Any, Any]) -> float:
    clock = Clock.from_loop(asyncio.get_running_loop())
    started_ms = clock.now_ms()
    with pytest.raises(StoreUnavailableError):
        await access
    return clock.now_ms() - started_ms


async def _write_to_slow_store() -> None:
    client = await _make_client()
    table = client.table(StoreUse.CALLS)
    _set_faults(client, delay_ms=60_000)
    for _ in range(3):
        elapsed_ms = await _time_to_failure(table.write('a', b'', expected=0))
        assert elapsed_ms == pytest.approx(200)
    with pytest.raises(StoreNotAskedError, match='circuit is open'):
        await table.write('a', b'', expected=0)


def test_slow_store_opens_the_circuit_after_three_timeouts() -> None:
    run_virtual(_write_to_slow_store())


async def _read_during_an_outage() -> tuple[int, float]:
    client = await _make_client()
    clock = client.guard.clock
    table = client.table(StoreUse.CALLS)
    _set_faults(client, down=True)
    for _ in range(3600):
        with pytest.raises(StoreUnavailableError):
            await table.read('a')
        await clock.sleep_ms(1000)
    reads = client.inner_table.platform.reads
    _set_faults(client)
    started_ms = clock.now_ms()
    while await _is_unavailable(table):
        await clock.sleep_ms(100)
    return reads, clock.now_ms() - started_ms


async def _is_unavailable(table: Any) -> bool:
    try:
        await table.read('a')
    except StoreUnavailableError:
        return True
    return False


def test_failed_store_gets_few_reads_and_is_used_soon_after_recovery() -> None:
    reads, recovery_ms = run_virtual(_read_during_an_outage())
    assert reads < 3600 / 2
    assert recovery_ms <= 5000


async def _audit_behind_calls() -> None:
    client = await _make_client()
    calls = client.table(StoreUse.CALLS)
    audit = client.object_store(StoreUse.AUDIT)
    clock = client.guard.clock
    for index in range(50):
        await audit.put(f'audit/{index}', b'')
    assert clock.now_ms() == 0
    await audit.put('audit/50', b'')
    assert clock.now_ms() == pytest.approx(100)
    for index in range(50):
        await calls.write(f'calls/{index}', b'', expected=0)
    assert clock.now_ms() == pytest.approx(100)
    with pytest.raises(StoreNotAskedError, match='rate share'):
        await audit.put('audit/51', b'')


def test_audit_leaves_half_of_the_rate_limit_to_calls() -> None:
    run_virtual(_audit_behind_calls())


async def _write_rate() -> float:
    client = await _make_client()
    table = client.table(StoreUse.CALLS)
    written = 0
    clock = client.guard.clock
    while clock.now_ms() < 60_000:
        try:
            await table.write(f'{written}', b'', expected=0)
        except StoreNotAskedError:
            await clock.sleep_ms(10)
        else:
            written += 1
    return written / 60


def test_writes_stay_within_the_rate_limit() -> None:
    burst_per_s = _LIMITS.writes_per_s * 10 / 60
    assert run_virtual(_write_rate()) <= _LIMITS.writes_per_s + burst_per_s + 1


async def _lost_write() -> None:
    client = await _make_client()
    table = client.table(StoreUse.CALLS)
    _set_faults(client, lost_answers=1)
    with pytest.raises(StoreUnavailableError) as caught:
        await table.write('a', b'1', expected=0)
    assert not isinstance(caught.value, StoreNotAskedError)
    assert client.inner_table.platform.writes == 1
    with pytest.raises(StoreConflictError):
        await table.write('a', b'2', expected=0)


def test_unanswered_write_is_not_retried() -> None:
    run_virtual(_lost_write())


async def _read_retry() -> None:
    client = await _make_client()
    table = client.table(StoreUse.CALLS)
    platform = client.inner_table.platform
    _set_faults(client, down=True)
    restore = asyncio.ensure_future(_restore_after(client, 20))
    assert await table.read('a') is None
    await restore
    assert platform.reads > 1


async def _restore_after(client: StoreClient, duration_ms: float) -> None:
    await client.guard.clock.sleep_ms(duration_ms)
    _set_faults(client)


def test_read_is_retried_in_a_short_outage() -> None:
    run_virtual(_read_retry())


async def _read_concurrently() -> int:
    client = await _make_client()
    _set_faults(client, delay_ms=150)
    table = client.table(StoreUse.CALLS)
    answers = await asyncio.gather(
        *(table.read('a') for _ in range(100)),
        return_exceptions=True,
    )
    return sum(isinstance(answer, StoreNotAskedError) for answer in answers)


def test_concurrent_accesses_above_the_limit_are_rejected() -> None:
    assert run_virtual(_read_concurrently()) == 92
