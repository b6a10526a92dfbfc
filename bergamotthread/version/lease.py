"""Lease during which a process may admit requests by its version."""

from __future__ import annotations

import math
from dataclasses import dataclass

VERSION_LEASE_MS = 3000
CLOCK_DRIFT_RATIO = 0.01


@dataclass
class VersionLease:
    """Lease on the version in force, on the process's own monotonic clock.

    A proof is a time at which the table held no newer version than the one
    that this process has. The lease runs from that time, so that after a
    publication every process with an older version stops admitting requests
    within the lease, even if it was paused in between.

    Parameters
    ----------
    proven_ms
        Time of the latest proof.
    registered_ms
        Time at which the table acknowledged the registration of the version
        in force; infinite if it has not.
    outage_lease_ms
        Length of the lease once a proof is later than the registration, if
        longer than `VERSION_LEASE_MS`.
    """

    proven_ms: float = -math.inf
    registered_ms: float = math.inf
    outage_lease_ms: float = 0

    def record_proof(self, proof_ms: float) -> None:
        """Record a proof; ignored if a later one is known."""
        self.proven_ms = max(self.proven_ms, proof_ms)

    def register(self, now_ms: float, outage_lease_ms: float) -> None:
        """Record that the version in force is registered as of `now_ms`."""
        self.registered_ms = now_ms
        self.outage_lease_ms = outage_lease_ms

    def clear_registration(self) -> None:
        """Record that the version in force is not registered."""
        self.registered_ms = math.inf

    def length_ms(self) -> float:
        """Return the length of the lease, counted from the latest proof."""
        if self.proven_ms > self.registered_ms:
            return max(VERSION_LEASE_MS, self.outage_lease_ms)
        return VERSION_LEASE_MS

    def remaining_ms(self, now_ms: float) -> float:
        """Return the remaining time, 0 or less if the lease has expired."""
        return self.proven_ms + self.length_ms() - now_ms


def lease_expiry_ms(lease_ms: float) -> float:
    """Return how long to wait until another process's lease has expired.

    The rates of two processes' clocks may differ by `CLOCK_DRIFT_RATIO`.

    Parameters
    ----------
    lease_ms
        Outage lease of the other process, 0 if it has none.
    """
    return max(lease_ms, VERSION_LEASE_MS) * (1 + CLOCK_DRIFT_RATIO)
