"""Rows of roll-outs, and where requests go under a plan."""

import json
import random

import pytest

from bergamotthread.clock import Clock
from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.platform.rollout_rows import RolloutRows
from bergamotthread.platform.store import (
    PlatformStoreClient,
    PreconditionFailedError,
    RowChange,
    StoredRow,
)
from bergamotthread.platform.store_version import StoreVersion
from bergamotthread.process.relay.choice import (
    RelayPlacementRequest,
    UpstreamChoice,
)
from bergamotthread.process.relay.upstreams import (
    UpstreamDirectory,
    UpstreamRecord,
    UpstreamState,
)
from bergamotthread.process.rollouts.build_plan import BuildPlan
from bergamotthread.process.rollouts.order import RolloutOrder, RolloutState
from bergamotthread.process.rollouts.participant import RolloutParticipant
from bergamotthread.process.rollouts.reports import (
    End,
    Reserve,
    RolloutRecord,
)
from bergamotthread.process.rollouts.rollout_record import next_record
from bergamotthread.testing.memory_http import memory_network, run_in_memory
from standins.platform_store import StoreStandIn
from tests.platform_standins import STORE, ListLog

SERVICE = 's'
KEY = 'rollout/s'
COMPLETED = End(RolloutState.COMPLETED, 'good')
ROLLED_BACK = End(RolloutState.ROLLED_BACK, 'bad')


class World:
    """A store in memory, with the rows of several entries."""

    def __init__(self):
        self.clock = Clock.from_loop(memory_network().loop)
        self.store = StoreStandIn(self.clock)
        self.client = PlatformStoreClient(STORE, UpstreamPool(self.clock, b''))

    @classmethod
    async def start(cls):
        world = cls()
        await world.store.listen(STORE)
        return world

    def rows(self, host='h'):
        return RolloutRows(
            self.clock,
            PlatformStoreClient(STORE, UpstreamPool(self.clock, b'')),
            ListLog(self.clock),
            RolloutParticipant(host, self.clock, lambda service: ('v1', 'v2')),
            lambda service: service == SERVICE,
        )

    def order(self, target='v2', duration_s=9):
        row = {'service': SERVICE, 'target': target, 'duration_s': duration_s}
        self.store.put('op', KEY, row)
        return self.operator_row()

    def operator_row(self):
        row = self.store._row_by_key['op', KEY]
        version = StoreVersion(self.store.era, row.ver)
        return StoredRow(KEY, row.payload, version)

    def stored(self, table):
        row = self.store._row_by_key.get((table, KEY))
        return None if row is None else json.loads(row.payload)


def test_rows_change_together_or_not_at_all():
    async def check():
        world = await World.start()
        world.store.put('status', KEY, b'{}')
        changes = [
            RowChange('entries', KEY, b'1', StoreVersion()),
            RowChange('status', KEY, None, None),
        ]
        version = await world.client.change_all(changes)
        assert ('status', KEY) not in world.store._row_by_key
        assert world.store._row_by_key['entries', KEY].ver == version.number
        world.store.put('status', KEY, b'{}')
        with pytest.raises(PreconditionFailedError):
            await world.client.change_all(changes)
        assert ('status', KEY) in world.store._row_by_key

    run_in_memory(check())


def test_of_two_ends_the_first_written_holds_at_both():
    async def check():
        world = await World.start()
        entries = [world.rows(host) for host in ('a', 'b')]
        row = world.order()
        for rows in entries:
            rows.apply_order(row)
        order = entries[0].participant.order_of(SERVICE)
        first = entries[0].first_record(order)
        assert await entries[0].write(first)
        assert not await entries[1].write(next_record(first, ROLLED_BACK))
        assert await entries[0].write(next_record(first, COMPLETED))
        assert not await entries[1].write(next_record(first, ROLLED_BACK))
        assert world.stored('status')['state'] == 'completed'
        states = {rows.participant.state_of(SERVICE) for rows in entries}
        assert states == {RolloutState.COMPLETED}

    run_in_memory(check())


def test_places_of_a_write_whose_answer_was_lost_are_not_lowered():
    async def check():
        world = await World.start()
        rows = world.rows()
        rows.apply_order(world.order())
        first = rows.first_record(rows.participant.order_of(SERVICE))
        assert await rows.write(first)
        world.store.lost_writes = 1
        reserved = next_record(first, Reserve(20))
        assert not await rows.write(reserved)
        await world.clock.sleep_ms(500)
        assert not await rows.write(next_record(first, Reserve(8)))
        assert world.stored('entries')['reserved'] == 20
        assert await rows.write(reserved)

    run_in_memory(check())


# Guards against: an entry that begins sends to a target half way replaced.
def test_entry_that_begins_avoids_what_earlier_orders_rejected():
    async def check():
        world = await World.start()
        rows = world.rows()
        rows.apply_order(world.order('v1'))
        rows.apply_order(world.order('v2'))
        first = rows.first_record(rows.participant.order_of(SERVICE))
        assert await rows.write(first)
        assert await rows.write(next_record(first, ROLLED_BACK))
        begun = world.rows('later')
        begun.apply_order(world.operator_row())
        stored = world.store._row_by_key['entries', KEY]
        version = StoreVersion(world.store.era, stored.ver)
        begun.apply_record(StoredRow(KEY, stored.payload, version))
        for one in (rows, begun):
            avoided = one.participant.plan(SERVICE).avoided
            assert avoided == {'v1', 'v2'}
        begun.apply_order(world.order('v1'))
        assert begun.participant.has_withdrawn(SERVICE, 'v2')
        assert not begun.participant.has_withdrawn(SERVICE, 'v1')

    run_in_memory(check())


def test_store_that_is_away_is_not_asked_at_each_step():
    async def check():
        world = await World.start()
        rows = world.rows()
        rows.apply_order(world.order())
        first = rows.first_record(rows.participant.order_of(SERVICE))
        world.store.status = 503
        calls = len(world.store.calls)
        for _ in range(20):
            assert not await rows.write(first)
            await world.clock.sleep_ms(100)
        assert len(world.store.calls) - calls <= 4
        world.store.status = 0
        await world.clock.sleep_ms(500)
        assert await rows.write(first)

    run_in_memory(check())


def test_order_written_again_after_a_return_is_the_same():
    async def check():
        world = await World.start()
        rows = world.rows()
        rows.apply_order(world.order('v0'))
        copy = world.store.ver
        rows.apply_order(world.order())
        order = rows.participant.order_of(SERVICE)
        world.store.restore(copy)
        rows.begin_era(StoreVersion(1, copy))
        rows.apply_order(world.operator_row())
        assert rows.participant.order_of(SERVICE) == order
        rows.apply_order(world.order())
        assert rows.participant.order_of(SERVICE) == order
        await world.clock.sleep_ms(6000)
        rows.apply_order(world.order())
        assert rows.participant.order_of(SERVICE).number > order.number

    run_in_memory(check())


def test_entry_that_starts_after_a_return_takes_the_number_of_the_record():
    async def check():
        world = await World.start()
        rows = world.rows()
        world.store.era = 1
        rows.apply_order(world.order())
        order = RolloutOrder(SERVICE, 3, 'v2', 9000)
        record = RolloutRecord(order, RolloutState.ACTIVE, 0, reserved=7)
        other = world.rows('other')
        assert await other.write(record)
        row = world.store._row_by_key['entries', KEY]
        rows.apply_record(StoredRow(KEY, row.payload, StoreVersion(1, row.ver)))
        assert rows.participant.order_of(SERVICE) == order

    run_in_memory(check())


@pytest.mark.parametrize('step_ms', [-3_600_000, 20_000, 3_600_000])
def test_clock_that_is_set_does_not_change_the_time_since_the_order(step_ms):
    async def check():
        world = await World.start()
        rows = world.rows()
        rows.apply_waiting()
        await world.clock.sleep_ms(5000)
        rows.apply_order(world.order(duration_s=60))
        order = rows.participant.order_of(SERVICE)
        first = rows.first_record(order)
        started_ms = first.started_ms + step_ms
        await world.clock.sleep_ms(1000)
        moved = RolloutRecord(order, RolloutState.ACTIVE, started_ms)
        assert rows.elapsed_ms(moved) == pytest.approx(1000)

    run_in_memory(check())


def test_entry_that_starts_late_counts_the_time_before_its_start():
    """The store may answer long after the start of the process."""

    async def check():
        world = await World.start()
        rows = world.rows()
        await world.clock.sleep_ms(5000)
        rows.apply_order(world.order(duration_s=60))
        rows.apply_waiting()
        order = rows.participant.order_of(SERVICE)
        started_ms = world.clock.calendar_ms() - 9000
        record = RolloutRecord(order, RolloutState.ACTIVE, started_ms)
        assert rows.elapsed_ms(record) == pytest.approx(9000, abs=1)

    run_in_memory(check())


def _choice(builds):
    directory = UpstreamDirectory(Clock.from_system())
    for number, build in enumerate(builds):
        directory.update(
            UpstreamRecord(
                f'u{number}',
                SERVICE,
                f'10.0.0.{number}:80',
                'a-1',
                UpstreamState.READY,
                slots=4,
                started_ms=1,
                build=build,
            )
        )
    return UpstreamChoice(directory, 'a-1', {'a-1': 'a'}, random.Random(1))


def _builds(choice, plan, **more):
    request = choice.planned(RelayPlacementRequest(SERVICE, **more), plan)
    return {
        upstream.record.build
        for _ in range(20)
        for upstream in choice.draw_candidates(request)
    }


def test_target_with_one_upstream_is_chosen_where_the_plan_names_it():
    choice = _choice(['v1', 'v1', 'v1', 'v2'])
    assert _builds(choice, BuildPlan()) == {'v1'}
    assert _builds(choice, BuildPlan('v2')) == {'v2'}


def test_request_goes_to_former_builds_where_the_target_has_no_upstream():
    choice = _choice(['v1', 'v1', 'v2'])
    plan = BuildPlan('v2', instances=frozenset(['u2']))
    excluded = frozenset(['u2'])
    assert _builds(choice, plan, excluded=excluded) == {'v1'}
    assert _builds(choice, BuildPlan('v3', frozenset(['v1']))) == {'v2'}
    assert not _builds(choice, plan, excluded=excluded, build='v2')


def test_target_that_is_only_tried_adds_no_capacity():
    directory = _choice(['v1', 'v1', 'v2', 'v2']).directory
    tried = BuildPlan('v2', instances=frozenset(['u2']))
    assert directory.slots(SERVICE, tried.for_capacity()) == 8
    avoided = BuildPlan(avoided=frozenset(['v2']))
    assert directory.slots(SERVICE, avoided.for_capacity()) == 8
    assert directory.slots(SERVICE, BuildPlan('v2').for_capacity()) == 8
    assert directory.slots(SERVICE) == 16


class Explorer:
    """Several entries that write and read at random, with lost answers."""

    def __init__(self, world, seed):
        self.world = world
        self.rng = random.Random(seed)
        self.entries = [world.rows(host) for host in ('a', 'b', 'c')]

    async def step(self):
        rows = self.rng.choice(self.entries)
        match self.rng.randrange(6):
            case 0:
                self.read(rows)
            case 1:
                self.world.store.lost_writes = self.rng.randrange(2)
            case 2:
                await self.world.clock.sleep_ms(600)
            case _:
                await self.write(rows)

    def read(self, rows):
        row = self.world.store._row_by_key.get(('entries', KEY))
        if row is not None:
            version = StoreVersion(0, row.ver)
            rows.apply_record(StoredRow(KEY, row.payload, version))

    async def write(self, rows):
        order = rows.participant.order_of(SERVICE)
        known = rows.record(SERVICE)
        if known is None or known.order != order:
            known = rows.first_record(order)
        more = Reserve(known.reserved + self.rng.randrange(1, 9))
        step = self.rng.choice([more, more, more, COMPLETED, ROLLED_BACK])
        record = next_record(known, step)
        if record is not None:
            await rows.write(record)

    def history(self, table):
        return [
            json.loads(row.payload)
            for row in self.world.store._all_changes
            if row.table == table and row.key == KEY
        ]


@pytest.mark.parametrize('first_seed', range(0, 200, 50))
def test_no_order_has_two_ends_however_writes_interleave(first_seed):
    async def check(seed):
        world = await World.start()
        explorer = Explorer(world, seed)
        for target in ('v2', 'v3'):
            row = world.order(target)
            for rows in explorer.entries:
                rows.apply_order(row)
            for _ in range(30):
                await explorer.step()
        ends_by_order = {}
        reserved_by_order = {}
        for stored in explorer.history('entries'):
            number = stored['order']['number']
            assert stored['reserved'] >= reserved_by_order.get(number, 0)
            reserved_by_order[number] = stored['reserved']
            if stored['state'] != 'active':
                ends_by_order.setdefault(number, set()).add(stored['state'])
            else:
                assert number not in ends_by_order
        assert all(len(ends) == 1 for ends in ends_by_order.values())
        for rows in explorer.entries:
            explorer.read(rows)
        records = {rows.record(SERVICE) for rows in explorer.entries}
        assert len(records) == 1
        last = explorer.history('entries')[-1]
        assert world.stored('status')['state'] == last['state']

    for seed in range(first_seed, first_seed + 50):
        run_in_memory(check(seed))
