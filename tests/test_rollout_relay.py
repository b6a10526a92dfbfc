"""Roll-outs on the users' platform: whole entries against the stand-ins."""

import asyncio
import json
import random
import zlib
from collections import Counter
from dataclasses import replace

import pytest

from bergamotthread.clock import Clock
from bergamotthread.platform.rollout_messages import (
    MESSAGE_BYTES_MAX,
    Answered,
    MessageError,
    Reported,
    decode_answer,
    decode_message,
    encode,
)
from bergamotthread.platform.settings import PlatformSettings
from bergamotthread.process.relay.relay_metrics import RelayMetrics
from bergamotthread.process.rollouts.answer_cells import bucket
from bergamotthread.process.rollouts.gate import UpstreamBuild
from bergamotthread.process.rollouts.order import RolloutOrder, RolloutState
from bergamotthread.process.rollouts.participant import RolloutParticipant
from bergamotthread.process.rollouts.participation import ALONE_MS
from bergamotthread.process.rollouts.reports import (
    AnswerCell,
    Directive,
    End,
    RolloutPhase,
)
from bergamotthread.process.shares.team_usage import TeamUsage
from bergamotthread.testing.memory_http import run_in_memory
from standins.platform_runner import MODEL, PLAIN, RunnerScript, manifest
from standins.platform_settings import ZONES, entry_settings
from tests.platform_standins import STORE, Deployment

SHARE = 0.1
SLACK = 50
ROLLBACK_MS = 5000
DURATION_S = 12
CALL_INTERVAL_MS = 25
OLD = 'v1'
NEW = 'v2'
BAD = {
    'fails': RunnerScript(error_every=3),
    'fails always': RunnerScript(status=500),
    'slow': RunnerScript(slowness=5),
    'one route': RunnerScript(error_every=1, error_prefix=b'/once/'),
}


class World(Deployment):
    """Three entries, four upstreams of a former build, three of a target."""

    def __init__(self) -> None:
        super().__init__()
        self.targets = []
        self.formers = []
        self.statuses = Counter()
        self.requests = 0
        self.runs_at_end = None
        self._callers = []
        # Numbers in addresses of entries that end or are paused.
        self.away = set()

    @classmethod
    async def begin(cls, service=PLAIN, entries=3):
        world = cls()
        await world.store.listen(STORE)
        world.store.put('op', 'config', manifest())
        zones = list(ZONES)
        for number in range(entries):
            await world.add_entry(rollout_settings(number))
        for number in range(4):
            zone = zones[number % 3]
            world.formers.append(
                await world.add_runner(f'f{number}', service, zone, build=OLD)
            )
        await world.clock.sleep_ms(1500)
        world.service = service
        world._watching = asyncio.create_task(world._stop_formers())
        return world

    async def order(self, duration_s=DURATION_S, target=NEW, **more):
        row = {'service': self.service, 'target': target} | more
        self.store.put(
            'op',
            f'rollout/{self.service}',
            {**row, 'duration_s': duration_s},
        )
        self.ordered_ms = self.clock.now_ms()
        await self.clock.sleep_ms(300)

    async def add_targets(self, script=None, build=NEW):
        for number, zone in enumerate(ZONES):
            runner = await self.add_runner(
                f'{build}-{number}', self.service, zone, build=build
            )
            runner.script = script or RunnerScript()
            self.targets.append(runner)

    def call_steadily(self, entries=(1, 2, 3), interval_ms=CALL_INTERVAL_MS):
        self._callers.append(
            asyncio.create_task(self._call_steadily(entries, interval_ms))
        )

    def suspend(self, number, *, resumes_after_ms=0):
        """Stop an entry's part in roll-outs; for good if it never resumes.

        Callers leave it, as a process that is paused or ended runs nothing.
        """
        self.away.add(number + 1)
        relay = self.entries[number]._rollouts.relay
        step_all, report = relay.home.step_all, relay._report_if_due
        relay.home.step_all = lambda: None
        relay._report_if_due = lambda service: None
        address = relay.view.own_address
        if not resumes_after_ms:
            self.net.kill(address)
            return
        self.net.silent.add(address)
        self._callers.append(
            asyncio.create_task(
                self._resume(relay, step_all, report, resumes_after_ms)
            )
        )

    def cut_off(self, number):
        """Let nobody reach an entry, which goes on with what it knows."""
        relay = self.entries[number]._rollouts.relay
        self.net.silent.add(relay.view.own_address)

    async def _resume(self, relay, step_all, report, after_ms):
        await self.clock.sleep_ms(after_ms)
        relay.home.step_all, relay._report_if_due = step_all, report
        self.net.silent.discard(relay.view.own_address)
        self.away.clear()

    def status(self, table='status'):
        row = self.store._row_by_key.get((table, f'rollout/{self.service}'))
        return None if row is None else json.loads(row.payload)

    @property
    def state(self):
        status = self.status()
        return None if status is None else status['state']

    async def until(self, state, within_ms):
        end_ms = self.clock.now_ms() + within_ms
        while self.state != state and self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(20)
        return self.state

    def home(self):
        """Return the number of the entry that decides."""
        deciding = [
            number
            for number, entry in enumerate(self.entries)
            if entry._rollouts.home.figures()
        ]
        return deciding[0]

    def exposed(self):
        return sum(len(runner.seen) for runner in self.targets)

    def bound(self):
        return SHARE * self.requests + SLACK

    def states(self):
        """Return the states that the status row had, in order."""
        rows = [
            json.loads(row.payload)['state']
            for row in self.store._all_changes
            if row.table == 'status'
        ]
        return [
            state
            for state, former in zip(rows, [None, *rows], strict=False)
            if state != former
        ]

    def end(self):
        for task in self._callers:
            task.cancel()

    async def _stop_formers(self):
        """Stop the former upstreams at the moment of completion."""
        while self.state != 'completed':
            await self.clock.sleep_ms(1)
        self.runs_at_end = sum(
            not seen.ended_ms for runner in self.formers for seen in runner.seen
        )
        for runner in self.formers:
            runner.kill()
            self.store.remove('servers', runner.instance)

    async def _call_steadily(self, entries, interval_ms):
        rng = random.Random(1)
        while True:
            await self.clock.sleep_ms(interval_ms)
            here = [one for one in entries if one not in self.away]
            front = f'10.1.0.{rng.choice(here)}:8000'
            plain = rng.choice(('/any/x', '/once/x'))
            path = '/stream/x' if self.service == MODEL else plain
            self._callers.append(asyncio.create_task(self._one(path, front)))

    async def _one(self, path, front):
        self.requests += 1
        try:
            answer = await self.call(path, front)
        except ConnectionError:
            self.statuses['lost'] += 1
            return
        is_whole = answer.is_whole or answer.status != 200
        self.statuses[answer.status if is_whole else 'cut'] += 1


def rollout_settings(number):
    zone = list(ZONES)[number % 3]
    host = f'edge-{number + 1}'
    settings_file = entry_settings(
        host,
        f'10.1.0.{number + 1}',
        zone,
        STORE,
        ('rollout',),
        exposure_share=SHARE,
        exposure_slack=SLACK,
        rollback_ms=ROLLBACK_MS,
    )
    return PlatformSettings.from_json(json.dumps(settings_file).encode())


async def _begin(script=None, service=PLAIN, **options):
    world = await World.begin(service)
    world.call_steadily(
        interval_ms=120 if service == MODEL else CALL_INTERVAL_MS
    )
    await world.clock.sleep_ms(1000)
    world.requests = 0
    await world.order(**options)
    await world.add_targets(script)
    return world


@pytest.mark.parametrize('service', [PLAIN, MODEL])
def test_good_build_is_completed_in_time_and_nothing_runs_elsewhere(service):
    async def check():
        world = await _begin(service=service)
        assert world.status() == {'state': 'active', 'target': NEW}
        await world.clock.sleep_ms(DURATION_S * 500)
        assert 0 < world.exposed() <= world.bound()
        state = await world.until('completed', DURATION_S * 1000)
        took_ms = world.clock.now_ms() - world.ordered_ms
        assert state == 'completed'
        assert took_ms < DURATION_S * 1000
        await world.clock.sleep_ms(2000)
        assert world.runs_at_end == 0
        assert world.status() == {'state': 'completed', 'target': NEW}
        assert set(world.statuses) == {200}
        world.end()

    run_in_memory(check())


@pytest.mark.parametrize(
    ('kind', 'service'),
    [
        *((kind, PLAIN) for kind in sorted(BAD)),
        ('fails', MODEL),
        ('slow', MODEL),
    ],
)
def test_bad_build_is_rolled_back_within_its_exposure(kind, service):
    async def check():
        # Fewer streams than plain requests: 8 a second.
        duration_s = DURATION_S * (5 if service == MODEL else 1)
        world = await _begin(BAD[kind], service, duration_s=duration_s)
        state = await world.until('rolled_back', duration_s * 1000)
        assert state == 'rolled_back'
        assert world.exposed() <= world.bound()
        exposed = world.exposed()
        await world.clock.sleep_ms(2000)
        assert world.exposed() - exposed <= 1
        assert world.states() == ['active', 'rolled_back']
        world.end()

    run_in_memory(check())


def _disturb(world, fault):
    match fault:
        case 'owner ended':
            world.suspend(world.home())
        case 'owner cut off':
            world.cut_off(world.home())
        case 'owner paused':
            world.suspend(world.home(), resumes_after_ms=4000)
        case 'store away':
            world.store.status = 503
            world.net.loop.call_later(
                3, lambda: setattr(world.store, 'status', 0)
            )
        case 'write lost':
            world.store.lost_writes = 1


FAULTS = (
    'owner ended',
    'owner cut off',
    'owner paused',
    'store away',
    'write lost',
)


@pytest.mark.parametrize('at_ms', [200, 4000, 9500])
@pytest.mark.parametrize('fault', FAULTS)
def test_good_build_has_one_end_whatever_befalls_the_owner(fault, at_ms):
    async def check():
        world = await _begin()
        await world.clock.sleep_ms(at_ms)
        _disturb(world, fault)
        left_ms = DURATION_S * 1000 - at_ms
        assert await world.until('completed', left_ms + 4000) == 'completed'
        await world.clock.sleep_ms(3000)
        assert world.states() == ['active', 'completed']
        assert world.runs_at_end == 0
        assert world.exposed() > world.bound()
        world.end()

    run_in_memory(check())


@pytest.mark.parametrize('at_ms', [200, 3000])
@pytest.mark.parametrize('fault', FAULTS)
def test_bad_build_stays_within_its_exposure_whatever_befalls(fault, at_ms):
    async def check():
        world = await _begin(BAD['fails'])
        await world.clock.sleep_ms(at_ms)
        _disturb(world, fault)
        left_ms = DURATION_S * 1000 - at_ms
        assert await world.until('rolled_back', left_ms + 4000) == 'rolled_back'
        await world.clock.sleep_ms(3000)
        assert world.states() == ['active', 'rolled_back']
        assert world.exposed() <= world.bound()
        world.end()

    run_in_memory(check())


def test_build_that_turns_bad_late_is_rolled_back():
    async def check():
        world = await _begin()
        await world.clock.sleep_ms(6000)
        for runner in world.targets:
            runner.script = BAD['fails always']
        assert await world.until('rolled_back', 6000) == 'rolled_back'
        assert world.exposed() <= world.bound()
        world.end()

    run_in_memory(check())


def test_halt_needs_no_store():
    async def check():
        world = await _begin(BAD['fails always'])
        await world.clock.sleep_ms(1500)
        world.store.status = 503
        await world.clock.sleep_ms(2500)
        assert world.state == 'active'
        exposed = world.exposed()
        await world.clock.sleep_ms(3000)
        assert world.exposed() == exposed
        world.store.status = 0
        assert await world.until('rolled_back', 3000) == 'rolled_back'
        world.end()

    run_in_memory(check())


@pytest.mark.parametrize('script', [None, BAD['fails']])
def test_store_that_comes_back_older_changes_no_end(script):
    async def check():
        world = await World.begin()
        world.call_steadily()
        copy = world.store.ver
        await world.order()
        await world.add_targets(script)
        row = {'service': PLAIN, 'target': NEW, 'duration_s': DURATION_S}
        await world.clock.sleep_ms(2000)
        world.store.restore(copy)
        await world.clock.sleep_ms(500)
        world.store.put('op', f'rollout/{PLAIN}', row)
        for runner in world.targets:
            world.store.put('servers', runner.instance, runner.row)
        for runner in world.formers:
            world.store.put('servers', runner.instance, runner.row)
        end = 'completed' if script is None else 'rolled_back'
        assert await world.until(end, DURATION_S * 1000) == end
        ended = [row.ver for row in world.store._all_changes][-1]
        assert world.exposed() <= world.bound()
        world.store.restore(ended - 1)
        await world.clock.sleep_ms(1000)
        world.store.put('op', f'rollout/{PLAIN}', row)
        await world.clock.sleep_ms(6000)
        assert world.state == end
        world.end()

    run_in_memory(check())


def test_later_order_replaces_one_half_way():
    async def check():
        world = await _begin()
        await world.clock.sleep_ms(4000)
        await world.order(target='v3')
        exposed = world.exposed()
        first = list(world.targets)
        world.targets = []
        await world.add_targets(build='v3')
        assert await world.until('completed', DURATION_S * 1000) == 'completed'
        assert world.status()['target'] == 'v3'
        assert sum(len(runner.seen) for runner in first) - exposed <= 2
        assert world.runs_at_end == 0
        assert set(world.statuses) == {200}
        world.end()

    run_in_memory(check())


def test_order_again_after_a_rollback_is_tried_again():
    async def check():
        world = await _begin(BAD['fails always'])
        assert await world.until('rolled_back', 6000) == 'rolled_back'
        for runner in world.targets:
            runner.script = RunnerScript()
        await world.order()
        assert await world.until('completed', DURATION_S * 1000) == 'completed'
        assert world.states() == [
            'active',
            'rolled_back',
            'active',
            'completed',
        ]
        world.end()

    run_in_memory(check())


def test_rejected_build_that_is_released_alone_later_gets_requests():
    async def check():
        world = await _begin(BAD['fails always'])
        assert await world.until('rolled_back', 6000) == 'rolled_back'
        exposed = world.exposed()
        for runner in world.formers:
            runner.kill()
            world.store.remove('servers', runner.instance)
        end_ms = world.ordered_ms + DURATION_S * 1000
        await world.clock.sleep_ms(end_ms - world.clock.now_ms())
        assert world.exposed() - exposed <= 1
        await world.clock.sleep_ms(ALONE_MS)
        for number in range(3):
            assert world.events('rollout-build-used-again', number)
        for runner in world.targets:
            runner.script = RunnerScript()
        await world.clock.sleep_ms(500)
        world.statuses.clear()
        await world.clock.sleep_ms(2000)
        assert set(world.statuses) == {200}
        assert world.states() == ['active', 'rolled_back']
        world.end()

    run_in_memory(check())


@pytest.mark.parametrize(
    'row',
    [
        b'not json',
        b'{"service": "plain-service", "target": "v2"}',
        {'service': PLAIN, 'target': 7, 'duration_s': 9},
        {'service': PLAIN, 'target': '', 'duration_s': 9},
        {'service': PLAIN, 'target': NEW, 'duration_s': 0},
        {'service': PLAIN, 'target': NEW, 'duration_s': -1},
        {'service': PLAIN, 'target': NEW, 'duration_s': '9'},
        {'service': PLAIN, 'target': NEW, 'duration_s': True},
        {'service': MODEL, 'target': NEW, 'duration_s': 9},
        {'service': 'other', 'target': NEW, 'duration_s': 9},
        b'[' * 100_000,
    ],
)
def test_bad_order_changes_nothing_and_is_logged(row):
    async def check():
        world = await _begin()
        await world.clock.sleep_ms(1000)
        world.store.put('op', f'rollout/{PLAIN}', row)
        await world.clock.sleep_ms(1000)
        for number in range(3):
            assert world.events('rollout-order-invalid', number)
        assert world.status() == {'state': 'active', 'target': NEW}
        assert world.entries[0]._rollouts.gate.order_of(PLAIN).target == NEW
        world.end()

    run_in_memory(check())


def test_unknown_service_waits_for_its_version():
    async def check():
        world = await World.begin()
        row = {'service': 'later', 'target': NEW, 'duration_s': 9}
        world.store.put('op', 'rollout/later', row)
        await world.clock.sleep_ms(500)
        gate = world.entries[0]._rollouts.gate
        assert world.events('rollout-order-invalid')
        assert gate.order_of('later') is None
        services = [{'name': PLAIN}, {'name': MODEL}, {'name': 'later'}]
        world.store.put('op', 'config', manifest(2, services=services))
        await world.clock.sleep_ms(500)
        assert gate.order_of('later').target == NEW

    run_in_memory(check())


def test_endless_order_ends_within_a_day():
    async def check():
        world = await _begin(duration_s=1e9)
        order = world.entries[0]._rollouts.gate.order_of(PLAIN)
        assert order.duration_ms == 86_400_000
        world.end()

    run_in_memory(check())


def test_entry_that_does_not_know_the_order_grants_nothing():
    async def check():
        world = await World.begin()
        relays = [entry._rollouts.relay for entry in world.entries]
        order = RolloutOrder(PLAIN, 1, NEW, 9000)
        relays[0].participant.begin(order)
        report = relays[0].participant.report(PLAIN, 0)
        encoded = encode(Reported(PLAIN, report))
        assert decode_answer(relays[1].answer(b'POST', encoded)) == Answered()
        await world.clock.sleep_ms(3000)
        assert not relays[0].participant.admit(
            UpstreamBuild('t', PLAIN, NEW, 'a-1'), is_bound=False
        )

    run_in_memory(check())


def test_messages_without_a_valid_form_are_refused():
    too_long = zlib.compress(b' ' * (MESSAGE_BYTES_MAX + 1))
    for body in (b'', b'x', zlib.compress(b'{}'), too_long, too_long[:-9]):
        with pytest.raises(MessageError):
            decode_message(body)


def test_reports_with_impossible_counts_are_refused():
    clock = Clock.from_system()
    participant = RolloutParticipant('h', clock, lambda service: ())
    participant.begin(RolloutOrder(PLAIN, 1, NEW, 9000))
    report = participant.report(PLAIN, 0)
    cell = AnswerCell('r', 'a-1', True, 1, 1, answered=1, failed=2)
    for wrong in (
        replace(report, sent=-1),
        replace(report, requests=10**30),
        replace(report, cells=(cell,)),
    ):
        with pytest.raises(MessageError):
            decode_message(encode(Reported(PLAIN, wrong)))
    assert decode_message(encode(Reported(PLAIN, report))).report == report


def test_target_without_room_costs_no_stream():
    """Streams that it can't begin in time begin at the former build."""

    async def check():
        world = await _begin(RunnerScript(queued=200), MODEL)
        await world.clock.sleep_ms(5000)
        assert world.events('rollout-progress', world.home())[-1]['counted']
        assert set(world.statuses) == {200}
        world.end()

    run_in_memory(check())


def test_stream_that_is_placed_at_a_former_build_counts_once(monkeypatch):
    """The share of a team follows from what it asks for, not from tries."""
    offered, outcomes = [], []

    def offer(_usage, team, _now_ms):
        offered.append(team)

    def record_admission(_metrics, _rank, *, admitted: bool):
        outcomes.append(admitted)

    monkeypatch.setattr(TeamUsage, 'offer', offer)
    monkeypatch.setattr(RelayMetrics, 'record_admission', record_admission)

    async def check():
        world = await World.begin(MODEL)
        world.call_steadily(interval_ms=120)
        await world.order()
        await world.add_targets(RunnerScript(queued=200))
        await world.clock.sleep_ms(5000)
        assert world.statuses[200] > 10
        assert len(offered) == len(outcomes) <= world.requests
        assert all(outcomes)
        world.end()

    run_in_memory(check())


def test_distance_of_an_upstream_is_not_its_latency():
    async def check():
        world = await World.begin()
        await world.order()
        world.net.delay_ms = 40
        for _ in range(8):
            await world.call('/any/x')
        cells = world.entries[0]._rollouts.gate.report(PLAIN, 0).cells
        buckets = {cell.latency_bucket for cell in cells}
        assert buckets == {bucket(RunnerScript.work_ms + 1)}

    run_in_memory(check())


# Guards against: former upstreams are stopped while no other one answers.
def test_target_whose_upstreams_are_all_lost_during_the_move_is_not_kept():
    async def check():
        world = await _begin()
        gate = world.entries[1]._rollouts.gate
        while gate.report(PLAIN, 0).phase is not RolloutPhase.MOVING:
            await world.clock.sleep_ms(100)
        for runner in world.targets:
            runner.kill()
        await world.clock.sleep_ms(1000)
        world.statuses.clear()
        assert await world.until('rolled_back', 5000) == 'rolled_back'
        await world.clock.sleep_ms(500)
        assert set(world.statuses) == {200}
        assert world.states() == ['active', 'rolled_back']
        world.end()

    run_in_memory(check())


# Guards against: entries that have gone on meanwhile use what is stopped.
def test_completion_is_decided_again_once_the_row_was_read_again():
    async def check():
        world = await _begin()
        await world.clock.sleep_ms(2000)
        home = world.entries[world.home()]._rollouts.home
        (deciding,) = home._deciding_by_service.values()
        steps = [End(RolloutState.COMPLETED, 'good'), None, None]
        deciding.decider.next_step = lambda *_: steps.pop(0) if steps else None
        home.rows._unsure.add(PLAIN)
        await world.clock.sleep_ms(1000)
        assert not steps
        assert world.state == 'active'
        steps.append(End(RolloutState.COMPLETED, 'good'))
        assert await world.until('completed', 1000) == 'completed'
        world.end()

    run_in_memory(check())


@pytest.mark.parametrize('is_taken_up', [False, True])
def test_stream_that_breaks_at_a_halted_build_is_refused_at_once(is_taken_up):
    async def check():
        world = await World.begin(MODEL)
        await world.order()
        await world.add_targets(RunnerScript(breaks_after=10))
        await world.clock.sleep_ms(1000)
        relay = world.entries[0]._rollouts.relay
        order = relay.participant.order_of(MODEL)
        moving = Directive(order.number, RolloutPhase.MOVING, 0, 30_000)
        relay.participant.apply(MODEL, moving, world.clock.now_ms())
        reading = asyncio.create_task(world.call('/stream/x'))
        await world.clock.sleep_ms(300)
        assert world.exposed() == 1
        relay.tell(order, None)
        began_ms = world.clock.now_ms()
        answer = await reading
        assert len(answer.event_ids) == 10
        assert world.clock.now_ms() - began_ms < 2000
        if is_taken_up:
            began_ms = world.clock.now_ms()
            last = (b'last-event-id', b'10')
            answer = await world.call('/stream/x', extra=(last,))
            assert answer.status == 503
            assert float(answer.headers[b'retry-after']) > 0
            assert world.clock.now_ms() - began_ms < 200
        assert world.exposed() == 1

    run_in_memory(check())


def test_without_the_contract_nothing_is_followed():
    async def check():
        deployment = await Deployment.start()
        row = {'service': PLAIN, 'target': NEW, 'duration_s': 9}
        deployment.store.put('op', f'rollout/{PLAIN}', row)
        await deployment.clock.sleep_ms(2000)
        assert deployment.entries[0]._rollouts is None
        assert (
            'status',
            f'rollout/{PLAIN}',
        ) not in deployment.store._row_by_key

    run_in_memory(check())
