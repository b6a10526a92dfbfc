"""Order of what comes from the store, also after it came back older.

The store may return from a copy. Versions since the copy are then given out
again, and its era, which every answer states, rises by one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bergamotthread.connection.http.messages import Header

ERA_HEADER = b'store-era'

EraListener = Callable[[int, int], None]


class EraError(ValueError):
    """An answer's era is older than the known one, or cannot be read."""


@dataclass(frozen=True, order=True, slots=True)
class StoreVersion:
    """Version of the store, ordered by era first.

    Parameters
    ----------
    number
        Version within the era, as the store gives it.
    """

    era: int = 0
    number: int = 0


@dataclass
class EraTracker:
    """Highest era of the store that this process has seen.

    Parameters
    ----------
    known
        The era; None before the first answer.
    listeners
        Called with the old and the new era when the store has returned.
    """

    known: int | None = None
    listeners: list[EraListener] = field(default_factory=list)

    def read(self, headers: Iterable[Header]) -> int:
        """Return the era of an answer of the store.

        An answer without the header is of the known era.

        Raises
        ------
        EraError
            If the era cannot be read or is older than the known one.
        """
        texts = {text for name, text in headers if name == ERA_HEADER}
        if not texts:
            return self.known or 0
        text = texts.pop()
        if texts or not text.isdigit():
            raise EraError(f'store-era is {text!r}, expected one whole number')
        return self.observe(int(text))

    def observe(self, era: int) -> int:
        """Note the era of an answer and return it.

        Raises
        ------
        EraError
            If the era is older than the known one.
        """
        former = self.known
        if former is not None and era < former:
            raise EraError(f'answer of era {era}, expected {former} or later')
        self.known = era
        if former is not None and former != era:
            for listener in self.listeners:
                listener(former, era)
        return era
