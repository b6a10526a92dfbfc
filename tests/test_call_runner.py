"""Guarded calls run at most once under faults and are refused truthfully.

Each fault is tried with upstreams that check fencing tokens and with others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from bergamotthread.errors import StoreUnavailableError
from bergamotthread.process.calls.call_limits import CallLimits
from bergamotthread.process.store.platform import Row, Table
from bergamotthread.request.call_request import CallAnswer
from bergamotthread.request.call_row import (
    Dispatched,
    Done,
    Refused,
    Reserved,
    Unknown,
    decode_row,
)
from bergamotthread.request.refusal import (
    Ran,
    ReasonCode,
    Refusal,
    RefusedError,
)
from bergamotthread.testing.call_group import CallGroup
from bergamotthread.testing.memory_platform import PlatformFaults
from bergamotthread.testing.virtual_loop import run_virtual

_Scenario = Callable[[CallGroup], Awaitable[None]]
_LONG_MS = 900_000


async def _run(
    group: CallGroup, entry: str = 'entry-1', **changes: Any
) -> CallAnswer | Refusal:
    request = group.request(**changes)
    try:
        answer = await group.runners_by_address[entry].run(request)
    except RefusedError as error:
        answer = error.refusal
    group.answers_by_key.setdefault(request.key, []).append(answer)
    return answer


async def _with_group(scenario: _Scenario, checks_fencing: bool) -> None:
    group = CallGroup.create(checks_fencing=checks_fencing)
    await scenario(group)
    await group.clock.sleep_ms(_LONG_MS)
    assert all(count <= 1 for count in group.service.runs_by_key.values())
    for key, answers in group.answers_by_key.items():
        if all(_is_not_run(answer) for answer in answers):
            assert group.runs(key) == 0
        if isinstance(group.row(key) and group.row(key).state, Refused):
            assert group.runs(key) == 0


def _is_not_run(answer: CallAnswer | Refusal) -> bool:
    return isinstance(answer, Refusal) and answer.ran is Ran.NOT_RUN


def _assert_not_run(group: CallGroup, answer: Any, reason: ReasonCode) -> None:
    assert (answer.ran, answer.reason) == (Ran.NOT_RUN, reason)
    assert group.runs() == 0


class FaultyTable(Table):
    """Table that injects a fault when a row is written in a given state.

    `fault` is called with the write of the wrapped table; it returns the
    written row or raises.
    """

    def __init__(self, inner: Table, state: type, fault: Any) -> None:
        self._inner = inner
        self._state = state
        self._fault = fault

    async def read(self, key: str) -> Row | None:
        return await self._inner.read(key)

    async def write(self, key: str, body: bytes, *, expected: int) -> Row:
        async def write() -> Row:
            return await self._inner.write(key, body, expected=expected)

        if not key.startswith('calls/'):
            return await write()
        if not isinstance(decode_row(body).state, self._state):
            return await write()
        return await self._fault(write)

    async def delete(self, key: str, *, expected: int) -> None:
        await self._inner.delete(key, expected=expected)

    async def scan(self, prefix: str, *, limit: int) -> tuple[Row, ...]:
        return await self._inner.scan(prefix, limit=limit)


def _inject_write_fault(group: CallGroup, state: type, fault: Any) -> None:
    inner = group.tables_by_address['entry-1']
    group.start_entry('entry-1', FaultyTable(inner, state, fault))


async def _answer_is_replayed_without_faults(group: CallGroup) -> None:
    answer = await _run(group)
    assert (answer.status, answer.body) == (200, b'k ran 1')
    assert answer.key_lifetime_ms == 86_400_000
    again = await _run(group, 'entry-2')
    assert (again.body, again.replayed) == (answer.body, True)
    assert group.runs() == 1
    assert isinstance(group.row().state, Done)


async def _key_with_another_request_is_refused(group: CallGroup) -> None:
    await _run(group)
    answer = await _run(group, body=b'another')
    assert answer.reason is ReasonCode.KEY_REUSED
    assert (await _run(group, team='other', key='o')).status == 200


async def _concurrent_requests_at_two_entries_run_once(
    group: CallGroup,
) -> None:
    group.service.delay_ms = 300
    answers = await asyncio.gather(_run(group), _run(group, 'entry-2'))
    assert [answer.body for answer in answers] == [b'k ran 1', b'k ran 1']


async def _concurrent_requests_at_one_entry_run_once(group: CallGroup) -> None:
    group.service.delay_ms = 300
    answers = await asyncio.gather(*(_run(group) for _ in range(5)))
    assert {answer.body for answer in answers} == {b'k ran 1'}


async def _retry_during_the_call_is_refused_as_in_progress(
    group: CallGroup,
) -> None:
    group.service.delay_ms = 1500
    first = asyncio.ensure_future(_run(group))
    await group.clock.sleep_ms(100)
    answer = await _run(group, 'entry-2', remaining_ms=500)
    assert (answer.reason, answer.ran) == (ReasonCode.IN_PROGRESS, Ran.MAYBE)
    assert answer.retry_after_ms > 0
    assert (await first).status == 200


async def _store_down_before_the_call(group: CallGroup) -> None:
    group.platform.faults = PlatformFaults(down=True)
    answer = await _run(group, first_send=True)
    _assert_not_run(group, answer, ReasonCode.STORE_UNAVAILABLE)
    assert answer.retry_after_ms > 0
    assert group.clock.now_ms() < 3000


async def _store_down_at_a_retry(group: CallGroup) -> None:
    await _run(group)
    group.platform.faults = PlatformFaults(down=True)
    answer = await _run(group, 'entry-2')
    assert answer.reason is ReasonCode.STORE_UNAVAILABLE
    assert answer.ran is Ran.MAYBE


async def _store_down_before_the_dispatch(group: CallGroup) -> None:
    async def fail(_: Any) -> Row:
        group.platform.faults = PlatformFaults(down=True)
        raise StoreUnavailableError('down', step=None)

    _inject_write_fault(group, Dispatched, fail)
    answer = await _run(group)
    _assert_not_run(group, answer, ReasonCode.STORE_UNAVAILABLE)


async def _store_loses_the_result(group: CallGroup) -> None:
    async def fail(_: Any) -> Row:
        raise StoreUnavailableError('down', step=None)

    _inject_write_fault(group, Done, fail)
    assert (await _run(group)).status == 200
    again = await _run(group, 'entry-2', remaining_ms=30_000)
    assert again.body == b'k ran 1'


async def _store_down_for_a_minute_after_the_dispatch(group: CallGroup) -> None:
    group.service.delay_ms = 100
    first = asyncio.ensure_future(_run(group))
    await group.clock.sleep_ms(50)
    group.platform.faults = PlatformFaults(down=True)
    assert (await first).status == 200
    await group.clock.sleep_ms(60_000)
    group.platform.faults = PlatformFaults()
    await group.clock.sleep_ms(5000)
    assert isinstance(group.row().state, Done)


def _lose_answers(times: int, effects: bool = True) -> Any:
    remaining = [times]

    async def lose(write: Callable[[], Awaitable[Row]]) -> Row:
        if remaining[0] == 0:
            return await write()
        remaining[0] -= 1
        if effects:
            await write()
        raise StoreUnavailableError('answer lost', step=None)

    return lose


@pytest.mark.parametrize('checks_fencing', [False, True])
@pytest.mark.parametrize('effects', [False, True])
@pytest.mark.parametrize('times', [1, 2])
@pytest.mark.parametrize('state', [Reserved, Dispatched, Done])
def test_call_runs_once_if_the_store_answer_to_a_write_is_lost(
    state: type, times: int, effects: bool, checks_fencing: bool
) -> None:
    """The store loses its answer once or twice, with or without writing."""

    async def scenario(group: CallGroup) -> None:
        _inject_write_fault(group, state, _lose_answers(times, effects))
        assert (await _run(group)).body == b'k ran 1'
        await group.clock.sleep_ms(5000)
        assert isinstance(group.row().state, Done)

    run_virtual(_with_group(scenario, checks_fencing))


@pytest.mark.parametrize('checks_fencing', [False, True])
@pytest.mark.parametrize('state', [Reserved, Dispatched, Done])
def test_call_runs_once_if_a_write_takes_effect_late(
    state: type, checks_fencing: bool
) -> None:
    """The store reports no answer but writes the row four seconds later."""

    async def scenario(group: CallGroup) -> None:
        async def delay(write: Callable[[], Awaitable[Row]]) -> Row:
            asyncio.get_running_loop().call_later(
                4,
                lambda: tasks.append(
                    asyncio.ensure_future(_write_ignoring_conflict(write))
                ),
            )
            raise StoreUnavailableError('no answer', step=None)

        tasks: list[Any] = []
        _inject_write_fault(group, state, delay)
        answer = await _run(group, first_send=True, remaining_ms=3000)
        if isinstance(answer, Refusal):
            assert answer.ran is Ran.NOT_RUN
            assert group.runs() == 0
        await group.clock.sleep_ms(20_000)
        assert tasks
        again = await _run(group, 'entry-2', remaining_ms=30_000)
        assert again.body == b'k ran 1'

    run_virtual(_with_group(scenario, checks_fencing))


async def _write_ignoring_conflict(
    write: Callable[[], Awaitable[Row]],
) -> None:
    with pytest.raises(Exception, match='revision|answer') as _:
        await write()
        raise StoreUnavailableError('answer', step=None)


@pytest.mark.parametrize('checks_fencing', [False, True])
@pytest.mark.parametrize('before', [True, False])
@pytest.mark.parametrize('state', [Reserved, Dispatched, Done])
def test_call_runs_once_if_its_holder_dies_at_a_write(
    state: type, before: bool, checks_fencing: bool
) -> None:
    """The entry dies before or after a write; a retry uses another entry."""

    async def scenario(group: CallGroup) -> None:
        async def die(write: Callable[[], Awaitable[Row]]) -> Row:
            if not before:
                await write()
            group.stop_entry('entry-1')
            raise StoreUnavailableError('dead', step=None)

        _inject_write_fault(group, state, die)
        first = asyncio.ensure_future(_run(group))
        await group.clock.sleep_ms(3000)
        first.cancel()
        again = await _run(group, 'entry-2', remaining_ms=30_000)
        assert again.body == b'k ran 1'
        assert group.runs() == 1

    run_virtual(_with_group(scenario, checks_fencing))


@pytest.mark.parametrize('checks_fencing', [False, True])
@pytest.mark.parametrize('before', [True, False])
@pytest.mark.parametrize('state', [Reserved, Dispatched, Done])
def test_call_runs_once_if_its_holder_pauses_beyond_its_lease(
    state: type, before: bool, checks_fencing: bool
) -> None:
    """The entry pauses, another takes the call over, the first continues."""

    async def scenario(group: CallGroup) -> None:
        async def pause(write: Callable[[], Awaitable[Row]]) -> Row:
            if before:
                await group.clock.sleep_ms(120_000)
                return await write()
            row = await write()
            await group.clock.sleep_ms(120_000)
            return row

        _inject_write_fault(group, state, pause)
        first = asyncio.ensure_future(_run(group, remaining_ms=300_000))
        await group.clock.sleep_ms(3000)
        again = await _run(group, 'entry-2', remaining_ms=60_000)
        assert again.body == b'k ran 1'
        answer = await first
        assert getattr(answer, 'ran', Ran.MAYBE) is Ran.MAYBE
        assert group.runs() == 1

    run_virtual(_with_group(scenario, checks_fencing))


async def _takeover_after_a_long_lease(group: CallGroup) -> None:
    first = asyncio.ensure_future(_run(group, timeout_ms=30_000))
    await group.clock.sleep_ms(8)
    group.stop_entry('entry-1')
    assert isinstance(group.row().state, Reserved)
    again = await _run(group, 'entry-2', timeout_ms=30_000, remaining_ms=60_000)
    first.cancel()
    assert again.body == b'k ran 1'


async def _agent_dies_after_dispatch(group: CallGroup) -> None:
    group.service.delay_ms = 1000
    first = asyncio.ensure_future(_run(group))
    await group.clock.sleep_ms(200)
    await group.stop_agent('agent-1')
    group.start_agent('agent-1')
    answer = await first
    assert answer.reason is ReasonCode.OUTCOME_UNKNOWN
    assert answer.ran is Ran.MAYBE
    again = await _run(group, 'entry-2')
    assert again.reason is ReasonCode.OUTCOME_UNKNOWN
    assert isinstance(group.row().state, Unknown)


async def _loss_of_an_agent_ends_the_wait(group: CallGroup) -> None:
    group.service.delay_ms = 1500
    first = asyncio.ensure_future(_run(group))
    await group.clock.sleep_ms(200)
    await group.stop_agent('agent-1')
    group.runners_by_address['entry-1'].on_agent_lost('agent-1')
    assert (await first).reason is ReasonCode.OUTCOME_UNKNOWN
    assert group.clock.now_ms() < 300


async def _upstream_answers_late(group: CallGroup) -> None:
    group.service.delay_ms = 60_000
    answer = await _run(group)
    assert answer.reason is ReasonCode.OUTCOME_UNKNOWN
    assert group.clock.now_ms() < 10_000
    await group.clock.sleep_ms(60_000)
    assert isinstance(group.row().state, Done)
    assert (await _run(group, 'entry-2')).body == b'k ran 1'


async def _upstream_answer_is_lost(group: CallGroup) -> None:
    group.service.dropped_answers = 1
    answer = await _run(group)
    assert answer.reason is ReasonCode.OUTCOME_UNKNOWN
    assert (await _run(group, 'entry-2')).ran is Ran.MAYBE


async def _unreachable_service_is_refused_as_not_run(group: CallGroup) -> None:
    group.service.is_down = True
    answer = await _run(group)
    _assert_not_run(group, answer, ReasonCode.NO_UPSTREAM)
    await group.clock.sleep_ms(100)
    assert isinstance(group.row().state, Refused)


async def _call_that_did_not_run_may_be_retried(group: CallGroup) -> None:
    await _unreachable_service_is_refused_as_not_run(group)
    group.service.is_down = False
    assert (await _run(group, 'entry-2')).body == b'k ran 1'


async def _draining_agent_is_skipped(group: CallGroup) -> None:
    group.executors_by_address['agent-1'].set_draining(True)
    assert (await _run(group)).status == 200
    assert group.row().state.sending.agent == 'agent-2'


async def _all_agents_draining(group: CallGroup) -> None:
    for executor in group.executors_by_address.values():
        executor.set_draining(True)
    answer = await _run(group)
    _assert_not_run(group, answer, ReasonCode.NO_UPSTREAM)
    assert 'agent-1: draining' in answer.detail


async def _agent_drains_between_ticket_and_dispatch(group: CallGroup) -> None:
    async def drain(write: Callable[[], Awaitable[Row]]) -> Row:
        group.executors_by_address['agent-1'].set_draining(True)
        return await write()

    _inject_write_fault(group, Dispatched, drain)
    answer = await _run(group)
    assert answer.ran is Ran.NOT_RUN
    assert 'draining' in answer.detail


async def _dispatch_is_lost(group: CallGroup) -> None:
    async def cut(write: Callable[[], Awaitable[Row]]) -> Row:
        row = await write()
        group.network.cut('entry-1', 'agent-1')
        heal = asyncio.get_running_loop().call_later
        heal(1, group.network.heal)
        return row

    _inject_write_fault(group, Dispatched, cut)
    answer = await _run(group)
    assert answer.ran is Ran.NOT_RUN
    assert 'revoked before dispatch' in answer.detail


async def _revoke_overtakes_its_dispatch(group: CallGroup) -> None:
    async def slow(write: Callable[[], Awaitable[Row]]) -> Row:
        row = await write()
        link = ('entry-1', 'agent-1')
        group.network.delay_ms_by_link[link] = 60_000
        reset = group.network.delay_ms_by_link.pop
        asyncio.get_running_loop().call_later(1, reset, link)
        return row

    _inject_write_fault(group, Dispatched, slow)
    answer = await _run(group)
    assert answer.ran is Ran.NOT_RUN
    await group.clock.sleep_ms(120_000)
    assert group.runs() == 0


async def _replaced_agent_does_not_run_an_old_dispatch(
    group: CallGroup,
) -> None:
    async def replace(write: Callable[[], Awaitable[Row]]) -> Row:
        row = await write()
        await group.stop_agent('agent-1')
        group.start_agent('agent-1')
        return row

    _inject_write_fault(group, Dispatched, replace)
    answer = await _run(group)
    assert answer.ran is Ran.MAYBE
    assert group.runs() == 0


async def _large_answer_is_stored_and_replayed(group: CallGroup) -> None:
    group.service.answer_bytes = 100_000
    assert len((await _run(group)).body) == 100_000
    again = await _run(group, 'entry-2')
    assert (len(again.body), again.replayed) == (100_000, True)
    assert len(group.platform.bodies_by_name) == 1


async def _oversized_answer_is_not_stored(group: CallGroup) -> None:
    group.service.answer_bytes = 5_000_000
    assert len((await _run(group)).body) == 5_000_000
    again = await _run(group, 'entry-2')
    assert (again.reason, again.ran) == (ReasonCode.OUTPUT_LOST, Ran.MAYBE)


async def _memory_for_large_answers_is_limited(group: CallGroup) -> None:
    group.limits = CallLimits(held_bytes=250_000)
    group.start_entry('entry-1')
    group.service.answer_bytes = 100_000
    keys = [f'k{index}' for index in range(3)]
    answers = await asyncio.gather(*(_run(group, key=key) for key in keys))
    assert [len(answer.body) for answer in answers] == [100_000] * 3
    await group.clock.sleep_ms(1000)
    again = [await _run(group, 'entry-2', key=key) for key in keys]
    refusals = [answer for answer in again if isinstance(answer, Refusal)]
    assert [refusal.reason for refusal in refusals] == [ReasonCode.OUTPUT_LOST]
    assert (await _run(group, key='later')).status == 200
    await group.clock.sleep_ms(1000)
    assert len((await _run(group, 'entry-2', key='later')).body) == 100_000


async def _key_of_invalid_length_is_refused(group: CallGroup) -> None:
    for key in ('', 'x' * 201):
        answer = await _run(group, key=key)
        assert answer.reason is ReasonCode.BAD_REQUEST


async def _caller_disconnects(group: CallGroup) -> None:
    group.service.delay_ms = 500
    first = asyncio.ensure_future(_run(group))
    await group.clock.sleep_ms(100)
    first.cancel()
    await group.clock.sleep_ms(2000)
    assert isinstance(group.row().state, Done)


@pytest.mark.parametrize('checks_fencing', [False, True])
@pytest.mark.parametrize(
    'scenario',
    [
        _answer_is_replayed_without_faults,
        _key_with_another_request_is_refused,
        _concurrent_requests_at_two_entries_run_once,
        _concurrent_requests_at_one_entry_run_once,
        _retry_during_the_call_is_refused_as_in_progress,
        _store_down_before_the_call,
        _store_down_at_a_retry,
        _store_down_before_the_dispatch,
        _store_loses_the_result,
        _store_down_for_a_minute_after_the_dispatch,
        _takeover_after_a_long_lease,
        _agent_dies_after_dispatch,
        _loss_of_an_agent_ends_the_wait,
        _upstream_answers_late,
        _upstream_answer_is_lost,
        _unreachable_service_is_refused_as_not_run,
        _call_that_did_not_run_may_be_retried,
        _draining_agent_is_skipped,
        _all_agents_draining,
        _agent_drains_between_ticket_and_dispatch,
        _dispatch_is_lost,
        _revoke_overtakes_its_dispatch,
        _replaced_agent_does_not_run_an_old_dispatch,
        _large_answer_is_stored_and_replayed,
        _oversized_answer_is_not_stored,
        _memory_for_large_answers_is_limited,
        _key_of_invalid_length_is_refused,
        _caller_disconnects,
    ],
)
def test_fault(scenario: _Scenario, checks_fencing: bool) -> None:
    run_virtual(_with_group(scenario, checks_fencing))


def test_request_that_outlasts_half_of_its_key_is_answered() -> None:
    """Its row may be deleted by then, so the protocol ends at once."""

    async def scenario() -> Refusal:
        group = CallGroup.create()
        async with asyncio.timeout(30):
            answer = await _run(group, key_lifetime_ms=1)
        assert isinstance(answer, Refusal)
        return answer

    answer = run_virtual(scenario())
    assert answer.ran is Ran.MAYBE
    assert answer.reason is ReasonCode.OUTCOME_UNKNOWN
    assert '1 ms for which its key is remembered' in answer.detail
