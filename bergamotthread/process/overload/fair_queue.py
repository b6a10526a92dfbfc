"""Queue of work that teams share by weight."""

from __future__ import annotations

import bisect
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

WEIGHT_MIN = 0.000_001
_FINISH_TAGS_MAX = 1024

_Work = TypeVar('_Work')


@dataclass(frozen=True)
class QueuedWork(Generic[_Work]):
    """Work that waits, with its position in the queue.

    Parameters
    ----------
    cost
        Expected use of the upstream, in any unit that all work shares.
    start_tag
        Virtual time of the start; -1 for work with priority, which goes first.
    order
        Number of pieces of work pushed before; decides between equal start
        tags.
    """

    work: _Work
    team: str
    deadline_ms: float
    cost: float
    start_tag: float
    order: int

    @property
    def rank(self) -> tuple[float, int]:
        """Return the sort key."""
        return (self.start_tag, self.order)

    @property
    def has_priority(self) -> bool:
        """Return whether the work goes ahead of all that has no priority."""
        return self.start_tag < 0


@dataclass
class FairQueue(Generic[_Work]):
    """Start-time fair queue over teams (Goyal, Vin, Cheng 1996).

    In virtual time, a piece of work starts when the team's previous one
    finishes, or now if that is later. The one with the earliest start goes
    first.
    """

    weight_of: Callable[[str], float]
    _waiting: list[QueuedWork[_Work]] = field(default_factory=list)
    _finish_tag_by_team: dict[str, float] = field(default_factory=dict)
    _virtual_time: float = 0
    _order: int = 0

    def __len__(self) -> int:
        """Return the number of pieces of work that wait."""
        return len(self._waiting)

    @property
    def waiting(self) -> tuple[QueuedWork[_Work], ...]:
        """Return all waiting work, in order."""
        return tuple(self._waiting)

    def prepare(
        self,
        work: _Work,
        team: str,
        deadline_ms: float,
        cost: float,
        *,
        has_priority: bool = False,
    ) -> QueuedWork[_Work]:
        """Return work with its position, without adding it."""
        finish_tag = self._finish_tag_by_team.get(team, 0)
        start_tag = max(self._virtual_time, finish_tag)
        if has_priority:
            start_tag = -1
        return QueuedWork(work, team, deadline_ms, cost, start_tag, self._order)

    def push(self, queued: QueuedWork[_Work]) -> None:
        """Add work that `prepare` returned."""
        self._order += 1
        bisect.insort(self._waiting, queued, key=_rank)
        if queued.has_priority:
            return
        team = queued.team
        virtual_cost = queued.cost / self._weight(team)
        self._finish_tag_by_team[team] = queued.start_tag + virtual_cost
        if len(self._finish_tag_by_team) > _FINISH_TAGS_MAX:
            self._remove_idle_teams()

    def ahead_of(self, queued: QueuedWork[_Work]) -> int:
        """Return how many pieces of work go before `queued`."""
        return bisect.bisect_left(self._waiting, queued.rank, key=_rank)

    def remove(self, queued: QueuedWork[_Work]) -> None:
        """Remove work that will not start."""
        self._waiting.remove(queued)

    def start(self, queued: QueuedWork[_Work]) -> None:
        """Remove work that starts, and advance the virtual time."""
        self._waiting.remove(queued)
        self._virtual_time = max(self._virtual_time, queued.start_tag)

    def newest_of_heaviest_team(self) -> QueuedWork[_Work] | None:
        """Return the newest work of the team with the largest backlog.

        Work with priority does not count; None if there is no other.
        """
        backlog: Counter[str] = Counter()
        new_work = [
            queued for queued in self._waiting if not queued.has_priority
        ]
        for queued in new_work:
            team = queued.team
            backlog[team] += int(queued.cost / self._weight(team))
        if not backlog:
            return None
        heaviest = max(sorted(backlog), key=backlog.__getitem__)
        return [
            candidate for candidate in new_work if candidate.team == heaviest
        ][-1]

    def _weight(self, team: str) -> float:
        return max(self.weight_of(team), WEIGHT_MIN)

    def _remove_idle_teams(self) -> None:
        self._finish_tag_by_team = {
            team: finish_tag
            for team, finish_tag in self._finish_tag_by_team.items()
            if finish_tag > self._virtual_time
        }


def _rank(queued: QueuedWork[_Work]) -> tuple[float, int]:
    return queued.rank
