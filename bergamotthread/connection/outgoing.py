"""Socket that sends messages to one peer."""

from __future__ import annotations

import asyncio

import zmq

from bergamotthread.clock import Clock
from bergamotthread.connection.address import Address
from bergamotthread.connection.curve import secure_client
from bergamotthread.connection.handshake import HandshakeMonitor
from bergamotthread.connection.socket_options import set_common_options
from bergamotthread.process.settings import KeySettings

SEND_QUEUE_MESSAGES = 2000
RECONNECT_DELAY_MS = 50
# A restarted entry must receive its agents' output within the 3 s allowed for a
# resume. Reconnecting every 500 ms costs 0.2 KB/s for each unreachable peer.
RECONNECT_DELAY_MAX_MS = 500
MAX_DELAY_DOUBLINGS = 8

_Socket = zmq.Socket[bytes]


class OutgoingConnection:
    """Connects to one peer and queues messages for it.

    ZeroMQ does not reconnect after a failed handshake, so this class does,
    with the next accepted server key and after a delay that doubles each time,
    up to `RECONNECT_DELAY_MAX_MS`. Messages that were queued for the failed
    handshake are lost.
    """

    def __init__(
        self,
        context: zmq.Context[_Socket],
        address: Address,
        keys: KeySettings,
        clock: Clock,
    ) -> None:
        self.last_used_ms = clock.now_ms()
        self._endpoint = f'tcp://{address}'
        self._keys = keys
        self._clock = clock
        self._server_keys = _distinct_server_keys(keys)
        self._failures = 0
        self._consecutive_failures = 0
        self._reconnecting: asyncio.Task[None] | None = None
        self._socket = context.socket(zmq.PUSH)
        self._set_options(address)
        self._monitor = HandshakeMonitor.for_client(
            self._socket,
            self._on_handshake,
        )
        self._connect()

    def send(self, encoded: bytes) -> None:
        """Queue an encoded message.

        Raises
        ------
        zmq.Again
            If the queue is full.
        """
        self.last_used_ms = self._clock.now_ms()
        self._socket.send(encoded, zmq.NOBLOCK)

    def close(self) -> None:
        """Close the socket and drop queued messages."""
        if self._reconnecting is not None:
            self._reconnecting.cancel()
        self._monitor.close()
        self._socket.close(linger=0)

    def _set_options(self, address: Address) -> None:
        set_common_options(self._socket, address)
        self._socket.sndhwm = SEND_QUEUE_MESSAGES
        self._socket.reconnect_ivl = RECONNECT_DELAY_MS
        self._socket.reconnect_ivl_max = RECONNECT_DELAY_MAX_MS

    def _connect(self) -> None:
        if self._server_keys:
            index = self._failures % len(self._server_keys)
            secure_client(self._socket, self._keys, self._server_keys[index])
        self._socket.connect(self._endpoint)

    def _on_handshake(self, succeeded: bool) -> None:
        if succeeded:
            self._consecutive_failures = 0
            return
        if self._reconnecting is None or self._reconnecting.done():
            self._failures += 1
            self._consecutive_failures += 1
            self._reconnecting = asyncio.create_task(self._reconnect())

    async def _reconnect(self) -> None:
        delay_ms = RECONNECT_DELAY_MS * 2 ** min(
            self._consecutive_failures, MAX_DELAY_DOUBLINGS
        )
        await self._clock.sleep_ms(min(delay_ms, RECONNECT_DELAY_MAX_MS))
        self._socket.disconnect(self._endpoint)
        self._connect()


def _distinct_server_keys(keys: KeySettings) -> tuple[str, ...]:
    if not keys.curve_public:
        return ()
    return tuple(dict.fromkeys((keys.curve_public, *keys.curve_accepted)))
