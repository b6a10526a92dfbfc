"""What entries tell the one that decides on a roll-out, and what it answers."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bergamotthread.process.rollouts.order import RolloutOrder, RolloutState

# Interval between the reports of an entry, unless its directive says otherwise.
REPORT_INTERVAL_MS = 500.0


class RolloutPhase(enum.Enum):
    """Who gets the target of a roll-out that is under way.

    Parameters
    ----------
    TRIAL
        Requests for which the entry was granted a place; all others go to the
        former builds.
    MOVING
        All new requests; streams that run at the former builds end there.
    HALTED
        None.
    """

    TRIAL = 'trial'
    MOVING = 'moving'
    HALTED = 'halted'


@dataclass(frozen=True, slots=True)
class AnswerCell:
    """Answers of one kind that an entry has seen since the order.

    Parameters
    ----------
    is_target
        Whether the target or a former build answered.
    latency_bucket, pace_bucket
        Logarithmic buckets of the latency and of the pace; see
        `AnswerSample`.
    """

    route: str
    failure_domain: str
    is_target: bool
    latency_bucket: int
    pace_bucket: int
    answered: int
    failed: int


@dataclass(frozen=True, slots=True)
class EntryReport:
    """Counts of one entry since the order; each report replaces the last one.

    Parameters
    ----------
    requests
        Callers' requests for the service.
    sent
        Attempts that were sent to the target, with retries and resumptions.
    granted
        Places that the entry knows to be granted, used or not.
    wanted
        Places that it would use until its next report.
    former_running
        Attempts that run at former builds.
    phase
        Phase that the entry follows.
    cells
        Answers, by kind.
    state
        State of the roll-out as the entry knows it: an end that it has seen is
        kept, also where the store has come back older.
    target_running
        Attempts that run at the target.
    began_ms
        Calendar time from which this process has counted, which tells it from
        one before it at the same host.
    number
        Number of the report; of two, the one with the higher number is later.
    """

    host: str
    order_number: int
    requests: int
    sent: int
    granted: int
    wanted: int
    former_running: int
    phase: RolloutPhase
    cells: tuple[AnswerCell, ...]
    state: RolloutState = RolloutState.ACTIVE
    target_running: int = 0
    began_ms: int = 0
    number: int = 0


@dataclass(frozen=True, slots=True)
class Directive:
    """What an entry may do until `valid_ms` after its report was sent.

    An entry without a valid directive sends nothing new to the target.

    Parameters
    ----------
    granted
        Places that the entry was granted in all, used or not.
    instances
        Upstreams of the target that are tried; empty for all of them.
    report_ms
        Time after which the next report is due.
    """

    order_number: int
    phase: RolloutPhase
    granted: int
    valid_ms: float
    instances: tuple[str, ...] = ()
    report_ms: float = REPORT_INTERVAL_MS


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """What lasts of a roll-out, in one row of the store.

    Parameters
    ----------
    started_ms
        Calendar time at which the order was first seen.
    reserved
        Places that may have been granted. A row is written with a higher number
        before any of those places is granted, so that whoever decides next
        counts all of them.
    reason
        Why the roll-out ended; empty before.
    rejected
        Targets of earlier orders that are avoided: an entry that begins later
        knows the last order alone.
    """

    order: RolloutOrder
    state: RolloutState
    started_ms: int
    reserved: int = 0
    reason: str = ''
    rejected: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Reserve:
    """Write a row with this number of reserved places, then grant them."""

    reserved: int


@dataclass(frozen=True, slots=True)
class End:
    """Write the end of the roll-out; it takes effect with the row."""

    state: RolloutState
    reason: str
