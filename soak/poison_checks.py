"""Check that a request that crashes runners soon reaches no more of them."""

from __future__ import annotations

from collections.abc import Iterable

from soak.findings import Finding
from soak.plan import FaultKind
from soak.records import Records

CRASHES_MAX = 3
# Time after the third crash from which sendings are counted, and how many may
# follow.
STABLE_MS = 4000
SENT_MAX = 3
# An entry that was not reached or did not run may not know of the crashes yet.
_EXCUSES = frozenset(
    (
        FaultKind.KILL_ENTRY,
        FaultKind.PAUSE_ENTRY,
        FaultKind.HOLD_ENTRY,
        FaultKind.CUT_LINK_UP,
        FaultKind.CUT_LINK_DOWN,
        FaultKind.PAUSE_RUNNER,
    )
)


def check_poison(records: Records) -> Iterable[Finding]:
    """Find requests that were sent on though they crash runners."""
    crash_ms_by_series: dict[str, list[float]] = {}
    for crash in records.crashes:
        crash_ms_by_series.setdefault(crash.series, []).append(crash.at_ms)
    for series, crash_ms in crash_ms_by_series.items():
        if len(crash_ms) < CRASHES_MAX:
            continue
        limit_ms = sorted(crash_ms)[CRASHES_MAX - 1] + STABLE_MS
        late = [
            run
            for run in records.runs
            if run.request.rpartition('-')[0] == series
            and run.at_ms > limit_ms
            and not _is_excused(records, run.at_ms)
        ]
        if len(late) > SENT_MAX:
            detail = (
                f'{len(late)} sendings later than {STABLE_MS} ms after the '
                f'third crash, expected at most {SENT_MAX}'
            )
            yield Finding('poison', detail, late[-1].request)


def _is_excused(records: Records, at_ms: float) -> bool:
    return any(
        fault.kind in _EXCUSES
        and fault.at_ms <= at_ms
        and fault.until_ms >= at_ms - STABLE_MS
        for fault in records.played_faults
    )
