"""Actions that the call protocol requests."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bergamotthread.request.call_row import CallRow, Sending, State


class Verdict(enum.Enum):
    """Final result of a request, as reported to its caller."""

    RAN = 'ran'
    NOT_RUN = 'not_run'
    KEY_REUSED = 'key_reused'
    IN_PROGRESS = 'in_progress'
    UNKNOWN = 'unknown'
    UNCERTAIN = 'uncertain'
    RESOLVED = 'resolved'


@dataclass(frozen=True)
class Write:
    """Write the row if its revision in the table is `expected`."""

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
    """Choose an agent that issues a ticket for the call."""


@dataclass(frozen=True)
class Send:
    """Send the call once, through the agent in `sending`, and await the answer.

    `fence` is the fencing token of the row.
    """

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
