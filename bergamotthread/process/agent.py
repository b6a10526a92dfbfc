"""Agent of an engine: admission gate, output buffers and load reports."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec

from bergamotthread.clock import Clock
from bergamotthread.connection.engine_client import (
    EngineClient,
    EngineLostError,
)
from bergamotthread.connection.transport import Transport
from bergamotthread.process.drain.drain_state import DrainPhase, DrainState
from bergamotthread.process.generations.attempt_runner import AttemptRunner
from bergamotthread.process.generations.attempts import Attempts
from bergamotthread.process.generations.output_flusher import OutputFlusher
from bergamotthread.process.overload.admission import (
    AdmissionGate,
    Duplicate,
    GateLimits,
    GateRules,
    Queued,
    Refused,
    Run,
)
from bergamotthread.process.settings import AgentSettings
from bergamotthread.request.attempt_key import AttemptKey
from bergamotthread.request.output_buffer import OutputBuffer
from bergamotthread.version.objects import Team
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import (
    Ack,
    Acks,
    Admitted,
    Cancel,
    Declined,
    Dispatch,
    DrainNotice,
    EndReason,
    Envelope,
    Fetch,
    Missing,
    Revoke,
    Revoked,
    Waiting,
)

COALESCE_MS = 2
IDLE_WAIT_MS = 50
LOAD_INTERVAL_MS = 250
MAINTENANCE_INTERVAL_MS = 250
ENGINE_DOWN_RETRY_AFTER_MS = 1000


@dataclass(frozen=True)
class AgentConfig:
    """Intervals and limits of an agent."""

    flush_interval_ms: float = 20
    retention_ms: float = 60_000
    window_tokens: int = 4096
    gate: GateLimits = GateLimits()

    @classmethod
    def from_settings(cls, settings: AgentSettings) -> AgentConfig:
        """Return the configuration given by the settings."""
        return cls(
            flush_interval_ms=settings.flush_interval_ms,
            retention_ms=settings.retention_ms,
            window_tokens=settings.window_tokens,
        )


class Agent:
    """Runs attempts on one engine and buffers their output.

    Nothing else dispatches to the engine. Its answer that an attempt was not
    dispatched is therefore definite.
    """

    def __init__(
        self,
        config: AgentConfig,
        transport: Transport,
        engine: EngineClient,
        clock: Clock,
    ) -> None:
        self.engine_is_up = True
        self.drain = DrainState(clock, transport.address, self._on_drain_phase)
        self._teams_by_name: dict[str, Team] = {}
        rules = GateRules(weight_of=self._weight_of)
        self.gate = AdmissionGate(clock, config.gate, rules)
        self._config = config
        self._transport = transport
        self._engine = engine
        self._clock = clock
        self._flusher = OutputFlusher(transport, clock)
        self.attempts = Attempts(
            AttemptRunner(
                engine,
                self._flusher,
                clock,
                config.window_tokens,
                self._flush,
            ),
            self._flusher,
            clock,
            config.retention_ms,
        )
        self._waiting_by_key: dict[AttemptKey, str] = {}

    async def run(self) -> None:
        """Serve until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._flush_forever())
                group.create_task(self._poll_load_forever())
                group.create_task(self._maintain_forever())
        finally:
            self.attempts.stop_all()

    def on_message(self, envelope: Envelope) -> None:
        """Handle a message from an entry."""
        sender = envelope.sender
        match envelope.message:
            case Dispatch() as dispatch:
                self._on_dispatch(dispatch, sender)
            case Acks(acks=acks):
                self._on_acks(acks, sender)
            case Cancel(generation=generation, attempt=attempt):
                self._on_cancel(AttemptKey(generation, attempt), sender)
            case Revoke(generation=generation, attempt=attempt):
                self._on_revoke(AttemptKey(generation, attempt), sender)
            case Fetch() as fetch:
                self._on_fetch(fetch, sender)
            case DrainNotice() as notice:
                self.drain.apply_notice(notice)
                self.refresh_drain()

    def refresh_drain(self) -> None:
        """Apply the drain state to the gate, and decline what it refuses."""
        draining = not self.drain.may_dispatch()
        if draining != self.gate.draining:
            self.gate.drain(draining=draining)
            self._send_refused()
        self.drain.refresh(len(self.held_by()))

    def held_by(self) -> tuple[str, ...]:
        """Return the work that must end before the host is safe to stop."""
        held = []
        if self.attempts.undelivered_count:
            held.append(f'{self.attempts.undelivered_count} attempts')
        if self._waiting_by_key:
            held.append(f'{len(self._waiting_by_key)} waiting attempts')
        return tuple(held)

    def apply_version(self, published: PublishedVersion) -> None:
        """Apply the limits, weights and stops of a published version."""
        self.drain.apply_stops(published.object_set.stops)
        upstream = published.upstreams_by_agent.get(self._transport.address)
        if upstream is not None:
            self.gate.limits = GateLimits.from_upstream(upstream)
        self._teams_by_name = published.teams_by_name

    def _weight_of(self, team: str) -> float:
        published_team = self._teams_by_name.get(team)
        return published_team.weight if published_team else 1

    def _on_drain_phase(self, phase: DrainPhase) -> None:
        if phase is DrainPhase.STOPPING:
            self.attempts.hand_over()
            self._flusher.flush()

    def _on_dispatch(self, dispatch: Dispatch, sender: str) -> None:
        key = AttemptKey.from_dispatch(dispatch)
        buffer = self.attempts.buffers_by_key.get(key)
        if buffer:
            self._answer_repeated(buffer, dispatch, sender)
            return
        self.refresh_drain()
        if not self.engine_is_up:
            self._decline(
                key, sender, 'engine_unreachable', ENGINE_DOWN_RETRY_AFTER_MS
            )
            return
        match self.gate.offer(dispatch):
            case Run():
                self._start(dispatch, sender)
            case Queued() | Duplicate(dispatched=False):
                self._waiting_by_key[key] = sender
                waiting = Waiting(key.generation, key.attempt)
                self._transport.send(sender, waiting)
            case Duplicate():
                self._decline(key, sender, 'ended', 0)
            case Refused(reason=reason, retry_after_ms=retry_after_ms):
                self._decline(key, sender, reason, retry_after_ms)

    def _start(self, dispatch: Dispatch, sender: str) -> None:
        self.attempts.start(dispatch, sender)
        self._admit(dispatch, sender)

    def _admit(self, dispatch: Dispatch, sender: str) -> None:
        admitted = Admitted(dispatch.generation, dispatch.attempt)
        self._transport.send(sender, admitted)

    def _answer_repeated(
        self,
        buffer: OutputBuffer,
        dispatch: Dispatch,
        sender: str,
    ) -> None:
        if dispatch.accepted != buffer.dispatch.accepted:
            self._decline(
                AttemptKey.from_dispatch(dispatch), sender, 'another prefix', 0
            )
            return
        offset = len(dispatch.accepted)
        buffer.resubscribe(sender, offset, self._clock.now_ms())
        self._flusher.mark(buffer)
        self._admit(dispatch, sender)

    def _decline(
        self,
        key: AttemptKey,
        sender: str,
        reason: str,
        retry_after_ms: int,
    ) -> None:
        declined = Declined(
            key.generation,
            key.attempt,
            reason,
            retry_after_ms,
        )
        self._transport.send(sender, declined)

    def _on_acks(self, acks: tuple[Ack, ...], sender: str) -> None:
        if not acks:
            self._flusher.send_load_report(sender)
        now_ms = self._clock.now_ms()
        for ack in acks:
            key = AttemptKey(ack.generation, ack.attempt)
            buffer = self.attempts.buffers_by_key.get(key)
            if buffer is None:
                self._report_missing(key, sender)
            elif buffer.subscriber == sender:
                buffer.acknowledge(ack.offset, now_ms)

    def _report_missing(self, key: AttemptKey, sender: str) -> None:
        if key not in self._waiting_by_key:
            missing = Missing(key.generation, key.attempt)
            self._transport.send(sender, missing)

    def _on_cancel(self, key: AttemptKey, sender: str) -> None:
        buffer = self.attempts.buffers_by_key.get(key)
        if buffer is not None and buffer.subscriber == sender:
            self.attempts.discard(key)
            self.gate.record_end(key.generation, key.attempt)

    def _on_revoke(self, key: AttemptKey, sender: str) -> None:
        is_undispatched = self.gate.revoke(key.generation, key.attempt)
        self._waiting_by_key.pop(key, None)
        self._on_cancel(key, sender)
        self._transport.send(
            sender,
            Revoked(key.generation, key.attempt, not is_undispatched),
        )

    def _on_fetch(self, fetch: Fetch, sender: str) -> None:
        key = AttemptKey(fetch.generation, fetch.attempt)
        buffer = self.attempts.buffers_by_key.get(key)
        if buffer is None:
            self._report_missing(key, sender)
            return
        buffer.resubscribe(sender, fetch.offset, self._clock.now_ms())
        self._flusher.mark(buffer)

    async def _flush_forever(self) -> None:
        """Send new output shortly after it arrives, once per flush interval.

        The tokens of one engine step arrive within `COALESCE_MS`. Waiting
        that long sends them together and delays all tokens about equally.
        """
        interval_ms = self._config.flush_interval_ms
        coalesce_ms = min(COALESCE_MS, interval_ms)
        while True:
            wait_ms = IDLE_WAIT_MS if self._is_idle() else interval_ms
            if await self._flusher.wait_marked(wait_ms):
                await self._clock.sleep_ms(coalesce_ms)
            self._start_ready()
            self._flush()
            self._flusher.send_heartbeats(self._heartbeat_receivers())
            await self._clock.sleep_ms(interval_ms - coalesce_ms)

    def _is_idle(self) -> bool:
        """Return whether no entry waits for output or for a heartbeat."""
        return not self._waiting_by_key and not self.attempts.running_count

    def _flush(self) -> None:
        self._record_progress()
        self._flusher.flush()

    def _record_progress(self) -> None:
        for buffer in self._flusher.marked():
            key = AttemptKey.from_dispatch(buffer.dispatch)
            if buffer.end is None:
                produced = len(buffer.tokens) - len(buffer.dispatch.accepted)
                self.gate.record_progress(key.generation, key.attempt, produced)
                continue
            self.gate.record_end(key.generation, key.attempt)
            if buffer.end.reason is EndReason.ENGINE_LOST:
                self.engine_is_up = False

    def _start_ready(self) -> None:
        for dispatch in self.gate.next_ready():
            key = AttemptKey.from_dispatch(dispatch)
            sender = self._waiting_by_key.pop(key, '')
            if sender:
                self._start(dispatch, sender)
        self._send_refused()

    def _send_refused(self) -> None:
        for refused in self.gate.take_refused():
            key = AttemptKey(refused.generation, refused.attempt)
            sender = self._waiting_by_key.pop(key, '')
            if sender:
                self._decline(
                    key,
                    sender,
                    refused.reason,
                    refused.retry_after_ms,
                )

    def _heartbeat_receivers(self) -> set[str]:
        waiting = set(self._waiting_by_key.values())
        return waiting | self.attempts.active_subscribers()

    async def _poll_load_forever(self) -> None:
        while True:
            try:
                reported = await self._engine.load()
            except EngineLostError:
                self.engine_is_up = False
            else:
                self.engine_is_up = True
                self._flusher.load = msgspec.structs.replace(
                    self.gate.load_report(),
                    cached_prefixes=reported.cached_prefixes,
                )
            await self._clock.sleep_ms(LOAD_INTERVAL_MS)

    async def _maintain_forever(self) -> None:
        while True:
            await self._clock.sleep_ms(MAINTENANCE_INTERVAL_MS)
            self.refresh_drain()
            self.attempts.evict()
