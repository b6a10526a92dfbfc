"""Requests that crash the upstreams running them, on the platform's path."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from bergamotthread.process.relay.crash_watch import RELAYED_QUARANTINE_MS
from bergamotthread.testing.memory_http import run_in_memory
from standins.platform_runner import PROMPT_PARTS, Seen
from tests.platform_standins import Deployment, MemoryRunner, settings

# Bounds that the platform states: time after the third upstream that a request
# crashed, after which at most `SENT_MAX` more sendings may reach upstreams.
STABLE_MS = 4000
CRASHES = 3
SENT_MAX = 3
RESEND_MS = 800
MARK = b'deadly'


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


# Guards against: a request that crashes its upstreams after it has made
# progress ends one after another, as its progress, or a rest of it that another
# upstream completes, counts as proof that it is sound.
@pytest.mark.parametrize('crash_ms', [200, 400, 600, 700, 1500, 4000])
@pytest.mark.parametrize('copies', [1, 2])
def test_request_that_crashes_upstreams_late_is_soon_sent_to_no_more(
    crash_ms, copies
):
    async def resend(deployment, fronts, statuses):
        for front in itertools.islice(fronts, 20):
            answer = await deployment.call(
                f'/stream/poison-{MARK.decode()}', front, method=b'POST'
            )
            statuses.append(answer.status)
            await deployment.clock.sleep_ms(RESEND_MS)

    async def check():
        deployment = await _start(models=8)
        for runner in deployment.models:
            runner.script.event_ms = 100
            runner.script.events = 80
            runner.script.crash_events = crash_ms // 100
        statuses = []
        fronts = _fronts(deployment)
        senders = (resend(deployment, fronts, statuses) for _ in range(copies))
        await asyncio.gather(*senders)
        assert len(_crashes(deployment.models)) >= CRASHES
        assert _sent_after(deployment.models, CRASHES) <= SENT_MAX
        assert set(statuses[-10:]) == {503}

    run_in_memory(check())


# Guards against: a request whose upstreams fall silent in place of refusing
# connections is sent on and on.
@pytest.mark.parametrize('crash_ms', [100, 300, 700])
def test_request_that_silences_upstreams_is_soon_sent_to_no_more(crash_ms):
    async def check():
        deployment = await _start(models=8)
        for runner in deployment.models:
            runner.falls_silent = True
            runner.script.event_ms = 100
            runner.script.events = 80
            runner.script.crash_events = crash_ms // 100
        statuses = []
        for front in itertools.islice(_fronts(deployment), 10):
            answer = await deployment.call(
                f'/stream/poison-{MARK.decode()}', front, method=b'POST'
            )
            statuses.append(answer.status)
            await deployment.clock.sleep_ms(2000)
        assert len(_crashes(deployment.models)) >= CRASHES
        assert _sent_after(deployment.models, CRASHES) <= SENT_MAX
        assert set(statuses[-5:]) == {503}

    run_in_memory(check())


async def _crash_until_quarantined(deployment: Deployment, path: str) -> None:
    for front in itertools.islice(_fronts(deployment), 12):
        await deployment.call(path, front, method=b'GET')
        await deployment.clock.sleep_ms(RESEND_MS)


POISON_PATH = f'/any/poison-{MARK.decode()}'
OPEN_POISON_PATH = f'/open/poison-{MARK.decode()}'


def test_quarantined_request_is_refused_at_once_and_has_not_run():
    async def check():
        deployment = await _start()
        await _crash_until_quarantined(deployment, POISON_PATH)
        await deployment.clock.sleep_ms(4000)
        reached = len(_arrivals(deployment.plains))
        for front in itertools.islice(_fronts(deployment), 3):
            started_ms = deployment.clock.now_ms()
            answer = await deployment.call(POISON_PATH, front, method=b'GET')
            assert answer.status == 503
            assert float(answer.headers[b'retry-after']) > 60
            assert b'crashed while' in answer.body
            assert deployment.clock.now_ms() - started_ms < 50
        assert len(_arrivals(deployment.plains)) == reached

    run_in_memory(check())


# Guards against: sound requests refused because they stood beside one that
# crashes its upstreams, or came from the same caller.
def test_sound_requests_beside_a_poisonous_one_are_served():
    async def check():
        deployment = await _start(plains=6, models=6)
        fronts = _fronts(deployment)
        sound = []
        poisonous = []
        for number in range(40):
            front = next(fronts)
            poisonous.append(
                asyncio.create_task(
                    deployment.call(POISON_PATH, front, method=b'GET')
                )
            )
            sound += [
                asyncio.create_task(
                    deployment.call(f'/any/{number}', one, method=b'GET')
                )
                for one in itertools.islice(fronts, 3)
            ]
            await deployment.clock.sleep_ms(400)
        answers = await asyncio.gather(*sound)
        await asyncio.gather(*poisonous)
        late = answers[len(answers) // 2 :]
        assert {answer.status for answer in late} == {200}
        reasons = [
            refused['content']
            for entry in range(3)
            for refused in deployment.events('refused', entry)
            if refused['reason'] == 'quarantined'
        ]
        assert len(set(reasons)) == 1

    run_in_memory(check())


# Guards against: answers that break off without a crash (spoiled answers,
# connections reset on the way) counted as crashes.
@pytest.mark.parametrize('kind', KINDS)
def test_broken_answers_of_live_upstreams_quarantine_nothing(kind):
    async def check():
        deployment = await _start()
        path, method = KINDS[kind]
        for runner in deployment.models + deployment.plains:
            runner.script.breaks_after = 2
        for front in itertools.islice(_fronts(deployment), 8):
            await deployment.call(path, front, method=method)
        for runner in deployment.models + deployment.plains:
            runner.script.breaks_after = None
        for front in itertools.islice(_fronts(deployment), 3):
            answer = await deployment.call(path, front, method=method)
            assert answer.status == 200
        assert not deployment.events('quarantined')

    run_in_memory(check())


# Guards against: streams quarantined because the upstreams of a failure domain
# were lost under them three times.
def test_streams_resumed_after_losses_of_domains_are_served():
    async def check():
        deployment = await _start(models=9)
        fronts = _fronts(deployment)
        streams = []
        for wave in range(3):
            streams += [
                asyncio.create_task(
                    deployment.call(f'/stream/{wave}-{number}', next(fronts))
                )
                for number in range(12)
            ]
            await deployment.clock.sleep_ms(430)
            for runner in deployment.models[wave::3]:
                runner.crash_ms.append(deployment.clock.now_ms())
                runner.kill()
                asyncio.create_task(runner.restart(runner))
            await deployment.clock.sleep_ms(3500)
        answers = await asyncio.gather(*streams)
        assert {answer.status for answer in answers} == {200}
        assert all(answer.is_whole for answer in answers)
        assert not deployment.events('quarantined')

    run_in_memory(check())


# Guards against: an entry that starts, or the only one that saw the crashes
# and ends, sends a request on that is known to crash upstreams.
def test_entry_that_starts_refuses_what_the_others_know():
    async def check():
        deployment = await _start()
        await _crash_until_quarantined(deployment, POISON_PATH)
        deployment.tasks[0].cancel()
        deployment.net.kill('10.1.0.1:8000')
        deployment.net.kill('10.1.0.1:7000')
        await deployment.clock.sleep_ms(4000)
        reached = len(_arrivals(deployment.plains))
        await deployment.add_entry(settings())
        await deployment.clock.sleep_ms(1500)
        answer = await deployment.call(POISON_PATH, method=b'GET')
        assert answer.status == 503
        assert len(_arrivals(deployment.plains)) == reached

    run_in_memory(check())


# Guards against: entries that learn of crashes only through the store.
@pytest.mark.parametrize('entries', [3, 6])
def test_crashes_are_shared_while_the_store_is_away(entries):
    async def check():
        deployment = await _start(entries, plains=12)
        deployment.store.status = 503
        for front in itertools.islice(_fronts(deployment), 20):
            await deployment.call(
                OPEN_POISON_PATH, front, method=b'GET', key=''
            )
            await deployment.clock.sleep_ms(RESEND_MS)
        assert len(_crashes(deployment.plains)) >= CRASHES
        assert _sent_after(deployment.plains, CRASHES) <= SENT_MAX

    run_in_memory(check())


def test_quarantine_ends_with_one_trial():
    async def check():
        deployment = await _start()
        await _crash_until_quarantined(deployment, POISON_PATH)
        for plain in deployment.plains:
            plain.script.crash_marks = frozenset()
        await deployment.clock.sleep_ms(RELAYED_QUARANTINE_MS)
        answer = await deployment.call(POISON_PATH, method=b'GET')
        assert answer.status == 200
        again = await deployment.call(POISON_PATH, method=b'GET')
        assert again.status == 200

    run_in_memory(check())


async def _assert_quarantined(deployment: Deployment) -> None:
    """Check that three entries refuse the request as quarantined."""
    for front in itertools.islice(_fronts(deployment), 3):
        answer = await deployment.call(POISON_PATH, front, method=b'GET')
        assert answer.status == 503
        assert b'crashed while' in answer.body


async def _restart_all(deployment: Deployment, entries: int = 3) -> None:
    for task in deployment.tasks:
        task.cancel()
    for number in range(1, entries + 1):
        for port in (7000, 7001, 8000, 8001):
            deployment.net.kill(f'10.1.0.{number}:{port}')
    await deployment.clock.sleep_ms(1000)
    for number in range(1, entries + 1):
        zone = ('a-1', 'b-1', 'c-1')[(number - 1) % 3]
        host = f'edge-{zone[0]}-{number}'
        await deployment.add_entry(settings(host, zone, number))
    await deployment.clock.sleep_ms(1500)


# Guards against: a quarantine that ends with the processes that know it.
def test_quarantine_outlives_all_entries():
    async def check():
        deployment = await _start()
        await _crash_until_quarantined(deployment, POISON_PATH)
        await deployment.clock.sleep_ms(4000)
        reached = len(_arrivals(deployment.plains))
        await _restart_all(deployment)
        await _assert_quarantined(deployment)
        assert len(_arrivals(deployment.plains)) == reached

    run_in_memory(check())


# Guards against: each of several entries that reach the store, but not one
# another, counting crashes for itself.
def test_crashes_are_shared_by_entries_cut_from_one_another():
    async def check():
        deployment = await _start(4, plains=12)
        for number in range(1, 5):
            for port in (7000, 7001):
                deployment.net.kill(f'10.1.0.{number}:{port}')
        for front in itertools.islice(_fronts(deployment), 30):
            await deployment.call(f'/once/{MARK.decode()}', front)
            await deployment.clock.sleep_ms(RESEND_MS)
        assert len(_crashes(deployment.plains)) >= CRASHES
        assert _sent_after(deployment.plains, CRASHES) <= SENT_MAX

    run_in_memory(check())


def test_operator_lifts_a_quarantine_by_removing_its_row():
    async def check():
        deployment = await _start()
        await _crash_until_quarantined(deployment, POISON_PATH)
        for plain in deployment.plains:
            plain.script.crash_marks = frozenset()
        content = deployment.events('quarantined')[0]['fingerprint']
        deployment.store.remove('entries', f'quarantine/{content}')
        await deployment.clock.sleep_ms(3000)
        for front in itertools.islice(_fronts(deployment), 3):
            answer = await deployment.call(POISON_PATH, front, method=b'GET')
            assert answer.status == 200
        assert deployment.events('quarantine-lifted')

    run_in_memory(check())


# Bounds that the platform states for a part of a prompt that crashes upstreams.
PART_CRASHES = 5
FIRST_PART = b'aa01:800'
DEADLY_PART = b'dead:400'


def _parts_of(number: int, *, is_deadly: bool) -> tuple[bytes, ...]:
    middle = DEADLY_PART if is_deadly else b'%04x:400' % (number % 7)
    return (FIRST_PART, middle, b'%06x:250' % number)


async def _prompt(
    deployment: Deployment, front: str, number: int, *, is_deadly: bool
):
    parts = b','.join(_parts_of(number, is_deadly=is_deadly))
    return await deployment.call(
        f'/stream/{number}',
        front,
        extra=((PROMPT_PARTS, parts), (b'bergamotthread-model', b'm')),
        body=b'prompt %d' % number,
    )


async def _start_deadly_part(entries: int = 3, models: int = 9) -> Deployment:
    deployment = await _start(entries, models=models)
    for model in deployment.models:
        model.script.crash_marks = frozenset((DEADLY_PART,))
    return deployment


def _deadly_arrivals(deployment: Deployment) -> list[float]:
    return sorted(
        seen.at_ms
        for model in deployment.models
        for seen in model.seen
        if DEADLY_PART in seen.headers[PROMPT_PARTS]
    )


# Guards against: requests that are no two alike but share a part of their
# prompts that crashes upstreams end upstream after upstream; and against sound
# requests with the same caller and first part refused with them.
@pytest.mark.parametrize('entries', [3, 6])
def test_part_that_crashes_upstreams_reaches_few_more_after_the_fifth(entries):
    async def check():
        deployment = await _start_deadly_part(entries)
        fronts = _fronts(deployment)
        deadly = []
        sound = []
        for number in range(60):
            is_deadly = number % 4 == 0
            task = asyncio.create_task(
                _prompt(deployment, next(fronts), number, is_deadly=is_deadly)
            )
            (deadly if is_deadly else sound).append(task)
            await deployment.clock.sleep_ms(400)
        answers = await asyncio.gather(*sound)
        refused = await asyncio.gather(*deadly)
        crash_ms = _crashes(deployment.models)
        assert len(crash_ms) >= 3
        if len(crash_ms) >= PART_CRASHES:
            limit_ms = crash_ms[PART_CRASHES - 1] + STABLE_MS
            late = [at for at in _deadly_arrivals(deployment) if at > limit_ms]
            assert len(late) <= SENT_MAX
        assert {answer.status for answer in answers} == {200}
        assert all(answer.is_whole for answer in answers)
        assert {answer.status for answer in refused[-5:]} == {503}

    run_in_memory(check())


# Guards against: a part of prompts that crashes upstreams before the head of an
# answer is charged to the sound requests beside it, and the part that all share
# is refused in its place.
@pytest.mark.parametrize('crash_ms', [0, 100, 400, 1000, 2000])
@pytest.mark.parametrize('interval_ms', [400, 120])
def test_part_that_crashes_before_the_head_is_found(crash_ms, interval_ms):
    async def check():
        deployment = await _start_deadly_part(3)
        for model in deployment.models:
            model.script.crashes_before_head_ms = crash_ms
        fronts = _fronts(deployment)
        sound = []
        deadly = []
        for number in range(160):
            is_deadly = number % 4 == 0
            task = asyncio.create_task(
                _prompt(deployment, next(fronts), number, is_deadly=is_deadly)
            )
            (deadly if is_deadly else sound).append(task)
            await deployment.clock.sleep_ms(interval_ms)
        answers = await asyncio.gather(*sound)
        await asyncio.gather(*deadly)
        crashed_ms = _crashes(deployment.models)
        served = sum(answer.status == 200 for answer in answers)
        late = []
        if len(crashed_ms) >= PART_CRASHES:
            limit_ms = crashed_ms[PART_CRASHES - 1] + STABLE_MS
            late = [at for at in _deadly_arrivals(deployment) if at > limit_ms]
        assert len(late) <= SENT_MAX
        assert served >= 0.9 * len(answers)

    run_in_memory(check())


# Guards against: of two parts that crash upstreams at the same time, the deaths
# of one hide the other, or condemn the part that all share.
@pytest.mark.parametrize('crash_ms', [None, 100, 400, 1000])
def test_two_parts_that_crash_upstreams_at_once_are_both_found(crash_ms):
    async def check():
        deployment = await _start_deadly_part(3)
        marks = (DEADLY_PART, b'0003:400')
        for model in deployment.models:
            model.script.crash_marks = frozenset(marks)
            model.script.crashes_before_head_ms = crash_ms
        fronts = _fronts(deployment)
        sound = []
        tasks = []
        for number in range(160):
            is_deadly = number % 4 == 0
            is_sound = not is_deadly and number % 7 != 3
            task = asyncio.create_task(
                _prompt(deployment, next(fronts), number, is_deadly=is_deadly)
            )
            (sound if is_sound else tasks).append(task)
            await deployment.clock.sleep_ms(300)
        answers = await asyncio.gather(*sound)
        await asyncio.gather(*tasks)
        served = sum(answer.status == 200 for answer in answers)
        assert served >= 0.9 * len(answers)
        crashed_ms = _crashes(deployment.models)
        if len(crashed_ms) < 2 * PART_CRASHES:
            return
        limit_ms = crashed_ms[2 * PART_CRASHES - 1] + STABLE_MS
        for mark in marks:
            late = [
                seen.at_ms
                for model in deployment.models
                for seen in model.seen
                if mark in seen.headers[PROMPT_PARTS] and seen.at_ms > limit_ms
            ]
            assert len(late) <= SENT_MAX

    run_in_memory(check())


def test_attempt_after_a_broken_one_at_the_same_upstream_is_charged():
    """The first broke off without a crash."""

    async def check():
        deployment = await _start(entries=1, models=1, plains=1)
        [plain] = deployment.plains
        plain.script.crash_marks = frozenset()
        plain.script.breaks_after = 0
        task = asyncio.create_task(
            deployment.call(POISON_PATH, method=b'GET', remaining_ms=1500)
        )
        await deployment.clock.sleep_ms(40)
        plain.script.breaks_after = None
        plain.script.crash_marks = frozenset((MARK,))
        await task
        crashed = deployment.events('upstream-crashed')
        assert len(crashed) == len(plain.crash_ms) == 1
        assert crashed[0]['running']

    run_in_memory(check())


# Guards against: a quarantine lost as the store comes back older.
def test_quarantine_is_written_again_after_the_store_came_back_older():
    async def check():
        deployment = await _start()
        copy = deployment.store.ver
        await _crash_until_quarantined(deployment, POISON_PATH)
        await deployment.clock.sleep_ms(2000)
        deployment.store.restore(copy)
        await deployment.clock.sleep_ms(4000)
        reached = len(_arrivals(deployment.plains))
        await _restart_all(deployment)
        await _assert_quarantined(deployment)
        assert len(_arrivals(deployment.plains)) == reached

    run_in_memory(check())
