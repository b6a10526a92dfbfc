import asyncio

import pytest

from bergamotthread.clock import Clock
from bergamotthread.testing.virtual_loop import DeadlockError, run_virtual


async def _sleep_for(duration_ms: float) -> float:
    clock = Clock.from_loop(asyncio.get_running_loop())
    started_ms = clock.now_ms()
    await clock.sleep_ms(duration_ms)
    return clock.now_ms() - started_ms


def test_sleep_advances_virtual_time() -> None:
    assert run_virtual(_sleep_for(3_600_000)) == pytest.approx(3_600_000)


def test_wait_without_a_timer_is_reported_as_deadlock() -> None:
    with pytest.raises(DeadlockError):
        run_virtual(asyncio.Event().wait())
