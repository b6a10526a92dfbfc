"""Faults that operators of similar systems told of, on the platform's path.

Each test brings one of them about. What else holds against them is listed in
docs/RULES.md.
"""

from __future__ import annotations

import asyncio
import json

import pytest

from bergamotthread.testing.memory_http import run_in_memory
from standins.platform_runner import (
    MODEL,
    PLAIN,
    REQUEST_ID,
    SEAL,
    manifest,
    route_of,
    runner_row,
)
from tests.platform_standins import Deployment
from tests.test_unframed_answers import RAW_ADDRESS, RawRunner

BODY = b'0123456789'


def _id_of(received: bytes) -> bytes:
    for line in received.split(b'\r\n'):
        name, _, content = line.partition(b': ')
        if name.lower() == REQUEST_ID:
            return content
    return b''


def _answer(
    received: bytes, text: bytes = BODY, framing: bytes = b'', head: bytes = b''
) -> bytes:
    framing = framing or b'content-length: %d\r\n' % len(text)
    return b'HTTP/1.1 200 OK\r\n%b: %b\r\n%b: raw\r\n%b%b\r\n%b' % (
        REQUEST_ID,
        _id_of(received),
        SEAL,
        head,
        framing,
        text,
    )


async def _start(script, service: str) -> tuple[Deployment, RawRunner]:
    """Start a deployment whose only runner of a service is a script."""
    deployment = await Deployment.start(models=0, plains=0)
    raw = RawRunner(deployment, script)
    deployment.net.listen(raw.connect, RAW_ADDRESS)
    row = runner_row(RAW_ADDRESS, service, 'a-1', born=1)
    deployment.store.put('servers', 'raw', row)
    await deployment.clock.sleep_ms(1500)
    return deployment, raw


# A server sent a second copy of an answer, late, on a connection that was in
# use again.
@pytest.mark.parametrize('cut', [0, 1, 30, 60, 90])
@pytest.mark.parametrize('late_ms', [0, 5, 40])
def test_late_second_copy_reaches_no_other_caller(late_ms, cut):
    async def check():
        sent: list[bytes] = []

        def script(runner, transport, received):
            own = _answer(received, b'for ' + _id_of(received))
            former = sent[-1] if sent else b''
            sent.append(own)
            if not former:
                transport.write(own)
                return
            transport.write(former[:cut])
            loop = asyncio.get_running_loop()
            loop.call_later(late_ms / 1000, transport.write, former[cut:] + own)

        deployment, raw = await _start(script, PLAIN)
        for number in range(1, 5):
            answer = await deployment.call('/any/x')
            own = b'for r%d' % number
            assert answer.status != 200 or answer.body == own
        assert len(raw.arrived) >= 4

    run_in_memory(check())


def test_second_copy_on_an_idle_connection_reaches_no_caller():
    async def check():
        def script(runner, transport, received):
            own = _answer(received, b'for ' + _id_of(received))
            transport.write(own)
            loop = asyncio.get_running_loop()
            loop.call_later(0.05, transport.write, own)

        deployment, _ = await _start(script, PLAIN)
        for number in range(1, 5):
            answer = await deployment.call('/any/x')
            assert answer.body == b'for r%d' % number
            await deployment.clock.sleep_ms(10 * number)

    run_in_memory(check())


CHUNKED = b'transfer-encoding: chunked\r\n'
GZIP = b'content-encoding: gzip\r\n'
WHOLE_CHUNKS = b'a\r\n' + BODY + b'\r\n0\r\n\r\n'
# Text, framing and further fields of answers that break off.
HALVES = {
    'length': (BODY, b'content-length: 20\r\n', b''),
    'chunks': (b'a\r\n' + BODY + b'\r\n', CHUNKED, b''),
    'chunk': (b'20\r\n' + BODY, CHUNKED, b''),
    'last chunk': (b'a\r\n' + BODY + b'\r\n0\r\n', CHUNKED, b''),
    'encoded length': (BODY, b'content-length: 20\r\n', GZIP),
    'encoded chunks': (b'a\r\n' + BODY + b'\r\n', CHUNKED, GZIP),
}
# Whole messages whose body is not what the caller asked for.
ENCODED = {
    'encoded': (BODY, b'', GZIP),
    'encoded whole chunks': (WHOLE_CHUNKS, CHUNKED, GZIP),
    'encoded to the end': (BODY, b'connection: close\r\n', GZIP),
    'transfer coding': (
        WHOLE_CHUNKS,
        b'transfer-encoding: gzip, chunked\r\n',
        b'',
    ),
}


# An answer that broke off halfway reached the caller as a complete success.
@pytest.mark.parametrize('path', ['/once/x', '/any/x'])
@pytest.mark.parametrize('ends', ['close', 'reset'])
@pytest.mark.parametrize('half', [*HALVES, *ENCODED])
def test_half_of_an_answer_is_no_success(half, ends, path):
    async def check():
        def script(runner, transport, received):
            transport.write(_answer(received, *{**HALVES, **ENCODED}[half]))
            if ends == 'close':
                transport.close()
            else:
                loop = asyncio.get_running_loop()
                loop.call_later(0.01, runner.net.reset, RAW_ADDRESS)

        deployment, _ = await _start(script, PLAIN)
        answer = await deployment.call(path)
        assert answer.status in {502, 503, 504}
        assert answer.is_whole

    run_in_memory(check())


# One malformed message took a process down, or another caller's request.
@pytest.mark.parametrize(
    ('name', 'content'),
    [
        (name, content)
        for name in (
            b'bergamotthread-token-counts',
            b'bergamotthread-deadline-remaining',
            b'bergamotthread-length-hint',
            b'bergamotthread-prompt-prefix',
            b'last-event-id',
        )
        for content in (
            b'inf',
            b'nan',
            b'-1',
            b'1e308,1e308',
            b'1e308',
            b'9' * 400,
            b'\xb2,\xb2',
            b'-5,nan',
        )
    ],
)
def test_malformed_field_is_answered_and_harms_nobody(name, content):
    async def check():
        deployment = await Deployment.start()
        request = deployment.request('/stream/x', extra=((name, b''),))
        lines = [
            name + b': ' + content if line.startswith(name) else line
            for line in request.split(b'\r\n')
        ]
        connection = await deployment.connect()
        connection.send(b'\r\n'.join(lines), b'')
        bad = asyncio.create_task(deployment.read(connection))
        await deployment.clock.sleep_ms(100)
        answers = await asyncio.gather(
            deployment.call('/stream/x'), deployment.call('/any/x')
        )
        assert [answer.status for answer in answers] == [200, 200]
        assert all(answer.is_whole for answer in answers)
        assert (await bad).status

    run_in_memory(check())


# An unexpected error ended a part of the process for good, without a word.
@pytest.mark.parametrize('watch_name', ['runners', 'version', 'entries'])
def test_unexpected_error_in_a_watch_is_logged_and_passes(watch_name):
    async def check():
        deployment = await Deployment.start()
        watch = getattr(deployment.entries[0]._watches, watch_name)
        apply_changes = watch.apply_changes

        def fail(rows):
            watch.apply_changes = apply_changes
            raise KeyError('unexpected')

        watch.apply_changes = fail
        deployment.store.put(watch.table, 'other', {})
        await deployment.clock.sleep_ms(4000)
        assert deployment.events('task-failed')
        await deployment.add_runner('p10', PLAIN, 'a-1')
        await deployment.clock.sleep_ms(2000)
        assert deployment.entries[0]._directory.get('p10') is not None

    run_in_memory(check())


# Requests that had just been accepted were cut off in a planned stop.
@pytest.mark.parametrize('sent_after_ms', range(2500, 3100, 70))
def test_caller_that_has_just_connected_to_a_draining_entry_is_answered(
    sent_after_ms,
):
    async def check():
        deployment = await Deployment.start()
        for model in deployment.models:
            model.script.events = 100
        stream = asyncio.create_task(deployment.call('/stream/x'))
        await deployment.clock.sleep_ms(500)
        deployment.entries[0].stop()
        await deployment.clock.sleep_ms(sent_after_ms)
        connection = await deployment.connect()
        await deployment.clock.sleep_ms(120)
        assert connection.is_open
        connection.send(deployment.request('/any/x'), b'')
        answer = await deployment.read(connection)
        assert answer.is_whole
        assert answer.status in {200, 503}
        assert (await stream).is_whole

    run_in_memory(check())


def test_requests_queued_at_a_draining_entry_are_all_answered():
    async def check():
        deployment = await Deployment.start()
        connection = await deployment.connect()
        connection.send(
            b''.join(deployment.request('/any/x') for _ in range(3)), b''
        )
        await deployment.clock.sleep_ms(10)
        deployment.entries[0].stop()
        received = []
        transport = connection._transport
        connection.data_received = received.append
        await deployment.clock.sleep_ms(1000)
        assert b''.join(received).count(b'HTTP/1.1 200') == 3
        assert transport.is_closing()

    run_in_memory(check())


# Around a hand-over, both acted for a moment.
def test_former_run_has_ended_when_the_next_one_begins():
    async def check():
        deployment = await Deployment.start()
        for model in deployment.models:
            model.script.stalls_after = 10
            model.script.copies = {
                f'{other.address}/r1' for other in deployment.models
            }
        answer = await deployment.call('/stream/x')
        assert answer.event_ids[:20] == list(range(1, 21))
        runs = sorted(
            (seen.at_ms, seen.ended_ms)
            for model in deployment.models
            for seen in model.seen
        )
        assert len(runs) > 1
        for (_, ended_ms), (begun_ms, _) in zip(runs, runs[1:], strict=False):
            assert ended_ms < begun_ms + 400

    run_in_memory(check())


def test_request_of_an_entry_that_stops_runs_once():
    async def check():
        deployment = await Deployment.start()
        for plain in deployment.plains:
            plain.script.work_ms = 1200
        first = asyncio.create_task(
            deployment.call('/once/x', remaining_ms=3000)
        )
        await deployment.clock.sleep_ms(200)
        deployment.entries[0]._server.end_requests()
        answer = await first
        assert answer.status == 502
        assert deployment.ran(deployment.plains) == 1

    run_in_memory(check())


HUGE = 10**400
JUNK_ROW = {
    'address': '10.9.0.99:8080',
    'zone': 'a-1',
    'state': 'ready',
    'slots': 8,
    'born': 1,
}
JUNK_ROWS = [
    {'address': '10.9.0.99:99999'},
    {'address': '10.9.0.99:'},
    {'address': '10.9.0.99:-1'},
    {'address': 'no.such.name:8080'},
    {'address': ':'},
    {'slots': HUGE},
    {'slots': -8},
    {'born': HUGE},
    {'born': -1},
    {'zone': ''},
    {'version': '\x00' * 100},
]


# Rows and reports with values that nobody sends took down all requests.
@pytest.mark.parametrize('service', [MODEL, PLAIN])
@pytest.mark.parametrize('junk', JUNK_ROWS)
def test_row_with_values_that_nobody_sends_harms_nobody(junk, service):
    async def check():
        deployment = await Deployment.start(models=2, plains=2)
        row = {**JUNK_ROW, 'service': service, **junk}
        deployment.store.put('servers', 'junk', row)
        await deployment.clock.sleep_ms(1500)
        path = '/any/x' if service == PLAIN else '/stream/x'
        for _ in range(4):
            answer = await deployment.call(path)
            assert answer.status == 200
        assert not deployment.events('task-failed')

    run_in_memory(check())


@pytest.mark.parametrize('number', [HUGE, 10**30, -5, -(10**30), 1e308])
@pytest.mark.parametrize(
    'name', ['queue_depth', 'in_flight', 'kv_used', 'kv_total', 'handles']
)
def test_report_with_values_that_nobody_sends_harms_nobody(name, number):
    async def check():
        deployment = await Deployment.start()
        junk = deployment.models[0]
        serve = junk.answer

        async def answer(exchange):
            if exchange.request.target != b'/api/report':
                await serve(exchange)
                return
            report = {'kv_total': 88_000, name: number}
            exchange.respond(200, (), json.dumps(report).encode())

        junk.answer = answer
        for _ in range(4):
            answers = await asyncio.gather(
                *(deployment.call('/stream/x') for _ in range(4))
            )
            assert {answer.status for answer in answers} == {200}
            assert all(answer.is_whole for answer in answers)

    run_in_memory(check())


JUNK_BODIES = [
    b'',
    b'{',
    b'null',
    b'[]',
    b'{}',
    b'[1,2,3]',
    b'"text"',
    b'\x80',
    b'\xc1' * 100,
    b'[' * 100_000,
    b'{"type":"told"}',
    b'{"type":null}',
    b'\xff\xfe' * 50,
    str(HUGE).encode(),
]


@pytest.mark.parametrize('junk', JUNK_BODIES, ids=range(len(JUNK_BODIES)))
def test_message_of_a_peer_that_makes_no_sense_is_answered(junk):
    async def check():
        deployment = await Deployment.start()
        for path in (
            '/api/rows-feed',
            f'/api/rows-feed?table=op&after=x&wait_ms={HUGE}',
            f'/api/rows-feed?table=op&after={HUGE}',
            '/api/upstreams-leaving',
            '/api/poison',
            '/api/leases',
            '/api/limits',
            '/api/builds',
            '/api/nothing',
        ):
            for method in (b'POST', b'GET', b'DELETE'):
                answer = await asyncio.wait_for(
                    deployment.call(
                        path, '10.1.0.1:7001', method=method, body=junk
                    ),
                    20,
                )
                assert answer.status, (path, method)
        assert (await deployment.call('/any/x')).status == 200
        assert not deployment.events('task-failed')

    run_in_memory(check())


# A settings file that can't be used, as SIGHUP finds it, changes nothing.
@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'null',
        b'\xff\xfe',
        b'[' * 100_000,
        b'{"node_name":1}',
        b'{"bounds":{"grace_s":%d}}' % 10**6,
        json.dumps({'node_name': 'n', 'zones': HUGE}).encode(),
    ],
    ids=range(7),
)
def test_settings_that_make_no_sense_change_nothing(
    content, tmp_path, monkeypatch
):
    async def check():
        deployment = await Deployment.start()
        path = tmp_path / 'node.json'
        path.write_bytes(content)
        monkeypatch.setenv('BERGAMOTTHREAD_CONFIG', str(path))
        deployment.entries[0].reload()
        assert deployment.events('reload-failed')
        assert (await deployment.call('/any/x')).status == 200

    run_in_memory(check())


def test_unexpected_error_in_periodic_work_ends_no_process(monkeypatch):
    async def check():
        deployment = await Deployment.start()

        def fail():
            raise KeyError('unexpected')

        entry = deployment.entries[0]
        monkeypatch.setattr(entry._pool, 'close_stale', fail)
        await deployment.clock.sleep_ms(1000)
        assert (await deployment.call('/any/x')).status == 200
        [first, *_] = deployment.events('task-failed')
        assert first['task'] == 'housekeeping'
        assert not deployment.tasks[0].done()
        entry.stop()
        await deployment.clock.sleep_ms(9000)
        assert deployment.tasks[0].done()

    run_in_memory(check())


class _Caller:
    """Sends one request after another until nothing accepts its connection."""

    def __init__(self, deployment: Deployment, *, keeps: bool) -> None:
        self.deployment = deployment
        self.keeps = keeps
        self.statuses: dict[str, int] = {}

    async def run(self, starts_after_ms: float) -> None:
        await self.deployment.clock.sleep_ms(starts_after_ms)
        connection = await self.deployment.connect()
        while True:
            encoded = self.deployment.request('/slow/x')
            request_id = f'r{self.deployment._next_id}'
            try:
                connection.send(encoded, b'')
            except ConnectionError:
                return
            answer = await self.deployment.read(connection)
            if answer.is_whole:
                self.statuses[request_id] = answer.status
            await self.deployment.clock.sleep_ms(7)
            if not self.keeps or not connection.is_reusable:
                connection.close()
                try:
                    connection = await self.deployment.connect()
                except ConnectionError:
                    return


# Guards against: requests that come late in the grace of a planned stop are
# passed on and get no answer of their upstream, as the process ends.
@pytest.mark.parametrize('work_ms', [20, 400, 900, 1400])
def test_request_passed_on_in_a_planned_stop_gets_its_answer(work_ms):
    async def check():
        deployment = await Deployment.start()
        for plain in deployment.plains:
            plain.script.work_ms = work_ms
        slow = route_of(
            '/slow/',
            'non_idempotent',
            PLAIN,
            timeout_ms=1500,
            target_latency_ms=100,
        )
        deployment.store.put('op', 'config', manifest(2, routes=(slow,)))
        await deployment.clock.sleep_ms(1000)
        callers = [
            _Caller(deployment, keeps=number % 2 == 0) for number in range(16)
        ]
        tasks = [
            asyncio.create_task(caller.run(90 * number))
            for number, caller in enumerate(callers)
        ]
        # Keeps the entry from ending before its grace is over.
        for model in deployment.models:
            model.script.events = 400
        stream = asyncio.create_task(deployment.call('/stream/x'))
        await deployment.clock.sleep_ms(2000)
        deployment.entries[0].stop()
        await deployment.tasks[0]
        deployment.net.kill('10.1.0.1:8000')
        await asyncio.wait([stream, *tasks])
        statuses: dict[str, int] = {}
        for caller in callers:
            statuses |= caller.statuses
        ran = {
            seen.request_id.decode()
            for plain in deployment.plains
            for seen in plain.seen
        }
        assert ran
        assert {statuses.get(one) for one in ran} == {200}
        assert set(statuses.values()) <= {200, 503}

    run_in_memory(check())
