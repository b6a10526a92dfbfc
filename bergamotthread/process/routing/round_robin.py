"""Round-robin placement, a baseline that ignores load."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

from bergamotthread.errors import Step
from bergamotthread.process.routing.placement import Placement, PlacementRequest
from bergamotthread.request.refusal import (
    Ran,
    ReasonCode,
    Refusal,
    RefusedError,
)
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import LoadReport


class RoundRobinPlacement(Placement):
    """Selects the agents in turn, whatever their load."""

    def __init__(self, agents: Sequence[str]) -> None:
        self._agents = tuple(agents)
        self._turns = itertools.count()

    def choose(self, request: PlacementRequest) -> str:
        """Return the next agent that is not excluded."""
        for _ in self._agents:
            agent = self._agents[next(self._turns) % len(self._agents)]
            if agent not in request.excluded:
                return agent
        raise RefusedError(
            Refusal(
                reason=ReasonCode.NO_UPSTREAM,
                detail=f'no upstream left of {len(self._agents)}',
                step=Step.ROUTE,
                ran=Ran.NOT_RUN,
            ),
        )

    def failure_domain(self, agent: str) -> str:
        """Return an empty string, since the domains are unknown."""
        return ''

    def publish(self, published: PublishedVersion) -> None:
        """Switch to the agents of a newer version."""
        self._agents = tuple(published.upstreams_by_agent)

    def record_load(self, agent: str, load: LoadReport) -> None:
        """Ignore the report."""

    def record_dispatch(self, agent: str, request: PlacementRequest) -> None:
        """Ignore the dispatch."""

    def record_end(self, agent: str, request: PlacementRequest) -> None:
        """Ignore the end."""

    def record_loss(self, agent: str) -> None:
        """Ignore the loss."""
