"""Budget of repeats of one service, kept by each entry without a coordinator.

The bound holds for the sum over all entries in any window: a ratio of the
first attempts, which each entry keeps for its own, and a slack, of which each
entry takes an equal part.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock


@dataclass(frozen=True)
class RepeatLimits:
    """Bound on the repeats of a service.

    Parameters
    ----------
    ratio
        Repeats for each first attempt.
    window_ms
        Length of the sliding window.
    slack
        Repeats in a window beyond the ratio, summed over all entries.
    """

    ratio: float
    window_ms: float
    slack: float


@dataclass
class _Usage:
    first_ms: deque[float] = field(default_factory=deque)
    repeat_ms: deque[float] = field(default_factory=deque)


@dataclass
class RepeatBudget:
    """Counts first attempts and repeats by service.

    Parameters
    ----------
    entries
        Tells how many entries share the slack.
    """

    clock: Clock
    limits: RepeatLimits
    entries: Callable[[], int]
    _usage_by_service: dict[str, _Usage] = field(default_factory=dict)

    def record_first(self, service: str) -> None:
        """Count the first attempt of a request."""
        self._recent(service).first_ms.append(self.clock.now_ms())

    def spend(self, service: str) -> bool:
        """Return whether a repeat is allowed, and count it if so."""
        usage = self._recent(service)
        slack = self.limits.slack / max(self.entries(), 1)
        allowed = self.limits.ratio * len(usage.first_ms) + slack
        if len(usage.repeat_ms) + 1 > allowed:
            return False
        usage.repeat_ms.append(self.clock.now_ms())
        return True

    def _recent(self, service: str) -> _Usage:
        usage = self._usage_by_service.setdefault(service, _Usage())
        start_ms = self.clock.now_ms() - self.limits.window_ms
        for times in (usage.first_ms, usage.repeat_ms):
            while times and times[0] < start_ms:
                times.popleft()
        return usage
