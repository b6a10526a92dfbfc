"""Runs one attempt on the engine and buffers its output."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import aclosing

from bergamotthread.clock import Clock
from bergamotthread.connection.engine_client import (
    EngineClient,
    EngineLostError,
    EngineOutput,
    EngineRefusedError,
    GenerateRequest,
)
from bergamotthread.process.generations.output_flusher import OutputFlusher
from bergamotthread.request.output_buffer import OutputBuffer
from bergamotthread.wire.messages import Dispatch, EndMark, EndReason

WINDOW_POLL_MS = 20

_REASON_BY_FINISH = {'length': EndReason.LENGTH, 'stop': EndReason.STOP}


def generate_request(dispatch: Dispatch) -> GenerateRequest:
    """Return the engine request for a dispatch.

    A warm-only dispatch requests a single token, which makes the engine cache
    the prefix.
    """
    max_tokens = dispatch.max_tokens
    if dispatch.warm_only:
        max_tokens = len(dispatch.accepted) + 1
    return GenerateRequest(
        request_id=f'{dispatch.generation}/{dispatch.attempt}',
        pin=dispatch.pin,
        prompt=dispatch.prompt,
        prefix_tokens=dispatch.accepted,
        max_tokens=max_tokens,
        priority=dispatch.priority,
    )


class AttemptRunner:
    """Reads the engine's output stream, paced by the subscriber's window.

    Parameters
    ----------
    window_tokens
        Number of unacknowledged tokens above which reading pauses. The
        backpressure on the connection then slows the engine, and memory stays
        bounded.
    on_failure
        Called after an attempt has failed, so that the failure is reported
        without delay.
    """

    def __init__(
        self,
        engine: EngineClient,
        flusher: OutputFlusher,
        clock: Clock,
        window_tokens: int,
        on_failure: Callable[[], None],
    ) -> None:
        self._engine = engine
        self._flusher = flusher
        self._clock = clock
        self._window_tokens = window_tokens
        self._on_failure = on_failure

    async def run(self, buffer: OutputBuffer) -> None:
        """Run the attempt until it ends; cancelling the task cancels it."""
        try:
            async with self._clock.timeout_ms(buffer.dispatch.remaining_ms):
                await self._read_output(buffer)
        except EngineLostError:
            self._fail(buffer, EndReason.ENGINE_LOST)
        except EngineRefusedError:
            self._fail(buffer, EndReason.ENGINE_REFUSED)
        except TimeoutError:
            self._fail(buffer, EndReason.EXPIRED)

    async def _read_output(self, buffer: OutputBuffer) -> None:
        request = generate_request(buffer.dispatch)
        outputs = self._engine.generate(request)
        async with aclosing(outputs) as stream:  # type: ignore[type-var]
            async for output in stream:
                self._record_output(buffer, output)
                while buffer.unacknowledged_tokens > self._window_tokens:
                    await self._clock.sleep_ms(WINDOW_POLL_MS)

    def _record_output(
        self, buffer: OutputBuffer, output: EngineOutput
    ) -> None:
        if not buffer.dispatch.warm_only:
            buffer.tokens.extend(output.tokens)
        if output.finish:
            reason = _REASON_BY_FINISH.get(output.finish, EndReason.STOP)
            end = EndMark(reason, len(buffer.tokens))
            buffer.finish(end, self._clock.now_ms())
        self._flusher.mark(buffer)

    def _fail(self, buffer: OutputBuffer, reason: EndReason) -> None:
        end = EndMark(reason, len(buffer.tokens))
        buffer.finish(end, self._clock.now_ms())
        self._flusher.mark(buffer)
        self._on_failure()
