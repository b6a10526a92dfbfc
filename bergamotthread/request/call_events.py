"""Events that the call protocol handles."""

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
    """The write had a conflict or was not answered."""


@dataclass(frozen=True)
class Found:
    """The row that was read, or None if there is none.

    `is_lease_expired` is also true for a row without a lease.
    """

    stored: Stored | None
    is_lease_expired: bool = False


@dataclass(frozen=True)
class AgentChosen:
    """An agent issued a ticket."""

    sending: Sending


@dataclass(frozen=True)
class NoAgentChosen:
    """No agent accepts the call."""


@dataclass(frozen=True)
class Replied:
    """The upstream answered."""

    done: Done


@dataclass(frozen=True)
class NeverSent:
    """The agent confirmed that it never sent the call and never will."""

    reason: str = ''


@dataclass(frozen=True)
class NoOutcome:
    """The agent is gone or does not know the outcome."""

    reason: str = ''


@dataclass(frozen=True)
class GaveUp:
    """The request's deadline has passed or the store does not answer.

    `may_have_lost_lease` is whether the request's own lease may have expired,
    so that another request may hold the row.
    """

    may_have_lost_lease: bool = True


Event = (
    Written
    | NotWritten
    | Found
    | AgentChosen
    | NoAgentChosen
    | Replied
    | NeverSent
    | NoOutcome
    | GaveUp
)
