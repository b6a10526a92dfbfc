"""Plain service over HTTP.

The HTTP library repeats a request of an idempotent method by itself when a
kept connection drops. A call by `PUT` or `DELETE` that may not be repeated
would then run twice, so each call has a client and a connection of its own.
"""

from __future__ import annotations

import asyncio

from aiosonic import HTTPClient, HttpResponse, Timeouts
from aiosonic.exceptions import AiosonicError, ConnectTimeout

from bergamotthread.connection.service_client import (
    ServiceAnswer,
    ServiceClient,
    ServiceLostError,
    ServiceNotReachedError,
    ServiceRequest,
)
from bergamotthread.errors import Step

CONNECT_TIMEOUT_S = 1
ANSWER_LIMIT_BYTES = 8_388_608
_MS_PER_S = 1000
_LOST = (AiosonicError, OSError, ValueError, asyncio.IncompleteReadError)
UNREACHED_ERRORS = (ConnectionRefusedError, ConnectTimeout)
_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)


class HttpServiceClient(ServiceClient):
    """Plain service at an IP number and port."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def call(self, request: ServiceRequest) -> ServiceAnswer:
        """Send a call and return its answer."""
        try:
            return await self._call(request)
        except UNREACHED_ERRORS as error:
            raise ServiceNotReachedError(
                f'no connection: {error!r}',
                step=Step.DISPATCH,
                peer=self._address,
            ) from error
        except _LOST as error:
            raise ServiceLostError(
                f'no answer: {error!r}',
                step=Step.DISPATCH,
                peer=self._address,
            ) from error

    async def close(self) -> None:
        """Close nothing, since no connection outlives its call."""

    async def _call(self, request: ServiceRequest) -> ServiceAnswer:
        async with HTTPClient() as client:
            return await self._exchange(client, request)

    async def _exchange(
        self,
        client: HTTPClient,
        request: ServiceRequest,
    ) -> ServiceAnswer:
        answer_s = request.remaining_ms / _MS_PER_S
        response: HttpResponse = await client.request(
            f'http://{self._address}{request.path}',
            request.method,
            headers=dict(_end_to_end(request.headers)),
            data=request.body,
            timeouts=Timeouts(
                sock_connect=CONNECT_TIMEOUT_S,
                sock_read=answer_s,
                pool_acquire=answer_s,
                request_timeout=answer_s,
            ),
            max_decompressed_size=ANSWER_LIMIT_BYTES,
        )
        return ServiceAnswer(
            response.status_code,
            _end_to_end(tuple(response.headers.items())),
            await self._read(response),
        )

    async def _read(self, response: HttpResponse) -> bytes:
        body = await response.content()
        if len(body) > ANSWER_LIMIT_BYTES:
            raise ServiceLostError(
                f'answer of {len(body)} bytes, at most {ANSWER_LIMIT_BYTES}',
                step=Step.DISPATCH,
                peer=self._address,
            )
        return bytes(body)


def _end_to_end(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() not in _HOP_HEADERS
    )
