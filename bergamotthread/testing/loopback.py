"""Ports of loopback for processes that a test or a benchmark starts."""

from __future__ import annotations

import asyncio
import itertools
import os
import socket

LOOPBACK = '127.0.0.1'
# Below the range that Linux takes for outgoing connections (32768 and up): a
# port from there may be taken again between its choice and its use.
PORT_MIN = 10_000
PORT_COUNT = 20_000
# Apart by this much, so that test runs side by side seldom try the same ones.
_STRIDE = 131

_serial = itertools.count(os.getpid() * _STRIDE)


def free_port() -> int:
    """Return a port that nothing listens on, another one with each call."""
    for number in itertools.islice(_serial, PORT_COUNT):
        port = PORT_MIN + number % PORT_COUNT
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        return port
    raise OSError(f'no free port from {PORT_MIN}, {PORT_COUNT} were tried')


def free_address() -> str:
    """Return an address of loopback with a free port."""
    return f'{LOOPBACK}:{free_port()}'


async def connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to an address (IP number and port).

    Raises
    ------
    OSError
        If nothing accepts it.
    """
    host, _, port = address.rpartition(':')
    return await asyncio.open_connection(host, int(port))
