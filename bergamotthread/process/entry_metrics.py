"""Metrics of an entry."""

from __future__ import annotations

from bergamotthread.clock import Clock
from bergamotthread.process.metrics import Metrics
from bergamotthread.request.refusal import ReasonCode


class EntryMetrics:
    """Counters and percentiles of an entry, and the registry they are in."""

    def __init__(self, clock: Clock) -> None:
        self.registry = Metrics(clock)
        registry = self.registry
        self._requests = registry.counter(
            'requests',
            'Requests that passed authentication and team limits.',
        )
        self._refusals = registry.labelled_counter(
            'refusals',
            'Refusals by reason.',
            'reason',
        )
        self._tokens = registry.counter(
            'tokens',
            'Tokens accepted from agents.',
        )
        self._losses = registry.labelled_counter(
            'attempts_lost',
            'Lost attempts by cause.',
            'cause',
        )
        self._resumes = registry.percentiles(
            'resume_ms',
            'Time from the notice of a loss to the next token.',
        )
        self._firsts = registry.percentiles(
            'first_token_ms',
            'Time from admission to the first token.',
        )
        self._calls = registry.percentiles(
            'call_ms',
            'Time of calls of plain services.',
        )

    def count_request(self) -> None:
        """Count an admitted request."""
        self._requests.increment()

    def count_refusal(self, reason: ReasonCode) -> None:
        """Count a refusal."""
        self._refusals.increment(str(reason))

    def count_loss(self, cause: str) -> None:
        """Count a lost attempt."""
        self._losses.increment(cause)

    def count_tokens(self, count: int) -> None:
        """Count accepted tokens."""
        self._tokens.increment(count)

    def record_resume(self, duration_ms: float) -> None:
        """Record the duration of a resume."""
        self._resumes.record(duration_ms)

    def record_first_token(self, duration_ms: float) -> None:
        """Record the time to the first token."""
        self._firsts.record(duration_ms)

    def record_call(self, duration_ms: float) -> None:
        """Record the duration of a call of a plain service."""
        self._calls.record(duration_ms)
