"""Checks of keys, versions, stops, repeats and memory."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable

from benchmarks.capacity_rows import Fit
from soak.findings import BUSY_MS, SETTLE_MS, Finding
from soak.records import Asked, Ending, Memory, Records, Stopped
from standins.platform_settings import (
    GRACE_S,
    REPEAT_RATIO,
    REPEAT_SLACK,
    REVOKE_MS,
)

# The platform's bounds where its settings name none.
APPLY_MS = 3000
GRACE_MS = GRACE_S * 1000
REPEAT_WINDOW_MS = 10_000
# New work ends a few seconds after the request to stop.
NEW_WORK_MS = 4000
# The bounds on memory of issue 11 and of docs/CAPACITY.md.
SLOPE_MB_PER_MINUTE_MAX = 0.5
MEMORY_MB_MAX = 128
WARM_UP_MINUTES = 3
MEASURED_MINUTES_MIN = 5
_MS_PER_MINUTE = 60_000
_UNKNOWN = 404
_SHOWS_ROUTE = frozenset((200, 502, 504))


def check_keys(records: Records) -> Iterable[Finding]:
    """Find runs with a key that was taken away longer ago than its bound."""
    revoked_ms = {
        told.revoked: told.at_ms for told in records.published if told.revoked
    }
    runs = records.runs_by_request()
    for asked in records.asked:
        since_ms = revoked_ms.get(asked.key)
        if since_ms is None or asked.request not in runs:
            continue
        late_ms = asked.sent_ms - since_ms
        if late_ms > REVOKE_MS:
            detail = f'{asked.key} was taken away {late_ms:.0f} ms before'
            yield Finding('keys', detail, asked.request)


def check_reverts(records: Records) -> Iterable[Finding]:
    """Find entries that no longer know what they knew before."""
    known_ms: dict[tuple[str, int, str], float] = {}
    added = {told.path for told in records.published if told.path}
    for asked in sorted(records.asked, key=lambda one: one.ended_ms):
        if asked.path not in added:
            continue
        place = (asked.entry, asked.life, asked.path)
        if asked.status in _SHOWS_ROUTE:
            known_ms.setdefault(place, asked.ended_ms)
        since_ms = known_ms.get(place, asked.sent_ms)
        if asked.status == _UNKNOWN and asked.sent_ms > since_ms:
            yield Finding('reverts', f'{asked.path} is gone', asked.request)


def check_in_force(records: Records) -> Iterable[Finding]:
    """Find routes that an entry without trouble learns too late."""
    added_ms = {
        told.path: told.at_ms for told in records.published if told.path
    }
    for asked in records.asked:
        late_ms = asked.sent_ms - added_ms.get(asked.path, asked.sent_ms)
        is_late = late_ms > APPLY_MS + BUSY_MS and asked.status == _UNKNOWN
        if is_late and records.is_calm(
            asked.sent_ms - SETTLE_MS,
            asked.ended_ms,
        ):
            detail = f'{asked.path} unknown {late_ms:.0f} ms later'
            yield Finding('in force', detail, asked.request)


def check_drain(records: Records) -> Iterable[Finding]:
    """Find new work at entries that stop, and entries that outlive a stop."""
    runs = records.runs_by_request()
    for stop in records.stopped:
        for asked in _asked_of(stop, records):
            late_ms = asked.sent_ms - stop.at_ms
            if late_ms > NEW_WORK_MS + BUSY_MS and asked.request in runs:
                detail = f'sent {late_ms:.0f} ms after the stop'
                yield Finding('drain', detail, asked.request)
        if _outlives(stop, records):
            yield Finding('drain', f'{stop.entry} outlives its grace time')


def _asked_of(stop: Stopped, records: Records) -> Iterable[Asked]:
    """Return what was asked of the process that was stopped."""
    return (
        asked
        for asked in records.asked
        if (asked.entry, asked.life) == (stop.entry, stop.life)
    )


def _outlives(stop: Stopped, records: Records) -> bool:
    limit_ms = stop.at_ms + GRACE_MS + BUSY_MS
    if not records.is_calm(stop.at_ms - SETTLE_MS, limit_ms):
        return False
    return stop.ended_ms is None or stop.ended_ms > limit_ms


def check_planned_stop(records: Records) -> Iterable[Finding]:
    """Find requests that a planned stop cut off."""
    runs = records.runs_by_request()
    for stop in records.stopped:
        for asked in _asked_of(stop, records):
            late_ms = asked.ended_ms - stop.at_ms
            cut = asked.ending is Ending.CUT and asked.request in runs
            if (
                cut
                and late_ms > 0
                and records.is_calm(
                    asked.sent_ms - SETTLE_MS,
                    asked.ended_ms,
                )
            ):
                detail = f'cut {late_ms:.0f} ms after the stop began'
                yield Finding('planned stop', detail, asked.request)


def check_repeats(records: Records) -> Iterable[Finding]:
    """Find windows with more repeats than the budget."""
    firsts: list[float] = []
    repeats: list[float] = []
    for runs in records.runs_by_request().values():
        firsts.append(runs[0].at_ms)
        repeats.extend(run.at_ms for run in runs[1:])
    firsts.sort()
    repeats.sort()
    for end_ms in repeats:
        repeated = _count(repeats, end_ms)
        asked = _count(firsts, end_ms)
        if repeated > REPEAT_RATIO * asked + REPEAT_SLACK:
            detail = f'{repeated} beside {asked} firsts in 10 s'
            yield Finding('repeats', detail)
            return


def _count(times_ms: list[float], end_ms: float) -> int:
    """Return how many lie in the window that ends then."""
    start = bisect_left(times_ms, end_ms - REPEAT_WINDOW_MS)
    return bisect_right(times_ms, end_ms) - start


def check_memory(records: Records) -> Iterable[Finding]:
    """Find processes that grow after their warm-up, or beyond their size."""
    for memory in records.memory:
        highest = max((mb for _, mb in memory.points), default=0)
        if highest > MEMORY_MB_MAX:
            yield Finding('memory', f'{memory.process}: {highest:.1f} MB')
        slope = _slope(memory)
        if slope > SLOPE_MB_PER_MINUTE_MAX:
            detail = f'{memory.process} grows {slope:.3f} MB a minute'
            yield Finding('memory', detail)


def _slope(memory: Memory) -> float:
    """Return MB a minute after the warm-up; 0 for a short life."""
    minutes = [at_ms / _MS_PER_MINUTE for at_ms, _ in memory.points]
    sizes = [mb for _, mb in memory.points]
    start = bisect_right(minutes, minutes[0] + WARM_UP_MINUTES)
    measured = minutes[start:]
    if not measured or measured[-1] - measured[0] < MEASURED_MINUTES_MIN:
        return 0
    points = list(zip(measured, sizes[start:], strict=True))
    return Fit.from_points(points).slope
