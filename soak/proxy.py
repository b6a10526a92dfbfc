"""A loopback proxy that delays, resets and cuts connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field

from bergamotthread.testing.loopback import connect

_CHUNK_BYTES = 65_536
# SO_LINGER value: closing sends a reset instead of the end of the stream.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_MS_PER_S = 1000


class _Way:
    """One direction of all connections of a proxy."""

    def __init__(self) -> None:
        self.is_open = asyncio.Event()
        self.is_open.set()


@dataclass
class _Hold:
    """Connections held back, by their ports at the side that opened them."""

    ports: frozenset[int] = frozenset()
    released: asyncio.Event = field(default_factory=asyncio.Event)


class LoopbackProxy:
    """Forwards connections from its own address to a target address.

    A cut direction holds back what is sent until `heal`, as a network does that
    drops packets until it recovers.

    Parameters
    ----------
    delay_ms
        Delay of each chunk, in each direction.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.delay_ms = float(0)
        self.up = _Way()
        self.down = _Way()
        self._hold_by_name: dict[str, _Hold] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start accepting connections."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._carry,
            host,
            int(port),
        )

    def refuse(self) -> None:
        """Refuse connections until `start`, as if the target had ended."""
        if self._server is not None:
            self._server.close()
            self._server = None

    @property
    def is_refusing(self) -> bool:
        """Return whether connections are refused."""
        return self._server is None

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in tuple(self._writers):
            _reset(writer)

    def hold(self, name: str, ports: frozenset[int]) -> None:
        """Hold back what connections from these ports carry, until `release`.

        Replaces the ports held under the same name.
        """
        self._hold_by_name.setdefault(name, _Hold()).ports = ports

    def release(self, name: str) -> None:
        """Let the connections go on that are held under this name."""
        hold = self._hold_by_name.pop(name, None)
        if hold is not None:
            hold.released.set()

    def heal(self) -> None:
        """Remove the delay and the cuts of both directions."""
        self.delay_ms = 0
        self.up.is_open.set()
        self.down.is_open.set()

    async def close(self) -> None:
        """Stop accepting connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
        self.reset_all()
        for task in tuple(self._tasks):
            task.cancel()

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        try:
            await self.up.is_open.wait()
            target_reader, target_writer = await connect(self.target)
        except OSError:
            self._drop(writer)
            return
        self._writers.add(target_writer)
        port = writer.get_extra_info('peername')[1]
        pumps = (
            self._pump(reader, target_writer, self.up, port),
            self._pump(target_reader, writer, self.down, port),
        )
        tasks = [asyncio.create_task(pump) for pump in pumps]
        self._tasks.update(tasks)
        done, _ = await asyncio.wait(
            tasks,
            return_when=asyncio.FIRST_EXCEPTION,
        )
        for task in tasks:
            task.cancel()
        for task in done:
            # Retrieved so that asyncio does not log it: the end of a connection
            # is expected here.
            task.exception()
        self._tasks.difference_update(tasks)
        self._drop(writer)
        self._drop(target_writer)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: _Way,
        port: int,
    ) -> None:
        while payload := await reader.read(_CHUNK_BYTES):
            if self.delay_ms:
                await asyncio.sleep(self.delay_ms / _MS_PER_S)
            await way.is_open.wait()
            await self._until_released(port)
            writer.write(payload)
            await writer.drain()
        await way.is_open.wait()
        writer.write_eof()
        raise ConnectionError('the peer closed the connection')

    async def _until_released(self, port: int) -> None:
        for hold in tuple(self._hold_by_name.values()):
            if port in hold.ports:
                await hold.released.wait()

    def _drop(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        with contextlib.suppress(OSError, RuntimeError):
            writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            _RESET_ON_CLOSE,
        )
    writer.transport.abort()
