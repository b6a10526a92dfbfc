"""Outcomes of an attempt at an upstream."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.connection.http.messages import AnswerHead


@dataclass(frozen=True, slots=True)
class NotSent:
    """The request was not sent, so the upstream did not receive it."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream stated that it did not and will not run the request."""

    status: int


@dataclass(frozen=True, slots=True)
class Answered:
    """The upstream sent a complete response.

    For a stream, only the head of a response that is not a stream, or that
    lacks its signature; the body is empty.
    """

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """The last event of a stream was forwarded to the caller."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The response is incomplete; the upstream may have run the request."""

    reason: str


@dataclass(frozen=True, slots=True)
class OutOfTime:
    """No complete response arrived within the time allowed."""


AttemptOutcome = NotSent | NotRun | Answered | StreamEnded | Broken | OutOfTime
