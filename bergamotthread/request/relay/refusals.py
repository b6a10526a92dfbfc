"""Answers of the entry's own: a problem document and when to come again."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from bergamotthread.connection.http.caller_connection import Exchange
from bergamotthread.connection.http.messages import Header

PROBLEM_TYPE = b'application/problem+json'


@dataclass(frozen=True)
class RelayRefusal:
    """Why a request has no answer of an upstream.

    Parameters
    ----------
    status
        503 and 429 promise that it did not run; 502 and 504 do not.
    retry_after_ms
        When to come again; 0 for not at all.
    """

    status: int
    reason: str
    detail: str
    retry_after_ms: int = 0


def send_refusal(exchange: Exchange, refusal: RelayRefusal) -> None:
    """Send a refusal as the whole answer."""
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
