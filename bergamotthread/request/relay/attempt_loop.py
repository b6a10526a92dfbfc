"""The attempts of a call, one after another, within its limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeVar

from bergamotthread.request.relay.call import RelayedCall
from bergamotthread.request.relay.parts import RelayParts

# Pause before looking for an upstream again where there was none.
LOOK_AGAIN_MS = 100

_Place = TypeVar('_Place')


@dataclass
class AttemptLimits:
    """Time, number and budget of the attempts of one call.

    Parameters
    ----------
    sent
        Attempts whose request was sent.
    """

    call: RelayedCall
    parts: RelayParts
    sent: int = 0

    @property
    def remaining_ms(self) -> float:
        """Return the time left to the call's deadline."""
        return self.call.deadline_ms - self.parts.clock.now_ms()

    @property
    def is_below_max(self) -> bool:
        """Return whether the route allows another attempt."""
        return self.sent < self.call.route.attempts_max

    def is_affordable(self) -> bool:
        """Return whether an attempt is the first or within the budget."""
        if not self.sent:
            return True
        return self.parts.budget.spend(self.call.service.name)


class AttemptSteps(Protocol[_Place]):
    """What differs between the attempts of one kind of call and another."""

    def may_send(self) -> bool:
        """Return whether another attempt is allowed."""

    async def place(self) -> _Place | None:
        """Return where the next attempt goes, or none for now."""

    def may_wait(self) -> bool:
        """Return whether there is time to look for an upstream again."""

    async def is_settled_at(self, place: _Place) -> bool:
        """Run an attempt; return whether the caller needs no other."""


async def run_attempts(
    limits: AttemptLimits,
    steps: AttemptSteps[_Place],
) -> bool:
    """Run attempts until one settles the call; return whether one did.

    A repeat is taken from the budget only once there is an upstream for it.
    """
    limits.parts.budget.record_first(limits.call.service.name)
    while limits.remaining_ms > 0 and steps.may_send():
        place = await steps.place()
        if place is None:
            if not steps.may_wait():
                return False
            await limits.parts.clock.sleep_ms(LOOK_AGAIN_MS)
        elif not limits.is_affordable():
            return False
        elif await steps.is_settled_at(place):
            return True
    return False
