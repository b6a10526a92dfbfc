"""Likelihood of bad answers of two builds under the same conditions."""

from __future__ import annotations

import math
import operator
from dataclasses import dataclass

# Odds of a bad answer at a bad build, as multiples of those at a sound one.
ODDS = (2.0, 5.0, 20.0, 100.0)
LOG_ODDS = tuple(map(math.log, ODDS))
# Larger samples are scaled down to this, which weakens the evidence.
MAX_TERMS = 300
Ratios = tuple[float, ...]
NO_EVIDENCE: Ratios = tuple(0 for _ in ODDS)


@dataclass(frozen=True, slots=True)
class Tally:
    """Bad answers among all answers."""

    bad: int = 0
    answered: int = 0

    def plus(self, other: Tally) -> Tally:
        """Return the sum of two tallies."""
        return Tally(self.bad + other.bad, self.answered + other.answered)

    def scaled(self, factor: float) -> Tally:
        """Return a smaller sample of about the same fraction."""
        bad = round(self.bad * factor)
        return Tally(bad, round(self.answered * factor))


def log_ratios(target: Tally, former: Tally) -> Ratios:
    """Return how much better each of `ODDS` explains who gave bad answers.

    Given how many answers of both builds were bad, whatever made them so, the
    target's part of them is hypergeometric if both builds are alike, and
    Fisher's noncentral hypergeometric with the odds if the target is worse. The
    logarithm of their ratio has an expected ratio of 1 if they are alike,
    whatever the common rate is, so it adds up over strata with other rates.

    Returns
    -------
    tuple of float
        Natural logarithm for each of `ODDS`.
    """
    bad = target.bad + former.bad
    terms = min(bad, target.answered)
    if terms > MAX_TERMS:
        factor = MAX_TERMS / terms
        return log_ratios(target.scaled(factor), former.scaled(factor))
    if not (bad and target.answered and former.answered):
        return NO_EVIDENCE
    counts = range(max(0, bad - former.answered), terms + 1)
    weights = [
        _log_choose(target.answered, count)
        + _log_choose(former.answered, bad - count)
        for count in counts
    ]
    log_total = _log_sum(weights)
    ratios = []
    for log_odds in LOG_ODDS:
        tilted = [
            weight + count * log_odds
            for count, weight in zip(counts, weights, strict=True)
        ]
        ratios.append(target.bad * log_odds + log_total - _log_sum(tilted))
    return tuple(ratios)


class Evidence:
    """Bayes factor against the target, from strata in order of time.

    The rate of bad answers may differ between strata; it is conditioned out.
    The target may be worse from the first stratum or from any later one: the
    weight of the alternatives is spread over the odds and over the strata.
    `FIRST_WEIGHT` is that of the first, `EARLY_WEIGHT` of the next `STARTS`;
    the rest falls with the square of the number. Such a mixture of products of
    ratios is a test martingale if the builds are alike, so by Ville's
    inequality it reaches `1 / a` at any time with a probability of at most `a`.
    """

    FIRST_WEIGHT = 0.45
    EARLY_WEIGHT = 0.45
    STARTS = 24

    def __init__(self) -> None:
        self._count = 0
        self._unused = 1.0
        self._log_factors = [-math.inf for _ in ODDS]

    @property
    def log_factor(self) -> float:
        """Natural logarithm of the factor against the target."""
        return _log_sum([_log(self._unused), *self._log_factors])

    def copy(self) -> Evidence:
        """Return evidence that goes on separately."""
        copied = Evidence()
        copied._count = self._count
        copied._unused = self._unused
        copied._log_factors = list(self._log_factors)
        return copied

    def add(self, ratios: Ratios) -> None:
        """Add a stratum, or several of the same time as a sum."""
        log_weight = _log(self._next_weight() / len(ODDS))
        self._log_factors = [
            _log_sum([log_factor, log_weight]) + ratio
            for log_factor, ratio in zip(self._log_factors, ratios, strict=True)
        ]

    def _next_weight(self) -> float:
        """Return the weight of alternatives that begin with this stratum."""
        number = self._count
        self._count += 1
        if number == 0:
            weight = self.FIRST_WEIGHT
        elif number <= self.STARTS:
            weight = self.EARLY_WEIGHT / self.STARTS
        else:
            # Telescopes: what is left after n strata is in proportion to 1 / n.
            weight = self._unused / number
        self._unused -= weight
        return weight


def add_ratios(first: Ratios, second: Ratios) -> Ratios:
    """Return the logarithms of the products of ratios."""
    return tuple(map(operator.add, first, second))


def subtract_ratios(first: Ratios, second: Ratios) -> Ratios:
    """Return the logarithms of the quotients of ratios."""
    return tuple(map(operator.sub, first, second))


def _log_choose(total: int, chosen: int) -> float:
    log_chosen = math.lgamma(chosen + 1)
    log_rest = math.lgamma(total - chosen + 1)
    return math.lgamma(total + 1) - log_chosen - log_rest


def _log(number: float) -> float:
    return math.log(number) if number > 0 else -math.inf


def _log_sum(logs: list[float]) -> float:
    largest = max(logs)
    if largest == -math.inf:
        return largest
    ratios = [math.exp(log - largest) for log in logs]
    return largest + math.log(sum(ratios))
