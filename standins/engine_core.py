"""A model engine without a model, with continuous batching and faults."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace

import xxhash

from bergamotthread.clock import Clock
from bergamotthread.connection.engine_client import (
    EngineLostError,
    EngineOutput,
    EngineRefusedError,
    GenerateRequest,
)
from bergamotthread.errors import Step
from bergamotthread.wire.messages import LoadReport, Pin
from standins.tokens import first_token, next_token

_BLOCK_CHARACTERS = 64
_MS_PER_S = 1000
_EVENTS_MAX = 16
_EVENT_LOSS = 0.1


@dataclass(frozen=True)
class EngineSpeed:
    """Speeds, sizes and options of an engine."""

    token_interval_ms: float = 10
    prefill_ms_per_token: float = 0.02
    report_lag_ms: float = 500
    max_running: int = 64
    kv_capacity: int = 200_000
    checks_fencing: bool = False
    stop_at: int | None = None


@dataclass
class EngineFaults:
    """Faults in force; the defaults mean no fault."""

    dead: bool = False
    die_after_tokens: int | None = None
    die_on_prompt: str | None = None
    paused_until_ms: float = 0
    slow_factor: float = 1
    mute: bool = False
    deliver_late_ms: float = 0


@dataclass(eq=False)
class _Sequence:
    request: GenerateRequest
    last_token: str
    salt: str
    produced: int
    prefill_left_ms: float
    outputs: asyncio.Queue[EngineOutput | None] = field(
        default_factory=asyncio.Queue,
    )

    @property
    def needs_prefill(self) -> bool:
        return self.prefill_left_ms > 0


@dataclass
class EngineCounts:
    """Counts of the work done, to measure extra resource use."""

    prefill_tokens: int = 0
    decoded_tokens: int = 0
    started: int = 0
    cancelled: int = 0
    started_ids: set[str] = field(default_factory=set)


class Engine:
    """Emits one token per step for each running sequence."""

    def __init__(
        self,
        clock: Clock,
        speed: EngineSpeed | None = None,
        *,
        seed: int = 0,
    ) -> None:
        self.speed = speed or EngineSpeed()
        self.faults = EngineFaults()
        self.counts = EngineCounts()
        self.highest_fence = 0
        self.loaded: set[Pin] = set()
        self._clock = clock
        self._random = random.Random(seed)
        self._running: list[_Sequence] = []
        self._waiting: list[_Sequence] = []
        self._cached_blocks: dict[int, float] = {}
        self._reports: list[tuple[float, LoadReport]] = []
        self._stepper: asyncio.Task[None] | None = None

    async def generate(
        self,
        request: GenerateRequest,
    ) -> AsyncIterator[EngineOutput]:
        """Yield the tokens after the prefix, then the finish reason."""
        await self._wait_while_paused()
        self._check_alive()
        self.check_loaded(request.pin)
        sequence = self._sequence(request)
        self._waiting.append(sequence)
        self._waiting.sort(key=_negative_priority)
        self._ensure_stepping()
        try:
            async for output in self._outputs(sequence):
                yield output
        finally:
            self._forget(sequence)

    def check_loaded(self, pin: Pin) -> None:
        """Raise `EngineRefusedError` if orders loaded only other pins."""
        if self.loaded and pin not in self.loaded:
            raise EngineRefusedError('pin not loaded', step=Step.GENERATE)

    async def load(self) -> LoadReport:
        """Return the load as it was `report_lag_ms` ago."""
        await self._wait_while_paused()
        self._check_alive()
        now_ms = self._clock.now_ms()
        self._reports.append((now_ms, self._report()))
        horizon_ms = now_ms - self.speed.report_lag_ms
        while len(self._reports) > 1 and self._reports[1][0] <= horizon_ms:
            self._reports.pop(0)
        taken_ms, report = self._reports[0]
        age_ms = now_ms - taken_ms
        return LoadReport(
            running=report.running,
            queued=report.queued,
            kv_tokens=report.kv_tokens,
            kv_capacity=report.kv_capacity,
            age_ms=age_ms,
            cached_prefixes=self._with_gaps(report.cached_prefixes),
        )

    async def order(self, action: str, pin: Pin, fence: int) -> bool:
        """Carry out an order.

        Returns ``False`` for an old fencing token if tokens are checked.
        """
        await self._wait_while_paused()
        self._check_alive()
        if self.speed.checks_fencing and fence < self.highest_fence:
            return False
        self.highest_fence = max(self.highest_fence, fence)
        match action:
            case 'load':
                self.loaded.add(pin)
            case 'unload':
                self.loaded.discard(pin)
        return True

    @property
    def running(self) -> int:
        """Return the number of running and waiting sequences."""
        return len(self._running) + len(self._waiting)

    def die(self) -> None:
        """End all generations and fail all calls until `revive`."""
        self.faults.dead = True
        for sequence in (*self._running, *self._waiting):
            sequence.outputs.put_nowait(None)
        self._running.clear()
        self._waiting.clear()

    def revive(self) -> None:
        """Clear the faults and the KV cache, as a restart does."""
        self.faults = replace(EngineFaults())
        self._cached_blocks.clear()

    def pause(self, duration_ms: float) -> None:
        """Stop all work for a time, then continue from the same state."""
        self.faults.paused_until_ms = self._clock.now_ms() + duration_ms

    def _check_alive(self) -> None:
        if self.faults.dead:
            raise EngineLostError('engine is dead', step=Step.GENERATE)

    async def _wait_while_paused(self) -> None:
        remaining_ms = self.faults.paused_until_ms - self._clock.now_ms()
        if remaining_ms > 0:
            await self._clock.sleep_ms(remaining_ms)

    def _sequence(self, request: GenerateRequest) -> _Sequence:
        prefix = request.prefix_tokens
        tokens = len(request.prompt.split()) + len(prefix)
        uncovered = self._uncovered(request.prompt, tokens)
        self.counts.prefill_tokens += uncovered
        self.counts.started += 1
        self.counts.started_ids.add(request.request_id)
        return _Sequence(
            request=request,
            last_token=prefix[-1] if prefix else '',
            salt=f'{self._random.getrandbits(32):08x}',
            produced=len(prefix),
            prefill_left_ms=uncovered * self.speed.prefill_ms_per_token,
        )

    def _uncovered(self, prompt: str, tokens: int) -> int:
        blocks = _block_hashes(prompt)
        covered = sum(1 for block in blocks if block in self._cached_blocks)
        for block in blocks:
            self._cached_blocks[block] = self._clock.now_ms()
        if not blocks:
            return tokens
        return round(tokens * (1 - covered / len(blocks)))

    def _with_gaps(self, events: tuple[int, ...]) -> tuple[int, ...]:
        return tuple(
            event for event in events if self._random.random() > _EVENT_LOSS
        )

    async def _outputs(
        self,
        sequence: _Sequence,
    ) -> AsyncIterator[EngineOutput]:
        while True:
            output = await sequence.outputs.get()
            if output is None:
                raise EngineLostError('connection reset', step=Step.GENERATE)
            yield output
            if output.finish:
                return

    def _forget(self, sequence: _Sequence) -> None:
        for group in (self._running, self._waiting):
            if sequence in group:
                group.remove(sequence)
                self.counts.cancelled += 1

    def _ensure_stepping(self) -> None:
        if self._stepper is None or self._stepper.done():
            self._stepper = asyncio.create_task(self._step_until_idle())

    async def _step_until_idle(self) -> None:
        while self._running or self._waiting:
            await self._wait_while_paused()
            await self._clock.sleep_ms(
                self.speed.token_interval_ms * self.faults.slow_factor,
            )
            await self._wait_while_paused()
            if not self.faults.mute:
                self._step()

    def _step(self) -> None:
        while self._waiting and len(self._running) < self.speed.max_running:
            self._running.append(self._waiting.pop(0))
        for sequence in tuple(self._running):
            if sequence.needs_prefill:
                sequence.prefill_left_ms -= self.speed.token_interval_ms
            elif not self.faults.dead:
                self._emit(sequence)

    def _emit(self, sequence: _Sequence) -> None:
        request = sequence.request
        if self._dies_at(sequence):
            self.die()
            return
        finish = self._finish_of(sequence)
        if finish:
            self._running.remove(sequence)
            self._deliver(sequence, EngineOutput(finish=finish))
            return
        if sequence.produced:
            token = next_token(sequence.last_token, sequence.salt)
        else:
            token = first_token(request.prompt, sequence.salt)
        sequence.last_token = token
        sequence.produced += 1
        self.counts.decoded_tokens += 1
        self._deliver(sequence, EngineOutput(tokens=(token,)))

    def _deliver(self, sequence: _Sequence, output: EngineOutput) -> None:
        delay_s = self.faults.deliver_late_ms / _MS_PER_S
        if delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, sequence.outputs.put_nowait, output)
        else:
            sequence.outputs.put_nowait(output)

    def _finish_of(self, sequence: _Sequence) -> str:
        if sequence.produced == self.speed.stop_at:
            return 'stop'
        if sequence.produced >= sequence.request.max_tokens:
            return 'length'
        return ''

    def _dies_at(self, sequence: _Sequence) -> bool:
        marker = self.faults.die_on_prompt
        if marker is not None and marker in sequence.request.prompt:
            return True
        limit = self.faults.die_after_tokens
        return limit is not None and sequence.produced >= limit

    def _report(self) -> LoadReport:
        kv_tokens = sum(
            sequence.produced + len(sequence.request.prompt.split())
            for sequence in self._running
        )
        return LoadReport(
            running=len(self._running),
            queued=len(self._waiting),
            kv_tokens=kv_tokens,
            kv_capacity=self.speed.kv_capacity,
            cached_prefixes=tuple(self._cached_blocks)[-_EVENTS_MAX:],
        )


def _negative_priority(sequence: _Sequence) -> int:
    return -sequence.request.priority


def _block_hashes(prompt: str) -> list[int]:
    size = _BLOCK_CHARACTERS
    chain = xxhash.xxh64()
    hashes = []
    for start in range(0, len(prompt) - size + 1, size):
        chain.update(prompt[start : start + size].encode())
        hashes.append(chain.intdigest())
    return hashes
