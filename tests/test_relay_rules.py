"""Rules of the users' platform that no other module of tests is about."""

from __future__ import annotations

import asyncio

import pytest

from bergamotthread.testing.memory_http import run_in_memory
from standins.platform_runner import MODEL, PLAIN, route_of
from tests.platform_standins import STORE, Deployment

REMAINING = b'bergamotthread-deadline-remaining'
# Connection and request take this long in memory; the rule allows 500 ms.
ON_ITS_WAY_MS = 20


@pytest.mark.parametrize('attempts', [1, 2, 3])
def test_route_limits_the_upstreams_that_run_a_request(attempts):
    async def check():
        routes = (
            route_of('/few/', 'idempotent', PLAIN, max_attempts=attempts),
            route_of(
                '/few-stream/',
                'streaming',
                MODEL,
                stream_resume=True,
                max_attempts=attempts,
            ),
        )
        deployment = await Deployment.start(models=5, plains=5, routes=routes)
        for runner in (*deployment.models, *deployment.plains):
            runner.script.status = 500
            runner.script.breaks_after = (
                5 if runner in deployment.models else None
            )
        answer = await deployment.call('/few/x', method=b'GET')
        assert answer.status == 500
        assert deployment.ran(deployment.plains) == attempts
        cut = await deployment.call('/few-stream/x')
        assert not cut.is_whole
        assert deployment.ran(deployment.models) == attempts

    run_in_memory(check())


def test_each_attempt_is_handed_the_time_that_is_left():
    async def check():
        deployment = await Deployment.start(plains=3)
        for runner in deployment.plains:
            runner.script.work_ms = 60_000
        started_ms = deployment.clock.now_ms()
        await deployment.call('/any/x', method=b'GET', remaining_ms=1400)
        seen = [one for runner in deployment.plains for one in runner.seen]
        assert len(seen) >= 2
        for one in seen:
            spent_ms = one.at_ms - started_ms
            assert (
                int(one.headers[REMAINING]) <= 1400 - spent_ms + ON_ITS_WAY_MS
            )

    run_in_memory(check())


@pytest.mark.parametrize('fault', ['silent', 'busy'])
def test_outage_of_the_store_alone_cuts_off_nothing(fault):
    async def check():
        deployment = await Deployment.start()
        streams = [
            asyncio.create_task(deployment.call(f'/stream/{number}'))
            for number in range(4)
        ]
        await deployment.clock.sleep_ms(500)
        if fault == 'silent':
            deployment.net.silent.add(STORE)
        else:
            deployment.store.status = 503
        for number in range(40):
            answer = await deployment.call(f'/open/{number}', method=b'GET')
            assert answer.status == 200
            await deployment.clock.sleep_ms(200)
        for answer in await asyncio.gather(*streams):
            assert answer.is_whole
            assert answer.event_ids == list(range(1, 61))

    run_in_memory(check())
