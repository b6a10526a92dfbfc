"""Outcomes of an attempt at an upstream."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotthread.connection.http.messages import AnswerHead


@dataclass(frozen=True, slots=True)
class NotSent:
    """The request was not sent, so the upstream did not receive it.

    Parameters
    ----------
    is_held
        Whether a pause that the upstream asked for was the reason.
    """

    reason: str
    is_held: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream stated that it did not and will not run the request.

    Parameters
    ----------
    pause_ms
        Pause that the upstream asked for; 0 if none.
    """

    status: int
    pause_ms: float = field(default=0, repr=False)


@dataclass(frozen=True, slots=True)
class Answered:
    """The upstream sent a complete response.

    For a stream, only the head of a response that is not a stream, or that
    lacks its signature; the body is empty.

    Parameters
    ----------
    pause_ms
        Pause that the upstream asked for; 0 if none.
    """

    head: AnswerHead
    body: bytes
    pause_ms: float = field(default=0, repr=False)


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


@dataclass(frozen=True, slots=True)
class Unread:
    """The upstream cut its response, which the caller had not read."""

    reason: str


AttemptOutcome = (
    NotSent | NotRun | Answered | StreamEnded | Broken | OutOfTime | Unread
)


def is_pause(outcome: AttemptOutcome) -> bool:
    """Return whether an outcome follows from a pause of the upstream.

    It says nothing of the upstream's health beyond the pause.
    """
    match outcome:
        case NotSent():
            return outcome.is_held
        case NotRun() | Answered():
            return outcome.pause_ms > 0
        case _:
            return False
