"""Answers without a length or chunks, and bytes without end, on raw sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import pytest

from bergamotthread.connection.http.fetch import FetchRequest, fetch
from bergamotthread.testing.memory_http import MemoryTransport, run_in_memory
from standins.platform_runner import (
    MODEL,
    PLAIN,
    REQUEST_ID,
    SEAL,
    event_of,
    runner_row,
)
from tests.platform_standins import Deployment

EVENTS = 20
REPORT = b'{"queue_depth":0,"in_flight":0,"kv_total":88000}'
RAW_ADDRESS = '10.9.9.9:8080'


class RawRunner:
    """Runner that writes bytes as a script says; `arrived` are its requests."""

    def __init__(
        self,
        deployment: Deployment,
        script: Callable[[RawRunner, MemoryTransport, bytes], None],
    ) -> None:
        self.net = deployment.net
        self.clock = deployment.clock
        self.arrived: list[bytes] = []
        self.closed = 0
        self.written = 0
        self._script = script

    def connect(self) -> asyncio.Protocol:
        return _RawConnection(self)

    def serve(self, transport: MemoryTransport, received: bytes) -> None:
        if b'/api/report' in received:
            head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n'
            transport.write(head % len(REPORT) + REPORT)
            return
        self.arrived.append(received)
        self._script(self, transport, received)


class _RawConnection(asyncio.Protocol):
    def __init__(self, runner: RawRunner) -> None:
        self._runner = runner
        self._transport: MemoryTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(MemoryTransport, transport)

    def data_received(self, received: bytes) -> None:
        if self._transport is not None:
            self._runner.serve(self._transport, received)

    def connection_lost(self, exc: Exception | None) -> None:
        self._runner.closed += 1


def _request_id(received: bytes) -> bytes:
    for line in received.split(b'\r\n'):
        name, _, content = line.partition(b': ')
        if name.lower() == REQUEST_ID:
            return content
    return b''


def _unframed_head(received: bytes) -> bytes:
    return b''.join(
        (
            b'HTTP/1.1 200 OK\r\n',
            b'%b: %b\r\n' % (REQUEST_ID, _request_id(received)),
            b'%b: raw\r\n\r\n' % SEAL,
        )
    )


def _events(received: bytes, last: int = EVENTS) -> bytes:
    request_id = _request_id(received)
    return b''.join(event_of(request_id, n) for n in range(1, last + 1))


def _plain(runner, transport, received):
    transport.write(_unframed_head(received) + b'answer')
    transport.close()


def _whole_stream(runner, transport, received):
    transport.write(_unframed_head(received) + _events(received))
    transport.close()


def _cut_in_event(runner, transport, received):
    transport.write(_unframed_head(received) + _events(received, 3) + b'id: 4')
    transport.close()


def _crash_between_events(runner, transport, received):
    transport.write(_unframed_head(received) + _events(received, 3))
    transport.close()
    runner.net.factory_by_address.pop(RAW_ADDRESS)


def _crash_in_answer(runner, transport, received):
    transport.write(_unframed_head(received) + b'half of an ans')
    runner.net.factory_by_address.pop(RAW_ADDRESS)
    transport.close()


async def _start(script, service: str, others: int = 1):
    """Start a deployment whose first choice is the raw runner."""
    deployment = await Deployment.start(models=0, plains=0)
    raw = RawRunner(deployment, script)
    deployment.net.listen(raw.connect, RAW_ADDRESS)
    row = runner_row(RAW_ADDRESS, service, 'a-1', born=1)
    deployment.store.put('servers', 'raw', row)
    await deployment.clock.sleep_ms(1500)
    return deployment, raw


async def _add_sound(deployment: Deployment, service: str) -> None:
    runner = await deployment.add_runner('sound', service, 'b-1')
    runner.script.events = EVENTS
    await deployment.clock.sleep_ms(1500)


def test_plain_answer_that_ends_with_its_connection_is_whole():
    async def check():
        deployment, raw = await _start(_plain, PLAIN)
        answer = await deployment.call('/once/x')
        assert (answer.status, answer.body) == (200, b'answer')
        assert len(raw.arrived) == 1

    run_in_memory(check())


# Guards against: a whole stream without a length or chunks is run once more.
def test_stream_that_ends_with_its_connection_is_whole():
    async def check():
        deployment, raw = await _start(_whole_stream, MODEL)
        answer = await deployment.call('/stream/x')
        assert answer.is_whole
        assert answer.event_ids == list(range(1, EVENTS + 1))
        assert len(raw.arrived) == 1
        assert len(deployment.events('attempt')) == 1

    run_in_memory(check())


# Guards against: a part of an answer without a length that is passed on as the
# whole, as the kernel closes the connections of a process that has crashed.
@pytest.mark.parametrize(
    ('path', 'status', 'body'),
    [('/once/x', 502, None), ('/any/x', 200, b'whole')],
)
def test_plain_answer_that_ends_with_its_upstream_is_not_whole(
    path, status, body
):
    async def check():
        deployment, raw = await _start(_crash_in_answer, PLAIN)
        task = asyncio.create_task(deployment.call(path, method=b'POST'))
        await deployment.clock.sleep_ms(20)
        sound = await deployment.add_runner('sound', PLAIN, 'b-1')
        sound.script.answer = b'whole'
        answer = await task
        assert answer.status == status
        assert body in {None, answer.body}
        assert SEAL in answer.headers or status == 502

    run_in_memory(check())


@pytest.mark.parametrize('script', [_cut_in_event, _crash_between_events])
def test_stream_that_is_broken_off_without_framing_is_resumed(script):
    async def check():
        deployment, raw = await _start(script, MODEL)
        task = asyncio.create_task(deployment.call('/stream/x'))
        await deployment.clock.sleep_ms(20)
        await _add_sound(deployment, MODEL)
        answer = await task
        assert answer.is_whole
        assert answer.event_ids == list(range(1, EVENTS + 1))
        assert len(deployment.plains + deployment.models) == 1
        assert deployment.ran(deployment.models) == 1

    run_in_memory(check())


# Bytes that an attempt may read of an answer that never ends.
ENDLESS_BYTES_MAX = 2_000_000
BLOCK_BYTES = 8192


def _endless(opening: Callable[[bytes], bytes], block: bytes):
    """Return a script that writes a block each millisecond until closed."""

    def serve(runner, transport, received):
        transport.write(opening(received))
        asyncio.get_running_loop().create_task(write_on(runner, transport))

    async def write_on(runner, transport):
        while not transport.is_closing() and runner.clock.now_ms() < 30_000:
            transport.write(block)
            runner.written += len(block)
            await runner.clock.sleep_ms(1)

    return serve


def _status_line(received: bytes) -> bytes:
    return b'HTTP/1.1 200 OK\r\n'


def _chunked_head(received: bytes) -> bytes:
    head = _unframed_head(received).removesuffix(b'\r\n')
    return head + b'transfer-encoding: chunked\r\n\r\n'


def _other_answer(received: bytes) -> bytes:
    head = b'HTTP/1.1 200 OK\r\n%b: other\r\ncontent-length: 99999999\r\n\r\n'
    return head % REQUEST_ID


_FIELD = b'x-%b: y\r\n' % (b'a' * 1000)
_PIECE = b'2d\r\n%b\r\n' % (b'p' * 45)
ENDLESS = {
    'head': _endless(_status_line, _FIELD * 8),
    'interim': _endless(lambda _: b'', b'HTTP/1.1 103 Early\r\n\r\n' * 300),
    'no answer': _endless(lambda _: b'', b'\x00' * BLOCK_BYTES),
    'other answer': _endless(_other_answer, b'z' * BLOCK_BYTES),
    'chunk extension': _endless(_chunked_head, b'1;' + b'e' * BLOCK_BYTES),
    'body': _endless(_unframed_head, b'b' * BLOCK_BYTES),
    'events': _endless(_unframed_head, b': nothing\n\n' * 700),
    'event in small pieces': _endless(_chunked_head, _PIECE * 160),
}


# Guards against: bytes that are no answer read until memory or the caller's
# time runs out, and upstreams or callers lost to one such answer.
@pytest.mark.parametrize('kind', ENDLESS)
@pytest.mark.parametrize('path', ['/any/x', '/stream/x'])
def test_bytes_without_end_are_read_for_a_bounded_time(kind, path):
    async def check():
        service = MODEL if 'stream' in path else PLAIN
        deployment, raw = await _start(ENDLESS[kind], service)
        task = asyncio.create_task(
            deployment.call(path, method=b'POST', remaining_ms=9000)
        )
        await deployment.clock.sleep_ms(20)
        runner = await deployment.add_runner('sound', service, 'b-1')
        runner.script.events = EVENTS
        answer = await task
        assert answer.status == 200
        assert raw.written < (8 if service == PLAIN else 1) * ENDLESS_BYTES_MAX
        assert raw.closed
        await deployment.clock.sleep_ms(200)
        upstream = deployment.entries[0]._directory.get('raw')
        assert not deployment.entries[0]._directory.is_lost(upstream)

    run_in_memory(check())


def test_control_call_reads_bounded_bytes():
    async def check():
        deployment = await Deployment.start(models=0, plains=0)
        raw = RawRunner(deployment, ENDLESS['body'])
        deployment.net.listen(raw.connect, RAW_ADDRESS)
        pool = deployment.entries[0]._pool
        request = FetchRequest(b'GET', b'/any')
        with pytest.raises(ConnectionError, match='bytes'):
            await fetch(pool, RAW_ADDRESS, request, 500, body_bytes_max=100_000)
        assert raw.written < ENDLESS_BYTES_MAX

    run_in_memory(check())
