"""Limits on the rate of requests that upstreams state in their answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotthread.process.relay.pauses import Incarnation

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
    """

    _limit_by_incarnation: dict[Incarnation, RequestLimit] = field(
        default_factory=dict
    )

    def __len__(self) -> int:
        return len(self._limit_by_incarnation)

    def get(self, incarnation: Incarnation) -> RequestLimit | None:
        """Return the limit of an upstream, or None if it states none."""
        return self._limit_by_incarnation.get(incarnation)

    def record(
        self, incarnation: Incarnation, stated_per_s: float, now_ms: float
    ) -> bool:
        """Record a stated limit; return whether it is new or has changed."""
        per_s = min(max(stated_per_s, LIMIT_PER_S_MIN), LIMIT_PER_S_MAX)
        limit = self.get(incarnation)
        if limit is None:
            self._forget_old(now_ms)
            limit = RequestLimit(per_s, now_ms)
            self._limit_by_incarnation[incarnation] = limit
            return True
        is_changed = limit.per_s != per_s
        limit.per_s = per_s
        limit.stated_ms = now_ms
        return is_changed

    def record_unstated(
        self, incarnation: Incarnation, sent_ms: float
    ) -> RequestLimit | None:
        """Record an answer that states no limit; return the limit it ends.

        Parameters
        ----------
        sent_ms
            Monotonic time at which the answered request was sent.
        """
        limit = self.get(incarnation)
        if limit is None or sent_ms < limit.stated_ms + UNSTATED_MS:
            return None
        return self._limit_by_incarnation.pop(incarnation)

    def _forget_old(self, now_ms: float) -> None:
        for incarnation, limit in tuple(self._limit_by_incarnation.items()):
            if now_ms - limit.stated_ms > LIMIT_KEPT_MS:
                self._limit_by_incarnation.pop(incarnation)
