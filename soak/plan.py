"""Faults of a soak, drawn from a seed."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass


class FaultKind(enum.StrEnum):
    """Kind of fault of a process, its connections or the configuration."""

    KILL_ENTRY = 'kill-entry'
    KILL_ENTRIES = 'kill-entries'
    STOP_ENTRY = 'stop-entry'
    PAUSE_ENTRY = 'pause-entry'
    RELOAD_ENTRY = 'reload-entry'
    HOLD_ENTRY = 'hold-entry'
    SLOW_CALLERS = 'slow-callers'
    KILL_RUNNER = 'kill-runner'
    CRASH_RUNNERS = 'crash-runners'
    PAUSE_RUNNER = 'pause-runner'
    REFUSE_RUNNER = 'refuse-runner'
    STALL_RUNNER = 'stall-runner'
    DRAIN_RUNNER = 'drain-runner'
    LEAVE_RUNNER = 'leave-runner'
    OVERLOAD_RUNNER = 'overload-runner'
    LIMIT_RUNNER = 'limit-runner'
    ROLL_OUT = 'roll-out'
    OVERLOAD_SERVICE = 'overload-service'
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
    RESTORE_STORE = 'restore-store'
    PUBLISH_ROUTE = 'publish-route'
    REVOKE_KEY = 'revoke-key'


# Operations that an operator plans, and delays that no rule excuses. They
# do not count as disturbances.
PLANNED = frozenset(
    (
        FaultKind.STOP_ENTRY,
        FaultKind.RELOAD_ENTRY,
        FaultKind.HOLD_ENTRY,
        FaultKind.SLOW_CALLERS,
        FaultKind.DRAIN_RUNNER,
        FaultKind.PUBLISH_ROUTE,
        FaultKind.REVOKE_KEY,
        FaultKind.ROLL_OUT,
    ),
)
_OF_ENTRIES = frozenset(
    (
        FaultKind.KILL_ENTRY,
        FaultKind.KILL_ENTRIES,
        FaultKind.STOP_ENTRY,
        FaultKind.PAUSE_ENTRY,
        FaultKind.RELOAD_ENTRY,
        FaultKind.HOLD_ENTRY,
        FaultKind.SLOW_CALLERS,
        FaultKind.CUT_STORE_LINK,
    ),
)
_DRAWN_APART = frozenset(
    (
        FaultKind.CRASH_RUNNERS,
        FaultKind.KILL_ENTRIES,
        FaultKind.LIMIT_RUNNER,
        FaultKind.ROLL_OUT,
        FaultKind.SLOW_CALLERS,
    ),
)
_DRAWN_TOGETHER = tuple(kind for kind in FaultKind if kind not in _DRAWN_APART)
# Length of a series of requests that crash runners, and of a limit: both are
# judged from 4 s after their start. Slow callers outlast the header timeout.
APART_S = 8.0
# Name of the draw of each kind that is drawn apart.
_DRAWS = {
    FaultKind.CRASH_RUNNERS: 'crashes',
    FaultKind.KILL_ENTRIES: 'kills',
    FaultKind.LIMIT_RUNNER: 'limits',
    FaultKind.SLOW_CALLERS: 'slow callers',
    FaultKind.ROLL_OUT: 'roll-outs',
}
# Length of a roll-out with the end of its target. It begins at a random time of
# a phase and the quiet time after it, so that some are disturbed.
ROLL_OUT_S = 20.0
# Quiet time at the start and at the end of a soak.
QUIET_START_S = 2.0
QUIET_END_S = 3.0
# In each cycle, a phase with faults of all kinds is followed by a phase with
# planned operations only. No faults start before and after the second phase, so
# that rules that hold only without disturbance are checked too. These gaps are
# longer than the longest fault and the time to settle after it.
MIXED_PHASE_S = 9.0
PLANNED_FROM_S = 22.0
PLANNED_S = 5.0
CYCLE_S = 36.0
_MEAN_GAP_S = 1.2
_FOR_S = (0.2, 7.0)


@dataclass(frozen=True)
class Fault:
    """A fault to play on an entry, a runner or the store.

    Parameters
    ----------
    at_s, for_s
        Start, counted from the start of the soak, and duration.
    target
        Index of the entry or the runner; unused by faults of the store.
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
    """The faults of a soak, ordered by start time."""

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
        """Draw a plan from a seed; a quarter of the processes are entries.

        Parameters
        ----------
        kinds
            Kinds to draw from; all kinds if empty. Requests that crash
            runners, limits and slow callers are then drawn apart, so that the
            other faults of a seed stay.
        """
        rng = random.Random(seed)
        kinds_drawn = tuple(kinds) or _DRAWN_TOGETHER
        entries = max(2, processes // 4)
        runners = max(3, processes - entries - 1)
        faults: list[Fault] = []
        at_s = QUIET_START_S
        while at_s < seconds - QUIET_END_S:
            allowed_kinds = _kinds_at(at_s, kinds_drawn)
            if not allowed_kinds:
                at_s += 1
                continue
            kind = rng.choice(allowed_kinds)
            count = entries if kind in _OF_ENTRIES else runners
            for_s = round(rng.uniform(*_FOR_S), 2)
            faults.append(
                Fault(round(at_s, 2), kind, rng.randrange(count), for_s),
            )
            at_s += rng.expovariate(1 / _MEAN_GAP_S)
        if not kinds:
            for apart in sorted(_DRAWN_APART):
                count = entries if apart in _OF_ENTRIES else runners
                faults.extend(_draw_apart(apart, seed, seconds, count))
            faults.sort(key=lambda fault: fault.at_s)
        return cls(seed, seconds, entries, runners, tuple(faults))

    def only(self, faults: Sequence[Fault]) -> Plan:
        """Return a copy of the plan with only these faults."""
        return Plan(
            self.seed,
            self.seconds,
            self.entries,
            self.runners,
            tuple(faults),
        )


def _draw_apart(
    kind: FaultKind, seed: int, seconds: float, count: int
) -> list[Fault]:
    """Draw one fault of a kind for each mixed phase."""
    rng = random.Random(f'{seed} {_DRAWS[kind]}')
    faults = []
    phase_s = QUIET_START_S
    for_s, last_s = APART_S, MIXED_PHASE_S - APART_S
    if kind is FaultKind.ROLL_OUT:
        for_s, last_s = ROLL_OUT_S, CYCLE_S - ROLL_OUT_S
    while phase_s + for_s < seconds - QUIET_END_S:
        at_s = round(phase_s + rng.uniform(0, last_s), 2)
        faults.append(Fault(at_s, kind, rng.randrange(count), for_s))
        phase_s += CYCLE_S
    return faults


def _kinds_at(
    at_s: float,
    kinds: Sequence[FaultKind],
) -> tuple[FaultKind, ...]:
    """Return the kinds of fault that may start at this time of the soak."""
    phase_s = (at_s - QUIET_START_S) % CYCLE_S
    if phase_s < MIXED_PHASE_S:
        return tuple(kinds)
    if PLANNED_FROM_S <= phase_s < PLANNED_FROM_S + PLANNED_S:
        return tuple(kind for kind in kinds if kind in PLANNED)
    return ()


def shrink(
    faults: tuple[Fault, ...],
    still_fails: Callable[[tuple[Fault, ...]], bool],
) -> tuple[Fault, ...]:
    """Remove faults that are not needed for a failure.

    Leaves out ever smaller groups of faults as long as the rest still fails.

    Parameters
    ----------
    still_fails
        Plays the faults and returns whether they fail. If it is flaky, more
        faults than needed may be left, never fewer.
    """
    group_size = max(len(faults) // 2, 1)
    while group_size:
        start = 0
        while start < len(faults):
            candidate = faults[:start] + faults[start + group_size :]
            if candidate and still_fails(candidate):
                faults = candidate
            else:
                start += group_size
        group_size //= 2
    return faults
