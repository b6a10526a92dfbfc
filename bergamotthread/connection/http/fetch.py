"""One short call over a pooled connection, with a complete answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

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


def _always() -> bool:
    return True


async def fetch(
    pool: UpstreamPool,
    address: str,
    request: FetchRequest,
    timeout_ms: float,
    may_send: Callable[[], bool] = _always,
) -> FetchResponse:
    """Send a request and return the answer.

    Parameters
    ----------
    timeout_ms
        Maximum time between two items of the answer, or before the first.
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
        return await _read(connection, timeout_ms)
    finally:
        pool.release(connection)


async def _read(
    connection: UpstreamConnection,
    timeout_ms: float,
) -> FetchResponse:
    status = 0
    headers: tuple[Header, ...] = ()
    body: list[bytes] = []
    answer_item: AnswerItem | None = None
    while not isinstance(answer_item, AnswerEnd):
        answer_item = await connection.receive(timeout_ms)
        match answer_item:
            case AnswerHead(answer_status, answer_headers):
                status = answer_status
                headers = answer_headers
            case AnswerPart(part):
                body.append(part)
            case AnswerLost() | None:
                raise ConnectionError(f'{connection.address}: {answer_item}')
    return FetchResponse(status, b''.join(body), headers)
