"""How far one request has come with its call."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bergamotthread.request.call_row import CallRow, Claim, State


class Phase(enum.Enum):
    """What a request waits for."""

    RESERVING = 'reserving'
    LOOKING = 'looking'
    POLLING = 'polling'
    CHOOSING = 'choosing'
    DISPATCHING = 'dispatching'
    VERIFYING = 'verifying'
    WAITING = 'waiting'
    ASKING = 'asking'
    CLEARING = 'clearing'
    RELEASING = 'releasing'
    CONFIRMING = 'confirming'
    SETTLING = 'settling'
    CHECKING = 'checking'
    PARKED = 'parked'
    ENDED = 'ended'


@dataclass(frozen=True)
class Stored:
    """A row as the table had it, with its revision."""

    row: CallRow
    revision: int


@dataclass(frozen=True)
class Progress:
    """How far a request has come.

    Parameters
    ----------
    claim
        What the request claims.
    phase
        What it waits for.
    known
        Row that it last read or wrote for certain.
    pending
        Row that it last tried to write.
    goal
        State in which it wants to leave the row.
    answered
        Whether the caller has its final answer.
    """

    claim: Claim
    phase: Phase
    known: Stored | None = None
    pending: CallRow | None = None
    goal: State | None = None
    answered: bool = False
