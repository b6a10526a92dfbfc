"""Choice of the upstream for an attempt."""

from __future__ import annotations

import abc
from dataclasses import dataclass

from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import LoadReport, Pin


@dataclass(frozen=True)
class PlacementRequest:
    """What the choice of an upstream depends on.

    Parameters
    ----------
    prompt_tokens, accepted_tokens
        Lengths of the prompt and of the output that the caller already has.
    prefix_hashes
        Chained hashes of the prompt's blocks, shortest prefix first.
    excluded
        Agents that lost an attempt of this generation or declined it.
    apart_from
        Agent in whose failure domain no upstream is wanted.
    resume
        Whether the attempt continues a generation after a loss.
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
    apart_from: str = ''


class Placement(abc.ABC):
    """Chooses agents and learns from load reports and own dispatches."""

    @abc.abstractmethod
    def choose(self, request: PlacementRequest) -> str:
        """Return the address of the agent to dispatch to.

        Raises
        ------
        RefusedError
            If no upstream may run the pin now.
        """

    def accepts(self, agent: str) -> bool:
        """Return whether a known agent may be given work."""
        return True

    @abc.abstractmethod
    def failure_domain(self, agent: str) -> str:
        """Return the failure domain of an agent, empty if unknown."""

    def utilisation(self, pin: Pin) -> float:
        """Return attempts over slots of the upstreams, 0 if unknown."""
        return 0

    @abc.abstractmethod
    def publish(self, published: PublishedVersion) -> None:
        """Move on to the upstreams of a newer version."""

    @abc.abstractmethod
    def record_load(self, agent: str, load: LoadReport) -> None:
        """Take in a load report that arrived now."""

    @abc.abstractmethod
    def record_dispatch(self, agent: str, request: PlacementRequest) -> None:
        """Count an attempt that was sent to `agent`."""

    @abc.abstractmethod
    def record_end(self, agent: str, request: PlacementRequest) -> None:
        """Uncount an attempt that ended at `agent`."""

    @abc.abstractmethod
    def record_loss(self, agent: str) -> None:
        """Avoid an agent until it is heard from again."""
