"""Checks of what callers got and of what ran for them."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable

from bergamotthread.process.relay.decision_log import FLUSH_INTERVAL_MS
from soak.findings import BUSY_MS, SETTLE_MS, Finding
from soak.records import Asked, Ending, Ran, Records
from standins.platform_runner import STREAM_EVENTS, event_of

# The platform's rules: half a second, a quarter of the requests.
GONE_MS = 500
GONE_SHARE = 0.25
# So many may stay: a few requests say nothing of a share.
GONE_MIN = 2
# A log that never blocks loses what a killed process has not written yet.
UNWRITTEN_MS = 2 * FLUSH_INTERVAL_MS
_OK = 200
_NOT_RUN = frozenset((408, 421, 429, 503))
_EVENT = re.compile(rb'id: (\d+)\ndata: t\d+ (\S+)\n\n')
_EXPLAINS = re.compile('"event":"(refused|not-admitted)"')


def check_whole(records: Records) -> Iterable[Finding]:
    """Find answers that look whole and aren't their request's own."""
    for asked in records.asked:
        if asked.ending is not Ending.WHOLE or asked.status != _OK:
            continue
        if not asked.sealed:
            yield Finding('whole', 'success without a signature', asked.request)
        elif asked.kind.is_stream:
            yield from _check_events(asked)
        elif asked.body != asked.request.encode():
            yield Finding('whole', f'answer {asked.body[:80]!r}', asked.request)


def _check_events(asked: Asked) -> Iterable[Finding]:
    expected = b''.join(
        event_of(asked.request.encode(), number + 1)
        for number in range(STREAM_EVENTS)
    )
    if asked.body == expected:
        return
    events = _EVENT.findall(asked.body)
    numbers = [int(number) for number, _ in events]
    owners = {owner.decode() for _, owner in events}
    if owners - {asked.request}:
        yield Finding('mixed', f'events of {owners}', asked.request)
    else:
        yield Finding('order', f'events {numbers}', asked.request)


def check_prefix(records: Records) -> Iterable[Finding]:
    """Find streams whose events are not in order, cut ones too."""
    for asked in records.asked:
        if not asked.kind.is_stream or asked.status != _OK:
            continue
        numbers = [int(number) for number, _ in _EVENT.findall(asked.body)]
        if numbers != list(range(1, len(numbers) + 1)):
            yield Finding('order', f'events {numbers}', asked.request)


def check_once(records: Records) -> Iterable[Finding]:
    """Find requests that ran twice though they must not."""
    kinds = {asked.request: asked.kind for asked in records.asked}
    for request, runs in records.runs_by_request().items():
        kind = kinds.get(request)
        if kind is not None and kind.runs_once and len(runs) > 1:
            where = ', '.join(
                f'{run.runner} at {run.at_ms:.0f}' for run in runs
            )
            yield Finding('twice', where, request)


def check_not_run(records: Records) -> Iterable[Finding]:
    """Find refusals that say "not run" of what has run, or runs later."""
    runs = records.runs_by_request()
    for asked in records.asked:
        says_not_run = asked.status in _NOT_RUN and not asked.sealed
        if asked.kind.runs_once and says_not_run and asked.request in runs:
            yield Finding('refused', f'{asked.status}', asked.request)


def check_gone(records: Records) -> Iterable[Finding]:
    """Find work that goes on for callers that have left."""
    runs = records.runs_by_request()
    left = [
        asked
        for asked in records.asked
        if asked.ending is Ending.LEFT
        and asked.request in runs
        and records.is_calm(
            asked.sent_ms - SETTLE_MS,
            asked.ended_ms + SETTLE_MS,
        )
    ]
    stayed = [asked for asked in left if _is_worked_on(asked, runs)]
    allowed = max(GONE_SHARE * len(left), GONE_MIN)
    if len(stayed) > allowed:
        detail = f'{len(stayed)} of {len(left)} are still worked on'
        yield Finding('gone', detail, stayed[0].request)


def _is_worked_on(asked: Asked, runs: dict[str, list[Ran]]) -> bool:
    last = runs[asked.request][-1]
    late_ms = asked.ended_ms + GONE_MS + BUSY_MS
    return last.ended_ms is None or last.ended_ms > late_ms


def check_answered(records: Records) -> Iterable[Finding]:
    """Find requests without an answer at an entry without trouble."""
    for asked in records.asked:
        if asked.ending is Ending.UNANSWERED and records.is_calm(
            asked.sent_ms - SETTLE_MS,
            asked.ended_ms,
        ):
            yield Finding('answered', 'no word at all', asked.request)


def check_explained(records: Records) -> Iterable[Finding]:
    """Find an entry's own failures that its log doesn't explain."""
    if records.dropped_lines:
        return
    for asked in records.asked:
        own = asked.status >= 500 and not asked.sealed
        if not own or asked.ending is not Ending.WHOLE:
            continue
        lines = records.lines_by_request.get(asked.request, ())
        left_ms = _life_left_ms(records, asked)
        is_lost = 0 <= left_ms < UNWRITTEN_MS
        explained = any(_EXPLAINS.search(line) for line in lines)
        if not explained and not is_lost:
            detail = f'{asked.status}, its process lived {left_ms:.0f} ms more'
            yield Finding('explained', detail, asked.request)


def _life_left_ms(records: Records, asked: Asked) -> float:
    """Return how long an entry lived after an answer, if it was killed."""
    killed = [
        one.at_ms
        for one in records.killed
        if (one.entry, one.life) == (asked.entry, asked.life)
    ]
    return min(killed, default=math.inf) - asked.ended_ms
