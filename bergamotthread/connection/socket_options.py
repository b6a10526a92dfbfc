"""Options common to sending and receiving sockets."""

from __future__ import annotations

import zmq

from bergamotthread.connection.address import Address

SOCKET_HEARTBEAT_INTERVAL_MS = 5000
HEARTBEAT_TIMEOUT_MS = 15_000


def set_common_options(socket: zmq.Socket[bytes], address: Address) -> None:
    """Drop unsent messages on close; detect dead peers by heartbeats."""
    socket.linger = 0
    socket.ipv6 = address.is_ipv6
    socket.heartbeat_ivl = SOCKET_HEARTBEAT_INTERVAL_MS
    socket.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
    socket.heartbeat_ttl = HEARTBEAT_TIMEOUT_MS
