"""Runs the attempts of one generation until it is over."""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec
from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.connection.peer_histories import PeerHistories
from bergamotthread.connection.transport import Transport
from bergamotthread.errors import Step
from bergamotthread.process.entry_metrics import EntryMetrics
from bergamotthread.process.explanations.decision_trace import DecisionTrace
from bergamotthread.process.generations.generation_guards import (
    GenerationGuards,
    Proceed,
    Wait,
)
from bergamotthread.process.generations.generation_watch import GenerationLimits
from bergamotthread.process.membership.loss_probe import LostAgentProber
from bergamotthread.process.routing.placement import Placement, PlacementRequest
from bergamotthread.request.generation import AttemptPlace
from bergamotthread.request.generation_refusal import (
    generation_refusal,
    limit_refusal,
    placement_refusal,
)
from bergamotthread.request.live_generation import (
    Finished,
    LiveGeneration,
    Lost,
    Outcome,
    Rejected,
)
from bergamotthread.request.refusal import (
    ReasonCode,
    Refusal,
    RefusedError,
)
from bergamotthread.wire.messages import Cancel, Dispatch, Fetch, Revoke

PLACEMENT_RETRY_MS = 100


@dataclass(frozen=True)
class _DispatchTarget:
    """Agent that the next attempt is sent to.

    `suspect` is True if upstreams have died while running the request.
    """

    agent: str
    request: PlacementRequest
    suspect: bool


@dataclass(frozen=True)
class DriverDependencies:
    """Components that the driver shares with the rest of the entry."""

    transport: Transport
    placement: Placement
    guards: GenerationGuards
    metrics: EntryMetrics
    peers: PeerHistories
    probe: LostAgentProber
    trace: DecisionTrace


class GenerationDriver:
    """Dispatches attempts and, after a loss, resumes at another upstream."""

    def __init__(
        self,
        parts: DriverDependencies,
        clock: Clock,
        limits: GenerationLimits,
    ) -> None:
        self._transport = parts.transport
        self._placement = parts.placement
        self._guards = parts.guards
        self._metrics = parts.metrics
        self._peers = parts.peers
        self._probe = parts.probe
        self._trace = parts.trace
        self._clock = clock
        self._limits = limits

    async def drive(self, live: LiveGeneration) -> None:
        """Run attempts until the generation is over."""
        while not live.generation.is_over:
            chosen = await self._choose_agent(live)
            if chosen is None:
                break
            outcome = await self._run_attempt(live, chosen)
            self._handle_outcome(live, outcome)
        live.notify_readers()

    async def adopt(
        self,
        live: LiveGeneration,
        agent: str,
        attempt: int,
    ) -> None:
        """Take over a generation that another entry started.

        Fetches the output of its running attempt, then drives the generation
        on from there.
        """
        live.was_ever_admitted = True
        generation = live.generation
        pending = live.expect_outcome(self._clock.now_ms())
        live.is_adopted = True
        place = generation.adopt_attempt(agent, attempt)
        self._trace.record_attempt(live, adopted=True)
        self._peers.restart(agent)
        fetch = Fetch(generation.spec.generation, place.number, 0)
        self._transport.send(agent, fetch)
        outcome = await pending
        self._handle_outcome(live, outcome)
        if not generation.is_over:
            self._restore_output(live, agent, outcome)
        await self.drive(live)

    def send_cancel(self, live: LiveGeneration, place: AttemptPlace) -> None:
        """Cancel an attempt, or revoke it if the agent has not admitted it."""
        generation_id = live.generation.spec.generation
        message: Cancel | Revoke = Cancel(generation_id, place.number)
        if not live.is_admitted:
            message = Revoke(generation_id, place.number)
        self._transport.send(place.agent, message)

    def _restore_output(
        self,
        live: LiveGeneration,
        agent: str,
        outcome: Outcome,
    ) -> None:
        generation = live.generation
        if generation.offset >= live.required_offset:
            return
        if len(live.fallback_tokens) == live.required_offset:
            generation.restore(live.fallback_tokens)
            self._trace.record_restored(live)
            return
        refusal = generation_refusal(
            live,
            ReasonCode.OUTPUT_LOST,
            f'the output is not available ({_describe_outcome(outcome)}); '
            'send it as accepted_tokens',
        )
        generation.refuse(msgspec.structs.replace(refusal, peer=agent))

    async def _choose_agent(
        self, live: LiveGeneration
    ) -> _DispatchTarget | None:
        while True:
            proceed = await self._wait_for_guards(live)
            if proceed is None:
                return None
            request = self._placement_request(live, proceed)
            try:
                agent = self._preferred_agent(live, request)
            except RefusedError as error:
                refused = error.refusal
            else:
                return _DispatchTarget(agent, request, proceed.is_suspect)
            if not self._may_wait(live, request):
                live.generation.refuse(placement_refusal(live, refused))
                return None
            live.excluded = frozenset()
            await self._clock.sleep_ms(PLACEMENT_RETRY_MS)

    async def _wait_for_guards(self, live: LiveGeneration) -> Proceed | None:
        """Wait until an attempt may start; return None if it is refused."""
        while True:
            decision: Proceed | Wait | Refusal | None = limit_refusal(
                live,
                self._clock.now_ms(),
            )
            if decision is None:
                decision = self._guards.before_attempt(live)
            match decision:
                case Proceed():
                    return decision
                case Wait(wait_ms=wait_ms):
                    await self._clock.sleep_ms(wait_ms)
                case Refusal():
                    live.generation.refuse(decision)
                    return None

    def _preferred_agent(
        self,
        live: LiveGeneration,
        request: PlacementRequest,
    ) -> str:
        """Return the standby if it can be used, else the best agent."""
        standby = live.standby
        live.standby = ''
        is_usable = standby and standby not in request.excluded
        if is_usable and self._placement.accepts(standby):
            return standby
        return self._placement.choose(request)

    def _may_wait(
        self,
        live: LiveGeneration,
        request: PlacementRequest,
    ) -> bool:
        waited_ms = self._clock.now_ms() - live.interrupted_ms
        return request.resume and waited_ms <= self._limits.resume_timeout_ms

    def _placement_request(
        self,
        live: LiveGeneration,
        proceed: Proceed,
    ) -> PlacementRequest:
        return replace(
            live.placement_request,
            accepted_tokens=live.generation.offset,
            excluded=live.excluded | proceed.excluded_agents,
            resume=live.may_have_run,
        )

    async def _run_attempt(
        self,
        live: LiveGeneration,
        chosen: _DispatchTarget,
    ) -> Outcome:
        now_ms = self._clock.now_ms()
        agent = chosen.agent
        outcome = live.expect_outcome(now_ms)
        place = live.generation.begin_attempt(agent)
        self._trace.record_attempt(live)
        self._peers.restart(agent)
        self._placement.record_dispatch(agent, chosen.request)
        dispatch = make_dispatch(live, place, now_ms, suspect=chosen.suspect)
        self._transport.send(agent, dispatch)
        try:
            return await outcome
        finally:
            self._placement.record_end(agent, chosen.request)

    def _handle_outcome(self, live: LiveGeneration, outcome: Outcome) -> None:
        generation = live.generation
        place = generation.place
        self._trace.record_outcome(live, outcome)
        match outcome:
            case Finished():
                self._guards.attempt_ended(live, place.agent)
                return
            case Rejected():
                live.attempts -= 1
                live.rejection = outcome
                self._guards.attempt_ended(live, place.agent)
            case Lost():
                self._handle_loss(live, outcome)
        live.excluded |= {place.agent}
        generation.interrupt()

    def _handle_loss(self, live: LiveGeneration, lost: Lost) -> None:
        place = live.generation.place
        live.interrupted_ms = self._clock.now_ms()
        live.must_spend_retry = True
        self._metrics.count_loss(lost.cause)
        logging.warning(
            'attempt lost: %s',
            lost.cause,
            extra={
                'request_id': live.generation.spec.generation,
                'attempt': place.number,
                'step': str(Step.GENERATE),
                'peer': place.agent,
            },
        )
        if not live.is_admitted:
            unbound = AttemptPlace(place.number, place.agent)
            live.unconfirmed.add(unbound)
        self.send_cancel(live, place)
        domain = self._placement.failure_domain(place.agent)
        if lost.is_silence and live.is_admitted:
            self._guards.agent_suspected(live, place.agent, domain)
        else:
            if lost.upstream_died:
                self._guards.upstream_died(place.agent, domain)
            self._guards.attempt_ended(live, place.agent)
        self._placement.record_loss(place.agent)
        self._probe.add(place.agent)


def _describe_outcome(outcome: Outcome) -> str:
    match outcome:
        case Lost(cause=cause):
            return cause
        case Rejected(reason=reason):
            return reason
        case Finished():
            return 'finished'


def make_dispatch(
    live: LiveGeneration,
    place: AttemptPlace,
    now_ms: float,
    *,
    suspect: bool = False,
    warm_only: bool = False,
) -> Dispatch:
    """Return the message that starts an attempt.

    The attempt continues after the tokens that the generation has accepted.
    """
    generation = live.generation
    spec = generation.spec
    return Dispatch(
        generation=spec.generation,
        attempt=place.number,
        pin=spec.pin,
        prompt=spec.prompt,
        accepted=tuple(generation.tokens),
        max_tokens=spec.max_tokens,
        remaining_ms=spec.deadline_ms - now_ms,
        team=spec.team,
        priority=spec.priority,
        fingerprint=spec.fingerprint,
        warm_only=warm_only,
        config_version=live.config_version,
        suspect=suspect,
    )
