"""Attempts that an agent runs or whose output it still holds."""

from __future__ import annotations

import asyncio

from bergamotthread.clock import Clock
from bergamotthread.process.generations.attempt_runner import AttemptRunner
from bergamotthread.process.generations.output_flusher import OutputFlusher
from bergamotthread.request.attempt_key import AttemptKey
from bergamotthread.request.output_buffer import OutputBuffer
from bergamotthread.wire.messages import Dispatch, EndMark, EndReason

DELIVERED_RETENTION_MS = 5000
DELIVERY_GRACE_MS = 1000


class Attempts:
    """Output buffers and the tasks that fill them, by attempt.

    Parameters
    ----------
    retention_ms
        Time for which output is kept for a subscriber that sends nothing.
    """

    def __init__(
        self,
        runner: AttemptRunner,
        flusher: OutputFlusher,
        clock: Clock,
        retention_ms: float,
    ) -> None:
        self.buffers_by_key: dict[AttemptKey, OutputBuffer] = {}
        self._tasks_by_key: dict[AttemptKey, asyncio.Task[None]] = {}
        self._runner = runner
        self._flusher = flusher
        self._clock = clock
        self._retention_ms = retention_ms

    @property
    def running_count(self) -> int:
        """Number of attempts that run on the engine."""
        return len(self._tasks_by_key)

    @property
    def undelivered_count(self) -> int:
        """Number of attempts that run or ended in the last second.

        An attempt that just ended is counted for `DELIVERY_GRACE_MS`, since
        its end may not have reached the subscriber yet.
        """
        since_ms = self._clock.now_ms() - DELIVERY_GRACE_MS
        return sum(
            buffer.end is None or buffer.ended_ms > since_ms
            for buffer in self.buffers_by_key.values()
        )

    def start(self, dispatch: Dispatch, subscriber: str) -> OutputBuffer:
        """Start an attempt on the engine and return its output buffer."""
        key = AttemptKey.from_dispatch(dispatch)
        now_ms = self._clock.now_ms()
        buffer = OutputBuffer.from_dispatch(dispatch, subscriber, now_ms)
        self.buffers_by_key[key] = buffer
        task = asyncio.create_task(self._runner.run(buffer))
        self._tasks_by_key[key] = task
        task.add_done_callback(lambda _: self._tasks_by_key.pop(key, None))
        return buffer

    def discard(self, key: AttemptKey) -> None:
        """Stop an attempt and discard its output."""
        self._stop(key)
        self.buffers_by_key.pop(key, None)

    def hand_over(self) -> None:
        """End all running attempts so that other agents can resume them."""
        for key in tuple(self._tasks_by_key):
            buffer = self.buffers_by_key[key]
            self._stop(key)
            end = EndMark(EndReason.HANDED_OVER, len(buffer.tokens))
            buffer.finish(end, self._clock.now_ms())
            self._flusher.mark(buffer)

    def stop_all(self) -> None:
        """Stop all attempts without an end mark, for process shutdown."""
        for key in tuple(self._tasks_by_key):
            self._stop(key)

    def evict(self) -> None:
        """Discard output that was delivered or whose subscriber is gone."""
        now_ms = self._clock.now_ms()
        for key, buffer in tuple(self.buffers_by_key.items()):
            if self._is_evictable(buffer, now_ms):
                self.discard(key)

    def active_subscribers(self) -> set[str]:
        """Return the entries with an attempt that has not ended."""
        return {
            buffer.subscriber
            for buffer in self.buffers_by_key.values()
            if buffer.end is None
        }

    def _stop(self, key: AttemptKey) -> None:
        task = self._tasks_by_key.pop(key, None)
        if task is not None:
            task.cancel()

    def _is_evictable(self, buffer: OutputBuffer, now_ms: float) -> bool:
        if now_ms - buffer.heard_ms > self._retention_ms:
            return True
        if buffer.end is None or buffer.unacknowledged_tokens:
            return False
        return now_ms - buffer.ended_ms > DELIVERED_RETENTION_MS
