"""Budget that limits retries to a fraction of the first attempts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class RetryCredit:
    """Retries that may be sent; a first attempt earns `retry_ratio` of one.

    Parameters
    ----------
    retry_ratio
        Retries allowed per first attempt in the long run.
    capacity
        Maximum credit, which limits a burst of retries.
    """

    retry_ratio: float = 0.1
    capacity: float = 10

    def __post_init__(self) -> None:
        self.credit = self.capacity

    def earn(self) -> None:
        """Count a first attempt."""
        self.credit = min(self.capacity, self.credit + self.retry_ratio)

    def spend(self) -> bool:
        """Return whether a retry is allowed, and count it if so."""
        if self.credit < 1:
            return False
        self.credit -= 1
        return True
