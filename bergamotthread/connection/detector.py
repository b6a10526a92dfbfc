"""Failure detection by silence, with a threshold learned for each peer.

The threshold is computed like the retransmission timeout of RFC 6298: the
smoothed interval between signs of life plus a multiple of its smoothed
deviation, clamped between two bounds.
"""

from __future__ import annotations

from dataclasses import dataclass

_MEAN_GAIN = 0.125
_DEVIATION_GAIN = 0.25


@dataclass(frozen=True)
class DetectorLimits:
    """Bounds of the silence threshold.

    Parameters
    ----------
    floor_ms, ceiling_ms
        Lower and upper bound of the learned threshold.
    deviations
        Number of smoothed deviations above the smoothed interval.
    initial_ms
        Threshold before the first interval is known.
    """

    floor_ms: float = 400
    ceiling_ms: float = 1500
    deviations: float = 6
    initial_ms: float = 1000


PEER_LIMITS = DetectorLimits()
TOKEN_LIMITS = DetectorLimits(
    floor_ms=700,
    ceiling_ms=2000,
    deviations=8,
    initial_ms=1500,
)


class SilenceDetector:
    """Detects that a peer has been silent for too long."""

    def __init__(self, limits: DetectorLimits, now_ms: float) -> None:
        self._limits = limits
        self._heard_ms = now_ms
        self._mean_ms = float(0)
        self._deviation_ms = float(0)
        self._samples = 0

    @property
    def heard_ms(self) -> float:
        """Return when the peer was last heard from."""
        return self._heard_ms

    def record(self, now_ms: float) -> None:
        """Record a sign of life, and learn from the interval before it."""
        interval_ms = now_ms - self._heard_ms
        self._heard_ms = now_ms
        self._samples += 1
        if self._samples == 1:
            self._mean_ms = interval_ms
            self._deviation_ms = interval_ms / 2
            return
        error_ms = interval_ms - self._mean_ms
        self._mean_ms += _MEAN_GAIN * error_ms
        spread_ms = abs(error_ms) - self._deviation_ms
        self._deviation_ms += _DEVIATION_GAIN * spread_ms

    def restart(self, now_ms: float) -> None:
        """Restart the silence at `now_ms` without learning an interval."""
        self._heard_ms = now_ms

    def threshold_ms(self) -> float:
        """Return the silence after which the peer is suspected."""
        limits = self._limits
        if not self._samples:
            return limits.initial_ms
        learned_ms = self._mean_ms + limits.deviations * self._deviation_ms
        return min(max(learned_ms, limits.floor_ms), limits.ceiling_ms)

    def is_suspected(self, now_ms: float) -> bool:
        """Return whether the silence exceeds the threshold."""
        return now_ms - self._heard_ms > self.threshold_ms()
