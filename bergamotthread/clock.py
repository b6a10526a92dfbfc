"""Time source of the whole package, in milliseconds."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

_MS_PER_S = 1000


@dataclass(frozen=True)
class Clock:
    """Monotonic and calendar time in milliseconds.

    Parameters
    ----------
    monotonic_s
        Monotonic time in seconds; only differences are meaningful.
    calendar_s
        Seconds since the Unix epoch, used in records but never for timeouts.
    boot_s
        Time in seconds that also advances while the machine is suspended, for
        the age of permissions; `monotonic_s` if None.
    processor_s
        Processor time in seconds that the process has used; none if None.
    """

    monotonic_s: Callable[[], float]
    calendar_s: Callable[[], float]
    boot_s: Callable[[], float] | None = field(default=None, kw_only=True)
    processor_s: Callable[[], float] | None = field(default=None, kw_only=True)

    @classmethod
    def from_system(cls) -> Clock:
        """Return a clock that reads the time of the machine."""
        return cls(
            monotonic_s=time.monotonic,
            calendar_s=time.time,
            boot_s=_boot_s,
            processor_s=time.process_time,
        )

    @classmethod
    def from_loop(cls, loop: asyncio.AbstractEventLoop) -> Clock:
        """Return a clock that follows the time of an event loop."""
        return cls(monotonic_s=loop.time, calendar_s=loop.time)

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds."""
        return self.monotonic_s() * _MS_PER_S

    def boot_ms(self) -> float:
        """Return milliseconds that also advance while suspended."""
        read_s = self.boot_s or self.monotonic_s
        return read_s() * _MS_PER_S

    def processor_ms(self) -> float:
        """Return the processor time of the process, in milliseconds."""
        return self.processor_s() * _MS_PER_S if self.processor_s else 0

    def calendar_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return int(self.calendar_s() * _MS_PER_S)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the calling task for `duration_ms` milliseconds."""
        await asyncio.sleep(duration_ms / _MS_PER_S)

    def timeout_ms(self, duration_ms: float) -> asyncio.Timeout:
        """Return a context that raises `TimeoutError` after `duration_ms`."""
        return asyncio.timeout(duration_ms / _MS_PER_S)


def _boot_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
