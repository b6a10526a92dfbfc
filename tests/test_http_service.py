import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from bergamotthread.clock import Clock
from bergamotthread.connection.http_service import HttpServiceClient
from bergamotthread.connection.service_client import (
    ServiceLostError,
    ServiceRequest,
    ServiceUnreachableError,
)
from standins.service import PlainService, ServiceFaults, create_app
from standins.serving import serving

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


def _request(
    method: str = 'POST', remaining_ms: float = 5000
) -> ServiceRequest:
    headers = (('Idempotency-Key', 'k'), ('Connection', 'upgrade'))
    return ServiceRequest(method, '/a?b=c', headers, b'body', remaining_ms)


class _DroppingServer:
    """Answers the first request of a connection and drops the second."""

    def __init__(self) -> None:
        self.requests: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            self.requests.append(await reader.readuntil(b'body'))
            writer.write(_ANSWER)
            self.requests.append(await reader.readuntil(b'body'))
        writer.close()


@contextlib.asynccontextmanager
async def _client(server: _DroppingServer) -> AsyncIterator[HttpServiceClient]:
    listening = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    host, port = listening.sockets[0].getsockname()
    client = HttpServiceClient(f'{host}:{port}')
    yield client
    await client.close()
    listening.close()


async def _calls(method: str) -> list[bytes]:
    server = _DroppingServer()
    async with _client(server) as client:
        for _ in range(3):
            answer = await client.call(_request(method))
            assert (answer.status, answer.body) == (200, b'ok')
    return server.requests


@pytest.mark.parametrize('method', ['POST', 'PUT', 'DELETE'])
def test_call_is_not_retried_when_a_kept_connection_drops(method: str) -> None:
    requests = asyncio.run(_calls(method))
    assert len(requests) == 3
    assert all(
        request.startswith(f'{method} /a?b=c '.encode()) for request in requests
    )
    assert b'upgrade' not in b''.join(requests)


async def _call_silent_and_closed_server() -> None:
    async def wait(*_: object) -> None:
        await asyncio.sleep(5)

    listening = await asyncio.start_server(wait, '127.0.0.1', 0)
    host, port = listening.sockets[0].getsockname()
    client = HttpServiceClient(f'{host}:{port}')
    with pytest.raises(ServiceLostError):
        await client.call(_request(remaining_ms=50))
    await client.close()
    listening.close()
    with pytest.raises(ServiceUnreachableError):
        await client.call(_request())


def test_lost_answer_and_failed_connection_raise_different_errors() -> None:
    asyncio.run(_call_silent_and_closed_server())


async def _call_standin() -> None:
    service = PlainService(Clock.from_system())
    async with serving(create_app(service)) as address:
        client = HttpServiceClient(address)
        answer = await client.call(_request())
        assert answer.body == b'{"key":"k","runs":1}'
        names = {name.lower() for name, _ in answer.headers}
        assert 'content-type' in names
        assert 'content-length' not in names
        service.faults = ServiceFaults(dropped_answers=1)
        with pytest.raises(ServiceLostError):
            await client.call(_request())
        await client.close()
    assert service.runs_by_key == {'k': 2}


def test_calls_reach_the_service_and_a_dropped_answer_is_lost() -> None:
    asyncio.run(_call_standin())
