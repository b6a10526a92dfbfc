"""Callers that read or send slowly, and upstreams that do."""

from __future__ import annotations

import asyncio
from functools import partial

import pytest

from bergamotthread.clock import Clock
from bergamotthread.connection.held_bytes import (
    SENDING_FRACTION,
    HeldBytes,
)
from bergamotthread.connection.http.caller_connection import (
    CallerConnection,
    CallerLimits,
    Exchange,
)
from bergamotthread.request.relay.attempt import UPSTREAM_REQUEST_BYTES_MAX
from bergamotthread.testing.memory_http import (
    MemoryNetwork,
    MemoryTransport,
    memory_network,
    run_in_memory,
)
from tests.platform_standins import Deployment

ADDRESS = '10.0.0.1:80'
GET = b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n'
HEAD = b'POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n'
ANSWER = b'x' * 300_000
IDLE_MS = 2000
WINDOW = 20_000


class _Server:
    """Server with long answers; `held` is what it holds for callers."""

    def __init__(self, limit_bytes: float) -> None:
        self.clock = Clock.from_loop(asyncio.get_running_loop())
        self.connections: set[CallerConnection] = set()
        self.limits = CallerLimits(
            header_timeout_ms=3000, idle_timeout_ms=IDLE_MS
        )
        self.is_draining = False
        self.answered = 0
        self.work_ms: float = 0
        self.held = HeldBytes(self.clock, limit_bytes)

    async def answer(self, exchange: Exchange) -> None:
        self.answered += 1
        await self.clock.sleep_ms(self.work_ms)
        exchange.respond(200, (), ANSWER)


class _Caller(asyncio.Protocol):
    def __init__(self) -> None:
        self.received = b''
        self.is_closed = False

    def data_received(self, received: bytes) -> None:
        self.received += received

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True


def _listen(limit_bytes: float = 1e9) -> _Server:
    net = memory_network()
    net.window_bytes = WINDOW
    server = _Server(limit_bytes)
    net.listen(partial(CallerConnection, server, server.held), ADDRESS)
    return server


async def _open() -> tuple[MemoryTransport, _Caller]:
    transport, caller = await memory_network().connect(_Caller, ADDRESS)
    assert isinstance(caller, _Caller)
    return transport, caller


# Guards against one caller that asks on and on and reads nothing.
def test_caller_that_reads_nothing_gets_no_further_answers():
    async def check():
        server = _listen()
        transport, _ = await _open()
        transport.pause_reading()
        for _ in range(12):
            transport.write(GET)
            await asyncio.sleep(0.01)
        assert server.answered == 1
        assert server.held.total_bytes < len(ANSWER) + 10_000
        transport.resume_reading()
        await asyncio.sleep(1)
        assert server.answered == 12
        assert server.held.total_bytes == 0

    run_in_memory(check())


@pytest.mark.parametrize('request_head', [GET, GET[:-2] + b'a: b\r\n\r\n'])
def test_caller_that_reads_nothing_for_the_idle_timeout_is_cut(request_head):
    async def check():
        server = _listen()
        transport, caller = await _open()
        transport.pause_reading()
        transport.write(request_head)
        await asyncio.sleep(2 * IDLE_MS / 1000)
        assert not server.connections
        assert server.held.total_bytes == 0
        transport.resume_reading()
        await asyncio.sleep(0.1)
        assert caller.is_closed
        assert len(caller.received) < len(ANSWER)

    run_in_memory(check())


def test_caller_that_reads_slowly_gets_its_whole_answer():
    async def check():
        _listen()
        transport, caller = await _open()
        transport.write(GET)
        for _ in range(60):
            transport.pause_reading()
            await asyncio.sleep(0.5)
            transport.resume_reading()
            await asyncio.sleep(0)
        assert caller.received.endswith(ANSWER)

    run_in_memory(check())


def test_requests_behind_an_answer_that_is_read_slowly_are_answered():
    async def check():
        server = _listen()
        transport, caller = await _open()
        transport.write(GET + GET + GET)
        for _ in range(90):
            transport.pause_reading()
            await asyncio.sleep(0.3)
            transport.resume_reading()
            await asyncio.sleep(0)
        assert caller.received.count(ANSWER) == 3
        assert server.answered == 3

    run_in_memory(check())


# Guards against requests with a long body that are sent slowly and fill the
# memory, so that the callers beside them are refused.
def test_slow_senders_lose_and_a_sound_request_is_answered():
    async def check():
        server = _listen(limit_bytes=1_000_000)
        slow = [await _open() for _ in range(6)]
        for transport, _ in slow:
            transport.write(HEAD % 400_000 + b'y' * 190_000)
        await asyncio.sleep(0.5)
        sound, caller = await _open()
        sound.write(HEAD % 100_000 + b'y' * 100_000)
        await asyncio.sleep(0.5)
        assert caller.received.startswith(b'HTTP/1.1 200')
        refused = [other for _, other in slow if b' 408 ' in other.received]
        assert 0 < len(refused) < len(slow)
        assert server.held.total_bytes <= 1_000_000

    run_in_memory(check())


def test_body_behind_a_request_that_is_answered_waits_in_the_kernel():
    async def check():
        server = _listen()
        server.work_ms = 1000
        transport, caller = await _open()
        transport.write(GET + HEAD % 2_000_000 + b'y' * 2_000_000)
        await asyncio.sleep(0.5)
        assert server.held.total_bytes < 100_000
        await asyncio.sleep(3)
        assert caller.received.count(b'HTTP/1.1 200') == 2

    run_in_memory(check())


async def _start_unread(deployment: Deployment, path: str) -> MemoryTransport:
    """Send a request whose caller reads nothing."""
    for model in deployment.models:
        model.script.comment = 20_000
    deployment.net.window_bytes = WINDOW
    connection = await deployment.connect()
    transport = _transport_of(deployment.net, connection)
    transport.pause_reading()
    connection.send(deployment.request(path, remaining_ms=9000), b'')
    return transport


def _transport_of(net: MemoryNetwork, protocol: object) -> MemoryTransport:
    return next(item for item in net.transports if item.protocol is protocol)


# Guards against an upstream that is taken for lost, and a stream that runs
# again, because its caller doesn't read.
def test_upstream_that_cuts_an_unread_stream_is_not_blamed():
    async def check():
        deployment = await Deployment.start()
        transport = await _start_unread(deployment, '/stream/x')
        await deployment.clock.sleep_ms(4000)
        [seen_by] = [model for model in deployment.models if model.seen]
        deployment.net.reset(seen_by.address)
        transport.resume_reading()
        await deployment.clock.sleep_ms(3000)
        assert deployment.ran(deployment.models) == 1
        [fields] = deployment.events('attempt')
        assert fields['outcome'] == 'Unread'
        assert [
            fields['reason'] for fields in deployment.events('refused')
        ] == ['stream-cut']
        assert not deployment.events('upstream-lost')

    run_in_memory(check())


@pytest.mark.parametrize('path', ['/stream/x', '/once-stream/x'])
def test_unread_stream_ends_at_its_deadline(path):
    async def check():
        deployment = await Deployment.start()
        transport = await _start_unread(deployment, path)
        await deployment.clock.sleep_ms(9500)
        assert deployment.ran(deployment.models) == 1
        [fields] = deployment.events('attempt')
        assert fields['outcome'] == 'OutOfTime'
        transport.resume_reading()
        await deployment.clock.sleep_ms(100)
        assert transport.is_closing()

    run_in_memory(check())


# Guards against an upstream that crashes of the requests that it is sent.
def test_bytes_sent_to_one_upstream_at_once_are_bounded():
    async def check():
        deployment = await Deployment.start(models=1, plains=2)
        body = b'z' * (UPSTREAM_REQUEST_BYTES_MAX // 4)
        for plain in deployment.plains:
            plain.script.work_ms = 400
        calls = [
            asyncio.create_task(
                deployment.call('/once/x', body=body, remaining_ms=4000)
            )
            for _ in range(12)
        ]
        await deployment.clock.sleep_ms(200)
        for plain in deployment.plains:
            running = [seen for seen in plain.seen if not seen.ended_ms]
            sent_bytes = sum(len(seen.body) for seen in running)
            assert 0 < sent_bytes <= UPSTREAM_REQUEST_BYTES_MAX
        statuses = {(await call).status for call in calls}
        assert statuses <= {200, 503}

    run_in_memory(check())


# Guards against answers that are collected together beyond the memory.
def test_answers_wait_at_their_upstreams_while_too_much_is_held():
    async def check():
        deployment = await Deployment.start()
        held = deployment.entries[0]._use.held
        held.limit_bytes = 2_000_000
        deployment.net.window_bytes = 100_000
        highest = 0
        for plain in deployment.plains:
            plain.script.answer = b'a' * 900_000
        calls = [
            asyncio.create_task(
                deployment.call('/once/x', body=b'', remaining_ms=1500)
            )
            for _ in range(8)
        ]
        while not all(call.done() for call in calls):
            highest = max(highest, held.total_bytes)
            await deployment.clock.sleep_ms(1)
        answers = [await call for call in calls]
        assert [answer.status for answer in answers] == [200] * 8
        assert {len(answer.body) for answer in answers} == {900_000}
        # Each answer may have got one more part when the bound was reached.
        parts = 8 * deployment.net.window_bytes
        bound = held.limit_bytes * (1 + SENDING_FRACTION)
        assert highest < bound + parts + 900_000
        await deployment.clock.sleep_ms(600)
        assert held.total_bytes == 0

    run_in_memory(check())


def test_body_that_an_upstream_does_not_read_is_held_until_the_deadline():
    async def check():
        deployment = await Deployment.start(plains=1)
        deployment.net.window_bytes = WINDOW
        held = deployment.entries[0]._use.held
        plain = deployment.plains[0]
        call = asyncio.create_task(
            deployment.call('/once/x', body=b'b' * 1_000_000)
        )
        while not _server_ends(deployment.net, plain.address):
            await deployment.clock.sleep_ms(1)
        for transport in _server_ends(deployment.net, plain.address):
            transport.pause_reading()
        await deployment.clock.sleep_ms(500)
        assert held.total_bytes > 1_900_000
        assert (await call).status == 504
        await deployment.clock.sleep_ms(100)
        assert held.total_bytes == 0
        assert not deployment.entries[0]._directory.get('p0').request_bytes

    run_in_memory(check())


def _server_ends(net: MemoryNetwork, address: str) -> list[MemoryTransport]:
    return [
        item
        for item in net.transports
        if item.address == address
        and isinstance(item.protocol, CallerConnection)
    ]
