"""The agent beside an engine: gate, output buffers and load reports."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.connection.engine_client import (
    EngineClient,
    EngineLostError,
)
from bergamotthread.connection.transport import Transport
from bergamotthread.process.attempt_runner import AttemptRunner
from bergamotthread.process.output_flusher import OutputFlusher
from bergamotthread.process.settings import AgentSettings
from bergamotthread.request.output_buffer import OutputBuffer
from bergamotthread.wire.messages import (
    Ack,
    Acks,
    Admitted,
    Cancel,
    Declined,
    Dispatch,
    EndMark,
    EndReason,
    Envelope,
    Fetch,
    Missing,
    Revoke,
    Revoked,
)

LOAD_INTERVAL_MS = 250
EVICTION_INTERVAL_MS = 1000
DELIVERED_RETENTION_MS = 5000
MAX_REVOKED = 10_000


@dataclass(frozen=True)
class AttemptKey:
    """Identity of an attempt at an agent."""

    generation: str
    attempt: int


@dataclass(frozen=True)
class AgentConfig:
    """Times and sizes of an agent."""

    flush_interval_ms: float = 20
    retention_ms: float = 60_000
    window_tokens: int = 4096

    @classmethod
    def from_settings(cls, settings: AgentSettings) -> AgentConfig:
        """Return the configuration that the settings ask for."""
        return cls(
            flush_interval_ms=settings.flush_interval_ms,
            retention_ms=settings.retention_ms,
            window_tokens=settings.window_tokens,
        )


class Agent:
    """Runs attempts on one engine and holds their output.

    It alone dispatches to its engine, so its word that an attempt was not
    dispatched is final.
    """

    def __init__(
        self,
        config: AgentConfig,
        transport: Transport,
        engine: EngineClient,
        clock: Clock,
    ) -> None:
        self.draining = False
        self.engine_is_up = True
        self._config = config
        self._transport = transport
        self._engine = engine
        self._clock = clock
        self._flusher = OutputFlusher(transport, clock)
        self._runner = AttemptRunner(
            engine,
            self._flusher,
            clock,
            config.window_tokens,
        )
        self._buffers_by_key: dict[AttemptKey, OutputBuffer] = {}
        self._tasks_by_key: dict[AttemptKey, asyncio.Task[None]] = {}
        self._revoked: OrderedDict[AttemptKey, None] = OrderedDict()

    @property
    def running(self) -> int:
        """Return how many attempts run at the engine."""
        return len(self._tasks_by_key)

    async def run(self) -> None:
        """Serve until cancelled."""
        self._transport.start(self.on_message)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._flush_forever())
                group.create_task(self._poll_load_forever())
                group.create_task(self._evict_forever())
        finally:
            self._cancel_all()

    def on_message(self, envelope: Envelope) -> None:
        """Take in a message from an entry."""
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

    def hand_over(self) -> None:
        """End all running attempts so that they go on at other upstreams."""
        for key in tuple(self._tasks_by_key):
            buffer = self._buffers_by_key[key]
            self._stop(key)
            self._end(buffer, EndReason.HANDED_OVER)
        self._flusher.flush()

    def _on_dispatch(self, dispatch: Dispatch, sender: str) -> None:
        key = AttemptKey(dispatch.generation, dispatch.attempt)
        known = self._buffers_by_key.get(key)
        if known:
            self._repeat(known, dispatch, sender)
            return
        reason = self._reason_to_decline(key)
        if reason:
            self._decline(dispatch, sender, reason)
        else:
            self._start(key, dispatch, sender)

    def _reason_to_decline(self, key: AttemptKey) -> str:
        if key in self._revoked:
            return 'revoked'
        if self.draining:
            return 'draining'
        if self.engine_is_up:
            return ''
        return 'engine unreachable'

    def _start(self, key: AttemptKey, dispatch: Dispatch, sender: str) -> None:
        now_ms = self._clock.now_ms()
        buffer = OutputBuffer.from_dispatch(dispatch, sender, now_ms)
        self._buffers_by_key[key] = buffer
        task = asyncio.create_task(self._runner.run(buffer))
        self._tasks_by_key[key] = task
        task.add_done_callback(lambda _: self._on_stopped(key, buffer))
        self._transport.send(
            sender,
            Admitted(dispatch.generation, dispatch.attempt),
        )

    def _repeat(
        self,
        buffer: OutputBuffer,
        dispatch: Dispatch,
        sender: str,
    ) -> None:
        if dispatch.accepted != buffer.dispatch.accepted:
            self._decline(dispatch, sender, 'attempt has another prefix')
            return
        offset = len(dispatch.accepted)
        buffer.resubscribe(sender, offset, self._clock.now_ms())
        self._flusher.mark(buffer)
        self._transport.send(
            sender,
            Admitted(dispatch.generation, dispatch.attempt),
        )

    def _decline(self, dispatch: Dispatch, sender: str, reason: str) -> None:
        declined = Declined(dispatch.generation, dispatch.attempt, reason)
        self._transport.send(sender, declined)

    def _on_acks(self, acks: tuple[Ack, ...], sender: str) -> None:
        now_ms = self._clock.now_ms()
        for ack in acks:
            key = AttemptKey(ack.generation, ack.attempt)
            buffer = self._buffers_by_key.get(key)
            if buffer is None:
                self._transport.send(
                    sender, Missing(key.generation, key.attempt)
                )
            elif buffer.subscriber == sender:
                buffer.acknowledge(ack.offset, now_ms)

    def _on_cancel(self, key: AttemptKey, sender: str) -> None:
        buffer = self._buffers_by_key.get(key)
        if buffer is not None and buffer.subscriber == sender:
            self._stop(key)
            self._buffers_by_key.pop(key)

    def _on_revoke(self, key: AttemptKey, sender: str) -> None:
        dispatched = key in self._buffers_by_key
        if dispatched:
            self._on_cancel(key, sender)
        self._revoked[key] = None
        if len(self._revoked) > MAX_REVOKED:
            self._revoked.popitem(last=False)
        self._transport.send(
            sender,
            Revoked(key.generation, key.attempt, dispatched),
        )

    def _on_fetch(self, fetch: Fetch, sender: str) -> None:
        key = AttemptKey(fetch.generation, fetch.attempt)
        buffer = self._buffers_by_key.get(key)
        if buffer is None:
            self._transport.send(sender, Missing(key.generation, key.attempt))
            return
        buffer.resubscribe(sender, fetch.offset, self._clock.now_ms())
        self._flusher.mark(buffer)

    def _on_stopped(self, key: AttemptKey, buffer: OutputBuffer) -> None:
        self._tasks_by_key.pop(key, None)
        if buffer.end is not None:
            lost = buffer.end.reason is EndReason.ENGINE_LOST
            self.engine_is_up = self.engine_is_up and not lost

    def _stop(self, key: AttemptKey) -> None:
        task = self._tasks_by_key.pop(key, None)
        if task is not None:
            task.cancel()

    def _end(self, buffer: OutputBuffer, reason: EndReason) -> None:
        end = EndMark(reason, len(buffer.tokens))
        buffer.finish(end, self._clock.now_ms())
        self._flusher.mark(buffer)

    def _cancel_all(self) -> None:
        for key in tuple(self._tasks_by_key):
            self._stop(key)

    async def _flush_forever(self) -> None:
        while True:
            await self._clock.sleep_ms(self._config.flush_interval_ms)
            self._flusher.flush()
            self._flusher.beat(self._active_entries())

    def _active_entries(self) -> set[str]:
        return {
            buffer.subscriber
            for buffer in self._buffers_by_key.values()
            if buffer.end is None
        }

    async def _poll_load_forever(self) -> None:
        while True:
            try:
                self._flusher.load = await self._engine.load()
            except EngineLostError:
                self.engine_is_up = False
            else:
                self.engine_is_up = True
            await self._clock.sleep_ms(LOAD_INTERVAL_MS)

    async def _evict_forever(self) -> None:
        while True:
            await self._clock.sleep_ms(EVICTION_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            for key, buffer in tuple(self._buffers_by_key.items()):
                if self._is_evictable(buffer, now_ms):
                    self._stop(key)
                    self._buffers_by_key.pop(key)

    def _is_evictable(self, buffer: OutputBuffer, now_ms: float) -> bool:
        if now_ms - buffer.heard_ms > self._config.retention_ms:
            return True
        if buffer.end is None or buffer.unacknowledged:
            return False
        return now_ms - buffer.ended_ms > DELIVERED_RETENTION_MS
