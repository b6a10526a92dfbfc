"""The whole entry against stand-ins of the platform, in virtual time."""

from __future__ import annotations

import asyncio

import pytest

from bergamotthread.platform.store import StoreCallError
from bergamotthread.process.relay.choice import Work
from bergamotthread.request.relay.attempt import WHOLE_ANSWER_BYTES_MAX
from bergamotthread.request.relay.events import EVENT_BYTES_MAX
from bergamotthread.testing.memory_http import run_in_memory
from standins.platform_runner import (
    KEY,
    PLAIN,
    SEAL,
    manifest,
    runner_row,
)
from tests.platform_standins import Deployment, settings


def test_each_kind_of_request_gets_its_whole_answer():
    async def check():
        day = await Deployment.start()
        plain = await day.call('/once/x')
        looked_up = await day.call('/any/x', method=b'GET')
        stream = await day.call('/stream/x')
        assert (plain.status, plain.body) == (200, b'answer')
        assert (looked_up.status, looked_up.body) == (200, b'answer')
        assert stream.status == 200
        assert stream.is_whole
        assert stream.event_ids == list(range(1, 61))
        assert SEAL in plain.headers

    run_in_memory(check())


def test_request_is_forwarded_unchanged_but_for_what_the_entry_sets():
    async def check():
        day = await Deployment.start(plains=1)
        forged = (
            (b'bergamotthread-tenant', b'other'),
            (b'bergamotthread-hold', b'h'),
            (b'bergamotthread-pin-duration', b'9'),
            (b'bergamotthread-kv-backup', b'1.2.3.4:5'),
            (b'kv-from', b'1.2.3.4:5/x'),
            (b'x-own', b'kept'),
            (b'connection', b'x-hop'),
            (b'x-hop', b'dropped'),
        )
        await day.call('/once/a?b=c', extra=forged, body=b'\x00body')
        seen = day.plains[0].seen[0]
        assert (seen.method, seen.target) == (b'POST', b'/once/a?b=c')
        assert seen.body == b'\x00body'
        assert seen.headers[b'bergamotthread-tenant'] == b'team-one'
        assert seen.headers[b'bergamotthread-expect-instance'] == b'p0'
        assert seen.headers[b'x-own'] == b'kept'
        remaining = int(seen.headers[b'bergamotthread-deadline-remaining'])
        assert 1400 <= remaining <= 1500
        for name in (
            b'authorization',
            b'bergamotthread-hold',
            b'bergamotthread-pin-duration',
            b'bergamotthread-kv-backup',
            b'kv-from',
            b'x-hop',
        ):
            assert name not in seen.headers

    run_in_memory(check())


def test_answer_that_is_too_long_to_hold_is_not_passed_on():
    async def check():
        day = await Deployment.start(plains=1)
        day.plains[0].script.answer = b'x' * WHOLE_ANSWER_BYTES_MAX
        whole = await day.call('/once/x')
        assert (whole.status, len(whole.body)) == (200, WHOLE_ANSWER_BYTES_MAX)
        runner = day.plains[0]
        runner.script.answer = b'x' * 2 * WHOLE_ANSWER_BYTES_MAX
        assert (await day.call('/once/x')).status == 502

    run_in_memory(check())


def test_request_that_may_run_once_is_not_sent_again_after_a_loss():
    async def check():
        day = await Deployment.start(plains=2)
        for plain in day.plains:
            plain.script.breaks_after = 0
        answer = await day.call('/once/x')
        assert answer.status == 502
        assert day.ran(day.plains) == 1

    run_in_memory(check())


def test_request_that_may_run_once_goes_on_after_a_refusal_to_run():
    async def check():
        day = await Deployment.start(plains=2)
        day.plains[0].script.not_run = True
        answers = [await day.call('/once/x') for _ in range(3)]
        assert [answer.status for answer in answers] == [200, 200, 200]

    run_in_memory(check())


def test_refusal_everywhere_says_not_run_and_when_to_come_again():
    async def check():
        day = await Deployment.start(plains=2)
        for plain in day.plains:
            plain.script.not_run = True
        answer = await day.call('/once/x')
        assert answer.status == 503
        assert float(answer.headers[b'retry-after']) > 0
        assert SEAL not in answer.headers

    run_in_memory(check())


def test_repeatable_request_is_sent_again_after_a_loss():
    async def check():
        day = await Deployment.start(plains=2)
        day.plains[0].script.breaks_after = 0
        answers = [await day.call('/any/x', method=b'GET') for _ in range(4)]
        assert {answer.status for answer in answers} == {200}

    run_in_memory(check())


def test_repeatable_request_leaves_a_silent_upstream():
    async def check():
        day = await Deployment.start(plains=2)
        day.plains[0].script.work_ms = 60_000
        answer = await day.call('/any/x', method=b'GET')
        assert answer.status == 200

    run_in_memory(check())


def _copies_everywhere(day, request_id='r1'):
    for model in day.models:
        model.script.copies = {
            f'{one.address}/{request_id}' for one in day.models
        }


@pytest.mark.parametrize('loss', ['reset', 'kill', 'silence'])
def test_stream_goes_on_from_its_copy_as_one_answer(loss):
    async def check():
        day = await Deployment.start()
        _copies_everywhere(day)
        task = asyncio.create_task(day.call('/stream/x'))
        await day.clock.sleep_ms(1500)
        runner = next(model for model in day.models if model.seen)
        if loss == 'reset':
            day.net.reset(runner.address)
        elif loss == 'kill':
            runner.kill()
        else:
            runner.silence()
        answer = await task
        assert answer.is_whole
        assert answer.event_ids == list(range(1, 61))
        assert answer.headers[SEAL] == runner.instance.encode()
        assert answer.longest_pause_ms < 700
        resumed = [
            seen
            for model in day.models
            for seen in model.seen
            if b'kv-from' in seen.headers
        ]
        assert len(resumed) == 1
        assert resumed[0].headers[b'last-event-id'].isdigit()

    run_in_memory(check())


def test_stream_without_a_copy_reads_its_prompt_again():
    async def check():
        day = await Deployment.start()
        task = asyncio.create_task(day.call('/stream/x'))
        await day.clock.sleep_ms(1500)
        next(model for model in day.models if model.seen).kill()
        answer = await task
        assert answer.is_whole
        assert answer.event_ids == list(range(1, 61))

    run_in_memory(check())


def test_waiting_for_an_upstream_spends_no_repeats():
    """Each look for an upstream once took a repeat from the budget."""

    async def check():
        day = await Deployment.start()
        task = asyncio.create_task(day.call('/stream/x'))
        await day.clock.sleep_ms(1500)
        for model in day.models:
            day.store.remove('servers', model.instance)
            model.kill()
        await day.clock.sleep_ms(4000)
        await day.add_runner('m9', 'model-service', 'b-1')
        answer = await task
        assert answer.is_whole
        assert answer.event_ids == list(range(1, 61))

    run_in_memory(check())


def test_plain_request_that_waits_for_an_upstream_spends_no_repeats():
    """Twenty requests that look several times each are all within budget."""

    async def check():
        day = await Deployment.start(plains=1)
        [refusing] = day.plains
        refusing.script.not_run = True
        calls = [day.call('/any/x', method=b'GET') for _ in range(20)]
        waiting = asyncio.gather(*calls)
        await day.clock.sleep_ms(50)
        assert day.ran(day.plains) == 20
        day.store.remove('servers', refusing.instance)
        await day.clock.sleep_ms(200)
        await day.add_runner('p9', PLAIN, 'b-1')
        answers = await waiting
        assert {answer.status for answer in answers} == {200}

    run_in_memory(check())


def test_event_without_an_end_cuts_the_stream():
    async def check():
        day = await Deployment.start(models=1)
        day.models[0].script.padding = EVENT_BYTES_MAX
        answer = await day.call('/once-stream/x')
        assert not answer.is_whole
        [told] = day.events('refused')
        assert 'expected at most' in str(told['detail'])

    run_in_memory(check())


def test_stalled_stream_is_taken_to_another_upstream():
    async def check():
        day = await Deployment.start()
        _copies_everywhere(day)
        for model in day.models:
            model.script.stalls_after = 10
        answer = await day.call('/stream/x')
        assert answer.event_ids[:30] == list(range(1, 31))
        ended = [seen.ended_ms for model in day.models for seen in model.seen]
        assert len(ended) > 1

    run_in_memory(check())


def test_stream_that_may_run_once_is_cut_after_a_loss():
    async def check():
        day = await Deployment.start()
        task = asyncio.create_task(day.call('/once-stream/x'))
        await day.clock.sleep_ms(1500)
        next(model for model in day.models if model.seen).kill()
        answer = await task
        assert not answer.is_whole
        assert day.ran(day.models) == 1

    run_in_memory(check())


def test_half_an_event_is_never_passed_on():
    async def check():
        day = await Deployment.start(models=1)
        day.models[0].script.breaks_after = 5
        answer = await day.call('/once-stream/x')
        assert answer.event_ids == [1, 2, 3, 4, 5]
        assert answer.body.endswith(b'data: t5 r1\n\n')
        assert not answer.is_whole

    run_in_memory(check())


def test_stream_that_ends_within_an_event_is_not_whole():
    async def check():
        day = await Deployment.start(models=1)
        day.models[0].script.ends_in_event = True
        answer = await day.call('/once-stream/x')
        assert not answer.is_whole
        assert answer.event_ids == list(range(1, 61))

    run_in_memory(check())


def test_events_that_are_sent_again_are_not_passed_on_twice():
    async def check():
        day = await Deployment.start()
        _copies_everywhere(day)
        task = asyncio.create_task(day.call('/stream/x'))
        await day.clock.sleep_ms(1500)
        for model in day.models:
            model.script.repeats = 3
        next(model for model in day.models if model.seen).kill()
        answer = await task
        assert answer.event_ids == list(range(1, 61))

    run_in_memory(check())


def test_copy_is_made_anew_when_its_holder_is_lost():
    """Load: one failure domain after another, seconds apart."""

    async def check():
        day = await Deployment.start()
        task = asyncio.create_task(day.call('/stream/x'))
        await day.clock.sleep_ms(1000)
        runner = next(model for model in day.models if model.seen)
        told = runner.seen[0].headers[b'bergamotthread-kv-backup'].decode()
        by_address = {model.address: model for model in day.models}
        holder = by_address.pop(told)
        by_address.pop(runner.address)
        third = next(iter(by_address.values()))
        third.script.copies = {f'{runner.address}/h1'}
        holder.kill()
        day.store.remove('servers', holder.instance)
        await day.clock.sleep_ms(700)
        assert runner.copied_to == [third.address]
        runner.kill()
        answer = await task
        assert answer.is_whole
        assert answer.longest_pause_ms < 700

    run_in_memory(check())


def _held_tokens(day):
    directory = day.entries[0]._parts.directory
    there = directory.of_service('model-service')
    return {one.record.instance: one.held_tokens for one in there}


def test_copies_of_streams_at_once_are_spread():
    """Those of one burst once went to one holder, which then refused them."""

    async def check():
        day = await Deployment.start(models=6)
        prompt = ((b'bergamotthread-prompt-prefix', b'p:8000'),)
        calls = [day.call('/stream/x', extra=prompt) for _ in range(6)]
        waiting = asyncio.gather(*calls)
        await day.clock.sleep_ms(1000)
        assert max(_held_tokens(day).values()) <= 3 * 8000
        assert sum(_held_tokens(day).values()) == 6 * 8000
        answers = await waiting
        assert all(answer.is_whole for answer in answers)
        assert set(_held_tokens(day).values()) == {0}

    run_in_memory(check())


@pytest.mark.parametrize('how', ['caller leaves', 'upstream is lost'])
def test_copy_is_no_longer_counted_once_its_stream_is_over(how):
    async def check():
        day = await Deployment.start()
        connection = await day.connect()
        connection.send(day.request('/stream/x'), b'')
        await day.clock.sleep_ms(1500)
        assert sum(_held_tokens(day).values()) == 8000
        if how == 'caller leaves':
            connection.close()
        else:
            next(model for model in day.models if model.seen).kill()
            await day.read(connection)
        await day.clock.sleep_ms(500)
        assert set(_held_tokens(day).values()) == {0}

    run_in_memory(check())


def test_copy_that_is_not_needed_is_freed():
    async def check():
        day = await Deployment.start()
        task = asyncio.create_task(day.call('/stream/x'))
        await day.clock.sleep_ms(1000)
        runner = next(model for model in day.models if model.seen)
        told = runner.seen[0].headers[b'bergamotthread-kv-backup'].decode()
        day.net.kill(told)
        holder = next(one for one in day.models if one.address == told)
        day.store.remove('servers', holder.instance)
        answer = await task
        assert answer.is_whole
        await day.clock.sleep_ms(100)
        assert runner.freed == ['/api/kv-handle/h1']

    run_in_memory(check())


def _returning(part: str) -> tuple[tuple[bytes, bytes], ...]:
    parts = f'aa:200,{part}:7800'.encode()
    return (
        (b'bergamotthread-prompt-prefix', parts),
        (b'last-event-id', b'20'),
    )


def test_stream_that_comes_back_goes_where_its_prompt_is_cached():
    """Load: an entry is killed, and its callers come back elsewhere."""

    async def check():
        day = await Deployment.start(models=12)
        choice = day.entries[0]._parts.choice
        for number in range(6):
            part = f'bb{number}'
            work = Work(
                'model-service',
                prompt_tokens=8000,
                affinity=part.encode(),
            )
            last = choice.draw(work)[-1].record.instance
            reader = next(one for one in day.models if one.instance == last)
            reader.cached.add(part)
            answer = await day.call('/stream/x', extra=_returning(part))
            assert answer.event_ids == list(range(21, 61))
            assert len(reader.seen) == 1
            reader.seen.clear()

    run_in_memory(check())


def test_stream_that_comes_back_to_no_cache_is_placed_as_a_new_one():
    async def check():
        day = await Deployment.start()
        answer = await day.call('/stream/x', extra=_returning('bb'))
        assert answer.event_ids == list(range(21, 61))

    run_in_memory(check())


def test_unknown_key_and_route():
    async def check():
        day = await Deployment.start()
        assert (await day.call('/once/x', key='other')).status == 401
        assert (await day.call('/once/x', key='')).status == 401
        assert (await day.call('/nowhere/x')).status == 404
        assert (await day.call('/open/x', key='')).status == 200

    run_in_memory(check())


def test_removed_key_is_refused_and_a_version_never_goes_back():
    async def check():
        day = await Deployment.start()
        day.store.put('op', 'config', manifest(9, keys=('key-two',)))
        await day.clock.sleep_ms(100)
        assert (await day.call('/once/x')).status == 401
        day.store.put('op', 'config', manifest(3, keys=(KEY,)))
        await day.clock.sleep_ms(100)
        assert (await day.call('/once/x')).status == 401
        assert (await day.call('/once/x', key='key-two')).status == 200

    run_in_memory(check())


def test_manifest_that_cannot_be_read_keeps_the_former_one():
    async def check():
        day = await Deployment.start()
        day.store.put('op', 'config', b'{"version": "x"}')
        await day.clock.sleep_ms(100)
        assert (await day.call('/once/x')).status == 200
        told = day.events('manifest-refused')
        assert '$.version' in str(told[0]['detail'])

    run_in_memory(check())


@pytest.mark.parametrize('fault', ['silent', 'status', 'loses_answers'])
def test_keys_are_trusted_only_while_the_version_is_proved(fault):
    async def check():
        day = await Deployment.start()
        if fault == 'silent':
            day.net.silent.add('10.200.1.7:8000')
        elif fault == 'status':
            day.store.status = 429
        else:
            day.store.loses_answers = True
        await day.clock.sleep_ms(2500)
        assert (await day.call('/once/x')).status == 200
        await day.clock.sleep_ms(2500)
        refused = await day.call('/once/x')
        assert refused.status == 503
        assert float(refused.headers[b'retry-after']) > 0
        assert (await day.call('/open/x', key='')).status == 200
        day.net.silent.clear()
        day.store.status = 0
        day.store.loses_answers = False
        await day.clock.sleep_ms(2500)
        assert (await day.call('/once/x')).status == 200

    run_in_memory(check())


def test_calm_entry_never_doubts_its_version():
    """Polls of 2.4 s let the proof of the version lapse in calm."""

    async def check():
        day = await Deployment.start()
        for _ in range(40):
            await day.clock.sleep_ms(311)
            assert (await day.call('/once/x')).status == 200

    run_in_memory(check())


def test_entry_without_a_version_refuses_as_not_run():
    """Its refusal once raised on the infinite age and cut the caller off."""

    async def check():
        day = Deployment()
        await day.store.listen('10.200.1.7:8000')
        day.store.status = 503
        await day.add_entry(settings())
        await day.clock.sleep_ms(100)
        answer = await day.call('/once/x')
        assert answer.status == 503
        assert float(answer.headers[b'retry-after']) > 0

    run_in_memory(check())


def test_request_waits_for_the_first_version():
    async def check():
        day = Deployment()
        await day.store.listen('10.200.1.7:8000')
        await day.add_runner('p0', 'plain-service', 'a-1')
        await day.add_entry(settings())
        await asyncio.sleep(0)
        task = asyncio.create_task(day.call('/open/x', key=''))
        await day.clock.sleep_ms(100)
        day.store.put('op', 'config', manifest())
        assert (await task).status == 200

    run_in_memory(check())


def test_forgotten_history_is_read_anew():
    async def check():
        day = await Deployment.start()
        day.net.silent.add('10.200.1.7:8000')
        await day.clock.sleep_ms(1000)
        day.store.put('op', 'config', manifest(9, keys=('key-two',)))
        day.store.forget_history()
        day.net.silent.clear()
        await day.clock.sleep_ms(4000)
        assert (await day.call('/once/x', key='key-two')).status == 200
        assert day.events('store-history-lost')

    run_in_memory(check())


def test_rows_of_other_writers_name_no_upstream():
    async def check():
        day = await Deployment.start()
        day.store.put('servers', 'odd-1', b'\xff\xfe')
        day.store.put('servers', 'odd-2', {'service': 5})
        day.store.put('servers', 'odd-3', {'service': 'plain-service'})
        await day.clock.sleep_ms(1500)
        for _ in range(6):
            assert (await day.call('/once/x')).status == 200

    run_in_memory(check())


async def _after_an_outage(day, outage_ms=3000):
    """Take the store away for a while and wait until it answers again."""
    day.store.status = 503
    await day.clock.sleep_ms(outage_ms)
    day.store.status = 0
    await day.clock.sleep_ms(1000)


def test_upstream_removed_after_an_outage_is_gone_within_the_bound():
    """It was kept for 2.5 s from its removal, and for a poll more."""

    async def check():
        day = await Deployment.start(plains=2)
        await _after_an_outage(day)
        removed_ms = day.clock.now_ms()
        leaving = day.plains[0]
        day.store.remove('servers', leaving.instance)
        gone = []
        while not gone:
            await day.clock.sleep_ms(20)
            gone = [one['upstream'] for one in day.events('upstream-gone')]
        assert gone == [leaving.instance]
        assert day.clock.now_ms() - removed_ms < 2000

    run_in_memory(check())


def test_upstream_without_a_row_is_left_alone_where_there_are_others():
    async def check():
        day = await Deployment.start(plains=2)
        await _after_an_outage(day)
        leaving, staying = day.plains
        day.store.remove('servers', leaving.instance)
        await day.clock.sleep_ms(300)
        before = len(leaving.seen)
        for _ in range(6):
            assert (await day.call('/once/x')).status == 200
        assert len(leaving.seen) == before
        assert not day.events('upstream-gone')
        day.store.remove('servers', staying.instance)
        await day.clock.sleep_ms(300)
        assert (await day.call('/once/x')).status == 200

    run_in_memory(check())


def test_row_that_comes_back_after_an_outage_is_used_again():
    async def check():
        day = await Deployment.start(plains=1)
        day.store.status = 503
        await day.clock.sleep_ms(3000)
        [plain] = day.plains
        row = runner_row(plain.address, PLAIN, 'a-1', born=1)
        day.store.remove('servers', plain.instance)
        day.store.status = 0
        await day.clock.sleep_ms(1500)
        assert (await day.call('/once/x')).status == 200
        day.store.put('servers', plain.instance, row)
        await day.clock.sleep_ms(5000)
        assert not day.events('upstream-gone')
        assert (await day.call('/once/x')).status == 200

    run_in_memory(check())


def test_draining_upstream_gets_no_new_work():
    async def check():
        day = await Deployment.start(plains=2)
        runner = day.plains[0]
        row = {
            'service': 'plain-service',
            'address': runner.address,
            'zone': 'a-1',
            'state': 'draining',
            'born': 1,
        }
        day.store.put('servers', runner.instance, row)
        await day.clock.sleep_ms(1500)
        before = len(runner.seen)
        for _ in range(8):
            assert (await day.call('/once/x')).status == 200
        assert len(runner.seen) == before

    run_in_memory(check())


def test_address_of_another_incarnation_is_not_used_again():
    async def check():
        day = await Deployment.start(plains=2)
        day.plains[0].instance = 'someone-else'
        answers = [await day.call('/once/x') for _ in range(6)]
        assert {answer.status for answer in answers} == {200}

    run_in_memory(check())


def test_run_ends_when_the_caller_leaves():
    async def check():
        day = await Deployment.start()
        connection = await day.connect()
        connection.send(day.request('/stream/x'), b'')
        await day.clock.sleep_ms(1000)
        connection.close()
        left_ms = day.clock.now_ms()
        await day.clock.sleep_ms(500)
        seen = next(model.seen[0] for model in day.models if model.seen)
        assert 0 < seen.ended_ms < left_ms + 100
        assert day.ran(day.models) == 1

    run_in_memory(check())


def test_deadline_ends_a_request_that_waits():
    async def check():
        day = await Deployment.start(plains=1)
        day.plains[0].script.work_ms = 60_000
        started_ms = day.clock.now_ms()
        answer = await day.call('/once/x', remaining_ms=900)
        assert answer.status == 504
        assert day.clock.now_ms() - started_ms < 1100

    run_in_memory(check())


def test_drain_finishes_streams_and_closes_kept_connections():
    async def check():
        day = await Deployment.start()
        stream = asyncio.create_task(day.call('/stream/x'))
        idle = await day.connect()
        idle.send(day.request('/once/x'), b'')
        await day.read(idle)
        await day.clock.sleep_ms(500)
        day.entries[0].stop()
        during = await day.call('/once/x')
        assert during.status == 200
        assert during.headers[b'connection'] == b'close'
        ready = await _ready(day)
        assert ready == 503
        answer = await stream
        assert answer.is_whole
        await day.clock.sleep_ms(3000)
        assert not idle.is_open
        assert day.tasks[0].done()

    run_in_memory(check())


def test_late_stream_is_refused_while_draining():
    async def check():
        day = await Deployment.start()
        day.entries[0].stop()
        await day.clock.sleep_ms(2000)
        answer = await day.call('/stream/x')
        assert answer.status == 503
        assert day.ran(day.models) == 0

    run_in_memory(check())


async def _ready(day) -> int:
    connection = await day.connect('10.1.0.1:8001')
    connection.send(b'GET /api/ready HTTP/1.1\r\nhost: x\r\n\r\n', b'')
    return (await day.read(connection)).status


def test_metrics_tell_answers_refusals_and_times():
    async def check():
        day = await Deployment.start()
        await day.call('/once/x')
        await day.call('/stream/x')
        await day.call('/once/x', key='other')
        connection = await day.connect('10.1.0.1:7000')
        connection.send(b'GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n', b'')
        shown = (await day.read(connection)).body.decode()
        assert 'relay_answers_total{status="200"} 2' in shown
        assert 'relay_refusals_total{reason="unknown-key"} 1' in shown
        assert 'relay_attempts_total{outcome="StreamEnded"} 1' in shown
        assert 'relay_first_event_ms_count 1' in shown
        assert 'relay_upstreams 5' in shown

    run_in_memory(check())


def test_balancer_is_told_when_the_version_is_old():
    async def check():
        day = await Deployment.start()
        assert await _ready(day) == 200
        day.net.silent.add('10.200.1.7:8000')
        await day.clock.sleep_ms(4600)
        assert await _ready(day) == 503

    run_in_memory(check())


def test_outage_is_logged_once_at_its_start_and_once_at_its_end():
    """An entry whose peers failed too once logged the store as regained."""

    async def check():
        day = await _two_entries()
        day.store.status = 503
        await day.clock.sleep_ms(6000)
        lost = [told['table'] for told in day.events('store-lost')]
        assert sorted(lost) in (['op', 'servers'], ['entries', 'op', 'servers'])
        assert day.events('store-regained') == []
        day.store.status = 0
        await day.clock.sleep_ms(3000)
        regained = [told['table'] for told in day.events('store-regained')]
        assert sorted(regained) == sorted(lost)

    run_in_memory(check())


async def _two_entries() -> Deployment:
    day = await Deployment.start()
    await day.add_entry(settings('edge-a-2', number=2))
    await day.clock.sleep_ms(3000)
    return day


def test_second_entry_follows_the_first():
    async def check():
        day = await _two_entries()
        day.store.calls.clear()
        await day.clock.sleep_ms(5000)
        alone = day.store.calls.count('/api/rows-feed')
        assert alone <= 12
        day.store.put('op', 'config', manifest(9, keys=('key-two',)))
        await day.clock.sleep_ms(100)
        front = '10.1.0.2:8000'
        answer = await day.call('/once/x', front, key='key-two')
        assert answer.status == 200

    run_in_memory(check())


def test_follower_reads_the_store_when_the_first_entry_falls_silent():
    """A ring of followers broke the bound for drains once (hunt, seed
    784917696255 of trouble-1): it learned of a drain after 3.2 s."""

    async def check():
        day = await _two_entries()
        day.net.silent.add('10.1.0.1:7001')
        day.store.remove('servers', 'p0')
        await day.clock.sleep_ms(2600)
        gone = day.events('upstream-gone', entry=1)
        assert [told['upstream'] for told in gone] == ['p0']

    run_in_memory(check())


def test_entry_does_not_follow_one_that_follows_another():
    async def check():
        day = await _two_entries()
        await day.add_entry(settings('edge-a-0', number=3))
        await day.clock.sleep_ms(3000)
        client = day.entries[2]._store
        with pytest.raises(StoreCallError, match='direct: False'):
            await client.follow('10.1.0.2:7001', 'servers', 10, 10, 5000)
        with pytest.raises(StoreCallError, match='ms old'):
            await client.follow('10.1.0.3:7001', 'servers', 10, 10, -1)

    run_in_memory(check())


def test_entry_cut_from_the_store_hears_through_another():
    async def check():
        day = await _two_entries()
        connect = day.net.connect

        async def cut(factory, address):
            if address == '10.200.1.7:8000' and cutting:
                raise ConnectionRefusedError(address)
            return await connect(factory, address)

        cutting = True
        day.net.connect = cut
        day.net.reset('10.200.1.7:8000')
        await day.clock.sleep_ms(300)
        cutting = False
        await day.clock.sleep_ms(3000)
        day.store.remove('servers', 'p0')
        await day.clock.sleep_ms(2600)
        for entry in (0, 1):
            gone = day.events('upstream-gone', entry=entry)
            assert [told['upstream'] for told in gone] == ['p0']

    run_in_memory(check())
