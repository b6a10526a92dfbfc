"""Error responses of the entry itself: a problem document and Retry-After."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from bergamotthread.connection.http.caller_connection import Exchange
from bergamotthread.connection.http.messages import Header

PROBLEM_TYPE = b'application/problem+json'
# Sent by an entry that drains; the balancer sends the caller to another one.
DRAIN_RETRY_AFTER_MS = 100


@dataclass(frozen=True)
class RelayRefusal:
    """Reason why a request gets no response of an upstream.

    Parameters
    ----------
    status
        HTTP status. 503 and 429 guarantee that the request did not run; 502
        and 504 do not.
    retry_after_ms
        Time after which the caller may retry; 0 sends no Retry-After header.
    figures
        Figures that decided, for the log, by name.
    """

    status: int
    reason: str
    detail: str
    retry_after_ms: int = 0
    figures: Mapping[str, float] = field(default_factory=dict)

    def after_run(self) -> RelayRefusal:
        """Return it with a status that is true if an attempt may have run."""
        return RelayRefusal(502, self.reason, self.detail)


def ending_refusal(*, may_have_run: bool) -> RelayRefusal:
    """Return the final answer to a request whose process ends."""
    detail = 'this entry ended before the answer'
    if may_have_run:
        return RelayRefusal(502, 'entry-ended', detail)
    return RelayRefusal(503, 'entry-ended', detail, DRAIN_RETRY_AFTER_MS)


def send_refusal(exchange: Exchange, refusal: RelayRefusal) -> None:
    """Send a refusal as the complete response."""
    problem = {
        'type': f'urn:bergamotthread:{refusal.reason}',
        'status': refusal.status,
        'detail': refusal.detail,
    }
    headers: list[Header] = [(b'content-type', PROBLEM_TYPE)]
    if refusal.retry_after_ms:
        seconds = refusal.retry_after_ms / 1000
        headers.append((b'retry-after', b'%.3f' % seconds))
    exchange.respond(refusal.status, headers, msgspec.json.encode(problem))
