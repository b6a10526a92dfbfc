"""Agents that an entry knows: published ones, and when each was heard."""

from __future__ import annotations

from collections.abc import Iterable

from bergamotthread.clock import Clock
from bergamotthread.process.settings import PlaceSettings
from bergamotthread.version.published import PublishedVersion


class AgentRoster:
    """Published agents with the incarnation and time of their last frame.

    An agent exists because it is published; frames only tell that it is
    there now. Entries hear from the agents of their subset alone, so silence
    of others means nothing.

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
        self._forget_unpublished(self._heard_ms_by_agent)
        self._forget_unpublished(self._incarnation_by_agent)

    def places(self, model: str) -> tuple[PlaceSettings, ...]:
        """Return the places of the agents whose upstreams run a model."""
        return self._places_by_model.get(model, ())

    def note_heard(self, agent: str, incarnation: int) -> bool:
        """Take in a frame; return False if it is of an earlier process."""
        known = self._incarnation_by_agent.get(agent, incarnation)
        if incarnation < known or agent not in self._agents:
            return False
        self._incarnation_by_agent[agent] = incarnation
        self._heard_ms_by_agent[agent] = self._clock.now_ms()
        return True

    def silent(self, agents: Iterable[str], limit_ms: float) -> frozenset[str]:
        """Return those of `agents` that were not heard for `limit_ms`."""
        now_ms = self._clock.now_ms()
        return frozenset(
            agent
            for agent in agents
            if now_ms - self._heard_ms_by_agent.get(agent, -limit_ms)
            >= limit_ms
        )

    def _forget_unpublished(
        self,
        known: dict[str, float] | dict[str, int],
    ) -> None:
        for agent in tuple(known):
            if agent not in self._agents:
                known.pop(agent)
