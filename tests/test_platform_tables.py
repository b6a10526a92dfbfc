"""Table, object store and host list on a stand-in of the platform's store."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from bergamotthread.clock import Clock
from bergamotthread.errors import StoreConflictError, StoreUnavailableError
from bergamotthread.platform.tables import HOSTS_TABLE, ROWS_TABLE, open_store
from bergamotthread.process.settings import PlatformSettings
from bergamotthread.process.store.platform import HostEntry
from bergamotthread.process.store.store_client import StoreUse
from bergamotthread.testing.loopback import free_address
from standins.platform_store import NAMES_MAX, StoreStandIn, serving_store

_HOST = HostEntry('127.0.0.2:1', 'agent', 'cuyo', 'cuyo-1', leaving=True)


def _run(scenario) -> None:
    async def serve() -> None:
        clock = Clock.from_system()
        store = StoreStandIn(clock)
        async with serving_store(store) as address:
            settings = PlatformSettings(address, 1e4, 1e4, 2000)
            client = open_store(settings, clock)
            await scenario(client, store)
            client.close()

    asyncio.run(serve())


def test_written_rows_are_read_scanned_and_deleted():
    async def scenario(client, _):
        table = client.table(StoreUse.CALLS)
        key = 'calls/a b/ü?&='
        assert await table.read(key) is None
        first = await table.write(key, b'\x00\xff', expected=0)
        assert await table.read(key) == first
        assert (first.key, first.body) == (key, b'\x00\xff')
        second = await table.write(key, b'2', expected=first.revision)
        assert second.revision > first.revision
        assert await table.scan('calls/', limit=5) == (second,)
        await table.delete(key, expected=second.revision)
        assert await table.scan('calls/', limit=5) == ()

    _run(scenario)


def test_write_with_a_wrong_revision_changes_nothing():
    async def scenario(client, _):
        table = client.table(StoreUse.CALLS)
        row = await table.write('a', b'1', expected=0)
        for expected in (0, row.revision + 1):
            with pytest.raises(StoreConflictError, match='412'):
                await table.write('a', b'2', expected=expected)
        with pytest.raises(StoreConflictError):
            await table.delete('a', expected=0)
        with pytest.raises(StoreConflictError):
            await table.write('b', b'2', expected=row.revision)
        assert await table.read('a') == row

    _run(scenario)


def test_row_written_again_after_a_delete_has_a_new_revision():
    async def scenario(client, _):
        table = client.table(StoreUse.CALLS)
        first = await table.write('a', b'1', expected=0)
        await table.delete('a', expected=first.revision)
        await table.write('a', b'1', expected=0)
        with pytest.raises(StoreConflictError):
            await table.write('a', b'2', expected=first.revision)

    _run(scenario)


def test_scan_returns_all_pages_of_its_prefix_only():
    async def scenario(client, store):
        for number in range(1201):
            store.put(ROWS_TABLE, f'p/{number:04}', b'1')
        store.put(ROWS_TABLE, 'q', b'1')
        store.put('other', 'p/0', b'1')
        table = client.table(StoreUse.CALLS)
        keys = [row.key for row in await table.scan('p/', limit=5000)]
        assert keys == [f'p/{number:04}' for number in range(1201)]
        assert len(await table.scan('p/', limit=700)) == 700
        calls = len(store.calls)
        assert len(await table.scan('p/00', limit=100)) == 100
        assert len(store.calls) == calls + 1

    _run(scenario)


def test_object_cannot_be_replaced_by_another_body():
    async def scenario(client, _):
        objects = client.object_store(StoreUse.AUDIT)
        name = 'audit/1 ü/2'
        await objects.put(name, b'one')
        await objects.put(name, b'one')
        with pytest.raises(StoreConflictError):
            await objects.put(name, b'two')
        assert await objects.get(name) == b'one'
        assert await objects.get('audit/2') is None
        assert await objects.names('audit/', limit=5) == (name,)

    _run(scenario)


def test_object_names_of_all_pages_are_returned():
    async def scenario(client, _):
        objects = client.object_store(StoreUse.AUDIT)
        names = tuple(f'a/{number:04}' for number in range(NAMES_MAX + 1))
        for name in names:
            await objects.put(name, b'')
        assert await objects.names('a/', limit=5000) == names
        assert await objects.names('a/', limit=3) == names[:3]

    _run(scenario)


def test_host_list_skips_rows_that_are_no_hosts():
    async def scenario(client, store):
        store.put(HOSTS_TABLE, _HOST.address, dataclasses.asdict(_HOST))
        store.put(HOSTS_TABLE, 'odd', b'\xff')
        store.put(HOSTS_TABLE, 'other', {'address': 7})
        assert await client.hosts().hosts() == (_HOST,)

    _run(scenario)


def test_write_with_a_lost_answer_may_have_taken_effect():
    async def scenario(client, store):
        table = client.table(StoreUse.CALLS)
        store.lost_writes = 1
        with pytest.raises(StoreUnavailableError, match='no answer'):
            await table.write('a', b'1', expected=0)
        assert (await table.read('a')).body == b'1'

    _run(scenario)


@pytest.mark.parametrize('status', [429, 503])
def test_error_status_of_the_store_is_unavailable(status):
    async def scenario(client, store):
        store.status = status
        with pytest.raises(StoreUnavailableError, match=f'status {status}'):
            await client.table(StoreUse.CALLS).read('a')

    _run(scenario)


def test_refused_connection_is_unavailable():
    async def check():
        settings = PlatformSettings(free_address(), timeout_ms=500)
        client = open_store(settings, Clock.from_system())
        with pytest.raises(StoreUnavailableError, match='no answer'):
            await client.hosts().hosts()

    asyncio.run(check())
