"""Batches the output of all attempts and sends it to the entries."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.request.output_buffer import OutputBuffer
from bergamotthread.wire.messages import Frame, LoadReport, OutputBatch

HEARTBEAT_INTERVAL_MS = 100


class OutputFlusher:
    """Combines new output into one `OutputBatch` per entry and flush.

    If nothing was sent to an entry with running attempts for
    `HEARTBEAT_INTERVAL_MS`, it gets an empty batch as a heartbeat.
    """

    def __init__(self, transport: Transport, clock: Clock) -> None:
        self.load = LoadReport()
        self.config_version = 0
        self._transport = transport
        self._clock = clock
        self._marked: dict[OutputBuffer, None] = {}
        self._sent_ms_by_entry: dict[str, float] = {}
        self._has_marked = asyncio.Event()

    def mark(self, buffer: OutputBuffer) -> None:
        """Mark `buffer` so that the next flush sends its new output."""
        self._marked[buffer] = None
        self._has_marked.set()

    async def wait_marked(self, timeout_ms: float) -> bool:
        """Wait up to `timeout_ms` for output to send.

        Returns
        -------
        bool
            Whether there is output to send.
        """
        try:
            async with self._clock.timeout_ms(timeout_ms):
                return await self._has_marked.wait()
        except TimeoutError:
            return False

    def marked(self) -> tuple[OutputBuffer, ...]:
        """Return the buffers whose output the next flush sends."""
        return tuple(self._marked)

    def flush(self) -> None:
        """Send all marked output now."""
        frames_by_entry: dict[str, list[Frame]] = defaultdict(list)
        for buffer in self._marked:
            frame = buffer.take_frame()
            if frame is not None:
                frames_by_entry[buffer.subscriber].append(frame)
        self._marked.clear()
        self._has_marked.clear()
        for entry, frames in frames_by_entry.items():
            self._send(entry, tuple(frames))

    def send_load_report(self, entry: str) -> None:
        """Send the load report to an entry that requested it."""
        self._send(entry, ())

    def send_heartbeats(self, entries: set[str]) -> None:
        """Send a heartbeat to each of `entries` whose interval has passed.

        Send times of all other entries are removed.
        """
        now_ms = self._clock.now_ms()
        for entry in entries:
            silent_ms = now_ms - self._sent_ms_by_entry.get(entry, 0)
            if silent_ms >= HEARTBEAT_INTERVAL_MS:
                self._send(entry, ())
        for unused_entry in self._sent_ms_by_entry.keys() - entries:
            self._sent_ms_by_entry.pop(unused_entry)

    def _send(self, entry: str, frames: tuple[Frame, ...]) -> None:
        self._sent_ms_by_entry[entry] = self._clock.now_ms()
        batch = OutputBatch(frames, self.load, self.config_version)
        self._transport.send(entry, batch)
