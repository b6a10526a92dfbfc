"""Failure detectors and incarnations of the peers of a process."""

from __future__ import annotations

from bergamotthread.clock import Clock
from bergamotthread.connection.detector import PEER_LIMITS, SilenceDetector


class PeerHistories:
    """Silence detector and newest incarnation of each peer, by address."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._detectors_by_address: dict[str, SilenceDetector] = {}
        self._incarnations_by_address: dict[str, int] = {}

    def record(self, address: str, incarnation: int) -> bool:
        """Record a sign of life.

        Returns
        -------
        bool
            Whether it is the first one of a newer process at the address.
        """
        self._detector(address).record(self._clock.now_ms())
        newest = self._incarnations_by_address.get(address, 0)
        if incarnation <= newest:
            return False
        self._incarnations_by_address[address] = incarnation
        return True

    def restart(self, address: str) -> None:
        """Restart the silence of a peer now, keeping its history."""
        self._detector(address).restart(self._clock.now_ms())

    def is_suspected(self, address: str) -> bool:
        """Return whether a peer has been silent for too long."""
        return self._detector(address).is_suspected(self._clock.now_ms())

    def _detector(self, address: str) -> SilenceDetector:
        detector = self._detectors_by_address.get(address)
        if detector is None:
            detector = SilenceDetector(PEER_LIMITS, self._clock.now_ms())
            self._detectors_by_address[address] = detector
        return detector
