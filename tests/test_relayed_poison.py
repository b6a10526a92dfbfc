"""Requests that crash the upstreams running them, on the platform's path."""

from __future__ import annotations

import itertools

import pytest

from bergamotthread.testing.memory_http import run_in_memory
from standins.platform_runner import Seen
from tests.platform_standins import Deployment, MemoryRunner, settings

# Bounds that the platform states: time after the third upstream that a request
# crashed, after which at most `SENT_MAX` more sendings may reach upstreams.
STABLE_MS = 4000
CRASHES = 3
SENT_MAX = 3
RESEND_MS = 800
MARK = b'crashes-its-upstream'


async def _start(entries: int = 3, **counts: int) -> Deployment:
    deployment = await Deployment.start(**counts)
    for number in range(2, entries + 1):
        zone = ('a-1', 'b-1', 'c-1')[(number - 1) % 3]
        host = f'edge-{zone[0]}-{number}'
        await deployment.add_entry(settings(host, zone, number))
    for runner in (*deployment.models, *deployment.plains):
        runner.script.crash_marks = frozenset((MARK,))
    await deployment.clock.sleep_ms(3000)
    return deployment


def _fronts(deployment: Deployment):
    count = len(deployment.entries)
    return itertools.cycle(f'10.1.0.{n}:8000' for n in range(1, count + 1))


def _arrivals(runners: list[MemoryRunner], mark: bytes = MARK) -> list[Seen]:
    """Return the requests with a mark that reached upstreams, in order."""
    reached = [
        seen
        for runner in runners
        for seen in runner.seen
        if mark in seen.target or mark in seen.body
    ]
    return sorted(reached, key=lambda seen: seen.at_ms)


def _crashes(runners: list[MemoryRunner]) -> list[float]:
    return sorted(at_ms for runner in runners for at_ms in runner.crash_ms)


def _sent_after(
    runners: list[MemoryRunner], crashes: int, mark: bytes = MARK
) -> int:
    """Return the sendings that came too late after a number of crashes."""
    crash_ms = _crashes(runners)
    if len(crash_ms) < crashes:
        return 0
    limit_ms = crash_ms[crashes - 1] + STABLE_MS
    return sum(seen.at_ms > limit_ms for seen in _arrivals(runners, mark))


KINDS = {
    'plain': ('/any/poison', b'GET'),
    'once': ('/once/poison', b'POST'),
    'stream': ('/stream/poison', b'POST'),
}


# Guards against: a request that its caller sends again, under a new id and
# through any entry, ends upstream after upstream without limit.
@pytest.mark.parametrize('kind', KINDS)
def test_request_that_crashes_upstreams_is_soon_sent_to_no_more(kind):
    async def check():
        deployment = await _start()
        runners = deployment.models + deployment.plains
        path, method = KINDS[kind]
        path = f'{path}-{MARK.decode()}'
        statuses = []
        for front in itertools.islice(_fronts(deployment), 40):
            answer = await deployment.call(path, front, method=method)
            statuses.append(answer.status)
            await deployment.clock.sleep_ms(RESEND_MS)
        assert len(_crashes(runners)) >= CRASHES
        assert _sent_after(runners, CRASHES) <= SENT_MAX
        assert set(statuses[-10:]) == {503}

    run_in_memory(check())
