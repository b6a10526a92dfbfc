"""Client of an engine stand-in in the same process, for virtual time."""

from __future__ import annotations

from collections.abc import AsyncIterator

from bergamotthread.connection.engine_client import (
    EngineClient,
    EngineOutput,
    GenerateRequest,
)
from bergamotthread.wire.messages import LoadReport, Pin
from standins.engine_core import Engine


class MemoryEngineClient(EngineClient):
    """Calls an `Engine` without a network."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def generate(self, request: GenerateRequest) -> AsyncIterator[EngineOutput]:
        """Yield the output of the engine."""
        return self._engine.generate(request)

    async def load(self) -> LoadReport:
        """Return the engine's load report."""
        return await self._engine.load()

    async def order(self, action: str, pin: Pin, fence: int) -> bool:
        """Pass an order to the engine."""
        return await self._engine.order(action, pin, fence)
