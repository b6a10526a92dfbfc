"""Whether the answers speak against the target of a roll-out."""

from __future__ import annotations

import math
from collections.abc import Iterable

from bergamotthread.process.rollouts.answer_cells import (
    AnswerCount,
    CellKey,
    CountByKey,
    add_count,
)
from bergamotthread.process.rollouts.likelihood import (
    NO_EVIDENCE,
    Evidence,
    Ratios,
    add_ratios,
    log_ratios,
    subtract_ratios,
)
from bergamotthread.process.rollouts.strata import (
    MIN_FORMER_ANSWERS,
    RouteAnswers,
    Stratum,
    split_by_route,
    strata_of,
)

# Bound on the probability that a sound build is rolled back, over all routes.
FALSE_ROLLBACK_PROBABILITY = 0.001
# Factor from which a target isn't moved to for now.
SUSPECT_LOG_FACTOR = math.log(100)
# Factor that must still speak against the target without the failure domain
# that speaks most against it.
MIN_LOG_FACTOR_ELSEWHERE = math.log(20)
# Bad answers beyond what the former builds explain at which the target is
# rolled back whatever the factor is: the exposure rule counts from the 50th.
MAX_EXCESS_BAD = 40.0
# The same without the failure domain that has most of them.
MIN_EXCESS_ELSEWHERE = 10.0
# Answers come this many times as fast under a burst as before it.
HEAVIER_LOAD = 1.5
# Standard deviations by which chance may bring more.
HEAVIER_DEVIATIONS = 2.0
# Answers that began under a burst may come so much later.
HEAVY_AFTER_MS = 2000.0
# Span of time within which answers are compared; it is extended while too few
# former builds' answers are there to compare with.
SLICE_MS = 500.0
MAX_SLICE_MS = 2000.0


class _Against:
    """Evidence against the target on one route, or on all of them."""

    def __init__(self) -> None:
        self.evidence = Evidence()
        self._without_domain: dict[str, Evidence] = {}

    def add(self, strata: Iterable[Stratum]) -> None:
        """Add the strata of one span of time."""
        ratios_by_domain: dict[str, Ratios] = {}
        for stratum in strata:
            domain = stratum.failure_domain
            if domain not in self._without_domain:
                self._without_domain[domain] = self.evidence.copy()
            ratios_by_domain[domain] = add_ratios(
                ratios_by_domain.get(domain, NO_EVIDENCE),
                log_ratios(stratum.target, stratum.former),
            )
        total = NO_EVIDENCE
        for ratios in ratios_by_domain.values():
            total = add_ratios(total, ratios)
        self.evidence.add(total)
        for left_out, evidence in self._without_domain.items():
            own = ratios_by_domain.get(left_out, NO_EVIDENCE)
            evidence.add(subtract_ratios(total, own))

    def log_factor_elsewhere(self) -> float:
        """Return the factor without the domain that speaks most against.

        It is infinite if the target was tried in a single domain.
        """
        if len(self._without_domain) < 2:
            return math.inf
        return min(
            evidence.log_factor for evidence in self._without_domain.values()
        )


class _Excess:
    """Bad answers of the target beyond what the former builds explain."""

    def __init__(self) -> None:
        self._by_domain: dict[str, float] = {}

    def add(self, strata: Iterable[Stratum]) -> None:
        """Add the strata of one span of time."""
        for stratum in strata:
            rate = stratum.former.bad / max(1, stratum.former.answered)
            excess = stratum.target.bad - rate * stratum.target.answered
            domain = stratum.failure_domain
            self._by_domain[domain] = self._by_domain.get(domain, 0) + excess

    @property
    def total(self) -> float:
        """Excess in all failure domains."""
        return sum(self._by_domain.values())

    def elsewhere(self) -> float:
        """Return the excess without the domain that has most of it."""
        if len(self._by_domain) < 2:
            return math.inf
        return self.total - max(self._by_domain.values())


class Judgement:
    """Compares the answers of the target with those of the former builds.

    Answers are compared in slices of time: a load, a loss or a slow zone that
    reaches both builds is in both samples of a slice.

    Parameters
    ----------
    order_ms
        Time of the order.
    now_ms
        Time from which answers are added.
    """

    def __init__(self, order_ms: float, now_ms: float) -> None:
        self._order_ms = order_ms
        self._heavy_until_ms = -math.inf
        self._slice_ms = now_ms
        self._earlier_answers = 0
        self._is_alone = False
        self._current: dict[CellKey, AnswerCount] = {}
        self._earlier_by_route: dict[str, RouteAnswers] = {}
        self._against_by_route: dict[str, _Against] = {}
        self._pooled = _Against()
        # Lost or slow links make answers late at both builds, and hide behind
        # them what fails at one.
        self._failures = _Against()
        self._excess = _Excess()

    @property
    def excess_bad(self) -> float:
        """Bad answers beyond what the former builds explain."""
        return self._excess.total

    @property
    def log_factor(self) -> float:
        """Largest factor against the target, as a natural logarithm."""
        return max(against.evidence.log_factor for against in self._all())

    def add(self, counts: CountByKey) -> None:
        """Add answers that were reported since the last call."""
        for key, count in counts.items():
            add_count(self._current, key, count.answered, count.failed)

    def set_alone(self, now_ms: float, *, is_alone: bool) -> None:
        """Set whether the target gets all requests from now on."""
        self._compare(now_ms)
        self._is_alone = is_alone

    def advance(
        self, now_ms: float, target_running: int, *, is_last: bool = False
    ) -> None:
        """Compare the answers of the current slice if its time is over.

        Failures are often quicker than other answers, so the first answers to
        requests of which most still run show too many of them.

        Parameters
        ----------
        target_running
            Attempts that run at the target.
        is_last
            Whether no more answers are waited for.
        """
        age_ms = now_ms - self._slice_ms
        is_due = is_last or age_ms >= SLICE_MS
        is_over = is_due and self._is_enough(target_running)
        if is_over or age_ms >= MAX_SLICE_MS:
            self._compare(now_ms)

    def condemnation(self) -> str:
        """Return why the target is bad; empty while nothing shows it."""
        log_threshold = math.log(
            (len(self._against_by_route) + 2) / FALSE_ROLLBACK_PROBABILITY
        )
        for route, against in self._against_by_route.items():
            if _condemns(against, log_threshold):
                return f'answers on {route} are worse: {self._figures(against)}'
        if _condemns(self._pooled, log_threshold):
            return f'answers are worse: {self._figures(self._pooled)}'
        if _condemns(self._failures, log_threshold):
            return f'more answers fail: {self._figures(self._failures)}'
        is_excess = self._excess.total >= MAX_EXCESS_BAD
        if is_excess and self._excess.elsewhere() >= MIN_EXCESS_ELSEWHERE:
            return (
                f'{self._excess.total:.0f} more bad answers than the former'
                f' builds explain; the limit is {MAX_EXCESS_BAD:.0f}'
            )
        return ''

    def is_doubtful(self) -> bool:
        """Return whether more answers should be seen before a move."""
        return self.log_factor >= SUSPECT_LOG_FACTOR

    def is_suspect(self) -> bool:
        """Return whether it is doubtful in more than one failure domain."""
        return any(
            _condemns(against, SUSPECT_LOG_FACTOR) for against in self._all()
        )

    def _all(self) -> tuple[_Against, ...]:
        by_route = self._against_by_route.values()
        return (self._pooled, self._failures, *by_route)

    def _figures(self, against: _Against) -> str:
        return (
            f'{self._excess.total:.0f} more bad ones than the former builds'
            f' explain, factor exp({against.evidence.log_factor:.1f})'
        )

    def _is_heavier(self, now_ms: float) -> bool:
        """Return whether answers come much faster than before.

        Answers under a burst aren't compared with those of the time before it.
        """
        usual = self._earlier_answers / max(1, self._slice_ms - self._order_ms)
        expected = HEAVIER_LOAD * usual * (now_ms - self._slice_ms)
        least = expected + HEAVIER_DEVIATIONS * math.sqrt(expected)
        if self._earlier_answers and _answered(self._current) > least:
            self._heavy_until_ms = now_ms + HEAVY_AFTER_MS
        return now_ms < self._heavy_until_ms

    def _is_enough(self, target_running: int) -> bool:
        """Return whether the answers of the slice are representative."""
        answered = {True: 0, False: 0}
        for key, count in self._current.items():
            answered[key.is_target] += count.answered
        is_biased = target_running > answered[True]
        return max(answered.values()) >= MIN_FORMER_ANSWERS and not is_biased

    def _compare(self, now_ms: float) -> None:
        """Compare the answers of the current slice, and begin the next."""
        is_heavier = self._is_heavier(now_ms)
        self._slice_ms = now_ms
        all_strata: list[Stratum] = []
        failure_strata: list[Stratum] = []
        for route, current in split_by_route(self._current).items():
            earlier = self._earlier_by_route.setdefault(route, RouteAnswers())
            comparable = None if is_heavier else earlier
            strata = tuple(
                strata_of(route, current, comparable, is_alone=self._is_alone)
            )
            if strata:
                against = self._against_by_route.setdefault(route, _Against())
                against.add(strata)
                all_strata.extend(strata)
            failure_strata.extend(
                strata_of(
                    route,
                    current,
                    comparable,
                    is_alone=self._is_alone,
                    failures_only=True,
                )
            )
            if not self._is_alone:
                earlier.merge(current)
        self._earlier_answers += _answered(self._current)
        if all_strata:
            self._pooled.add(all_strata)
            self._excess.add(all_strata)
        if failure_strata:
            self._failures.add(failure_strata)
        self._current = {}


def _answered(counts: CountByKey) -> int:
    return sum(count.answered for count in counts.values())


def _condemns(against: _Against, log_threshold: float) -> bool:
    if against.evidence.log_factor < log_threshold:
        return False
    return against.log_factor_elsewhere() >= MIN_LOG_FACTOR_ELSEWHERE
