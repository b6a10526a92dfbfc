"""Renders a live generation as server-sent events or as one answer."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import msgspec
import xxhash

from bergamotthread.request.completion import (
    Choice,
    CompletionChunk,
    Usage,
)
from bergamotthread.request.cursor import Cursor, CursorSigner
from bergamotthread.request.live_generation import LiveGeneration
from bergamotthread.request.refusal import (
    Refusal,
    RefusedError,
    problem_json,
)

_ERROR_EVENT = b'event: error\ndata: %b\n\n'
_DONE_EVENT = b'data: [DONE]\n\n'


@dataclass(frozen=True)
class StreamOptions:
    """Options of one caller that reads a generation."""

    offset: int
    model: str
    request_digest: int
    include_tokens: bool = False


class CompletionStream:
    """Stream of a generation's output to one caller, from an offset on."""

    def __init__(
        self,
        live: LiveGeneration,
        signer: CursorSigner,
        stamp: Callable[[Refusal], Refusal],
        options: StreamOptions,
    ) -> None:
        self._live = live
        self._signer = signer
        self._stamp = stamp
        self._options = options
        self._offset = options.offset
        self._digest = xxhash.xxh64()
        self._digested_tokens = 0
        self._encode = msgspec.json.Encoder().encode

    async def events(self) -> AsyncIterator[bytes]:
        """Yield events until the end of the answer.

        The last chunk carries the finish reason and the token count, and is
        followed by `[DONE]`. An answer that can't be continued ends with an
        `error` event instead, whose data is the refusal as problem JSON.
        """
        generation = self._live.generation
        while True:
            if generation.offset > self._offset:
                yield self._next_event()
                self._live.consumed_tokens = self._offset
            elif generation.is_over:
                yield self._last_event()
                return
            else:
                await self._live.wait_change()

    async def complete_answer(self) -> bytes:
        """Return the complete answer as one JSON document.

        Raises
        ------
        RefusedError
            If the generation ended in a refusal.
        """
        generation = self._live.generation
        while not generation.is_over:
            self._live.consumed_tokens = generation.offset
            await self._live.wait_change()
        if generation.refusal is not None:
            raise RefusedError(generation.refusal)
        return self._encode(self._final_chunk(''.join(generation.tokens)))

    def _next_event(self) -> bytes:
        tokens = self._live.generation.tokens[self._offset :]
        text = ''.join(tokens)
        self._offset += len(tokens)
        included_tokens = tuple(tokens) if self._options.include_tokens else ()
        chunk = CompletionChunk(
            id=self._live.generation.spec.generation,
            model=self._options.model,
            choices=(Choice(text, tokens=included_tokens),),
        )
        return self._render(chunk)

    def _last_event(self) -> bytes:
        refusal = self._live.generation.refusal
        if refusal is not None:
            return _ERROR_EVENT % problem_json(self._stamp(refusal))
        return self._render(self._final_chunk('')) + _DONE_EVENT

    def _final_chunk(self, text: str) -> CompletionChunk:
        generation = self._live.generation
        end = generation.end
        reason = str(end.reason) if end else 'cancelled'
        return CompletionChunk(
            id=generation.spec.generation,
            model=self._options.model,
            choices=(Choice(text, finish_reason=reason),),
            usage=Usage(
                self._live.placement_request.prompt_tokens,
                generation.offset,
            ),
        )

    def _render(self, chunk: CompletionChunk) -> bytes:
        cursor = self._cursor().encode()
        return b'id: %b\ndata: %b\n\n' % (cursor, self._encode(chunk))

    def _cursor(self) -> str:
        generation = self._live.generation
        place = generation.place
        return self._signer.sign(
            Cursor(
                generation=generation.spec.generation,
                attempt=place.number,
                offset=self._offset,
                agent=place.agent,
                team=generation.spec.team,
                request_digest=self._options.request_digest,
                output_digest=self._output_digest(),
            ),
        )

    def _output_digest(self) -> int:
        new_tokens = self._live.generation.tokens[
            self._digested_tokens : self._offset
        ]
        self._digest.update(''.join(new_tokens).encode())
        self._digested_tokens = self._offset
        return self._digest.intdigest()


def digest_tokens(tokens: tuple[str, ...]) -> int:
    """Return the output digest in a cursor after `tokens`."""
    return xxhash.xxh64_intdigest(''.join(tokens).encode())
