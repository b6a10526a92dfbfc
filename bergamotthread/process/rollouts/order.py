"""Orders of the operator to move a service to another build."""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExposureBound:
    """Bound on what a bad build gets, summed over all entries.

    Parameters
    ----------
    share
        Fraction of all requests that reach the service between the order and
        its time limit.
    slack
        Requests beyond the share.
    rollback_ms
        Time after its 50th bad answer in which it may still get requests.
    """

    share: float
    slack: float
    rollback_ms: float


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Order to move the requests of a service to the upstreams of a build.

    Parameters
    ----------
    number
        Tells this order from others for the service; a later order has a
        higher number.
    target
        Build to which the requests are moved.
    duration_ms
        Time from the order within which the roll-out is to end.
    """

    service: str
    number: int
    target: str
    duration_ms: float


class RolloutState(enum.Enum):
    """State of a roll-out, as the operator sees it."""

    ACTIVE = 'active'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'

    @property
    def is_end(self) -> bool:
        """Return whether the state is final."""
        return self is not RolloutState.ACTIVE
