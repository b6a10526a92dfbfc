import asyncio

import pytest

from bergamotthread.clock import Clock
from bergamotthread.errors import BergamotError, Step
from bergamotthread.process.orders.order_gate import EngineControl, OrderGate
from bergamotthread.process.orders.orders import (
    ORDERS_PER_TICK,
    OrderAction,
    PlannedOrder,
    RegionOrders,
    WeightStoreRate,
    plan_orders,
)
from bergamotthread.process.orders.region_lease import RegionLease
from bergamotthread.testing.memory_network import MemoryNetwork
from bergamotthread.testing.memory_platform import (
    MemoryPlatform,
    MemoryTable,
)
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.version.objects import (
    FailureDomain,
    Model,
    ObjectSet,
    Region,
    Upstream,
)
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Envelope, Order, OrderReply, Pin

LOAD_BYTES = 1000
ONE, TWO = Pin('m', '1'), Pin('m', '2')
PAUSE_MS = 60_000


def _version(
    pins_by_agent: dict[str, tuple[Pin, ...]], region: str = 'r0'
) -> PublishedVersion:
    return PublishedVersion.from_object_set(
        1,
        ObjectSet(
            regions=(Region('r0'), Region('r1')),
            failure_domains=(FailureDomain('d', region),),
            models=(Model('m', ('1', '2'), load_bytes=LOAD_BYTES),),
            upstreams=tuple(
                Upstream(agent, agent, 'd', pins)
                for agent, pins in pins_by_agent.items()
            ),
        ),
    )


def _plan(
    version: PublishedVersion,
    loaded: dict[str, frozenset[Pin]],
    demand: dict[Pin, float],
    busy: frozenset[str] = frozenset(),
) -> list[PlannedOrder]:
    upstreams = version.object_set.upstreams
    models = version.models_by_name
    return list(plan_orders(upstreams, models, loaded, demand, busy))


def test_missing_pins_are_loaded_before_others_are_unloaded() -> None:
    version = _version({'a': (TWO,)})
    loaded = {'a': frozenset({ONE})}
    due = _plan(version, loaded, {})
    assert [(order.action, order.pin) for order in due] == [
        (OrderAction.LOAD, TWO)
    ]
    loaded = {'a': frozenset({ONE, TWO})}
    due = _plan(version, loaded, {})
    assert [(order.action, order.pin) for order in due] == [
        (OrderAction.UNLOAD, ONE)
    ]


def test_orders_are_sorted_by_demand_per_loaded_upstream() -> None:
    version = _version({'a': (ONE,), 'b': (TWO,), 'c': (ONE,)})
    loaded = {'c': frozenset({ONE})}
    due = _plan(version, loaded, {ONE: 3, TWO: 2})
    assert [order.agent for order in due] == ['b', 'a']


def test_busy_agents_get_no_order() -> None:
    version = _version({'a': (ONE,)})
    assert _plan(version, {}, {}, frozenset({'a'})) == []


async def _other_region() -> list[int]:
    bench = _Bench(('a',), WeightStoreRate())
    for orders in bench.orders:
        orders.apply_version(_version({'a': (ONE,)}, 'r1'))
    await bench.run(20_000, 0)
    return bench.executed()


def test_agents_of_other_regions_get_no_order() -> None:
    assert run_virtual(_other_region()) == []


class _Engine(EngineControl):
    """Engine that ignores fences and records those of its orders."""

    def __init__(self) -> None:
        self.fences: list[int] = []

    async def execute(self, order: Order) -> None:
        self.fences.append(order.fence)


class _Bench:
    """Two candidates for the lease and some agents."""

    def __init__(self, agents: tuple[str, ...], rate: WeightStoreRate) -> None:
        self.clock = Clock.from_loop(asyncio.get_running_loop())
        self.network = MemoryNetwork(delay_ms=20)
        self.platform = MemoryPlatform(self.clock)
        self.table = MemoryTable(self.platform)
        self.engines = {agent: _Engine() for agent in agents}
        self.gates = {
            agent: OrderGate(self.table, 'r0', engine)
            for agent, engine in self.engines.items()
        }
        self.pending: set[asyncio.Task[None]] = set()
        for agent in agents:
            self._start_agent(agent)
        self.leases = []
        self.orders = []
        for holder in ('e0', 'e1'):
            lease = RegionLease(self.table, self.clock, 'r0', holder, 1)
            transport = self.network.transport(holder)
            orders = RegionOrders(
                transport, self.clock, 'r0', lease, rate, dict
            )
            transport.start(orders.on_message)
            self.leases.append(lease)
            self.orders.append(orders)

    def _start_agent(self, agent: str) -> None:
        transport = self.network.transport(agent)

        async def carry_out(envelope: Envelope, order: Order) -> None:
            reply = await self.gates[agent].handle_order(order)
            transport.send(envelope.sender, reply)

        def receive(envelope: Envelope) -> None:
            if isinstance(envelope.message, Order):
                task = asyncio.create_task(
                    carry_out(envelope, envelope.message)
                )
                self.pending.add(task)

        transport.start(receive)

    def publish(self, pin: Pin) -> None:
        version = _version(dict.fromkeys(self.engines, (pin,)))
        for orders in self.orders:
            orders.apply_version(version)

    async def run(self, duration_ms: float, *numbers: int) -> None:
        until_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < until_ms:
            for number in numbers:
                await self.leases[number].step()
                self.orders[number].tick()
            await self.clock.sleep_ms(2000)

    def executed(self) -> list[int]:
        return [
            fence for engine in self.engines.values() for fence in engine.fences
        ]


async def _paused_holder(holder_checks: bool) -> None:
    bench = _Bench(('a', 'b'), WeightStoreRate())
    bench.publish(ONE)
    await bench.run(20_000, 0, 1)
    assert bench.executed() == [1, 1]
    await bench.run(PAUSE_MS, 1)
    assert bench.leases[1].fence == 2
    before = bench.executed()
    bench.publish(TWO)
    old = bench.orders[0]
    if not holder_checks:
        bench.leases[0]._valid_until_ms = float('inf')
    old.tick()
    await bench.clock.sleep_ms(1000)
    assert bench.executed() == before
    assert not bench.leases[0].is_valid()


@pytest.mark.parametrize('holder_checks', [True, False])
def test_holder_that_continues_after_a_pause_has_no_effect(
    holder_checks: bool,
) -> None:
    run_virtual(_paused_holder(holder_checks))


async def _weight_rate() -> list[int]:
    agents = tuple(f'a{number}' for number in range(10))
    bench = _Bench(agents, WeightStoreRate(LOAD_BYTES / 10, 2 * LOAD_BYTES))
    bench.publish(ONE)
    counts = []
    for _ in range(3):
        await bench.run(30_000, 0)
        counts.append(len(bench.executed()))
    return counts


def test_loads_are_limited_by_the_rate_of_the_weight_store() -> None:
    assert run_virtual(_weight_rate()) == [4, 7, 10]


async def _many() -> int:
    agents = tuple(f'a{number}' for number in range(50))
    bench = _Bench(agents, WeightStoreRate())
    bench.publish(ONE)
    await bench.leases[0].step()
    bench.orders[0].tick()
    await bench.clock.sleep_ms(100)
    return len(bench.executed())


def test_orders_are_spread_over_ticks() -> None:
    assert run_virtual(_many()) == ORDERS_PER_TICK


async def _unanswered() -> int:
    bench = _Bench(('a',), WeightStoreRate())
    bench.publish(ONE)
    bench.network.cut_both('e0', 'a')
    await bench.run(60_000, 0)
    bench.network.heal()
    await bench.run(130_000, 0)
    return len(bench.executed())


def test_lost_order_is_sent_again() -> None:
    assert run_virtual(_unanswered()) == 1


async def _newer_fence() -> None:
    bench = _Bench(('a',), WeightStoreRate())
    bench.publish(ONE)
    await bench.run(20_000, 0)
    assert bench.leases[0].is_valid()
    reply = OrderReply('x', 7, accepted=False)
    bench.orders[0].on_message(Envelope('a', 1, reply))
    assert not bench.leases[0].is_valid()


def test_reply_with_a_newer_fence_ends_the_term() -> None:
    run_virtual(_newer_fence())


class _BusyEngine(EngineControl):
    """Engine that refuses its first orders."""

    def __init__(self, refusals: int) -> None:
        self.fences: list[int] = []
        self.refused = 0
        self._refusals = refusals

    async def execute(self, order: Order) -> None:
        if self.refused < self._refusals:
            self.refused += 1
            raise BergamotError('busy', step=Step.ORDER, peer='engine')
        self.fences.append(order.fence)


async def _refused(refusals: int, duration_ms: float) -> tuple[int, int]:
    bench = _Bench(('a',), WeightStoreRate())
    engine = _BusyEngine(refusals)
    bench.gates['a'] = OrderGate(bench.table, 'r0', engine)
    bench.publish(ONE)
    await bench.run(duration_ms, 0)
    return engine.refused, len(engine.fences)


def test_refused_order_is_sent_again_after_a_pause() -> None:
    """An agent that refuses is not kept from orders for two minutes."""
    assert run_virtual(_refused(1, 15_000)) == (1, 1)
    refused, executed = run_virtual(_refused(99, 60_000))
    assert 4 <= refused <= 6
    assert executed == 0
