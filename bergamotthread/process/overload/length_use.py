"""What streams with long prompts get, against the others of their route.

Under overload the engines' backlogs are as long as the shortest prompts bear,
so long ones are refused at each moment anew. While they get less than their
share, some of the shorter ones are judged as if they were as long, which leaves
room for the long ones without a place that is held for them.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.overload.rank_use import DecayedSum

# Prompts of a route that give the limits of its classes of length.
LENGTHS_KEPT = 128
# Fractions of all prompts at which the classes begin, the fifth below the
# largest tenth and that tenth, and at which they have their middle.
CLASS_BEGINS = (0.7, 0.9)
CLASS_MIDDLES = (0.8, 0.95)
# A class is to be admitted so often, against all of its route: callers need a
# half. Below the first share some shorter prompts are judged as if they were as
# long, and below the second all are.
SHARE_MIN = 0.6
SHARE_LEAST = 0.4
# Time constant of the counts. An entry gets few prompts of the largest tenth.
LENGTH_SMOOTHING_MS = 10_000.0
# Prompts of a class from which its share is known.
OFFERED_MIN = 1.0


def _sums() -> list[DecayedSum]:
    return [
        DecayedSum(LENGTH_SMOOTHING_MS) for _ in range(len(CLASS_BEGINS) + 1)
    ]


@dataclass
class LengthUse:
    """Streams of one route at this entry, by classes of prompt length."""

    clock: Clock
    rng: random.Random
    _lengths: deque[int] = field(
        default_factory=lambda: deque(maxlen=LENGTHS_KEPT)
    )
    _offered: list[DecayedSum] = field(default_factory=_sums)
    _admitted: list[DecayedSum] = field(default_factory=_sums)

    def offer(self, tokens: int) -> int:
        """Count a prompt, and return the tokens as which it is judged."""
        self._lengths.append(tokens)
        own = self._class_of(tokens)
        self._offered[own].add(1, self.clock.now_ms())
        longer = [
            middle
            for number, middle in enumerate(self._at(CLASS_MIDDLES), start=1)
            if number > own and self.rng.random() < self._shortage(number)
        ]
        return max(longer, default=tokens)

    def admit(self, tokens: int) -> None:
        """Count a prompt that was admitted."""
        own = self._class_of(tokens)
        self._admitted[own].add(1, self.clock.now_ms())

    def _at(self, parts: tuple[float, ...]) -> list[int]:
        """Return the lengths below which so large parts of all prompts are."""
        lengths = sorted(self._lengths)
        return [lengths[int(len(lengths) * part)] for part in parts]

    def _class_of(self, tokens: int) -> int:
        return sum(tokens >= begin for begin in self._at(CLASS_BEGINS))

    def _shortage(self, number: int) -> float:
        """Return the fraction of shorter prompts that make room for a class."""
        now_ms = self.clock.now_ms()
        offered = self._offered[number].at(now_ms)
        if offered < OFFERED_MIN:
            return 0
        all_offered = sum(one.at(now_ms) for one in self._offered)
        all_admitted = sum(one.at(now_ms) for one in self._admitted)
        if not all_admitted:
            return 0
        admitted = self._admitted[number].at(now_ms)
        share = admitted / offered * all_offered / all_admitted
        shortage = (SHARE_MIN - share) / (SHARE_MIN - SHARE_LEAST)
        return min(max(shortage, 0), 1)
