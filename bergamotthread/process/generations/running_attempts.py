"""Attempts that an upstream runs and the capacity that they use."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from bergamotthread.process.overload.run_statistics import RunStatistics
from bergamotthread.request.attempt_key import AttemptKey
from bergamotthread.wire.messages import Dispatch

PROGRESS_MIN_TOKENS = 16
_MS_PER_S = 1000


@dataclass
class RunningAttempt:
    """One attempt on the engine.

    `context_tokens` counts prompt and accepted tokens, `prefill_tokens` those
    of them that are not in the engine's KV cache.
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
        """Whether no token has been produced yet."""
        return self.first_token_ms == 0

    @property
    def kv_tokens(self) -> float:
        """KV cache tokens of the context and of the output.

        For the output, the larger of the produced and the reserved tokens.
        """
        return self.context_tokens + max(self.produced, self.reserved_tokens)


@dataclass
class RunningAttempts:
    """Attempts on the engine, by generation and attempt number."""

    statistics: RunStatistics = field(default_factory=RunStatistics)
    by_key: dict[AttemptKey, RunningAttempt] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of attempts."""
        return len(self.by_key)

    @property
    def kv_tokens(self) -> float:
        """KV cache tokens in use or reserved, over all attempts."""
        return sum(attempt.kv_tokens for attempt in self.by_key.values())

    @property
    def prefill_tokens(self) -> int:
        """Prefill tokens of attempts that have produced no token yet."""
        attempts = self.by_key.values()
        return sum(
            attempt.prefill_tokens
            for attempt in attempts
            if attempt.is_prefilling
        )

    @property
    def suspect_count(self) -> int:
        """Number of suspect attempts without progress.

        An attempt has made progress after `PROGRESS_MIN_TOKENS`.
        """
        return sum(
            attempt.dispatch.suspect and attempt.produced < PROGRESS_MIN_TOKENS
            for attempt in self.by_key.values()
        )

    def count_by_team(self) -> Counter[str]:
        """Return the number of attempts of each team."""
        return Counter(
            attempt.dispatch.team for attempt in self.by_key.values()
        )

    def remaining_prefill_tokens(self, now_ms: float) -> float:
        """Return an estimate of the prefill tokens still to be computed."""
        per_ms = self.statistics.prefill_per_s / _MS_PER_S
        return sum(
            max(
                0,
                attempt.prefill_tokens - (now_ms - attempt.started_ms) * per_ms,
            )
            for attempt in self.by_key.values()
            if attempt.is_prefilling
        )

    def record_tokens(
        self,
        attempt: RunningAttempt,
        produced: int,
        now_ms: float,
    ) -> None:
        """Record that an attempt has produced `produced` tokens in total."""
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
        """Remove an attempt; return whether it was running."""
        attempt = self.by_key.pop(key, None)
        if attempt is None:
            return False
        if attempt.produced:
            self.statistics.record_end(
                attempt.produced,
                now_ms - attempt.started_ms,
            )
        return True
