"""Loop over the attempts of a call, within the call's limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeVar

from bergamotthread.process.relay.repeat_budget import CountedRetry
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
    retry
        Retry that is counted in the budget and not sent yet.
    """

    call: RelayedCall
    parts: RelayParts
    attempts_sent: int = 0
    denied_by: str = ''
    retry: CountedRetry | None = None

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

    @property
    def has_budget(self) -> bool:
        """Return whether the retry budget has room for the next attempt."""
        if not self.attempts_sent or self._is_reserved:
            return True
        return self.parts.retry_budget.has_room(self.call.service.name)

    def deny(self, limit: str) -> bool:
        """Record the limit that ended the attempts; return False."""
        self.denied_by = limit
        self.parts.metrics.ended_by_limit.increment(limit)
        return False

    def reserve_attempt(self) -> bool:
        """Count the next attempt in the budget; return whether it may run.

        A first attempt is always allowed and not counted.
        """
        if self.attempts_sent and not self._is_reserved:
            self.retry = self.parts.retry_budget.spend(self.call.service.name)
            return self.retry is not None
        return True

    def record_sent(self) -> None:
        """Count an attempt whose request was sent, and its retry with it."""
        self.attempts_sent += 1
        if self.retry is not None:
            service = self.call.service.name
            self.parts.retry_budget.record_sent(service, self.retry)
            self.retry = None

    def release(self) -> None:
        """Return a retry that was counted and not sent to the budget."""
        if self.retry is not None:
            service = self.call.service.name
            self.parts.retry_budget.refund(service, self.retry)
            self.retry = None

    @property
    def _is_reserved(self) -> bool:
        """Return whether a retry is counted; one may outlast its window."""
        budget = self.parts.retry_budget
        return self.retry is not None and budget.is_counted(
            self.call.service.name, self.retry
        )


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

    def may_wait_for_budget(self) -> bool:
        """Return whether to wait while the retry budget has no room."""

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
    service = limits.call.service.name
    limits.parts.retry_budget.record_first_attempt(service)
    limits.parts.rollouts.record_request(service)
    try:
        return await _run_all(limits, steps)
    finally:
        limits.release()


async def _run_all(
    limits: AttemptLimits, steps: AttemptSteps[_Placement]
) -> bool:
    while limits.remaining_ms > 0:
        if not steps.may_send():
            return limits.deny('attempts')
        is_settled = await _run_next(limits, steps)
        if is_settled is not None:
            return is_settled
    return limits.deny('deadline')


async def _run_next(
    limits: AttemptLimits, steps: AttemptSteps[_Placement]
) -> bool | None:
    """Run the next attempt, or pause; return None to go on.

    The budget is checked before the placement, which may probe upstreams.
    """
    if not limits.has_budget:
        return await _pause(limits, steps.may_wait_for_budget(), 'retry-budget')
    placement = await steps.place()
    if isinstance(placement, RelayRefusal):
        steps.refuse(placement)
        return True
    if placement is None:
        return await _pause(limits, steps.may_wait(), 'no-upstream')
    if not limits.reserve_attempt():
        return None
    return await steps.run_attempt(placement) or None


async def _pause(
    limits: AttemptLimits, may_wait: bool, limit: str
) -> bool | None:
    if not may_wait:
        return limits.deny(limit)
    await limits.parts.clock.sleep_ms(PLACEMENT_RETRY_MS)
    return None
