"""Answers of both builds in one span of time, compared like with like."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from bergamotthread.process.rollouts.answer_cells import (
    AnswerCount,
    CellKey,
    CountByKey,
    add_count,
    median_bucket,
)
from bergamotthread.process.rollouts.likelihood import Tally

# Buckets above the former builds' median from which an answer is slow: over
# two to four times as long, and always so at 2.9 times.
SLOW_BUCKETS = 3
# The same for the latency if the former builds' answers are of another time,
# when the load may have been another one. The pace depends on it less.
SLOW_BUCKETS_EARLIER = 4
# Former answers of the same time that make a median.
MIN_FORMER_ANSWERS = 8
# Former answers of the same time and failure domain that are compared with
# rather than those of all domains.
MIN_DOMAIN_ANSWERS = 4


@dataclass(frozen=True, slots=True)
class SlowLimits:
    """Buckets from which an answer is slow; None if unknown."""

    latency: int | None = None
    pace: int | None = None

    def is_slow(self, key: CellKey) -> bool:
        """Return whether answers of a kind are slow."""
        if self.latency is not None and key.latency_bucket >= self.latency:
            return True
        return self.pace is not None and key.pace_bucket >= self.pace


@dataclass(frozen=True, slots=True)
class Stratum:
    """Answers of both builds that are compared with each other."""

    route: str
    failure_domain: str
    target: Tally
    former: Tally


@dataclass
class RouteAnswers:
    """Answers on one route."""

    count_by_key: dict[CellKey, AnswerCount] = field(default_factory=dict)

    def add(self, key: CellKey, count: AnswerCount) -> None:
        """Add answers of one kind."""
        add_count(self.count_by_key, key, count.answered, count.failed)

    def merge(self, other: RouteAnswers) -> None:
        """Add other answers on the route."""
        for key, count in other.count_by_key.items():
            self.add(key, count)

    def answered(self, *, is_target: bool) -> int:
        """Return the answers of one build."""
        return sum(
            count.answered
            for key, count in self.count_by_key.items()
            if key.is_target is is_target
        )

    def slow_limits(self, buckets: int, pace_buckets: int) -> SlowLimits:
        """Return limits so many buckets above the former builds' medians."""
        if self.answered(is_target=False) < MIN_FORMER_ANSWERS:
            return SlowLimits()
        latencies: Counter[int] = Counter()
        paces: Counter[int] = Counter()
        for key, count in self.count_by_key.items():
            if not key.is_target:
                latencies[key.latency_bucket] += count.answered - count.failed
                if key.pace_bucket:
                    paces[key.pace_bucket] += count.answered - count.failed
        has_paces = paces.total() >= MIN_FORMER_ANSWERS
        return SlowLimits(
            median_bucket(latencies) + buckets,
            median_bucket(paces) + pace_buckets if has_paces else None,
        )

    def tally(
        self, limits: SlowLimits, *, is_target: bool, domain: str | None = None
    ) -> Tally:
        """Return the answers of one build, in one failure domain or all."""
        tally = Tally()
        for key, count in self.count_by_key.items():
            if key.is_target is not is_target:
                continue
            if domain in {None, key.failure_domain}:
                bad = count.answered if limits.is_slow(key) else count.failed
                tally = tally.plus(Tally(bad, count.answered))
        return tally

    def target_domains(self) -> set[str]:
        """Return the failure domains in which the target answered."""
        return {
            key.failure_domain for key in self.count_by_key if key.is_target
        }


def split_by_route(counts: CountByKey) -> dict[str, RouteAnswers]:
    """Return answers by route."""
    by_route: dict[str, RouteAnswers] = {}
    for key, count in counts.items():
        by_route.setdefault(key.route, RouteAnswers()).add(key, count)
    return by_route


def strata_of(
    route: str,
    current: RouteAnswers,
    earlier: RouteAnswers | None,
    *,
    is_alone: bool,
    failures_only: bool = False,
) -> Iterator[Stratum]:
    """Yield what is compared on one route.

    Former answers are those of the same time and failure domain, else those of
    the same time, else the earlier ones.

    Parameters
    ----------
    current
        Answers of this span of time.
    earlier
        All answers before it; None if they came under another load.
    is_alone
        Whether the target gets all requests. What former builds still answer
        then is what took long, and holds fewer failures than usual.
    failures_only
        Whether slow answers that didn't fail are good ones.
    """
    no_limits = SlowLimits() if failures_only else None
    limits = no_limits or current.slow_limits(SLOW_BUCKETS, SLOW_BUCKETS)
    former = current.tally(limits, is_target=False)
    is_earlier = is_alone or former.answered < MIN_FORMER_ANSWERS
    if is_earlier:
        if earlier is None:
            return
        limits = no_limits or earlier.slow_limits(
            SLOW_BUCKETS_EARLIER, SLOW_BUCKETS
        )
        former = earlier.tally(limits, is_target=False)
    for domain in sorted(current.target_domains()):
        same = current.tally(limits, is_target=False, domain=domain)
        is_enough = same.answered >= MIN_DOMAIN_ANSWERS and not is_alone
        yield Stratum(
            route,
            domain,
            current.tally(limits, is_target=True, domain=domain),
            same if is_enough else former,
        )
