"""Baseline placements and a baseline gate that the product is compared to."""

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
    """Base class: knows all agents; avoids lost and excluded ones."""

    clock: Clock
    agents: tuple[str, ...]
    seed: int = 0
    lost: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.draw = random.Random(self.seed)
        self.load_view = LoadView(self.clock)

    def eligible(self, request: PlacementRequest) -> list[str]:
        """Return agents neither lost nor excluded; if none, those not lost."""
        live = [agent for agent in self.agents if agent not in self.lost]
        return [
            agent for agent in live if agent not in request.excluded
        ] or live

    def count(self, agent: str) -> float:
        """Return an agent's attempts: reported ones and later dispatches."""
        load = self.load_view.estimate(agent)
        return load.running + load.queued

    def kv_tokens(self, agent: str) -> float:
        """Return the KV cache tokens: reported ones and later dispatches."""
        return self.load_view.estimate(agent).kv_tokens

    def failure_domain(self, agent: str) -> str:
        """Return the empty string; baselines do not know failure domains."""
        return ''

    def publish(self, published: PublishedVersion) -> None:
        """Replace the agents by those of a newer version."""
        self.agents = tuple(published.upstreams_by_agent)

    def record_load(self, agent: str, load: LoadReport) -> None:
        """Record a load report received now."""
        self.lost.discard(agent)
        self.load_view.record_report(agent, load)

    def record_dispatch(self, agent: str, request: PlacementRequest) -> None:
        """Add a dispatched attempt to the load of `agent`."""
        tokens = request.prompt_tokens + request.accepted_tokens
        self.load_view.record_dispatch(
            agent,
            request.generation,
            tokens,
            tokens,
        )

    def record_end(self, agent: str, request: PlacementRequest) -> None:
        """Remove an ended attempt from the load of `agent`."""
        self.load_view.record_end(agent, request.generation)

    def record_loss(self, agent: str) -> None:
        """Avoid an agent until its next load report."""
        self.lost.add(agent)
        self.load_view.remove(agent)


@dataclass
class RandomChoice(Baseline):
    """Chooses among all agents with equal probability."""

    def choose(self, request: PlacementRequest) -> str:
        """Return a random agent."""
        return self.draw.choice(self.eligible(request))


@dataclass
class RoundRobin(Baseline):
    """Chooses all agents in turn."""

    position: int = 0

    def choose(self, request: PlacementRequest) -> str:
        """Return the next agent."""
        agents = self.eligible(request)
        self.position += 1
        return agents[self.position % len(agents)]


@dataclass
class LeastCount(Baseline):
    """Chooses the agent with the fewest attempts."""

    def choose(self, request: PlacementRequest) -> str:
        """Return the agent with the fewest attempts."""
        return min(self.eligible(request), key=self.count)


@dataclass
class PowerOfTwo(Baseline):
    """Chooses the agent with fewer attempts out of two random ones."""

    def choose(self, request: PlacementRequest) -> str:
        """Return the agent with fewer attempts out of two random ones."""
        agents = self.eligible(request)
        pair = self.draw.sample(agents, min(2, len(agents)))
        return min(pair, key=self.count)


@dataclass
class SizeAware(Baseline):
    """Chooses the agent with the fewest KV cache tokens in use.

    Balancing the used capacity instead of counts follows Equilibrium (Jelten,
    Wollek, Frank, Lasser).
    """

    def choose(self, request: PlacementRequest) -> str:
        """Return the agent with the fewest KV cache tokens."""
        return min(self.eligible(request), key=self.kv_tokens)


@dataclass
class SizeAwareOfTwo(Baseline):
    """Chooses the agent with fewer KV cache tokens out of two random ones."""

    def choose(self, request: PlacementRequest) -> str:
        """Return the agent with fewer KV cache tokens of two random ones."""
        agents = self.eligible(request)
        pair = self.draw.sample(agents, min(2, len(agents)))
        return min(pair, key=self.kv_tokens)


@dataclass
class PrefixAffine(Baseline):
    """Chooses the agent that caches the longest prefix, within a load bound.

    If all such agents exceed `LOAD_BOUND` times the mean number of attempts by
    more than one, or no agent caches a prefix, it chooses the agent with fewer
    attempts out of two random ones.
    """

    prefix_view: PrefixView = field(default_factory=PrefixView)
    sent: Counter[str] = field(default_factory=Counter)

    def choose(self, request: PlacementRequest) -> str:
        """Return an agent that caches the longest prefix, or a fallback."""
        agents = self.eligible(request)
        mean = sum(self.count(agent) for agent in agents) / len(agents)
        holders = self.prefix_view.longest_prefix_agents(request.prefix_hashes)
        candidates = [agent for agent in agents if agent in holders]
        candidates = [
            agent
            for agent in candidates
            if self.count(agent) <= LOAD_BOUND * mean + 1
        ]
        if candidates:
            return min(candidates, key=self.count)
        pair = self.draw.sample(agents, min(2, len(agents)))
        return min(pair, key=self.count)

    def record_load(self, agent: str, load: LoadReport) -> None:
        """Record a load report received now."""
        super().record_load(agent, load)
        self.prefix_view.limit_to_cache(agent, load.kv_capacity)
        self.prefix_view.record(agent, load.cached_prefixes)

    def record_dispatch(self, agent: str, request: PlacementRequest) -> None:
        """Record an attempt and the prefix that it adds to the cache."""
        super().record_dispatch(agent, request)
        self.prefix_view.record(agent, request.prefix_hashes)

    def record_loss(self, agent: str) -> None:
        """Avoid an agent and remove its cached prefixes."""
        super().record_loss(agent)
        self.prefix_view.remove(agent)


class UnboundedPrefixView(PrefixView):
    """Prefix view that ignores the cache capacity of an engine."""

    def limit_to_cache(self, agent: str, kv_capacity: int) -> None:
        """Keep the default bound."""


def unbounded_gate(clock: Clock, rules: GateRules) -> AdmissionGate:
    """Return a gate that limits only running attempts and queues the rest."""
    limits = GateLimits(
        max_running=MAX_RUNNING,
        kv_capacity=KV_CAPACITY,
        prefill_tokens=UNBOUNDED,
        max_queued=UNBOUNDED,
        queue_wait_ms=UNBOUNDED,
        team_threshold=UNBOUNDED,
    )
    return AdmissionGate(clock=clock, limits=limits, rules=rules)
