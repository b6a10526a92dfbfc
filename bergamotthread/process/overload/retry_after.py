"""Time after which refused work may come back."""

from __future__ import annotations

import random
from dataclasses import dataclass

# Callers honour a Retry-After of up to a third of their remaining time.
RETRY_AFTER_FRACTION = 0.33


@dataclass(frozen=True, slots=True)
class RetryAfterRange:
    """Bounds of a Retry-After, in milliseconds."""

    shortest_ms: float
    longest_ms: float

    @classmethod
    def from_remaining(
        cls, shortest_ms: float, remaining_ms: float
    ) -> RetryAfterRange:
        """Return the bounds for a caller with some of its time left."""
        return cls(shortest_ms, remaining_ms * RETRY_AFTER_FRACTION)

    def clamp(self, wait_ms: float) -> int:
        """Return a wait within the bounds; the longest counts first."""
        return int(min(self.longest_ms, max(self.shortest_ms, wait_ms)))

    def spread_out(self, wait_ms: float, rng: random.Random) -> int:
        """Return a wait, or a random one in the second half of the bounds.

        Those whose waits exceed the longest one would return together.
        """
        if wait_ms <= self.longest_ms:
            return self.clamp(wait_ms)
        return self.clamp(self.longest_ms * (1 - rng.random() / 2))

    def spread(
        self, excess_ms: float, backlog_ms: float, rng: random.Random
    ) -> int:
        """Return a time at which the work that is refused now may return.

        Callers that are refused together would return together. Their returns
        are spread evenly over the time in which the backlog drains, from the
        moment at which new work fits again.

        Parameters
        ----------
        excess_ms
            Time until the backlog is short enough for new work.
        backlog_ms
            Time in which the backlog drains.
        """
        return self.clamp(excess_ms + rng.random() * backlog_ms)
