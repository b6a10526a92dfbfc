"""A live generation at an entry: readers, attempts and progress."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from bergamotthread.connection.detector import (
    TOKEN_LIMITS,
    SilenceDetector,
)
from bergamotthread.process.routing.placement import PlacementRequest
from bergamotthread.request.generation import AttemptPlace, Generation
from bergamotthread.version.objects import ResumePolicy
from bergamotthread.wire.messages import EndReason

ACK_INTERVAL_TOKENS = 256
ACK_INTERVAL_MS = 2000


@dataclass(frozen=True)
class Finished:
    """The attempt completed the generation."""


@dataclass(frozen=True)
class Lost:
    """The attempt gives no more output; `cause` is how that was detected."""

    cause: str
    upstream_died: bool = False
    is_silence: bool = False


@dataclass(frozen=True)
class Rejected:
    """The agent did not dispatch the attempt and never will."""

    reason: str
    retry_after_ms: int


Outcome = Finished | Lost | Rejected


def outcome_of(reason: EndReason) -> Lost | Rejected:
    """Return the outcome of an attempt that its agent ended early."""
    if reason is EndReason.ENGINE_REFUSED:
        return Rejected('engine refused', 0)
    upstream_died = reason is EndReason.ENGINE_LOST
    return Lost(f'agent reported {reason}', upstream_died=upstream_died)


class LiveGeneration:
    """State that an entry keeps for a generation while callers read it.

    Parameters
    ----------
    generation
        Accepted output and state machine.
    placement_request
        Inputs to the choice of the first upstream.
    policy
        The service's policy for resuming after a loss.
    """

    def __init__(
        self,
        generation: Generation,
        placement_request: PlacementRequest,
        policy: ResumePolicy,
        now_ms: float,
    ) -> None:
        self.generation = generation
        self.placement_request = placement_request
        self.policy = policy
        self.silence_detector = SilenceDetector(TOKEN_LIMITS, now_ms)
        self.readers = 0
        self.config_version = 0
        self.abandoned_ms = now_ms
        self.consumed_tokens = generation.offset
        self.is_confirmed = False
        self.is_admitted = False
        self.has_output = False
        self.was_ever_admitted = False
        self.is_adopted = False
        self.unconfirmed: set[AttemptPlace] = set()
        self.rejection: Rejected | None = None
        self.dispatched_ms = now_ms
        self.fetched_ms = float(0)
        self._acked_tokens = generation.offset
        self._acked_ms = now_ms
        self.interrupted_ms = float(0)
        self.attempts = 0
        self.excluded: frozenset[str] = frozenset()
        self.standby = ''
        self.warmed_offset = 0
        self.warm_attempts = 0
        self.resumed_offset = generation.offset
        self.must_spend_retry = False
        self.started_ms = now_ms
        self.required_offset = 0
        self.fallback_tokens: tuple[str, ...] = ()
        self.task: asyncio.Task[None] | None = None
        self._outcome: asyncio.Future[Outcome] | None = None
        self._waiters: list[asyncio.Future[None]] = []

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt may have reached an engine."""
        return self.was_ever_admitted or bool(self.unconfirmed)

    @property
    def awaits_output(self) -> bool:
        """Return whether an adopted attempt is not confirmed by its agent."""
        return self.is_adopted and not self.is_confirmed

    @property
    def backlog_tokens(self) -> int:
        """Return the number of accepted tokens that the caller has not read.

        An agent stops reading from its engine while the backlog fills its
        window, so an engine must not be suspected for its silence then.
        """
        return self.generation.offset - self.consumed_tokens

    def is_ack_due(self, now_ms: float) -> bool:
        """Return whether an acknowledgement should be sent to the agent."""
        if self.consumed_tokens - self._acked_tokens >= ACK_INTERVAL_TOKENS:
            return True
        return now_ms - self._acked_ms >= ACK_INTERVAL_MS

    def record_ack(self, now_ms: float) -> None:
        """Record that an acknowledgement is sent now."""
        self._acked_tokens = self.consumed_tokens
        self._acked_ms = now_ms

    def admit(self) -> None:
        """Record that the current attempt was sent to an engine."""
        self.is_confirmed = True
        self.is_admitted = True
        self.was_ever_admitted = True

    def expect_outcome(self, now_ms: float) -> asyncio.Future[Outcome]:
        """Return the future with the outcome of the attempt starting now."""
        self._outcome = asyncio.get_running_loop().create_future()
        self.is_confirmed = False
        self.is_admitted = False
        self.has_output = False
        self.is_adopted = False
        self.attempts += 1
        self.resumed_offset = self.generation.offset
        self.dispatched_ms = now_ms
        self.fetched_ms = now_ms
        self.silence_detector.restart(now_ms)
        return self._outcome

    def set_outcome(self, outcome: Outcome) -> None:
        """Set the outcome of the current attempt; only the first counts."""
        if self._outcome is not None and not self._outcome.done():
            self._outcome.set_result(outcome)

    def notify_readers(self) -> None:
        """Wake all readers."""
        waiters = self._waiters
        self._waiters = []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_change(self) -> None:
        """Wait for more output or the end."""
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters.append(waiter)
        await waiter
