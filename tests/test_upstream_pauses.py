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
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.liveness import LivenessWatch
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
from tests.platform_standins import Deployment

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
        directory.record_pause(upstream, 20_000)
        for _ in range(100):
            await clock.sleep_ms(100)
            await watch.is_alive(upstream)
            assert not await watch.refresh_report(upstream)
            watch.check_in_background(upstream)
        assert len(sent) == PAUSE_PROBES_MAX
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
        await deployment.call(path, method=b'GET')
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
        await deployment.call('/stream/x')
        asked_ms = runner.arrivals[0][0]
        await _load(deployment, '/stream/x', 2500)
        assert _arrivals(runner, asked_ms, asked_ms + 3000) == []
        directory = deployment.entries[0]._directory
        assert not directory.is_lost(directory.get(runner.instance))

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


def test_answer_503_that_asks_for_a_pause_is_no_failure_besides():
    async def check():
        deployment = await Deployment.start()
        runner = deployment.plains[0]
        await _settle_plain(deployment, runner)
        directory = deployment.entries[0]._directory
        upstream = directory.get(runner.instance)
        assert directory.decayed_failure_share(upstream) == 0
        runner.script.not_run = True
        await deployment.clock.sleep_ms(8000)
        while len(runner.seen) < 2:
            await deployment.call('/any/x', method=b'GET')
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
        directory = deployment.entries[0]._directory
        upstream = directory.get(runner.instance)
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
