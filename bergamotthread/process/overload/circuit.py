"""Circuit breaker that stops requests to a peer that does not answer."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from bergamotthread.clock import Clock

_BACKOFF_FACTOR = 2


@dataclass
class CircuitBreaker:
    """Opens after consecutive failures, then admits one probe at a time.

    Parameters
    ----------
    clock
        Source of time.
    threshold
        Consecutive failures that open the circuit.
    open_ms, max_open_ms
        Initial and maximum time for which the circuit stays open. The time
        doubles with each failed probe; up to half of it is taken off at
        random.
    rng
        Source of the random reduction.
    """

    clock: Clock
    threshold: int = 3
    open_ms: float = 200
    max_open_ms: float = 5000
    rng: random.Random = field(default_factory=random.Random)
    _failures: int = 0
    _open_until_ms: float = 0
    _is_probing: bool = False

    @property
    def is_open(self) -> bool:
        """Whether requests other than probes are rejected."""
        return self._failures >= self.threshold

    @property
    def is_ready(self) -> bool:
        """Whether a request would be admitted now."""
        if not self.is_open:
            return True
        return (
            not self._is_probing and self.clock.now_ms() >= self._open_until_ms
        )

    def admit(self) -> bool:
        """Return whether a request may be sent now, as a probe if open."""
        admitted = self.is_ready
        self._is_probing = self._is_probing or (admitted and self.is_open)
        return admitted

    def release(self) -> None:
        """Allow another probe after one was abandoned without an outcome."""
        self._is_probing = False

    def record_success(self) -> None:
        """Close the circuit."""
        self._failures = 0
        self._is_probing = False

    def record_failure(self) -> None:
        """Count a failure, and open the circuit at the threshold."""
        self._failures += 1
        self._is_probing = False
        excess = self._failures - self.threshold
        if excess < 0:
            return
        longest_ms = min(
            self.max_open_ms, self.open_ms * _BACKOFF_FACTOR**excess
        )
        open_ms = longest_ms * (1 + self.rng.random()) / 2
        self._open_until_ms = self.clock.now_ms() + open_ms
