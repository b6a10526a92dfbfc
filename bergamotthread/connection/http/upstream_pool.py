"""Pool of connections to upstreams, by address."""

from __future__ import annotations

import asyncio
import enum
import socket
from collections import deque
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.connection.http.upstream_connection import (
    UpstreamConnection,
)

_MS_PER_S = 1000
# Opening a connection takes one round trip, 60 ms between regions; a lost
# packet is sent again only after a second.
CONNECT_TIMEOUT_MS = 350
# A connection is closed this long before the upstream's own idle timeout.
IDLE_MARGIN_MS = 700
# Maximum idle time of a connection, also if the upstream announces more.
IDLE_MAX_MS = 4000
IDLE_PER_ADDRESS_MAX = 32
# The kernel closes a connection whose bytes are not acknowledged in this time
# (Linux).
TCP_USER_TIMEOUT_MS = 5000


class ConnectFailedError(ConnectionError):
    """The connection could not be opened, so nothing was sent."""


class Reachability(enum.Enum):
    """What an attempt to open a connection showed."""

    LISTENING = 'listening'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@dataclass
class UpstreamPool:
    """Opens connections and keeps idle ones for further requests.

    Parameters
    ----------
    echo_header
        Field in lower case in which an answer repeats its request's
        identifier.
    opened
        Number of attempts to open a connection.
    sent_bytes
        Bytes of requests of callers that were sent.
    """

    clock: Clock
    echo_header: bytes
    opened: int = 0
    sent_bytes: int = 0
    _idle_by_address: dict[str, deque[UpstreamConnection]] = field(
        default_factory=dict,
    )

    async def acquire(
        self,
        address: str,
        idle_max_ms: float = IDLE_MAX_MS,
        request_id: bytes = b'',
    ) -> UpstreamConnection:
        """Return the idle connection released last, or open a new one.

        A connection on which the same request was sent before is left out: a
        second copy of that answer can't be told from the next answer.

        Parameters
        ----------
        idle_max_ms
            Maximum idle time of a connection that is used again; less if the
            upstream announces a shorter idle timeout.
        request_id
            Identifier of the request to be sent; empty if it has none.

        Raises
        ------
        ConnectFailedError
            If the connection could not be opened in time.
        """
        idle = self._idle_by_address.get(address, deque())
        for connection in tuple(reversed(idle)):
            if not self._is_fresh(connection, idle_max_ms):
                idle.remove(connection)
                connection.close()
            elif not connection.has_sent(request_id):
                idle.remove(connection)
                return connection
        return await self._open(address)

    async def reach(
        self, address: str, stays_open_ms: float = 0
    ) -> Reachability:
        """Open a connection to see whether something listens, and keep it.

        Parameters
        ----------
        stays_open_ms
            Time for which it must stay open. The kernel closes the sockets of a
            process that ends one after another, and may accept a connection
            between two.
        """
        try:
            connection = await self._open(address)
        except ConnectFailedError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                return Reachability.REFUSED
            return Reachability.UNKNOWN
        if stays_open_ms:
            await self.clock.sleep_ms(stays_open_ms)
        if not connection.is_open:
            return Reachability.REFUSED
        self.release(connection)
        return Reachability.LISTENING

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection if it is reusable; otherwise close it."""
        if not connection.is_reusable or connection.is_writing:
            connection.close()
            return
        idle = self._idle_by_address.setdefault(connection.address, deque())
        idle.append(connection)
        if len(idle) > IDLE_PER_ADDRESS_MAX:
            idle.popleft().close()

    def close_address(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle_by_address):
            self.close_address(address)

    def close_stale(self) -> None:
        """Close idle connections that are too old or no longer reusable."""
        for address, idle in list(self._idle_by_address.items()):
            kept = deque(
                connection
                for connection in idle
                if self._keep_or_close(connection)
            )
            if kept:
                self._idle_by_address[address] = kept
            else:
                self._idle_by_address.pop(address)

    def _keep_or_close(self, connection: UpstreamConnection) -> bool:
        is_fresh = self._is_fresh(connection, IDLE_MAX_MS)
        if not is_fresh:
            connection.close()
        return is_fresh

    def _is_fresh(
        self,
        connection: UpstreamConnection,
        idle_max_ms: float,
    ) -> bool:
        limit_ms = idle_max_ms
        if connection.idle_timeout_ms is not None:
            announced_ms = connection.idle_timeout_ms - IDLE_MARGIN_MS
            limit_ms = min(announced_ms, idle_max_ms)
        idle_ms = self.clock.now_ms() - connection.last_heard_ms
        return connection.is_reusable and idle_ms < limit_ms

    async def _open(self, address: str) -> UpstreamConnection:
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self.opened += 1
        started_ms = self.clock.now_ms()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / _MS_PER_S):
                transport, connection = await loop.create_connection(
                    lambda: UpstreamConnection(
                        address,
                        self.clock,
                        self.echo_header,
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise ConnectFailedError(
                f'no connection to {address}: {error!r}',
            ) from error
        _set_options(transport)
        connection.opening_ms = self.clock.now_ms() - started_ms
        return connection


def _set_options(transport: asyncio.Transport) -> None:
    tcp_socket = transport.get_extra_info('socket')
    if tcp_socket is not None:
        tcp_socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            TCP_USER_TIMEOUT_MS,
        )
