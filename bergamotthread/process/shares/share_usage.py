"""Use of one team's limits at one entry, within the entry's share."""

from __future__ import annotations

import math
from dataclasses import dataclass

from bergamotthread.process.shares.leased_share import LeasedShare
from bergamotthread.version.objects import Team

MAX_RETRY_AFTER_MS = 30_000
MIN_RETRY_AFTER_MS = 50
DEMAND_WINDOW_MS = 2000
BURST_MS = 1000
# Requests that a bucket holds at least.
MIN_BURST_REQUESTS = 4
INITIAL_RELEASE_INTERVAL_MS = 1000
RELEASE_SMOOTHING = 0.2
_MS_PER_S = 1000


@dataclass(frozen=True)
class ExceededLimit:
    """Limit that a request would exceed.

    Parameters
    ----------
    limit_name
        Name of the limit.
    allowed
        Part of the limit that this entry may use now.
    retry_after_ms
        Time until the request is expected to be allowed.
    """

    limit_name: str
    allowed: float
    retry_after_ms: int


class ShareUsage:
    """Token bucket and running requests of one team at one entry.

    Each entry may always use an equal part of `floor_fraction`, its floor;
    the rest of the limits is leased. The bucket holds the requests of one
    second, and at least four.

    Parameters
    ----------
    team
        The team with its limits.
    entry_count
        Number of entries that split the limits.
    now_ms
        Monotonic time.
    """

    def __init__(self, team: Team, entry_count: int, now_ms: float) -> None:
        self.team = team
        self.running = 0
        self.share = LeasedShare(entry_count)
        self._filled_ms = now_ms
        self._tokens = self._bucket_size(self._rate(now_ms))
        self._demand = float(0)
        # Cost of refused requests that were told when to retry.
        self._promised_tokens = float(0)
        # Refused requests that wait for a running one to end.
        self._refused_waiting = 0
        self._released_ms = now_ms
        self._release_interval_ms = float(INITIAL_RELEASE_INTERVAL_MS)

    @property
    def least(self) -> float:
        """Return 0: each part of a team's limits is worth a lease."""
        return 0

    def resize(self, team: Team, entry_count: int, now_ms: float) -> None:
        """Apply changed limits or another number of entries."""
        self.set_entry_count(entry_count, now_ms)
        self.team = team

    def set_entry_count(self, entry_count: int, now_ms: float) -> None:
        """Apply another number of entries."""
        self._refill(now_ms)
        self.share.entry_count = max(1, entry_count)

    def set_lease(self, share: float, until_ms: float, now_ms: float) -> None:
        """Replace the leased share."""
        self._refill(now_ms)
        self.share.leased = share
        self.share.until_ms = until_ms

    def reduce_lease(self, share: float, now_ms: float) -> None:
        """Reduce the leased share to at most `share`."""
        self._refill(now_ms)
        self.share.leased = min(self.share.leased, share)

    def try_start(self, cost: float, now_ms: float) -> ExceededLimit | None:
        """Count a request that starts, or return the limit it would exceed."""
        self._refill(now_ms)
        self._demand += cost
        rate = self._rate(now_ms)
        if self._tokens < cost:
            self._promised_tokens += cost
            missing = self._promised_tokens - self._tokens
            return ExceededLimit(
                'requests_per_s', rate, _wait_ms(missing, rate)
            )
        allowed = self._allowed_running(now_ms)
        if self.running >= allowed:
            self._refused_waiting += 1
            wait_ms = _bounded_ms(
                self._release_interval_ms * self._refused_waiting
            )
            return ExceededLimit('concurrent_generations', allowed, wait_ms)
        self._tokens -= cost
        self._promised_tokens = max(0, self._promised_tokens - cost)
        self.running += 1
        return None

    def release(self, now_ms: float) -> None:
        """Record the end of a request."""
        self.running = max(0, self.running - 1)
        self._refused_waiting = max(0, self._refused_waiting - 1)
        interval_ms = now_ms - self._released_ms
        self._released_ms = now_ms
        change_ms = interval_ms - self._release_interval_ms
        self._release_interval_ms += RELEASE_SMOOTHING * change_ms

    def wanted(self, now_ms: float) -> float:
        """Return the share of the limits that the demand here requires."""
        self._refill(now_ms)
        per_s = self._demand * _MS_PER_S / DEMAND_WINDOW_MS
        return max(
            per_s / self.team.requests_per_s,
            self.running / self.team.concurrent_generations,
        )

    def held(self, now_ms: float) -> float:
        """Return the share in use: leased, or still running above the floor."""
        running_share = self.running / self.team.concurrent_generations
        lease = self.share.lease(now_ms)
        return max(lease, running_share - self.share.floor)

    def needs_lease(self, now_ms: float) -> bool:
        """Return whether more than half of what is allowed is in use."""
        self._refill(now_ms)
        half_bucket = self._bucket_size(self._rate(now_ms)) / 2
        half_running = self._allowed_running(now_ms) / 2
        return self._tokens < half_bucket or self.running > half_running

    def wanted_per_s(self, now_ms: float) -> float:
        """Return the demand here in requests per second."""
        return self.wanted(now_ms) * self.team.requests_per_s

    def is_idle(self, now_ms: float) -> bool:
        """Return whether the team can be removed without loss of state."""
        is_full = self._tokens >= self._bucket_size(self._rate(now_ms))
        is_leased = self.share.lease(now_ms) > 0
        return not self.running and not is_leased and is_full

    def _rate(self, now_ms: float) -> float:
        return self.share.total(now_ms) * self.team.requests_per_s

    def _allowed_running(self, now_ms: float) -> float:
        share = self.share.total(now_ms)
        return max(1, share * self.team.concurrent_generations)

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._filled_ms
        if elapsed_ms <= 0:
            return
        gained = self._earned_tokens(now_ms)
        self._filled_ms = now_ms
        rate = self._rate(now_ms)
        filled = min(self._tokens + gained, self._bucket_size(rate))
        self._tokens = max(filled, min(self._tokens, self._bucket_size(rate)))
        self._promised_tokens = max(0, self._promised_tokens - gained)
        self._demand *= math.exp(-elapsed_ms / DEMAND_WINDOW_MS)

    def _earned_tokens(self, now_ms: float) -> float:
        earned_ms = self.share.earned_ms(self._filled_ms, now_ms)
        return earned_ms * self.team.requests_per_s / _MS_PER_S

    def _bucket_size(self, rate: float) -> float:
        return max(MIN_BURST_REQUESTS, rate * BURST_MS / _MS_PER_S)


def _wait_ms(missing: float, rate: float) -> int:
    return _bounded_ms(missing * _MS_PER_S / rate)


def _bounded_ms(wait_ms: float) -> int:
    return min(max(math.ceil(wait_ms), MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
