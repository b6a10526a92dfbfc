"""One generation: the accepted output of all its attempts.

The output is extended only by frames of the current attempt, from the agent
that runs it, that begin at or before the next offset; tokens before that offset
are skipped. All other frames are dropped, so that no token is missing or
repeated and generations are never mixed.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace

from transitions import Machine

from bergamotthread.errors import BergamotError, Step
from bergamotthread.request.refusal import Refusal
from bergamotthread.wire.messages import EndMark, EndReason, Frame, Pin

_COMPLETE_REASONS = frozenset((EndReason.STOP, EndReason.LENGTH))


class GenerationState(enum.StrEnum):
    """State of a generation."""

    PENDING = 'pending'
    RUNNING = 'running'
    INTERRUPTED = 'interrupted'
    COMPLETE = 'complete'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'


class FrameVerdict(enum.StrEnum):
    """Result of handling a frame."""

    ACCEPTED = 'accepted'
    DUPLICATE = 'duplicate'
    STALE = 'stale'
    GAP = 'gap'
    CORRUPT = 'corrupt'


_TRANSITIONS = (
    {
        'trigger': 'dispatched',
        'source': (GenerationState.PENDING, GenerationState.INTERRUPTED),
        'dest': GenerationState.RUNNING,
    },
    {
        'trigger': 'interrupted',
        'source': GenerationState.RUNNING,
        'dest': GenerationState.INTERRUPTED,
    },
    {
        'trigger': 'completed',
        'source': GenerationState.RUNNING,
        'dest': GenerationState.COMPLETE,
    },
    {
        'trigger': 'refused',
        'source': (GenerationState.PENDING, GenerationState.INTERRUPTED),
        'dest': GenerationState.REFUSED,
    },
    {
        'trigger': 'cancelled',
        'source': (
            GenerationState.PENDING,
            GenerationState.RUNNING,
            GenerationState.INTERRUPTED,
        ),
        'dest': GenerationState.CANCELLED,
    },
)

_machine = Machine(
    model=None,
    states=GenerationState,
    transitions=list(_TRANSITIONS),
    initial=GenerationState.PENDING,
    auto_transitions=False,
    model_attribute='state',
)


@dataclass(frozen=True)
class GenerationSpec:
    """Request of a caller; the same for all attempts.

    `deadline_ms` is on the clock of the process that holds the generation.
    """

    generation: str
    team: str
    pin: Pin
    prompt: str
    max_tokens: int
    deadline_ms: float
    priority: int = 0
    fingerprint: int = 0


@dataclass(frozen=True)
class AttemptPlace:
    """Location of the current attempt: agent and its process incarnation.

    `incarnation` is zero until a message about the attempt has arrived.
    """

    number: int
    agent: str
    incarnation: int = 0


class Generation:
    """Accepted tokens and state machine of one generation."""

    state: GenerationState

    def __init__(
        self,
        spec: GenerationSpec,
        *,
        tokens: tuple[str, ...] = (),
        attempt: int = 0,
    ) -> None:
        self.spec = spec
        self.tokens = list(tokens)
        self.end: EndMark | None = None
        self.refusal: Refusal | None = None
        self.place = AttemptPlace(attempt, '')
        # A registered model gets a function for each event, which refer back to
        # it, so it would stay in memory until a full garbage collection.
        _machine.set_state(GenerationState.PENDING, self)

    @property
    def offset(self) -> int:
        """Return the offset of the next token."""
        return len(self.tokens)

    @property
    def is_over(self) -> bool:
        """Return whether the generation accepts no more output."""
        return self.state in _FINAL_STATES

    @property
    def is_cancelled(self) -> bool:
        """Return whether the generation ended because no caller read it."""
        return self.state is GenerationState.CANCELLED

    def begin_attempt(self, agent: str) -> AttemptPlace:
        """Start the next attempt at `agent`; all earlier ones become stale."""
        self._trigger('dispatched')
        self.place = AttemptPlace(self.place.number + 1, agent)
        return self.place

    def adopt_attempt(self, agent: str, number: int) -> AttemptPlace:
        """Take over a running attempt that another entry started."""
        self._trigger('dispatched')
        self.place = AttemptPlace(number, agent)
        return self.place

    def interrupt(self) -> None:
        """End the current attempt; its later frames are stale."""
        self._trigger('interrupted')
        self.place = AttemptPlace(self.place.number, '')

    def restore(self, tokens: tuple[str, ...]) -> None:
        """Replace the output with the caller's tokens, between attempts.

        Raises
        ------
        BergamotError
            If the generation is not interrupted.
        """
        if self.state != GenerationState.INTERRUPTED:
            raise BergamotError(
                f'restore in state {self.state}, expected interrupted',
                step=Step.RESUME,
            )
        self.tokens = list(tokens)

    def refuse(self, refusal: Refusal) -> None:
        """End with a refusal."""
        self._trigger('refused')
        self.refusal = refusal

    def abort(self, refusal: Refusal) -> None:
        """End with a refusal from any state that is not final."""
        if self.state is GenerationState.RUNNING:
            self.interrupt()
        if not self.is_over:
            self.refuse(refusal)

    def cancel(self) -> None:
        """End because no caller reads the output any more."""
        self._trigger('cancelled')

    def is_current(self, agent: str, incarnation: int, attempt: int) -> bool:
        """Return whether a message belongs to the current attempt."""
        place = self.place
        if (place.agent, place.number) != (agent, attempt):
            return False
        return place.incarnation in {0, incarnation}

    def accept(
        self, frame: Frame, agent: str, incarnation: int
    ) -> FrameVerdict:
        """Append the new tokens of a frame to the output, or drop the frame."""
        if self.is_over:
            return FrameVerdict.STALE
        if not self.is_current(agent, incarnation, frame.attempt):
            return FrameVerdict.STALE
        self.bind_incarnation(incarnation)
        return self._append(frame)

    def bind_incarnation(self, incarnation: int) -> None:
        """Accept the attempt's output from only one process of the agent."""
        place = self.place
        if not place.incarnation:
            self.place = replace(place, incarnation=incarnation)

    def _append(self, frame: Frame) -> FrameVerdict:
        known_count = self.offset - frame.offset
        if known_count < 0:
            return FrameVerdict.GAP
        new_tokens = frame.tokens[known_count:] if known_count else frame.tokens
        self.tokens.extend(new_tokens)
        end = frame.end
        if end is None and self.offset == self.spec.max_tokens:
            end = EndMark(EndReason.LENGTH, self.offset)
        if end is not None:
            return self._finish(end)
        return FrameVerdict.ACCEPTED if new_tokens else FrameVerdict.DUPLICATE

    def _finish(self, end: EndMark) -> FrameVerdict:
        if end.reason not in _COMPLETE_REASONS:
            return FrameVerdict.ACCEPTED
        if end.count > self.offset:
            return FrameVerdict.GAP
        if end.count < self.offset:
            return FrameVerdict.CORRUPT
        self.end = end
        self._trigger('completed')
        return FrameVerdict.ACCEPTED

    def _trigger(self, event: str) -> None:
        source = self.state
        try:
            _machine.events[event].trigger(self)
        except Exception as error:
            raise BergamotError(
                f'{event} in state {source} of {self.spec.generation}',
                step=Step.GENERATE,
                peer=self.place.agent,
            ) from error


_FINAL_STATES = frozenset(
    (
        GenerationState.COMPLETE,
        GenerationState.REFUSED,
        GenerationState.CANCELLED,
    ),
)
