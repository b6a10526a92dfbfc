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
            point for member in members for point in _points(member)
        )

    def add(self, member: str) -> None:
        """Take in a member that is not there."""
        for point in _points(member):
            bisect.insort(self._points, point)

    def remove(self, member: str) -> None:
        """Take out a member that is there."""
        for point in _points(member):
            self._points.pop(bisect.bisect_left(self._points, point))

    def walk(self, key: bytes) -> Iterator[str]:
        """Yield all members, each once, beginning at the key's place."""
        start = bisect.bisect(self._points, (_place(key), ''))
        around = chain(range(start, len(self._points)), range(start))
        seen: set[str] = set()
        for index in around:
            member = self._points[index][1]
            if member not in seen:
                seen.add(member)
                yield member


def _points(member: str) -> list[tuple[int, str]]:
    return [
        (_place(f'{member}#{number}'.encode()), member)
        for number in range(POINTS)
    ]


def _place(key: bytes) -> int:
    return xxhash.xxh3_64_intdigest(key)
