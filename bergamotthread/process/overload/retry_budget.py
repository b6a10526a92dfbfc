"""Budgets that keep retries from amplifying an overload."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from bergamotthread.clock import Clock

TEAMS_MAX = 10_000
RESUME_RESERVE_FRACTION = 0.5
_MS_PER_S = 1000


@dataclass(frozen=True)
class RetryLimits:
    """Refill rate and size of a budget, in retries.

    Parameters
    ----------
    per_success
        Retries earned by each request that succeeds.
    per_s
        Retries earned per second, independent of successes.
    burst
        Capacity with no request in flight.
    per_in_flight
        Additional capacity per request in flight, so that all generations of a
        fraction of the upstreams can be resumed at once when these are lost.
    """

    per_success: float = 0.1
    per_s: float = 0.5
    burst: float = 10
    per_in_flight: float = 0.5


@dataclass
class TokenBucket:
    """Retries left in one budget; starts full."""

    limits: RetryLimits
    clock: Clock
    in_flight: int = 0
    _balance: float = field(init=False)
    _refilled_ms: float = field(init=False)

    def __post_init__(self) -> None:
        self._balance = self.limits.burst
        self._refilled_ms = self.clock.now_ms()

    @property
    def capacity(self) -> float:
        """Return the retries that the bucket can hold now."""
        return self.limits.burst + self.limits.per_in_flight * self.in_flight

    @property
    def balance(self) -> float:
        """Return the retries left now."""
        now_ms = self.clock.now_ms()
        earned = (now_ms - self._refilled_ms) / _MS_PER_S * self.limits.per_s
        self._refilled_ms = now_ms
        self._balance = min(self.capacity, self._balance + earned)
        return self._balance

    def record_start(self) -> None:
        """Record the start of a request, and add its `per_in_flight`."""
        self.in_flight += 1
        self._balance += self.limits.per_in_flight

    def record_end(self, *, succeeded: bool) -> None:
        """Record the end of a request, and remove its `per_in_flight`.

        If those retries were spent, the balance goes into debt, so that
        requests that fail earn nothing. A success earns `per_success`.
        """
        self.in_flight = max(0, self.in_flight - 1)
        self._balance -= self.limits.per_in_flight
        if succeeded:
            self._balance += self.limits.per_success
        self._balance = min(self.capacity, self._balance)

    def spend(self) -> None:
        """Spend one retry."""
        self._balance = self.balance - 1

    def wait_ms(self, reserve: float) -> float:
        """Return the time until a retry above `reserve` is available."""
        missing = max(0, reserve + 1 - self.balance)
        return missing / self.limits.per_s * _MS_PER_S


@dataclass(frozen=True)
class Granted:
    """The retry may be sent; it was deducted from both budgets."""


@dataclass(frozen=True)
class Denied:
    """The retry must not be sent.

    `decided_by` is the exhausted budget: `process` or `teams/<name>`.
    """

    decided_by: str
    retry_after_ms: int


@dataclass
class RetryBudget:
    """Retry budgets of this process and of each team that uses it."""

    clock: Clock
    team_limits: RetryLimits = RetryLimits()
    process_limits: RetryLimits = RetryLimits(burst=100, per_s=5)
    _bucket_by_team: OrderedDict[str, TokenBucket] = field(
        default_factory=OrderedDict,
    )

    def __post_init__(self) -> None:
        self._process = TokenBucket(self.process_limits, self.clock)

    def record_start(self, team: str) -> None:
        """Record the start of an accepted request."""
        self._process.record_start()
        self._bucket(team).record_start()

    def record_end(self, team: str, *, succeeded: bool) -> None:
        """Record the end of a request that `record_start` counted."""
        self._process.record_end(succeeded=succeeded)
        self._bucket(team).record_end(succeeded=succeeded)

    def spend(self, team: str, *, resume: bool = True) -> Granted | Denied:
        """Spend one retry of a team, or return when to try again.

        Parameters
        ----------
        team
            Name of the team.
        resume
            Whether the retry resumes a generation after a loss. Other retries,
            such as after a decline, must leave `RESUME_RESERVE_FRACTION` of
            both budgets to those that resume.
        """
        bucket = self._bucket(team)
        for budget, name in (
            (bucket, f'teams/{team}'),
            (self._process, 'process'),
        ):
            reserve = 0 if resume else RESUME_RESERVE_FRACTION * budget.capacity
            if budget.balance < reserve + 1:
                return Denied(name, int(budget.wait_ms(reserve)) + 1)
        bucket.spend()
        self._process.spend()
        return Granted()

    def _bucket(self, team: str) -> TokenBucket:
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            self._evict_idle_team()
            bucket = TokenBucket(self.team_limits, self.clock)
            self._bucket_by_team[team] = bucket
        self._bucket_by_team.move_to_end(team)
        return bucket

    def _evict_idle_team(self) -> None:
        """Make room for a team by evicting the idle one used least recently.

        Teams with requests in flight stay, so there may be more than
        `TEAMS_MAX` while that many are active.
        """
        if len(self._bucket_by_team) < TEAMS_MAX:
            return
        for team, bucket in self._bucket_by_team.items():
            if not bucket.in_flight:
                self._bucket_by_team.pop(team)
                return
