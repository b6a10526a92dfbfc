"""Limit of a byte rate, as a token bucket."""

from __future__ import annotations

_MS_PER_S = 1000


class ByteBudget:
    """Token bucket that holds at most `burst_bytes`.

    Parameters
    ----------
    bytes_per_s
        Rate at which the bucket fills.
    burst_bytes
        Size of the bucket, which starts full.
    now_ms
        Monotonic time of the start.
    """

    def __init__(
        self,
        bytes_per_s: float,
        burst_bytes: float,
        now_ms: float,
    ) -> None:
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = burst_bytes
        self._available = burst_bytes
        self._filled_ms = now_ms

    def available(self, now_ms: float) -> float:
        """Return the bytes that may be spent now."""
        elapsed_s = max(now_ms - self._filled_ms, 0) / _MS_PER_S
        self._filled_ms = max(now_ms, self._filled_ms)
        filled = self._available + elapsed_s * self._bytes_per_s
        self._available = min(filled, self._burst_bytes)
        return self._available

    def try_spend(self, byte_count: float, now_ms: float) -> bool:
        """Spend bytes; return False without spending if too few are left."""
        if byte_count > self.available(now_ms):
            return False
        self._available -= byte_count
        return True
