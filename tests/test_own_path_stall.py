"""Streams of an entry whose own link or processor stalls."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from bergamotthread.platform.entry import ENTRIES_MIN
from bergamotthread.testing.memory_http import run_in_memory
from standins.platform_runner import MODEL, PLAIN, STREAM_EVENTS, route_of
from standins.platform_settings import REPEAT_SLACK
from tests.platform_standins import Deployment

STREAMS = 8
# Longest time until output is resumed after a loss.
RESUME_BOUND_MS = 3000


async def _start_streams(deployment, count=STREAMS):
    """Start streams and wait until all of them have events."""
    tasks = [
        asyncio.create_task(deployment.call('/stream/x')) for _ in range(count)
    ]
    await deployment.clock.sleep_ms(1000)
    return tasks


def _limit_retries(deployment, **limits):
    budget = deployment.entries[0]._parts.retry_budget
    budget.limits = dataclasses.replace(budget.limits, **limits)
    return budget


# Guards against streams that were cut beside a large version: it filled the
# entry's link, all upstreams seemed silent at once, and the retry budget ended.
@pytest.mark.parametrize('stall_ms', [500, 1200, 2500])
def test_stall_of_the_own_link_neither_cuts_nor_repeats_streams(stall_ms):
    async def check():
        deployment = await Deployment.start(models=6)
        # Eight entries are assumed at least; in the incident, 26 shared the
        # slack.
        _limit_retries(deployment, slack=REPEAT_SLACK * 8 / 26)
        tasks = await _start_streams(deployment)
        deployment.net.hold(stall_ms)
        answers = await asyncio.gather(*tasks)
        assert [answer.is_whole for answer in answers] == [True] * STREAMS
        for answer in answers:
            assert answer.event_ids == list(range(1, STREAM_EVENTS + 1))
        assert deployment.ran(deployment.models) == STREAMS

    run_in_memory(check())


# Guards against streams that were cut although time was left, because the
# retry budget had no room at the moment of a loss.
def test_started_stream_waits_for_the_retry_budget_instead_of_being_cut():
    async def check():
        deployment = await Deployment.start(models=3)
        budget = _limit_retries(deployment, ratio=0, slack=0)
        [task] = await _start_streams(deployment, 1)
        next(model for model in deployment.models if model.seen).kill()
        await deployment.clock.sleep_ms(1500)
        assert not task.done()
        budget.limits = dataclasses.replace(budget.limits, ratio=4)
        answer = await task
        assert answer.is_whole
        assert answer.event_ids == list(range(1, STREAM_EVENTS + 1))

    run_in_memory(check())


def test_loss_of_two_domains_is_not_taken_for_a_stall_of_the_own_link():
    async def check():
        deployment = await Deployment.start(models=6)
        tasks = await _start_streams(deployment)
        for number, model in enumerate(deployment.models):
            if number % 3:
                model.silence()
        answers = await asyncio.gather(*tasks)
        for answer in answers:
            assert answer.event_ids == list(range(1, STREAM_EVENTS + 1))
            assert answer.longest_pause_ms < RESUME_BOUND_MS
        assert not deployment.events('own-path-doubted')

    run_in_memory(check())


def test_stall_is_logged_once_and_counted():
    async def check():
        deployment = await Deployment.start(models=6)
        tasks = await _start_streams(deployment)
        deployment.net.hold(1200)
        await asyncio.gather(*tasks)
        assert len(deployment.events('own-path-doubted')) == 1
        outcomes = {
            fields['outcome'] for fields in deployment.events('attempt')
        }
        assert outcomes == {'StreamEnded'}
        metrics = deployment.entries[0]._parts.metrics.registry.expose()
        assert 'relay_own_path_doubts_total 0' not in metrics

    run_in_memory(check())


# Guards against streams that gave up silent attempts for a retry that only one
# of them could get, and then waited without an attempt.
def test_silent_attempt_is_kept_unless_its_own_retry_is_reserved():
    async def check():
        deployment = await Deployment.start(models=3)
        tasks = await _start_streams(deployment, 6)
        _limit_retries(deployment, ratio=0, slack=ENTRIES_MIN)
        for model in deployment.models[:2]:
            model.silence()
        await deployment.clock.sleep_ms(1000)
        outcomes = [
            fields['outcome'] for fields in deployment.events('attempt')
        ]
        assert outcomes.count('Broken') <= 2
        for task in tasks:
            task.cancel()

    run_in_memory(check())


# Guards against a stream that goes on in its attempt and keeps the retry that
# it reserved, which no other stream could use.
def test_stream_that_goes_on_reserves_no_retry():
    async def check():
        deployment = await Deployment.start(models=3)
        budget = _limit_retries(deployment, ratio=0, slack=8)
        [task] = await _start_streams(deployment, 1)
        liveness = deployment.entries[0]._parts.liveness
        is_alive = liveness.is_alive

        async def answer_no_after_a_while(*_):
            await deployment.clock.sleep_ms(100)
            return False

        liveness.is_alive = answer_no_after_a_while
        deployment.net.hold(150)
        await deployment.clock.sleep_ms(300)
        liveness.is_alive = is_alive
        assert budget.has_room(MODEL)
        answer = await task
        assert answer.event_ids == list(range(1, STREAM_EVENTS + 1))
        assert deployment.ran(deployment.models) == 1

    run_in_memory(check())


# Guards against a plain service that is refused for seconds after a stall of
# the own link, because connections to its upstreams could not be opened.
@pytest.mark.parametrize('path', ['/any/x', '/once/x'])
def test_stall_of_the_own_link_leaves_no_plain_upstream_lost(path):
    async def check():
        deployment = await Deployment.start(plains=4)
        tasks = [
            asyncio.create_task(deployment.call(path)) for _ in range(STREAMS)
        ]
        # The requests have arrived and connections are being opened.
        await deployment.clock.sleep_ms(3.5)
        deployment.net.hold(1300)
        await asyncio.gather(*tasks)
        await deployment.clock.sleep_ms(100)
        for _ in range(8):
            answer = await deployment.call(path)
            assert answer.status == 200

    run_in_memory(check())


def test_plain_upstream_without_connections_is_lost_while_others_are_heard():
    async def check():
        deployment = await Deployment.start(plains=4)
        deployment.plains[0].silence()
        dark = deployment.plains[0].instance
        talking = await _start_streams(deployment, 1)
        directory = deployment.entries[0]._directory
        while not directory.is_lost(directory.get(dark)):
            answer = await deployment.call('/any/x')
            assert answer.status == 200
            assert not talking[0].done()
        await asyncio.gather(*talking)

    run_in_memory(check())


# Guards against a plain request whose running attempt is given up although no
# other attempt may follow.
@pytest.mark.parametrize('limit', ['budget', 'attempts'])
def test_slow_plain_request_without_a_retry_keeps_its_attempt(limit):
    async def check():
        once = route_of('/one/', 'idempotent', PLAIN, max_attempts=1)
        deployment = await Deployment.start(routes=(once,))
        if limit == 'budget':
            _limit_retries(deployment, ratio=0, slack=0)
        for plain in deployment.plains:
            plain.script.work_ms = 400
        path = '/any/x' if limit == 'budget' else '/one/x'
        answer = await deployment.call(path)
        assert answer.status == 200
        assert deployment.ran(deployment.plains) == 1

    run_in_memory(check())


# Guards against a caller that is kept waiting until its deadline for a stream
# without a head, although it could try again elsewhere.
def test_stream_without_a_head_does_not_wait_long_for_the_retry_budget():
    async def check():
        deployment = await Deployment.start(models=3)
        _limit_retries(deployment, ratio=0, slack=0)
        started_ms = deployment.clock.now_ms()
        call = asyncio.create_task(deployment.call('/stream/x'))
        await deployment.clock.sleep_ms(200)
        next(model for model in deployment.models if model.seen).kill()
        answer = await call
        assert answer.status == 502
        assert deployment.clock.now_ms() - started_ms < RESUME_BOUND_MS

    run_in_memory(check())


# Guards against plain requests that are sent twice because of a stall of the
# entry's own link.
def test_stall_of_the_own_link_repeats_no_plain_request():
    async def check():
        deployment = await Deployment.start(plains=4)
        for plain in deployment.plains:
            plain.script.work_ms = 100
        tasks = [
            asyncio.create_task(deployment.call('/any/x')) for _ in range(6)
        ]
        await deployment.clock.sleep_ms(20)
        deployment.net.hold(900)
        answers = await asyncio.gather(*tasks)
        assert [answer.status for answer in answers] == [200] * 6
        assert deployment.ran(deployment.plains) == 6

    run_in_memory(check())
