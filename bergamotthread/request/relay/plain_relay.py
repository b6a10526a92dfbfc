"""Relay of a request whose response is forwarded once it is complete."""

from __future__ import annotations

from bergamotthread.process.relay.choice import RelayPlacementRequest
from bergamotthread.process.relay.plain_gate import PlainDemand, PlainRefused
from bergamotthread.process.relay.upstreams import Upstream
from bergamotthread.request.relay.attempt import Attempt, BufferedResponse
from bergamotthread.request.relay.attempt_loop import (
    AttemptLimits,
    run_attempts,
)
from bergamotthread.request.relay.call import AttemptHeaders, RelayedCall
from bergamotthread.request.relay.opening_wait import OpeningWait
from bergamotthread.request.relay.outcomes import (
    Answered,
    AttemptOutcome,
    Broken,
    NotRun,
    NotSent,
    OutOfTime,
    is_pause,
)
from bergamotthread.request.relay.parts import RelayParts
from bergamotthread.request.relay.refusals import (
    RelayRefusal,
    ending_refusal,
    send_refusal,
)
from bergamotthread.request.relay.suspicion import Suspicion

# Fraction of the target response time of a request that may be retried, after
# which the first attempt is abandoned and the request is sent to another
# upstream.
FIRST_ATTEMPT_TARGET_FRACTION = 0.6
# Time beyond the deadline for the upstream's own response that it has passed.
DEADLINE_MARGIN_MS = 30
# Fraction of a request's time limit for which it waits for an upstream.
PLACEMENT_TIMEOUT_FRACTION = 0.2
PLAIN_NO_UPSTREAM_RETRY_AFTER_MS = 300
_SERVER_ERROR = 500


class PlainRelay:
    """Runs the attempts of one call."""

    def __init__(self, call: RelayedCall, parts: RelayParts) -> None:
        self._call = call
        self._parts = parts
        self._excluded: frozenset[str] = frozenset()
        self._limits = AttemptLimits(call, parts)
        self._may_have_run = False
        self._last_outcome = ''
        self._latency_ms: float | None = None
        received_ms = call.request.received_ms
        timeout_ms = call.deadline_ms - received_ms
        self._placement_deadline_ms = (
            received_ms + timeout_ms * PLACEMENT_TIMEOUT_FRACTION
        )
        self._opening_wait = OpeningWait(
            call, parts, self._placement_deadline_ms
        )
        self._suspicion = Suspicion(call, parts)

    async def run(self) -> None:
        """Run the attempts, once there is room, and respond to the caller."""
        quarantined = self._suspicion.refusal()
        if quarantined is not None:
            self._refuse(quarantined)
            return
        gate = self._parts.plain_gate
        refused = await gate.enter(self._demand())
        self._parts.metrics.record_admission(
            self._call.rank, admitted=refused is None
        )
        waited_ms = self._parts.clock.now_ms() - self._call.request.received_ms
        self._parts.metrics.queue_wait_ms.record(waited_ms)
        if refused is not None:
            self._refuse(_overload_refusal(refused))
            return
        try:
            if not await run_attempts(self._limits, self):
                self._refuse(self._final_refusal())
        finally:
            self._opening_wait.end()
            gate.leave(self._call.service.name, self._latency_ms)

    def end(self) -> None:
        """Send the final answer; `run` was cancelled as the entry ends."""
        if self._call.exchange.is_ended:
            return
        may_have_run = self._limits.attempts_sent > 0
        self.refuse(ending_refusal(may_have_run=may_have_run))

    def may_send(self) -> bool:
        """Return whether the route allows another attempt."""
        return self._limits.has_attempts_left

    async def place(self) -> Upstream | RelayRefusal | None:
        """Return the upstream of the next attempt, or None if none for now.

        Where a pause outlasts the wait for an upstream, it is a refusal.
        """
        quarantined = self._suspicion.refusal()
        if quarantined is not None:
            return self._unless_run(quarantined)
        if self._suspicion.is_tried:
            return None if self.may_wait() else self._tried_refusal()
        upstream = self._choose(self._suspicion.excluded())
        if upstream is None and self._excluded:
            # The next placement may choose an upstream that was tried before.
            self._excluded = frozenset()
        if upstream is None:
            return self._pause_refusal()
        self._opening_wait.end()
        return upstream

    def may_wait(self) -> bool:
        """Return whether placement may be tried again after a pause."""
        if self._limits.is_unservable:
            return False
        return self._parts.clock.now_ms() <= self._placement_deadline_ms

    def may_wait_for_budget(self) -> bool:
        """Return False; the caller learns at once that there is no retry."""
        return False

    async def run_attempt(self, placement: Upstream) -> bool:
        """Run an attempt; return whether no further attempt is needed."""
        outcome = await self._attempt(placement)
        self._log_outcome(placement, outcome)
        return self._handle_outcome(placement, outcome)

    def refuse(self, refusal: RelayRefusal) -> None:
        """Send a refusal in place of a response."""
        self._refuse(refusal)

    def _choose(self, avoided: frozenset[str]) -> Upstream | None:
        """Choose an upstream; an avoided one only if there is no other."""
        service = self._call.service.name
        plan = self._parts.rollouts.plan(service)
        choices = (self._excluded | avoided, self._excluded)
        for excluded in choices if avoided else choices[1:]:
            request = RelayPlacementRequest(
                service,
                excluded=excluded,
                target_ms=self._call.route.first_event_target_ms,
            )
            choice = self._parts.choice
            upstream = choice.choose(choice.planned(request, plan))
            if upstream is not None:
                return upstream
        return None

    def _tried_refusal(self) -> RelayRefusal:
        return self._unless_run(self._suspicion.tried_refusal())

    def _unless_run(self, refusal: RelayRefusal) -> RelayRefusal:
        """Return a refusal that is true also after an attempt has run."""
        return refusal.after_run() if self._may_have_run else refusal

    def _pause_refusal(self) -> RelayRefusal | None:
        refusal = self._opening_wait.check()
        if refusal is None or not self._may_have_run:
            return refusal
        return self._final_refusal()

    def _demand(self) -> PlainDemand:
        call = self._call
        plan = self._parts.rollouts.plan(call.service.name).for_capacity()
        slots = self._parts.directory.slots(call.service.name, plan)
        return PlainDemand(
            call.service.name,
            call.team,
            target_ms=call.route.first_event_target_ms,
            remaining_ms=self._limits.remaining_ms,
            slots=slots,
            rank=call.rank,
        )

    async def _attempt(self, upstream: Upstream) -> AttemptOutcome:
        headers = AttemptHeaders(
            upstream.record.instance,
            self._limits.remaining_ms,
        )
        with Attempt(self._call, upstream, self._parts) as attempt:
            not_sent = await attempt.send(headers)
            if not_sent is not None:
                return not_sent
            self._limits.record_sent()
            outcome = await self._read(attempt)
            attempt.settle(outcome)
            self._latency_ms = self._parts.clock.now_ms() - attempt.sent_ms
            return outcome

    async def _read(self, attempt: Attempt) -> AttemptOutcome:
        """Read the response; give it up early if another attempt may follow."""
        response = BufferedResponse(attempt)
        outcome = await response.read(self._attempt_timeout_ms())
        if isinstance(outcome, OutOfTime) and not self._may_replace():
            return await response.read(self._time_left_ms())
        return outcome

    def _attempt_timeout_ms(self) -> float:
        """Return the timeout of the attempt that was just sent."""
        may_retry = self._call.route.repeatability.may_retry
        if not may_retry or self._limits.attempts_sent > 1:
            return self._time_left_ms()
        target_ms = self._call.route.first_event_target_ms
        return min(
            self._time_left_ms(), target_ms * FIRST_ATTEMPT_TARGET_FRACTION
        )

    def _time_left_ms(self) -> float:
        return self._limits.remaining_ms + DEADLINE_MARGIN_MS

    def _may_replace(self) -> bool:
        """Return whether another attempt may follow, and reserve its retry."""
        return self._may_retry() and self._limits.reserve_attempt()

    def _handle_outcome(
        self, upstream: Upstream, outcome: AttemptOutcome
    ) -> bool:
        """Handle an outcome; return whether no further attempt is needed."""
        failed = not isinstance(outcome, Answered)
        if not is_pause(outcome):
            self._parts.directory.record_outcome(upstream, failed=failed)
        self._excluded |= {upstream.record.instance}
        match outcome:
            case Answered(head, body):
                if head.status >= _SERVER_ERROR and self._may_retry():
                    self._may_have_run = True
                    return False
                headers = self._parts.header_names.for_caller(head.headers)
                self._call.exchange.respond(head.status, headers, body)
                self._count_answer(head.status)
                return True
            case NotRun():
                self._parts.plain_gate.record_rejection(self._call.service.name)
                return False
            case NotSent():
                return False
            case _:
                self._may_have_run = True
                return self._refuse_unless_retryable(outcome)

    def _may_retry(self) -> bool:
        return (
            self._call.route.repeatability.may_retry
            and self.may_send()
            and self._limits.remaining_ms > 0
        )

    def _refuse_unless_retryable(self, outcome: AttemptOutcome) -> bool:
        if self._may_retry():
            return False
        if isinstance(outcome, OutOfTime):
            refusal = RelayRefusal(
                504,
                'timeout',
                'no answer in time',
            )
        else:
            refusal = RelayRefusal(502, 'upstream-lost', self._last_outcome)
        self._refuse(refusal)
        return True

    def _final_refusal(self) -> RelayRefusal:
        if self._may_have_run:
            return RelayRefusal(502, 'upstream-lost', self._last_outcome)
        return RelayRefusal(
            503,
            'no-upstream',
            self._last_outcome or 'no upstream is available',
            PLAIN_NO_UPSTREAM_RETRY_AFTER_MS,
        )

    def _count_answer(self, status: int) -> None:
        metrics = self._parts.metrics
        metrics.answers.increment(str(status))
        received_ms = self._call.request.received_ms
        metrics.answer_ms.record(self._parts.clock.now_ms() - received_ms)

    def _refuse(self, refusal: RelayRefusal) -> None:
        self._parts.metrics.refusals.increment(refusal.reason)
        self._parts.log.write(
            'refused',
            request=self._call.request_label,
            content=self._call.fingerprints.label,
            status=refusal.status,
            reason=refusal.reason,
            detail=refusal.detail,
            limit=self._limits.denied_by,
            version=self._call.version,
            sent=self._limits.attempts_sent,
            retry_after_ms=refusal.retry_after_ms,
            urgency=self._call.rank.urgency,
            **refusal.figures,
        )
        send_refusal(self._call.exchange, refusal)

    def _log_outcome(
        self,
        upstream: Upstream,
        outcome: AttemptOutcome,
    ) -> None:
        match outcome:
            case Broken(reason) | NotSent(reason):
                self._last_outcome = reason
            case Answered(head):
                self._last_outcome = f'status {head.status}'
            case _:
                self._last_outcome = repr(outcome)
        self._parts.metrics.attempts.increment(type(outcome).__name__)
        self._parts.log.write(
            'attempt',
            request=self._call.request_label,
            content=self._call.fingerprints.label,
            upstream=upstream.record.instance,
            domain=upstream.record.failure_domain,
            outcome=type(outcome).__name__,
            detail=self._last_outcome,
            in_flight=upstream.in_flight,
        )


def _overload_refusal(refused: PlainRefused) -> RelayRefusal:
    return RelayRefusal(
        503,
        'overloaded',
        f'answer expected in {refused.expected_ms:.0f} ms, at most '
        f'{refused.limit_ms:.0f} ms are left for it; {refused.queued} wait',
        refused.retry_after_ms,
        {
            'expected_ms': round(refused.expected_ms),
            'limit_ms': round(refused.limit_ms),
            'queued': refused.queued,
            'in_flight': refused.in_flight,
            'allowed': refused.allowed,
        },
    )
