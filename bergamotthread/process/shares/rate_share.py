"""Rate limit of one process for accesses to the store."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotthread.clock import Clock

_MS_PER_S = 1000


@dataclass
class RateLimiter:
    """Token bucket with a reserve for preferred accesses.

    Preferred accesses are granted tokens in order of arrival; others are
    granted a token only while the reserve is full.

    Parameters
    ----------
    clock
        Source of time.
    per_s
        Tokens added each second.
    burst_s
        Size of the bucket, as seconds of its rate.
    reserved_fraction
        Fraction of the bucket, 0 to 1, that only preferred accesses may use.
    """

    clock: Clock
    per_s: float
    burst_s: float = 10
    reserved_fraction: float = 0.5
    _tokens: float = field(init=False)
    _filled_ms: float = field(init=False)

    def __post_init__(self) -> None:
        self._tokens = self.capacity
        self._filled_ms = self.clock.now_ms()

    @property
    def capacity(self) -> float:
        """Tokens in a full bucket, at least two."""
        return max(2, self.per_s * self.burst_s)

    async def acquire(self, *, preferred: bool, timeout_ms: float) -> bool:
        """Wait for a token.

        Returns
        -------
        bool
            False if no token is expected within `timeout_ms`.
        """
        self._refill()
        reserve_tokens = (
            float(0) if preferred else self.capacity * self.reserved_fraction
        )
        wait_ms = (reserve_tokens + 1 - self._tokens) / self.per_s * _MS_PER_S
        if wait_ms <= 0:
            self._tokens -= 1
            return True
        if wait_ms > timeout_ms:
            return False
        if preferred:
            self._tokens -= 1
            await self.clock.sleep_ms(wait_ms)
            return True
        await self.clock.sleep_ms(wait_ms)
        return await self.acquire(
            preferred=False, timeout_ms=timeout_ms - wait_ms
        )

    def _refill(self) -> None:
        now_ms = self.clock.now_ms()
        gained = (now_ms - self._filled_ms) * self.per_s / _MS_PER_S
        self._tokens = min(self.capacity, self._tokens + gained)
        self._filled_ms = now_ms
