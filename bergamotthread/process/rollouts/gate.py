"""What the relays of an entry ask and tell of the roll-outs under way."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from bergamotthread.process.rollouts.build_plan import ANY_BUILD, BuildPlan


@dataclass(frozen=True, slots=True)
class UpstreamBuild:
    """Upstream of a service, with what tells roll-outs apart."""

    instance: str
    service: str
    build: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class AnswerSample:
    """Outcome of one attempt at an upstream.

    Attempts whose upstream was lost are no samples: the loss may be that of
    its failure domain.

    Parameters
    ----------
    failed
        Whether the upstream answered that it failed, with a status of 500 or
        more for a request that it ran.
    latency_ms
        Time from the send to the whole answer or, of a stream, to its first
        event, for each 1,000 tokens of its prompt.
    pace_ms
        Mean time between the events of a stream; 0 for other answers.
    """

    upstream: UpstreamBuild
    route: str
    failed: bool
    latency_ms: float
    pace_ms: float = 0


class RolloutGate(ABC):
    """Limits what the build of a roll-out gets, and records its answers."""

    @abstractmethod
    def record_request(self, service: str) -> None:
        """Record a caller's request for a service, before it is placed."""

    @abstractmethod
    def plan(self, service: str, bound_build: str | None = None) -> BuildPlan:
        """Return where a request may run now.

        Parameters
        ----------
        bound_build
            Build to which a stream under way is bound; None for a new request.
        """

    @abstractmethod
    def has_withdrawn(self, service: str, build: str) -> bool:
        """Return whether a build gets nothing more, streams under way included.

        One that only lacks a directive for now may get more.
        """

    @abstractmethod
    def admit(self, upstream: UpstreamBuild, *, is_bound: bool) -> bool:
        """Return whether an attempt may be sent now, and count it if so.

        Called just before its first byte. An attempt that continues a stream at
        the build to which it is bound is counted and admitted while the build
        may run requests at all.
        """

    @abstractmethod
    def record_ended(self, upstream: UpstreamBuild) -> None:
        """Record that an attempt that was admitted has ended."""

    @abstractmethod
    def record_answer(self, sample: AnswerSample) -> None:
        """Record an answer of an upstream."""


class NoRollouts(RolloutGate):
    """Gate where no roll-outs are ordered: any build may be chosen."""

    def record_request(self, service: str) -> None:
        """Do nothing."""

    def plan(self, service: str, bound_build: str | None = None) -> BuildPlan:
        """Return that any build may be chosen."""
        return ANY_BUILD

    def has_withdrawn(self, service: str, build: str) -> bool:
        """Return False."""
        return False

    def admit(self, upstream: UpstreamBuild, *, is_bound: bool) -> bool:
        """Return True."""
        return True

    def record_ended(self, upstream: UpstreamBuild) -> None:
        """Do nothing."""

    def record_answer(self, sample: AnswerSample) -> None:
        """Do nothing."""
