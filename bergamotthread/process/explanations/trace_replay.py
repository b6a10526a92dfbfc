"""Replays a trace through the life cycle of generations.

Frames, outcomes and confirmations of agents are taken from the trace. Which
frames are accepted, when an answer is complete and what a refusal states are
decided again.
"""

from __future__ import annotations

import msgspec

from bergamotthread.errors import DecodeError, Step
from bergamotthread.process.explanations.decision_trace import (
    AdmittedRecord,
    AttemptRecord,
    ConfirmedRecord,
    EndRecord,
    FrameRecord,
    HeaderRecord,
    OutcomeRecord,
    Record,
    RestoredRecord,
    RevokedRecord,
)
from bergamotthread.process.routing.placement import PlacementRequest
from bergamotthread.request.generation import (
    AttemptPlace,
    Generation,
    GenerationSpec,
    GenerationState,
)
from bergamotthread.request.generation_refusal import generation_refusal
from bergamotthread.request.live_generation import LiveGeneration
from bergamotthread.request.refusal import ReasonCode
from bergamotthread.version.objects import ResumePolicy
from bergamotthread.wire.messages import EndMark, EndReason, Frame, Pin

_NO_PIN = Pin('', '')
_TOKEN = '.'


class ReplayOutcome(msgspec.Struct, frozen=True, omit_defaults=True):
    """End of a generation; `ran` is empty unless it was refused."""

    generation: str
    state: str
    tokens: int
    attempts: int
    ran: str = ''


class Replay:
    """Decides again on the generations of a trace."""

    def __init__(self) -> None:
        self._live_by_id: dict[str, LiveGeneration] = {}

    def apply(self, record: Record) -> None:
        """Apply the next record."""
        match record:
            case HeaderRecord():
                return
            case AdmittedRecord():
                self._admit(record)
            case _:
                self._apply_to(self._live(record.generation), record)

    def outcomes(self) -> tuple[ReplayOutcome, ...]:
        """Return the end of each generation, in order of admission."""
        return tuple(map(_outcome_of, self._live_by_id.values()))

    def _live(self, generation_id: str) -> LiveGeneration:
        live = self._live_by_id.get(generation_id)
        if live is None:
            raise DecodeError(
                f'generation {generation_id} was not admitted in this trace',
                step=Step.DECODE,
            )
        return live

    def _admit(self, record: AdmittedRecord) -> None:
        spec = GenerationSpec(
            generation=record.generation,
            team='',
            pin=_NO_PIN,
            prompt='',
            max_tokens=record.max_tokens,
            deadline_ms=record.at_ms,
        )
        request = PlacementRequest(record.generation, '', _NO_PIN, 0)
        self._live_by_id[record.generation] = LiveGeneration(
            Generation(spec),
            request,
            ResumePolicy(),
            record.at_ms,
        )

    def _apply_to(self, live: LiveGeneration, record: Record) -> None:
        match record:
            case AttemptRecord():
                _start_attempt(live, record)
            case ConfirmedRecord(incarnation=incarnation):
                live.generation.bind_incarnation(incarnation)
                if record.dispatched:
                    live.admit()
            case FrameRecord():
                _accept_frame(live, record)
            case OutcomeRecord():
                _handle_outcome(live, record)
            case RevokedRecord(attempt=attempt, agent=agent):
                live.unconfirmed.discard(AttemptPlace(attempt, agent))
            case RestoredRecord(tokens=tokens):
                live.generation.restore((_TOKEN,) * tokens)
            case EndRecord():
                _end(live, record)


def _start_attempt(live: LiveGeneration, record: AttemptRecord) -> None:
    live.attempts += 1
    live.is_confirmed = False
    live.is_admitted = False
    if record.adopted:
        live.was_ever_admitted = True
        live.generation.adopt_attempt(record.agent, record.attempt)
        return
    place = live.generation.begin_attempt(record.agent)
    if place.number != record.attempt:
        raise DecodeError(
            f'attempt {record.attempt} of generation {record.generation}, '
            f'expected attempt {place.number}',
            step=Step.DECODE,
        )


def _accept_frame(live: LiveGeneration, record: FrameRecord) -> None:
    end = None
    if record.end_reason:
        end = EndMark(EndReason(record.end_reason), record.end_count)
    frame = Frame(
        generation=record.generation,
        attempt=record.attempt,
        offset=record.offset,
        tokens=(_TOKEN,) * record.tokens,
        end=end,
    )
    verdict = live.generation.accept(frame, record.agent, record.incarnation)
    if verdict == 'accepted':
        live.admit()


def _handle_outcome(live: LiveGeneration, record: OutcomeRecord) -> None:
    generation = live.generation
    if record.outcome == 'finished':
        return
    if record.outcome == 'rejected':
        live.attempts -= 1
    elif not live.is_admitted:
        place = generation.place
        live.unconfirmed.add(AttemptPlace(place.number, place.agent))
    generation.interrupt()


def _end(live: LiveGeneration, record: EndRecord) -> None:
    generation = live.generation
    if generation.is_over:
        return
    match record.state:
        case GenerationState.REFUSED:
            reason = ReasonCode(record.reason)
            generation.abort(generation_refusal(live, reason, ''))
        case GenerationState.CANCELLED:
            generation.cancel()


def _outcome_of(live: LiveGeneration) -> ReplayOutcome:
    generation = live.generation
    refusal = generation.refusal
    return ReplayOutcome(
        generation=generation.spec.generation,
        state=str(generation.state),
        tokens=generation.offset,
        attempts=live.attempts,
        ran='' if refusal is None else str(refusal.ran),
    )
