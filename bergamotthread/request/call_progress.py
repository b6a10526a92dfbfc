"""Progress of one request through the call protocol."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bergamotthread.request.call_row import CallRow, Claim, State


class Phase(enum.Enum):
    """Step of the protocol that a request is at."""

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
    """A row as stored in the table, with its revision."""

    row: CallRow
    revision: int


@dataclass(frozen=True)
class Progress:
    """Progress of a request through the call protocol.

    Parameters
    ----------
    claim
        The request's claim on the key.
    phase
        Current step of the protocol.
    last_stored
        Row that was last read, or written with confirmation.
    pending
        Row of the last write attempt.
    target_state
        State that the row is to be left in.
    answered
        Whether the caller has its final answer.
    """

    claim: Claim
    phase: Phase
    last_stored: Stored | None = None
    pending: CallRow | None = None
    target_state: State | None = None
    answered: bool = False
