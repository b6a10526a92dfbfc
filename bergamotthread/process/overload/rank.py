"""Rank of a request among those that compete for the same upstreams."""

from __future__ import annotations

from dataclasses import dataclass

# Least urgent value that upstreams tell apart; 0 is the most urgent.
URGENCY_MAX = 9


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

    @property
    def urgency(self) -> int | None:
        """Return the urgency that upstreams are told; None if no other rank.

        Ranks beyond the ones that upstreams tell apart share the last one.
        """
        return min(self.position, URGENCY_MAX) if self.matters else None


SINGLE_RANK = Rank()
