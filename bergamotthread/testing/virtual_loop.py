"""Event loop in virtual time, for reproducible tests and benchmarks."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Answer = TypeVar('_Answer')


class DeadlockError(RuntimeError):
    """All tasks wait and no timer is set."""


class _JumpingSelector(selectors.SelectSelector):
    """Selector that advances virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed_s = float(0)

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise DeadlockError('all tasks wait and no timer is set')
        self.elapsed_s += max(timeout, 0)
        return super().select(0)


class VirtualEventLoop(asyncio.SelectorEventLoop):
    """Event loop whose time jumps to the next timer when no task is ready."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return virtual time in seconds."""
        return self._jumping.elapsed_s


def run_virtual(main: Coroutine[Any, Any, _Answer]) -> _Answer:
    """Run a coroutine in virtual time and return its result.

    Raises
    ------
    DeadlockError
        If all tasks wait and no timer is set.
    """
    with asyncio.Runner(loop_factory=VirtualEventLoop) as runner:
        return runner.run(main)
