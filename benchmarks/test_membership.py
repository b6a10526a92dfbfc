"""Bounds of docs/design/membership.md, with 10% loss and 30 s pauses."""

from __future__ import annotations

import pytest

from benchmarks.membership import measure

BYTES_PER_S = 4096
JOIN_LIMIT_MS = 10_000
CRASH_LIMIT_MS = 60_000


@pytest.mark.parametrize('size', [4, 16])
def test_members_agree_and_nobody_is_removed_falsely(size: int) -> None:
    """Members keep a paused, remove a crashed and learn of a new member."""
    figures = measure(size)
    assert figures.false_removals == 0
    assert figures.highest_rate <= BYTES_PER_S
    assert figures.join_ms < JOIN_LIMIT_MS
    assert figures.crash_ms < CRASH_LIMIT_MS
