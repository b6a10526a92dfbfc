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


@dataclass(frozen=True, eq=False, slots=True)
class CountedRetry:
    """A retry that takes room in the budget.

    Parameters
    ----------
    at_ms
        Monotonic time at which it was counted.
    """

    at_ms: float


@dataclass
class _Usage:
    first_attempts_ms: deque[float] = field(default_factory=deque)
    retries: deque[CountedRetry] = field(default_factory=deque)


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
        return len(usage.retries) + 1 <= allowed

    def spend(self, service: str) -> CountedRetry | None:
        """Count and return a retry, or return None if none is allowed."""
        if not self.has_room(service):
            return None
        retry = CountedRetry(self.clock.now_ms())
        self._current_usage(service).retries.append(retry)
        return retry

    def is_counted(self, service: str, retry: CountedRetry) -> bool:
        """Return whether a retry still takes room in the budget."""
        return retry in self._current_usage(service).retries

    def record_sent(self, service: str, retry: CountedRetry) -> None:
        """Count a retry from now, since it is sent only now."""
        self.refund(service, retry)
        sent = CountedRetry(self.clock.now_ms())
        self._current_usage(service).retries.append(sent)

    def refund(self, service: str, retry: CountedRetry) -> None:
        """Stop counting a retry that was not sent."""
        usage = self._current_usage(service)
        if retry in usage.retries:
            usage.retries.remove(retry)

    def _current_usage(self, service: str) -> _Usage:
        usage = self._usage_by_service.setdefault(service, _Usage())
        start_ms = self.clock.now_ms() - self.limits.window_ms
        first_attempts_ms = usage.first_attempts_ms
        while first_attempts_ms and first_attempts_ms[0] < start_ms:
            first_attempts_ms.popleft()
        while usage.retries and usage.retries[0].at_ms < start_ms:
            usage.retries.popleft()
        return usage
