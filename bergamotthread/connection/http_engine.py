"""Engine client over HTTP with server-sent events."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator
from http import HTTPStatus

import msgspec

from bergamotthread.clock import Clock
from bergamotthread.connection.engine_client import (
    EngineClient,
    EngineLostError,
    EngineOutput,
    EngineRefusedError,
    GenerateRequest,
)
from bergamotthread.connection.event_buffer import EventBuffer
from bergamotthread.connection.http.fetch import (
    FetchRequest,
    FetchResponse,
    fetch_once,
)
from bergamotthread.connection.http.messages import (
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    encode_request,
)
from bergamotthread.connection.http.upstream_connection import (
    UpstreamConnection,
)
from bergamotthread.connection.http.upstream_pool import (
    ConnectFailedError,
    UpstreamPool,
)
from bergamotthread.errors import Step
from bergamotthread.wire.messages import LoadReport, Pin

# Time for the answer to a load report or an order.
CONTROL_TIMEOUT_MS = 10_000
# Largest answer to a load report or an order.
CONTROL_BYTES_MAX = 1_048_576

_EVENT_PREFIX = b'data: '
_JSON = (b'content-type', b'application/json')
_STREAM_ERRORS = (ConnectionError, ValueError)


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
        self._clock = Clock.from_system()
        self._decode = msgspec.json.Decoder(EngineOutput).decode

    async def generate(
        self,
        request: GenerateRequest,
    ) -> AsyncIterator[EngineOutput]:
        """Yield the output of the engine's event stream.

        Each stream opens its own connection, because a kept connection may
        lead to an earlier process of the engine.
        """
        connection = await self._open_stream(request)
        finished = False
        try:
            async for event in _read_events(connection):
                output = self._decode(event)
                finished = bool(output.finish)
                yield output
        except _STREAM_ERRORS as error:
            raise self._lost_error(error) from error
        finally:
            connection.close()
        if not finished:
            raise self._lost_error('stream ended without a finish')

    async def load(self) -> LoadReport:
        """Return the engine's load report."""
        try:
            response = await self._fetch(FetchRequest(b'GET', b'/load'))
            return msgspec.json.decode(response.body, type=LoadReport)
        except _STREAM_ERRORS as error:
            raise self._lost_error(error) from error

    async def order(self, action: str, pin: Pin, fence: int) -> bool:
        """Send an order; return whether the engine answered 200."""
        order = msgspec.json.encode(OrderRequest(action, pin, fence))
        try:
            response = await self._fetch(
                FetchRequest(b'POST', b'/orders', order, (_JSON,))
            )
        except ConnectionError as error:
            raise self._lost_error(error) from error
        return response.status == HTTPStatus.OK

    async def _fetch(self, request: FetchRequest) -> FetchResponse:
        return await fetch_once(
            self._clock,
            self._address,
            request,
            CONTROL_TIMEOUT_MS,
            CONTROL_BYTES_MAX,
        )

    async def _open_stream(
        self, request: GenerateRequest
    ) -> UpstreamConnection:
        """Send the request; return the connection behind the head."""
        encoded = encode_request(
            b'POST',
            b'/generate',
            ((b'host', self._address.encode()), _JSON),
            msgspec.json.encode(request),
        )
        try:
            pool = UpstreamPool(self._clock, b'')
            connection = await pool.acquire(self._address)
        except ConnectFailedError as error:
            raise self._refused_error(str(error)) from error
        try:
            connection.send(encoded, b'')
            head = await connection.receive(math.inf)
        except ConnectionError as error:
            connection.close()
            raise self._lost_error(error) from error
        except asyncio.CancelledError:
            connection.close()
            raise
        if not isinstance(head, AnswerHead):
            connection.close()
            raise self._lost_error(head)
        if head.status != HTTPStatus.OK:
            connection.close()
            raise self._refused_error(f'engine answered {head.status}')
        return connection

    def _refused_error(self, reason: str) -> EngineRefusedError:
        return EngineRefusedError(
            reason, step=Step.DISPATCH, peer=self._address
        )

    def _lost_error(self, cause: object) -> EngineLostError:
        return EngineLostError(
            f'connection to engine lost: {cause!r}',
            step=Step.GENERATE,
            peer=self._address,
        )


async def _read_events(connection: UpstreamConnection) -> AsyncIterator[bytes]:
    """Yield the data of each event.

    Raises
    ------
    ConnectionError
        If the connection breaks.
    ValueError
        If an event is too long.
    """
    buffer = EventBuffer()
    received = await connection.receive(math.inf)
    while isinstance(received, AnswerPart):
        for event in buffer.feed(received.payload):
            if event.startswith(_EVENT_PREFIX):
                yield event[len(_EVENT_PREFIX) :].strip()
        received = await connection.receive(math.inf)
    if not isinstance(received, AnswerEnd):
        raise ConnectionError(str(received))
