"""A relayed request and the encoding of its attempts."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.connection.http.caller_connection import Exchange
from bergamotthread.connection.http.messages import (
    CallerRequest,
    Header,
    encode_request,
    end_to_end,
)
from bergamotthread.process.overload.rank import SINGLE_RANK, Rank
from bergamotthread.process.poison.fingerprints import RequestFingerprints
from bergamotthread.request.relay.dialect import (
    AUTHORIZATION,
    RESUME_AFTER,
    RelayHeaderNames,
)
from bergamotthread.version.route_table import RelayRoute, RelayService

# Assumed length of a prompt whose caller sends no token count.
DEFAULT_PROMPT_TOKENS = 1000


@dataclass(frozen=True)
class RelayedCall:
    """An admitted request of a caller.

    Parameters
    ----------
    team
        Team of the caller's key; empty if the request has no known key.
    deadline_ms
        Monotonic time by which the caller must have the complete response.
    resume_after
        Identifier of the last event that the caller received; None for a new
        stream.
    origin
        Identifier of the request that brought the first event of the stream
        that is taken up; empty if none is named.
    affinity
        Key of the prompt for cache affinity; empty if the request names none.
    fingerprints
        By which the request is recognised when its caller sends it again.
    output_tokens_max
        Largest number of tokens in the answer; 0 if unknown.
    output_tokens_hint
        Tokens that the caller expects in the answer; 0 if it names none.
    rank
        Rank among the requests for the service.
    """

    exchange: Exchange
    route: RelayRoute
    service: RelayService
    team: str
    request_id: bytes
    deadline_ms: float
    version: int
    fingerprints: RequestFingerprints
    prompt_tokens: int = 0
    resume_after: int | None = None
    affinity: bytes = b''
    origin: bytes = b''
    output_tokens_max: int = 0
    output_tokens_hint: int = 0
    rank: Rank = SINGLE_RANK

    @property
    def request(self) -> CallerRequest:
        """Return the caller's request."""
        return self.exchange.request

    @property
    def time_limit_ms(self) -> float:
        """Return the time that the request had when it arrived."""
        return self.deadline_ms - self.request.received_ms

    @property
    def request_label(self) -> str:
        """Return the request's identifier as text, for logs and copies."""
        return self.request_id.decode('latin-1')


@dataclass(frozen=True)
class AttemptHeaders:
    """Values of the header fields that the entry adds to one attempt."""

    expected_instance: str
    remaining_ms: float
    resume_after: int | None = None
    copy_target: str = ''
    copy_source: str = ''
    urgency: int | None = None


def encode_attempt(
    call: RelayedCall,
    headers: AttemptHeaders,
    header_names: RelayHeaderNames,
) -> bytes:
    """Return the encoded request of one attempt."""
    request = call.request
    fields = [
        header
        for header in end_to_end(request.headers)
        if _is_forwarded(header[0], header_names)
    ]
    remaining_ms = max(int(headers.remaining_ms), 1)
    fields.extend(_optional_fields(call, headers, header_names))
    fields.append((header_names.remaining_ms, b'%d' % remaining_ms))
    return encode_request(
        request.method,
        request.target,
        fields,
        request.body,
    )


def _is_forwarded(name: bytes, header_names: RelayHeaderNames) -> bool:
    if name in header_names.set_by_entry:
        return False
    return name not in {AUTHORIZATION, RESUME_AFTER, b'expect'}


def _optional_fields(
    call: RelayedCall,
    headers: AttemptHeaders,
    header_names: RelayHeaderNames,
) -> list[Header]:
    optional = (
        (header_names.expected_instance, headers.expected_instance),
        (header_names.team, call.team),
        (header_names.copy_target, headers.copy_target),
        (header_names.copy_source, headers.copy_source),
        (RESUME_AFTER, _format_number(headers.resume_after)),
        (header_names.urgency, _format_number(headers.urgency)),
    )
    return [(name, text.encode()) for name, text in optional if text]


def _format_number(number: int | None) -> str:
    return '' if number is None else str(number)
