"""TCP connections in memory and virtual time, with delays and faults.

The event loop of `run_in_memory` opens connections and servers in memory. Bytes
arrive in order after the network's delay; an address can be killed, silenced
and restored.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from bergamotthread.testing.virtual_loop import VirtualEventLoop

_Answer = TypeVar('_Answer')
_MS_PER_S = 1000
# Size of a write buffer from which on asyncio pauses a protocol.
_HIGH_WATER_BYTES = 65_536
ProtocolFactory = Callable[[], asyncio.BaseProtocol]


class MemoryTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, net: MemoryNetwork, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self.protocol = protocol
        self.address = ''
        self.peer: MemoryTransport | None = None
        self.unread: deque[bytes | None] = deque()
        self.in_transit: deque[bytes | None] = deque()
        self._net = net
        self._is_closing = False
        self._is_reading = True
        self._unsent = b''
        self._high_water: float = _HIGH_WATER_BYTES
        self._is_full = False

    def write(self, payload: bytes | bytearray | memoryview) -> None:
        """Send bytes to the other end, as far as its window allows."""
        if not self._is_closing and self.peer is not None:
            self._unsent += bytes(payload)
            self.send_on()

    def close(self) -> None:
        """Close the connection after the written bytes."""
        if self._is_closing:
            return
        self._is_closing = True
        if not self._unsent:
            self._end()

    def abort(self) -> None:
        """Close the connection; bytes that are not sent yet are lost."""
        if self._unsent:
            self._is_closing = True
            self._unsent = b''
            self._end()
        else:
            self.close()

    def is_closing(self) -> bool:
        """Return whether this end was closed."""
        return self._is_closing

    def break_off(self) -> None:
        """End the connection with `ConnectionResetError`, as a reset does."""
        if not self._is_closing:
            self._is_closing = True
            error = ConnectionResetError(104, 'Connection reset by peer')
            self.protocol.connection_lost(error)

    def pause_reading(self) -> None:
        """Buffer arriving bytes instead of passing them to the protocol."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Deliver buffered bytes and read again."""
        self._is_reading = True
        self.deliver()

    def get_write_buffer_size(self) -> int:
        """Return the bytes for which the other end has no window."""
        return len(self._unsent)

    def set_write_buffer_limits(
        self,
        high: int | None = None,
        low: int | None = None,
    ) -> None:
        """Set the size of the buffer from which on the writer must pause."""
        self._high_water = _HIGH_WATER_BYTES if high is None else high

    def send_on(self) -> None:
        """Send buffered bytes as far as the window of the other end allows."""
        if self.peer is None:
            return
        under_way = _size(self.in_transit) + _size(self.peer.unread)
        sent = self._unsent[: max(self._net.window_bytes - under_way, 0)]
        if sent:
            self._unsent = self._unsent[len(sent) :]
            self._net.carry(self, sent)
        self._tell_writer()
        if self._is_closing and sent and not self._unsent:
            self._end()

    def arrive(self, payload: bytes | None) -> None:
        """Receive bytes, or None if the other end closed."""
        self.unread.append(payload)
        self.deliver()

    def deliver(self) -> None:
        """Pass received bytes to the protocol while it reads."""
        while self.unread and self._is_reading and not self._is_closing:
            payload = self.unread.popleft()
            if payload is not None:
                self.protocol.data_received(payload)
                if self.peer is not None:
                    self.peer.send_on()
            elif not self.protocol.eof_received():
                self.close()

    def _tell_writer(self) -> None:
        """Tell the protocol when to pause and when to go on."""
        is_full = len(self._unsent) > self._high_water
        if is_full and not self._is_full:
            self._is_full = True
            self.protocol.pause_writing()
        elif self._is_full and len(self._unsent) <= self._high_water / 4:
            self._is_full = False
            self.protocol.resume_writing()

    def _end(self) -> None:
        self._net.carry(self, None)
        self._net.loop.call_soon(self.protocol.connection_lost, None)


class _MemoryServer:
    """Server that `create_server` returns."""

    def __init__(self, net: MemoryNetwork, address: str) -> None:
        self._net = net
        self._address = address

    def close(self) -> None:
        """Stop accepting connections."""
        self._net.factory_by_address.pop(self._address, None)


@dataclass
class MemoryNetwork:
    """All servers and connections of one test.

    Parameters
    ----------
    delay_ms
        Delay in each direction.
    window_bytes
        Bytes that may be under way, or unread, before a sender buffers them.
    silent
        Addresses of servers from and to which no bytes are delivered.
    held_until_ms
        Time of the loop until which all bytes and new connections wait, as on
        a link that is busy with other bytes.
    """

    loop: asyncio.AbstractEventLoop
    delay_ms: float = 1
    window_bytes: int = 1_000_000_000
    silent: set[str] = field(default_factory=set)
    held_until_ms: float = 0
    factory_by_address: dict[str, ProtocolFactory] = field(
        default_factory=dict,
    )
    transports: list[MemoryTransport] = field(default_factory=list)

    def listen(self, factory: ProtocolFactory, address: str) -> _MemoryServer:
        """Accept connections to an address."""
        self.factory_by_address[address] = factory
        return _MemoryServer(self, address)

    def hold(self, duration_ms: float) -> None:
        """Hold up all bytes and new connections for a time."""
        self.held_until_ms = self.loop.time() * _MS_PER_S + duration_ms

    def kill(self, address: str) -> None:
        """Refuse connections to an address and reset the open ones."""
        self.factory_by_address.pop(address, None)
        self.reset(address)

    def reset(self, address: str) -> None:
        """Reset the open connections to an address."""
        for transport in tuple(self.transports):
            if transport.address == address:
                transport.break_off()
                self.transports.remove(transport)

    async def connect(
        self,
        factory: ProtocolFactory,
        address: str,
    ) -> tuple[MemoryTransport, asyncio.Protocol]:
        """Open a connection; both ends store the server's address.

        Raises
        ------
        ConnectionRefusedError
            If nothing listens at the address.
        """
        await asyncio.sleep(2 * self.delay_ms / _MS_PER_S)
        await asyncio.sleep(self._held_ms / _MS_PER_S)
        if address in self.silent:
            # No answer ever arrives; the caller is expected to have a timeout.
            await self.loop.create_future()
        accept = self.factory_by_address.get(address)
        if accept is None:
            raise ConnectionRefusedError(111, f'nothing listens at {address}')
        client, server = (
            MemoryTransport(self, _protocol(make)) for make in (factory, accept)
        )
        client.peer = server
        server.peer = client
        for transport in (server, client):
            transport.address = address
            self.transports.append(transport)
            transport.protocol.connection_made(transport)
        return client, client.protocol

    def carry(self, sender: MemoryTransport, payload: bytes | None) -> None:
        """Deliver bytes to the other end after the delay."""
        if sender.address in self.silent:
            return
        # Timers that expire at the same time fire in any order; the queue keeps
        # the bytes in order.
        sender.in_transit.append(payload)
        self.loop.call_later(
            self.delay_ms / _MS_PER_S,
            self._arrive,
            sender,
        )

    @property
    def _held_ms(self) -> float:
        return max(self.held_until_ms - self.loop.time() * _MS_PER_S, 0)

    def _arrive(self, sender: MemoryTransport) -> None:
        if self._held_ms:
            self.loop.call_later(
                self._held_ms / _MS_PER_S, self._arrive, sender
            )
            return
        payload = sender.in_transit.popleft()
        if sender.peer is not None and sender.address not in self.silent:
            sender.peer.arrive(payload)


class MemoryLoop(VirtualEventLoop):
    """Virtual event loop whose connections stay in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.net = MemoryNetwork(self)

    async def create_connection(  # type: ignore[override]
        self,
        factory: ProtocolFactory,
        host: str,
        port: int,
    ) -> tuple[MemoryTransport, asyncio.Protocol]:
        """Open a connection in memory."""
        return await self.net.connect(factory, f'{host}:{port}')

    async def create_server(  # type: ignore[override]
        self,
        factory: ProtocolFactory,
        host: str,
        port: int,
        **_: object,
    ) -> _MemoryServer:
        """Accept connections in memory."""
        return self.net.listen(factory, f'{host}:{port}')


def run_in_memory(main: Coroutine[Any, Any, _Answer]) -> _Answer:
    """Run a coroutine in virtual time with connections in memory."""
    with asyncio.Runner(loop_factory=MemoryLoop) as runner:
        return runner.run(main)


def memory_network() -> MemoryNetwork:
    """Return the network of the running loop.

    Raises
    ------
    TypeError
        If the loop is not one of `run_in_memory`.
    """
    loop = asyncio.get_running_loop()
    if not isinstance(loop, MemoryLoop):
        raise TypeError(f'loop is {type(loop).__name__}, expected MemoryLoop')
    return loop.net


def _protocol(make: ProtocolFactory) -> asyncio.Protocol:
    protocol = make()
    if not isinstance(protocol, asyncio.Protocol):
        raise TypeError(
            f'protocol is {type(protocol).__name__}, expected a Protocol'
        )
    return protocol


def _size(payloads: Iterable[bytes | None]) -> int:
    return sum(len(payload or b'') for payload in payloads)
