"""Random sequences of faults: each answer is complete or correctly refused."""

import asyncio
import contextlib
from dataclasses import dataclass, field

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotthread.process.agent import AgentConfig
from bergamotthread.process.generations.completions import Caller
from bergamotthread.request.completion import CompletionRequest
from bergamotthread.request.completion_stream import CompletionStream
from bergamotthread.request.live_generation import LiveGeneration
from bergamotthread.request.refusal import Ran, Refusal, RefusedError
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.wire.messages import DrainNotice, Envelope
from standins.engine_core import EngineSpeed
from standins.small_deployment import (
    TEAM,
    SmallDeployment,
    agent_address,
    entry_address,
)
from standins.tokens import verify_answer

AGENTS = 3
ENTRIES = 2
COUNT = 80
SETTLE_MS = 150_000
POLL_MS = 500
SPEED = EngineSpeed(token_interval_ms=15, stop_at=COUNT)


@dataclass(frozen=True)
class Start:
    """A caller sends a request to an entry."""

    entry: int


@dataclass(frozen=True)
class Advance:
    """Time passes."""

    duration_ms: int


@dataclass(frozen=True)
class KillEngine:
    """An engine dies."""

    agent: int


@dataclass(frozen=True)
class ReviveEngine:
    """An engine restarts."""

    agent: int


@dataclass(frozen=True)
class PauseEngine:
    """An engine makes no progress for a time."""

    agent: int
    duration_ms: int


@dataclass(frozen=True)
class KillAgent:
    """An agent's process ends, with or without its engine."""

    agent: int
    with_engine: bool


@dataclass(frozen=True)
class ReplaceAgent:
    """A new process starts at an agent's address."""

    agent: int


@dataclass(frozen=True)
class Cut:
    """Messages between an entry and an agent are lost."""

    entry: int
    agent: int
    to_agent: bool
    from_agent: bool


@dataclass(frozen=True)
class Heal:
    """All links work again."""


@dataclass(frozen=True)
class Disturb:
    """Messages are delayed, lost or duplicated from now on."""

    jitter_ms: int
    loss: float
    duplication: float


@dataclass(frozen=True)
class Drain:
    """An agent is told to drain."""

    agent: int
    deadline_ms: int


@dataclass(frozen=True)
class KillEntry:
    """An entry dies; its callers reconnect through the other one."""

    entry: int
    bring_tokens: bool
    after_ms: int


@dataclass(frozen=True)
class SlowCaller:
    """The newest caller stops reading or continues."""

    reading: bool


_agents = st.integers(0, AGENTS - 1)
_entries = st.integers(0, ENTRIES - 1)
_ACTIONS = st.one_of(
    st.builds(Start, _entries),
    st.builds(Start, _entries),
    st.builds(Advance, st.sampled_from([1, 20, 120, 400, 1100, 4000])),
    st.builds(Advance, st.sampled_from([1, 20, 120, 400, 1100, 4000])),
    st.builds(KillEngine, _agents),
    st.builds(ReviveEngine, _agents),
    st.builds(PauseEngine, _agents, st.sampled_from([300, 2500, 30_000])),
    st.builds(KillAgent, _agents, st.booleans()),
    st.builds(ReplaceAgent, _agents),
    st.builds(Cut, _entries, _agents, st.booleans(), st.booleans()),
    st.builds(Heal),
    st.builds(
        Disturb,
        st.sampled_from([0, 30, 200]),
        st.sampled_from([0, 0.05, 0.2]),
        st.sampled_from([0, 0.3]),
    ),
    st.builds(Drain, _agents, st.sampled_from([3000, 40_000])),
    st.builds(
        KillEntry,
        _entries,
        st.booleans(),
        st.sampled_from([1, 500, 3000]),
    ),
    st.builds(SlowCaller, st.booleans()),
)
Action = (
    Start
    | Advance
    | KillEngine
    | ReviveEngine
    | PauseEngine
    | KillAgent
    | ReplaceAgent
    | Cut
    | Heal
    | Disturb
    | Drain
    | KillEntry
    | SlowCaller
)


@dataclass(eq=False)
class Reader:
    """A caller and everything it received, across reconnects."""

    prompt: str
    entry: int
    tokens: list[str] = field(default_factory=list)
    cursor: str = ''
    whole: bool = False
    refused: bool = False
    refusal: Refusal | None = None
    live: LiveGeneration | None = None
    task: asyncio.Task[None] | None = None
    may_read: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def is_over(self) -> bool:
        return self.whole or self.refused

    async def read(self, stream: CompletionStream) -> None:
        async with contextlib.aclosing(stream.events()) as events:
            async for event in events:
                await self.may_read.wait()
                self.take(event.decode())

    def take(self, event: str) -> None:
        if event.startswith('event: error'):
            assert self.live is not None
            self.refusal = self.live.generation.refusal
            self.refused = True
            return
        for line in event.splitlines():
            name, _, value = line.partition(': ')
            if name == 'id':
                self.cursor = value
            elif value.startswith('{'):
                choice = msgspec.json.decode(value)['choices'][0]
                self.tokens.extend(choice.get('tokens', ()))
                if choice.get('finish_reason') is not None:
                    assert choice['finish_reason'] == 'stop', choice
                    self.whole = True

    def check(self, started: set[str]) -> None:
        """Check the tokens that the caller and its entry have.

        A refusal that states `Ran.NOT_RUN` must be true: no engine started the
        generation.
        """
        verify_answer(self.prompt, ''.join(self.tokens), len(self.tokens))
        if self.whole:
            assert len(self.tokens) == COUNT
        if self.live is not None:
            accepted = self.live.generation.tokens
            verify_answer(self.prompt, ''.join(accepted), len(accepted))
        refusal = self.refusal
        if refusal is not None and refusal.ran is Ran.NOT_RUN:
            assert not self.tokens
            assert refusal.request_id not in started, refusal


class World:
    """Deployment with injected faults, and its callers."""

    def __init__(self) -> None:
        self.deployment = SmallDeployment(
            agent_count=AGENTS,
            entry_count=ENTRIES,
            speed=SPEED,
            agent_config=AgentConfig(window_tokens=24),
        )
        self.network = self.deployment.network
        self.incarnation = 1
        self.readers: list[Reader] = []

    async def apply(self, action: Action) -> None:
        agents = self.deployment.agents
        match action:
            case Start(entry):
                self.start(entry)
            case Advance(duration_ms):
                await self.deployment.clock.sleep_ms(duration_ms)
            case KillEngine(agent):
                agents[agent].engine.die()
            case ReviveEngine(agent):
                agents[agent].engine.revive()
            case PauseEngine(agent, duration_ms):
                agents[agent].engine.pause(duration_ms)
            case KillAgent(agent, with_engine):
                agents[agent].kill()
                if with_engine:
                    agents[agent].engine.die()
            case ReplaceAgent(agent):
                self.replace_agent(agent)
            case Cut():
                self.cut(action)
            case Heal():
                self.network.heal()
            case Disturb(jitter_ms, loss, duplication):
                self.network.jitter_ms = jitter_ms
                self.network.loss = loss
                self.network.duplication = duplication
            case Drain(agent, deadline_ms):
                self.drain(agent, deadline_ms)
            case KillEntry():
                await self.kill_entry(action)
            case SlowCaller(reading):
                self.slow(reading=reading)

    def start(self, entry: int) -> Reader:
        reader = Reader(f'melt log {len(self.readers)}', entry)
        reader.may_read.set()
        self.readers.append(reader)
        self.open(reader, Caller(TEAM), ())
        return reader

    def open(
        self,
        reader: Reader,
        caller: Caller,
        accepted: tuple[str, ...],
    ) -> None:
        request = CompletionRequest(
            'furnace',
            reader.prompt,
            max_tokens=2 * COUNT,
            include_tokens=True,
            accepted_tokens=accepted,
        )
        entry = self.deployment.entries[reader.entry]
        try:
            reader.live, stream = entry.open(request, caller)
        except RefusedError as error:
            reader.refusal = error.refusal
            reader.refused = True
        else:
            reader.task = asyncio.create_task(reader.read(stream))

    def replace_agent(self, agent: int) -> None:
        replaced = self.deployment.agents[agent]
        replaced.kill()
        self.incarnation += 1
        self.deployment.agents[agent] = self.deployment.start_agent(
            agent,
            incarnation=self.incarnation,
            engine=replaced.engine,
        )

    def cut(self, action: Cut) -> None:
        entry = entry_address(action.entry)
        agent = agent_address(action.agent)
        if action.to_agent:
            self.network.cut(entry, agent)
        if action.from_agent:
            self.network.cut(agent, entry)

    def drain(self, agent: int, deadline_ms: int, *, on: bool = True) -> None:
        notice = DrainNotice(
            draining=on, reason='test', deadline_ms=deadline_ms
        )
        node = self.deployment.agents[agent]
        node.agent.on_message(Envelope('operator', 1, notice))

    async def kill_entry(self, action: KillEntry) -> None:
        entry = action.entry
        affected = [reader for reader in self.readers if reader.entry == entry]
        affected = [reader for reader in affected if not reader.is_over]
        self.deployment.entries[entry].kill()
        for reader in affected:
            if reader.task is not None:
                reader.task.cancel()
        self.incarnation += 1
        self.deployment.entries[entry] = self.deployment.start_entry(
            entry,
            incarnation=self.incarnation,
        )
        await self.deployment.clock.sleep_ms(action.after_ms)
        for reader in affected:
            reader.entry = 1 - entry
            has_tokens = action.bring_tokens and reader.cursor
            accepted = tuple(reader.tokens) if has_tokens else ()
            caller = Caller(TEAM, last_event_id=reader.cursor)
            self.open(reader, caller, accepted)

    def slow(self, *, reading: bool) -> None:
        if not self.readers:
            return
        if reading:
            self.readers[-1].may_read.set()
        else:
            self.readers[-1].may_read.clear()

    def heal(self) -> None:
        self.network.heal()
        self.network.jitter_ms = 0
        self.network.loss = 0
        self.network.duplication = 0
        for agent, node in enumerate(self.deployment.agents):
            node.engine.revive()
            self.replace_agent(agent)
            self.drain(agent, 0, on=False)
        for reader in self.readers:
            reader.may_read.set()

    def check(self) -> None:
        started = {
            request_id.rpartition('/')[0]
            for node in self.deployment.agents
            for request_id in node.engine.counts.started_ids
        }
        for reader in self.readers:
            reader.check(started)

    async def settle(self) -> None:
        """Remove all faults and check that every generation ends."""
        self.heal()
        waited_ms = 0
        while not all(reader.is_over for reader in self.readers):
            assert waited_ms < SETTLE_MS, [
                (reader.live and reader.live.generation.state, reader.refusal)
                for reader in self.readers
                if not reader.is_over
            ]
            await self.deployment.clock.sleep_ms(POLL_MS)
            waited_ms += POLL_MS
            self.check()


async def run_faults(actions: list[Action]) -> None:
    """Apply actions, check the invariants after each and settle at the end."""
    world = World()
    world.start(0)
    for action in actions:
        await world.apply(action)
        world.check()
    await world.settle()
    await world.deployment.clock.sleep_ms(12_000)
    last = world.start(0)
    await world.settle()
    assert last.whole, last.refusal


@settings(max_examples=30)
@given(st.lists(_ACTIONS, min_size=3, max_size=14))
def test_answers_are_whole_or_refused(actions: list[Action]) -> None:
    run_virtual(run_faults(actions))
