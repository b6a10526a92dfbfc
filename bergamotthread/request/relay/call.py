"""One relayed request with all that its attempts need."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.connection.http.caller_connection import Exchange
from bergamotthread.connection.http.messages import (
    CallerRequest,
    Header,
    encode_request,
    end_to_end,
)
from bergamotthread.request.relay.dialect import (
    AUTHORIZATION,
    RESUME_AFTER,
    RelayDialect,
)
from bergamotthread.version.route_table import RelayRoute, RelayService

# Tokens counted for a prompt that tells none.
DEFAULT_PROMPT_TOKENS = 1000


@dataclass(frozen=True)
class RelayedCall:
    """A request of a caller that was admitted.

    Parameters
    ----------
    team
        Team of the caller's key; empty where the route asks for none.
    deadline_ms
        Monotonic time by which it has its final answer.
    resume_after
        Last event that the caller holds; none for a new stream.
    affinity
        What names the prompt; empty if nothing does.
    """

    exchange: Exchange
    route: RelayRoute
    service: RelayService
    team: str
    request_id: bytes
    deadline_ms: float
    version: int
    prompt_tokens: int = 0
    resume_after: int | None = None
    affinity: bytes = b''

    @property
    def request(self) -> CallerRequest:
        """Return what the caller sent."""
        return self.exchange.request

    @property
    def label(self) -> str:
        """Return the request's identifier for logs."""
        return self.request_id.decode('latin-1')


@dataclass(frozen=True)
class AttemptHeaders:
    """What the entry tells the upstream of one attempt."""

    instance: str
    remaining_ms: float
    resume_after: int | None = None
    copy_target: str = ''
    copy_source: str = ''


def encode_attempt(
    call: RelayedCall,
    told: AttemptHeaders,
    dialect: RelayDialect,
) -> bytes:
    """Return the bytes of a call's request to one upstream."""
    request = call.request
    headers = [
        header
        for header in end_to_end(request.headers)
        if _goes_on(header[0], dialect)
    ]
    remaining = max(int(told.remaining_ms), 1)
    headers.extend(_known_fields(call, told, dialect))
    headers.append((dialect.remaining_ms, b'%d' % remaining))
    return encode_request(
        request.method,
        request.target,
        headers,
        request.body,
    )


def _goes_on(name: bytes, dialect: RelayDialect) -> bool:
    if name in dialect.set_by_entry:
        return False
    return name not in {AUTHORIZATION, RESUME_AFTER, b'expect'}


def _known_fields(
    call: RelayedCall,
    told: AttemptHeaders,
    dialect: RelayDialect,
) -> list[Header]:
    optional = (
        (dialect.expected_instance, told.instance),
        (dialect.team, call.team),
        (dialect.copy_target, told.copy_target),
        (dialect.copy_source, told.copy_source),
        (RESUME_AFTER, _text(told.resume_after)),
    )
    return [(name, text.encode()) for name, text in optional if text]


def _text(number: int | None) -> str:
    return '' if number is None else str(number)
