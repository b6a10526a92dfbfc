"""Consistent hashing: the same key leads every entry to the same members."""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Iterator
from itertools import chain

import xxhash

# Points of each member; more make shares more equal and changes slower.
POINTS = 16


class HashRing:
    """Members in the order in which a key prefers them (Karger 1997)."""

    def __init__(self, members: Iterable[str]) -> None:
        self._points = sorted(
            (_place(f'{member}#{number}'.encode()), member)
            for member in members
            for number in range(POINTS)
        )

    def walk(self, key: bytes) -> Iterator[str]:
        """Yield all members, each once, beginning at the key's place."""
        start = bisect.bisect(self._points, (_place(key), ''))
        clockwise = chain(self._points[start:], self._points[:start])
        seen: set[str] = set()
        for _, member in clockwise:
            if member not in seen:
                seen.add(member)
                yield member


def _place(key: bytes) -> int:
    return xxhash.xxh3_64_intdigest(key)
