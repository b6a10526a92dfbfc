"""Tasks that run for the life of a process, whatever they meet."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.process.background_tasks import BackgroundTasks
from bergamotthread.process.relay.decision_log import DecisionLog

# Pause before a task that met an unexpected error runs again.
FAILED_TASK_PAUSE_MS = 500


@dataclass(frozen=True)
class LastingTasks:
    """Runs a task again that ends with an unexpected error.

    What one message or row causes must not end the work on all others, nor the
    process.
    """

    clock: Clock
    log: DecisionLog
    _tasks: BackgroundTasks = field(default_factory=BackgroundTasks)

    def start(
        self, name: str, run: Callable[[], Coroutine[None, None, None]]
    ) -> None:
        """Start a task; `name` is for the log."""
        self._tasks.start(self._keep_running(name, run))

    def cancel(self) -> None:
        """Cancel all tasks."""
        self._tasks.cancel()

    async def step_after(
        self, name: str, interval_ms: float, act: Callable[[float], None]
    ) -> None:
        """Wait, then do one step of periodic work, which may fail.

        Parameters
        ----------
        act
            Gets the time in milliseconds by which the step is late.
        """
        due_ms = self.clock.now_ms() + interval_ms
        await self.clock.sleep_ms(interval_ms)
        try:
            act(self.clock.now_ms() - due_ms)
        except Exception as error:
            self._log_failure(name, error, interval_ms)

    async def _keep_running(
        self, name: str, run: Callable[[], Coroutine[None, None, None]]
    ) -> None:
        while True:
            try:
                return await run()
            except Exception as error:
                self._log_failure(name, error, FAILED_TASK_PAUSE_MS)
            await self.clock.sleep_ms(FAILED_TASK_PAUSE_MS)

    def _log_failure(
        self, name: str, error: Exception, runs_again_ms: float
    ) -> None:
        logging.exception('task %s failed', name)
        self.log.write(
            'task-failed',
            task=name,
            detail=repr(error),
            runs_again_ms=runs_again_ms,
        )
