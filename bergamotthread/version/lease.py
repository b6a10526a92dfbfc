"""Lease within which a process may admit requests by its version."""

from __future__ import annotations

import math
from dataclasses import dataclass

VERSION_LEASE_MS = 3000
CLOCK_DRIFT = 0.01


@dataclass
class VersionLease:
    """Lease on the version in force, on the process's own monotonic clock.

    A proof is a moment at which the table held no newer version than the one
    that this process now has. The lease runs from that moment, so that every
    process which still has an older version stops within the lease after a
    publication took effect, also when it was paused meanwhile.

    Parameters
    ----------
    proven_ms
        Latest proof.
    registered_ms
        When the table acknowledged the registration of the version in force;
        infinite where it has not.
    outage_lease_ms
        Length of the lease once a proof is later than the registration.
    """

    proven_ms: float = -math.inf
    registered_ms: float = math.inf
    outage_lease_ms: float = 0

    def prove(self, moment_ms: float) -> None:
        """Take in a proof; an earlier one than the latest changes nothing."""
        self.proven_ms = max(self.proven_ms, moment_ms)

    def register(self, now_ms: float, outage_lease_ms: float) -> None:
        """Note that the version in force is registered since `now_ms`."""
        self.registered_ms = now_ms
        self.outage_lease_ms = outage_lease_ms

    def forget_registration(self) -> None:
        """Note that the version in force is not registered."""
        self.registered_ms = math.inf

    def length_ms(self) -> float:
        """Return how long the lease runs from the latest proof."""
        if self.proven_ms > self.registered_ms:
            return max(VERSION_LEASE_MS, self.outage_lease_ms)
        return VERSION_LEASE_MS

    def remaining_ms(self, now_ms: float) -> float:
        """Return how long the lease still runs, negative where it lapsed."""
        return self.proven_ms + self.length_ms() - now_ms


def lapse_ms(lease_ms: float) -> float:
    """Return after how long another process's lease has lapsed for sure.

    Clocks of two processes may differ in rate by `CLOCK_DRIFT`.
    """
    return max(lease_ms, VERSION_LEASE_MS) * (1 + CLOCK_DRIFT)
