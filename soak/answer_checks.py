"""Checks of the answers that callers got and of the runs of their requests."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable

from bergamotthread.process.relay.decision_log import LOG_FLUSH_INTERVAL_MS
from soak.findings import BUSY_MS, SETTLE_MS, Finding
from soak.records import Call, Ending, Records, Run
from standins.platform_runner import STREAM_EVENTS, event_of

# The platform's rules: work for a caller that has left ends within half a
# second, except for at most a quarter of such requests.
CANCEL_TIMEOUT_MS = 500
UNCANCELLED_MAX_FRACTION = 0.25
# This many are always allowed, since a fraction of few requests means little.
UNCANCELLED_ALLOWED_MIN = 2
# The decision log never blocks, so lines that a process has not yet written
# when it is killed are lost.
LOG_LOSS_WINDOW_MS = 2 * LOG_FLUSH_INTERVAL_MS
_OK = 200
_NOT_RUN = frozenset((408, 421, 429, 503))
_EVENT = re.compile(rb'id: (\d+)\ndata: t\d+ (\S+)(?: @\S+)?\n\n')
# Name of the runner in an event.
_RUNNER = re.compile(rb' @\S+')
_EXPLAINS = re.compile('"event":"(refused|not-admitted)"')


def check_whole(records: Records) -> Iterable[Finding]:
    """Find successful answers that are unsigned or have a wrong body."""
    for call in records.calls:
        if call.ending is not Ending.WHOLE or call.status != _OK:
            continue
        if not call.sealed:
            yield Finding('whole', 'success without a signature', call.request)
        elif call.kind.is_stream:
            yield from _check_events(call)
        elif call.body != call.request.encode():
            yield Finding(
                'whole', f'unexpected answer {call.body[:80]!r}', call.request
            )


def _check_events(call: Call) -> Iterable[Finding]:
    expected = b''.join(
        event_of(call.request.encode(), number + 1)
        for number in range(call.resumed_after, STREAM_EVENTS)
    )
    if _RUNNER.sub(b'', call.body) == expected:
        return
    events = _EVENT.findall(call.body)
    numbers = [int(number) for number, _ in events]
    owners = {owner.decode() for _, owner in events}
    if owners - {call.request}:
        yield Finding('mixed', f'events of {owners}', call.request)
    else:
        yield Finding('order', f'events {numbers}', call.request)


def check_prefix(records: Records) -> Iterable[Finding]:
    """Find streams, complete or cut, whose events are not in order."""
    for call in records.calls:
        if not call.kind.is_stream or call.status != _OK:
            continue
        numbers = [int(number) for number, _ in _EVENT.findall(call.body)]
        first = call.resumed_after + 1
        if numbers != list(range(first, first + len(numbers))):
            yield Finding('order', f'events {numbers}', call.request)


def check_once(records: Records) -> Iterable[Finding]:
    """Find requests that ran more than once although they must not."""
    kinds = {call.request: call.kind for call in records.calls}
    for request, runs in records.runs_by_request().items():
        kind = kinds.get(request)
        if kind is not None and kind.runs_once and len(runs) > 1:
            where = ', '.join(
                f'{run.runner} at {run.at_ms:.0f}' for run in runs
            )
            yield Finding('twice', where, request)


def check_not_run(records: Records) -> Iterable[Finding]:
    """Find refusals that say "not run" for a request that ran at any time."""
    runs = records.runs_by_request()
    for call in records.calls:
        says_not_run = call.status in _NOT_RUN and not call.sealed
        if call.kind.runs_once and says_not_run and call.request in runs:
            yield Finding('refused', f'{call.status}', call.request)


def check_gone(records: Records) -> Iterable[Finding]:
    """Find runs that continue after their caller has left."""
    runs = records.runs_by_request()
    left = [
        call
        for call in records.calls
        if call.ending is Ending.LEFT
        and call.request in runs
        and records.is_undisturbed(
            call.sent_ms - SETTLE_MS,
            call.ended_ms + SETTLE_MS,
        )
    ]
    continued = [call for call in left if _is_worked_on(call, runs)]
    allowed_count = max(
        UNCANCELLED_MAX_FRACTION * len(left), UNCANCELLED_ALLOWED_MIN
    )
    if len(continued) > allowed_count:
        detail = (
            f'{len(continued)} of {len(left)} still run after the caller left'
        )
        yield Finding('gone', detail, continued[0].request)


def _is_worked_on(call: Call, runs: dict[str, list[Run]]) -> bool:
    last_run = runs[call.request][-1]
    limit_ms = call.ended_ms + CANCEL_TIMEOUT_MS + BUSY_MS
    return last_run.ended_ms is None or last_run.ended_ms > limit_ms


def check_answered(records: Records) -> Iterable[Finding]:
    """Find requests that an undisturbed entry did not answer."""
    for call in records.calls:
        if call.ending is Ending.UNANSWERED and records.is_undisturbed(
            call.sent_ms - SETTLE_MS,
            call.ended_ms,
        ):
            yield Finding(
                'answered', 'no answer within the time limit', call.request
            )


def check_begun(records: Records) -> Iterable[Finding]:
    """Find streams that began and that an undisturbed entry cut."""
    for call in records.calls:
        is_cut = call.kind.is_stream and call.ending is Ending.CUT
        if (
            is_cut
            and call.body
            and records.is_undisturbed(
                call.sent_ms - SETTLE_MS,
                call.ended_ms,
            )
        ):
            yield Finding(
                'begun', f'cut after {len(call.body)} bytes', call.request
            )


def check_explained(records: Records) -> Iterable[Finding]:
    """Find failures of an entry itself that its log does not explain."""
    if records.dropped_lines:
        return
    for call in records.calls:
        is_own_failure = call.status >= 500 and not call.sealed
        if not is_own_failure or call.ending is not Ending.WHOLE:
            continue
        lines = records.lines_by_request.get(call.request, ())
        remaining_ms = _life_left_ms(records, call)
        # An answer written before the kill may be read after it.
        is_lost = -BUSY_MS <= remaining_ms < LOG_LOSS_WINDOW_MS
        is_explained = any(_EXPLAINS.search(line) for line in lines)
        if not is_explained and not is_lost:
            detail = (
                f'status {call.status}, process ran {remaining_ms:.0f} ms more'
            )
            yield Finding('explained', detail, call.request)


def _life_left_ms(records: Records, call: Call) -> float:
    """Return the time from an answer to the kill of its process.

    It is infinite if the process was not killed.
    """
    kills_ms = [
        kill.at_ms
        for kill in records.entry_kills
        if (kill.entry, kill.incarnation) == (call.entry, call.incarnation)
    ]
    return min(kills_ms, default=math.inf) - call.ended_ms
