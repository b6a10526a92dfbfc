"""Entries, agents and engines on an in-memory network, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from bergamotthread.clock import Clock
from bergamotthread.process.agent import Agent, AgentConfig
from bergamotthread.process.explanations.decision_trace import DecisionTrace
from bergamotthread.process.generations.completions import Caller, Completions
from bergamotthread.process.generations.generation_watch import GenerationLimits
from bergamotthread.process.generations.generations import Generations
from bergamotthread.process.membership.observers import Observers
from bergamotthread.process.routing.placement import Placement
from bergamotthread.process.routing.round_robin import RoundRobinPlacement
from bergamotthread.process.routing.routing import ScoredPlacement
from bergamotthread.request.completion import CompletionRequest
from bergamotthread.request.completion_stream import CompletionStream
from bergamotthread.request.cursor import CursorSigner
from bergamotthread.request.live_generation import LiveGeneration
from bergamotthread.request.refusal import Refusal
from bergamotthread.testing.memory_network import (
    MemoryNetwork,
    MemoryTransport,
)
from bergamotthread.version.objects import (
    FailureDomain,
    Model,
    ObjectSet,
    Region,
    Route,
    Service,
    ServiceKind,
    Team,
    Upstream,
)
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Pin
from standins.engine_core import Engine, EngineSpeed
from standins.memory_engine import MemoryEngineClient

PIN = Pin('furnace', 'v1')
TEAM = 'foundry'
_SIGNER_KEY = b'key for tests only'


def agent_address(index: int) -> str:
    """Return the address of the agent with this index."""
    return f'10.0.{index // 250}.{index % 250 + 1}:7000'


def entry_address(index: int) -> str:
    """Return the address of the entry with this index."""
    return f'10.9.{index // 250}.{index % 250 + 1}:7000'


def small_set(agents: int) -> ObjectSet:
    """Return an object set with one model service in two failure domains."""
    return ObjectSet(
        regions=(Region('cuyo'),),
        failure_domains=(
            FailureDomain('cuyo-a', 'cuyo'),
            FailureDomain('cuyo-b', 'cuyo'),
        ),
        teams=(Team(TEAM), Team('other')),
        models=(Model('furnace', ('v1',)),),
        services=(Service('readings', ServiceKind.MODEL),),
        routes=(Route('furnace-log', 'readings', 'furnace', 'v1'),),
        upstreams=tuple(
            Upstream(
                f'engine-{index}',
                agent_address(index),
                ('cuyo-a', 'cuyo-b')[index % 2],
                models=(PIN,),
            )
            for index in range(agents)
        ),
    )


def _unrecorded(refusal: Refusal) -> Refusal:
    return refusal


@dataclass
class AgentNode:
    """An agent, its engine and the task that runs it."""

    agent: Agent
    engine: Engine
    transport: MemoryTransport
    task: asyncio.Task[None]

    def kill(self) -> None:
        """Stop the agent without notice, as the kill of its process does."""
        self.transport.close()
        self.task.cancel()


@dataclass
class EntryNode:
    """An entry without an HTTP server, and the task that runs it."""

    generations: Generations
    completions: Completions
    transport: MemoryTransport
    published: PublishedVersion
    task: asyncio.Task[None]

    def kill(self) -> None:
        """Stop the entry without notice, as the kill of its process does."""
        self.transport.close()
        self.task.cancel()
        for live in self.generations.by_id.values():
            if live.task is not None:
                live.task.cancel()

    def open(
        self,
        request: CompletionRequest,
        caller: Caller | None = None,
    ) -> tuple[LiveGeneration, CompletionStream]:
        """Open a completion with one reader."""
        live, stream = self.completions.open(
            request,
            caller or Caller(TEAM),
            self.published,
        )
        live.readers += 1
        return live, stream


@dataclass
class SmallDeployment:
    """A few agents, and entries that know all agents."""

    agent_count: int = 3
    entry_count: int = 1
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    limits: GenerationLimits = field(default_factory=GenerationLimits)
    agent_config: AgentConfig = field(default_factory=AgentConfig)
    network: MemoryNetwork = field(default_factory=MemoryNetwork)
    round_robin: bool = False
    objects: ObjectSet | None = None
    entry_region: str = 'cuyo'
    trace_writer: Callable[[bytes], None] | None = None

    def __post_init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.clock = Clock.from_loop(loop)
        self.agents = [
            self.start_agent(index) for index in range(self.agent_count)
        ]
        self.entries = [
            self.start_entry(index) for index in range(self.entry_count)
        ]

    def start_agent(
        self,
        index: int,
        *,
        incarnation: int = 1,
        engine: Engine | None = None,
    ) -> AgentNode:
        """Start an agent, with a new engine unless one is given."""
        engine = engine or Engine(self.clock, self.speed, seed=index)
        transport = self.network.transport(agent_address(index), incarnation)
        agent = Agent(
            self.agent_config,
            transport,
            MemoryEngineClient(engine),
            self.clock,
        )
        transport.start(agent.on_message)
        task = asyncio.create_task(agent.run())
        return AgentNode(agent, engine, transport, task)

    def start_entry(self, index: int, *, incarnation: int = 1) -> EntryNode:
        """Start an entry."""
        transport = self.network.transport(entry_address(index), incarnation)
        addresses = [
            agent_address(agent_index)
            for agent_index in range(self.agent_count)
        ]
        published = PublishedVersion.from_object_set(
            1,
            self.objects or small_set(self.agent_count),
        )
        placement: Placement = ScoredPlacement.from_published(
            published,
            self.entry_region,
            self.clock,
            seed=index,
        )
        if self.round_robin:
            placement = RoundRobinPlacement(addresses)
        generations = Generations(
            transport,
            placement,
            self.clock,
            self.limits,
            observers=replace(
                Observers.from_clock(self.clock),
                trace=DecisionTrace(self.clock, self.trace_writer),
            ),
        )
        transport.start(generations.on_message)
        completions = Completions(
            generations,
            CursorSigner((_SIGNER_KEY,)),
            self.clock,
            _unrecorded,
        )
        return EntryNode(
            generations,
            completions,
            transport,
            published,
            asyncio.create_task(generations.run()),
        )

    def node_of(self, live: LiveGeneration) -> AgentNode:
        """Return the agent that runs the current attempt of a generation."""
        address = live.generation.place.agent
        for node in self.agents:
            if node.transport.address == address:
                return node
        raise LookupError(f'no agent has address {address!r}')
