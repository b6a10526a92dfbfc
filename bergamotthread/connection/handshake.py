"""Monitor of the CURVE handshakes of a ZeroMQ socket."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import zmq
from zmq.utils.monitor import parse_monitor_message

_Socket = zmq.Socket[bytes]

_FAILED = (
    zmq.Event.HANDSHAKE_FAILED_NO_DETAIL | zmq.Event.HANDSHAKE_FAILED_PROTOCOL
)
_CLIENT_EVENTS = (
    _FAILED | zmq.Event.HANDSHAKE_FAILED_AUTH | zmq.Event.HANDSHAKE_SUCCEEDED
)


class HandshakeMonitor:
    """Reports the outcome of each handshake of one socket.

    Parameters
    ----------
    on_outcome
        Called with whether the handshake succeeded.
    events
        Outcomes to report, as event flags of ZeroMQ.
    """

    def __init__(
        self,
        socket: _Socket,
        on_outcome: Callable[[bool], None],
        events: int,
    ) -> None:
        self._socket = socket
        self._on_outcome = on_outcome
        self._monitor: _Socket = socket.get_monitor_socket(events)
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._monitor.fileno(), self._report_events)
        self._loop.call_soon(self._report_events)

    @classmethod
    def for_client(
        cls,
        socket: _Socket,
        on_outcome: Callable[[bool], None],
    ) -> HandshakeMonitor:
        """Monitor a connecting socket."""
        return cls(socket, on_outcome, _CLIENT_EVENTS)

    @classmethod
    def for_server(
        cls,
        socket: _Socket,
        on_outcome: Callable[[bool], None],
    ) -> HandshakeMonitor:
        """Monitor a bound socket for peers that fail before their key is read.

        The side that first notices a failure closes the connection, so a peer
        without keys may be reported as a failure without detail.
        """
        return cls(socket, on_outcome, _FAILED)

    def close(self) -> None:
        """Stop monitoring; must be called before the socket is closed."""
        if not self._monitor.closed:
            self._loop.remove_reader(self._monitor.fileno())
            self._socket.disable_monitor()
            self._monitor.close(linger=0)

    def _report_events(self) -> None:
        while not self._monitor.closed:
            try:
                parts = self._monitor.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            event = parse_monitor_message(parts)['event']
            self._on_outcome(event == zmq.Event.HANDSHAKE_SUCCEEDED)
