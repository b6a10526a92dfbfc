"""Builds of the upstreams of each service, now and lately."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# A build shrinks for this long after one of its upstreams went away, unless
# another one has come since. A release may be rolled back half way.
SHRINKING_MS = 10_000.0
# Upstreams that a build needs for its streams to go on after a loss.
BUILD_UPSTREAMS_MIN = 2


@dataclass
class BuildHistory:
    """Builds that were listed of one service, and when they came and went."""

    _removed_ms_by_build: dict[str, float] = field(default_factory=dict)
    _left_ms_by_build: dict[str, float] = field(default_factory=dict)
    _came_ms_by_build: dict[str, float] = field(default_factory=dict)

    def record_came(self, build: str, now_ms: float) -> None:
        """Record that an upstream of a build is listed anew."""
        self._came_ms_by_build[build] = now_ms

    def record_left(self, build: str, now_ms: float) -> None:
        """Record that an upstream of a build accepts no more requests."""
        self._left_ms_by_build[build] = now_ms

    def record_removed(self, build: str, now_ms: float) -> None:
        """Record that an upstream of a build is no longer listed."""
        self._removed_ms_by_build[build] = now_ms

    def removed_ms(self, build: str) -> float:
        """Return when an upstream of a build was last removed."""
        return self._removed_ms_by_build.get(build, -math.inf)

    def since(self, listed: Iterable[str], since_ms: float) -> set[str]:
        """Return the builds that were listed at some time since then."""
        removed = (
            build
            for build, removed_ms in self._removed_ms_by_build.items()
            if removed_ms >= since_ms
        )
        return {*listed, *removed}

    def is_shrinking(self, build: str, now_ms: float) -> bool:
        """Return whether upstreams of a build go away, and none come."""
        left_ms = self._left_ms_by_build.get(build, -math.inf)
        came_ms = self._came_ms_by_build.get(build, -math.inf)
        return left_ms > max(came_ms, now_ms - SHRINKING_MS)


def count_accepting(
    upstreams: Iterable[tuple[str, bool]],
) -> dict[str, int]:
    """Return the upstreams of each build that accept new requests.

    Parameters
    ----------
    upstreams
        Build of each upstream, and whether it accepts new requests.
    """
    counts = Counter(upstreams)
    return {build: counts[build, True] for build, _ in counts}


def sparse_builds(accepting_by_build: Mapping[str, int]) -> frozenset[str]:
    """Return the builds with too few upstreams to begin a stream there.

    A stream goes on only at its build, so it is lost with the last upstream of
    it. There are none if no build has enough.
    """
    sparse = frozenset(
        build
        for build, accepting in accepting_by_build.items()
        if accepting < BUILD_UPSTREAMS_MIN
    )
    return sparse if len(sparse) < len(accepting_by_build) else frozenset()


def shrinking_builds(
    accepting_by_build: Mapping[str, int],
    history: BuildHistory,
    now_ms: float,
) -> frozenset[str]:
    """Return the builds that are being replaced.

    There are none while the others have less than half of the upstreams.
    """
    shrinking = frozenset(
        build
        for build in accepting_by_build
        if history.is_shrinking(build, now_ms)
    )
    left = sum(accepting_by_build[build] for build in shrinking)
    total = sum(accepting_by_build.values())
    return shrinking if 2 * left <= total else frozenset()
