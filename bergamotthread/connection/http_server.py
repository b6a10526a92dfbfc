"""HTTP server on the process's event loop, without signal handling."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

import uvicorn

_START_POLL_S = 0.005


class HttpServer(uvicorn.Server):
    """Uvicorn server that does not handle signals.

    Raises
    ------
    OSError
        From `start`, if the address cannot be bound.
    """

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Do nothing; the process handles signals itself."""
        yield

    async def start(self) -> None:
        """Serve in a background task; return once the address is bound."""
        self._task = asyncio.create_task(self.serve())
        while not self.started:
            if self._task.done():
                raise OSError(
                    f'cannot listen on {self.config.host}:{self.config.port}',
                )
            await asyncio.sleep(_START_POLL_S)

    @property
    def port(self) -> int:
        """Return the bound port."""
        sockets = self.servers[0].sockets
        return int(sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stop listening and wait for open requests to end."""
        self.should_exit = True
        await self._task

    async def abort(self) -> None:
        """Stop listening without waiting for open requests."""
        self.force_exit = True
        await self.stop()
