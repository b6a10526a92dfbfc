from __future__ import annotations

import asyncio

import pytest

from bergamotthread.testing.loopback import connect, free_address
from soak.proxy import LoopbackProxy


async def _echo(reader, writer):
    while line := await reader.readline():
        writer.write(line)
    writer.close()


async def _start_proxy():
    """Return a proxy to an echo server, and a connection to the proxy."""
    target = free_address()
    host, _, port = target.rpartition(':')
    await asyncio.start_server(_echo, host, int(port))
    proxy = LoopbackProxy(free_address(), target)
    await proxy.start()
    return proxy, await connect(proxy.address)


@pytest.mark.parametrize('way', ['up', 'down'])
def test_cut_direction_holds_data_back_until_heal(way):
    async def check():
        proxy, (reader, writer) = await _start_proxy()
        writer.write(b'one\n')
        assert await reader.readline() == b'one\n'
        getattr(proxy, way).is_open.clear()
        writer.write(b'two\n')
        read_task = asyncio.create_task(reader.readline())
        await asyncio.sleep(0.05)
        assert not read_task.done()
        proxy.heal()
        assert await read_task == b'two\n'
        await proxy.close()

    asyncio.run(check())


def test_reset_ends_open_connections():
    async def check():
        proxy, (reader, writer) = await _start_proxy()
        writer.write(b'one\n')
        assert await reader.readline() == b'one\n'
        proxy.reset_all()
        with pytest.raises(ConnectionResetError):
            await reader.readline()
        await proxy.close()

    asyncio.run(check())


def test_unreachable_target_ends_the_connection():
    async def check():
        proxy = LoopbackProxy(free_address(), free_address())
        await proxy.start()
        reader, _ = await connect(proxy.address)
        assert await reader.read() == b''
        await proxy.close()

    asyncio.run(check())


def test_held_connection_goes_on_once_released():
    """A hold that also held other connections would hide which path is slow."""

    async def check():
        proxy, (reader, writer) = await _start_proxy()
        other_reader, other_writer = await connect(proxy.address)
        port = writer.get_extra_info('sockname')[1]
        proxy.hold('entry0', frozenset())
        proxy.hold('entry0', frozenset((port,)))
        writer.write(b'held\n')
        other_writer.write(b'free\n')
        assert await other_reader.readline() == b'free\n'
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.readline()
        proxy.release('entry1')
        proxy.release('entry0')
        assert await reader.readline() == b'held\n'
        await proxy.close()

    asyncio.run(check())
