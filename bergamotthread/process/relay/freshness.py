"""Age of what a process knows of the published version.

Time counts while the machine is suspended, so that a machine that wakes up
does not take old permission for fresh.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from bergamotthread.clock import Clock

# Part of the bound that is left to the way from the check to the upstream.
DISPATCH_MARGIN_MS = 300
# Part of the bound after which the balancer is told to send callers elsewhere.
READY_SHARE = 0.7


@dataclass
class VersionFreshness:
    """When the store last confirmed the version in force.

    Parameters
    ----------
    revoke_bound_ms
        Time within which a removed key is refused everywhere; none if
        machines out of touch may go on.
    """

    clock: Clock
    revoke_bound_ms: float | None
    _confirmed_ms: float = -math.inf

    def now_ms(self) -> float:
        """Return the time to give to `confirm` for a question asked now."""
        return self.clock.boot_ms()

    def confirm(self, asked_ms: float) -> None:
        """Note an answer to a question that was asked at `asked_ms`."""
        self._confirmed_ms = max(self._confirmed_ms, asked_ms)

    @property
    def age_ms(self) -> float:
        """Return how old the confirmation is; infinite if there is none."""
        return self.clock.boot_ms() - self._confirmed_ms

    @property
    def admits_keys(self) -> bool:
        """Return whether keys can be trusted not to have been removed."""
        if self.revoke_bound_ms is None:
            return True
        return self.age_ms < self.revoke_bound_ms - DISPATCH_MARGIN_MS

    @property
    def is_ready(self) -> bool:
        """Return whether new callers are better served here than elsewhere."""
        if self.revoke_bound_ms is None:
            return True
        return self.age_ms < self.revoke_bound_ms * READY_SHARE
