"""Counts of all entries of a roll-out, as the one that decides knows them."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bergamotthread.process.rollouts.answer_cells import (
    AnswerCount,
    CellKey,
    CountByKey,
    counts_by_key,
    counts_since,
)
from bergamotthread.process.rollouts.reports import EntryReport, RolloutPhase

# An entry answers while its last report is no older than this.
ANSWERS_MS = 1500.0
# Span over which the rate of requests is taken.
RATE_MS = 2000.0
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
    """Last reports of the entries, and what was counted over time.

    Parameters
    ----------
    now_ms
        Time from which reports are collected.
    """

    def __init__(self, now_ms: float) -> None:
        self._entry_by_host: dict[str, _Entry] = {}
        self._listed_ms_by_host: dict[str, float] = {}
        # Counts of processes that ended; their entries began anew at zero.
        self._ended = Totals()
        self._history: deque[tuple[float, Totals]] = deque()
        self._began_ms = now_ms
        self._total: Totals | None = None

    def apply(
        self, report: EntryReport, now_ms: float
    ) -> dict[CellKey, AnswerCount]:
        """Replace the report of an entry, and return its new answers."""
        latest = counts_by_key(report.cells)
        entry = self._entry_by_host.get(report.host)
        earlier: dict[CellKey, AnswerCount] = {}
        if entry is not None:
            if report.requests < entry.report.requests:
                self._ended = self._ended.plus(_without_running(entry.totals))
            else:
                earlier = entry.count_by_key
        self._entry_by_host[report.host] = _Entry(
            report, now_ms, latest, _totals_of(report, latest)
        )
        self._total = None
        return counts_since(latest, earlier)

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
        """Return the higher of the rate of late and that since the order."""
        requests = self.totals().requests
        overall = requests / max(1, elapsed_ms)
        since_ms = now_ms - RATE_MS
        if since_ms < self._began_ms + ANSWERS_MS:
            return overall
        recent = (requests - self.totals_at(since_ms).requests) / RATE_MS
        return max(overall, recent)

    def is_complete(self, now_ms: float) -> bool:
        """Return whether all listed entries answer."""
        return not self.silent(now_ms)

    def silent(self, now_ms: float) -> Mapping[str, float]:
        """Return the listed entries that don't answer, and since when."""
        heard = {host: self._heard_ms(host) for host in self._listed_ms_by_host}
        return {
            host: heard_ms
            for host, heard_ms in heard.items()
            if now_ms - heard_ms > ANSWERS_MS or host not in self._entry_by_host
        }

    def moved(self, now_ms: float) -> bool:
        """Return whether nothing runs at the former builds any more.

        Entries that don't answer aren't asked.
        """
        return all(
            entry.report.phase is RolloutPhase.MOVING
            and not entry.report.former_running
            for entry in self._entry_by_host.values()
            if now_ms - entry.heard_ms <= ANSWERS_MS
        )

    def _heard_ms(self, host: str) -> float:
        entry = self._entry_by_host.get(host)
        if entry is None:
            return self._listed_ms_by_host.get(host, -math.inf)
        return entry.heard_ms


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
