"""Timing of the events of a stream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class ArrivalTimes:
    """Arrival times, either of one attempt or of the response to the caller.

    Parameters
    ----------
    started_ms
        Monotonic time at which the wait for the first event began.
    count
        Number of parts or events that arrived.
    first_ms, longest_pause_ms
        Time to the first event and the longest pause between two events.
    span_ms
        Time from the first event to the last.
    """

    started_ms: float
    count: int = 0
    first_ms: float = 0
    longest_pause_ms: float = 0
    span_ms: float = 0
    _last_ms: float = 0

    def record(self, now_ms: float) -> None:
        """Record the arrival of a part or event."""
        self.count += 1
        if self.count == 1:
            self.first_ms = now_ms - self.started_ms
        else:
            pause_ms = now_ms - self._last_ms
            self.span_ms += pause_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self._last_ms = now_ms
