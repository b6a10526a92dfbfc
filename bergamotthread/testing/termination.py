"""Runs programs that have child processes to end when they are terminated."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Coroutine
from typing import Any, TypeVar

_Answer = TypeVar('_Answer')


def run_until_signal(main: Coroutine[Any, Any, _Answer]) -> _Answer:
    """Run a coroutine, which SIGTERM and SIGINT cancel.

    Raises
    ------
    SystemExit
        With status 1, once the cancelled coroutine has ended.
    """
    try:
        return asyncio.run(_cancelled_by_signal(main))
    except asyncio.CancelledError:
        sys.exit(1)


async def _cancelled_by_signal(
    main: Coroutine[Any, Any, _Answer],
) -> _Answer:
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        # A handler that raises could interrupt the creation of a process.
        loop.add_signal_handler(number, _cancel_once, task)
    return await main


def _cancel_once(task: asyncio.Task[Any]) -> None:
    """Cancel a task, unless it already ends since it was cancelled."""
    if not task.cancelling():
        task.cancel()
