"""Checks of keys, versions, planned stops, retries and memory."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable

from benchmarks.capacity_rows import Fit
from soak.findings import BUSY_MS, SETTLE_MS, Finding
from soak.plan import FaultKind
from soak.records import Call, Ending, Memory, PlannedStop, Records
from standins.platform_settings import (
    GRACE_S,
    REPEAT_RATIO,
    REPEAT_SLACK,
    REVOKE_MS,
)

# The platform's default bounds, for settings that give none.
APPLY_MS = 3000
GRACE_MS = GRACE_S * 1000
REPEAT_WINDOW_MS = 10_000
# An entry may accept new work for a few seconds after the request to stop.
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
    """Find runs with a key revoked longer ago than `REVOKE_MS` allows."""
    revoked_ms = {
        publication.revoked: publication.at_ms
        for publication in records.publications
        if publication.revoked
    }
    runs = records.runs_by_request()
    for call in records.calls:
        since_ms = revoked_ms.get(call.key)
        if since_ms is None or call.request not in runs:
            continue
        late_ms = call.sent_ms - since_ms
        if late_ms > REVOKE_MS:
            detail = f'{call.key} was revoked {late_ms:.0f} ms before'
            yield Finding('keys', detail, call.request)


def check_reverts(records: Records) -> Iterable[Finding]:
    """Find entries that answer 404 for a route that they served before."""
    known_ms: dict[tuple[str, int, str], float] = {}
    added = {
        publication.path
        for publication in records.publications
        if publication.path
    }
    for call in sorted(records.calls, key=lambda call: call.ended_ms):
        if call.path not in added:
            continue
        process_path = (call.entry, call.incarnation, call.path)
        if call.status in _SHOWS_ROUTE:
            known_ms.setdefault(process_path, call.ended_ms)
        since_ms = known_ms.get(process_path, call.sent_ms)
        if call.status == _UNKNOWN and call.sent_ms > since_ms:
            yield Finding(
                'reverts', f'{call.path} is unknown again', call.request
            )


def check_in_force(records: Records) -> Iterable[Finding]:
    """Find routes that an undisturbed entry learns too late."""
    added_ms = {
        publication.path: publication.at_ms
        for publication in records.publications
        if publication.path
    }
    for call in records.calls:
        late_ms = call.sent_ms - added_ms.get(call.path, call.sent_ms)
        is_late = late_ms > APPLY_MS + BUSY_MS and call.status == _UNKNOWN
        if is_late and records.is_undisturbed(
            call.sent_ms - SETTLE_MS,
            call.ended_ms,
        ):
            detail = f'{call.path} unknown {late_ms:.0f} ms after it was added'
            yield Finding('in force', detail, call.request)


def check_drain(records: Records) -> Iterable[Finding]:
    """Find new work at stopping entries, and entries that end too late.

    The time for new work counts from the moment at which the process can
    receive the signal: a paused process receives it when it continues.
    """
    runs = records.runs_by_request()
    for stop in records.planned_stops:
        received_ms = _stop_received_ms(stop, records)
        for call in _calls_to(stop, records):
            late_ms = call.sent_ms - received_ms
            if late_ms > NEW_WORK_MS + BUSY_MS and call.request in runs:
                detail = f'sent {late_ms:.0f} ms after the stop'
                yield Finding('drain', detail, call.request)
        if _outlives(stop, records):
            yield Finding(
                'drain', f'{stop.entry} still runs after its grace time'
            )


def _stop_received_ms(stop: PlannedStop, records: Records) -> float:
    """Return when the stopped process first runs after the signal."""
    continued_ms = [
        fault.until_ms
        for fault in records.played_faults
        if fault.kind == FaultKind.PAUSE_ENTRY
        and f'entry{fault.target}' == stop.entry
        and fault.at_ms <= stop.at_ms <= fault.until_ms
    ]
    return min(continued_ms, default=stop.at_ms)


def _calls_to(stop: PlannedStop, records: Records) -> Iterable[Call]:
    """Return the requests sent to the stopped process."""
    return (
        call
        for call in records.calls
        if (call.entry, call.incarnation) == (stop.entry, stop.incarnation)
    )


def _outlives(stop: PlannedStop, records: Records) -> bool:
    limit_ms = stop.at_ms + GRACE_MS + BUSY_MS
    if not records.is_undisturbed(stop.at_ms - SETTLE_MS, limit_ms):
        return False
    return stop.ended_ms is None or stop.ended_ms > limit_ms


def check_planned_stop(records: Records) -> Iterable[Finding]:
    """Find requests whose connection a planned stop closed early."""
    runs = records.runs_by_request()
    for stop in records.planned_stops:
        for call in _calls_to(stop, records):
            late_ms = call.ended_ms - stop.at_ms
            is_cut = call.ending is Ending.CUT and call.request in runs
            if (
                is_cut
                and late_ms > 0
                and records.is_undisturbed(
                    call.sent_ms - SETTLE_MS,
                    call.ended_ms,
                )
            ):
                detail = f'connection cut {late_ms:.0f} ms after the stop began'
                yield Finding('planned stop', detail, call.request)


def check_repeats(records: Records) -> Iterable[Finding]:
    """Find windows with more retries than the retry budget allows."""
    first_ms: list[float] = []
    retries_ms: list[float] = []
    for runs in records.runs_by_request().values():
        first_ms.append(runs[0].at_ms)
        retries_ms.extend(run.at_ms for run in runs[1:])
    first_ms.sort()
    retries_ms.sort()
    for end_ms in retries_ms:
        retry_count = _count(retries_ms, end_ms)
        first_count = _count(first_ms, end_ms)
        if retry_count > REPEAT_RATIO * first_count + REPEAT_SLACK:
            detail = f'{retry_count} retries, {first_count} first runs in 10 s'
            yield Finding('repeats', detail)
            return


def _count(times_ms: list[float], end_ms: float) -> int:
    """Return how many of the sorted times lie in the window up to `end_ms`."""
    start = bisect_left(times_ms, end_ms - REPEAT_WINDOW_MS)
    return bisect_right(times_ms, end_ms) - start


def check_memory(records: Records) -> Iterable[Finding]:
    """Find processes whose memory grows after warm-up or exceeds its limit."""
    for memory in records.memory:
        highest = max((mb for _, mb in memory.points), default=0)
        if highest > MEMORY_MB_MAX:
            yield Finding('memory', f'{memory.process}: {highest:.1f} MB')
        slope = _slope(memory)
        if slope > SLOPE_MB_PER_MINUTE_MAX:
            detail = f'{memory.process} grows by {slope:.3f} MB per minute'
            yield Finding('memory', detail)


def _slope(memory: Memory) -> float:
    """Return the growth after warm-up in MB per minute.

    It is 0 if the process ran too briefly to measure it.
    """
    minutes = [at_ms / _MS_PER_MINUTE for at_ms, _ in memory.points]
    sizes = [mb for _, mb in memory.points]
    start = bisect_right(minutes, minutes[0] + WARM_UP_MINUTES)
    measured = minutes[start:]
    if not measured or measured[-1] - measured[0] < MEASURED_MINUTES_MIN:
        return 0
    points = list(zip(measured, sizes[start:], strict=True))
    return Fit.from_points(points).slope
