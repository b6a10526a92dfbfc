"""Attempts that an upstream runs, with the capacity that they hold."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from bergamotthread.request.attempt_key import AttemptKey
from bergamotthread.wire.messages import Dispatch

DEFAULT_OUTPUT_TOKENS = 300
DEFAULT_RUN_MS = 10_000
DEFAULT_PREFILL_PER_S = 8000
PREFILL_SAMPLE_MIN_TOKENS = 256
CLEARING_TOKENS = 16
_SMOOTHING = 0.05
_RATE_DECAY = 0.9
_MS_PER_S = 1000


@dataclass
class RunningAttempt:
    """One attempt on the engine.

    `context_tokens` are prompt and accepted tokens, `prefill_tokens` the part
    of them that the engine's cache does not cover.
    """

    dispatch: Dispatch
    context_tokens: int
    prefill_tokens: int
    reserved_tokens: float
    started_ms: float
    first_token_ms: float = 0
    produced: int = 0
    last_progress_ms: float = 0

    @property
    def is_prefilling(self) -> bool:
        """Return whether no token has been produced yet."""
        return self.first_token_ms == 0

    @property
    def kv_tokens(self) -> float:
        """Return cache tokens in use or reserved for the output."""
        return self.context_tokens + max(self.produced, self.reserved_tokens)


@dataclass
class RunStatistics:
    """Smoothed rates of one engine, from its own attempts."""

    output_tokens: float = DEFAULT_OUTPUT_TOKENS
    run_ms: float = DEFAULT_RUN_MS
    between_tokens_ms: float = 0
    _prefill_tokens: float = DEFAULT_PREFILL_PER_S
    _prefill_ms: float = _MS_PER_S

    @property
    def prefill_per_s(self) -> float:
        """Return prefill tokens per second of one attempt."""
        return self._prefill_tokens / self._prefill_ms * _MS_PER_S

    def record_prefill(self, tokens: int, duration_ms: float) -> None:
        """Take in the time from start to first token.

        Prompts below `PREFILL_SAMPLE_MIN_TOKENS` are passed over: their time
        is that of a step of the engine, not of their tokens.
        """
        if tokens < PREFILL_SAMPLE_MIN_TOKENS:
            return
        self._prefill_tokens = self._prefill_tokens * _RATE_DECAY + tokens
        self._prefill_ms = self._prefill_ms * _RATE_DECAY + duration_ms

    def record_interval(self, between_ms: float) -> None:
        """Take in a mean time between tokens."""
        before_ms = self.between_tokens_ms or between_ms
        self.between_tokens_ms = _smoothed(before_ms, between_ms)

    def record_end(self, produced: int, duration_ms: float) -> None:
        """Take in the length and the duration of an attempt."""
        self.output_tokens = _smoothed(self.output_tokens, produced)
        self.run_ms = _smoothed(self.run_ms, duration_ms)


@dataclass
class RunningAttempts:
    """All attempts on the engine, by generation and attempt number."""

    statistics: RunStatistics = field(default_factory=RunStatistics)
    by_key: dict[AttemptKey, RunningAttempt] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of attempts."""
        return len(self.by_key)

    @property
    def kv_tokens(self) -> float:
        """Return cache tokens in use or reserved."""
        return sum(one.kv_tokens for one in self.by_key.values())

    @property
    def prefill_tokens(self) -> int:
        """Return prefill tokens of attempts without a first token."""
        running = self.by_key.values()
        return sum(one.prefill_tokens for one in running if one.is_prefilling)

    @property
    def suspects(self) -> int:
        """Return how many suspect attempts run without progress yet."""
        return sum(
            one.dispatch.suspect and one.produced < CLEARING_TOKENS
            for one in self.by_key.values()
        )

    def count_by_team(self) -> Counter[str]:
        """Return the number of attempts of each team."""
        return Counter(one.dispatch.team for one in self.by_key.values())

    def prefill_left(self, now_ms: float) -> float:
        """Return prefill tokens that are probably still to be computed."""
        rate = self.statistics.prefill_per_s / _MS_PER_S
        return sum(
            max(0, one.prefill_tokens - (now_ms - one.started_ms) * rate)
            for one in self.by_key.values()
            if one.is_prefilling
        )

    def record_tokens(
        self,
        attempt: RunningAttempt,
        produced: int,
        now_ms: float,
    ) -> None:
        """Take in that an attempt has produced `produced` tokens in all."""
        if attempt.is_prefilling:
            attempt.first_token_ms = now_ms
            self.statistics.record_prefill(
                attempt.prefill_tokens,
                now_ms - attempt.started_ms,
            )
        elif produced > attempt.produced:
            elapsed_ms = now_ms - attempt.last_progress_ms
            tokens = produced - attempt.produced
            self.statistics.record_interval(elapsed_ms / tokens)
        attempt.produced = max(attempt.produced, produced)
        attempt.last_progress_ms = now_ms

    def end(self, key: AttemptKey, now_ms: float) -> bool:
        """Release an attempt; return whether it was running."""
        attempt = self.by_key.pop(key, None)
        if attempt is None:
            return False
        if attempt.produced:
            self.statistics.record_end(
                attempt.produced,
                now_ms - attempt.started_ms,
            )
        return True


def _smoothed(before: float, now: float) -> float:
    return before + _SMOOTHING * (now - before)
