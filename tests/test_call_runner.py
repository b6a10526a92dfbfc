"""Faults of guarded calls, for upstreams that check fencing and others."""

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
    """Table that strikes the write of one state of a row.

    `fault` is awaited with the inner write and returns its row, or raises.
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


def _strike(group: CallGroup, state: type, fault: Any) -> None:
    inner = group.tables_by_address['entry-1']
    group.start_entry('entry-1', FaultyTable(inner, state, fault))


async def _clean_run(group: CallGroup) -> None:
    answer = await _run(group)
    assert (answer.status, answer.body) == (200, b'k ran 1')
    assert answer.key_lifetime_ms == 86_400_000
    again = await _run(group, 'entry-2')
    assert (again.body, again.replayed) == (answer.body, True)
    assert group.runs() == 1
    assert isinstance(group.row().state, Done)


async def _key_reused(group: CallGroup) -> None:
    await _run(group)
    answer = await _run(group, body=b'another')
    assert answer.reason is ReasonCode.KEY_REUSED
    assert (await _run(group, team='other', key='o')).status == 200


async def _two_entries_at_once(group: CallGroup) -> None:
    group.service.delay_ms = 300
    answers = await asyncio.gather(_run(group), _run(group, 'entry-2'))
    assert [one.body for one in answers] == [b'k ran 1', b'k ran 1']


async def _same_entry_at_once(group: CallGroup) -> None:
    group.service.delay_ms = 300
    answers = await asyncio.gather(*(_run(group) for _ in range(5)))
    assert {one.body for one in answers} == {b'k ran 1'}


async def _still_in_progress(group: CallGroup) -> None:
    group.service.delay_ms = 1500
    first = asyncio.ensure_future(_run(group))
    await group.clock.sleep_ms(100)
    answer = await _run(group, 'entry-2', remaining_ms=500)
    assert (answer.reason, answer.ran) == (ReasonCode.IN_PROGRESS, Ran.MAYBE)
    assert answer.retry_after_ms > 0
    assert (await first).status == 200


async def _store_down_before(group: CallGroup) -> None:
    group.platform.faults = PlatformFaults(down=True)
    answer = await _run(group, first_send=True)
    _assert_not_run(group, answer, ReasonCode.STORE_UNAVAILABLE)
    assert answer.retry_after_ms > 0
    assert group.clock.now_ms() < 3000


async def _store_down_at_resend(group: CallGroup) -> None:
    await _run(group)
    group.platform.faults = PlatformFaults(down=True)
    answer = await _run(group, 'entry-2')
    assert answer.reason is ReasonCode.STORE_UNAVAILABLE
    assert answer.ran is Ran.MAYBE


async def _store_down_during(group: CallGroup) -> None:
    async def fail(_: Any) -> Row:
        group.platform.faults = PlatformFaults(down=True)
        raise StoreUnavailableError('down', step=None)

    _strike(group, Dispatched, fail)
    answer = await _run(group)
    _assert_not_run(group, answer, ReasonCode.STORE_UNAVAILABLE)


async def _store_down_after(group: CallGroup) -> None:
    async def fail(_: Any) -> Row:
        raise StoreUnavailableError('down', step=None)

    _strike(group, Done, fail)
    assert (await _run(group)).status == 200
    again = await _run(group, 'entry-2', remaining_ms=30_000)
    assert again.body == b'k ran 1'


async def _store_down_for_a_minute_after(group: CallGroup) -> None:
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
    left = [times]

    async def lose(write: Callable[[], Awaitable[Row]]) -> Row:
        if left[0] == 0:
            return await write()
        left[0] -= 1
        if effects:
            await write()
        raise StoreUnavailableError('answer lost', step=None)

    return lose


@pytest.mark.parametrize('checks_fencing', [False, True])
@pytest.mark.parametrize('effects', [False, True])
@pytest.mark.parametrize('times', [1, 2])
@pytest.mark.parametrize('state', [Reserved, Dispatched, Done])
def test_lost_answer_of_each_write(
    state: type, times: int, effects: bool, checks_fencing: bool
) -> None:
    async def scenario(group: CallGroup) -> None:
        _strike(group, state, _lose_answers(times, effects))
        assert (await _run(group)).body == b'k ran 1'
        await group.clock.sleep_ms(5000)
        assert isinstance(group.row().state, Done)

    run_virtual(_with_group(scenario, checks_fencing))


@pytest.mark.parametrize('checks_fencing', [False, True])
@pytest.mark.parametrize('state', [Reserved, Dispatched, Done])
def test_write_that_lands_late(state: type, checks_fencing: bool) -> None:
    async def scenario(group: CallGroup) -> None:
        async def delay(write: Callable[[], Awaitable[Row]]) -> Row:
            asyncio.get_running_loop().call_later(
                4, lambda: tasks.append(asyncio.ensure_future(_quiet(write)))
            )
            raise StoreUnavailableError('no answer', step=None)

        tasks: list[Any] = []
        _strike(group, state, delay)
        answer = await _run(group, first_send=True, remaining_ms=3000)
        if isinstance(answer, Refusal):
            assert answer.ran is Ran.NOT_RUN
            assert group.runs() == 0
        await group.clock.sleep_ms(20_000)
        assert tasks
        again = await _run(group, 'entry-2', remaining_ms=30_000)
        assert again.body == b'k ran 1'

    run_virtual(_with_group(scenario, checks_fencing))


async def _quiet(write: Callable[[], Awaitable[Row]]) -> None:
    with pytest.raises(Exception, match='revision|answer') as _:
        await write()
        raise StoreUnavailableError('answer', step=None)


@pytest.mark.parametrize('checks_fencing', [False, True])
@pytest.mark.parametrize('before', [True, False])
@pytest.mark.parametrize('state', [Reserved, Dispatched, Done])
def test_holder_dies_at_each_write(
    state: type, before: bool, checks_fencing: bool
) -> None:
    async def scenario(group: CallGroup) -> None:
        async def die(write: Callable[[], Awaitable[Row]]) -> Row:
            if not before:
                await write()
            group.stop_entry('entry-1')
            raise StoreUnavailableError('dead', step=None)

        _strike(group, state, die)
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
def test_holder_pauses_past_its_lease_and_goes_on(
    state: type, before: bool, checks_fencing: bool
) -> None:
    async def scenario(group: CallGroup) -> None:
        async def pause(write: Callable[[], Awaitable[Row]]) -> Row:
            if before:
                await group.clock.sleep_ms(120_000)
                return await write()
            row = await write()
            await group.clock.sleep_ms(120_000)
            return row

        _strike(group, state, pause)
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


async def _agent_lost_is_told_at_once(group: CallGroup) -> None:
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


async def _answer_dropped(group: CallGroup) -> None:
    group.service.dropped_answers = 1
    answer = await _run(group)
    assert answer.reason is ReasonCode.OUTCOME_UNKNOWN
    assert (await _run(group, 'entry-2')).ran is Ran.MAYBE


async def _service_down(group: CallGroup) -> None:
    group.service.is_down = True
    answer = await _run(group)
    _assert_not_run(group, answer, ReasonCode.NO_UPSTREAM)
    await group.clock.sleep_ms(100)
    assert isinstance(group.row().state, Refused)


async def _refused_key_may_be_sent_again(group: CallGroup) -> None:
    await _service_down(group)
    group.service.is_down = False
    assert (await _run(group, 'entry-2')).body == b'k ran 1'


async def _draining_agent_is_passed_over(group: CallGroup) -> None:
    group.executors_by_address['agent-1'].set_draining(True)
    assert (await _run(group)).status == 200
    assert group.row().state.sending.agent == 'agent-2'


async def _all_draining(group: CallGroup) -> None:
    for executor in group.executors_by_address.values():
        executor.set_draining(True)
    answer = await _run(group)
    _assert_not_run(group, answer, ReasonCode.NO_UPSTREAM)
    assert 'agent-1: draining' in answer.detail


async def _drain_between_ticket_and_dispatch(group: CallGroup) -> None:
    async def drain(write: Callable[[], Awaitable[Row]]) -> Row:
        group.executors_by_address['agent-1'].set_draining(True)
        return await write()

    _strike(group, Dispatched, drain)
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

    _strike(group, Dispatched, cut)
    answer = await _run(group)
    assert answer.ran is Ran.NOT_RUN
    assert 'revoked before dispatch' in answer.detail


async def _dispatch_overtaken_by_revoke(group: CallGroup) -> None:
    async def slow(write: Callable[[], Awaitable[Row]]) -> Row:
        row = await write()
        link = ('entry-1', 'agent-1')
        group.network.delay_ms_by_link[link] = 60_000
        reset = group.network.delay_ms_by_link.pop
        asyncio.get_running_loop().call_later(1, reset, link)
        return row

    _strike(group, Dispatched, slow)
    answer = await _run(group)
    assert answer.ran is Ran.NOT_RUN
    await group.clock.sleep_ms(120_000)
    assert group.runs() == 0


async def _replaced_agent_gets_old_dispatch(group: CallGroup) -> None:
    async def replace(write: Callable[[], Awaitable[Row]]) -> Row:
        row = await write()
        await group.stop_agent('agent-1')
        group.start_agent('agent-1')
        return row

    _strike(group, Dispatched, replace)
    answer = await _run(group)
    assert answer.ran is Ran.MAYBE
    assert group.runs() == 0


async def _large_answer(group: CallGroup) -> None:
    group.service.answer_bytes = 100_000
    assert len((await _run(group)).body) == 100_000
    again = await _run(group, 'entry-2')
    assert (len(again.body), again.replayed) == (100_000, True)
    assert len(group.platform.bodies_by_name) == 1


async def _too_large_answer(group: CallGroup) -> None:
    group.service.answer_bytes = 5_000_000
    assert len((await _run(group)).body) == 5_000_000
    again = await _run(group, 'entry-2')
    assert (again.reason, again.ran) == (ReasonCode.OUTPUT_LOST, Ran.MAYBE)


async def _large_answers_are_bounded(group: CallGroup) -> None:
    group.limits = CallLimits(held_bytes=250_000)
    group.start_entry('entry-1')
    group.service.answer_bytes = 100_000
    keys = [f'k{index}' for index in range(3)]
    answers = await asyncio.gather(*(_run(group, key=key) for key in keys))
    assert [len(one.body) for one in answers] == [100_000] * 3
    await group.clock.sleep_ms(1000)
    again = [await _run(group, 'entry-2', key=key) for key in keys]
    lost = [one for one in again if isinstance(one, Refusal)]
    assert [one.reason for one in lost] == [ReasonCode.OUTPUT_LOST]
    assert (await _run(group, key='later')).status == 200
    await group.clock.sleep_ms(1000)
    assert len((await _run(group, 'entry-2', key='later')).body) == 100_000


async def _key_is_checked(group: CallGroup) -> None:
    for key in ('', 'x' * 201):
        answer = await _run(group, key=key)
        assert answer.reason is ReasonCode.BAD_REQUEST


async def _caller_leaves(group: CallGroup) -> None:
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
        _clean_run,
        _key_reused,
        _two_entries_at_once,
        _same_entry_at_once,
        _still_in_progress,
        _store_down_before,
        _store_down_at_resend,
        _store_down_during,
        _store_down_after,
        _store_down_for_a_minute_after,
        _takeover_after_a_long_lease,
        _agent_dies_after_dispatch,
        _agent_lost_is_told_at_once,
        _upstream_answers_late,
        _answer_dropped,
        _service_down,
        _refused_key_may_be_sent_again,
        _draining_agent_is_passed_over,
        _all_draining,
        _drain_between_ticket_and_dispatch,
        _dispatch_is_lost,
        _dispatch_overtaken_by_revoke,
        _replaced_agent_gets_old_dispatch,
        _large_answer,
        _too_large_answer,
        _large_answers_are_bounded,
        _key_is_checked,
        _caller_leaves,
    ],
)
def test_fault(scenario: _Scenario, checks_fencing: bool) -> None:
    run_virtual(_with_group(scenario, checks_fencing))
