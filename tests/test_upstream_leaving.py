"""Upstreams that say in an answer that they are leaving."""

from __future__ import annotations

import asyncio

import pytest

from bergamotthread.clock import Clock
from bergamotthread.connection.http.messages import encode_request
from bergamotthread.platform.leaving_relay import (
    LEAVING_PATH,
    TELL_INTERVAL_MS,
    TOLD_MAX,
)
from bergamotthread.process.relay.choice import (
    RelayPlacementRequest,
    UpstreamChoice,
)
from bergamotthread.process.relay.leaving import (
    LEAVING_KEPT_MAX,
    LeavingIncarnations,
)
from bergamotthread.process.relay.upstreams import (
    UpstreamDirectory,
    UpstreamRecord,
    UpstreamState,
)
from bergamotthread.testing.memory_http import run_in_memory
from standins.platform_runner import LEAVING, MODEL, PLAIN, REQUEST_ID, SEAL
from standins.platform_runner import runner_row as row_of
from tests.platform_standins import Deployment, settings

# An entry has this long to learn of changed rows.
ROWS_SETTLE_MS = 1500


def _record(instance='x', started_ms=5, **more):
    fields = {
        'service': 's',
        'address': '10.0.0.1:1',
        'failure_domain': 'a-1',
        'state': UpstreamState.READY,
        **more,
    }
    return UpstreamRecord(instance, started_ms=started_ms, **fields)


def _directory(*records):
    directory = UpstreamDirectory(Clock(lambda: 1.0, lambda: 1.0))
    directory.is_loaded = True
    for record in records:
        directory.update(record)
    return directory


def _open(directory):
    return [upstream.record.instance for upstream in directory.of_service('s')]


def test_leaving_upstream_is_no_candidate_and_has_no_slots():
    other = _record('y', address='10.0.0.2:1', slots=3)
    directory = _directory(_record(slots=4), other)
    assert directory.record_leaving('x', 5)
    assert not directory.record_leaving('x', 5)
    assert _open(directory) == ['y']
    assert [one.address for one in directory.by_affinity('s', b'k')] == [
        other.address
    ]
    assert directory.slots('s') == 3
    choice = UpstreamChoice(directory, 'a-1', {})
    request = RelayPlacementRequest('s', prompt_tokens=1)
    assert choice.count_engines(request) == 1
    assert choice.choose(request).record == other
    assert choice.choose_copy_holder(request, 'b-1').record == other


def test_row_of_the_same_incarnation_does_not_end_the_leaving():
    directory = _directory(_record())
    directory.record_leaving('x', 5)
    directory.update(_record(state=UpstreamState.DRAINING))
    directory.update(_record())
    directory.update(_record(address='10.0.0.9:1'))
    assert not _open(directory)
    directory.remove('x')
    directory.update(_record())
    assert not _open(directory)
    directory.remove('x')
    directory.update(_record(started_ms=4))
    assert not _open(directory)


@pytest.mark.parametrize(
    'started', [_record(started_ms=6), _record('z', started_ms=6)]
)
def test_newer_incarnation_ends_the_leaving(started):
    directory = _directory(_record())
    directory.record_leaving('x', 5)
    directory.update(started)
    assert _open(directory) == [started.instance]


def test_late_answer_of_a_replaced_upstream_does_not_mark_the_next():
    directory = _directory(_record())
    replaced = directory.update(_record(started_ms=6))
    assert directory.record_leaving('x', replaced.record.started_ms)
    assert _open(directory) == ['x']


def test_answer_to_a_request_before_a_row_lapsed_marks_the_listed_upstream():
    directory = _directory(_record())
    former = directory.remove('x')
    directory.update(_record())
    directory.record_leaving('x', former.record.started_ms)
    assert not _open(directory)


def test_service_whose_upstreams_all_leave_is_unservable():
    directory = _directory(_record(), _record('y', address='10.0.0.2:1'))
    directory.record_leaving('x', 5)
    assert not directory.lacks_service('s')
    directory.record_leaving('y', 5)
    assert directory.lacks_service('s')


def test_records_of_leaving_incarnations_are_bounded():
    leaving = LeavingIncarnations()
    for number in range(LEAVING_KEPT_MAX + 1):
        assert leaving.add(f'i{number}', 5)
    assert len(leaving) == LEAVING_KEPT_MAX
    assert not leaving.includes('i0', 5)
    assert leaving.includes('i1', 5)


def _leaving_events(deployment):
    return [
        (event['upstream'], event['said_by'], event['status'])
        for event in deployment.events('upstream-leaving')
    ]


async def _call_each_kind(deployment, rounds=4):
    answers = []
    for _ in range(rounds):
        answers.append(await deployment.call('/once/x'))
        answers.append(await deployment.call('/any/x', method=b'GET'))
        answers.append(await deployment.call('/stream/x'))
    return answers


@pytest.mark.parametrize(
    'fault',
    [
        {},
        {'status': 500},
        {'status': 404},
        {'not_run': True},
        {'misdirected': True},
    ],
)
def test_no_request_follows_an_answer_that_says_leaving(fault):
    """Requests went on to a leaving runner until its row said so."""

    async def check():
        deployment = await Deployment.start(plains=3)
        runner = deployment.plains[0]
        runner.script.leaving = True
        runner.script.status = fault.get('status', 200)
        runner.script.not_run = fault.get('not_run', False)
        if fault.get('misdirected'):
            runner.instance = 'someone-else'
        while not runner.seen:
            await deployment.call('/once/x')
        await _call_each_kind(deployment, rounds=10)
        assert len(runner.seen) == 1
        [(instance, said_by, _)] = _leaving_events(deployment)
        assert (instance, said_by) == ('p0', 'request')

    run_in_memory(check())


@pytest.mark.parametrize(
    'marks',
    [
        ((LEAVING, b'0'),),
        ((LEAVING, b'1, 1'),),
        ((LEAVING, b'true'),),
        ((LEAVING, b''),),
        ((LEAVING, b'1'), (LEAVING, b'1')),
        ((LEAVING, b'1'), (REQUEST_ID, b'another')),
    ],
)
def test_garbled_header_and_answer_to_another_request_decide_nothing(marks):
    async def check():
        deployment = await Deployment.start(models=1, plains=2)
        for runner in (deployment.models[0], deployment.plains[0]):
            runner.script.extra = marks
        for _ in range(8):
            await deployment.call('/any/x', method=b'GET')
        assert deployment.plains[0].seen
        await deployment.call('/stream/x', remaining_ms=3000)
        assert not _leaving_events(deployment)

    run_in_memory(check())


def test_success_without_a_signature_decides_nothing():
    async def check():
        deployment = await Deployment.start(plains=1)
        runner = deployment.plains[0]
        runner._headers = lambda seen: [
            (REQUEST_ID, seen.request_id),
            (LEAVING, b'1'),
        ]
        assert (await deployment.call('/once/x')).status == 502
        assert not _leaving_events(deployment)

    run_in_memory(check())


@pytest.mark.parametrize('value', [b'1', b'0'])
def test_header_is_not_forwarded_to_the_caller(value):
    async def check():
        deployment = await Deployment.start(models=1, plains=1)
        for runner in (*deployment.models, *deployment.plains):
            marks = ((LEAVING, value), (b'x-own', b'kept'))
            runner._headers = lambda seen, marks=marks: [
                (REQUEST_ID, seen.request_id),
                (SEAL, b'seal'),
                *marks,
            ]
        for path in ('/once/x', '/stream/x'):
            answer = await deployment.call(path)
            assert answer.status == 200
            assert answer.headers[b'x-own'] == b'kept'
            assert LEAVING not in answer.headers

    run_in_memory(check())


def test_stream_in_flight_at_a_leaving_upstream_ends_there():
    async def check():
        deployment = await Deployment.start()
        first = asyncio.create_task(deployment.call('/stream/x'))
        await deployment.clock.sleep_ms(1000)
        [runner] = [model for model in deployment.models if model.seen]
        runner.script.leaving = True
        # The placement of the next stream asks for the load report.
        for _ in range(3):
            assert (await deployment.call('/stream/x')).is_whole
        answer = await first
        assert answer.is_whole
        assert answer.event_ids == list(range(1, 61))
        assert len(runner.seen) == 1
        assert _leaving_events(deployment) == [(runner.instance, 'report', 200)]

    run_in_memory(check())


def test_head_of_a_stream_tells_that_its_upstream_leaves():
    async def check():
        deployment = await Deployment.start(models=2)
        task = asyncio.create_task(deployment.call('/stream/x'))
        await deployment.clock.sleep_ms(300)
        [runner] = [model for model in deployment.models if model.seen]
        runner.script.leaving = True
        await deployment.clock.sleep_ms(300)
        assert _leaving_events(deployment) == [
            (runner.instance, 'request', 200)
        ]
        runner.script.leaving = False
        for _ in range(4):
            assert (await deployment.call('/stream/x')).is_whole
        assert (await task).is_whole
        assert len(runner.seen) == 1

    run_in_memory(check())


def test_new_stream_avoids_candidates_that_say_leaving_when_asked():
    async def check():
        deployment = await Deployment.start(models=4)
        for model in deployment.models[:3]:
            model.script.leaving = True
        for _ in range(3):
            assert (await deployment.call('/stream/x')).is_whole
        assert deployment.ran(deployment.models[:3]) == 0
        placed = deployment.events('placed')
        assert {(one['upstream'], one['holder']) for one in placed} == {
            ('m3', '')
        }

    run_in_memory(check())


def _holder_and_third(deployment, runner):
    target = runner.seen[0].headers[b'bergamotthread-kv-backup'].decode()
    by_address = {model.address: model for model in deployment.models}
    holder = by_address.pop(target)
    by_address.pop(runner.address)
    return holder, next(iter(by_address.values()))


def test_lost_stream_does_not_resume_at_a_copy_holder_that_leaves():
    """The holder answered the resume, but ended a moment later."""

    async def check():
        deployment = await Deployment.start()
        task = asyncio.create_task(deployment.call('/stream/x'))
        await deployment.clock.sleep_ms(1000)
        [runner] = [model for model in deployment.models if model.seen]
        holder, third = _holder_and_third(deployment, runner)
        for model in deployment.models:
            model.script.copies = {
                f'{model.address}/r1',
                f'{runner.address}/h1',
            }
        holder.script.leaving = True
        second = asyncio.create_task(deployment.call('/stream/x'))
        await deployment.clock.sleep_ms(700)
        assert _leaving_events(deployment) == [(holder.instance, 'report', 200)]
        assert set(runner.copied_to) == {third.address}
        runner.kill()
        assert (await task).is_whole
        assert (await second).is_whole
        assert not holder.seen
        resumed = [
            seen.headers.get(b'kv-from')
            for seen in third.seen
            if seen.request_id == b'r1'
        ]
        assert resumed == [f'{runner.address}/h1'.encode()]

    run_in_memory(check())


def test_answer_to_a_copy_call_tells_that_the_source_leaves():
    async def check():
        deployment = await Deployment.start(models=4)
        task = asyncio.create_task(deployment.call('/stream/x'))
        await deployment.clock.sleep_ms(1000)
        [runner] = [model for model in deployment.models if model.seen]
        holder, _ = _holder_and_third(deployment, runner)
        runner.script.leaving = True
        holder.kill()
        deployment.store.remove('servers', holder.instance)
        await deployment.clock.sleep_ms(700)
        assert runner.copied_to
        assert _leaving_events(deployment) == [(runner.instance, 'copy', 200)]
        assert (await task).is_whole

    run_in_memory(check())


def test_reconnect_does_not_go_to_a_leaving_upstream_with_the_prompt():
    async def check():
        deployment = await Deployment.start()
        runner = deployment.models[0]
        runner.cached.add('bb')
        runner.script.leaving = True
        returning = (
            (b'bergamotthread-prompt-prefix', b'aa:200,bb:7800'),
            (b'last-event-id', b'20'),
        )
        answer = await deployment.call('/stream/x', extra=returning)
        assert answer.event_ids == list(range(21, 61))
        assert not runner.seen
        assert _leaving_events(deployment) == [('m0', 'cached-prompts', 200)]

    run_in_memory(check())


def test_request_is_not_sent_if_its_upstream_says_leaving_meanwhile():
    async def check():
        deployment = await Deployment.start(plains=2)
        parts = deployment.entries[0]._parts
        connect = parts.pool.acquire

        async def acquire(address, *more):
            connection = await connect(address, *more)
            if address == deployment.plains[0].address:
                parts.directory.record_leaving('p0', 10**6)
            return connection

        parts.pool.acquire = acquire
        for _ in range(8):
            assert (await deployment.call('/once/x')).status == 200
        assert not deployment.plains[0].seen

    run_in_memory(check())


@pytest.mark.parametrize('has_store', [True, False])
def test_only_a_new_start_revives_a_leaving_upstream(has_store):
    """A row that still said ready brought back a runner about to end."""

    async def check():
        deployment = await Deployment.start(plains=2)
        runner = deployment.plains[0]
        put = deployment.store.put
        row = row_of(runner.address, PLAIN, 'a-1', born=1000)
        put('servers', 'p0', row)
        await deployment.clock.sleep_ms(ROWS_SETTLE_MS)
        runner.script.leaving = True
        while not runner.seen:
            await deployment.call('/once/x')
        runner.script.leaving = False
        if has_store:
            put('servers', 'p0', {**row, 'state': 'draining'})
            await deployment.clock.sleep_ms(ROWS_SETTLE_MS)
            deployment.store.remove('servers', 'p0')
            await deployment.clock.sleep_ms(ROWS_SETTLE_MS)
            put('servers', 'p0', {**row, 'slots': 9})
        else:
            deployment.store.status = 503
        await deployment.clock.sleep_ms(ROWS_SETTLE_MS)
        for _ in range(8):
            assert (await deployment.call('/once/x')).status == 200
        assert len(runner.seen) == 1
        deployment.store.status = 0
        put('servers', 'p0', {**row, 'born': 1001})
        await deployment.clock.sleep_ms(ROWS_SETTLE_MS)
        for _ in range(8):
            assert (await deployment.call('/once/x')).status == 200
        assert len(runner.seen) > 1

    run_in_memory(check())


@pytest.mark.parametrize('path', ['/once/x', '/any/x', '/stream/x'])
def test_service_with_only_leaving_upstreams_refuses_at_once(path):
    async def check():
        deployment = await Deployment.start(models=2, plains=2)
        runners = deployment.models + deployment.plains
        for runner in runners:
            runner.script.leaving = True
        for _ in range(2):
            await deployment.call(path)
        before = deployment.ran(runners)
        if path == '/stream/x':
            assert not before
        started_ms = deployment.clock.now_ms()
        answer = await deployment.call(path)
        assert answer.status == 503
        assert float(answer.headers[b'retry-after']) > 0
        assert deployment.clock.now_ms() - started_ms < 50
        assert deployment.ran(runners) == before
        metrics = deployment.entries[0]._metrics_response()[1]
        assert 'relay_upstreams_leaving 2' in metrics

    run_in_memory(check())


def test_lost_stream_does_not_resume_at_a_holder_whose_row_says_draining():
    """The holder got a request long after the entry knew of its drain."""

    async def check():
        deployment = await Deployment.start()
        task = asyncio.create_task(deployment.call('/stream/x'))
        await deployment.clock.sleep_ms(1000)
        [runner] = [model for model in deployment.models if model.seen]
        holder, third = _holder_and_third(deployment, runner)
        holder.script.copies = {f'{holder.address}/r1'}
        third.script.copies = {f'{runner.address}/h1'}
        row = row_of(holder.address, MODEL, 'a-1', state='draining', born=1)
        deployment.store.put('servers', holder.instance, row)
        await deployment.clock.sleep_ms(ROWS_SETTLE_MS)
        runner.kill()
        answer = await task
        assert answer.is_whole
        assert answer.longest_pause_ms < 700
        assert not holder.seen
        assert len(third.seen) == 1

    run_in_memory(check())


async def _entries(*zones_by_host):
    deployment = await Deployment.start(plains=2)
    for number, (host, zone) in enumerate(zones_by_host, start=2):
        await deployment.add_entry(settings(host, zone, number))
    await deployment.clock.sleep_ms(4000)
    return deployment


def test_other_entries_of_the_region_are_told_that_an_upstream_leaves():
    """Each entry sent a request to the leaving runner before it knew."""

    async def check():
        deployment = await _entries(
            ('edge-a-2', 'a-1'), ('edge-a-3', 'a-1'), ('edge-b-1', 'b-1')
        )
        deployment.net.silent.add('10.1.0.3:7001')
        deployment.store.status = 503
        runner = deployment.plains[0]
        runner.script.leaving = True
        while not runner.seen:
            await deployment.call('/once/x', '10.1.0.2:8000')
        await deployment.clock.sleep_ms(TELL_INTERVAL_MS + 50)
        told = deployment.events('upstream-leaving', entry=0)
        assert [(one['upstream'], one['said_by']) for one in told] == [
            ('p0', 'edge-a-2')
        ]
        for _ in range(8):
            assert (await deployment.call('/once/x')).status == 200
        assert len(runner.seen) == 1
        await deployment.clock.sleep_ms(2000)
        for entry in (2, 3):
            assert not deployment.events('upstream-leaving', entry=entry)
        [told] = deployment.events('leaving-told', entry=1)
        assert (told['upstreams'], told['entries'], told['failed']) == (1, 2, 1)
        assert not deployment.events('leaving-told')

    run_in_memory(check())


def test_newer_incarnation_ends_what_an_entry_was_told():
    async def check():
        deployment = await _entries(('edge-a-2', 'a-1'))
        runner = deployment.plains[0]
        runner.script.leaving = True
        while not runner.seen:
            await deployment.call('/once/x', '10.1.0.2:8000')
        runner.script.leaving = False
        await deployment.clock.sleep_ms(ROWS_SETTLE_MS)
        row = row_of(runner.address, PLAIN, 'a-1', born=10**6)
        deployment.store.put('servers', 'p0', row)
        await deployment.clock.sleep_ms(ROWS_SETTLE_MS)
        for _ in range(8):
            assert (await deployment.call('/once/x')).status == 200
        assert len(runner.seen) > 1

    run_in_memory(check())


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{"host":"h","leaving":[["p0"]]}',
        b'{"host":"h","leaving":[["p0",-1]]}',
        b'{"host":"h","leaving":[%b]}'
        % b','.join([b'["p0",1]'] * (TOLD_MAX + 1)),
    ],
)
def test_invalid_message_of_another_entry_decides_nothing(body):
    async def check():
        deployment = await Deployment.start()
        connection = await deployment.connect('10.1.0.1:7001')
        request = encode_request(b'POST', LEAVING_PATH, [(b'host', b'h')], body)
        connection.send(request, b'')
        assert (await deployment.read(connection)).status == 400
        assert not deployment.events('upstream-leaving')

    run_in_memory(check())
