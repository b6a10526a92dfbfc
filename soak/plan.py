"""Faults of a soak, drawn from a seed."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass


class FaultKind(enum.StrEnum):
    """What is done to a process or to the way to it."""

    KILL_ENTRY = 'kill-entry'
    STOP_ENTRY = 'stop-entry'
    PAUSE_ENTRY = 'pause-entry'
    RELOAD_ENTRY = 'reload-entry'
    KILL_RUNNER = 'kill-runner'
    PAUSE_RUNNER = 'pause-runner'
    REFUSE_RUNNER = 'refuse-runner'
    STALL_RUNNER = 'stall-runner'
    DRAIN_RUNNER = 'drain-runner'
    RESET_LINK = 'reset-link'
    DELAY_LINK = 'delay-link'
    CUT_LINK_UP = 'cut-link-up'
    CUT_LINK_DOWN = 'cut-link-down'
    CUT_STORE_LINK = 'cut-store-link'
    PAUSE_STORE = 'pause-store'
    BUSY_STORE = 'busy-store'
    LATE_STORE = 'late-store'
    LOSE_STORE_ANSWERS = 'lose-store-answers'
    FORGET_HISTORY = 'forget-history'
    PUBLISH_ROUTE = 'publish-route'
    REVOKE_KEY = 'revoke-key'


# Work that an operator plans; no disturbance.
PLANNED = frozenset(
    (
        FaultKind.STOP_ENTRY,
        FaultKind.RELOAD_ENTRY,
        FaultKind.DRAIN_RUNNER,
        FaultKind.PUBLISH_ROUTE,
        FaultKind.REVOKE_KEY,
    ),
)
_OF_ENTRIES = frozenset(
    (
        FaultKind.KILL_ENTRY,
        FaultKind.STOP_ENTRY,
        FaultKind.PAUSE_ENTRY,
        FaultKind.RELOAD_ENTRY,
        FaultKind.CUT_STORE_LINK,
    ),
)
# Quiet time at the start and at the end of a soak.
LEAD_S = 2.0
REST_S = 3.0
# After a storm of all kinds comes planned work alone, with calm before and
# after it, so that what holds only in calm is checked too. The calm is longer
# than the longest fault and the time to settle after it.
STORM_S = 9.0
PLANNED_FROM_S = 22.0
PLANNED_S = 5.0
CYCLE_S = 36.0
_MEAN_GAP_S = 1.2
_FOR_S = (0.2, 7.0)


@dataclass(frozen=True)
class Fault:
    """One fault.

    Parameters
    ----------
    at_s, for_s
        Start after the soak's, and duration.
    target
        Index of the entry or the runner; unused for the others.
    """

    at_s: float
    kind: FaultKind
    target: int
    for_s: float

    def __str__(self) -> str:
        """Return a line of the timeline."""
        return (
            f'{self.at_s:6.2f} s  {self.kind} {self.target}'
            f' for {self.for_s:.2f} s'
        )


@dataclass(frozen=True)
class Plan:
    """Faults in order of time."""

    seed: int
    seconds: float
    entries: int
    runners: int
    faults: tuple[Fault, ...]

    @classmethod
    def from_seed(
        cls,
        seed: int,
        seconds: float,
        processes: int,
        kinds: Sequence[FaultKind] = (),
    ) -> Plan:
        """Draw a plan; a fourth of the processes are entries.

        Parameters
        ----------
        kinds
            Kinds to draw from; all if there are none.
        """
        rng = random.Random(seed)
        drawn = tuple(kinds) or tuple(FaultKind)
        entries = max(2, processes // 4)
        runners = max(3, processes - entries - 1)
        faults: list[Fault] = []
        at_s = LEAD_S
        while at_s < seconds - REST_S:
            fitting = _kinds_at(at_s, drawn)
            if not fitting:
                at_s += 1
                continue
            kind = rng.choice(fitting)
            count = entries if kind in _OF_ENTRIES else runners
            for_s = round(rng.uniform(*_FOR_S), 2)
            faults.append(
                Fault(round(at_s, 2), kind, rng.randrange(count), for_s),
            )
            at_s += rng.expovariate(1 / _MEAN_GAP_S)
        return cls(seed, seconds, entries, runners, tuple(faults))

    def only(self, faults: Sequence[Fault]) -> Plan:
        """Return the plan with these faults alone."""
        return Plan(
            self.seed,
            self.seconds,
            self.entries,
            self.runners,
            tuple(faults),
        )


def _kinds_at(
    at_s: float,
    kinds: Sequence[FaultKind],
) -> tuple[FaultKind, ...]:
    """Return the kinds that may begin at a time of the soak."""
    phase_s = (at_s - LEAD_S) % CYCLE_S
    if phase_s < STORM_S:
        return tuple(kinds)
    if PLANNED_FROM_S <= phase_s < PLANNED_FROM_S + PLANNED_S:
        return tuple(kind for kind in kinds if kind in PLANNED)
    return ()


def shrink(
    faults: tuple[Fault, ...],
    still_fails: Callable[[tuple[Fault, ...]], bool],
) -> tuple[Fault, ...]:
    """Return fewer faults that still fail, by leaving out ever smaller parts.

    Parameters
    ----------
    still_fails
        Plays a list of faults; a failure that comes and goes may leave more
        faults than are needed, never fewer.
    """
    size = max(len(faults) // 2, 1)
    while size:
        start = 0
        while start < len(faults):
            fewer = faults[:start] + faults[start + size :]
            if fewer and still_fails(fewer):
                faults = fewer
            else:
                start += size
        size //= 2
    return faults
