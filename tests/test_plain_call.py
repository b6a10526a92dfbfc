import asyncio
from typing import Any

import pytest

from bergamotthread.request.call_request import CallAnswer, find_rule
from bergamotthread.request.refusal import (
    Ran,
    ReasonCode,
    Refusal,
    RefusedError,
)
from bergamotthread.testing.call_group import CallGroup
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.version.objects import CallRule, Service, ServiceKind


async def _run(group: CallGroup, **changes: Any) -> CallAnswer | Refusal:
    request = group.request(method='GET', idempotent=True, **changes)
    try:
        return await group.runners_by_address['entry-1'].run(request)
    except RefusedError as error:
        return error.refusal


async def _run_without_faults() -> None:
    group = CallGroup.create()
    assert (await _run(group)).status == 200
    assert group.platform.writes + group.platform.reads == 0
    assert (await _run(group, key='')).status == 200


def test_idempotent_call_needs_no_row() -> None:
    run_virtual(_run_without_faults())


async def _retried(group: CallGroup) -> None:
    answer = await _run(group, timeout_ms=500)
    assert answer.status == 200


async def _one_agent_gone() -> None:
    group = CallGroup.create()
    await group.stop_agent('agent-1')
    await _retried(group)


async def _one_agent_draining() -> None:
    group = CallGroup.create()
    group.executors_by_address['agent-1'].set_draining(True)
    await _retried(group)
    assert group.clock.now_ms() < 100


async def _answer_dropped() -> None:
    group = CallGroup.create()
    group.service.dropped_answers = 1
    await _retried(group)
    assert group.runs() == 2


@pytest.mark.parametrize(
    'scenario', [_one_agent_gone, _one_agent_draining, _answer_dropped]
)
def test_idempotent_call_is_retried_elsewhere(scenario: Any) -> None:
    run_virtual(scenario())


async def _all_gone() -> None:
    group = CallGroup.create()
    for address in ('agent-1', 'agent-2'):
        await group.stop_agent(address)
    refusal = await _run(group, timeout_ms=200)
    assert refusal.reason is ReasonCode.RETRIES_EXHAUSTED
    assert refusal.ran is Ran.MAYBE
    refusal = await _run(group, timeout_ms=500, remaining_ms=600)
    assert refusal.reason is ReasonCode.DEADLINE
    assert group.clock.now_ms() < 2500


def test_retries_end_by_attempts_and_by_deadline() -> None:
    run_virtual(_all_gone())


async def _all_draining() -> None:
    group = CallGroup.create()
    for executor in group.executors_by_address.values():
        executor.set_draining(True)
    refusal = await _run(group)
    assert refusal.ran is Ran.NOT_RUN
    assert 'draining' in refusal.detail
    assert group.runs() == 0
    refusal = await _run(group, agents=())
    assert (refusal.ran, refusal.reason) == (
        Ran.NOT_RUN,
        ReasonCode.NO_UPSTREAM,
    )


def test_call_declined_by_all_agents_did_not_run() -> None:
    run_virtual(_all_draining())


async def _budget() -> int:
    group = CallGroup.create()
    group.service.dropped_answers = 10_000
    await asyncio.gather(*(_run(group, timeout_ms=100) for _ in range(200)))
    return group.runs()


def test_retries_stay_within_the_budget() -> None:
    assert 200 < run_virtual(_budget()) <= 200 * 1.1 + 10


def test_rule_with_the_longest_prefix_decides() -> None:
    issue = CallRule('POST', '/certificates', idempotent=False)
    check = CallRule('POST', '/certificates/check', idempotent=True)
    service = Service('portal', ServiceKind.PLAIN, calls=(issue, check))
    assert find_rule(service, 'POST', '/certificates/7') is issue
    assert find_rule(service, 'POST', '/certificates/check/7') is check
    assert not find_rule(service, 'GET', '/certificates').idempotent
