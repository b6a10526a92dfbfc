"""A generation in flight at an entry: readers, attempts, signs of life."""

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

ACK_TOKENS = 256
ACK_INTERVAL_MS = 2000


@dataclass(frozen=True)
class Finished:
    """The attempt completed the generation."""


@dataclass(frozen=True)
class Lost:
    """The attempt gives no more output; `cause` says how that was noticed."""

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
    died = reason is EndReason.ENGINE_LOST
    return Lost(f'agent reported {reason}', upstream_died=died)


class LiveGeneration:
    """Everything that an entry keeps for a generation while callers read it.

    Parameters
    ----------
    generation
        Accepted output and life cycle.
    placement_request
        What the choice of the first upstream depended on.
    policy
        The service's policy for a loss.
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
        self.progress = SilenceDetector(TOKEN_LIMITS, now_ms)
        self.readers = 0
        self.config_version = 0
        self.abandoned_ms = now_ms
        self.consumed = generation.offset
        self.confirmed = False
        self.admitted = False
        self.produced = False
        self.was_admitted = False
        self.is_adopted = False
        self.unconfirmed: set[AttemptPlace] = set()
        self.rejection: Rejected | None = None
        self.dispatched_ms = now_ms
        self.fetched_ms = float(0)
        self._acked = generation.offset
        self._acked_ms = now_ms
        self.interrupted_ms = float(0)
        self.attempts = 0
        self.excluded: frozenset[str] = frozenset()
        self.standby = ''
        self.warmed_at = 0
        self.warm_attempts = 0
        self.resumed_at = generation.offset
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
        return self.was_admitted or bool(self.unconfirmed)

    @property
    def awaits_output(self) -> bool:
        """Return whether the agent of an adopted attempt was not heard yet."""
        return self.is_adopted and not self.confirmed

    @property
    def backlog(self) -> int:
        """Return how many accepted tokens the caller has not taken.

        An agent stops to read its engine while the backlog fills its window,
        so an engine is not judged by its silence then.
        """
        return self.generation.offset - self.consumed

    def is_ack_due(self, now_ms: float) -> bool:
        """Return whether the agent should be told how far the caller is."""
        if self.consumed - self._acked >= ACK_TOKENS:
            return True
        return now_ms - self._acked_ms >= ACK_INTERVAL_MS

    def note_ack(self, now_ms: float) -> None:
        """Note that an acknowledgement is sent now."""
        self._acked = self.consumed
        self._acked_ms = now_ms

    def admit(self) -> None:
        """Note that the current attempt was sent to an engine."""
        self.confirmed = True
        self.admitted = True
        self.was_admitted = True

    def expect_outcome(self, now_ms: float) -> asyncio.Future[Outcome]:
        """Return the future of the attempt that starts now."""
        self._outcome = asyncio.get_running_loop().create_future()
        self.confirmed = False
        self.admitted = False
        self.produced = False
        self.is_adopted = False
        self.attempts += 1
        self.resumed_at = self.generation.offset
        self.dispatched_ms = now_ms
        self.fetched_ms = now_ms
        self.progress.restart(now_ms)
        return self._outcome

    def settle(self, outcome: Outcome) -> None:
        """Set the outcome of the current attempt, once."""
        if self._outcome is not None and not self._outcome.done():
            self._outcome.set_result(outcome)

    def notify(self) -> None:
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
