"""Upstream connections: framing, losses, surplus bytes, other answers."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotthread.clock import Clock
from bergamotthread.connection.http.messages import (
    AnswerEnd,
    AnswerHead,
    AnswerLost,
    AnswerPart,
)
from bergamotthread.connection.http.upstream_connection import (
    UpstreamConnection,
)
from bergamotthread.connection.http.upstream_pool import (
    ConnectFailedError,
    Reachability,
    UpstreamPool,
)
from bergamotthread.testing.memory_http import memory_network, run_in_memory

ADDRESS = '10.0.0.9:80'
ECHO = b'x-id'
OWN = b'x-id: r1\r\n'
FOREIGN = b'HTTP/1.1 200 OK\r\nx-id: r0\r\ncontent-length: 3\r\n\r\nold'
WHOLE = b'HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 4\r\n\r\nbody'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n'
)
TO_THE_END = b'HTTP/1.1 200 OK\r\nx-id: r1\r\n\r\nbody'


class Scripted(asyncio.Protocol):
    """Upstream that sends fixed bytes on the first request."""

    def __init__(
        self, parts: list[bytes], ends: str, before: bytes = b''
    ) -> None:
        self.parts = parts
        self.ends = ends
        self.before = before

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, received: bytes) -> None:
        if self.before:
            self.transport.write(self.before)
            self.before = b''
            return
        for part in self.parts:
            self.transport.write(part)
        self.parts = []
        if self.ends == 'close':
            self.transport.close()
        elif self.ends == 'reset':
            loop = asyncio.get_running_loop()
            loop.call_later(0.01, memory_network().reset, ADDRESS)


def _talk(parts: list[bytes], ends: str = '', before: bytes = b''):
    """Return the items of the answer and the connection.

    With `before`, a request without identifier gets that answer first.
    """

    async def talk():
        net = memory_network()
        net.listen(lambda: Scripted(list(parts), ends, before), ADDRESS)
        clock = Clock.from_loop(net.loop)
        _, connection = await net.connect(
            lambda: UpstreamConnection(ADDRESS, clock, ECHO),
            ADDRESS,
        )
        if before:
            connection.send(b'GET / HTTP/1.1\r\n\r\n', b'')
            while not isinstance(await connection.receive(9), AnswerEnd):
                continue
            await asyncio.sleep(0.1)
        connection.send(b'GET / HTTP/1.1\r\n\r\n', b'r1')
        items = []
        while not items or not isinstance(
            items[-1],
            AnswerEnd | AnswerLost | None,
        ):
            items.append(await connection.receive(1000))
        await asyncio.sleep(0.1)
        return items, connection

    return run_in_memory(talk())


def _body(items) -> bytes:
    return b''.join(
        part.payload for part in items if isinstance(part, AnswerPart)
    )


@pytest.mark.parametrize('answer', [WHOLE, CHUNKED])
def test_connection_is_reusable_after_a_complete_answer(answer):
    items, connection = _talk([answer])
    assert isinstance(items[0], AnswerHead)
    assert isinstance(items[-1], AnswerEnd)
    assert _body(items) == b'body'
    assert connection.is_reusable


@given(st.data())
def test_cuts_between_packets_change_nothing(data):
    cuts = sorted(data.draw(st.sets(st.integers(1, len(CHUNKED) - 1))))
    edges = [0, *cuts, len(CHUNKED)]
    parts = [
        CHUNKED[start:end] for start, end in zip(edges, edges[1:], strict=False)
    ]
    items, connection = _talk(parts)
    assert _body(items) == b'body'
    assert connection.is_reusable


@given(st.integers(0, len(CHUNKED) - 1), st.sampled_from(['close', 'reset']))
def test_answer_that_breaks_off_is_never_whole(length, ends):
    items, connection = _talk([CHUNKED[:length]], ends)
    assert isinstance(items[-1], AnswerLost)
    assert not connection.is_reusable


def test_answer_without_length_is_complete_at_a_close_not_at_a_reset():
    items, connection = _talk([TO_THE_END], 'close')
    assert isinstance(items[-1], AnswerEnd)
    assert _body(items) == b'body'
    assert not connection.is_reusable
    items, _ = _talk([TO_THE_END], 'reset')
    assert isinstance(items[-1], AnswerLost)


@given(st.binary(min_size=1, max_size=40))
def test_surplus_bytes_make_the_connection_unfit(surplus):
    items, connection = _talk([WHOLE + surplus])
    assert _body(items) == b'body'
    assert not connection.is_reusable


def test_connection_is_not_reusable_after_later_surplus_bytes():
    items, connection = _talk([WHOLE, WHOLE])
    assert _body(items) == b'body'
    assert not connection.is_reusable


def test_connection_is_not_reusable_after_a_second_answer():
    items, connection = _talk([WHOLE + WHOLE])
    assert _body(items) == b'body'
    assert not connection.is_reusable


def test_answer_to_another_request_is_skipped():
    items, connection = _talk([FOREIGN + WHOLE])
    assert _body(items) == b'body'
    assert connection.is_reusable
    items, _ = _talk([FOREIGN, WHOLE])
    assert _body(items) == b'body'


def test_answer_to_another_request_alone_times_out():
    items, _ = _talk([FOREIGN])
    assert items == [None]


@given(st.binary(min_size=1, max_size=200))
def test_any_bytes_end_as_an_item_and_not_as_an_error(noise):
    items, _ = _talk([noise, b'\r\n\r\n'], 'close')
    assert isinstance(items[-1], AnswerEnd | AnswerLost)


def test_interim_answer_is_skipped():
    items, _ = _talk([b'HTTP/1.1 100 Continue\r\n\r\n' + WHOLE])
    assert items[0].status == 200


def test_idle_timeout_is_read_from_the_keep_alive_field():
    answer = WHOLE.replace(OWN, OWN + b'keep-alive: timeout=7\r\n')
    _, connection = _talk([answer])
    assert connection.idle_timeout_ms == 7000


def test_connection_is_not_reusable_after_connection_close():
    answer = WHOLE.replace(OWN, OWN + b'connection: close\r\n')
    _, connection = _talk([answer])
    assert not connection.is_reusable


def _run_with_pool(check):
    async def scenario():
        net = memory_network()
        clock = Clock.from_loop(net.loop)
        pool = UpstreamPool(clock, ECHO)
        net.listen(lambda: Scripted([WHOLE], ''), ADDRESS)
        await check(net, clock, pool)

    run_in_memory(scenario())


async def _use(pool: UpstreamPool) -> UpstreamConnection:
    connection = await pool.acquire(ADDRESS)
    connection.send(b'GET / HTTP/1.1\r\n\r\n', b'r1')
    while not isinstance(await connection.receive(1000), AnswerEnd):
        continue
    pool.release(connection)
    return connection


def test_pool_reuses_connections_until_the_idle_limit():
    async def check(net, clock, pool):
        first = await _use(pool)
        assert await pool.acquire(ADDRESS) is first
        pool.release(first)
        await clock.sleep_ms(5000)
        assert await pool.acquire(ADDRESS) is not first
        assert pool.opened == 2

    _run_with_pool(check)


def test_pool_does_not_reuse_a_reset_connection():
    async def check(net, clock, pool):
        first = await _use(pool)
        net.reset(ADDRESS)
        assert await pool.acquire(ADDRESS) is not first

    _run_with_pool(check)


def test_pool_closes_a_connection_released_before_its_answer():
    async def check(net, clock, pool):
        connection = await pool.acquire(ADDRESS)
        connection.send(b'GET / HTTP/1.1\r\n\r\n', b'r1')
        pool.release(connection)
        await clock.sleep_ms(10)
        assert not connection.is_open

    _run_with_pool(check)


def test_pool_raises_if_no_connection_can_be_opened():
    async def check(net, clock, pool):
        net.kill(ADDRESS)
        with pytest.raises(ConnectFailedError, match=ADDRESS):
            await pool.acquire(ADDRESS)
        net.silent.add(ADDRESS)
        with pytest.raises(ConnectFailedError, match=ADDRESS):
            await pool.acquire(ADDRESS)

    _run_with_pool(check)


def test_pool_sends_no_request_twice_on_one_connection():
    async def check(net, clock, pool):
        first = await _use(pool)
        other = await pool.acquire(ADDRESS, request_id=b'r1')
        assert other is not first
        pool.release(other)
        assert await pool.acquire(ADDRESS, request_id=b'r1') is other
        assert await pool.acquire(ADDRESS, request_id=b'r2') is first

    _run_with_pool(check)


# Guards against: a copy of a health probe's rejection that is taken for the
# answer to a request, which then runs a second time.
def test_answer_without_identifier_is_no_answer_after_an_unnamed_request():
    unnamed = WHOLE.replace(OWN, b'')
    items, connection = _talk([unnamed], before=unnamed)
    assert items == [AnswerLost('an answer that names no request')]
    assert not connection.is_reusable
    items, connection = _talk([WHOLE], before=unnamed)
    assert _body(items) == b'body'
    assert connection.is_reusable


def test_answer_to_a_head_request_ends_with_its_head():
    async def check(net, clock, pool):
        connection = await pool.acquire(ADDRESS)
        connection.send(b'HEAD / HTTP/1.1\r\n\r\n', b'r1')
        connection.data_received(WHOLE.removesuffix(b'body'))
        assert isinstance(await connection.receive(9), AnswerHead)
        assert isinstance(await connection.receive(9), AnswerEnd)

    _run_with_pool(check)


class _Ending(asyncio.Protocol):
    """Process that ends while it still accepts a connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        net = memory_network()
        net.loop.call_later(0.01, net.kill, ADDRESS)


# Guards against: a cut answer that looks whole as the process that wrote it has
# not closed its listening socket yet.
def test_process_that_is_ending_does_not_count_as_listening():
    async def check():
        net = memory_network()
        clock = Clock.from_loop(net.loop)
        pool = UpstreamPool(clock, ECHO)
        net.listen(_Ending, ADDRESS)
        assert await pool.reach(ADDRESS, 40) is Reachability.REFUSED
        net.listen(lambda: Scripted([WHOLE], ''), ADDRESS)
        assert await pool.reach(ADDRESS, 40) is Reachability.LISTENING
        pool.close()

    run_in_memory(check())
