"""Drain of an agent behind an entry: no new work, no generation interrupted."""

import asyncio
from collections.abc import Callable
from functools import partial

import pytest

from bergamotthread.clock import Clock
from bergamotthread.process.drain.drain_state import DrainState
from bergamotthread.process.membership.own_host_watch import (
    AGENT_READS_PER_S,
    OwnHostWatch,
)
from bergamotthread.process.store.platform import HostEntry
from bergamotthread.request.completion import CompletionRequest
from bergamotthread.request.live_generation import LiveGeneration
from bergamotthread.testing.memory_platform import (
    MemoryHostList,
    MemoryPlatform,
)
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.version.objects import ObjectSet, Stop
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import DrainNotice, Envelope
from standins.engine_core import EngineSpeed
from standins.small_deployment import (
    SmallDeployment,
    agent_address,
    small_set,
)
from standins.tokens import verify_answer

COUNT = 150
REQUEST_INTERVAL_MS = 50
LEAD_MS = 1500
GATE_MS = 2000
SPEED = EngineSpeed(stop_at=COUNT)


class Load:
    """Callers that send requests at a constant rate and read to the end."""

    def __init__(self, deployment: SmallDeployment) -> None:
        self.deployment = deployment
        self.lives: list[LiveGeneration] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def offer(self, duration_ms: float) -> None:
        for _ in range(int(duration_ms / REQUEST_INTERVAL_MS)):
            prompt = f'melt {len(self.lives)}'
            request = CompletionRequest('furnace', prompt, max_tokens=999)
            live, stream = self.deployment.entries[0].open(request)
            self.lives.append(live)
            self.tasks.append(asyncio.create_task(self._read(live, stream)))
            await self.deployment.clock.sleep_ms(REQUEST_INTERVAL_MS)

    async def _read(self, live, stream) -> None:
        async for _ in stream.events():
            pass
        assert live.generation.refusal is None, live.generation.refusal
        spec = live.generation.spec
        verify_answer(spec.prompt, ''.join(live.generation.tokens), COUNT)

    async def finish(self) -> None:
        await asyncio.gather(*self.tasks)


def _signal(deployment: SmallDeployment, _: MemoryPlatform) -> None:
    deployment.agents[0].agent.drain.apply_signal()


def _notice(deployment: SmallDeployment, _: MemoryPlatform) -> None:
    notice = DrainNotice(draining=True, reason='plan', deadline_ms=60_000)
    envelope = Envelope('10.9.0.9:7000', 1, notice)
    deployment.agents[0].agent.on_message(envelope)


def _stops(deployment: SmallDeployment, start_ms: int) -> ObjectSet:
    deadline_ms = start_ms + 60_000
    stop = Stop('stop-0', agent_address(0), start_ms, deadline_ms)
    objects = small_set(deployment.agent_count)
    return ObjectSet(
        **{name: getattr(objects, name) for name in objects.__struct_fields__}
        | {'stops': (stop,)}
    )


def _published_to_agent(
    deployment: SmallDeployment,
    _: MemoryPlatform,
) -> None:
    stops = _stops(deployment, deployment.clock.calendar_ms()).stops
    deployment.agents[0].agent.drain.apply_stops(stops)


def _published_to_entry(
    deployment: SmallDeployment,
    _: MemoryPlatform,
) -> None:
    objects = _stops(deployment, deployment.clock.calendar_ms())
    published = PublishedVersion.from_object_set(2, objects)
    deployment.entries[0].generations.apply_version(published)


def _host_list(deployment: SmallDeployment, platform: MemoryPlatform) -> None:
    address = agent_address(0)
    host = HostEntry(address, 'agent', 'cuyo', 'cuyo-a', leaving=True)
    platform.hosts_by_address[address] = host


# Addresses are spread over the slots by hash, so seconds differ a little.
RATE_TOLERANCE = 1.25
Announce = Callable[[SmallDeployment, MemoryPlatform], None]
ANNOUNCEMENTS = (
    _signal,
    _notice,
    _published_to_agent,
    _published_to_entry,
    _host_list,
)


def _watch(
    deployment: SmallDeployment,
    platform: MemoryPlatform,
) -> asyncio.Task[None]:
    watch = OwnHostWatch(
        MemoryHostList(platform),
        agent_address(0),
        deployment.agents[0].agent.drain,
        deployment.clock,
        lambda: deployment.agent_count,
    )
    return asyncio.create_task(watch.run())


async def _planned_stop(announce: Announce) -> None:
    deployment = SmallDeployment(speed=SPEED)
    platform = MemoryPlatform(deployment.clock)
    watching = _watch(deployment, platform)
    load = Load(deployment)
    await load.offer(LEAD_MS)
    counts = deployment.agents[0].engine.counts
    assert counts.started
    announce(deployment, platform)
    await load.offer(GATE_MS)
    started = counts.started
    await load.offer(LEAD_MS)
    assert counts.started == started
    await load.finish()
    assert counts.cancelled == 0
    assert all(live.attempts == 1 for live in load.lives)
    watching.cancel()


@pytest.mark.parametrize('announce', ANNOUNCEMENTS)
def test_planned_stop_under_load_interrupts_nothing(announce: Announce) -> None:
    """A drain is announced in each possible way while callers keep coming."""
    run_virtual(_planned_stop(announce))


async def _near_deadline(deadline_ms: int) -> None:
    deployment = SmallDeployment(speed=SPEED)
    load = Load(deployment)
    await load.offer(500)
    node = deployment.agents[0]
    on_node = [live for live in load.lives if deployment.node_of(live) is node]
    offsets = [live.generation.offset for live in on_node]
    assert any(offsets)
    notice = DrainNotice(draining=True, reason='', deadline_ms=deadline_ms)
    node.agent.on_message(Envelope('10.9.0.9:7000', 1, notice))
    await deployment.clock.sleep_ms(deadline_ms)
    assert all(deployment.node_of(live) is not node for live in on_node)
    node.kill()
    node.engine.die()
    await load.finish()
    assert all(live.attempts == 2 for live in on_node)
    for live, offset in zip(on_node, offsets, strict=True):
        assert live.resumed_offset >= offset
    decoded = sum(
        agent_node.engine.counts.decoded_tokens
        for agent_node in deployment.agents
    )
    assert decoded <= len(load.lives) * (COUNT + 5)


@pytest.mark.parametrize('deadline_ms', [400, 1000])
def test_drain_near_its_deadline_hands_over_without_lost_output(
    deadline_ms: int,
) -> None:
    """The deadline comes before the generations can end on the agent."""
    run_virtual(_near_deadline(deadline_ms))


def test_platform_outage_does_not_end_a_drain() -> None:
    """The host list is unavailable or empty; only a listed host resumes."""

    async def scenario() -> None:
        deployment = SmallDeployment()
        platform = MemoryPlatform(deployment.clock)
        watching = _watch(deployment, platform)
        _host_list(deployment, platform)
        drain = deployment.agents[0].agent.drain
        await deployment.clock.sleep_ms(GATE_MS)
        assert not drain.may_dispatch()
        platform.faults.down = True
        await deployment.clock.sleep_ms(GATE_MS)
        assert not drain.may_dispatch()
        platform.faults.down = False
        platform.hosts_by_address.clear()
        await deployment.clock.sleep_ms(GATE_MS)
        assert not drain.may_dispatch()
        host = HostEntry(agent_address(0), 'agent', 'cuyo', 'cuyo-a')
        platform.hosts_by_address[agent_address(0)] = host
        await deployment.clock.sleep_ms(GATE_MS)
        assert drain.may_dispatch()
        watching.cancel()

    run_virtual(scenario())


def test_agents_that_learn_their_number_together_read_within_the_rate() -> None:
    """All agents start without a version, and know it a second later."""
    agents = 2000

    async def scenario() -> list[int]:
        clock = Clock.from_loop(asyncio.get_running_loop())
        platform = MemoryPlatform(clock)
        known: list[int] = []
        watches = [
            OwnHostWatch(
                MemoryHostList(platform),
                f'10.0.{number // 250}.{number % 250}:1',
                DrainState(clock, 'a'),
                clock,
                lambda: sum(known),
            )
            for number in range(agents)
        ]
        tasks = [asyncio.create_task(watch.run()) for watch in watches]
        await clock.sleep_ms(1500)
        known.append(agents)
        reads = [platform.reads]
        for _ in range(30):
            await clock.sleep_ms(1000)
            reads.append(platform.reads)
        for task in tasks:
            task.cancel()
        return [
            later - earlier
            for earlier, later in zip(reads, reads[1:], strict=False)
        ]

    reads_by_second = run_virtual(scenario())
    assert max(reads_by_second) <= AGENT_READS_PER_S * RATE_TOLERANCE
    assert sum(reads_by_second[10:20]) == agents


@pytest.mark.parametrize(
    ('agents', 'interval_ms'),
    [(0, 1000), (200, 1000), (12_000, 60_000)],
)
def test_host_list_interval_grows_with_the_number_of_agents(
    agents: int, interval_ms: float
) -> None:
    """Many agents must not overload the platform with reads of the list."""

    async def scenario() -> None:
        deployment = SmallDeployment()
        platform = MemoryPlatform(deployment.clock)
        watch = OwnHostWatch(
            MemoryHostList(platform),
            agent_address(0),
            deployment.agents[0].agent.drain,
            deployment.clock,
            partial(int, agents),
        )
        assert watch.interval_ms() == interval_ms

    run_virtual(scenario())
