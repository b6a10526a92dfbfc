"""Transport over TCP with ZeroMQ.

One PULL socket receives from all peers, and one PUSH socket per peer sends. No
socket is used in both directions, so each has a single source of wake-ups.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

import zmq
from absl import logging
from zmq.auth.asyncio import AsyncioAuthenticator

from bergamotthread.clock import Clock
from bergamotthread.connection.address import Address, AddressError
from bergamotthread.connection.curve import (
    CurveGate,
    secure_server,
    start_authenticator,
)
from bergamotthread.connection.handshake import HandshakeMonitor
from bergamotthread.connection.outgoing import OutgoingConnection
from bergamotthread.connection.socket_options import set_common_options
from bergamotthread.connection.transport import Receiver, Transport
from bergamotthread.errors import BergamotError, DecodeError, Step
from bergamotthread.process.settings import KeySettings, PlaceSettings
from bergamotthread.wire.codec import (
    MAX_ENVELOPE_BYTES,
    decode_envelope,
    encode_envelope,
)
from bergamotthread.wire.messages import Envelope, Message

RECEIVE_QUEUE_MESSAGES = 4000
MESSAGES_PER_WAKE_UP = 256
IDLE_TIMEOUT_MS = 60_000
MAX_SOCKETS = 16_384
MAX_DROP_COUNTERS = 1024

_Socket = zmq.Socket[bytes]


@dataclass
class TransportCounters:
    """Counts since the start of the transport.

    Parameters
    ----------
    undecodable
        Received messages that could not be decoded.
    dropped
        Messages to send that could not be queued.
    """

    sent: int = 0
    received: int = 0
    received_bytes: int = 0
    undecodable: int = 0
    dropped: int = 0
    dropped_by_peer: dict[str, int] = field(default_factory=dict)

    def count_drop(self, peer: str) -> None:
        """Count a message for `peer` that could not be queued."""
        self.dropped += 1
        if len(self.dropped_by_peer) >= MAX_DROP_COUNTERS:
            self.dropped_by_peer.clear()
        drops = self.dropped_by_peer.get(peer, 0)
        self.dropped_by_peer[peer] = drops + 1


class ZmqTransport(Transport):
    """Exchanges messages with peers over TCP; needs a running event loop.

    A message is dropped and counted if it cannot be queued, because the queue
    of its peer is full or the address is invalid.
    Messages queued for an unreachable peer are sent once it is back; they are
    dropped if a handshake fails or nothing was sent to the peer for
    `IDLE_TIMEOUT_MS`.
    """

    def __init__(
        self,
        address: Address,
        keys: KeySettings,
        clock: Clock,
    ) -> None:
        self.incarnation = clock.calendar_ms()
        self.counters = TransportCounters()
        self.gate = CurveGate.from_settings(keys, clock)
        self._keys = keys
        self._clock = clock
        self._receiver: Receiver | None = None
        self._outgoing_by_peer: dict[str, OutgoingConnection] = {}
        self._idle_task: asyncio.Task[None] | None = None
        self._context = _create_context()
        self._authenticator = self._start_authenticator()
        self._incoming = self._bind(address)
        self._monitor = self._monitor_handshakes()
        self.address = _bound_address(self._incoming)

    @classmethod
    def from_settings(
        cls,
        place: PlaceSettings,
        keys: KeySettings,
        clock: Clock,
    ) -> ZmqTransport:
        """Bind the address of `place`; received messages wait for `start`."""
        return cls(Address.from_text(place.address), keys, clock)

    @property
    def open_peers(self) -> int:
        """Return the number of peers with an open sending socket."""
        return len(self._outgoing_by_peer)

    @property
    def refused_peers(self) -> int:
        """Return the number of connections that were refused."""
        return self.gate.refused

    def send(self, peer: str, message: Message) -> None:
        """Queue a message for `peer` (IP address and port); never blocks."""
        if self._context.closed:
            return
        envelope = Envelope(self.address, self.incarnation, message)
        encoded = encode_envelope(envelope)
        try:
            self._outgoing(peer).send(encoded)
        except (zmq.ZMQError, AddressError) as error:
            self._record_drop(peer, error)
        else:
            self.counters.sent += 1

    def start(self, receiver: Receiver) -> None:
        """Start passing received envelopes to `receiver`."""
        self._receiver = receiver
        loop = asyncio.get_running_loop()
        loop.add_reader(self._incoming.fileno(), self._receive_queued)
        loop.call_soon(self._receive_queued)
        self._idle_task = loop.create_task(self._close_idle())

    def close(self) -> None:
        """Stop and release all connections."""
        if self._context.closed:
            return
        if self._idle_task is not None:
            self._idle_task.cancel()
            asyncio.get_running_loop().remove_reader(self._incoming.fileno())
        self._receiver = None
        if self._monitor is not None:
            self._monitor.close()
        if self._authenticator is not None:
            self._authenticator.stop()
        for outgoing in self._outgoing_by_peer.values():
            outgoing.close()
        self._context.destroy(linger=0)
        self._outgoing_by_peer.clear()

    def _start_authenticator(self) -> AsyncioAuthenticator | None:
        if self._keys.curve_public:
            return start_authenticator(self._context, self.gate)
        return None

    def _bind(self, address: Address) -> _Socket:
        socket = self._context.socket(zmq.PULL)
        set_common_options(socket, address)
        socket.rcvhwm = RECEIVE_QUEUE_MESSAGES
        socket.maxmsgsize = MAX_ENVELOPE_BYTES
        if self._keys.curve_public:
            secure_server(socket, self._keys)
        try:
            socket.bind(f'tcp://{address}')
        except zmq.ZMQError as error:
            self._context.destroy(linger=0)
            raise BergamotError(
                f'cannot bind {address}: {error}',
                step=Step.TRANSPORT,
            ) from error
        return socket

    def _monitor_handshakes(self) -> HandshakeMonitor | None:
        if not self._keys.curve_public:
            return None
        return HandshakeMonitor.for_server(self._incoming, self._refuse)

    def _refuse(self, succeeded: bool) -> None:
        self.gate.peer_ip = ''
        self.gate.refuse('CURVE handshake not completed')

    def _outgoing(self, peer: str) -> OutgoingConnection:
        outgoing = self._outgoing_by_peer.get(peer)
        if outgoing is None:
            address = Address.from_text(peer)
            outgoing = OutgoingConnection(
                self._context,
                address,
                self._keys,
                self._clock,
            )
            self._outgoing_by_peer[peer] = outgoing
        return outgoing

    def _record_drop(self, peer: str, error: Exception) -> None:
        self.counters.count_drop(peer)
        if self.counters.dropped_by_peer[peer] == 1:
            logging.warning(
                'cannot queue messages for %s; they are dropped: %s',
                peer,
                error,
            )

    def _receive_queued(self) -> None:
        for _ in range(MESSAGES_PER_WAKE_UP):
            if self._receiver is None:
                return
            try:
                encoded = self._incoming.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._deliver(encoded, self._receiver)
        asyncio.get_running_loop().call_soon(self._receive_queued)

    def _deliver(self, encoded: bytes, receiver: Receiver) -> None:
        self.counters.received += 1
        self.counters.received_bytes += len(encoded)
        try:
            receiver(decode_envelope(encoded))
        except DecodeError as error:
            self.counters.undecodable += 1
            logging.warning('%s', error)
        except Exception:
            logging.exception(
                'receiver raised an exception while handling a message'
            )

    async def _close_idle(self) -> None:
        while True:
            await self._clock.sleep_ms(IDLE_TIMEOUT_MS / 2)
            oldest_used_ms = self._clock.now_ms() - IDLE_TIMEOUT_MS
            for peer, outgoing in tuple(self._outgoing_by_peer.items()):
                if outgoing.last_used_ms < oldest_used_ms:
                    self._outgoing_by_peer.pop(peer)
                    outgoing.close()


def _create_context() -> zmq.Context[_Socket]:
    context: zmq.Context[_Socket] = zmq.Context()
    with contextlib.suppress(zmq.ZMQError):
        context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
    return context


def _bound_address(socket: _Socket) -> str:
    endpoint = socket.get_string(zmq.LAST_ENDPOINT)
    return endpoint.rstrip('\0').removeprefix('tcp://')
