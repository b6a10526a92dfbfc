"""Generations of an entry: dispatch, relay, loss detection and resume."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Coroutine
from functools import partial

from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.connection.peer_histories import PeerHistories
from bergamotthread.connection.transport import Transport
from bergamotthread.process.generations.generation_driver import (
    DriverDependencies,
    GenerationDriver,
)
from bergamotthread.process.generations.generation_guards import (
    GenerationGuards,
)
from bergamotthread.process.generations.generation_watch import (
    GenerationLimits,
    GenerationWatch,
)
from bergamotthread.process.membership.loss_probe import LostAgentProber
from bergamotthread.process.membership.observers import Observers
from bergamotthread.process.routing.placement import Placement
from bergamotthread.process.routing.standby import Standbys
from bergamotthread.request.generation import (
    AttemptPlace,
    FrameVerdict,
)
from bergamotthread.request.generation_refusal import internal_refusal
from bergamotthread.request.live_generation import (
    Finished,
    LiveGeneration,
    Lost,
    Rejected,
    outcome_of,
)
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import (
    Ack,
    Acks,
    Admitted,
    Cancel,
    Declined,
    Envelope,
    Fetch,
    Frame,
    Missing,
    OutputBatch,
    Revoked,
    Waiting,
)

WATCH_INTERVAL_MS = 100
ACK_CHECK_INTERVAL_MS = 100
RELEASE_INTERVAL_MS = 1000
FETCH_INTERVAL_MS = 200


class Generations:
    """Runs generations on agents and resumes them after a loss."""

    def __init__(
        self,
        transport: Transport,
        placement: Placement,
        clock: Clock,
        limits: GenerationLimits | None = None,
        guards: GenerationGuards | None = None,
        observers: Observers | None = None,
    ) -> None:
        self.by_id: dict[str, LiveGeneration] = {}
        self._running_by_id: dict[str, LiveGeneration] = {}
        self.config_version = 0
        self.limits = limits or GenerationLimits()
        self.guards = guards or GenerationGuards(clock)
        self.observers = observers or Observers.from_clock(clock)
        self._metrics = self.observers.metrics
        self._trace = self.observers.trace
        self.standbys = Standbys(transport, placement, clock)
        self._transport = transport
        self._placement = placement
        self._clock = clock
        self._peers = PeerHistories(clock)
        self._probe = LostAgentProber(transport, clock)
        parts = DriverDependencies(
            transport,
            placement,
            self.guards,
            self._metrics,
            self._peers,
            self._probe,
            self._trace,
        )
        self._driver = GenerationDriver(parts, clock, self.limits)
        self._watch = GenerationWatch(self._peers, self.limits)

    async def run(self) -> None:
        """Check, acknowledge and release generations until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_forever())
            group.create_task(self._acknowledge_forever())
            group.create_task(self._release_forever())

    def apply_version(self, published: PublishedVersion) -> None:
        """Apply a published version if it is newer than the current one."""
        if published.version > self.config_version:
            self.config_version = published.version
            self.guards.apply_version(published)
            self._placement.publish(published)

    def start(self, live: LiveGeneration) -> None:
        """Admit a generation and start to run it in a task.

        Raises
        ------
        RefusedError
            If a guard refuses it; in this case nothing has run.
        """
        pin = live.generation.spec.pin
        self.observers.demand.record(pin)
        self.guards.admit(live, self._placement.utilisation(pin))
        self._run(live, self._driver.drive(live))

    def adopt(self, live: LiveGeneration, agent: str, attempt: int) -> None:
        """Take over a generation of a lost entry at the agent that runs it."""
        self.guards.adopt(live)
        self._run(live, self._driver.adopt(live, agent, attempt))

    def cancel(self, live: LiveGeneration) -> None:
        """Cancel a generation without readers and stop its attempt."""
        generation = live.generation
        if generation.is_over:
            return
        place = generation.place
        generation.cancel()
        if place.agent:
            self._driver.send_cancel(live, place)
            self.guards.attempt_ended(live, place.agent)
        if live.task is not None:
            live.task.cancel()
        live.notify_readers()

    def on_message(self, envelope: Envelope) -> None:
        """Handle a message from an agent."""
        is_new = self._peers.record(envelope.sender, envelope.incarnation)
        self.guards.agent_responded(envelope.sender, is_new=is_new)
        if is_new:
            self._settle_replaced(envelope.sender, envelope.incarnation)
        match envelope.message:
            case OutputBatch() as batch:
                self._on_batch(batch, envelope)
            case Admitted(generation=generation, attempt=attempt):
                live = self._find_current(generation, attempt, envelope)
                if live is not None:
                    self._record_admission(live)
                    self._trace.record_confirmed(live)
                    live.silence_detector.restart(self._clock.now_ms())
            case Waiting(generation=generation, attempt=attempt):
                live = self._find_current(generation, attempt, envelope)
                if live is not None:
                    live.is_confirmed = True
                    self._trace.record_confirmed(live, dispatched=False)
            case Declined() as declined:
                self._on_declined(declined, envelope)
            case Missing(generation=generation, attempt=attempt):
                live = self._find_current(generation, attempt, envelope)
                if live is not None:
                    live.set_outcome(Lost('output not held by agent'))
            case Revoked() as revoked:
                self._on_revoked(revoked, envelope.sender)

    def check_running(self) -> None:
        """Check all running generations for losses and abandonment."""
        now_ms = self._clock.now_ms()
        for generation_id, live in tuple(self._running_by_id.items()):
            if live.generation.is_over:
                self._running_by_id.pop(generation_id)
            elif self._watch.is_abandoned(live, now_ms):
                self.cancel(live)
            else:
                if live.awaits_output:
                    self._fetch(live)
                lost = self._watch.find_loss(live, now_ms)
                if lost is not None:
                    self._placement.record_loss(live.generation.place.agent)
                    live.set_outcome(lost)

    def _run(
        self,
        live: LiveGeneration,
        work: Coroutine[None, None, None],
    ) -> None:
        generation_id = live.generation.spec.generation
        self.by_id[generation_id] = live
        self._running_by_id[generation_id] = live
        self._trace.record_admitted(live)
        live.task = asyncio.create_task(work)
        live.task.add_done_callback(partial(self._on_task_done, live))

    def _on_task_done(
        self, live: LiveGeneration, task: asyncio.Task[None]
    ) -> None:
        run_ms = self._clock.now_ms() - live.started_ms
        self.guards.generation_ended(live, run_ms)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            logging.error(
                'generation %s failed: %r',
                live.generation.spec.generation,
                error,
            )
            live.generation.abort(internal_refusal(live, error))
            live.notify_readers()
        self._trace.record_end(live)

    def _settle_replaced(self, peer: str, incarnation: int) -> None:
        for live in self.by_id.values():
            place = live.generation.place
            if place.agent == peer and 0 < place.incarnation < incarnation:
                live.set_outcome(Lost('agent was replaced', upstream_died=True))

    def _on_revoked(self, revoked: Revoked, agent: str) -> None:
        live = self.by_id.get(revoked.generation)
        if live is not None and not revoked.dispatched:
            place = AttemptPlace(revoked.attempt, agent)
            live.unconfirmed.discard(place)
            self._trace.record_revoked(live, revoked.attempt, agent)

    def _find_current(
        self,
        generation: str,
        attempt: int,
        envelope: Envelope,
    ) -> LiveGeneration | None:
        live = self.by_id.get(generation)
        if live is None:
            return None
        if live.generation.is_current(
            envelope.sender,
            envelope.incarnation,
            attempt,
        ):
            live.generation.bind_incarnation(envelope.incarnation)
            return live
        return None

    def _on_batch(self, batch: OutputBatch, envelope: Envelope) -> None:
        self._probe.remove(envelope.sender)
        self._placement.record_load(envelope.sender, batch.load)
        for frame in batch.frames:
            live = self.by_id.get(frame.generation)
            if live is None:
                self._cancel_stale(frame, envelope.sender)
            else:
                self._on_frame(live, frame, envelope)

    def _on_frame(
        self,
        live: LiveGeneration,
        frame: Frame,
        envelope: Envelope,
    ) -> None:
        self._trace.record_frame(frame, envelope)
        verdict = live.generation.accept(
            frame,
            envelope.sender,
            envelope.incarnation,
        )
        match verdict:
            case FrameVerdict.ACCEPTED:
                self._on_progress(live, frame)
            case FrameVerdict.STALE:
                self._cancel_stale(frame, envelope.sender)
            case FrameVerdict.GAP:
                self._fetch(live)
            case FrameVerdict.CORRUPT:
                live.set_outcome(Lost('end mark contradicts the output'))

    def _on_progress(self, live: LiveGeneration, frame: Frame) -> None:
        self._record_admission(live)
        if frame.tokens:
            self._record_tokens(live, len(frame.tokens))
            self.guards.attempt_progressed(live, live.generation.place.agent)
            self.standbys.progressed(live)
        if live.generation.is_over:
            live.set_outcome(Finished())
        elif frame.end is not None:
            live.set_outcome(outcome_of(frame.end.reason))
        live.notify_readers()

    def _record_admission(self, live: LiveGeneration) -> None:
        if not live.is_admitted:
            live.admit()
            self.guards.attempt_started(live, live.generation.place.agent)

    def _record_tokens(self, live: LiveGeneration, count: int) -> None:
        now_ms = self._clock.now_ms()
        self._metrics.count_tokens(count)
        if live.has_output:
            live.silence_detector.record(now_ms)
            return
        live.silence_detector.restart(now_ms)
        live.has_output = True
        if live.interrupted_ms:
            self._metrics.record_resume(now_ms - live.interrupted_ms)
        else:
            self._metrics.record_first_token(now_ms - live.started_ms)

    def _on_declined(self, declined: Declined, envelope: Envelope) -> None:
        live = self._find_current(
            declined.generation, declined.attempt, envelope
        )
        if live is not None:
            live.set_outcome(Rejected(declined.reason, declined.retry_after_ms))

    def _cancel_stale(self, frame: Frame, agent: str) -> None:
        live = self.by_id.get(frame.generation)
        if live is not None and live.generation.place.agent == agent:
            return
        if frame.end is None:
            cancel = Cancel(frame.generation, frame.attempt)
            self._transport.send(agent, cancel)

    def _fetch(self, live: LiveGeneration) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - live.fetched_ms < FETCH_INTERVAL_MS:
            return
        live.fetched_ms = now_ms
        generation = live.generation
        place = generation.place
        self._transport.send(
            place.agent,
            Fetch(generation.spec.generation, place.number, generation.offset),
        )

    async def _watch_forever(self) -> None:
        while True:
            await self._clock.sleep_ms(WATCH_INTERVAL_MS)
            self._probe.send_due()
            self.check_running()

    async def _release_forever(self) -> None:
        while True:
            await self._clock.sleep_ms(RELEASE_INTERVAL_MS)
            self.guards.expire_suspicions()
            now_ms = self._clock.now_ms()
            for generation_id, live in tuple(self.by_id.items()):
                if self._watch.is_releasable(live, now_ms):
                    self.by_id.pop(generation_id)

    async def _acknowledge_forever(self) -> None:
        while True:
            await self._clock.sleep_ms(ACK_CHECK_INTERVAL_MS)
            acks_by_agent: dict[str, list[Ack]] = defaultdict(list)
            now_ms = self._clock.now_ms()
            for generation_id, live in self._running_by_id.items():
                place = live.generation.place
                if live.is_admitted and place.agent and live.is_ack_due(now_ms):
                    live.record_ack(now_ms)
                    ack = Ack(generation_id, place.number, live.consumed_tokens)
                    acks_by_agent[place.agent].append(ack)
            for agent, acks in acks_by_agent.items():
                self._transport.send(
                    agent,
                    Acks(tuple(acks), self.config_version),
                )
