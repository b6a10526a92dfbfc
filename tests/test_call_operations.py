"""Operators resolve calls of unknown outcome; expired call rows are cleaned."""

import asyncio
import json
import random
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from bergamotthread.cli import audit, calls
from bergamotthread.clock import Clock
from bergamotthread.errors import StoreUnavailableError
from bergamotthread.process.calls.call_cleaner import CallCleaner, CleanerLimits
from bergamotthread.process.calls.call_operations import (
    CallName,
    Resolution,
    ResolveError,
    list_unknown,
    resolve_call,
    show_call,
)
from bergamotthread.process.explanations.audit import AuditTrail
from bergamotthread.process.explanations.audit_reader import (
    hours_between,
    read_audit,
)
from bergamotthread.request.call_row import (
    Done,
    Reserved,
    Resolved,
    Unknown,
    row_key,
    unknown_key,
)
from bergamotthread.request.refusal import Ran, RefusedError
from bergamotthread.testing.call_group import SERVICE, TEAM, CallGroup
from bergamotthread.testing.memory_platform import (
    MemoryObjectStore,
    PlatformFaults,
)
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.version.checks import load_object_set
from bergamotthread.version.publication import Draft, Publisher

EXAMPLE = Path(__file__).parent.parent / 'examples/termolab/objects.json'
DAY_SHIFT = 'example-operator-day-shift-20'
NAME = CallName(SERVICE, TEAM, 'k')
RAN = Resolution(ran=True, who='rosa', note='seen in the ledger')
NOT_RUN = Resolution(ran=False, who='rosa', note='not in the ledger')


async def _unknown_call() -> CallGroup:
    group = CallGroup.create()
    group.service.dropped_answers = 1
    with pytest.raises(RefusedError):
        await group.runners_by_address['entry-1'].run(group.request())
    await group.clock.sleep_ms(1000)
    assert isinstance(group.row().state, Unknown)
    return group


async def _resend(group: CallGroup) -> Any:
    with pytest.raises(RefusedError) as caught:
        await group.runners_by_address['entry-2'].run(group.request())
    return caught.value.refusal


def _audit(group: CallGroup) -> AuditTrail:
    store = MemoryObjectStore(group.platform)
    return AuditTrail(store, group.clock, 'rosa')


async def _resolve(resolution: Resolution) -> None:
    group = await _unknown_call()
    table = group.tables_by_address['entry-1']
    (listed,) = await list_unknown(table, limit=10)
    assert (listed.name, listed.row) == (NAME, group.row())
    await resolve_call(table, _audit(group), group.clock, NAME, resolution)
    assert await list_unknown(table, limit=10) == ()
    assert unknown_key(NAME.row_key) not in group.platform.rows_by_key
    refusal = await _resend(group)
    assert refusal.ran is (Ran.MAYBE if resolution.ran else Ran.NOT_RUN)
    assert 'rosa' in refusal.detail
    assert resolution.note in refusal.detail
    records = await read_audit(
        MemoryObjectStore(group.platform), hours_between(0, 3_600_000)
    )
    assert [
        (record.kind, record.subject, record.who) for record in records
    ] == [('resolve_call', 'portal/foundry/k', 'rosa')]
    with pytest.raises(ResolveError, match='is resolved'):
        await resolve_call(table, _audit(group), group.clock, NAME, resolution)


@pytest.mark.parametrize('resolution', [RAN, NOT_RUN])
def test_resolution_closes_the_key_and_is_audited(
    resolution: Resolution,
) -> None:
    """A retry after the resolution must not run the call."""
    run_virtual(_resolve(resolution))


async def _lost_answer() -> None:
    group = await _unknown_call()
    table = group.tables_by_address['entry-1']
    audit_trail = _audit(group)
    flush = audit_trail.flush

    async def flush_and_lose() -> None:
        await flush()
        group.platform.faults = PlatformFaults(lost_answers=1)

    audit_trail.flush = flush_and_lose
    await resolve_call(table, audit_trail, group.clock, NAME, RAN)
    assert isinstance(group.row().state, Resolved)


def test_resolution_survives_a_lost_store_answer() -> None:
    run_virtual(_lost_answer())


async def _no_audit() -> None:
    group = await _unknown_call()
    table = group.tables_by_address['entry-1']
    audit_trail = _audit(group)

    async def fail() -> None:
        raise StoreUnavailableError('down', step=None)

    audit_trail.flush = fail
    with pytest.raises(StoreUnavailableError):
        await resolve_call(table, audit_trail, group.clock, NAME, RAN)
    assert isinstance(group.row().state, Unknown)


def test_call_is_not_resolved_if_its_audit_record_is_not_stored() -> None:
    run_virtual(_no_audit())


async def _not_unknown() -> None:
    group = CallGroup.create()
    table = group.tables_by_address['entry-1']
    trail = _audit(group)
    with pytest.raises(ResolveError, match='is not known'):
        await resolve_call(table, trail, group.clock, NAME, RAN)
    await group.runners_by_address['entry-1'].run(group.request())
    await group.clock.sleep_ms(100)
    assert isinstance((await show_call(table, NAME)).row.state, Done)
    with pytest.raises(ResolveError, match='is done'):
        await resolve_call(table, trail, group.clock, NAME, RAN)


def test_only_unknown_calls_are_resolved() -> None:
    run_virtual(_not_unknown())


def _cleaner(group: CallGroup, **limits: Any) -> CallCleaner:
    return CallCleaner(
        group.tables_by_address['entry-1'],
        group.clock,
        CleanerLimits(**limits),
        random.Random(3),
    )


async def _clean_steps(cleaner: CallCleaner, steps: int) -> int:
    return sum([(await cleaner.step()).deleted for _ in range(steps)])


async def _expired() -> None:
    group = CallGroup.create(store_delay_ms=0)
    runner = group.runners_by_address['entry-1']
    for index in range(40):
        await runner.run(group.request(f'k{index}', key_lifetime_ms=60_000))
    await group.clock.sleep_ms(55_000)
    cleaner = _cleaner(group, prefix_digits=1)
    assert await _clean_steps(cleaner, 100) == 0
    await group.clock.sleep_ms(10_000)
    assert await _clean_steps(cleaner, 100) == 40
    assert group.platform.rows_by_key == {}


def test_cleaner_deletes_rows_only_after_the_key_lifetime() -> None:
    run_virtual(_expired())


async def _crowded() -> None:
    group = CallGroup.create(store_delay_ms=0)
    runner = group.runners_by_address['entry-1']
    for index in range(60):
        await runner.run(group.request(f'k{index}', key_lifetime_ms=1000))
    await group.clock.sleep_ms(5000)
    cleaner = _cleaner(group, prefix_digits=0, scan_rows_max=8, writes_max=3)
    writes_before = group.platform.writes
    steps = [await cleaner.step() for _ in range(200)]
    assert max(step.deleted for step in steps) <= 3
    assert max(step.scanned for step in steps) < 8
    assert group.platform.writes - writes_before == 60


def test_cleaner_step_stays_within_its_limits() -> None:
    """There are more expired rows than a step may scan or write."""
    run_virtual(_crowded())


async def _silent_holder() -> None:
    group = CallGroup.create(store_delay_ms=0)
    group.service.delay_ms = 500
    asyncio.ensure_future(
        group.runners_by_address['entry-1'].run(group.request())
    )
    await group.clock.sleep_ms(100)
    group.stop_entry('entry-1')
    cleaner = _cleaner(group, prefix_digits=0)
    assert (await cleaner.step()).marked == 0
    await group.clock.sleep_ms(70_000)
    assert (await cleaner.step()).marked == 1
    table = group.tables_by_address['entry-2']
    (listed,) = await list_unknown(table, limit=10)
    assert listed.name == NAME
    group.platform.rows_by_key.pop(unknown_key(NAME.row_key))
    await cleaner.step()
    assert len(await list_unknown(table, limit=10)) == 1


def test_call_whose_holder_died_is_marked_unknown_and_listed() -> None:
    """Its entry ends between dispatch and answer."""
    run_virtual(_silent_holder())


def test_call_name_is_recovered_from_its_row_key() -> None:
    """Names with slashes must not be confused with each other."""
    name = CallName('a/b', 'tëam', 'k/../ %')
    assert CallName.from_row_key(name.row_key) == name
    assert row_key('a', 'b/c', 'd') != row_key('a/b', 'c', 'd')


class _Context:
    """Context of the command line on the in-memory platform of a group."""

    def __init__(self, group: CallGroup) -> None:
        self.group = group

    @property
    def clock(self) -> Clock:
        return Clock.from_loop(asyncio.get_running_loop())

    def table(self) -> Any:
        return self.group.tables_by_address['entry-1']

    def object_store(self) -> MemoryObjectStore:
        return MemoryObjectStore(self.group.platform)

    def run(self, action: Coroutine) -> object:
        self.group.platform.clock = Clock.from_system()
        self.group.platform.faults = PlatformFaults()
        return run_virtual(action)


def _invoke(context: _Context, *arguments: str) -> Result:
    commands = {
        command.name: command for command in (*calls.COMMANDS, *audit.COMMANDS)
    }
    return CliRunner(env={'BERGAMOTTHREAD_CREDENTIAL': DAY_SHIFT}).invoke(
        commands[arguments[0]], arguments[1:], obj=context
    )


async def _published() -> CallGroup:
    group = await _unknown_call()
    publisher = Publisher.from_platform(
        group.tables_by_address['entry-1'],
        MemoryObjectStore(group.platform),
        group.clock,
    )
    await publisher.publish(Draft(load_object_set(EXAMPLE), 'setup', 0))
    return group


def test_operator_commands_list_show_and_resolve_calls() -> None:
    context = _Context(run_virtual(_published()))
    listed = _invoke(context, 'calls', 'list', '--json')
    assert json.loads(listed.output)['name']['key'] == 'k'
    call = ('portal', 'foundry', 'k')
    assert 'unknown' in _invoke(context, 'calls', 'show', *call).output
    assert _invoke(context, 'calls', 'show', 'a', 'b', 'c').exit_code == 2
    resolve = ('calls', 'resolve', *call, '--note', 'ledger')
    assert _invoke(context, *resolve).exit_code == 2
    resolve = (*resolve, '--outcome', 'ran')
    denied = _invoke(context, *resolve, '--credential', 'x' * 20)
    assert denied.exit_code == 1
    resolved = _invoke(context, *resolve)
    assert (resolved.exit_code, 'resolved' in resolved.output) == (0, True)
    assert _invoke(context, *resolve).exit_code == 1
    assert _invoke(context, 'calls', 'list').output == ''


async def _reserved_and_forgotten() -> None:
    group = CallGroup.create(store_delay_ms=0)
    for executor in group.executors_by_address.values():
        group.network.ends_by_address.pop(executor._transport.address)
    task = asyncio.ensure_future(
        group.runners_by_address['entry-1'].run(
            group.request(key_lifetime_ms=1000)
        )
    )
    await group.clock.sleep_ms(100)
    group.stop_entry('entry-1')
    task.cancel()
    assert isinstance(group.row().state, Reserved)
    await group.clock.sleep_ms(20_000)
    assert (await _cleaner(group, prefix_digits=0).step()).deleted == 1


def test_cleaner_deletes_the_reservation_of_a_dead_entry() -> None:
    """The entry ends before it dispatches the call."""
    run_virtual(_reserved_and_forgotten())
