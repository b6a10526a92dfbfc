"""Use of a small rate limit at one entry, within the entry's leased share.

A limit of one or two requests per second is less than one request for each
entry and second. So nothing is split equally: an entry without a lease sends
none, and saved requests are bounded by one for each entry with a lease.
"""

from __future__ import annotations

import math

from bergamotthread.process.shares.leased_share import LeasedShare, no_floor

# Time constant of the smoothed demand.
DEMAND_WINDOW_MS = 5000.0
# Time whose requests a lease may save, if these are more than `SAVED_MIN`.
BURST_MS = 500.0
# Requests that a lease may save at least. The part above one is not lost while
# the next request is waited for.
SAVED_MIN = 1.5
# Smallest rate that is worth a lease if more is wanted, per second. Smaller
# shares would leave each entry waiting for its first request.
LEAST_PER_S = 0.5
# Demand below this is taken for none, in requests.
_DEMAND_MIN = 0.05
_MS_PER_S = 1000


class RateUsage:
    """Token bucket of one limit at one entry.

    Parameters
    ----------
    per_s
        Requests per second that the limit allows to all entries together.
    now_ms
        Monotonic time.
    """

    def __init__(self, per_s: float, now_ms: float) -> None:
        self.share = LeasedShare(1, no_floor)
        self._per_s = per_s
        self._tokens = float(0)
        self._demand = float(0)
        # Requests that were refused and told when to return.
        self._promised = float(0)
        self._filled_ms = now_ms

    @property
    def least(self) -> float:
        """Return the smallest share that is worth a lease."""
        return min(LEAST_PER_S / self._per_s, 1)

    def resize(self, per_s: float, now_ms: float) -> None:
        """Apply a changed limit."""
        self._refill(now_ms)
        self._per_s = per_s

    def record_demand(self, now_ms: float, weight: float = 1) -> None:
        """Count a request, or its part, that would be sent without a limit."""
        self._refill(now_ms)
        self._demand += weight

    def try_start(self, now_ms: float) -> bool:
        """Return whether a request may be sent now, and count it if so."""
        self._refill(now_ms)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def opens_ms(self, now_ms: float) -> float:
        """Return when a request is expected to be allowed; 0 if it is now."""
        self._refill(now_ms)
        if self._tokens >= 1:
            return 0
        missing = 1 - self._tokens
        return now_ms + missing / self._expected_rate(now_ms) * _MS_PER_S

    def room_until(self, at_ms: float, now_ms: float) -> float:
        """Return how many requests may be sent until a time."""
        self._refill(now_ms)
        duration_s = max(at_ms - now_ms, 0) / _MS_PER_S
        return int(self._tokens + self._rate(now_ms) * duration_s)

    def backlog_ms(self, now_ms: float) -> float:
        """Return in which time the refused requests could be sent.

        Each of them has a place in the rate of this entry, behind those that
        were refused before.
        """
        self._refill(now_ms)
        missing = max(self._promised + 1 - self._tokens, 0)
        rate = self._expected_rate(now_ms)
        return missing / rate * _MS_PER_S

    def record_refused(self) -> None:
        """Count a request that was refused and told when to return."""
        self._promised += 1

    def wanted(self, now_ms: float) -> float:
        """Return the share of the limit that the demand here requires."""
        return min(self.wanted_per_s(now_ms) / self._per_s, 1)

    def wanted_per_s(self, now_ms: float) -> float:
        """Return the demand here in requests per second."""
        self._refill(now_ms)
        return self._demand * _MS_PER_S / DEMAND_WINDOW_MS

    def held(self, now_ms: float) -> float:
        """Return the leased share."""
        return self.share.lease(now_ms)

    def needs_lease(self, now_ms: float) -> bool:
        """Return whether requests were wanted lately."""
        self._refill(now_ms)
        return self._demand > _DEMAND_MIN

    def is_idle(self, now_ms: float) -> bool:
        """Return whether the limit can be removed without loss of state."""
        return not self.held(now_ms) and not self.needs_lease(now_ms)

    def set_lease(self, share: float, until_ms: float, now_ms: float) -> None:
        """Replace the leased share."""
        self._refill(now_ms)
        self.share.leased = share
        self.share.until_ms = until_ms

    def reduce_lease(self, share: float, now_ms: float) -> None:
        """Reduce the leased share to at most `share`."""
        self._refill(now_ms)
        self.share.leased = min(self.share.leased, share)

    def set_entry_count(self, entry_count: int, now_ms: float) -> None:
        """Apply another number of entries."""
        self._refill(now_ms)
        self.share.entry_count = max(1, entry_count)

    def _rate(self, now_ms: float) -> float:
        return self.share.lease(now_ms) * self._per_s

    def _expected_rate(self, now_ms: float) -> float:
        """Return the rate; an entry without a lease expects an equal part."""
        expected = self._per_s / self.share.entry_count
        return self._rate(now_ms) or expected

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._filled_ms
        if elapsed_ms <= 0:
            return
        earned_ms = self.share.earned_ms(self._filled_ms, now_ms)
        gained = earned_ms * self._per_s / _MS_PER_S
        self._filled_ms = now_ms
        expected = self._expected_rate(now_ms) * elapsed_ms / _MS_PER_S
        self._promised = max(self._promised - expected, 0)
        self._demand *= math.exp(-elapsed_ms / DEMAND_WINDOW_MS)
        rate = self._rate(now_ms)
        # What was saved under a lease ends with it; another entry has it now.
        burst = max(SAVED_MIN, rate * BURST_MS / _MS_PER_S) if rate else 0
        self._tokens = min(self._tokens + gained, burst)
