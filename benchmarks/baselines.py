"""Placements and a gate to compare the product's with."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from benchmarks.engine_model import KV_CAPACITY, MAX_RUNNING
from bergamotthread.clock import Clock
from bergamotthread.process.overload.admission import (
    AdmissionGate,
    GateLimits,
    GateRules,
)
from bergamotthread.process.routing.load_view import LoadView
from bergamotthread.process.routing.placement import Placement, PlacementRequest
from bergamotthread.process.routing.prefix_hash import PrefixView
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import LoadReport

LOAD_BOUND = 1.25
UNBOUNDED = 1_000_000_000


@dataclass
class Baseline(Placement):
    """Common part: knows all agents, avoids lost and excluded ones."""

    clock: Clock
    agents: tuple[str, ...]
    seed: int = 0
    lost: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.draw = random.Random(self.seed)
        self.load_view = LoadView(self.clock)

    def eligible(self, request: PlacementRequest) -> list[str]:
        """Return agents that are neither lost nor excluded."""
        live = [one for one in self.agents if one not in self.lost]
        return [one for one in live if one not in request.excluded] or live

    def count(self, agent: str) -> float:
        """Return the attempts at an agent, as reported and as sent."""
        load = self.load_view.estimate(agent)
        return load.running + load.queued

    def kv_tokens(self, agent: str) -> float:
        """Return the cache tokens at an agent, as reported and as sent."""
        return self.load_view.estimate(agent).kv_tokens

    def failure_domain(self, agent: str) -> str:
        """Return nothing, since the domains are not known."""
        return ''

    def publish(self, published: PublishedVersion) -> None:
        """Take the agents of a newer version."""
        self.agents = tuple(published.upstreams_by_agent)

    def record_load(self, agent: str, load: LoadReport) -> None:
        """Take in a load report that arrived now."""
        self.lost.discard(agent)
        self.load_view.record_report(agent, load)

    def record_dispatch(self, agent: str, request: PlacementRequest) -> None:
        """Count an attempt that was sent to `agent`."""
        tokens = request.prompt_tokens + request.accepted_tokens
        self.load_view.record_dispatch(
            agent,
            request.generation,
            tokens,
            tokens,
        )

    def record_end(self, agent: str, request: PlacementRequest) -> None:
        """Uncount an attempt that ended at `agent`."""
        self.load_view.record_end(agent, request.generation)

    def record_loss(self, agent: str) -> None:
        """Avoid an agent until it is heard from again."""
        self.lost.add(agent)
        self.load_view.remove(agent)


@dataclass
class RandomChoice(Baseline):
    """Any agent with the same probability."""

    def choose(self, request: PlacementRequest) -> str:
        """Return a random agent."""
        return self.draw.choice(self.eligible(request))


@dataclass
class RoundRobin(Baseline):
    """All agents in turn."""

    position: int = 0

    def choose(self, request: PlacementRequest) -> str:
        """Return the next agent."""
        agents = self.eligible(request)
        self.position += 1
        return agents[self.position % len(agents)]


@dataclass
class LeastCount(Baseline):
    """The agent with the fewest attempts, of all."""

    def choose(self, request: PlacementRequest) -> str:
        """Return the agent with the fewest attempts."""
        return min(self.eligible(request), key=self.count)


@dataclass
class PowerOfTwo(Baseline):
    """The one with fewer attempts of two random agents."""

    def choose(self, request: PlacementRequest) -> str:
        """Return the less loaded of two."""
        agents = self.eligible(request)
        pair = self.draw.sample(agents, min(2, len(agents)))
        return min(pair, key=self.count)


@dataclass
class SizeAware(Baseline):
    """The agent with the fewest cache tokens in use, of all.

    Equal use of capacity rather than equal counts is the idea of Equilibrium
    (Jelten, Wollek, Frank, Lasser).
    """

    def choose(self, request: PlacementRequest) -> str:
        """Return the agent with the emptiest cache."""
        return min(self.eligible(request), key=self.kv_tokens)


@dataclass
class SizeAwareOfTwo(Baseline):
    """The one with fewer cache tokens of two random agents."""

    def choose(self, request: PlacementRequest) -> str:
        """Return the emptier of two."""
        agents = self.eligible(request)
        pair = self.draw.sample(agents, min(2, len(agents)))
        return min(pair, key=self.kv_tokens)


@dataclass
class PrefixAffine(Baseline):
    """The agent that caches the longest prefix, within a load bound.

    Where it has more than `LOAD_BOUND` times the mean count, or none caches
    any, the less loaded of two is taken.
    """

    prefix_view: PrefixView = field(default_factory=PrefixView)
    sent: Counter[str] = field(default_factory=Counter)

    def choose(self, request: PlacementRequest) -> str:
        """Return the holder of the longest prefix unless it is too busy."""
        agents = self.eligible(request)
        mean = sum(self.count(one) for one in agents) / len(agents)
        holders = self.prefix_view.longest_prefix_agents(request.prefix_hashes)
        free = [one for one in agents if one in holders]
        free = [one for one in free if self.count(one) <= LOAD_BOUND * mean + 1]
        if free:
            return min(free, key=self.count)
        pair = self.draw.sample(agents, min(2, len(agents)))
        return min(pair, key=self.count)

    def record_load(self, agent: str, load: LoadReport) -> None:
        """Take in a load report that arrived now."""
        super().record_load(agent, load)
        self.prefix_view.limit_to_cache(agent, load.kv_capacity)
        self.prefix_view.record(agent, load.cached_prefixes)

    def record_dispatch(self, agent: str, request: PlacementRequest) -> None:
        """Count an attempt and the prefix that it leaves in the cache."""
        super().record_dispatch(agent, request)
        self.prefix_view.record(agent, request.prefix_hashes)

    def record_loss(self, agent: str) -> None:
        """Avoid an agent and forget its cache."""
        super().record_loss(agent)
        self.prefix_view.remove(agent)


class UnboundedPrefixView(PrefixView):
    """View that ignores how much an engine can cache."""

    def limit_to_cache(self, agent: str, kv_capacity: int) -> None:
        """Keep the fixed bound."""


def unbounded_gate(clock: Clock, rules: GateRules) -> AdmissionGate:
    """Return a gate that queues everything and bounds only the slots."""
    limits = GateLimits(
        max_running=MAX_RUNNING,
        kv_capacity=KV_CAPACITY,
        prefill_tokens=UNBOUNDED,
        max_queued=UNBOUNDED,
        queue_wait_ms=UNBOUNDED,
        team_threshold=UNBOUNDED,
    )
    return AdmissionGate(clock=clock, limits=limits, rules=rules)
