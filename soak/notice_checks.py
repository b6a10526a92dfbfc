"""Checks of requests to runners that leave or have no room for some time."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from soak.findings import Finding
from soak.plan import FaultKind
from soak.records import Call, Notice, NoticeKind, Records, Run
from standins.platform_settings import DRAIN_MS

# The platform's rule on Retry-After: what is on its way is not counted, and two
# requests are allowed after that.
PAUSE_SLACK_MS = 500
PAUSED_REQUESTS_MAX = 2
# A request held by the link to a runner, or by the runner's frozen process, was
# sent before it arrives.
_HOLDING = frozenset(
    (
        FaultKind.CUT_LINK_UP,
        FaultKind.CUT_LINK_DOWN,
        FaultKind.PAUSE_RUNNER,
    ),
)

# Entry, its incarnation, and the runner.
_Pair = tuple[str, int, str]
_Arrivals = dict[_Pair, list[tuple[float, str]]]


def check_leaving(records: Records) -> Iterable[Finding]:
    """Find requests that reach a runner which its entry knows to be leaving.

    The entry knows it at the latest when its caller gets the head of an answer
    that says so.
    """
    calls = {call.request: call for call in records.calls}
    arrivals = _arrivals(records, calls)
    for pair, since_ms in _leaving_since(records, calls).items():
        for at_ms, request in arrivals.get(pair, ()):
            late_ms = at_ms - since_ms
            if late_ms > DRAIN_MS and not _is_excused(
                records, pair, since_ms, at_ms
            ):
                detail = (
                    f'{pair[2]} said {late_ms:.0f} ms before that it leaves'
                )
                yield Finding('leaving', detail, request)


def _leaving_since(
    records: Records,
    calls: Mapping[str, Call],
) -> dict[_Pair, float]:
    """Return from when each entry knows that a runner is leaving."""
    runs = records.runs_by_request()
    since_by_pair: dict[_Pair, float] = {}
    for notice in records.notices:
        call = calls.get(notice.request)
        if notice.kind is not NoticeKind.LEAVING or call is None:
            continue
        # The head of an answer to a request that ran elsewhere too may come
        # from there.
        if call.sealed and len(runs.get(call.request, ())) == 1:
            pair = _pair(call, notice.runner)
            since_ms = since_by_pair.get(pair, math.inf)
            since_by_pair[pair] = min(since_ms, call.answered_ms)
    return since_by_pair


def check_pauses(records: Records) -> Iterable[Finding]:
    """Find entries that keep sending to a runner that wants no requests."""
    calls = {call.request: call for call in records.calls}
    arrivals = _arrivals(records, calls)
    for notice in records.notices:
        call = calls.get(notice.request)
        if notice.kind is not NoticeKind.PAUSED or call is None:
            continue
        pair = _pair(call, notice.runner)
        until_ms = notice.at_ms + notice.for_ms
        requests = [
            request
            for at_ms, request in arrivals.get(pair, ())
            if notice.at_ms + PAUSE_SLACK_MS < at_ms <= until_ms
        ]
        if len(requests) > PAUSED_REQUESTS_MAX and not _is_excused(
            records, pair, notice.at_ms, until_ms
        ):
            detail = (
                f'{len(requests)} requests of {pair[0]} reach {pair[2]} within'
                f' the {notice.for_ms:.0f} ms for which it wants none'
            )
            yield Finding('pauses', detail, requests[-1])


def _arrivals(records: Records, calls: Mapping[str, Call]) -> _Arrivals:
    """Return the times of all requests, by their entry and runner."""
    arrivals: _Arrivals = {}
    reached: list[Run | Notice] = list(records.runs)
    reached += [
        notice for notice in records.notices if notice.kind is NoticeKind.PAUSED
    ]
    for arrival in reached:
        call = calls.get(arrival.request)
        if call is not None:
            pair = _pair(call, arrival.runner)
            arrivals.setdefault(pair, []).append(
                (arrival.at_ms, arrival.request),
            )
    return arrivals


def _pair(call: Call, runner: str) -> _Pair:
    return call.entry, call.incarnation, runner


def _is_excused(
    records: Records,
    pair: _Pair,
    from_ms: float,
    until_ms: float,
) -> bool:
    """Return whether the entry was frozen, or the way to the runner held."""
    entry, _, runner = pair
    return any(
        fault.at_ms <= until_ms
        and fault.until_ms >= from_ms
        and (
            (
                fault.kind == FaultKind.PAUSE_ENTRY
                and entry == f'entry{fault.target}'
            )
            or (
                fault.kind in _HOLDING
                and runner.startswith(f'runner{fault.target}-')
            )
        )
        for fault in records.played_faults
    )
