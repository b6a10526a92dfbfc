"""Limits on the rate of requests that upstreams state in their answers.

The limit of an upstream holds for all processes together. Each sends within a
leased share of it, see `process/shares`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotthread.process.relay.pauses import Incarnation
from bergamotthread.process.shares.lease_exchange import LeaseExchange
from bergamotthread.process.shares.rate_usage import RateUsage

# Stated rates are clamped to this range, in requests per second. A few requests
# go also to an upstream that states 0, since only answers end a limit; a rate
# above the largest is more than all hosts send to one upstream.
LIMIT_PER_S_MIN = 0.05
LIMIT_PER_S_MAX = 1e6
# A limit ends with an answer that doesn't state it, to a request sent this long
# after the last answer that did. Answers overtake each other, and some kinds of
# answers may not state it.
UNSTATED_MS = 2000.0
# Limits that no answer stated for this long are forgotten.
LIMIT_KEPT_MS = 300_000.0


@dataclass(slots=True)
class RequestLimit:
    """Limit of one upstream.

    Parameters
    ----------
    per_s
        Requests per second that it takes from all processes together.
    stated_ms
        Monotonic time of the last answer that stated it.
    """

    per_s: float
    stated_ms: float


@dataclass
class RequestLimits:
    """Limits by incarnation of the upstream.

    A limit outlives the removal of the upstream's row, and ends with the
    incarnation that stated it.

    Parameters
    ----------
    leases
        Exchange of the shares; None if no other process sends to the
        upstreams.
    """

    leases: LeaseExchange[RateUsage] | None = None
    _limit_by_incarnation: dict[Incarnation, RequestLimit] = field(
        default_factory=dict
    )
    _usage_by_name: dict[str, RateUsage] = field(init=False)

    def __post_init__(self) -> None:
        leases = self.leases
        self._usage_by_name = {} if leases is None else leases.usage_by_name

    def __len__(self) -> int:
        return len(self._limit_by_incarnation)

    def get(self, incarnation: Incarnation) -> RequestLimit | None:
        """Return the limit of an upstream, or None if it states none."""
        return self._limit_by_incarnation.get(incarnation)

    def record(
        self, incarnation: Incarnation, stated_per_s: float, now_ms: float
    ) -> bool:
        """Record a limit stated at a time; return whether it changes it."""
        per_s = min(max(stated_per_s, LIMIT_PER_S_MIN), LIMIT_PER_S_MAX)
        limit = self.get(incarnation)
        if limit is None:
            self._forget_old(now_ms)
            limit = RequestLimit(per_s, now_ms)
            self._limit_by_incarnation[incarnation] = limit
            return True
        if limit.stated_ms > now_ms:
            return False
        limit.stated_ms = now_ms
        if limit.per_s == per_s:
            return False
        limit.per_s = per_s
        self._usage(incarnation, limit, now_ms).resize(per_s, now_ms)
        return True

    def record_unstated(
        self, incarnation: Incarnation, sent_ms: float
    ) -> RequestLimit | None:
        """Record an answer that states no limit; return the limit it ends.

        Parameters
        ----------
        sent_ms
            Monotonic time at which the answered request was sent.
        """
        return self.end_before(incarnation, sent_ms - UNSTATED_MS)

    def end_before(
        self, incarnation: Incarnation, at_ms: float
    ) -> RequestLimit | None:
        """End and return a limit that was last stated before a time."""
        limit = self.get(incarnation)
        if limit is None or limit.stated_ms > at_ms:
            return None
        self._forget(incarnation)
        return limit

    def record_demand(
        self, incarnation: Incarnation, now_ms: float, weight: float = 1
    ) -> None:
        """Count a request that an upstream would get without its limit.

        Parameters
        ----------
        weight
            Part of the request, if another upstream may be chosen as well.
        """
        limit = self.get(incarnation)
        if limit is None:
            return
        self._usage(incarnation, limit, now_ms).record_demand(now_ms, weight)
        if self.leases is not None:
            self.leases.record_active(_name(incarnation))

    def admit(self, incarnation: Incarnation, now_ms: float) -> bool:
        """Return whether a request may be sent now, and count it if so."""
        limit = self.get(incarnation)
        if limit is None:
            return True
        return self._usage(incarnation, limit, now_ms).try_start(now_ms)

    def opens_ms(self, incarnation: Incarnation, now_ms: float) -> float:
        """Return when a request is expected to be allowed; 0 if unlimited."""
        limit = self.get(incarnation)
        if limit is None:
            return 0
        return self._usage(incarnation, limit, now_ms).opens_ms(now_ms)

    def room_until(
        self, incarnation: Incarnation, at_ms: float, now_ms: float
    ) -> float:
        """Return how many requests may be sent up to a time."""
        limit = self.get(incarnation)
        if limit is None:
            return math.inf
        usage = self._usage(incarnation, limit, now_ms)
        return usage.room_until(at_ms, now_ms)

    def record_refusal(
        self, incarnations: Iterable[Incarnation], now_ms: float
    ) -> float:
        """Count a request that the limits of some upstreams refuse.

        It is counted at the upstream where the fewest were refused before, for
        its rate.

        Returns
        -------
        float
            Time in ms until it has a place there.
        """
        usages = [
            self._usage(incarnation, limit, now_ms)
            for incarnation in incarnations
            if (limit := self.get(incarnation)) is not None
        ]
        if not usages:
            return 0
        chosen = min(usages, key=lambda usage: usage.backlog_ms(now_ms))
        chosen.record_refused()
        return chosen.backlog_ms(now_ms)

    def _usage(
        self, incarnation: Incarnation, limit: RequestLimit, now_ms: float
    ) -> RateUsage:
        name = _name(incarnation)
        usage = self._usage_by_name.get(name)
        if usage is not None:
            return usage
        usage = RateUsage(limit.per_s, now_ms)
        if self.leases is None:
            usage.set_lease(1, math.inf, now_ms)
        else:
            usage.set_entry_count(self.leases.entry_count, now_ms)
        self._usage_by_name[name] = usage
        return usage

    def _forget(self, incarnation: Incarnation) -> None:
        self._limit_by_incarnation.pop(incarnation)
        self._usage_by_name.pop(_name(incarnation), None)

    def _forget_old(self, now_ms: float) -> None:
        for incarnation, limit in tuple(self._limit_by_incarnation.items()):
            if now_ms - limit.stated_ms > LIMIT_KEPT_MS:
                self._forget(incarnation)


def _name(incarnation: Incarnation) -> str:
    """Return the name of an upstream's limit, the same at all entries."""
    return f'{incarnation.instance}@{incarnation.started_ms}'
