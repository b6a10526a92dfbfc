"""Bound on the duration of one day's planned stops."""

from __future__ import annotations

from benchmarks.drain_day import (
    MS_PER_HOUR,
    STOPS_PER_DAY,
    UPSTREAMS,
    plan_day,
)

HOURS_PER_DAY = 24


def test_stops_of_a_day_fit_into_a_day() -> None:
    """All stops of a day end within 24 h under the default limits."""
    plan = plan_day(UPSTREAMS, STOPS_PER_DAY)
    assert len(plan.stops) == STOPS_PER_DAY
    assert plan.end_ms <= HOURS_PER_DAY * MS_PER_HOUR
