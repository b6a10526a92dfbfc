import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from bergamotthread.clock import Clock
from bergamotthread.errors import StoreConflictError, StoreUnavailableError
from bergamotthread.process.settings import PlatformSettings
from bergamotthread.process.store.platform import HostEntry
from bergamotthread.process.store.platform_http import PlatformConnection
from bergamotthread.process.store.store_client import StoreClient, StoreUse
from bergamotthread.testing.memory_platform import (
    MemoryPlatform,
    PlatformFaults,
)
from standins.platform import create_app
from standins.serving import serving

_HOST = HostEntry('127.0.0.2:1', 'agent', 'cuyo', 'cuyo-1', leaving=True)


async def _serve(
    scenario: Callable[[StoreClient, MemoryPlatform], Awaitable[None]],
) -> None:
    clock = Clock.from_system()
    platform = MemoryPlatform(clock)
    async with serving(create_app(platform)) as address:
        settings = PlatformSettings(address, reads_per_s=1e3, writes_per_s=1e3)
        client = StoreClient.from_settings(settings, clock)
        await scenario(client, platform)
        await client.close()


async def _table(client: StoreClient, _: MemoryPlatform) -> None:
    table = client.table(StoreUse.CALLS)
    key = 'calls/a b/ü?&='
    assert await table.read(key) is None
    assert (await table.write(key, b'\x00\xff', expected=0)).revision == 1
    row = await table.read(key)
    assert (row.key, row.body, row.revision) == (key, b'\x00\xff', 1)
    with pytest.raises(StoreConflictError, match='revision 1, expected 0'):
        await table.write(key, b'', expected=0)
    assert await table.scan('calls/', limit=5) == (row,)
    await table.delete(key, expected=1)
    assert await table.scan('calls/', limit=5) == ()


async def _objects(client: StoreClient, _: MemoryPlatform) -> None:
    objects = client.object_store(StoreUse.AUDIT)
    await objects.put('audit/1', b'one')
    await objects.put('audit/1', b'one')
    with pytest.raises(StoreConflictError):
        await objects.put('audit/1', b'two')
    assert await objects.get('audit/1') == b'one'
    assert await objects.get('audit/2') is None
    assert await objects.names('audit/', limit=5) == ('audit/1',)


async def _hosts(client: StoreClient, platform: MemoryPlatform) -> None:
    platform.hosts_by_address[_HOST.address] = _HOST
    assert await client.hosts().hosts() == (_HOST,)


async def _faults(client: StoreClient, platform: MemoryPlatform) -> None:
    table = client.table(StoreUse.CALLS)
    platform.faults = PlatformFaults(lost_answers=1)
    with pytest.raises(StoreUnavailableError, match='status 503'):
        await table.write('a', b'1', expected=0)
    assert (await table.read('a')).body == b'1'
    platform.faults = PlatformFaults(down=True)
    with pytest.raises(StoreUnavailableError, match='status 503'):
        await table.read('a')


async def _control(client: StoreClient, platform: MemoryPlatform) -> None:
    await client.connection.request(
        'POST',
        '/control/faults',
        {},
        b'{"down":true,"delay_ms":3}',
    )
    assert platform.faults == PlatformFaults(down=True, delay_ms=3)
    with pytest.raises(StoreUnavailableError, match='status 400'):
        await client.connection.request('POST', '/control/faults', {}, b'[]')


@pytest.mark.parametrize(
    'scenario',
    [_table, _objects, _hosts, _faults, _control],
)
def test_protocol(scenario: Callable[..., Awaitable[None]]) -> None:
    asyncio.run(_serve(scenario))


async def _nobody() -> None:
    listener = socket.create_server(('127.0.0.1', 0))
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    listener.close()
    connection = PlatformConnection(address, timeout_ms=500)
    with pytest.raises(StoreUnavailableError, match='no answer'):
        await connection.request('GET', '/v1/hosts', {})


def test_refused_connection_is_unavailable() -> None:
    asyncio.run(_nobody())
