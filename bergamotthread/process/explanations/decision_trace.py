"""Trace of an entry's decisions on generations, as JSON lines.

A trace contains no prompts and, instead of tokens, only their number. Its first
line gives the version of the format.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from bergamotthread.clock import Clock
from bergamotthread.errors import DecodeError, Step
from bergamotthread.request.live_generation import (
    Finished,
    LiveGeneration,
    Lost,
    Outcome,
    Rejected,
)
from bergamotthread.wire.messages import Envelope, Frame

TRACE_VERSION = 1


class _Record(
    msgspec.Struct,
    frozen=True,
    tag_field='event',
    omit_defaults=True,
):
    """Base of records; times are on the entry's monotonic clock."""


class HeaderRecord(_Record, frozen=True, tag='header'):
    """First line of a trace."""

    version: int


class AdmittedRecord(_Record, frozen=True, tag='admitted'):
    """A generation was admitted."""

    at_ms: float
    generation: str
    max_tokens: int


class AttemptRecord(_Record, frozen=True, tag='attempt'):
    """An attempt was sent to an agent, or taken over from another entry."""

    at_ms: float
    generation: str
    attempt: int
    agent: str
    adopted: bool = False


class ConfirmedRecord(_Record, frozen=True, tag='confirmed'):
    """The agent dispatched the current attempt or queued it."""

    at_ms: float
    generation: str
    incarnation: int
    dispatched: bool = True


class FrameRecord(_Record, frozen=True, tag='frame'):
    """A frame arrived; `end_reason` is empty if it has no end mark."""

    at_ms: float
    generation: str
    agent: str
    incarnation: int
    attempt: int
    offset: int
    tokens: int
    end_reason: str = ''
    end_count: int = 0


class OutcomeRecord(_Record, frozen=True, tag='outcome'):
    """The current attempt ended."""

    at_ms: float
    generation: str
    outcome: str
    cause: str = ''


class RevokedRecord(_Record, frozen=True, tag='revoked'):
    """An agent reported that it has not and will not dispatch an attempt."""

    at_ms: float
    generation: str
    attempt: int
    agent: str


class RestoredRecord(_Record, frozen=True, tag='restored'):
    """The output was replaced by the tokens that the caller already has."""

    at_ms: float
    generation: str
    tokens: int


class EndRecord(_Record, frozen=True, tag='end'):
    """The generation ended; `reason` is empty unless it was refused."""

    at_ms: float
    generation: str
    state: str
    reason: str = ''


Record = (
    HeaderRecord
    | AdmittedRecord
    | AttemptRecord
    | ConfirmedRecord
    | FrameRecord
    | OutcomeRecord
    | RevokedRecord
    | RestoredRecord
    | EndRecord
)

_encode = msgspec.json.Encoder().encode
_decoder: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)


class DecisionTrace:
    """Writes the decision records of one entry.

    Parameters
    ----------
    write
        Takes one line with its line break; None to write no trace.
    """

    def __init__(
        self,
        clock: Clock,
        write: Callable[[bytes], None] | None = None,
    ) -> None:
        self._clock = clock
        self._write = write
        self._put(HeaderRecord(TRACE_VERSION))

    def record_admitted(self, live: LiveGeneration) -> None:
        """Record the admission of a generation."""
        spec = live.generation.spec
        self._put(
            AdmittedRecord(
                self._clock.now_ms(), spec.generation, spec.max_tokens
            )
        )

    def record_attempt(
        self, live: LiveGeneration, *, adopted: bool = False
    ) -> None:
        """Record the start of the current attempt."""
        place = live.generation.place
        self._put(
            AttemptRecord(
                self._clock.now_ms(),
                live.generation.spec.generation,
                place.number,
                place.agent,
                adopted,
            )
        )

    def record_confirmed(
        self,
        live: LiveGeneration,
        *,
        dispatched: bool = True,
    ) -> None:
        """Record that the agent dispatched or queued the current attempt."""
        generation = live.generation
        self._put(
            ConfirmedRecord(
                self._clock.now_ms(),
                generation.spec.generation,
                generation.place.incarnation,
                dispatched,
            )
        )

    def record_frame(self, frame: Frame, envelope: Envelope) -> None:
        """Record a frame of a generation that this entry holds."""
        end = frame.end
        self._put(
            FrameRecord(
                at_ms=self._clock.now_ms(),
                generation=frame.generation,
                agent=envelope.sender,
                incarnation=envelope.incarnation,
                attempt=frame.attempt,
                offset=frame.offset,
                tokens=len(frame.tokens),
                end_reason='' if end is None else str(end.reason),
                end_count=0 if end is None else end.count,
            )
        )

    def record_outcome(self, live: LiveGeneration, outcome: Outcome) -> None:
        """Record how the current attempt ended."""
        name, cause = _outcome_texts(outcome)
        generation_id = live.generation.spec.generation
        self._put(
            OutcomeRecord(self._clock.now_ms(), generation_id, name, cause)
        )

    def record_revoked(
        self, live: LiveGeneration, attempt: int, agent: str
    ) -> None:
        """Record that an agent will never dispatch an attempt."""
        generation_id = live.generation.spec.generation
        now_ms = self._clock.now_ms()
        self._put(RevokedRecord(now_ms, generation_id, attempt, agent))

    def record_restored(self, live: LiveGeneration) -> None:
        """Record that the caller's tokens replaced the output."""
        generation = live.generation
        self._put(
            RestoredRecord(
                self._clock.now_ms(),
                generation.spec.generation,
                generation.offset,
            )
        )

    def record_end(self, live: LiveGeneration) -> None:
        """Record the end of a generation."""
        generation = live.generation
        refusal = generation.refusal
        self._put(
            EndRecord(
                self._clock.now_ms(),
                generation.spec.generation,
                str(generation.state),
                '' if refusal is None else str(refusal.reason),
            )
        )

    def _put(self, record: Record) -> None:
        if self._write is not None:
            self._write(b'%b\n' % _encode(record))


def decode_trace(body: bytes) -> tuple[Record, ...]:
    """Return the records of a trace.

    Raises
    ------
    DecodeError
        If a line is not a record or the version is unknown.
    """
    records = []
    for number, line in enumerate(body.splitlines(), 1):
        try:
            records.append(_decoder.decode(line))
        except msgspec.DecodeError as error:
            raise DecodeError(
                f'line {number}: {error}', step=Step.DECODE
            ) from error
    header = records[0] if records else None
    if header != HeaderRecord(TRACE_VERSION):
        raise DecodeError(
            f'first line is {header}, '
            f'expected a header of version {TRACE_VERSION}',
            step=Step.DECODE,
        )
    return tuple(records)


def _outcome_texts(outcome: Outcome) -> tuple[str, str]:
    match outcome:
        case Finished():
            return 'finished', ''
        case Lost(cause=cause):
            return 'lost', cause
        case Rejected(reason=reason):
            return 'rejected', reason
