from __future__ import annotations

import socket

from bergamotthread.testing.loopback import (
    LOOPBACK,
    PORT_COUNT,
    PORT_MIN,
    free_port,
)

# Lowest port that Linux takes for outgoing connections, by its default.
EPHEMERAL_PORT_MIN = 32_768


def test_port_is_not_taken_for_outgoing_connections():
    ports = [free_port() for _ in range(50)]
    assert min(ports) >= PORT_MIN
    assert max(ports) < EPHEMERAL_PORT_MIN
    assert PORT_MIN + PORT_COUNT <= EPHEMERAL_PORT_MIN


def test_port_in_use_is_passed_over():
    before = free_port()
    with socket.socket() as taken:
        taken.bind((LOOPBACK, before + 1))
        taken.listen()
        assert free_port() == before + 2


def test_no_port_is_given_twice():
    ports = [free_port() for _ in range(50)]
    assert len(set(ports)) == 50
