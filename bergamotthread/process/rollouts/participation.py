"""One order as an entry follows it, and builds that orders rejected."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from bergamotthread.process.rollouts.answer_cells import AnswerCells
from bergamotthread.process.rollouts.order import RolloutOrder, RolloutState
from bergamotthread.process.rollouts.reports import Directive, RolloutPhase

# A rejected build is used again after the time limit of its order, once no
# other one had upstreams for this long: longer than an entry that begins takes
# to read all of them.
ALONE_MS = 5000.0


@dataclass
class RejectedBuild:
    """Build that gets nothing.

    Parameters
    ----------
    until_ms
        Time limit of the order that it was the target of.
    alone_ms
        Time from which no other build has upstreams; infinite if one has.
    """

    until_ms: float
    alone_ms: float = math.inf

    def note_alone(self, now_ms: float, *, is_alone: bool) -> None:
        """Note whether no other build has upstreams now."""
        self.alone_ms = min(self.alone_ms, now_ms) if is_alone else math.inf

    def is_over(self, now_ms: float) -> bool:
        """Return whether the build is to be used again."""
        return now_ms >= max(self.until_ms, self.alone_ms + ALONE_MS)


@dataclass
class Participation:
    """One order, as this entry follows it."""

    order: RolloutOrder
    began_ms: int
    # Time limit of the order, by the monotonic clock.
    until_ms: float
    # Attempts that ran at the target before the order and may still do so.
    earlier_running: int
    reports: int = 0
    state: RolloutState = RolloutState.ACTIVE
    requests: int = 0
    reported_requests: int = 0
    sent: int = 0
    granted: int = 0
    directive: Directive | None = None
    valid_until_ms: float = -math.inf
    replaced_builds: frozenset[str] = frozenset()
    # Whether the target, which was rolled back, is a build like any other.
    is_used_again: bool = False
    answers: AnswerCells = field(default_factory=AnswerCells)

    def phase(self, now_ms: float) -> RolloutPhase:
        """Return the phase that is followed.

        Without a valid directive it is a trial in which no place is left.
        """
        if self.directive is None:
            return RolloutPhase.TRIAL
        halted = self.directive.phase is RolloutPhase.HALTED
        if halted or self.is_valid(now_ms):
            return self.directive.phase
        return RolloutPhase.TRIAL

    def is_valid(self, now_ms: float) -> bool:
        """Return whether the directive still holds."""
        return now_ms < self.valid_until_ms

    @property
    def is_target_kept(self) -> bool:
        """Return whether the target gets requests after the end."""
        return self.is_used_again or self.state is RolloutState.COMPLETED

    def may_send_new(self, now_ms: float) -> bool:
        """Return whether a new request may go to the target."""
        if self.state.is_end:
            return self.is_target_kept
        match self.phase(now_ms):
            case RolloutPhase.TRIAL:
                return self.is_valid(now_ms) and self.sent < self.granted
            case RolloutPhase.MOVING:
                return True
            case RolloutPhase.HALTED:
                return False

    def may_continue(self, now_ms: float) -> bool:
        """Return whether a stream that runs at the target may go on there."""
        if self.state.is_end:
            return self.is_target_kept
        is_halted = self.phase(now_ms) is RolloutPhase.HALTED
        return self.is_valid(now_ms) and not is_halted
