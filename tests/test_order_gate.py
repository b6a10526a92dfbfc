import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec
import pytest

from bergamotthread.clock import Clock
from bergamotthread.errors import BergamotError, Step
from bergamotthread.process.orders.order_gate import EngineControl, OrderGate
from bergamotthread.process.orders.region_lease import LeaseRow, lease_key
from bergamotthread.process.store.platform import Row
from bergamotthread.testing.memory_platform import (
    MemoryPlatform,
    MemoryTable,
)
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.wire.messages import Order, Pin


class _Engine(EngineControl):
    """Engine that ignores fences; each order takes 100 ms."""

    def __init__(self, clock: Clock) -> None:
        self.done: list[tuple[int, int]] = []
        self.fails = False
        self._clock = clock

    async def execute(self, order: Order) -> None:
        await self._clock.sleep_ms(100)
        if self.fails:
            raise BergamotError('no memory', step=Step.ORDER)
        self.done.append((order.fence, order.number))


class _Bench:
    def __init__(self) -> None:
        self.clock = Clock.from_loop(asyncio.get_running_loop())
        self.platform = MemoryPlatform(self.clock)
        self.engine = _Engine(self.clock)
        self.gate = OrderGate(MemoryTable(self.platform), 'r0', self.engine)

    def set_fence(self, fence: int) -> None:
        key = lease_key('r0')
        body = msgspec.json.encode(LeaseRow('e1', fence, 'a'))
        self.platform.rows_by_key[key] = Row(key, body, fence)

    async def accepts(
        self, fence: int, number: int = 1, region: str = 'r0'
    ) -> bool:
        order = Order('o', fence, 'load', Pin('m', '1'), region, number)
        return (await self.gate.handle_order(order)).accepted


async def _first_order() -> None:
    """The first order with an outdated fence is refused."""
    bench = _Bench()
    bench.set_fence(5)
    assert not await bench.accepts(4)
    assert await bench.accepts(5)
    assert bench.engine.done == [(5, 1)]


async def _take_over() -> None:
    """Orders of the previous holder are refused after a take-over."""
    bench = _Bench()
    bench.set_fence(5)
    assert await bench.accepts(5)
    bench.set_fence(6)
    assert not await bench.accepts(5, 2)
    assert await bench.accepts(6)
    assert not await bench.accepts(5, 3)


async def _outage() -> None:
    """Orders are refused while the fence can't be read."""
    bench = _Bench()
    bench.set_fence(5)
    bench.platform.faults.down = True
    assert not await bench.accepts(5)
    bench.platform.faults.down = False
    assert await bench.accepts(5)


async def _repeated() -> None:
    """A repeated order is accepted again, but not executed twice."""
    bench = _Bench()
    bench.set_fence(5)
    assert await bench.accepts(5, 2)
    assert await bench.accepts(5, 2)
    assert not await bench.accepts(5, 1)
    assert bench.engine.done == [(5, 2)]


async def _failed() -> None:
    """An order that failed at the engine can be repeated."""
    bench = _Bench()
    bench.set_fence(5)
    bench.engine.fails = True
    assert not await bench.accepts(5)
    bench.engine.fails = False
    assert await bench.accepts(5)


async def _other_region() -> None:
    """An order of another region is refused and leaves the fence as it is."""
    bench = _Bench()
    bench.set_fence(5)
    assert not await bench.accepts(9, region='r1')
    assert await bench.accepts(5)


async def _behind_a_slow_order() -> None:
    """An order is refused if the lease moves on while it waits."""
    bench = _Bench()
    bench.set_fence(5)
    slow = asyncio.create_task(bench.accepts(5, 1))
    await bench.clock.sleep_ms(50)
    waiting = asyncio.create_task(bench.accepts(5, 2))
    await bench.clock.sleep_ms(10)
    bench.set_fence(6)
    assert await slow
    assert not await waiting
    assert bench.engine.done == [(5, 1)]


@pytest.mark.parametrize(
    'scenario',
    [
        _first_order,
        _take_over,
        _outage,
        _repeated,
        _failed,
        _other_region,
        _behind_a_slow_order,
    ],
)
def test_gate(scenario: Any) -> None:
    main: Coroutine[Any, Any, None] = scenario()
    run_virtual(main)
