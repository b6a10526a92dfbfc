"""Queue of dispatches that teams share by weight."""

from __future__ import annotations

import bisect
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from bergamotthread.wire.messages import Dispatch

WEIGHT_MIN = 0.000_001
_FINISH_TAGS_MAX = 1024


@dataclass(frozen=True)
class QueuedDispatch:
    """Dispatch that waits, with its position in the queue.

    Parameters
    ----------
    cost
        Expected use of the engine, in prefill tokens.
    start_tag
        Virtual time of the start; -1 for resumed attempts and dispatches with
        priority, which go first.
    order
        Number of dispatches pushed before; decides between equal start tags.
    """

    dispatch: Dispatch
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
        """Return whether the dispatch goes ahead of all new work."""
        return self.start_tag < 0


@dataclass
class FairQueue:
    """Start-time fair queue over teams (Goyal, Vin, Cheng 1996).

    In virtual time, a dispatch starts when the team's previous one finishes,
    or now if that is later. The dispatch with the earliest start goes first.
    """

    weight_of: Callable[[str], float]
    _waiting: list[QueuedDispatch] = field(default_factory=list)
    _finish_tag_by_team: dict[str, float] = field(default_factory=dict)
    _virtual_time: float = 0
    _order: int = 0

    def __len__(self) -> int:
        """Return the number of dispatches that wait."""
        return len(self._waiting)

    @property
    def waiting(self) -> tuple[QueuedDispatch, ...]:
        """Return all waiting dispatches, in order."""
        return tuple(self._waiting)

    def prepare(
        self,
        dispatch: Dispatch,
        deadline_ms: float,
        cost: float,
    ) -> QueuedDispatch:
        """Return the dispatch with its position, without adding it."""
        finish_tag = self._finish_tag_by_team.get(dispatch.team, 0)
        start_tag = max(self._virtual_time, finish_tag)
        if dispatch.accepted or dispatch.priority > 0:
            start_tag = -1
        return QueuedDispatch(
            dispatch, deadline_ms, cost, start_tag, self._order
        )

    def push(self, queued: QueuedDispatch) -> None:
        """Add a dispatch that `prepare` returned."""
        self._order += 1
        bisect.insort(self._waiting, queued, key=_rank)
        if queued.has_priority:
            return
        team = queued.dispatch.team
        virtual_cost = queued.cost / self._weight(team)
        self._finish_tag_by_team[team] = queued.start_tag + virtual_cost
        if len(self._finish_tag_by_team) > _FINISH_TAGS_MAX:
            self._remove_idle_teams()

    def ahead_of(self, queued: QueuedDispatch) -> int:
        """Return how many dispatches go before `queued`."""
        return bisect.bisect_left(self._waiting, queued.rank, key=_rank)

    def remove(self, queued: QueuedDispatch) -> None:
        """Remove a dispatch that will not start."""
        self._waiting.remove(queued)

    def start(self, queued: QueuedDispatch) -> None:
        """Remove a dispatch that starts, and advance the virtual time."""
        self._waiting.remove(queued)
        self._virtual_time = max(self._virtual_time, queued.start_tag)

    def newest_of_heaviest_team(self) -> QueuedDispatch | None:
        """Return the newest dispatch of the team with the largest backlog.

        Only new work counts; None if there is none.
        """
        backlog: Counter[str] = Counter()
        new_work = [
            queued for queued in self._waiting if not queued.has_priority
        ]
        for queued in new_work:
            team = queued.dispatch.team
            backlog[team] += int(queued.cost / self._weight(team))
        if not backlog:
            return None
        heaviest = max(sorted(backlog), key=backlog.__getitem__)
        return [
            candidate
            for candidate in new_work
            if candidate.dispatch.team == heaviest
        ][-1]

    def _weight(self, team: str) -> float:
        return max(self.weight_of(team), WEIGHT_MIN)

    def _remove_idle_teams(self) -> None:
        self._finish_tag_by_team = {
            team: finish_tag
            for team, finish_tag in self._finish_tag_by_team.items()
            if finish_tag > self._virtual_time
        }


def _rank(queued: QueuedDispatch) -> tuple[float, int]:
    return queued.rank
