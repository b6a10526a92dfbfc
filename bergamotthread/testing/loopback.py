"""Free loopback ports for processes that tests and benchmarks start."""

from __future__ import annotations

import asyncio
import itertools
import os
import socket

LOOPBACK = '127.0.0.1'
# Below Linux's range of ephemeral ports (32768 and up): an outgoing connection
# may take a port of that range after it was chosen and before it is used.
PORT_MIN = 10_000
PORT_COUNT = 20_000
# Distance between the first ports of processes with consecutive ids, so that
# parallel test runs rarely try the same ports.
_STRIDE = 131

_serial = itertools.count(os.getpid() * _STRIDE)


def free_port() -> int:
    """Return a port that nothing listens on, a new one with each call."""
    for serial in itertools.islice(_serial, PORT_COUNT):
        port = PORT_MIN + serial % PORT_COUNT
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        return port
    raise OSError(
        f'no free port from {PORT_MIN} on, {PORT_COUNT} ports were tried'
    )


def free_address() -> str:
    """Return a loopback address with a free port."""
    return f'{LOOPBACK}:{free_port()}'


async def connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to an address (IP number and port).

    Raises
    ------
    OSError
        If the connection is not accepted.
    """
    host, _, port = address.rpartition(':')
    return await asyncio.open_connection(host, int(port))
