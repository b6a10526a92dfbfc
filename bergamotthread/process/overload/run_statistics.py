"""Smoothed rates and output lengths of an engine."""

from __future__ import annotations

import math
from dataclasses import dataclass

DEFAULT_OUTPUT_TOKENS = 300
DEFAULT_RUN_MS = 10_000
DEFAULT_PREFILL_TOKENS_PER_S = 8000
PREFILL_SAMPLE_MIN_TOKENS = 256
SMOOTHING = 0.05
_RATE_DECAY = 0.9
_MS_PER_S = 1000


@dataclass
class RunStatistics:
    """Smoothed output lengths and rates of one engine.

    Output is counted in tokens, or in events where an event holds an unknown
    number of tokens.

    Parameters
    ----------
    has_ended
        Whether an attempt has ended, so that its output length is known.
    tokens_per_event
        Tokens that an event adds to the KV cache; 0 if unknown.
    """

    output_tokens: float = DEFAULT_OUTPUT_TOKENS
    run_ms: float = DEFAULT_RUN_MS
    between_tokens_ms: float = 0
    has_ended: bool = False
    tokens_per_event: float = 0
    _output_variance: float = 0
    _prefill_tokens: float = DEFAULT_PREFILL_TOKENS_PER_S
    _prefill_ms: float = _MS_PER_S

    @property
    def prefill_per_s(self) -> float:
        """Prefill rate of one attempt, in tokens per second."""
        return self._prefill_tokens / self._prefill_ms * _MS_PER_S

    @property
    def output_deviation(self) -> float:
        """Standard deviation of the output lengths; 0 before two streams."""
        return math.sqrt(self._output_variance)

    def record_prefill(self, tokens: float, duration_ms: float) -> None:
        """Record the time from start to first token.

        Prefills of less than `PREFILL_SAMPLE_MIN_TOKENS` are ignored: their
        time depends on the duration of an engine step rather than on the
        number of tokens.
        """
        if tokens < PREFILL_SAMPLE_MIN_TOKENS:
            return
        self._prefill_tokens = self._prefill_tokens * _RATE_DECAY + tokens
        self._prefill_ms = self._prefill_ms * _RATE_DECAY + duration_ms

    def record_interval(
        self, between_ms: float, weight: float = SMOOTHING
    ) -> None:
        """Record a mean time between tokens; `weight` is that of the sample."""
        previous_ms = self.between_tokens_ms or between_ms
        self.between_tokens_ms = _smoothed(previous_ms, between_ms, weight)

    def record_growth(
        self, tokens_per_event: float, weight: float = SMOOTHING
    ) -> None:
        """Record the tokens that an event was seen to add."""
        previous = self.tokens_per_event or tokens_per_event
        self.tokens_per_event = _smoothed(previous, tokens_per_event, weight)

    def record_end(
        self, produced: int, duration_ms: float, weight: float = SMOOTHING
    ) -> None:
        """Record the output length and the duration of an attempt."""
        if self.has_ended:
            error = produced - self.output_tokens
            self._output_variance = _smoothed(
                self._output_variance, error**2, weight
            )
        self.has_ended = True
        self.output_tokens = _smoothed(self.output_tokens, produced, weight)
        self.run_ms = _smoothed(self.run_ms, duration_ms, weight)


def _smoothed(before: float, now: float, weight: float) -> float:
    return before + weight * (now - before)
