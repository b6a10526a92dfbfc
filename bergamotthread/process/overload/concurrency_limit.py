"""Limit on the requests in flight that follows the measured latency.

Additive increase, multiplicative decrease (Chiu and Jain 1989): the limit grows
while it is used and latency stays close to that of an idle service, and shrinks
when requests wait at the service.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

# Requests whose mean latency is compared with the limit at a time.
WINDOW_REQUESTS = 8
# Part of the time between the idle latency and the target that requests may
# spend in the service's own queue.
QUEUE_FRACTION = 0.3
DECREASE_FACTOR = 0.85
# The idle latency is the lowest mean of a window. It rises at this rate, so
# that a service that has become slower is measured anew.
IDLE_RISE_PER_WINDOW = 1.01


@dataclass
class ConcurrencyLimit:
    """Limit of one service at one entry.

    Parameters
    ----------
    target_ms
        Target for the latency.
    floor
        Limit that is always allowed, so that an idle service is never refused.
    allowed
        Requests that may be in flight now.
    latency_ms
        Mean latency of the newest complete window; 0 before.
    """

    target_ms: float
    floor: float
    allowed: float
    latency_ms: float = 0
    _idle_ms: float = math.inf
    _window_ms: list[float] = field(default_factory=list)
    _was_reached: bool = False

    @property
    def slots(self) -> int:
        """Return the whole requests that may be in flight."""
        return max(int(self.allowed), 1)

    @property
    def interval_ms(self) -> float:
        """Return the mean time between two ends while the limit is reached."""
        return self.latency_ms / max(self.allowed, 1)

    def record(self, latency_ms: float, in_flight: int) -> None:
        """Record the latency of a request.

        Parameters
        ----------
        in_flight
            Requests in flight just before it ended.
        """
        self._was_reached = self._was_reached or in_flight >= self.slots
        self._window_ms.append(latency_ms)
        if len(self._window_ms) >= WINDOW_REQUESTS:
            self._end_window()

    def record_rejection(self) -> None:
        """Shrink the limit, as the service had no room for a request."""
        self._shrink()

    def _end_window(self) -> None:
        mean_ms = sum(self._window_ms) / len(self._window_ms)
        self._window_ms.clear()
        self.latency_ms = mean_ms
        self._idle_ms = min(self._idle_ms * IDLE_RISE_PER_WINDOW, mean_ms)
        was_reached = self._was_reached
        self._was_reached = False
        queue_ms = max(self.target_ms - self._idle_ms, 0) * QUEUE_FRACTION
        if mean_ms > self._idle_ms + queue_ms:
            self._shrink()
        elif was_reached:
            self.allowed += 1

    def _shrink(self) -> None:
        self.allowed = max(self.allowed * DECREASE_FACTOR, self.floor, 1)
