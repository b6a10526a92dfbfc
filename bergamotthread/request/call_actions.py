"""Actions that the protocol of a call asks for."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bergamotthread.request.call_row import CallRow, Sending, State


class Verdict(enum.Enum):
    """What a caller is told."""

    RAN = 'ran'
    NOT_RUN = 'not_run'
    KEY_REUSED = 'key_reused'
    IN_PROGRESS = 'in_progress'
    UNKNOWN = 'unknown'
    UNCERTAIN = 'uncertain'
    RESOLVED = 'resolved'


@dataclass(frozen=True)
class Write:
    """Write the row if the table has it at `expected`."""

    row: CallRow
    expected: int


@dataclass(frozen=True)
class Read:
    """Read the row."""


@dataclass(frozen=True)
class Poll:
    """Read the row after a pause."""


@dataclass(frozen=True)
class Choose:
    """Get a ticket from an agent."""


@dataclass(frozen=True)
class Send:
    """Send the call once, as `sending` says, and wait for the answer."""

    sending: Sending
    fence: int


@dataclass(frozen=True)
class Ask:
    """Ask the agent of a sending for its outcome and revoke its ticket."""

    sending: Sending


@dataclass(frozen=True)
class Answer:
    """Give the caller its final answer."""

    verdict: Verdict
    state: State | None = None


StoreAction = Write | Read | Poll
Action = StoreAction | Choose | Send | Ask | Answer
