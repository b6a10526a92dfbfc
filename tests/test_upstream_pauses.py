"""Pauses that upstreams ask for: decoded, kept, and ended in steps."""

from __future__ import annotations

import asyncio
import dataclasses
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotthread.clock import Clock
from bergamotthread.connection.http.retry_after import RetryAfter
from bergamotthread.process.relay.choice import UpstreamChoice
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.liveness import (
    PAUSED_SILENCE_MS,
    LivenessWatch,
)
from bergamotthread.process.relay.pauses import (
    PAUSE_MAX_MS,
    PAUSE_PROBES_MAX,
    Incarnation,
    UpstreamPauses,
)
from bergamotthread.process.relay.relay_metrics import RelayMetrics
from bergamotthread.process.relay.upstreams import (
    UpstreamDirectory,
    UpstreamRecord,
    UpstreamState,
)
from bergamotthread.testing.memory_http import run_in_memory
from bergamotthread.testing.virtual_loop import run_virtual
from standins.platform_runner import runner_row
from tests.platform_standins import Deployment, settings

UPSTREAM = Incarnation('u', '10.0.0.1:80', 1)
PAUSE_MS = 2000.0
# Time after the answer for requests that are on their way, by the users' rule.
ON_ITS_WAY_MS = 500


@pytest.mark.parametrize(
    ('texts', 'seconds', 'invalid'),
    [
        ((), None, ()),
        (('2',), 2, ()),
        (('0',), 0, ()),
        (('0.25',), 0.25, ()),
        ((' 1.5 ',), 1.5, ()),
        (('1e9',), 1e9, ()),
        (('1000000000',), 1e9, ()),
        (('-1',), None, ('-1',)),
        (('nan',), None, ('nan',)),
        (('inf',), None, ('inf',)),
        (('1e400',), None, ('1e400',)),
        (('9' * 400,), None, ('9' * 32,)),
        (('1_0',), None, ('1_0',)),
        (('soon',), None, ('soon',)),
        (('',), None, ('',)),
        (('٣',), None, ('Ù£',)),
        (
            ('Fri, 04 Dec 2026 08:00:00 GMT',),
            None,
            ('Fri', '04 Dec 2026 08:00:00 GMT'),
        ),
        (('1', '3'), 3, ()),
        (('3, 1',), 3, ()),
        (('soon', '1'), 1, ('soon',)),
    ],
)
def test_each_value_of_retry_after_is_decided(texts, seconds, invalid):
    headers = [(b'retry-after', text.encode()) for text in texts]
    decoded = RetryAfter.from_headers([(b'x', b'9'), *headers])
    assert decoded == RetryAfter(seconds, invalid)


@given(st.binary(max_size=40))
def test_no_value_of_retry_after_raises_or_is_infinite(payload):
    decoded = RetryAfter.from_headers([(b'retry-after', payload)])
    assert decoded.seconds is None or 0 <= decoded.seconds < 1e200


def test_pause_is_never_shortened_by_a_shorter_answer():
    pauses = UpstreamPauses()
    pauses.record(UPSTREAM, 5000, 100)
    pauses.record(UPSTREAM, 1000, 200)
    assert pauses.is_paused(UPSTREAM, 5099)
    pauses.record(UPSTREAM, 5000, 300)
    assert pauses.is_paused(UPSTREAM, 5299)
    assert not pauses.is_paused(UPSTREAM, 5300)


def test_pause_is_limited_so_that_no_upstream_is_left_for_ever():
    pauses = UpstreamPauses()
    pauses.record(UPSTREAM, 1e12, 0)
    assert pauses.is_paused(UPSTREAM, PAUSE_MAX_MS - 1)
    assert not pauses.is_paused(UPSTREAM, PAUSE_MAX_MS)


def test_pause_of_nothing_holds_nothing():
    pauses = UpstreamPauses()
    assert pauses.record(UPSTREAM, 0, 100) is None
    assert pauses.admit(UPSTREAM, 100)


def test_pause_ends_with_the_incarnation_and_outlives_its_row():
    directory = UpstreamDirectory(_ManualTime().clock())
    record = UpstreamRecord(
        'u', 's', '10.0.0.1:80', 'a-1', UpstreamState.READY, 64, 1
    )
    directory.update(record)
    directory.record_pause(directory.get('u'), PAUSE_MS)
    directory.remove('u')
    directory.update(record)
    assert directory.is_paused(directory.get('u'))
    directory.update(dataclasses.replace(record, started_ms=2))
    assert not directory.is_held(directory.get('u'))
    assert list(directory.of_service('s'))


def test_upstream_that_returns_is_held_between_its_steps():
    time = _ManualTime()
    directory = UpstreamDirectory(time.clock())
    directory.pauses = UpstreamPauses(random.Random(1), lambda: 68)
    record = UpstreamRecord('u', 's', 'h:1', 'a-1', UpstreamState.READY, 64)
    directory.update(record)
    upstream = directory.get('u')
    directory.record_pause(upstream, PAUSE_MS)
    time.now_ms = directory.pauses.opens_ms(record.incarnation)
    assert list(directory.of_service('s')) == [upstream]
    assert directory.admit(upstream)
    assert directory.first_opening('s') is upstream
    assert directory.slots('s') == 0
    assert not directory.admit(upstream)


def test_pauses_that_have_ended_are_forgotten():
    pauses = UpstreamPauses()
    for number in range(100):
        incarnation = Incarnation(f'u{number}', '10.0.0.1:80', number)
        pauses.record(incarnation, PAUSE_MS, number * 10_000)
    assert len(pauses._pause_by_incarnation) == 1


def _admissions(entries, slots, span_ms, pause_ms=PAUSE_MS):
    """Return when entries with more work than they may send admit it."""
    books = [
        UpstreamPauses(random.Random(number), lambda: entries)
        for number in range(entries)
    ]
    for pauses in books:
        pauses.record(UPSTREAM, pause_ms, 0, slots)
    return [
        elapsed_ms
        for elapsed_ms in range(span_ms)
        for pauses in books
        if pauses.admit(UPSTREAM, pause_ms + elapsed_ms)
    ]


@pytest.mark.parametrize('entries', [24, 68])
def test_entries_return_in_steps_and_not_as_a_wave(entries):
    """All entries return to an upstream with 64 slots at the same moment."""
    admitted_ms = _admissions(entries, 64, 1000)
    in_first_ms = [
        sum(at_ms < span_ms for at_ms in admitted_ms)
        for span_ms in (1, 100, 500, 1000)
    ]
    assert in_first_ms[0] == 0
    assert in_first_ms[1] <= 6
    assert in_first_ms[2] <= 20
    assert 20 <= in_first_ms[3] <= 50


@pytest.mark.parametrize(
    ('entries', 'slots'), [(1, 64), (24, 64), (68, 64), (324, 4)]
)
def test_steps_end_soon_after_the_pause(entries, slots):
    pauses = UpstreamPauses(random.Random(1), lambda: entries)
    pauses.record(UPSTREAM, PAUSE_MS, 0, slots)
    assert pauses.ends_ms(UPSTREAM) < PAUSE_MS + 6500
    now_ms = pauses.ends_ms(UPSTREAM)
    assert all(pauses.admit(UPSTREAM, now_ms) for _ in range(1000))


def test_steps_after_a_short_pause_are_short():
    pauses = UpstreamPauses(random.Random(1), lambda: 68)
    pauses.record(UPSTREAM, 100, 0, 64)
    assert pauses.ends_ms(UPSTREAM) < 300


class _ManualTime:
    def __init__(self):
        self.now_ms = 10_000.0

    def clock(self):
        return Clock(lambda: self.now_ms / 1000, lambda: self.now_ms / 1000)


def test_silent_stream_of_a_paused_upstream_is_probed_at_most_twice():
    """Probes of running streams would break the pause."""

    async def check(clock):
        directory = UpstreamDirectory(clock)
        directory.update(
            UpstreamRecord('u', 's', 'h:1', 'a-1', UpstreamState.READY)
        )
        upstream = directory.get('u')
        sent = []

        async def probe(probed):
            sent.append(clock.now_ms())

        watch = LivenessWatch(
            clock,
            directory,
            probe,
            DecisionLog(clock),
            RelayMetrics.from_clock(clock),
        )
        directory.record_heard(upstream)
        heard_ms = clock.now_ms()
        directory.record_pause(upstream, 20_000)
        for _ in range(100):
            await clock.sleep_ms(100)
            await watch.is_alive(upstream)
            assert not await watch.refresh_report(upstream)
        watch.check_in_background(upstream)
        assert len(sent) == PAUSE_PROBES_MAX
        assert sent[0] == heard_ms + PAUSED_SILENCE_MS
        assert directory.is_lost(upstream) is False
        await clock.sleep_ms(12_000)
        await watch.refresh_report(upstream)
        assert len(sent) == PAUSE_PROBES_MAX + 1

    run_virtual(_with_clock(check))


async def _with_clock(check):
    await check(Clock.from_loop(asyncio.get_running_loop()))


def _arrivals(runner, start_ms, end_ms):
    return [
        (at_ms, target)
        for at_ms, target in runner.arrivals
        if start_ms < at_ms < end_ms
    ]


def _listed(deployment, runner):
    directory = deployment.entries[0]._directory
    return directory, directory.get(runner.instance)


async def _load(deployment, path, duration_ms, interval_ms=50, **options):
    calls = []
    for _ in range(int(duration_ms / interval_ms)):
        calls.append(asyncio.create_task(deployment.call(path, **options)))
        await deployment.clock.sleep_ms(interval_ms)
    return await asyncio.gather(*calls)


async def _settle_plain(deployment, runner, seconds='2', path='/any/x'):
    """Let a plain runner ask for a pause; return when it answered."""
    runner.script.retry_after = seconds
    while not runner.seen:
        await deployment.call(path)
    runner.script.retry_after = ''
    return runner.seen[0].ended_ms


@pytest.mark.parametrize('path', ['/any/x', '/once/x'])
def test_paused_plain_upstream_gets_nothing_and_others_serve(path):
    async def check():
        deployment = await Deployment.start()
        runner = deployment.plains[0]
        answered_ms = await _settle_plain(deployment, runner)
        answers = await _load(deployment, path, 3500)
        assert {answer.status for answer in answers} == {200}
        end_ms = answered_ms + 2000
        assert _arrivals(runner, answered_ms, end_ms) == []
        assert _arrivals(runner, end_ms, end_ms + 1000)
        [logged] = deployment.events('upstream-paused')
        assert logged['upstream'] == runner.instance
        assert (logged['asked_s'], logged['applied_s']) == (2, 2)

    run_in_memory(check())


def test_paused_model_upstream_gets_no_streams_copies_or_probes():
    async def check():
        deployment = await Deployment.start(models=4)
        runner = deployment.models[0]
        runner.script.retry_after = '4'
        answers = asyncio.create_task(_load(deployment, '/stream/x', 4500))
        while not runner.seen:
            await deployment.clock.sleep_ms(10)
        answered_ms = deployment.clock.now_ms()
        runner.script.retry_after = ''
        await deployment.clock.sleep_ms(4000)
        copied_to = {
            address
            for other in deployment.models
            for address in other.copied_to
        }
        ended = await answers
        assert copied_to
        assert {answer.status for answer in ended} == {200}
        assert all(answer.is_whole for answer in ended)
        end_ms = answered_ms + 4000
        # The rule leaves half a second for what is on its way.
        start_ms = answered_ms + ON_ITS_WAY_MS
        assert _arrivals(runner, start_ms, end_ms) == []
        by_holder = [
            seen.headers.get(b'bergamotthread-kv-backup', b'').decode()
            for other in deployment.models[1:]
            for seen in other.seen
            if start_ms < seen.at_ms < end_ms
        ]
        assert len(by_holder) > 30
        assert runner.address not in by_holder
        assert runner.address not in copied_to

    run_in_memory(check())


def test_pause_asked_for_by_a_load_report_is_kept():
    """Reports are requests as well; a 503 to one is no loss."""

    async def check():
        deployment = await Deployment.start()
        runner = deployment.models[0]
        runner.script.report_retry_after = '3'
        task = asyncio.create_task(deployment.call('/stream/x'))
        await deployment.clock.sleep_ms(150)
        directory, upstream = _listed(deployment, runner)
        assert directory.is_paused(upstream)
        assert not directory.is_lost(upstream)
        assert deployment.events('attempt') == []
        asked_ms = runner.arrivals[0][0]
        await _load(deployment, '/stream/x', 2500)
        assert _arrivals(runner, asked_ms, asked_ms + 3000) == []
        assert (await task).is_whole

    run_in_memory(check())


@pytest.mark.parametrize(
    ('path', 'method'),
    [('/stream/x', b'POST'), ('/any/x', b'GET'), ('/once/x', b'POST')],
)
def test_request_is_refused_at_once_if_all_upstreams_are_paused(path, method):
    async def check():
        deployment = await Deployment.start()
        runners = deployment.models + deployment.plains
        for runner in runners:
            runner.script.retry_after = '6'
        # A pause holds nobody that could be served: others are asked first.
        first = await deployment.call(path, method=method)
        assert first.status == 503
        arrived = sum(len(runner.arrivals) for runner in runners)
        asked_ms = deployment.clock.now_ms()
        refused = [
            await deployment.call(path, method=method) for _ in range(20)
        ]
        took_ms = deployment.clock.now_ms() - asked_ms
        assert took_ms < 20 * 50
        assert {answer.status for answer in refused} == {503}
        assert sum(len(runner.arrivals) for runner in runners) == arrived
        waits = [float(answer.headers[b'retry-after']) for answer in refused]
        limit_s = (25 if 'stream' in path else 1.5) * 0.33
        assert max(waits) <= limit_s
        if 'stream' in path:
            # From the earliest end, and spread.
            assert min(waits) > 4.9
            assert max(waits) - min(waits) > 0.2
        refusals = deployment.events('refused')[-20:]
        assert {fields['reason'] for fields in refusals} == {'upstreams-paused'}

    run_in_memory(check())


@pytest.mark.parametrize(
    ('path', 'pause'), [('/any/x', '.2'), ('/stream/x', '1')]
)
def test_short_pause_of_all_upstreams_is_waited_for(path, pause):
    async def check():
        deployment = await Deployment.start(models=1, plains=1)
        for runner in deployment.models + deployment.plains:
            runner.script.retry_after = pause
        task = asyncio.create_task(deployment.call(path))
        await deployment.clock.sleep_ms(100)
        for runner in deployment.models + deployment.plains:
            runner.script.retry_after = ''
        assert (await task).status == 200

    run_in_memory(check())


def test_only_as_many_requests_wait_as_the_steps_admit():
    """The others would be held until their time for placement is over."""

    async def check():
        deployment = await Deployment.start(models=1)
        [runner] = deployment.models
        directory, upstream = _listed(deployment, runner)
        directory.pauses.count_entries = lambda: 68
        directory.record_pause(upstream, 1000)
        wait_until_ms = deployment.clock.now_ms() + 1800
        room = directory.room_until(upstream.record.service, wait_until_ms)
        assert 0 < room < 8
        calls = [
            asyncio.create_task(deployment.call('/stream/x')) for _ in range(12)
        ]
        await deployment.clock.sleep_ms(100)
        refused = [call.result().status for call in calls if call.done()]
        assert refused == [503] * (12 - room)
        answers = await asyncio.gather(*calls)
        assert [answer.status for answer in answers].count(200) == room
        assert not +directory.pauses.waiting_by_service

    run_in_memory(check())


@pytest.mark.parametrize('path', ['/any/x', '/stream/x'])
def test_answer_503_that_asks_for_a_pause_is_no_failure_besides(path):
    async def check():
        deployment = await Deployment.start(models=1, plains=1)
        is_stream = path == '/stream/x'
        [runner] = deployment.models if is_stream else deployment.plains
        await _settle_plain(deployment, runner, path=path)
        directory, upstream = _listed(deployment, runner)
        assert directory.decayed_failure_share(upstream) == 0
        runner.script.not_run = True
        await deployment.clock.sleep_ms(8000)
        await deployment.call(path)
        assert directory.decayed_failure_share(upstream) > 0

    run_in_memory(check())


@pytest.mark.parametrize(
    ('status', 'headers', 'value', 'is_paused', 'logged'),
    [
        (503, ((b'bergamotthread-not-executed', b'1'),), '3', True, 0),
        (503, (), '3', True, 0),
        (429, ((b'bergamotthread-not-executed', b'1'),), '3', False, 0),
        (500, (), '3', False, 0),
        (503, (), '0', False, 0),
        (503, (), '-3', False, 1),
        (503, (), 'nan', False, 1),
        (503, (), 'Fri, 04 Dec 2026 08:00:00 GMT', False, 1),
        (503, ((b'retry-after', b'7'),), '3', True, 0),
        (503, (), '1e9', True, 0),
    ],
)
def test_each_answer_is_a_pause_or_not(
    status, headers, value, is_paused, logged
):
    async def check():
        deployment = await Deployment.start()
        runner = deployment.plains[0]
        runner.script.turns_away_with = (status, headers)
        await _settle_plain(deployment, runner, value)
        directory, upstream = _listed(deployment, runner)
        assert directory.is_paused(upstream) is is_paused
        assert len(deployment.events('retry-after-invalid')) == logged
        paused = [
            fields['applied_s']
            for fields in deployment.events('upstream-paused')
        ]
        expected = (
            {'3': 3, '1e9': PAUSE_MAX_MS / 1000}[value] if is_paused else 0
        )
        if headers == ((b'retry-after', b'7'),):
            expected = 7
        assert paused == ([expected] if is_paused else [])
        metrics = deployment.entries[0]._metrics_response()[1]
        assert f'relay_upstreams_paused {int(is_paused)}' in metrics

    run_in_memory(check())


def test_upstream_that_starts_anew_is_used_before_the_pause_ends():
    async def check():
        deployment = await Deployment.start(plains=1)
        [runner] = deployment.plains
        await _settle_plain(deployment, runner, '1e9', '/any/x')
        assert (await deployment.call('/any/x')).status == 503
        row = runner_row(runner.address, 'plain-service', 'a-1', born=10**9)
        deployment.store.put('servers', runner.instance, row)
        await deployment.clock.sleep_ms(300)
        assert (await deployment.call('/any/x')).status == 200

    run_in_memory(check())


@pytest.mark.parametrize(
    ('path', 'pause', 'status'),
    [('/any/x', '9', 502), ('/stream/x', '60', 502), ('/stream/x', '3', 200)],
)
def test_request_that_may_have_run_is_not_said_not_to_have_run(
    path, pause, status
):
    """A 503 without the header for "not executed" promises nothing.

    A stream waits for the end of the pauses only if they end in its time.
    """

    async def check():
        deployment = await Deployment.start(models=2, plains=2)
        runners = deployment.models + deployment.plains
        for runner in runners:
            runner.script.turns_away_with = (503, ())
            runner.script.retry_after = pause
        task = asyncio.create_task(deployment.call(path))
        await deployment.clock.sleep_ms(1000)
        assert task.done() is (status == 502)
        for runner in runners:
            runner.script.retry_after = ''
        assert (await task).status == status

    run_in_memory(check())


@pytest.mark.parametrize('path', ['/any/x', '/stream/x'])
def test_request_is_not_sent_if_the_pause_began_while_it_connected(path):
    async def check():
        deployment = await Deployment.start()
        group = deployment.models if 'stream' in path else deployment.plains
        pool = deployment.entries[0]._pool
        acquire = pool.acquire

        async def acquire_late(address, *more):
            connection = await acquire(address, *more)
            if address == group[0].address and not group[0].arrivals:
                directory, upstream = _listed(deployment, group[0])
                directory.record_pause(upstream, 5000)
            return connection

        if path == '/stream/x':
            await deployment.call(path)
            for runner in group:
                runner.arrivals.clear()
        pool.acquire = acquire_late
        answers = await _load(deployment, path, 300)
        assert {answer.status for answer in answers} == {200}
        started = deployment.clock.now_ms() - 3000
        sent = [target for _, target in _arrivals(group[0], started, 1e9)]
        assert [target for target in sent if target != b'/api/report'] == []

    run_in_memory(check())


def test_control_calls_keep_the_pause():
    async def check():
        deployment = await Deployment.start()
        runner, other, third = deployment.models
        memory = deployment.entries[0]._parts.kv_cache
        directory, upstream = _listed(deployment, runner)
        target = directory.get(other.instance)
        runner.script.report_retry_after = '5'
        await memory.copy(upstream, 'r1', target)
        assert directory.is_paused(upstream)
        del runner.arrivals[:]
        assert await memory.copy(upstream, 'r1', target) == ''
        await memory.drop(upstream, f'{runner.address}/h1')
        assert await memory.cached_tokens(upstream, b'aa') == 0
        assert runner.arrivals == []
        pool = deployment.entries[0]._pool
        acquire = pool.acquire

        async def acquire_late(address):
            directory.record_pause(target, 5000)
            return await acquire(address)

        pool.acquire = acquire_late
        await memory.drop(target, f'{other.address}/h1')
        assert other.arrivals == []
        _, paused = _listed(deployment, third)
        directory.record_pause(paused, 5000)
        opened = pool.opened
        await memory.drop(paused, f'{third.address}/h1')
        assert pool.opened == opened

    run_in_memory(check())


@pytest.mark.parametrize(
    ('pause_ms', 'is_replaced'), [(1500, False), (9000, True)]
)
def test_stream_does_not_resume_at_a_paused_holder(pause_ms, is_replaced):
    """A copy is replaced only where the pause is long enough to be worth it."""

    async def check():
        deployment = await Deployment.start()
        by_address = {model.address: model for model in deployment.models}
        task = asyncio.create_task(deployment.call('/stream/x'))
        await deployment.clock.sleep_ms(1000)
        source = next(model for model in deployment.models if model.seen)
        holder_address = source.seen[0].headers[b'bergamotthread-kv-backup']
        holder = by_address[holder_address.decode()]
        holder.script.copies = {f'{holder.address}/r1'}
        directory, upstream = _listed(deployment, holder)
        directory.record_pause(upstream, pause_ms)
        del holder.arrivals[:]
        await deployment.clock.sleep_ms(700)
        third = next(
            model
            for model in deployment.models
            if model not in {source, holder}
        )
        assert source.copied_to == [third.address] * is_replaced
        source.kill()
        answer = await task
        assert answer.event_ids == list(range(1, 61))
        assert holder.arrivals == []
        assert third.seen

    run_in_memory(check())


def test_holder_takes_no_copies_until_its_steps_are_over():
    """All streams would be copied at once to the engine that returns."""
    time = _ManualTime()
    directory = UpstreamDirectory(time.clock())
    for number in range(2):
        address = f'10.0.0.{number}:80'
        directory.update(
            UpstreamRecord(
                f'u{number}', 's', address, 'b-1', UpstreamState.READY, 64
            )
        )
    returning, other = directory.of_service('s')
    other.held_tokens = 1000
    choice = UpstreamChoice(directory, 'a-1', {}, random.Random(1))
    directory.record_pause(returning, PAUSE_MS)
    time.now_ms += PAUSE_MS + 100
    assert not directory.is_held(returning)
    assert choice.copy_holder_among([returning, other], 10) is other
    time.now_ms += 10_000
    assert choice.copy_holder_among([returning, other], 10) is not None
    assert not directory.is_returning(returning)


@pytest.mark.parametrize('key', [b'aa', b'bb', b'cc', b'dd'])
def test_affinity_does_not_send_to_a_paused_upstream(key):
    directory = UpstreamDirectory(_ManualTime().clock())
    for number in range(3):
        record = UpstreamRecord(
            f'u{number}', 's', f'h{number}:1', 'a-1', UpstreamState.READY
        )
        directory.update(record)
    first, *others = directory.by_affinity('s', key)
    directory.record_pause(first, PAUSE_MS)
    assert list(directory.by_affinity('s', key)) == others
    assert first not in directory.of_service('s')


@pytest.mark.parametrize(
    ('value', 'event'),
    [('5', 'upstream-paused'), ('soon', 'retry-after-invalid')],
)
def test_answers_to_many_requests_are_logged_once(value, event):
    async def check():
        deployment = await Deployment.start(plains=1)
        deployment.plains[0].script.retry_after = value
        await asyncio.gather(*(deployment.call('/once/x') for _ in range(20)))
        assert len(deployment.plains[0].seen) >= 20
        assert len(deployment.events(event)) == 1

    run_in_memory(check())


def test_paused_upstream_that_falls_silent_loses_its_streams_in_time():
    async def check():
        deployment = await Deployment.start()
        for model in deployment.models:
            model.script.copies = {
                f'{other.address}/r1' for other in deployment.models
            }
        task = asyncio.create_task(deployment.call('/stream/x'))
        await deployment.clock.sleep_ms(1500)
        source = next(model for model in deployment.models if model.seen)
        directory, upstream = _listed(deployment, source)
        directory.record_pause(upstream, 9000)
        await deployment.clock.sleep_ms(300)
        source.silence()
        answer = await task
        assert answer.event_ids == list(range(1, 61))
        assert answer.longest_pause_ms < 700

    run_in_memory(check())


@pytest.mark.parametrize('entries', [24, 68])
def test_whole_entries_return_in_steps(entries):
    """All turn to the idle upstream in its own failure domain at once."""

    async def check():
        deployment = await Deployment.start(models=0)
        for number in range(2, entries + 1):
            await deployment.add_entry(
                settings(f'edge-{number}', 'a-1', number)
            )
        await deployment.clock.sleep_ms(4000)
        for number, entry in enumerate(deployment.entries):
            entry._directory.pauses.rng = random.Random(number)
        runner = deployment.plains[0]
        runner.script.retry_after = '2'

        async def call_all(duration_ms):
            answers = await asyncio.gather(
                *(
                    _load(
                        deployment,
                        '/any/x',
                        duration_ms,
                        front=f'10.1.0.{number}:8000',
                    )
                    for number in range(1, entries + 1)
                )
            )
            assert {one.status for some in answers for one in some} == {200}

        await call_all(50)
        asked_ms = [at_ms for at_ms, _ in runner.arrivals]
        assert len(asked_ms) == entries
        runner.script.retry_after = ''
        end_ms = max(asked_ms) + 2000
        await deployment.clock.sleep_ms(end_ms - deployment.clock.now_ms())
        await call_all(1000)
        assert len(_arrivals(runner, max(asked_ms), end_ms)) == 0
        assert len(_arrivals(runner, end_ms, end_ms + 250)) <= 10
        assert 10 <= len(_arrivals(runner, end_ms, end_ms + 1000)) <= 60

    run_in_memory(check())
