"""Consistent hashing, by which all entries map a key to the same members."""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Iterator
from itertools import chain

import xxhash

# More points balance the members better and make changes of the ring slower.
POINTS_PER_MEMBER = 16


class HashRing:
    """Consistent hash ring (Karger 1997) that ranks its members for a key."""

    def __init__(self, members: Iterable[str]) -> None:
        self._points = sorted(
            point for member in members for point in _points(member)
        )

    def add(self, member: str) -> None:
        """Add a member that is not in the ring."""
        for point in _points(member):
            bisect.insort(self._points, point)

    def remove(self, member: str) -> None:
        """Remove a member of the ring."""
        for point in _points(member):
            self._points.pop(bisect.bisect_left(self._points, point))

    def walk(self, key: bytes) -> Iterator[str]:
        """Yield each member once, clockwise from the position of the key."""
        start = bisect.bisect(self._points, (_position(key), ''))
        indexes = chain(range(start, len(self._points)), range(start))
        seen: set[str] = set()
        for index in indexes:
            member = self._points[index][1]
            if member not in seen:
                seen.add(member)
                yield member


def _points(member: str) -> list[tuple[int, str]]:
    return [
        (_position(f'{member}#{number}'.encode()), member)
        for number in range(POINTS_PER_MEMBER)
    ]


def _position(key: bytes) -> int:
    return xxhash.xxh3_64_intdigest(key)
