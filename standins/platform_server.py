"""Base class of the servers that stand in for the users' platform."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

from bergamotthread.clock import Clock
from bergamotthread.connection.http.caller_connection import (
    CallerConnection,
    CallerLimits,
    CallerServer,
    Exchange,
)
from bergamotthread.process.relay.servers import listen


class StandInServer(CallerServer, ABC):
    """Answers requests, using the HTTP server code of the project."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.address = ''
        self.connections: set[CallerConnection] = set()
        self._limits = CallerLimits()

    @property
    def limits(self) -> CallerLimits:
        """Return the default limits, which no test reaches."""
        return self._limits

    @property
    def is_draining(self) -> bool:
        """Return ``False``: connections stay open between requests."""
        return False

    @abstractmethod
    async def answer(self, exchange: Exchange) -> None:
        """Answer one request."""

    async def listen(self, address: str) -> asyncio.AbstractServer:
        """Start accepting connections."""
        self.address = address
        return await listen(self, address)
