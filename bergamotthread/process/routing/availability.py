"""Availability of agents for new work."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.routing.load_view import LoadView
from bergamotthread.process.routing.upstream_pool import UpstreamPool

DOMAIN_AVOIDANCE_MS = 5000


@dataclass
class Availability:
    """Tracks lost, draining, leaving and stopping agents.

    A loss makes its failure domain one to avoid for `DOMAIN_AVOIDANCE_MS`.
    """

    clock: Clock
    pool: UpstreamPool
    load_view: LoadView
    leaving: frozenset[str] = frozenset()
    _lost: set[str] = field(default_factory=set)
    _lost_ms_by_agent: dict[str, float] = field(default_factory=dict)

    def accepts(self, agent: str) -> bool:
        """Return whether an agent is available for new work."""
        return not (
            agent in self._lost
            or agent in self.leaving
            or self.load_view.is_draining(agent)
            or self.pool.is_stopping(agent, self.clock.calendar_ms())
        )

    def record_heard(self, agent: str) -> None:
        """Mark a lost agent as available again."""
        self._lost.discard(agent)

    def record_loss(self, agent: str) -> None:
        """Exclude an agent until heard from; avoid its domain for a while."""
        self._lost.add(agent)
        self._lost_ms_by_agent[agent] = self.clock.now_ms()

    def avoided_domains(self, losses_max: int) -> frozenset[str]:
        """Return failure domains with many recently lost agents.

        A domain is returned if it lost more than `losses_max` agents within
        `DOMAIN_AVOIDANCE_MS`.
        """
        since_ms = self.clock.now_ms() - DOMAIN_AVOIDANCE_MS
        self._lost_ms_by_agent = {
            agent: lost_ms
            for agent, lost_ms in self._lost_ms_by_agent.items()
            if lost_ms > since_ms
        }
        losses = Counter(
            map(self.pool.failure_domain_of, self._lost_ms_by_agent)
        )
        return frozenset(
            domain for domain, count in losses.items() if count > losses_max
        )
