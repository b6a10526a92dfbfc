"""Generations under partitions, replaced processes, lost entries and disorder.

Also covers reconnects, slow callers and repeated requests.
"""

import asyncio

import msgspec
import pytest

from bergamotthread.process.agent import AgentConfig
from bergamotthread.process.generations.completions import Caller
from bergamotthread.process.generations.generation_driver import (
    GenerationDriver,
)
from bergamotthread.request.completion import CompletionRequest
from bergamotthread.request.generation import FrameVerdict, Generation
from bergamotthread.request.refusal import Ran, ReasonCode, RefusedError
from bergamotthread.testing.memory_network import MemoryNetwork
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.wire.messages import Frame
from standins.engine_core import EngineSpeed
from standins.small_deployment import (
    TEAM,
    SmallDeployment,
    entry_address,
)
from standins.tokens import BrokenAnswerError, verify_answer

PROMPT = 'atmosphere readings of furnace 4'
COUNT = 120
REQUEST = CompletionRequest(
    'furnace',
    PROMPT,
    max_tokens=2 * COUNT,
    stream=True,
    include_tokens=True,
)
SPEED = EngineSpeed(stop_at=COUNT)


async def _until_offset(live, offset: int) -> None:
    while live.generation.offset < offset and not live.generation.is_over:
        live.consumed_tokens = live.generation.offset
        await live.wait_change()


async def _until_over(live) -> None:
    while not live.generation.is_over:
        live.consumed_tokens = live.generation.offset
        await live.wait_change()


async def _check_whole(live) -> None:
    await _until_over(live)
    assert live.generation.refusal is None, live.generation.refusal
    verify_answer(PROMPT, ''.join(live.generation.tokens), COUNT)


@pytest.mark.parametrize('direction', ['to agent', 'from agent', 'both'])
@pytest.mark.parametrize('offset', [0, 40, COUNT - 1])
@pytest.mark.parametrize('heal_after_ms', [300, 20_000])
def test_answer_is_complete_after_a_partition(
    direction: str, offset: int, heal_after_ms: float
) -> None:
    """Entry and agent lose contact, in one or both directions."""

    async def scenario() -> None:
        deployment = SmallDeployment(speed=SPEED)
        live, _ = deployment.entries[0].open(REQUEST)
        await deployment.clock.sleep_ms(5)
        await _until_offset(live, offset)
        agent = live.generation.place.agent
        if direction != 'from agent':
            deployment.network.cut(entry_address(0), agent)
        if direction != 'to agent':
            deployment.network.cut(agent, entry_address(0))
        await deployment.clock.sleep_ms(heal_after_ms)
        deployment.network.heal()
        await _check_whole(live)
        await deployment.clock.sleep_ms(30_000)
        await _check_whole(live)

    run_virtual(scenario())


@pytest.mark.parametrize('offset', [0, 40, COUNT - 1])
def test_replaced_agent_is_not_mistaken_for_its_predecessor(
    offset: int,
) -> None:
    """The agent's process is replaced at the same address."""

    async def scenario() -> None:
        deployment = SmallDeployment(speed=SPEED)
        live, _ = deployment.entries[0].open(REQUEST)
        await deployment.clock.sleep_ms(5)
        await _until_offset(live, offset)
        index = [node.transport.address for node in deployment.agents].index(
            live.generation.place.agent
        )
        deployment.agents[index].kill()
        deployment.agents[index] = deployment.start_agent(index, incarnation=2)
        await _check_whole(live)

    run_virtual(scenario())


@pytest.mark.parametrize('away_ms', [300, 1000, 2500, 5000, 9000])
@pytest.mark.parametrize('offset', [6, 60])
def test_stream_waits_while_the_last_agent_is_only_suspected(
    away_ms: float,
    offset: int,
) -> None:
    """One engine is dead, one agent is killed, one is briefly unreachable."""

    async def scenario() -> None:
        deployment = SmallDeployment(speed=SPEED)
        live, _ = deployment.entries[0].open(REQUEST)
        await deployment.clock.sleep_ms(5)
        await _until_offset(live, offset)
        killed = deployment.node_of(live)
        first, last = (node for node in deployment.agents if node is not killed)
        first.engine.die()
        killed.kill()
        last_address = last.transport.address
        deployment.network.cut_both(last_address, entry_address(0))
        await deployment.clock.sleep_ms(away_ms)
        deployment.network.heal()
        await _check_whole(live)

    run_virtual(scenario())


def test_answer_is_complete_after_repeated_losses() -> None:
    """Each engine that resumes the generation dies as well."""

    async def scenario() -> None:
        deployment = SmallDeployment(speed=SPEED, agent_count=4)
        live, _ = deployment.entries[0].open(REQUEST)
        for offset in (30, 60, 90):
            await _until_offset(live, offset)
            deployment.node_of(live).engine.die()
        await _check_whole(live)
        assert live.attempts == 4

    run_virtual(scenario())


@pytest.mark.parametrize('seed', range(6))
def test_answer_is_complete_over_an_unreliable_network(seed: int) -> None:
    """Messages arrive late, twice, out of order or not at all."""

    async def scenario() -> None:
        network = MemoryNetwork(
            delay_ms=5,
            jitter_ms=80,
            loss=0.05,
            duplication=0.2,
            seed=seed,
        )
        deployment = SmallDeployment(speed=SPEED, network=network)
        opened = [deployment.entries[0].open(REQUEST)[0] for _ in range(8)]
        for live in opened:
            await _check_whole(live)

    run_virtual(scenario())


async def _read_events(stream, events: list[bytes], count: int) -> None:
    async for event in stream.events():
        events.append(event)
        if len(events) >= count:
            return


def _field(event: bytes, name: str) -> str:
    for line in event.decode().splitlines():
        if line.startswith(f'{name}: '):
            return line.removeprefix(f'{name}: ')
    raise AssertionError(f'no {name} in {event!r}')


def _tokens(events: list[bytes]) -> list[str]:
    tokens: list[str] = []
    for event in events:
        for line in event.decode().splitlines():
            if line.startswith('data: {'):
                choice = msgspec.json.decode(line[6:])['choices'][0]
                tokens.extend(choice.get('tokens', ()))
    return tokens


@pytest.mark.parametrize('lose_agent', [False, True])
@pytest.mark.parametrize('bring_tokens', [False, True])
def test_reconnect_through_another_entry(
    lose_agent: bool,
    bring_tokens: bool,
) -> None:
    """The entry of a stream dies, alone or together with the agent.

    If both are lost, the output is only recovered from the tokens that the
    caller sends along.
    """

    async def scenario() -> None:
        deployment = SmallDeployment(speed=SPEED, entry_count=2)
        live, stream = deployment.entries[0].open(REQUEST)
        head: list[bytes] = []
        await _read_events(stream, head, 10)
        node = deployment.node_of(live)
        deployment.entries[0].kill()
        if lose_agent:
            node.kill()
        await deployment.clock.sleep_ms(500)
        request = REQUEST
        if bring_tokens:
            request = CompletionRequest(
                'furnace',
                PROMPT,
                max_tokens=2 * COUNT,
                include_tokens=True,
                accepted_tokens=tuple(_tokens(head)),
            )
        caller = Caller(TEAM, last_event_id=_field(head[-1], 'id'))
        again, rest = deployment.entries[1].open(request, caller)
        tail: list[bytes] = []
        await _read_events(rest, tail, 10_000)
        if lose_agent and not bring_tokens:
            assert again.generation.refusal is not None
            assert again.generation.refusal.reason is ReasonCode.OUTPUT_LOST
            assert again.generation.refusal.ran is Ran.MAYBE
            assert tail[-1].startswith(b'event: error')
            return
        verify_answer(PROMPT, ''.join(_tokens(head) + _tokens(tail)), COUNT)
        assert again.attempts == (2 if lose_agent else 1)

    run_virtual(scenario())


async def _taken_over_unheard(deployment: SmallDeployment):
    """Kill the entry of a stream and reconnect through another entry.

    The agent's messages do not reach the second entry. Returns the events read
    before, and the generation and its stream at the second entry.
    """
    live, stream = deployment.entries[0].open(REQUEST)
    head: list[bytes] = []
    await _read_events(stream, head, 10)
    agent = live.generation.place.agent
    deployment.entries[0].kill()
    deployment.network.cut(agent, entry_address(1))
    caller = Caller(TEAM, last_event_id=_field(head[-1], 'id'))
    again, rest = deployment.entries[1].open(REQUEST, caller)
    return head, again, rest


@pytest.mark.parametrize('away_ms', [700, 1800])
def test_adopting_entry_waits_for_the_agent_with_the_output(
    away_ms: float,
) -> None:
    """An agent may need some time to reconnect to a restarted entry."""

    async def scenario() -> None:
        deployment = SmallDeployment(speed=SPEED, entry_count=2)
        head, _, rest = await _taken_over_unheard(deployment)
        tail: list[bytes] = []
        reading = asyncio.create_task(_read_events(rest, tail, 10_000))
        await deployment.clock.sleep_ms(away_ms)
        deployment.network.heal()
        await reading
        verify_answer(PROMPT, ''.join(_tokens(head) + _tokens(tail)), COUNT)

    run_virtual(scenario())


def test_output_that_cannot_be_fetched_is_refused_with_the_reason() -> None:
    """The agent with the output stays unreachable for the new entry."""

    async def scenario() -> None:
        deployment = SmallDeployment(speed=SPEED, entry_count=2)
        _, again, rest = await _taken_over_unheard(deployment)
        started_ms = deployment.clock.now_ms()
        tail: list[bytes] = []
        await _read_events(rest, tail, 10_000)
        refusal = again.generation.refusal
        assert refusal is not None
        assert refusal.reason is ReasonCode.OUTPUT_LOST
        assert 'no output from its agent' in refusal.detail
        assert deployment.clock.now_ms() - started_ms < 3000

    run_virtual(scenario())


def test_cancel_from_the_former_entry_does_not_stop_an_adopted_run() -> None:
    """The caller has reconnected through another entry, which goes on."""

    async def scenario() -> None:
        deployment = SmallDeployment(speed=SPEED, entry_count=2)
        live, stream = deployment.entries[0].open(REQUEST)
        head: list[bytes] = []
        await _read_events(stream, head, 5)
        caller = Caller(TEAM, last_event_id=_field(head[-1], 'id'))
        again, rest = deployment.entries[1].open(REQUEST, caller)
        await deployment.clock.sleep_ms(100)
        deployment.entries[0].generations.cancel(live)
        tail: list[bytes] = []
        await _read_events(rest, tail, 10_000)
        verify_answer(PROMPT, ''.join(_tokens(head) + _tokens(tail)), COUNT)
        assert again.attempts == 1

    run_virtual(scenario())


def test_same_idempotency_key_joins_the_running_generation() -> None:
    async def scenario() -> None:
        deployment = SmallDeployment(speed=SPEED)
        caller = Caller(TEAM, idempotency_key='batch-17')
        live, _ = deployment.entries[0].open(REQUEST, caller)
        await _until_offset(live, 50)
        again, stream = deployment.entries[0].open(REQUEST, caller)
        assert again is live
        events: list[bytes] = []
        await _read_events(stream, events, 10_000)
        verify_answer(PROMPT, ''.join(_tokens(events)), COUNT)
        started = sum(node.engine.counts.started for node in deployment.agents)
        assert started == 1
        other = CompletionRequest('furnace', 'another prompt')
        with pytest.raises(RefusedError) as refused:
            deployment.entries[0].open(other, caller)
        assert refused.value.refusal.reason is ReasonCode.KEY_REUSED

    run_virtual(scenario())


def test_cursor_of_another_team_or_with_a_bad_signature_is_refused() -> None:
    async def scenario() -> None:
        deployment = SmallDeployment(speed=SPEED)
        _, stream = deployment.entries[0].open(REQUEST)
        events: list[bytes] = []
        await _read_events(stream, events, 3)
        cursor = _field(events[-1], 'id')
        for stolen in (cursor, f'{cursor[:-2]}AA'):
            with pytest.raises(RefusedError) as refused:
                deployment.entries[0].open(
                    REQUEST,
                    Caller('other', last_event_id=stolen),
                )
            assert refused.value.refusal.reason is ReasonCode.BAD_CURSOR

    run_virtual(scenario())


def test_slow_caller_holds_up_only_its_own_generation() -> None:
    """A caller stops reading while another reads from the same engine."""

    async def scenario() -> None:
        deployment = SmallDeployment(
            agent_count=1,
            agent_config=AgentConfig(window_tokens=512),
        )
        slow_request = CompletionRequest('furnace', 'slow', max_tokens=4000)
        slow, stream = deployment.entries[0].open(slow_request)
        events: list[bytes] = []
        await _read_events(stream, events, 1)
        fast, fast_stream = deployment.entries[0].open(REQUEST)
        fast_events: list[bytes] = []
        await _read_events(fast_stream, fast_events, 10_000)
        assert fast.generation.offset == 2 * COUNT
        await deployment.clock.sleep_ms(10_000)
        assert slow.generation.offset < 600
        assert slow.attempts == 1
        await _read_events(stream, events, 10_000)
        verify_answer('slow', ''.join(slow.generation.tokens), 4000)

    run_virtual(scenario())


def test_generation_is_cancelled_if_its_caller_does_not_reconnect() -> None:
    async def scenario() -> None:
        deployment = SmallDeployment()
        request = CompletionRequest('furnace', PROMPT, max_tokens=50_000)
        live, _ = deployment.entries[0].open(request)
        await _until_offset(live, 10)
        engine = deployment.node_of(live).engine
        live.readers -= 1
        live.abandoned_ms = deployment.clock.now_ms()
        await deployment.clock.sleep_ms(12_000)
        assert engine.counts.cancelled == 1

    run_virtual(scenario())


def test_request_without_any_live_upstream_is_refused_as_not_run() -> None:
    """The refusal comes within a second and allows a safe retry."""

    async def scenario() -> None:
        deployment = SmallDeployment(speed=SPEED)
        for node in deployment.agents:
            node.engine.die()
        await deployment.clock.sleep_ms(1000)
        started_ms = deployment.clock.now_ms()
        live, _ = deployment.entries[0].open(REQUEST)
        await _until_over(live)
        refusal = live.generation.refusal
        assert refusal is not None
        assert refusal.ran is Ran.NOT_RUN
        assert refusal.retry_after_ms > 0
        assert deployment.clock.now_ms() - started_ms < 1000
        started = sum(node.engine.counts.started for node in deployment.agents)
        assert started == 0

    run_virtual(scenario())


async def _deliver_output_of_a_lost_attempt() -> None:
    """Deliver a lost attempt's output late but ahead of the new attempt's."""
    network = MemoryNetwork(duplication=0.3, seed=1)
    deployment = SmallDeployment(speed=SPEED, network=network)
    live, _ = deployment.entries[0].open(REQUEST)
    await _until_offset(live, 10)
    first = deployment.node_of(live)
    for node in deployment.agents:
        if node is not first:
            node.engine.faults.slow_factor = 20
    link = (first.transport.address, entry_address(0))
    network.delay_ms_by_link[link] = 1500
    await _check_whole(live)
    assert live.attempts == 2


def test_late_output_of_a_lost_attempt_is_dropped() -> None:
    run_virtual(_deliver_output_of_a_lost_attempt())


def _accept_any_attempt(self: Generation, *_: object) -> bool:
    return True


def _append_without_offset(self: Generation, frame: Frame) -> FrameVerdict:
    self.tokens.extend(frame.tokens)
    return (
        FrameVerdict.ACCEPTED if frame.end is None else self._finish(frame.end)
    )


@pytest.mark.parametrize(
    ('name', 'broken'),
    [
        ('is_current', _accept_any_attempt),
        ('_append', _append_without_offset),
    ],
)
def test_answer_check_detects_a_missing_rule(
    name: str,
    broken: object,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the check of attempts or offsets the same fault breaks answers.

    This shows that the fault above reaches both checks.
    """
    monkeypatch.setattr(Generation, name, broken)
    with pytest.raises((BrokenAnswerError, AssertionError)):
        run_virtual(_deliver_output_of_a_lost_attempt())


def test_exception_in_the_driver_ends_in_a_refusal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A programming error in the entry must not leave the caller waiting."""

    async def scenario() -> None:
        deployment = SmallDeployment(speed=SPEED)
        live, _ = deployment.entries[0].open(REQUEST)
        await _until_offset(live, 10)
        monkeypatch.setattr(GenerationDriver, '_handle_outcome', None)
        deployment.node_of(live).engine.die()
        await _until_over(live)
        assert live.generation.refusal is not None
        assert live.generation.refusal.reason is ReasonCode.INTERNAL
        assert live.generation.refusal.ran is Ran.MAYBE

    run_virtual(scenario())


@pytest.mark.parametrize('comes_back_as', ['same process', 'new process'])
def test_silent_agent_counts_as_dead_only_if_its_process_ended(
    comes_back_as: str,
) -> None:
    """After a partition the agent is reachable again, replaced or not."""

    async def scenario() -> None:
        deployment = SmallDeployment(agent_count=6, speed=SPEED)
        entry = deployment.entries[0]
        deaths: list[str] = []
        entry.generations.guards.upstream_died = lambda agent, _: deaths.append(
            agent
        )
        live, _ = entry.open(REQUEST)
        await _until_offset(live, 5)
        first = deployment.node_of(live)
        address = first.transport.address
        deployment.network.cut_both(entry_address(0), address)
        await deployment.clock.sleep_ms(3000)
        if comes_back_as == 'new process':
            index = deployment.agents.index(first)
            first.kill()
            deployment.start_agent(index, incarnation=2)
        deployment.network.heal()
        await deployment.clock.sleep_ms(5000)
        expected = [address] if comes_back_as == 'new process' else []
        assert deaths == expected

    run_virtual(scenario())


@pytest.mark.parametrize('by', ['key', 'cursor'])
def test_repeated_request_never_joins_a_cancelled_generation(by: str) -> None:
    """A cancelled generation is incomplete and produces no more output."""

    async def scenario() -> None:
        deployment = SmallDeployment(speed=SPEED)
        entry = deployment.entries[0]
        caller = Caller(TEAM, idempotency_key='batch-17')
        live, stream = entry.open(REQUEST, caller)
        head: list[bytes] = []
        await _read_events(stream, head, 5)
        live.readers -= 1
        entry.generations.cancel(live)
        request = REQUEST
        if by == 'cursor':
            request = msgspec.structs.replace(
                REQUEST,
                accepted_tokens=tuple(_tokens(head)),
            )
            caller = Caller(TEAM, last_event_id=_field(head[-1], 'id'))
        again, rest = entry.open(request, caller)
        tail: list[bytes] = []
        await _read_events(rest, tail, 10_000)
        assert again is not live
        kept = _tokens(head) if by == 'cursor' else []
        verify_answer(PROMPT, ''.join(kept + _tokens(tail)), COUNT)

    run_virtual(scenario())


# Guards against generations that are tried a second time because all links of
# their entry stall together.
def test_stall_of_all_links_of_an_entry_loses_no_generation() -> None:
    async def scenario() -> None:
        deployment = SmallDeployment(speed=SPEED)
        lives = []
        for _ in range(6):
            lives.append(deployment.entries[0].open(REQUEST)[0])
            await deployment.clock.sleep_ms(7)
        await deployment.clock.sleep_ms(200)
        network = deployment.network
        held: list[tuple[object, ...]] = []
        deliver = network._deliver
        network._deliver = lambda *message: held.append(message)
        await deployment.clock.sleep_ms(700)
        network._deliver = deliver
        for message in held:
            deliver(*message)
        for live in lives:
            await _until_over(live)
        numbers = [live.generation.place.number for live in lives]
        assert numbers == [1] * 6

    run_virtual(scenario())
