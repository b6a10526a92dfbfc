"""Expected output length of a request, from its service and its hint.

Lengths and the errors of hints are compared by their logarithms, since a hint
is right at the median and wrong by a factor.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Weight of the newest stream once many have ended; before, all count alike.
LENGTH_WEIGHT = 0.05
# Streams that count before the first one with a hint: until then a hint is
# taken to be wrong by as much as the lengths differ from each other.
_LOG_VARIANCE_FIRST = 0.25


@dataclass
class SmoothedLog:
    """Smoothed mean and variance of the logarithm of a positive quantity."""

    mean: float = 0
    variance: float = _LOG_VARIANCE_FIRST
    count: int = 0

    def record(self, logarithm: float) -> None:
        """Add a sample."""
        self.count += 1
        weight = max(1 / self.count, LENGTH_WEIGHT)
        error = logarithm - self.mean
        self.mean += weight * error
        # The first assumption counts as one sample.
        spread = max(1 / (self.count + 1), LENGTH_WEIGHT)
        sample = error**2 if self.count > 1 else self.variance
        self.variance += spread * (sample - self.variance)


@dataclass
class OutputLengths:
    """Output lengths of a service in tokens, and how far hints are off."""

    lengths: SmoothedLog
    hint_errors: SmoothedLog

    @classmethod
    def create(cls) -> OutputLengths:
        """Return the state before the first stream."""
        return cls(SmoothedLog(), SmoothedLog())

    def record(self, tokens: float, hint: int = 0) -> None:
        """Record the output of a complete stream; `hint` is 0 without one."""
        if tokens <= 0:
            return
        self.lengths.record(math.log(tokens))
        if hint:
            self.hint_errors.record(math.log(tokens / hint))

    def expected(self, hint: int = 0, most: int = 0) -> float:
        """Return the expected output in tokens; 0 if nothing is known.

        The service's usual length and the corrected hint are weighted by the
        inverse of their variances.

        Parameters
        ----------
        hint
            Tokens that the caller expects; 0 if unknown.
        most
            Largest number of tokens; 0 if unknown.
        """
        if not self.lengths.count:
            return float(most and min(hint or most, most) or hint)
        usual = self.lengths
        mean, variance = usual.mean, usual.variance
        if hint:
            errors = self.hint_errors
            total = max(usual.variance + errors.variance, 1e-9)
            hinted = math.log(hint) + errors.mean
            mean += usual.variance / total * (hinted - mean)
            variance = usual.variance * errors.variance / total
        tokens = math.exp(mean + variance / 2)
        return min(tokens, most) if most else tokens
