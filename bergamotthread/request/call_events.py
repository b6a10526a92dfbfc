"""Events that the protocol of a call is told."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.request.call_progress import Stored
from bergamotthread.request.call_row import Done, Sending


@dataclass(frozen=True)
class Written:
    """The write took effect."""

    revision: int


@dataclass(frozen=True)
class NotWritten:
    """A conflict, or no answer to a write."""


@dataclass(frozen=True)
class Found:
    """The row that was read; `lapsed` if its lease has passed."""

    stored: Stored | None
    lapsed: bool = False


@dataclass(frozen=True)
class Chosen:
    """An agent issued a ticket."""

    sending: Sending


@dataclass(frozen=True)
class NoneChosen:
    """No agent takes the call."""


@dataclass(frozen=True)
class Replied:
    """The upstream's answer."""

    done: Done


@dataclass(frozen=True)
class NeverSent:
    """The agent confirmed that it never sent the call and never will."""

    reason: str = ''


@dataclass(frozen=True)
class NoOutcome:
    """The agent is gone or cannot tell the outcome."""

    reason: str = ''


@dataclass(frozen=True)
class GaveUp:
    """The request is over its deadline or the store does not answer.

    `lapsed` tells whether the request's own lease may have passed, so that
    another may hold the row by now.
    """

    lapsed: bool = True


Event = (
    Written
    | NotWritten
    | Found
    | Chosen
    | NoneChosen
    | Replied
    | NeverSent
    | NoOutcome
    | GaveUp
)
