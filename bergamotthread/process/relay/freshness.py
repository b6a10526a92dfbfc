"""Age of the last confirmation that the known version is current.

The clock includes time in which the machine is suspended, so that keys that
were revoked meanwhile are not accepted after it resumes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from bergamotthread.clock import Clock

# Part of `revoke_bound_ms` that is reserved for the time from the check of a
# key to the arrival of the request at the upstream.
DISPATCH_MARGIN_MS = 300
# Fraction of `revoke_bound_ms` after which the entry reports to the balancer
# that it is not ready.
READY_AGE_FRACTION = 0.7


@dataclass
class VersionFreshness:
    """Tracks when the store last confirmed the current version.

    Parameters
    ----------
    revoke_bound_ms
        Time within which a removed key must be refused everywhere; None if
        entries that can't reach the store may go on serving.
    """

    clock: Clock
    revoke_bound_ms: float | None
    _confirmed_ms: float = -math.inf

    def now_ms(self) -> float:
        """Return the time to pass to `confirm` for a request sent now.

        This is the clock's `boot_ms`, not its `now_ms`.
        """
        return self.clock.boot_ms()

    def confirm(self, requested_ms: float) -> None:
        """Record a confirmation that was requested at `requested_ms`."""
        self._confirmed_ms = max(self._confirmed_ms, requested_ms)

    @property
    def age_ms(self) -> float:
        """Return the age of the last confirmation; infinite without one."""
        return self.clock.boot_ms() - self._confirmed_ms

    @property
    def may_accept_keys(self) -> bool:
        """Return whether keys were confirmed recently enough to be accepted."""
        if self.revoke_bound_ms is None:
            return True
        return self.age_ms < self.revoke_bound_ms - DISPATCH_MARGIN_MS

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer should send new callers here."""
        if self.revoke_bound_ms is None:
            return True
        return self.age_ms < self.revoke_bound_ms * READY_AGE_FRACTION
