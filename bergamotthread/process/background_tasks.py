"""Tasks that run beside their starter until they end."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any


@dataclass
class BackgroundTasks:
    """Keeps references to the tasks; an event loop keeps only weak ones."""

    _running: set[asyncio.Task[object]] = field(default_factory=set)

    def start(self, coroutine: Coroutine[Any, Any, object]) -> None:
        """Start a coroutine as a task."""
        task = asyncio.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def cancel(self) -> None:
        """Cancel all tasks that still run."""
        for task in tuple(self._running):
            task.cancel()
