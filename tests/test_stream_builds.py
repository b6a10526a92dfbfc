"""Streams go on only at the build of their upstream that began them."""

from __future__ import annotations

import asyncio
import itertools
import re
from collections.abc import Iterable
from dataclasses import dataclass, field

import pytest

from bergamotthread.clock import Clock
from bergamotthread.platform.build_rows import BuildRow, StoredBuilds
from bergamotthread.process.relay.stream_builds import (
    KnownBuild,
    StreamBuilds,
)
from bergamotthread.process.relay.upstreams import UpstreamDirectory
from bergamotthread.testing.memory_http import run_in_memory
from standins.platform_runner import MODEL
from tests.platform_standins import Answer, Deployment, MemoryRunner, settings

ZONES = ('a-1', 'b-1', 'c-1')
RESUMES = b'resumes'
STORE_ADDRESS = '10.200.1.7:8000'
# Part of the streams, taken up while their build is served, that goes on.
GOES_ON_MIN = 0.95
# A refusal of what is known not to be servable comes within this time.
AT_ONCE_MS = 300
_INSTANCE = re.compile(rb'@(\S+)')


@dataclass
class Stream:
    """One stream over all tries of its caller."""

    path: str
    origin: bytes = b''
    last_event: int = 0
    answers: list[Answer] = field(default_factory=list)

    @property
    def ids(self) -> list[int]:
        return [one for answer in self.answers for one in answer.event_ids]

    @property
    def instances(self) -> set[str]:
        """Return the upstreams whose events it holds."""
        return {
            instance.decode()
            for answer in self.answers
            for instance in _INSTANCE.findall(answer.body)
        }


@dataclass
class Builds:
    """Deployment with engines of several builds, and streams through it."""

    deployment: Deployment
    build_by_instance: dict[str, str]
    streams: list[Stream] = field(default_factory=list)

    @classmethod
    async def start(
        cls, builds: Iterable[str], entries: int = 3, settle_ms: float = 3000
    ) -> Builds:
        deployment = await Deployment.start(models=0, plains=0)
        started = cls(deployment, {})
        for build in builds:
            await started.add(build)
        for number in range(2, entries + 1):
            zone = ZONES[(number - 1) % 3]
            host = f'edge-{zone[0]}-{number}'
            await deployment.add_entry(settings(host, zone, number))
        await deployment.clock.sleep_ms(settle_ms)
        return started

    async def add(self, build: str) -> MemoryRunner:
        number = len(self.build_by_instance)
        runner = await self.deployment.add_runner(
            f'm{number}', MODEL, ZONES[number % 3], build=build
        )
        runner.script.names_itself = True
        runner.restart = None
        self.build_by_instance[runner.instance] = build
        return runner

    def of(self, build: str) -> list[MemoryRunner]:
        return [
            runner
            for runner in self.deployment.models
            if self.build_by_instance[runner.instance] == build
        ]

    def remove(self, runner: MemoryRunner) -> None:
        """End a runner as a crash does, with its row."""
        runner.kill()
        self.deployment.store.remove('servers', runner.instance)

    def front(self, number: int) -> str:
        return f'10.1.0.{number}:8000'

    names_origin: bool = True

    async def read(
        self, stream: Stream, front: str, events: int = 0, **options: object
    ) -> Answer:
        """Read a stream, or go on with it; leave after some events."""
        deployment = self.deployment
        extra: list[tuple[bytes, bytes]] = list(options.pop('extra', ()))
        if stream.ids:
            extra.append((b'last-event-id', b'%d' % max(stream.ids)))
            if self.names_origin:
                extra.append((RESUMES, stream.origin))
        connection = await deployment.connect(front)
        encoded = deployment.request(stream.path, extra=tuple(extra))
        request_id = b'r%d' % deployment._next_id
        connection.send(encoded, b'')
        answer = Answer()
        has_more = True
        while has_more and not (events and len(answer.event_ids) >= events):
            arrived = await connection.receive(30_000)
            has_more = answer.take(arrived, deployment.clock.now_ms())
        connection.close()
        if not stream.ids and answer.event_ids:
            stream.origin = request_id
        stream.answers.append(answer)
        return answer

    async def begin(
        self, count: int, events: int = 0, fronts: Iterable[int] = (1, 2, 3)
    ) -> list[Stream]:
        """Begin streams through entries in turn; leave after some events."""
        turn = itertools.cycle(fronts)
        begun = [Stream(f'/stream/x{number}') for number in range(count)]
        self.streams += begun
        await asyncio.gather(
            *(
                self.read(stream, self.front(next(turn)), events)
                for stream in begun
            )
        )
        return begun

    async def take_up(
        self,
        streams: list[Stream],
        fronts: Iterable[int] = (2, 3, 1),
        events: int = 0,
    ) -> None:
        turn = itertools.cycle(fronts)
        await asyncio.gather(
            *(
                self.read(stream, self.front(next(turn)), events)
                for stream in streams
            )
        )

    def builds_of(self, stream: Stream) -> set[str]:
        return {self.build_by_instance[one] for one in stream.instances}

    def check_builds(self) -> None:
        """Check that no stream holds events of two builds, or has a gap."""
        mixed = [
            stream for stream in self.streams if len(self.builds_of(stream)) > 1
        ]
        assert not mixed, len(mixed)
        for stream in self.streams:
            assert stream.ids == list(range(1, len(stream.ids) + 1))

    def whole(self) -> int:
        return sum(len(stream.ids) == 60 for stream in self.streams)


# Guards against: a stream that lost its upstream goes on at another build.
def test_stream_that_lost_its_upstream_goes_on_at_its_build():
    async def check():
        builds = await Builds.start(['v1', 'v2'] * 5)
        task = asyncio.create_task(builds.begin(60))
        await builds.deployment.clock.sleep_ms(1200)
        for build in ('v1', 'v2'):
            for runner in builds.of(build)[:2]:
                builds.remove(runner)
        await task
        builds.check_builds()
        assert builds.whole() == 60

    run_in_memory(check())


# Guards against: the last resort of a stream is another build.
def test_stream_whose_build_has_gone_is_cut_and_not_mixed():
    async def check():
        builds = await Builds.start(['v1', 'v1', 'v2', 'v2', 'v2', 'v2'])
        task = asyncio.create_task(builds.begin(30))
        await builds.deployment.clock.sleep_ms(1200)
        for runner in builds.of('v1'):
            builds.remove(runner)
        await task
        builds.check_builds()
        cut = [one for one in builds.streams if not one.answers[0].is_whole]
        assert 0 < len(cut) < 30
        assert all('v1' in builds.builds_of(stream) for stream in cut)

    run_in_memory(check())


# Guards against: callers that take their streams up at another entry get the
# rest of them from another build.
@pytest.mark.parametrize('after', ['', 'store', 'end', 'cut', 'restart'])
def test_stream_taken_up_at_another_entry_goes_on_at_its_build(after):
    async def check():
        builds = await Builds.start(['v1', 'v2'] * 4, entries=4)
        begun = await builds.begin(24, events=20, fronts=(1,))
        await builds.deployment.clock.sleep_ms(300)
        await _disturb(builds, after)
        await builds.take_up(begun, fronts=(2, 3, 4))
        builds.check_builds()
        assert builds.whole() >= GOES_ON_MIN * 24

    run_in_memory(check())


async def _disturb(builds: Builds, after: str) -> None:
    deployment = builds.deployment
    if after == 'store':
        deployment.net.silent.add(STORE_ADDRESS)
    if after == 'cut':
        deployment.net.silent.add('10.1.0.1:7001')
    if after in {'end', 'restart'}:
        _end_entry(deployment, 1)
    if after == 'restart':
        await deployment.add_entry(settings())
        await deployment.clock.sleep_ms(1500)


# Guards against: streams of which no entry knows any more go on at any build,
# or are refused though their build is served.
@pytest.mark.parametrize('names_origin', [True, False])
@pytest.mark.parametrize('v1_is_gone', [True, False])
@pytest.mark.parametrize('is_store_away', [True, False])
def test_all_entries_ended_at_once_and_streams_go_on_at_their_builds(
    names_origin, v1_is_gone, is_store_away
):
    async def check():
        builds = await Builds.start(['v1', 'v2'] * 4)
        builds.names_origin = names_origin
        deployment = builds.deployment
        begun = await builds.begin(24, events=20)
        began_at = [builds.builds_of(stream) for stream in begun]
        assert {'v1'} in began_at
        assert {'v2'} in began_at
        await deployment.clock.sleep_ms(700)
        for number in (1, 2, 3):
            _end_entry(deployment, number)
        if v1_is_gone:
            for runner in builds.of('v1'):
                builds.remove(runner)
        await deployment.clock.sleep_ms(2000)
        await _start_again(deployment)
        if is_store_away:
            deployment.net.silent.add(STORE_ADDRESS)
        await builds.take_up(begun)
        builds.check_builds()
        served = 24 - (began_at.count({'v1'}) if v1_is_gone else 0)
        if not is_store_away:
            assert builds.whole() >= GOES_ON_MIN * served
        refused = [
            stream.answers[-1].status
            for stream in begun
            if not stream.answers[-1].is_whole
        ]
        assert set(refused) <= {503}

    run_in_memory(check())


# Guards against: streams refused for 30 s after all entries were started anew,
# though their service has had one build all the time.
@pytest.mark.parametrize('names_origin', [True, False])
def test_single_build_is_known_after_all_entries_ended(names_origin):
    async def check():
        builds = await Builds.start(['v1'] * 4, settle_ms=40_000)
        builds.names_origin = names_origin
        begun = await builds.begin(24, events=20)
        for number in (1, 2, 3):
            _end_entry(builds.deployment, number)
        await _start_again(builds.deployment)
        await builds.take_up(begun)
        assert builds.whole() >= GOES_ON_MIN * 24

    run_in_memory(check())


# Guards against: a second end of all entries, soon after the first, loses what
# the store knew of streams that began before.
def test_streams_go_on_at_their_builds_after_a_second_end_of_all_entries():
    async def check():
        builds = await Builds.start(['v1', 'v2'] * 4)
        deployment = builds.deployment
        begun = await builds.begin(24, events=20)
        await deployment.clock.sleep_ms(700)
        for _ in range(2):
            for number in (1, 2, 3):
                _end_entry(deployment, number)
            await _start_again(deployment)
            await builds.begin(6, events=2)
            await deployment.clock.sleep_ms(700)
        await builds.take_up(begun)
        builds.check_builds()
        assert sum(len(one.ids) == 60 for one in begun) >= GOES_ON_MIN * 24

    run_in_memory(check())


# Guards against: streams refused after a start of all entries for the builds of
# a host that is gone.
def test_row_of_a_host_that_is_gone_names_no_build():
    gone = BuildRow(1_000_000, {'a': ('v1',)}, {})
    current = [
        BuildRow(9_000_000 + late_ms, {'a': builds}, {})
        for late_ms, builds in ((0, ('v2',)), (31_000, ('v2', 'v3')))
    ]
    stored = StoredBuilds.from_rows([gone, *current], 9_100_000)
    assert stored.builds_by_service == {'a': {'v2', 'v3'}}


def _end_entry(deployment: Deployment, number: int) -> None:
    deployment.tasks[number - 1].cancel()
    for port in (7000, 7001, 8000, 8001):
        deployment.net.kill(f'10.1.0.{number}:{port}')


async def _start_again(deployment: Deployment) -> None:
    """Start the three entries anew, which have ended."""
    del deployment.tasks[:3]
    del deployment.entries[:3]
    for number in (1, 2, 3):
        zone = ZONES[(number - 1) % 3]
        host = f'edge-{zone[0]}-{number}'
        await deployment.add_entry(settings(host, zone, number))
    await deployment.clock.sleep_ms(1500)


def test_stream_taken_up_several_times_stays_at_its_build():
    async def check():
        builds = await Builds.start(['v1', 'v2'] * 4)
        begun = await builds.begin(24, events=10)
        for fronts in ((2, 3, 1), (3, 1, 2), (1, 2, 3)):
            await builds.deployment.clock.sleep_ms(200)
            await builds.take_up(begun, fronts, events=10)
        await builds.take_up(begun, (2, 3, 1))
        builds.check_builds()
        assert builds.whole() >= GOES_ON_MIN * 24

    run_in_memory(check())


# Guards against: streams of callers that name no request are refused, though
# one build alone was seen, or their content tells the build.
@pytest.mark.parametrize('builds_listed', [['v1'] * 4, ['v1', 'v2'] * 4])
def test_stream_is_known_by_its_content_if_no_request_is_named(builds_listed):
    async def check():
        builds = await Builds.start(builds_listed)
        builds.names_origin = False
        begun = await builds.begin(24, events=20, fronts=(1,))
        await builds.deployment.clock.sleep_ms(300)
        await _disturb(builds, 'end')
        await builds.take_up(begun, fronts=(2, 3))
        builds.check_builds()
        assert builds.whole() >= GOES_ON_MIN * 24

    run_in_memory(check())


def test_content_that_began_at_two_builds_tells_none():
    directory = UpstreamDirectory(Clock(lambda: 1.0, lambda: 1.0))
    known = StreamBuilds(directory.clock, directory)
    known.record(7, 'v1', 'own')
    assert known.get(7).build == 'v1'
    known.record(7, 'v2', 'told')
    known.record(7, 'v2', 'told')
    assert known.get(7) is None
    assert known.is_ambiguous(7)


# Guards against: a stream whose build nobody knows goes on anywhere.
def test_stream_of_an_unknown_build_is_refused_at_once():
    async def check():
        builds = await Builds.start(['v1', 'v2'] * 4)
        reached = builds.deployment.ran(builds.deployment.models)
        stream = Stream('/stream/x', b'never-seen')
        stream.answers.append(Answer(body=b'id: 1\n\nid: 2\n\n'))
        started_ms = builds.deployment.clock.now_ms()
        answer = await builds.read(stream, builds.front(2))
        assert answer.status == 503
        assert float(answer.headers[b'retry-after']) > 0
        assert builds.deployment.clock.now_ms() - started_ms < AT_ONCE_MS
        assert builds.deployment.ran(builds.deployment.models) == reached

    run_in_memory(check())


def test_stream_whose_build_has_gone_is_refused_at_once():
    async def check():
        builds = await Builds.start(['v1', 'v1', 'v2', 'v2'])
        begun = await builds.begin(24, events=20)
        gone = [one for one in begun if builds.builds_of(one) == {'v1'}]
        assert gone
        for runner in builds.of('v1'):
            builds.remove(runner)
        await builds.deployment.clock.sleep_ms(5000)
        for stream in gone:
            started_ms = builds.deployment.clock.now_ms()
            answer = await builds.read(stream, builds.front(2))
            assert answer.status == 503
            assert builds.deployment.clock.now_ms() - started_ms < AT_ONCE_MS
        builds.check_builds()

    run_in_memory(check())


# Guards against: a copy of a stream's memory at an upstream of another build.
def test_copies_are_held_by_upstreams_of_the_same_build():
    async def check():
        builds = await Builds.start(['v1', 'v2'] * 5)
        await builds.begin(30)
        build_by_address = {
            runner.address: builds.build_by_instance[runner.instance]
            for runner in builds.deployment.models
        }
        copied = [
            (runner, seen.headers[b'bergamotthread-kv-backup'].decode())
            for runner in builds.deployment.models
            for seen in runner.seen
            if b'bergamotthread-kv-backup' in seen.headers
        ]
        assert len(copied) >= 25
        for runner, target in copied:
            build = builds.build_by_instance[runner.instance]
            assert build_by_address[target] == build

    run_in_memory(check())


# Guards against: the copy that replaces a lost one goes to another build.
def test_renewed_copies_are_held_by_upstreams_of_the_same_build():
    async def check():
        builds = await Builds.start(['v1', 'v2'] * 5)
        deployment = builds.deployment
        task = asyncio.create_task(builds.begin(12))
        await deployment.clock.sleep_ms(1000)
        source_by_target = {
            seen.headers[b'bergamotthread-kv-backup'].decode(): runner
            for runner in deployment.models
            for seen in runner.seen
        }
        for address in list(source_by_target)[:4]:
            [holder] = [
                one for one in deployment.models if one.address == address
            ]
            builds.remove(holder)
        await task
        build_by_address = {
            runner.address: builds.build_by_instance[runner.instance]
            for runner in deployment.models
        }
        renewed = [
            (builds.build_by_instance[runner.instance], target)
            for runner in deployment.models
            for target in runner.copied_to
        ]
        assert renewed
        for build, target in renewed:
            assert build_by_address[target] == build

    run_in_memory(check())


# Guards against: an entry that has not read of a new build yet tells one that
# has that the service has the former one alone.
@pytest.mark.parametrize(
    ('listed', 'expected'), [(['v1'], 'v1'), (['v1', 'v2'], None)]
)
def test_conclusion_of_another_entry_counts_only_if_it_can_be_right(
    listed, expected
):
    async def check():
        builds = await Builds.start(['v1', 'v1', *listed], settle_ms=1500)
        relay = builds.deployment.entries[0]._build_relay
        found = [KnownBuild('v1', 'single edge-b-2')]
        known = relay._concluded(MODEL, found)
        assert (known and known.build) == expected

    run_in_memory(check())


# Guards against: a stream that only one entry knows, since another was not
# reached, is lost with that one.
def test_entry_that_was_not_reached_is_replaced_by_another():
    async def check():
        builds = await Builds.start(['v1', 'v2'] * 4, entries=5)
        net = builds.deployment.net
        net.silent.add('10.1.0.2:7001')
        begun = await builds.begin(24, events=20, fronts=(1,))
        await builds.deployment.clock.sleep_ms(1500)
        knowing = [
            len(entry._build_relay.builds)
            for entry in builds.deployment.entries[2:]
        ]
        # Each of two entries is told, besides the one that began the stream.
        assert sum(knowing) >= 2 * sum(bool(one.ids) for one in begun)
        await _disturb(builds, 'end')
        await builds.take_up(begun, fronts=(3, 4, 5))
        builds.check_builds()
        assert builds.whole() >= GOES_ON_MIN * 24

    run_in_memory(check())


async def _replace(
    builds: Builds, former: str, build: str, count: int, pause_ms: float
) -> None:
    """Replace upstreams one by one: a new one starts, an old one drains."""
    deployment = builds.deployment
    for runner in builds.of(former)[:count]:
        added = await builds.add(build)
        added.script.events = runner.script.events
        await deployment.clock.sleep_ms(pause_ms / 2)
        runner.row |= {'state': 'draining', 'seq': 2}
        deployment.store.put('servers', runner.instance, runner.row)
        asyncio.create_task(_end_later(builds, runner))
        await deployment.clock.sleep_ms(pause_ms / 2)


async def _end_later(builds: Builds, runner: MemoryRunner) -> None:
    await builds.deployment.clock.sleep_ms(3500)
    builds.remove(runner)


async def _load(builds: Builds, per_s: float, duration_s: float) -> None:
    tasks = []
    for number in range(int(per_s * duration_s)):
        one = asyncio.create_task(builds.begin(1, fronts=(number % 3 + 1,)))
        tasks.append(one)
        await builds.deployment.clock.sleep_ms(1000 / per_s)
    await asyncio.gather(*tasks)


async def _released(steps) -> tuple[int, int]:
    """Return the streams cut by a release under load, and all streams."""
    builds = await Builds.start(['v1'] * 8)
    for runner in builds.deployment.models:
        runner.script.events = 150
    load = asyncio.create_task(_load(builds, 5, 24))
    for former, build, count in steps:
        await _replace(builds, former, build, count, 1500)
    await load
    builds.check_builds()
    cut = sum(len(stream.ids) < 150 for stream in builds.streams)
    return cut, len(builds.streams)


RELEASES = {
    'release': [('v1', 'v2', 8)],
    'rolled back': [('v1', 'v2', 4), ('v2', 'v1', 4)],
}


# Guards against: streams begin at the last upstreams of a build that leaves.
@pytest.mark.parametrize('kind', RELEASES)
def test_few_streams_are_cut_by_a_release_under_load(kind):
    cut, streams = run_in_memory(_released(RELEASES[kind]))
    assert cut <= (1 - GOES_ON_MIN) * streams
