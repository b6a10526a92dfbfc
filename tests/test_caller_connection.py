"""Caller connections: framing, limits, order of answers, disconnects."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotthread.clock import Clock
from bergamotthread.connection.http.caller_connection import (
    CallerConnection,
    CallerLimits,
    Exchange,
)
from bergamotthread.testing.memory_http import memory_network, run_in_memory

ADDRESS = '10.0.0.1:80'
GET = b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n'
POST = b'POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody'
CHUNKED = (
    b'POST /c HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
    b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
)


class Echo:
    """Server that answers with the method, target and body it received."""

    def __init__(self, limits: CallerLimits | None = None) -> None:
        self.clock = Clock.from_loop(asyncio.get_running_loop())
        self.connections: set[CallerConnection] = set()
        self.limits = limits or CallerLimits(
            header_bytes=400,
            body_bytes=1000,
            header_timeout_ms=500,
            idle_timeout_ms=2000,
        )
        self.is_draining = False
        self.work_ms: float = 0
        self.got: list[bytes] = []
        self.cancelled = 0

    async def answer(self, exchange: Exchange) -> None:
        request = exchange.request
        echo = b'%b %b %b' % (request.method, request.target, request.body)
        self.got.append(echo)
        try:
            await self.clock.sleep_ms(self.work_ms)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        exchange.respond(200, (), echo)


class Caller(asyncio.Protocol):
    """Caller that keeps all received bytes."""

    def __init__(self) -> None:
        self.received = b''
        self.is_closed = False

    def data_received(self, received: bytes) -> None:
        self.received += received

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True


async def _open(server: Echo) -> tuple[asyncio.Transport, Caller]:
    net = memory_network()
    net.listen(lambda: CallerConnection(server), ADDRESS)
    transport, caller = await net.connect(Caller, ADDRESS)
    assert isinstance(caller, Caller)
    return transport, caller


def _exchange(sent: list[bytes], server_of=Echo, wait_s: float = 0.2):
    async def talk():
        server = server_of()
        transport, caller = await _open(server)
        for part in sent:
            transport.write(part)
            await asyncio.sleep(0.001)
        await asyncio.sleep(wait_s)
        return server, caller

    return run_in_memory(talk())


def _status(caller: Caller) -> int:
    return int(caller.received.split(b' ')[1])


def test_pipelined_requests_are_answered_in_order():
    server, caller = _exchange([GET + POST + CHUNKED + GET])
    assert server.got == [b'GET /a ', b'POST /b body', b'POST /c abcde'] + [
        b'GET /a ',
    ]
    assert caller.received.count(b'HTTP/1.1 200') == 4
    assert not caller.is_closed


@given(st.data())
def test_cuts_between_packets_change_nothing(data):
    stream = GET + POST + CHUNKED + POST
    cuts = data.draw(
        st.lists(st.integers(0, len(stream)), max_size=12).map(sorted),
    )
    edges = [0, *cuts, len(stream)]
    parts = [
        stream[start:end]
        for start, end in zip(edges, edges[1:], strict=False)
        if end > start
    ]
    server, _ = _exchange(parts)
    assert server.got == [
        b'GET /a ',
        b'POST /b body',
        b'POST /c abcde',
        b'POST /b body',
    ]


@given(st.binary(max_size=300))
def test_any_bytes_are_answered_or_closed_without_an_error(noise):
    server, caller = _exchange([noise, b'\r\n\r\n'], wait_s=3)
    assert caller.is_closed
    assert len(server.got) <= noise.count(b'HTTP') + 1


@given(st.binary(max_size=60))
def test_body_that_looks_like_a_request_is_never_one(noise):
    body = noise + GET
    head = b'POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n'
    server, _ = _exchange([head % len(body) + body])
    assert server.got == [b'POST /b ' + body]


@pytest.mark.parametrize(
    'sent, status',
    [
        (b'nonsense\r\n\r\n', 400),
        (GET.replace(b'host: h', b'host: h\r\nhost: i'), 400),
        (
            CHUNKED.replace(b'chunked', b'chunked\r\ncontent-length: 4'),
            400,
        ),
        (POST.replace(b'4', b'4\r\ncontent-length: 5'), 400),
        (b'GET /a HTTP/1.1\r\nhost: h\r\nx y: z\r\n\r\n', 400),
        (GET.replace(b'/a', b'/' + b'a' * 500), 431),
        (GET.replace(b'host: h', b'host: ' + b'h' * 500), 431),
        (POST.replace(b'4', b'4000'), 413),
        (CHUNKED.replace(b'3\r\nabc', b'7d0\r\n' + b'a' * 2000), 413),
    ],
)
def test_invalid_request_is_refused_and_the_connection_closed(sent, status):
    server, caller = _exchange([sent])
    assert _status(caller) == status
    assert caller.is_closed
    assert server.got == []


def test_request_smuggled_behind_an_invalid_one_is_not_read():
    server, caller = _exchange(
        [CHUNKED.replace(b'chunked', b'chunked\r\ncontent-length: 4') + GET],
    )
    assert server.got == []
    assert caller.received.count(b'HTTP/1.1') == 1


def test_request_before_an_invalid_one_is_answered_first():
    _, caller = _exchange([GET + b'nonsense\r\n\r\n'])
    assert caller.received.index(b'200') < caller.received.index(b'400')


def test_slow_head_gets_408_and_an_idle_connection_is_closed():
    _, slow = _exchange([GET[:10]], wait_s=1)
    assert _status(slow) == 408
    _, idle = _exchange([GET], wait_s=1)
    assert not idle.is_closed
    _, idle = _exchange([GET], wait_s=2.5)
    assert idle.is_closed


def test_100_continue_is_sent_before_the_body_is_answered():
    request = POST.replace(b'host: h', b'host: h\r\nexpect: 100-continue')
    _, caller = _exchange([request])
    assert caller.received.startswith(b'HTTP/1.1 100')
    assert b'POST /b body' in caller.received


def test_connection_closes_if_the_caller_asks_or_while_draining():
    _, caller = _exchange(
        [GET.replace(b'host: h', b'host: h\r\nconnection: close')]
    )
    assert caller.is_closed

    def draining() -> Echo:
        server = Echo()
        server.is_draining = True
        return server

    _, caller = _exchange([GET], draining)
    assert b'connection: close' in caller.received
    assert caller.is_closed


def test_work_is_cancelled_when_the_caller_disconnects():
    async def check():
        server = Echo()
        server.work_ms = 10_000
        transport, _ = await _open(server)
        transport.write(GET)
        await asyncio.sleep(0.1)
        transport.close()
        await asyncio.sleep(0.1)
        assert server.cancelled == 1
        assert not server.connections

    run_in_memory(check())


def test_answer_of_a_failing_handler_looks_incomplete():
    class Failing(Echo):
        async def answer(self, exchange: Exchange) -> None:
            exchange.start(200, ())
            exchange.write(b'part')
            raise RuntimeError('bug')

    _, caller = _exchange([GET], Failing)
    assert caller.is_closed
    assert not caller.received.endswith(b'0\r\n\r\n')


def test_aborted_answer_looks_incomplete():
    class Cut(Echo):
        async def answer(self, exchange: Exchange) -> None:
            exchange.start(200, ())
            exchange.write(b'part')
            exchange.abort()

    _, caller = _exchange([GET], Cut)
    assert caller.is_closed
    assert not caller.received.endswith(b'0\r\n\r\n')


def test_close_idle_leaves_busy_connections_open():
    async def check():
        server = Echo()
        server.work_ms = 300
        transport, caller = await _open(server)
        transport.write(GET)
        await asyncio.sleep(0.1)
        for connection in tuple(server.connections):
            connection.close_idle()
        await asyncio.sleep(0.5)
        assert b'200' in caller.received
        for connection in tuple(server.connections):
            connection.close_idle()
        await asyncio.sleep(0.1)
        assert caller.is_closed

    run_in_memory(check())
