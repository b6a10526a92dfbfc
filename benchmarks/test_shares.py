"""Bounds of docs/design/team-shares.md."""

from __future__ import annotations

from benchmarks.shares import measure
from bergamotthread.process.shares.lease_exchange import SHARE_BYTES_PER_S

MAX_OVERSHOOT = 0.1


def test_limits_hold_and_more_is_used_than_static() -> None:
    """With moving demand, leases keep the limits and use more than a split."""
    figures = measure(8, 200)
    assert figures.overshoot <= MAX_OVERSHOOT
    assert figures.unused_large <= figures.static_unused_large / 2
    assert figures.highest_rate <= SHARE_BYTES_PER_S
