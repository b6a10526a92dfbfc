"""Rank of a request among those that compete for the same upstreams."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Rank:
    """Position of a request among the ranks that a service's routes have.

    Parameters
    ----------
    position
        0 for the most urgent rank.
    count
        Number of ranks; with a single one, rank decides nothing.
    """

    position: int = 0
    count: int = 1

    @property
    def matters(self) -> bool:
        """Return whether requests of other ranks compete for the service."""
        return self.count > 1


SINGLE_RANK = Rank()
