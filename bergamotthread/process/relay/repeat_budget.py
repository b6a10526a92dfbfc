"""Retry budget of each service, kept by every entry without coordination.

In any window, the retries of all entries together stay within a ratio of their
first attempts plus a slack. Each entry applies the ratio to its own first
attempts and uses an equal part of the slack.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock


@dataclass(frozen=True)
class ServiceRetryLimits:
    """Bound on the retries of a service.

    Parameters
    ----------
    ratio
        Retries allowed for each first attempt.
    window_ms
        Length of the sliding window.
    slack
        Retries allowed in a window beyond the ratio, for all entries together.
    """

    ratio: float
    window_ms: float
    slack: float


@dataclass
class _Usage:
    first_attempts_ms: deque[float] = field(default_factory=deque)
    retries_ms: deque[float] = field(default_factory=deque)


@dataclass
class ServiceRetryBudget:
    """Counts first attempts and retries by service.

    Parameters
    ----------
    count_entries
        Returns the number of entries that share the slack.
    """

    clock: Clock
    limits: ServiceRetryLimits
    count_entries: Callable[[], int]
    _usage_by_service: dict[str, _Usage] = field(default_factory=dict)

    def record_first_attempt(self, service: str) -> None:
        """Count the first attempt of a request."""
        self._current_usage(service).first_attempts_ms.append(
            self.clock.now_ms()
        )

    def has_room(self, service: str) -> bool:
        """Return whether another retry is allowed now."""
        usage = self._current_usage(service)
        slack = self.limits.slack / max(self.count_entries(), 1)
        allowed = self.limits.ratio * len(usage.first_attempts_ms) + slack
        return len(usage.retries_ms) + 1 <= allowed

    def spend(self, service: str) -> bool:
        """Count a retry if it is allowed; return whether it is."""
        if not self.has_room(service):
            return False
        usage = self._current_usage(service)
        usage.retries_ms.append(self.clock.now_ms())
        return True

    def newest_ms(self, service: str) -> float:
        """Return the time of the newest retry that is counted; 0 if none is."""
        usage = self._current_usage(service)
        return usage.retries_ms[-1] if usage.retries_ms else 0

    def refund(self, service: str, spent_ms: float) -> None:
        """Stop counting the retry of a time; it was not sent."""
        usage = self._current_usage(service)
        if spent_ms in usage.retries_ms:
            usage.retries_ms.remove(spent_ms)

    def _current_usage(self, service: str) -> _Usage:
        usage = self._usage_by_service.setdefault(service, _Usage())
        start_ms = self.clock.now_ms() - self.limits.window_ms
        for times in (usage.first_attempts_ms, usage.retries_ms):
            while times and times[0] < start_ms:
                times.popleft()
        return usage
