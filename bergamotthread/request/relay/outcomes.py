"""How an attempt at an upstream ended."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.connection.http.messages import AnswerHead


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection was made; the upstream saw nothing."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream said that it did not and will not run the request."""

    status: int


@dataclass(frozen=True, slots=True)
class Answered:
    """The upstream's whole answer."""

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """The last event of a stream was passed on."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The upstream may have run the request; its answer is not whole."""

    reason: str


@dataclass(frozen=True, slots=True)
class OutOfTime:
    """The caller's time ended first."""


AttemptOutcome = NotSent | NotRun | Answered | StreamEnded | Broken | OutOfTime
