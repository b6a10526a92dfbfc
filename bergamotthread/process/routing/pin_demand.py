"""Demand for each pin at one entry."""

from __future__ import annotations

import math

from bergamotthread.clock import Clock
from bergamotthread.wire.messages import Pin

TIME_CONSTANT_MS = 60_000
_MS_PER_S = 1000


class PinDemand:
    """Exponential average of the rate of new generations, by pin.

    The average has the time constant `TIME_CONSTANT_MS`.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._updated_ms = clock.now_ms()
        self._decayed_count_by_pin: dict[Pin, float] = {}

    def record(self, pin: Pin) -> None:
        """Count a new generation."""
        self._decay()
        self._decayed_count_by_pin[pin] = (
            self._decayed_count_by_pin.get(pin, 0) + 1
        )

    def requests_per_s(self) -> dict[Pin, float]:
        """Return the demand for each pin, in requests per second."""
        self._decay()
        seconds = TIME_CONSTANT_MS / _MS_PER_S
        return {
            pin: count / seconds
            for pin, count in self._decayed_count_by_pin.items()
        }

    def _decay(self) -> None:
        now_ms = self._clock.now_ms()
        factor = math.exp((self._updated_ms - now_ms) / TIME_CONSTANT_MS)
        self._updated_ms = now_ms
        for pin, count in self._decayed_count_by_pin.items():
            self._decayed_count_by_pin[pin] = count * factor
