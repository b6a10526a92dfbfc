"""Published agents, and when each was last heard from."""

from __future__ import annotations

from collections.abc import Iterable

from bergamotthread.clock import Clock
from bergamotthread.process.settings import PlaceSettings
from bergamotthread.version.published import PublishedVersion


class AgentRoster:
    """Published agents with the incarnation and time of their last frame.

    The published version determines which agents exist; a frame only shows
    that an agent is running. An entry receives frames only from the agents of
    its subset, so silence of the others has no meaning.

    Parameters
    ----------
    clock
        Clock of the process.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._places_by_model: dict[str, tuple[PlaceSettings, ...]] = {}
        self._agents: frozenset[str] = frozenset()
        self._heard_ms_by_agent: dict[str, float] = {}
        self._incarnation_by_agent: dict[str, int] = {}

    def apply_version(self, version: PublishedVersion) -> None:
        """Replace the agents by those of a published version."""
        places_by_model: dict[str, list[PlaceSettings]] = {}
        for upstream in version.upstreams_by_agent.values():
            place = PlaceSettings(
                upstream.agent,
                version.region_of(upstream),
                upstream.failure_domain,
            )
            models = {pin.model for pin in upstream.models}
            for model in sorted(models):
                places_by_model.setdefault(model, []).append(place)
        self._agents = frozenset(version.upstreams_by_agent)
        self._places_by_model = {
            name: tuple(places) for name, places in places_by_model.items()
        }
        self._remove_unpublished(self._heard_ms_by_agent)
        self._remove_unpublished(self._incarnation_by_agent)

    def places(self, model: str) -> tuple[PlaceSettings, ...]:
        """Return the places of the agents whose upstreams run a model."""
        return self._places_by_model.get(model, ())

    def record_frame(self, agent: str, incarnation: int) -> bool:
        """Record a frame of an agent.

        Returns
        -------
        bool
            False if the frame is from an earlier process of the agent or the
            agent is not published.
        """
        newest = self._incarnation_by_agent.get(agent, incarnation)
        if incarnation < newest or agent not in self._agents:
            return False
        self._incarnation_by_agent[agent] = incarnation
        self._heard_ms_by_agent[agent] = self._clock.now_ms()
        return True

    def silent_agents(
        self, agents: Iterable[str], limit_ms: float
    ) -> frozenset[str]:
        """Return those of `agents` not heard from for `limit_ms`, or never."""
        now_ms = self._clock.now_ms()
        return frozenset(
            agent
            for agent in agents
            if now_ms - self._heard_ms_by_agent.get(agent, -limit_ms)
            >= limit_ms
        )

    def _remove_unpublished(
        self,
        value_by_agent: dict[str, float] | dict[str, int],
    ) -> None:
        for agent in tuple(value_by_agent):
            if agent not in self._agents:
                value_by_agent.pop(agent)
