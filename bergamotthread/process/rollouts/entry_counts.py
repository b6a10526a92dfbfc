"""Counts of all entries of a roll-out, as the one that decides knows them."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from bergamotthread.process.rollouts.answer_cells import (
    AnswerCount,
    CellKey,
    CountByKey,
    counts_by_key,
    counts_since,
)
from bergamotthread.process.rollouts.reports import EntryReport, RolloutPhase

# An entry that told that it moved sends nothing to former builds for so long,
# since its directive is valid for longer.
MOVED_MS = 2000.0
# An entry that was silent for so long has no valid directive, and sends nothing
# to the target. This leaves room for the judgement within
# `ExposureBound.rollback_ms`.
SILENT_MS = 3000.0
# Span over which the rate of requests is taken.
RATE_MS = 2000.0
# The same for the rate right now, by which a burst is seen early.
BURST_MS = 400.0
HISTORY_MS = 30_000.0


@dataclass(frozen=True, slots=True)
class Totals:
    """Sums over all entries.

    Parameters
    ----------
    requests
        Callers' requests that reached an upstream of the service: no more than
        the attempts that the entries know of, since refused ones reach none.
    beyond_places
        Attempts at the target that no place covers.
    granted
        Places that entries know to be granted.
    """

    requests: int = 0
    sent: int = 0
    beyond_places: int = 0
    granted: int = 0
    target_answered: int = 0
    former_answered: int = 0
    former_running: int = 0
    target_running: int = 0

    def plus(self, other: Totals) -> Totals:
        """Return the sums over more entries."""
        return Totals(
            self.requests + other.requests,
            self.sent + other.sent,
            self.beyond_places + other.beyond_places,
            self.granted + other.granted,
            self.target_answered + other.target_answered,
            self.former_answered + other.former_answered,
            self.former_running + other.former_running,
            self.target_running + other.target_running,
        )


@dataclass(frozen=True)
class _Entry:
    report: EntryReport
    heard_ms: float
    count_by_key: dict[CellKey, AnswerCount]
    totals: Totals


class EntryCounts:
    """Last reports of the entries, and what was counted over time."""

    def __init__(self) -> None:
        self._entry_by_host: dict[str, _Entry] = {}
        self._listed_ms_by_host: dict[str, float] = {}
        # Counts of processes that ended; their entries began anew at zero.
        self._ended = Totals()
        self._ended_processes: set[tuple[str, int]] = set()
        self._history: deque[tuple[float, Totals]] = deque()
        # Time from which the sums are those of all entries.
        self._complete_ms = math.inf
        self._total: Totals | None = None

    def apply(
        self, report: EntryReport, now_ms: float
    ) -> dict[CellKey, AnswerCount]:
        """Replace the report of an entry, and return its new answers.

        A report that was overtaken by a later one is ignored.
        """
        if self.is_overtaken(report):
            return {}
        latest = counts_by_key(report.cells)
        entry = self._entry_by_host.get(report.host)
        earlier: dict[CellKey, AnswerCount] = {}
        if entry is not None:
            if report.began_ms == entry.report.began_ms:
                earlier = entry.count_by_key
            else:
                self._ended_processes.add((report.host, entry.report.began_ms))
                self._ended = self._ended.plus(_without_running(entry.totals))
        self._entry_by_host[report.host] = _Entry(
            report, now_ms, latest, _totals_of(report, latest)
        )
        self._total = None
        return counts_since(latest, earlier)

    def is_overtaken(self, report: EntryReport) -> bool:
        """Return whether a later report of the entry is known."""
        if (report.host, report.began_ms) in self._ended_processes:
            return True
        entry = self._entry_by_host.get(report.host)
        if entry is None or entry.report.began_ms != report.began_ms:
            return False
        return report.number < entry.report.number

    def set_listed(self, hosts: Iterable[str], now_ms: float) -> None:
        """Set the entries that should report."""
        self._listed_ms_by_host = {
            host: self._listed_ms_by_host.get(host, now_ms) for host in hosts
        }

    def totals(self) -> Totals:
        """Return the sums over all entries that ever reported."""
        if self._total is None:
            total = self._ended
            for entry in self._entry_by_host.values():
                total = total.plus(entry.totals)
            self._total = total
        return self._total

    def record_time(self, now_ms: float) -> None:
        """Keep the sums as those of this time."""
        if self._complete_ms == math.inf and self.has_all():
            self._complete_ms = now_ms
        self._history.append((now_ms, self.totals()))
        while self._history[0][0] < now_ms - HISTORY_MS:
            self._history.popleft()

    def totals_at(self, time_ms: float) -> Totals:
        """Return the sums as they were known at a time."""
        found = Totals()
        for known_ms, totals in self._history:
            if known_ms > time_ms:
                break
            found = totals
        return found

    def requests_per_ms(self, now_ms: float, elapsed_ms: float) -> float:
        """Return the highest rate since the order, of late, and right now.

        The last one is taken two standard deviations lower, since it is of few
        requests.
        """
        requests = self.totals().requests
        rate = requests / max(1, elapsed_ms)
        for span_ms, deviations in ((RATE_MS, 0), (BURST_MS, 2)):
            since_ms = now_ms - span_ms
            if since_ms >= self._complete_ms:
                came = requests - self.totals_at(since_ms).requests
                least = came - deviations * math.sqrt(max(0, came))
                rate = max(rate, least / span_ms)
        return rate

    def has_all(self) -> bool:
        """Return whether all listed entries have reported."""
        listed = self._listed_ms_by_host
        return bool(listed) and listed.keys() <= self._entry_by_host.keys()

    def unmoved(self, now_ms: float) -> str:
        """Return an entry that may run something at former builds, if any.

        One that has reported that it moved goes on so for `MOVED_MS`; one that
        was silent for `SILENT_MS` isn't waited for.
        """
        for host in sorted(self._listed_ms_by_host):
            silent_ms = now_ms - self._heard_ms(host)
            entry = self._entry_by_host.get(host)
            is_moved = entry is not None and _has_moved(entry.report)
            least_ms = MOVED_MS if is_moved else -math.inf
            if least_ms < silent_ms <= SILENT_MS:
                return host
        return ''

    def _heard_ms(self, host: str) -> float:
        entry = self._entry_by_host.get(host)
        if entry is None:
            return self._listed_ms_by_host.get(host, -math.inf)
        return entry.heard_ms


def _has_moved(report: EntryReport) -> bool:
    is_moving = report.phase is RolloutPhase.MOVING
    return is_moving and not report.former_running


def _totals_of(report: EntryReport, counts: CountByKey) -> Totals:
    target = sum(
        count.answered for key, count in counts.items() if key.is_target
    )
    answered = sum(count.answered for count in counts.values())
    former = answered - target
    attempts = former + report.former_running + report.sent
    return Totals(
        requests=min(report.requests, attempts),
        sent=report.sent,
        beyond_places=max(0, report.sent - report.granted),
        granted=report.granted,
        target_answered=target,
        former_answered=former,
        former_running=report.former_running,
        target_running=report.target_running,
    )


def _without_running(totals: Totals) -> Totals:
    return Totals(
        requests=totals.requests,
        sent=totals.sent,
        beyond_places=totals.beyond_places,
        granted=totals.granted,
        target_answered=totals.target_answered,
        former_answered=totals.former_answered,
    )
