"""Engines and plain services of our own interface that send without end."""

from __future__ import annotations

import asyncio

import pytest

from bergamotthread.connection.engine_client import (
    EngineLostError,
    GenerateRequest,
)
from bergamotthread.connection.http_engine import HttpEngineClient
from bergamotthread.connection.http_service import HttpServiceClient
from bergamotthread.connection.service_client import (
    ServiceLostError,
    ServiceRequest,
)
from bergamotthread.wire.messages import Pin

BLOCK_BYTES = 65_536
# Bytes that a caller may take of an answer without end, with the buffers of the
# kernel.
TAKEN_BYTES_MAX = 32_000_000
WRITTEN_BYTES_MAX = 2 * TAKEN_BYTES_MAX
_CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
ENDLESS = {
    'head': (b'HTTP/1.1 200 OK\r\n', b'x-%d: y\r\n' % (10**40) * 1000),
    'junk': (b'', b'z' * BLOCK_BYTES),
    'body': (b'HTTP/1.1 200 OK\r\n\r\n', b'z' * BLOCK_BYTES),
    'chunk': (_CHUNKED + b'ffffffff\r\n', b'z' * BLOCK_BYTES),
    'chunks': (_CHUNKED, (b'1000\r\n' + b'z' * 4096 + b'\r\n') * 16),
}


class EndlessServer:
    """Answers each request with an opening, and blocks until it is closed."""

    def __init__(self, kind: str) -> None:
        self.opening, self.block = ENDLESS[kind]
        self.written = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.opening)
        try:
            while self.written < WRITTEN_BYTES_MAX:
                writer.write(self.block)
                self.written += len(self.block)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


async def _generate(address: str) -> None:
    client = HttpEngineClient(address)
    request = GenerateRequest('a', Pin('m', '1'), 'prompt', (), 5)
    async for _ in client.generate(request):
        raise AssertionError('output of an answer that has none')


async def _load(address: str) -> None:
    await HttpEngineClient(address).load()


async def _call(address: str) -> None:
    request = ServiceRequest('GET', '/x', (), b'', 5000)
    await HttpServiceClient(address).call(request)


# Guards against: an agent that keeps all that a faulty engine or service sends,
# and runs out of memory.
@pytest.mark.parametrize('kind', ENDLESS)
@pytest.mark.parametrize('ask', [_generate, _load, _call])
def test_answer_without_end_is_an_error_after_bounded_bytes(ask, kind):
    async def check() -> None:
        endless = EndlessServer(kind)
        server = await asyncio.start_server(endless.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        async with server, asyncio.timeout(20):
            with pytest.raises((EngineLostError, ServiceLostError)):
                await ask(f'{host}:{port}')
        assert endless.written < TAKEN_BYTES_MAX

    asyncio.run(check())
