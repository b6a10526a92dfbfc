"""HTTP requests and answers, used on both sides of a relay."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

Header = tuple[bytes, bytes]

# Fields that apply to one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
_CONTENT_LENGTH = b'content-length'
_REASONS: dict[int, bytes] = {
    200: b'OK',
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    405: b'Method Not Allowed',
    408: b'Request Timeout',
    413: b'Content Too Large',
    421: b'Misdirected Request',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


class Framing(enum.Enum):
    """How the end of a message body is marked."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CLOSE = 'close'


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Complete request of a caller.

    Parameters
    ----------
    target
        Path and query, unchanged.
    headers
        Fields in the order received, with names in lower case.
    received_ms
        Monotonic time at which the last byte was read.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    keep_alive: bool
    received_ms: float

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a field; `name` is in lower case."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and fields of an upstream's answer; names are in lower case."""

    status: int
    headers: tuple[Header, ...]
    framing: Framing

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a field; `name` is in lower case."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """Part of an answer's body."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """End of a complete answer."""


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """The connection closed or failed before the answer was complete."""

    reason: str


AnswerItem = AnswerHead | AnswerPart | AnswerEnd | AnswerLost


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a field; `name` is in lower case."""
    for field_name, payload in headers:
        if field_name == name:
            return payload
    return None


def end_to_end(headers: Iterable[Header]) -> list[Header]:
    """Return the fields to forward to the next hop, without the length."""
    headers = tuple(headers)
    dropped = set(HOP_BY_HOP)
    dropped.add(_CONTENT_LENGTH)
    for name, payload in headers:
        if name == b'connection':
            dropped.update(
                token.strip().lower() for token in payload.split(b',')
            )
    return [header for header in headers if header[0] not in dropped]


def encode_request(
    method: bytes,
    target: bytes,
    headers: Iterable[Header],
    body: bytes,
) -> bytes:
    """Encode a request.

    `content-length` is left out only for GET, HEAD and DELETE without a body.
    """
    parts = [method, b' ', target, b' HTTP/1.1\r\n']
    _add_headers(parts, headers)
    if body or method not in {b'GET', b'HEAD', b'DELETE'}:
        parts.append(b'content-length: %d\r\n' % len(body))
    parts.append(b'\r\n')
    parts.append(body)
    return b''.join(parts)


def encode_head(status: int, headers: Iterable[Header]) -> bytes:
    """Encode the status line and the fields of an answer."""
    reason = _REASONS.get(status, b'Status')
    parts = [b'HTTP/1.1 %d ' % status, reason, b'\r\n']
    _add_headers(parts, headers)
    parts.append(b'\r\n')
    return b''.join(parts)


def encode_chunk(payload: bytes) -> bytes:
    """Encode one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(payload), payload)


LAST_CHUNK = b'0\r\n\r\n'


def _add_headers(parts: list[bytes], headers: Iterable[Header]) -> None:
    for name, payload in headers:
        parts.append(b'%b: %b\r\n' % (name, payload))
