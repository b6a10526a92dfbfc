"""Room in an engine's KV cache until the runs at it end.

A run takes memory with each token that it makes, so an engine that has room for
a prompt now may lack it before the runs end. It then preempts a run and reads
that run's prompt again. The room is therefore counted up to the end of each
run, in time: runs that end meanwhile release what the others still take.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import accumulate


@dataclass(frozen=True, slots=True)
class Holding:
    """KV cache tokens that a run holds, and the time until its end.

    Parameters
    ----------
    growth_tokens
        Tokens that it is expected to add evenly until its end.
    """

    tokens: float
    remaining_ms: float
    growth_tokens: float = 0

    @property
    def growth_per_ms(self) -> float:
        """Return the tokens that it adds in a millisecond."""
        return self.growth_tokens / max(self.remaining_ms, 1)


@dataclass(frozen=True, slots=True)
class RoomProfile:
    """Memory that an engine lacks over time for a prompt that waits.

    Parameters
    ----------
    missing_tokens
        Tokens that must be released before there is room for the prompt and
        all those ahead of it; negative if that many are free.
    ends_ms
        Times at which the runs end, in order.
    released
        Tokens held now by so many of the first runs; one item more.
    growth_per_ms
        Tokens that all but so many of the first runs add in a millisecond.
    """

    missing_tokens: float
    ends_ms: Sequence[float]
    released: Sequence[float]
    growth_per_ms: Sequence[float]

    @classmethod
    def from_holdings(
        cls, missing_tokens: float, holdings: Iterable[Holding]
    ) -> RoomProfile:
        """Return the profile of the runs at an engine."""
        ordered = sorted(holdings, key=_remaining_ms)
        growing = accumulate(
            holding.growth_per_ms for holding in reversed(ordered)
        )
        return cls(
            missing_tokens,
            [holding.remaining_ms for holding in ordered],
            [0, *accumulate(holding.tokens for holding in ordered)],
            [*reversed(list(growing)), 0],
        )

    def start_ms(
        self, earliest_ms: float, growth_tokens: float, run_ms: float
    ) -> float:
        """Return when a prompt may start so that no run is preempted.

        Parameters
        ----------
        growth_tokens, run_ms
            Tokens that the prompt's own run adds, and the time that it takes.

        Returns
        -------
        float
            `earliest_ms`, or a later time at which a run ends; the last of
            them if the room never suffices.
        """
        first = bisect_right(self.ends_ms, earliest_ms)
        starts = [earliest_ms, *self.ends_ms[first:]]
        run = Holding(0, max(run_ms, 1), growth_tokens)
        fitting = (start for start in starts if self._fits(start, run))
        return next(fitting, starts[-1])

    def _fits(self, start_ms: float, run: Holding) -> bool:
        """Return whether memory suffices until the prompt's own run ends.

        What is missing grows until a run ends, so its peaks are there.
        """
        end_ms = start_ms + run.remaining_ms
        first = bisect_right(self.ends_ms, start_ms)
        last = bisect_right(self.ends_ms, end_ms)
        if self._missing(start_ms, first) > 0:
            return False
        return all(
            self._missing(peak_ms, bisect_left(self.ends_ms, peak_ms))
            + run.growth_per_ms * (peak_ms - start_ms)
            <= 0
            for peak_ms in (*self.ends_ms[first:last], end_ms)
        )

    def _missing(self, at_ms: float, ended: int) -> float:
        """Return the tokens missing at a time when so many runs have ended."""
        grown = self.growth_per_ms[ended] * at_ms
        return self.missing_tokens + grown - self.released[ended]


def _remaining_ms(holding: Holding) -> float:
    return holding.remaining_ms
