"""Structured log of decisions, one JSON line each, that never blocks.

Lines are written to standard output. While the reader of the pipe is behind,
they wait in a bounded buffer; lines beyond it are dropped and counted.
"""

from __future__ import annotations

import asyncio
import os
from collections import deque
from dataclasses import dataclass, field

import msgspec

from bergamotthread.clock import Clock

# Lines that are buffered while the reader is behind.
BUFFERED_LINES_MAX = 2000
# Lines that a process may log in one second; further ones are dropped.
LINES_PER_S_MAX = 300
LOG_FLUSH_INTERVAL_MS = 50
_MS_PER_S = 1000
_STDOUT = 1

LogField = str | int | float | bool | None


@dataclass
class DecisionLog:
    """Writes decisions with their inputs and outcome.

    Parameters
    ----------
    host
        Name of this host, written in every line.
    descriptor
        File descriptor to write to, in non-blocking mode.
    dropped
        Lines dropped since the last line that reported the count.
    """

    clock: Clock
    host: str = ''
    descriptor: int = _STDOUT
    dropped: int = 0
    _lines: deque[bytes] = field(default_factory=deque)
    _unwritten: bytes = b''
    _current_second: int = 0
    _lines_in_second: int = 0
    _flush: asyncio.TimerHandle | None = None

    def write(self, event: str, **fields: LogField) -> None:
        """Log one decision; `fields` are its inputs and its outcome."""
        if not self._admit():
            return
        line = {
            'time_ms': self.clock.calendar_ms(),
            'host': self.host,
            'event': event,
            **fields,
        }
        self._lines.append(msgspec.json.encode(line))
        self._flush_soon()

    def flush(self) -> None:
        """Write as much as the reader accepts without blocking."""
        self._flush = None
        unwritten = self._unwritten or self._take_lines()
        try:
            written = os.write(self.descriptor, unwritten)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader closed the pipe, so the error can't be reported.
            written = len(unwritten)
        self._unwritten = unwritten[written:]
        if self._unwritten or self._lines:
            self._flush_soon()

    def _take_lines(self) -> bytes:
        if self.dropped:
            self._lines.append(
                b'{"event":"log-lines-dropped","count":%d}' % self.dropped,
            )
            self.dropped = 0
        batch = b''.join(b'%b\n' % line for line in self._lines)
        self._lines.clear()
        return batch

    def _admit(self) -> bool:
        second = int(self.clock.now_ms() // _MS_PER_S)
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        is_full = len(self._lines) >= BUFFERED_LINES_MAX
        if is_full or self._lines_in_second > LINES_PER_S_MAX:
            self.dropped += 1
            return False
        return True

    def _flush_soon(self) -> None:
        if self._flush is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without a running loop, lines wait for the first write in one.
            return
        self._flush = loop.call_later(
            LOG_FLUSH_INTERVAL_MS / _MS_PER_S,
            self.flush,
        )
