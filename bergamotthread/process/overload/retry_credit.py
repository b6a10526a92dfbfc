"""Budget that keeps retries to a share of the first attempts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class RetryCredit:
    """Credit for retries; each first attempt earns `share` of one retry.

    Parameters
    ----------
    share
        Retries allowed per first attempt in the long run.
    capacity
        Largest credit, which bounds a burst of retries.
    """

    share: float = 0.1
    capacity: float = 10

    def __post_init__(self) -> None:
        self.credit = self.capacity

    def earn(self) -> None:
        """Count a first attempt."""
        self.credit = min(self.capacity, self.credit + self.share)

    def spend(self) -> bool:
        """Return whether a retry is allowed, and count it if so."""
        if self.credit < 1:
            return False
        self.credit -= 1
        return True
