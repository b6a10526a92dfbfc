"""Bound of the stops that one day has to take."""

from __future__ import annotations

from benchmarks.drain_day import (
    MS_PER_HOUR,
    STOPS_PER_DAY,
    UPSTREAMS,
    plan_day,
)

HOURS_PER_DAY = 24


def test_stops_of_a_day_fit_into_a_day() -> None:
    """All stops end within 24 h under the default limits."""
    made = plan_day(UPSTREAMS, STOPS_PER_DAY)
    assert len(made.stops) == STOPS_PER_DAY
    assert made.end_ms <= HOURS_PER_DAY * MS_PER_HOUR
