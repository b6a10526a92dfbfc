"""One short call over a kept connection, answered as a whole."""

from __future__ import annotations

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
class Asked:
    """A short request."""

    method: bytes
    target: bytes
    body: bytes = b''
    headers: tuple[Header, ...] = ()


@dataclass(frozen=True, slots=True)
class Fetched:
    """Status and body of an answer."""

    status: int
    body: bytes


async def fetch(
    pool: UpstreamPool,
    address: str,
    asked: Asked,
    timeout_ms: float,
) -> Fetched:
    """Return the answer to a request.

    Parameters
    ----------
    timeout_ms
        Longest silence of the other side.

    Raises
    ------
    ConnectionError
        If there is no whole answer in time.
    """
    connection = await pool.acquire(address)
    host = (b'host', address.encode())
    try:
        encoded = encode_request(
            asked.method,
            asked.target,
            (host, *asked.headers),
            asked.body,
        )
        connection.send(encoded, b'')
        return await _read(connection, timeout_ms)
    finally:
        pool.release(connection)


async def _read(
    connection: UpstreamConnection,
    timeout_ms: float,
) -> Fetched:
    status = 0
    body: list[bytes] = []
    arrived: AnswerItem | None = None
    while not isinstance(arrived, AnswerEnd):
        arrived = await connection.receive(timeout_ms)
        match arrived:
            case AnswerHead(told):
                status = told
            case AnswerPart(part):
                body.append(part)
            case AnswerLost() | None:
                raise ConnectionError(f'{connection.address}: {arrived}')
    return Fetched(status, b''.join(body))
