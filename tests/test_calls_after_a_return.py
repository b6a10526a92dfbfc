"""Calls that run once, while the store comes back from a copy."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.errors import StoreConflictError, StoreUnavailableError
from bergamotthread.platform.store import PlatformStoreClient, RowChange
from bergamotthread.platform.store_version import StoreVersion
from bergamotthread.platform.tables import ROWS_TABLE, PlatformTable
from bergamotthread.process.calls.kept_call_rows import (
    REWRITE_MS,
    KeptCallRows,
)
from bergamotthread.process.store.platform import StoreReturns
from bergamotthread.request.call_row import Done, decode_row, row_key
from bergamotthread.request.refusal import Ran, Refusal, RefusedError
from bergamotthread.testing.call_group import SERVICE, TEAM, CallGroup
from bergamotthread.testing.memory_http import memory_network, run_in_memory
from standins.platform_store import StoreStandIn

STORE = '10.200.1.7:8000'
ENTRIES = ('entry-1', 'entry-2')


class World:
    """Two entries with clients of their own, two agents and a store."""

    def __init__(self) -> None:
        self.net = memory_network()
        self.group = CallGroup.create(checks_fencing=False)
        self.clock = self.group.clock
        self.store = StoreStandIn(self.clock)
        self.rows: dict[str, KeptCallRows] = {}
        self.tasks: list[asyncio.Task[None]] = []

    @classmethod
    async def start(cls) -> World:
        world = cls()
        await world.store.listen(STORE)
        for address in ENTRIES:
            client = PlatformStoreClient(STORE, UpstreamPool(world.clock, b''))
            returns = StoreReturns()
            client.eras.listeners.append(
                lambda *_, returns=returns: returns.notify()
            )
            table = PlatformTable(client)
            await table.read('versions/newest')
            rows = KeptCallRows(table, world.clock, returns)
            world.rows[address] = rows
            world.tasks.append(asyncio.create_task(rows.run()))
            world.group.start_entry(address, rows)
        return world

    async def call(self, address: str) -> object:
        runner = self.group.runners_by_address[address]
        try:
            return await runner.run(self.group.request())
        except RefusedError as error:
            return error.refusal

    async def fall_back(self, ver: int, outage_ms: float = 200) -> None:
        self.store.status = 503
        self.net.reset(STORE)
        await self.clock.sleep_ms(outage_ms)
        self.store.restore(min(ver, self.store.ver))
        self.store.status = 0

    def stored(self) -> object:
        key = row_key(SERVICE, TEAM, 'k')
        return decode_row(self.store._row_by_key[ROWS_TABLE, key].payload)


@pytest.mark.parametrize('copy', range(3))
@pytest.mark.parametrize('times', [1, 2])
@pytest.mark.parametrize('retried_at', ENTRIES)
def test_call_whose_record_is_lost_does_not_run_again(copy, times, retried_at):
    """The copy holds no row, a reserved one or a dispatched one."""

    async def check():
        world = await World.start()
        answer = await world.call('entry-1')
        assert answer.status == 200
        await world.clock.sleep_ms(100)
        assert isinstance(world.stored().state, Done)
        for _ in range(times):
            await world.fall_back(copy)
        again = await world.call(retried_at)
        assert world.group.runs() == 1
        assert (again.body, again.replayed) == (answer.body, True)
        assert isinstance(world.stored().state, Done)

    run_in_memory(check())


@pytest.mark.parametrize('copy', range(4))
@pytest.mark.parametrize('first_ms', range(0, 400, 50))
def test_call_in_flight_while_the_store_falls_back_runs_once(copy, first_ms):
    """The store falls back at any moment of a call that another one repeats."""

    async def check(retry_ms: float, is_twice: bool):
        world = await World.start()
        world.group.service.delay_ms = 200
        first = asyncio.create_task(world.call('entry-1'))
        await world.clock.sleep_ms(first_ms)
        await world.fall_back(copy, 100)
        await world.clock.sleep_ms(retry_ms)
        if is_twice:
            await world.fall_back(copy, 100)
        second = asyncio.create_task(world.call('entry-2'))
        answers = [await first, await second]
        await world.clock.sleep_ms(10_000)
        last = await world.call('entry-1')
        assert world.group.runs() <= 1
        for answer in (*answers, last):
            is_refused = isinstance(answer, Refusal)
            if is_refused and answer.ran is Ran.NOT_RUN:
                continue
            assert is_refused or answer.body == b'k ran 1'

    for retry_ms, is_twice in itertools.product((0, 50, 1200), (False, True)):
        run_in_memory(check(retry_ms, is_twice))


def test_key_is_not_reserved_before_its_row_is_back():
    async def check():
        world = await World.start()
        await world.call('entry-1')
        await world.clock.sleep_ms(100)
        world.store.restore(0)
        key = row_key(SERVICE, TEAM, 'k')
        with pytest.raises(StoreUnavailableError, match='written again'):
            await world.rows['entry-2'].read(key)
        with pytest.raises(StoreUnavailableError):
            await world.rows['entry-2'].write(key, b'', expected=0)
        assert await world.rows['entry-2'].read('other') is None
        await world.clock.sleep_ms(REWRITE_MS)
        row = await world.rows['entry-2'].read(key)
        assert isinstance(decode_row(row.body).state, Done)
        assert world.rows['entry-1'].rewritten_count == 1

    run_in_memory(check())


def test_revision_of_an_old_era_matches_no_row():
    async def check():
        world = await World.start()
        table = world.rows['entry-1']
        former = await table.write('a', b'1', expected=0)
        world.store.restore(0)
        world.store.put(ROWS_TABLE, 'a', b'other')
        newer = await table.read('a')
        assert newer.revision > former.revision
        with pytest.raises(StoreConflictError, match='era 1'):
            await table.write('a', b'2', expected=former.revision)
        with pytest.raises(StoreConflictError):
            await table.delete('a', expected=former.revision)
        assert await table.read('a') == newer
        written = await table.write('a', b'3', expected=newer.revision)
        await table.delete('a', expected=written.revision)

    run_in_memory(check())


def test_write_that_meets_a_number_given_out_again_is_not_confirmed():
    async def check():
        world = await World.start()
        client = PlatformStoreClient(STORE, UpstreamPool(world.clock, b''))
        change = RowChange(ROWS_TABLE, 'a', b'1', StoreVersion())
        version = await client.change(change)
        world.store.restore(0)
        world.store.put(ROWS_TABLE, 'a', b'other')
        with pytest.raises(Exception, match='written in era 1'):
            await client.change(RowChange(ROWS_TABLE, 'a', b'2', version))

    run_in_memory(check())
