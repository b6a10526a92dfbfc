from __future__ import annotations

import socket

from bergamotthread.testing.loopback import (
    LOOPBACK,
    PORT_COUNT,
    PORT_MIN,
    free_port,
)

# Lowest port that Linux uses by default for outgoing connections.
EPHEMERAL_PORT_MIN = 32_768


def test_ports_are_below_those_of_outgoing_connections():
    ports = [free_port() for _ in range(50)]
    assert min(ports) >= PORT_MIN
    assert max(ports) < EPHEMERAL_PORT_MIN
    assert PORT_MIN + PORT_COUNT <= EPHEMERAL_PORT_MIN


def test_port_in_use_is_skipped():
    previous = free_port()
    with socket.socket() as taken:
        taken.bind((LOOPBACK, previous + 1))
        taken.listen()
        assert free_port() == previous + 2


def test_every_call_returns_another_port():
    ports = [free_port() for _ in range(50)]
    assert len(set(ports)) == 50
