"""Checks of the limits that runners state, and of the builds of streams."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Mapping

from soak.findings import Finding
from soak.plan import FaultKind
from soak.records import Call, Notice, NoticeKind, Records

# The platform's rule: from `STABLE_MS` after a runner first stated a limit, in
# any `WINDOW_MS`, so much of it and `SLACK` requests more, from entries that
# passed on such an answer `TOLD_MS` before.
STABLE_MS = 4000
WINDOW_MS = 4000
TOLD_MS = 500
LIMIT_FACTOR = 1.5
SLACK = 5
# A request that a link or a frozen process held back arrives later than it was
# sent, and a frozen entry doesn't learn of the limit.
_EXCUSES = frozenset(
    (
        FaultKind.CUT_LINK_UP,
        FaultKind.CUT_LINK_DOWN,
        FaultKind.DELAY_LINK,
        FaultKind.PAUSE_RUNNER,
        FaultKind.PAUSE_ENTRY,
        FaultKind.KILL_ENTRY,
    )
)
_OWNER = re.compile(rb'@(\S+)\n')
_MS_PER_S = 1000


def check_limits(records: Records) -> Iterable[Finding]:
    """Find runners that got more requests than they stated."""
    stated: dict[str, list[Notice]] = {}
    for notice in records.notices:
        if notice.kind is NoticeKind.LIMITED:
            stated.setdefault(notice.runner, []).append(notice)
    for runner, notices in stated.items():
        yield from _check_runner(records, runner, sorted(notices, key=_at_ms))


def _check_runner(
    records: Records, runner: str, notices: list[Notice]
) -> Iterable[Finding]:
    since_ms = notices[0].at_ms + STABLE_MS
    until_ms = notices[-1].at_ms
    per_s = notices[0].for_ms / _MS_PER_S
    allowed = LIMIT_FACTOR * per_s * WINDOW_MS / _MS_PER_S + SLACK
    arrivals = [
        (at_ms, request)
        for at_ms, request in _told_arrivals(records, runner, notices)
        if since_ms <= at_ms <= until_ms
    ]
    for start_ms, _ in arrivals:
        end_ms = start_ms + WINDOW_MS
        window = [one for one in arrivals if start_ms <= one[0] < end_ms]
        if len(window) > allowed and not _is_excused(records, start_ms):
            detail = (
                f'{runner} stated {per_s} a second and got {len(window)} '
                f'requests in {WINDOW_MS} ms, allowed {allowed:.0f}'
            )
            yield Finding('limits', detail, window[-1][1])
            return


def _told_arrivals(
    records: Records, runner: str, notices: list[Notice]
) -> list[tuple[float, str]]:
    """Return the arrivals from entries that had been told, by time."""
    calls = {call.request: call for call in records.calls}
    told_ms = _told_since(records, calls, notices)
    arrivals = []
    for run in records.runs:
        call = calls.get(run.request)
        if run.runner != runner or call is None:
            continue
        since_ms = told_ms.get((call.entry, call.incarnation), math.inf)
        if run.at_ms >= since_ms + TOLD_MS:
            arrivals.append((run.at_ms, run.request))
    return sorted(arrivals)


def _told_since(
    records: Records, calls: Mapping[str, Call], notices: list[Notice]
) -> dict[tuple[str, int], float]:
    """Return from when each entry and incarnation knows of a limit."""
    runs = records.runs_by_request()
    told_ms: dict[tuple[str, int], float] = {}
    for notice in notices:
        call = calls.get(notice.request)
        # The answer to a request that ran elsewhere too may come from there.
        run_count = len(runs.get(notice.request, ()))
        if call is None or run_count != 1:
            continue
        entry = (call.entry, call.incarnation)
        if call.sealed:
            former_ms = told_ms.get(entry, math.inf)
            told_ms[entry] = min(former_ms, call.answered_ms)
    return told_ms


def _at_ms(notice: Notice) -> float:
    return notice.at_ms


def _is_excused(records: Records, start_ms: float) -> bool:
    return any(
        fault.kind in _EXCUSES
        and fault.at_ms <= start_ms + WINDOW_MS
        and fault.until_ms >= start_ms - STABLE_MS
        for fault in records.played_faults
    )


def check_builds(records: Records) -> Iterable[Finding]:
    """Find streams that hold events of runners of several builds."""
    builds_by_stream: dict[str, set[str]] = {}
    for call in records.calls:
        if call.kind.is_stream:
            stream = call.origin or call.request
            builds_by_stream.setdefault(stream, set()).update(
                records.build_by_runner.get(owner.decode(), '')
                for owner in _OWNER.findall(call.body)
            )
    for stream, builds in builds_by_stream.items():
        if len(builds) > 1:
            detail = f'events of builds {sorted(builds)}'
            yield Finding('builds', detail, stream)
