"""Answers stay complete and correct when engines, agents or hosts fail."""

import asyncio
from collections.abc import Callable

import pytest

from bergamotthread.request.completion import CompletionRequest
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.wire.messages import Pin
from standins.engine_core import Engine
from standins.small_deployment import AgentNode, SmallDeployment
from standins.tokens import verify_answer

PROMPT = 'quench curve of batch 17'
COUNT = 60


async def _read_until(live, offset: int) -> None:
    while live.generation.offset < offset and not live.generation.is_over:
        live.consumed_tokens = live.generation.offset
        await live.wait_change()


async def _finish(live) -> str:
    await _read_until(live, COUNT)
    while not live.generation.is_over:
        live.consumed_tokens = live.generation.offset
        await live.wait_change()
    assert live.generation.refusal is None, live.generation.refusal
    return ''.join(live.generation.tokens)


def _engine_dies(node: AgentNode) -> None:
    node.engine.die()


def _engine_pauses(node: AgentNode) -> None:
    node.engine.pause(30_000)


def _engine_delivers_late(node: AgentNode) -> None:
    node.engine.faults.deliver_late_ms = 5000


def _agent_dies(node: AgentNode) -> None:
    node.kill()


def _host_dies(node: AgentNode) -> None:
    node.engine.die()
    node.kill()


FAULTS = (
    _engine_dies,
    _engine_pauses,
    _engine_delivers_late,
    _agent_dies,
    _host_dies,
)


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('offset', [0, 1, 30, COUNT - 1, COUNT])
def test_answer_is_complete_after_a_loss(
    fault: Callable[[AgentNode], None],
    offset: int,
) -> None:
    """A fault strikes the upstream before, during or after its output."""

    async def scenario() -> None:
        deployment = SmallDeployment()
        request = CompletionRequest('furnace', PROMPT, max_tokens=COUNT)
        live, _ = deployment.entries[0].open(request)
        await deployment.clock.sleep_ms(5)
        await _read_until(live, offset)
        if not live.generation.is_over:
            fault(deployment.node_of(live))
        verify_answer(PROMPT, await _finish(live), COUNT)
        await deployment.clock.sleep_ms(40_000)
        verify_answer(PROMPT, ''.join(live.generation.tokens), COUNT)

    run_virtual(scenario())


def test_answer_is_complete_without_faults() -> None:
    async def scenario() -> None:
        deployment = SmallDeployment()
        request = CompletionRequest('furnace', PROMPT, max_tokens=COUNT)
        live, _ = deployment.entries[0].open(request)
        verify_answer(PROMPT, await _finish(live), COUNT)
        assert live.attempts == 1

    run_virtual(scenario())


def test_answers_are_not_mixed_up_after_a_loss() -> None:
    """An engine dies while it runs the generations of many callers."""

    async def scenario() -> None:
        deployment = SmallDeployment()
        prompts = [f'{PROMPT} {index}' for index in range(30)]
        opened = [
            deployment.entries[0].open(
                CompletionRequest('furnace', prompt, max_tokens=COUNT),
            )[0]
            for prompt in prompts
        ]
        await deployment.clock.sleep_ms(300)
        deployment.agents[0].engine.die()
        answers = await asyncio.gather(*map(_finish, opened))
        for prompt, answer in zip(prompts, answers, strict=True):
            verify_answer(prompt, answer, COUNT)

    run_virtual(scenario())


def test_engine_replaced_under_the_same_pin_goes_on() -> None:
    """A pin holds model, weights and adapter, not the engine's software.

    A resumed attempt is given the prompt and the accepted tokens; nothing of
    the former engine's memory is used.
    """

    async def scenario() -> None:
        deployment = SmallDeployment(agent_count=1)
        request = CompletionRequest('furnace', PROMPT, max_tokens=COUNT)
        live, _ = deployment.entries[0].open(request)
        await _read_until(live, 30)
        [former] = deployment.agents
        former.engine.die()
        former.kill()
        software = Engine(deployment.clock, deployment.speed, seed=99)
        replaced = deployment.start_agent(0, incarnation=2, engine=software)
        deployment.agents = [replaced]
        verify_answer(PROMPT, await _finish(live), COUNT)
        assert Pin.__struct_fields__ == ('model', 'version', 'adapter')

    run_virtual(scenario())
