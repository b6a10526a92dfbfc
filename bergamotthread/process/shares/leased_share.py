"""Share of a limit that one entry may use: an equal part and a lease."""

from __future__ import annotations

import math
from collections.abc import Callable

MIN_FLOOR_FRACTION = 0.1


def floor_fraction(entry_count: int) -> float:
    """Return the fraction of each limit that is split equally without leases.

    With one entry this is the whole limit, with `n` entries the `n`-th part of
    it, and with ten or more a tenth.
    """
    return max(MIN_FLOOR_FRACTION, 1 / max(1, entry_count))


def no_floor(entry_count: int) -> float:
    """Return 0: the whole limit is leased."""
    return 0


FloorFraction = Callable[[int], float]


class LeasedShare:
    """Fraction of a limit, 0 to 1, that this entry may use.

    Parameters
    ----------
    entry_count
        Number of entries that split the limit.
    floor_fraction_of
        Returns the fraction that so many entries split equally.
    """

    def __init__(
        self,
        entry_count: int,
        floor_fraction_of: FloorFraction = floor_fraction,
    ) -> None:
        self.entry_count = max(1, entry_count)
        self._floor_fraction_of = floor_fraction_of
        self.leased = float(0)
        self.until_ms = -math.inf
        self.contended = False

    @property
    def floor(self) -> float:
        """Return the share that needs no lease."""
        return self._floor_fraction_of(self.entry_count) / self.entry_count

    def lease(self, now_ms: float) -> float:
        """Return the leased share; 0 if the lease is not valid any more."""
        return self.leased if now_ms < self.until_ms else 0

    def total(self, now_ms: float) -> float:
        """Return the share that may be used now."""
        return self.floor + self.lease(now_ms)

    def earned_ms(self, from_ms: float, to_ms: float) -> float:
        """Return the integral of the share over a time, in milliseconds."""
        leased_ms = max(0, min(to_ms, self.until_ms) - from_ms)
        floor_ms = self.floor * (to_ms - from_ms)
        return self.leased * leased_ms + floor_ms
