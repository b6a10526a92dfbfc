from __future__ import annotations

import asyncio

import pytest

from bergamotthread.testing.loopback import connect, free_address
from soak.proxy import LoopbackProxy


async def _echo(reader, writer):
    while line := await reader.readline():
        writer.write(line)
    writer.close()


async def _started():
    """Return a proxy before a server that sends lines back, and a way in."""
    target = free_address()
    host, _, port = target.rpartition(':')
    await asyncio.start_server(_echo, host, int(port))
    proxy = LoopbackProxy(free_address(), target)
    await proxy.start()
    return proxy, await connect(proxy.address)


@pytest.mark.parametrize('way', ['up', 'down'])
def test_cut_direction_holds_what_is_sent_until_it_heals(way):
    async def check():
        proxy, (reader, writer) = await _started()
        writer.write(b'one\n')
        assert await reader.readline() == b'one\n'
        getattr(proxy, way).is_open.clear()
        writer.write(b'two\n')
        waiting = asyncio.create_task(reader.readline())
        await asyncio.sleep(0.05)
        assert not waiting.done()
        proxy.heal()
        assert await waiting == b'two\n'
        await proxy.close()

    asyncio.run(check())


def test_reset_ends_open_connections():
    async def check():
        proxy, (reader, writer) = await _started()
        writer.write(b'one\n')
        assert await reader.readline() == b'one\n'
        proxy.reset_all()
        with pytest.raises(ConnectionResetError):
            await reader.readline()
        await proxy.close()

    asyncio.run(check())


def test_target_that_is_away_ends_the_connection():
    async def check():
        proxy = LoopbackProxy(free_address(), free_address())
        await proxy.start()
        reader, _ = await connect(proxy.address)
        assert await reader.read() == b''
        await proxy.close()

    asyncio.run(check())
