"""HTTP client of a plain service.

The HTTP library retries a request with an idempotent method by itself when a
kept connection drops. A `PUT` or `DELETE` call that must not be retried could
then run twice, so each call uses its own client and connection.
"""

from __future__ import annotations

import asyncio

from aiosonic import HTTPClient, HttpResponse, Timeouts
from aiosonic.exceptions import AiosonicError, ConnectTimeout

from bergamotthread.connection.service_client import (
    ServiceAnswer,
    ServiceClient,
    ServiceLostError,
    ServiceRequest,
    ServiceUnreachableError,
)
from bergamotthread.errors import Step

CONNECT_TIMEOUT_S = 1
ANSWER_LIMIT_BYTES = 8_388_608
_MS_PER_S = 1000
_CONNECTION_ERRORS = (
    AiosonicError,
    OSError,
    ValueError,
    asyncio.IncompleteReadError,
)
CONNECT_ERRORS = (ConnectionRefusedError, ConnectTimeout)
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
    """Plain service at an IP address and port."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def call(self, request: ServiceRequest) -> ServiceAnswer:
        """Send a call and return its answer."""
        try:
            return await self._call(request)
        except CONNECT_ERRORS as error:
            raise ServiceUnreachableError(
                f'no connection: {error!r}',
                step=Step.DISPATCH,
                peer=self._address,
            ) from error
        except _CONNECTION_ERRORS as error:
            raise ServiceLostError(
                f'no answer: {error!r}',
                step=Step.DISPATCH,
                peer=self._address,
            ) from error

    async def close(self) -> None:
        """Do nothing; every call closes its own connection."""

    async def _call(self, request: ServiceRequest) -> ServiceAnswer:
        async with HTTPClient() as client:
            return await self._exchange(client, request)

    async def _exchange(
        self,
        client: HTTPClient,
        request: ServiceRequest,
    ) -> ServiceAnswer:
        remaining_s = request.remaining_ms / _MS_PER_S
        response: HttpResponse = await client.request(
            f'http://{self._address}{request.path}',
            request.method,
            headers=dict(_end_to_end(request.headers)),
            data=request.body,
            timeouts=Timeouts(
                sock_connect=CONNECT_TIMEOUT_S,
                sock_read=remaining_s,
                pool_acquire=remaining_s,
                request_timeout=remaining_s,
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
        (name, field_value)
        for name, field_value in headers
        if name.lower() not in _HOP_HEADERS
    )
