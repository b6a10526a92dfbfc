"""Interface of the strategies that select the upstream of an attempt."""

from __future__ import annotations

import abc
from dataclasses import dataclass

from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import LoadReport, Pin


@dataclass(frozen=True)
class PlacementRequest:
    """Attempt to place, with the properties that the selection depends on.

    Parameters
    ----------
    prompt_tokens, accepted_tokens
        Tokens of the prompt and of the output that the caller already has.
    prefix_hashes
        Chained hashes of the prompt's blocks, shortest prefix first.
    excluded
        Agents not to use, such as those that lost or declined an attempt of
        this generation.
    resume
        Whether an earlier attempt of the generation may have run.
    cross_region
        Whether upstreams outside the own region may be used.
    regions
        Regions that may be used; empty for all.
    avoid_domain_of
        Agent whose failure domain is avoided where others are left; empty for
        none.
    """

    generation: str
    team: str
    pin: Pin
    prompt_tokens: int
    accepted_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    excluded: frozenset[str] = frozenset()
    resume: bool = False
    cross_region: bool = True
    regions: tuple[str, ...] = ()
    avoid_domain_of: str = ''


class Placement(abc.ABC):
    """Selects agents, based on load reports and own dispatches."""

    @abc.abstractmethod
    def choose(self, request: PlacementRequest) -> str:
        """Return the address of the agent to dispatch to.

        Raises
        ------
        RefusedError
            If no upstream can run the pin now.
        """

    def accepts(self, agent: str) -> bool:
        """Return whether a known agent is available for new work."""
        return True

    @abc.abstractmethod
    def failure_domain(self, agent: str) -> str:
        """Return the failure domain of an agent, empty if unknown."""

    def utilisation(self, pin: Pin) -> float:
        """Return the attempts per slot of the upstreams, 0 if unknown."""
        return 0

    @abc.abstractmethod
    def publish(self, published: PublishedVersion) -> None:
        """Switch to the upstreams of a newer version."""

    @abc.abstractmethod
    def record_load(self, agent: str, load: LoadReport) -> None:
        """Record a load report that has just arrived."""

    @abc.abstractmethod
    def record_dispatch(self, agent: str, request: PlacementRequest) -> None:
        """Record that an attempt was sent to `agent`."""

    @abc.abstractmethod
    def record_end(self, agent: str, request: PlacementRequest) -> None:
        """Record that an attempt at `agent` has ended."""

    @abc.abstractmethod
    def record_loss(self, agent: str) -> None:
        """Exclude an agent until it is heard from again."""
