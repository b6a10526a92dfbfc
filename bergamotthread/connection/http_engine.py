"""Engine client over HTTP with server-sent events."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus

import msgspec
from aiosonic import HTTPClient, TCPConnector
from aiosonic.client import HttpResponse
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts

from bergamotthread.connection.engine_client import (
    EngineClient,
    EngineLostError,
    EngineOutput,
    EngineRefusedError,
    GenerateRequest,
)
from bergamotthread.connection.http_service import CONNECT_ERRORS
from bergamotthread.errors import Step
from bergamotthread.wire.messages import LoadReport, Pin

CONNECT_TIMEOUT_S = 1
STREAM_CONNECTIONS = 1
CONTROL_CONNECTIONS = 4

_EVENT_PREFIX = b'data: '
_EVENT_END = b'\n\n'
_CONNECTION_ERRORS = (
    AiosonicError,
    OSError,
    ValueError,
    asyncio.IncompleteReadError,
)


class OrderRequest(msgspec.Struct, frozen=True):
    """Body of `POST /orders` of an engine."""

    action: str
    pin: Pin
    fence: int


class HttpEngineClient(EngineClient):
    """Engine at an IP address and port.

    `POST /generate` streams one `EngineOutput` in JSON for each event;
    `GET /load` returns a `LoadReport`; `POST /orders` answers 200 or 409.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = _http_client(CONTROL_CONNECTIONS)
        self._decode = msgspec.json.Decoder(EngineOutput).decode

    async def generate(
        self,
        request: GenerateRequest,
    ) -> AsyncIterator[EngineOutput]:
        """Yield the output of the engine's event stream.

        Each stream opens its own connection, because a kept connection may
        lead to an earlier process of the engine.
        """
        async with _http_client(STREAM_CONNECTIONS) as client:
            async for output in self._stream(client, request):
                yield output

    async def load(self) -> LoadReport:
        """Return the engine's load report."""
        try:
            response = await self._client.get(f'http://{self._address}/load')
            body = await response.content()
            return msgspec.json.decode(body, type=LoadReport)
        except _CONNECTION_ERRORS as error:
            raise self._lost_error(error) from error

    async def order(self, action: str, pin: Pin, fence: int) -> bool:
        """Send an order; return whether the engine answered 200."""
        order = msgspec.json.encode(OrderRequest(action, pin, fence))
        try:
            response = await self._client.post(
                f'http://{self._address}/orders',
                data=order,
            )
        except _CONNECTION_ERRORS as error:
            raise self._lost_error(error) from error
        return bool(response.status_code == HTTPStatus.OK)

    async def _stream(
        self,
        client: HTTPClient,
        request: GenerateRequest,
    ) -> AsyncIterator[EngineOutput]:
        response = await self._open_stream(client, request)
        finished = False
        try:
            async for event in self._read_events(response):
                output = self._decode(event)
                finished = bool(output.finish)
                yield output
        except _CONNECTION_ERRORS as error:
            raise self._lost_error(error) from error
        finally:
            await response.aclose()
        if not finished:
            raise self._lost_error('stream ended without a finish')

    async def _open_stream(
        self,
        client: HTTPClient,
        request: GenerateRequest,
    ) -> HttpResponse:
        try:
            response = await client.request(
                f'http://{self._address}/generate',
                method='POST',
                data=msgspec.json.encode(request),
                stream=True,
            )
        except CONNECT_ERRORS as error:
            raise EngineRefusedError(
                f'no connection: {error!r}',
                step=Step.DISPATCH,
                peer=self._address,
            ) from error
        except _CONNECTION_ERRORS as error:
            raise self._lost_error(error) from error
        if response.status_code != HTTPStatus.OK:
            await response.aclose()
            raise EngineRefusedError(
                f'engine answered {response.status_code}',
                step=Step.DISPATCH,
                peer=self._address,
            )
        return response

    async def _read_events(
        self, response: HttpResponse
    ) -> AsyncIterator[bytes]:
        pending = b''
        async for chunk in response.read_chunks():
            pending += chunk
            *events, pending = pending.split(_EVENT_END)
            for event in events:
                if event.startswith(_EVENT_PREFIX):
                    yield event[len(_EVENT_PREFIX) :]

    def _lost_error(self, cause: object) -> EngineLostError:
        return EngineLostError(
            f'connection to engine lost: {cause!r}',
            step=Step.GENERATE,
            peer=self._address,
        )


def _http_client(connections: int) -> HTTPClient:
    """Return a client with a pool of `connections`.

    The pool creates all its connections at once, so it is kept small.
    """
    timeouts = Timeouts(
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=None,
        request_timeout=None,
    )
    connector = TCPConnector(
        timeouts=timeouts,
        pool_configs={':default': {'size': connections}},
    )
    return HTTPClient(connector=connector)
