"""HTTP client of a plain service; it repeats nothing.

Each call has its own connection, since a kept one may have been dropped.
"""

from __future__ import annotations

import asyncio

from bergamotthread.clock import Clock
from bergamotthread.connection.http.fetch import (
    FetchRequest,
    FetchResponse,
    fetch_once,
)
from bergamotthread.connection.http.upstream_pool import ConnectFailedError
from bergamotthread.connection.service_client import (
    ServiceAnswer,
    ServiceClient,
    ServiceLostError,
    ServiceRequest,
    ServiceUnreachableError,
)
from bergamotthread.errors import Step

ANSWER_LIMIT_BYTES = 8_388_608
_MS_PER_S = 1000
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
        self._clock = Clock.from_system()

    async def call(self, request: ServiceRequest) -> ServiceAnswer:
        """Send a call and return its answer."""
        try:
            async with asyncio.timeout(request.remaining_ms / _MS_PER_S):
                response = await self._fetch(request)
        except ConnectFailedError as error:
            raise ServiceUnreachableError(
                f'no connection: {error!r}',
                step=Step.DISPATCH,
                peer=self._address,
            ) from error
        except (OSError, TimeoutError) as error:
            raise ServiceLostError(
                f'no answer: {error!r}',
                step=Step.DISPATCH,
                peer=self._address,
            ) from error
        headers = tuple(
            (name.decode('latin-1'), text.decode('latin-1'))
            for name, text in response.headers
        )
        return ServiceAnswer(
            response.status, _end_to_end(headers), response.body
        )

    async def close(self) -> None:
        """Do nothing; every call closes its own connection."""

    async def _fetch(self, request: ServiceRequest) -> FetchResponse:
        headers = tuple(
            (name.lower().encode('latin-1'), text.encode('latin-1'))
            for name, text in _end_to_end(request.headers)
        )
        return await fetch_once(
            self._clock,
            self._address,
            FetchRequest(
                request.method.encode(),
                request.path.encode(),
                request.body,
                headers,
            ),
            request.remaining_ms,
            ANSWER_LIMIT_BYTES,
        )


def _end_to_end(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, field_value)
        for name, field_value in headers
        if name.lower() not in _HOP_HEADERS
    )
