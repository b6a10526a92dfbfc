"""Loop over the attempts of a call, within the call's limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeVar

from bergamotthread.request.relay.call import RelayedCall
from bergamotthread.request.relay.parts import RelayParts
from bergamotthread.request.relay.refusals import RelayRefusal

# Pause before placement is tried again where no upstream was available.
PLACEMENT_RETRY_MS = 100

_Placement = TypeVar('_Placement')


@dataclass
class AttemptLimits:
    """Limits on time, number and retry budget of one call's attempts.

    Parameters
    ----------
    attempts_sent
        Number of attempts whose request was sent.
    denied_by
        Limit that ended the attempts; empty if none did.
    """

    call: RelayedCall
    parts: RelayParts
    attempts_sent: int = 0
    denied_by: str = ''

    @property
    def remaining_ms(self) -> float:
        """Return the time left until the call's deadline."""
        return self.call.deadline_ms - self.parts.clock.now_ms()

    @property
    def has_attempts_left(self) -> bool:
        """Return whether fewer attempts were sent than the route allows."""
        return self.attempts_sent < self.call.route.max_attempts

    @property
    def is_unservable(self) -> bool:
        """Return whether nothing was sent and the service has no upstream."""
        if self.attempts_sent:
            return False
        return self.parts.directory.lacks_service(self.call.service.name)

    def deny(self, limit: str) -> None:
        """Record and count the limit that ended the attempts."""
        self.denied_by = limit
        self.parts.metrics.ended_by_limit.increment(limit)

    def spend_attempt(self) -> bool:
        """Return whether the retry budget allows the next attempt.

        A retry that is allowed is counted; a first attempt is always allowed.
        """
        if not self.attempts_sent:
            return True
        return self.parts.retry_budget.spend(self.call.service.name)


class AttemptSteps(Protocol[_Placement]):
    """Steps of an attempt that depend on the kind of call."""

    def may_send(self) -> bool:
        """Return whether another attempt is allowed."""

    async def place(self) -> _Placement | RelayRefusal | None:
        """Return where the next attempt goes, or None if nowhere for now.

        A refusal is sent at once.
        """

    def refuse(self, refusal: RelayRefusal) -> None:
        """Send a refusal that `place` returned."""

    def may_wait(self) -> bool:
        """Return whether placement may be tried again after a pause."""

    async def run_attempt(self, placement: _Placement) -> bool:
        """Run an attempt; return whether no further attempt is needed."""


async def run_attempts(
    limits: AttemptLimits,
    steps: AttemptSteps[_Placement],
) -> bool:
    """Run attempts until no further attempt is needed or allowed.

    A retry is counted in the budget only once there is an upstream for it.

    Returns
    -------
    bool
        Whether an attempt settled the call.
    """
    limits.parts.retry_budget.record_first_attempt(limits.call.service.name)
    while limits.remaining_ms > 0:
        if not steps.may_send():
            limits.deny('attempts')
            return False
        placement = await steps.place()
        if isinstance(placement, RelayRefusal):
            steps.refuse(placement)
            return True
        if placement is None:
            if not steps.may_wait():
                limits.deny('no-upstream')
                return False
            await limits.parts.clock.sleep_ms(PLACEMENT_RETRY_MS)
        elif not limits.spend_attempt():
            limits.deny('retry-budget')
            return False
        elif await steps.run_attempt(placement):
            return True
    limits.deny('deadline')
    return False
