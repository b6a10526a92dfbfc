import asyncio

import pytest

from bergamotthread.clock import Clock
from bergamotthread.errors import StoreConflictError, StoreUnavailableError
from bergamotthread.testing.memory_platform import (
    MemoryPlatform,
    MemoryTable,
    PlatformFaults,
)
from bergamotthread.testing.virtual_loop import run_virtual


async def _make(**faults: float) -> MemoryTable:
    clock = Clock.from_loop(asyncio.get_running_loop())
    return MemoryTable(MemoryPlatform(clock, PlatformFaults(**faults)))


async def _late_write() -> bytes:
    table = await _make(delay_ms=500)
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(table.write('a', b'late', expected=0), 0.1)
    assert table.platform.rows_by_key == {}
    await asyncio.sleep(1)
    return table.platform.rows_by_key['a'].body


def test_write_takes_effect_after_the_timeout_of_its_caller() -> None:
    assert run_virtual(_late_write()) == b'late'


async def _lost_answer() -> None:
    table = await _make(lost_answers=1)
    with pytest.raises(StoreUnavailableError):
        await table.write('a', b'1', expected=0)
    with pytest.raises(StoreConflictError, match='revision 1, expected 0'):
        await table.write('a', b'2', expected=0)
    assert (await table.read('a')).body == b'1'


def test_write_with_a_lost_answer_takes_effect() -> None:
    run_virtual(_lost_answer())


async def _write_at_limited_rate(writes: int) -> float:
    table = await _make(writes_per_s=500)
    await asyncio.gather(
        *(table.write(str(index), b'', expected=0) for index in range(writes)),
    )
    return table.platform.clock.now_ms()


def test_write_rate_is_limited() -> None:
    assert run_virtual(_write_at_limited_rate(501)) == pytest.approx(1000)
