"""One short call over a pooled connection, with a complete answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.connection.http.messages import (
    AnswerEnd,
    AnswerHead,
    AnswerItem,
    AnswerLost,
    AnswerPart,
    Header,
    encode_request,
)
from bergamotthread.connection.http.upstream_connection import (
    UpstreamConnection,
)
from bergamotthread.connection.http.upstream_pool import UpstreamPool

_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """Request of a short call."""

    method: bytes
    target: bytes
    body: bytes = b''
    headers: tuple[Header, ...] = ()


@dataclass(frozen=True, slots=True)
class FetchResponse:
    """Status, body and fields of the answer to a short call."""

    status: int
    body: bytes
    headers: tuple[Header, ...] = ()


# Largest body of a short call; a page of the store's rows has 1 MB.
FETCH_BODY_BYTES_MAX = 8_388_608
# Longest time from the first item of an answer to the last, in units of the
# time between two.
FETCH_TIMEOUTS_MAX = 10


def _always() -> bool:
    return True


async def fetch(
    pool: UpstreamPool,
    address: str,
    request: FetchRequest,
    timeout_ms: float,
    may_send: Callable[[], bool] = _always,
    body_bytes_max: int = FETCH_BODY_BYTES_MAX,
) -> FetchResponse:
    """Send a request and return the answer.

    Parameters
    ----------
    timeout_ms
        Maximum time between two items of the answer, or before the first.
    body_bytes_max
        Largest body that is read.
    may_send
        Whether the request may be sent; asked once the connection is open.

    Raises
    ------
    ConnectionError
        If the connection can't be opened, the request may not be sent, or no
        complete answer arrives in time.
    """
    connection = await pool.acquire(address)
    host = (b'host', address.encode())
    try:
        if not may_send():
            raise ConnectionError(f'{address}: no request may be sent now')
        encoded = encode_request(
            request.method,
            request.target,
            (host, *request.headers),
            request.body,
        )
        connection.send(encoded, b'')
        return await _read(connection, timeout_ms, body_bytes_max)
    except TimeoutError as error:
        raise ConnectionError(
            f'{address}: no complete answer in time'
        ) from error
    finally:
        pool.release(connection)


async def fetch_once(
    clock: Clock,
    address: str,
    request: FetchRequest,
    timeout_ms: float,
    body_bytes_max: int = FETCH_BODY_BYTES_MAX,
) -> FetchResponse:
    """Send a request on a connection of its own; see `fetch`.

    A kept connection may have been dropped, or lead to an earlier process.
    """
    pool = UpstreamPool(clock, b'')
    try:
        return await fetch(
            pool, address, request, timeout_ms, body_bytes_max=body_bytes_max
        )
    finally:
        pool.close()


async def _read(
    connection: UpstreamConnection,
    timeout_ms: float,
    body_bytes_max: int,
) -> FetchResponse:
    status = 0
    headers: tuple[Header, ...] = ()
    body = bytearray()
    answer_item: AnswerItem | None = None
    async with asyncio.timeout(FETCH_TIMEOUTS_MAX * timeout_ms / _MS_PER_S):
        while not isinstance(answer_item, AnswerEnd):
            answer_item = await connection.receive(timeout_ms)
            match answer_item:
                case AnswerHead(answer_status, answer_headers):
                    status = answer_status
                    headers = answer_headers
                case AnswerPart(part):
                    body += part
                case AnswerLost() | None:
                    raise ConnectionError(
                        f'{connection.address}: {answer_item}'
                    )
            if len(body) > body_bytes_max:
                raise ConnectionError(
                    f'{connection.address}: more than {body_bytes_max} bytes'
                )
    return FetchResponse(status, bytes(body), headers)
