"""Detects lost attempts and abandoned generations."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.connection.peer_histories import PeerHistories
from bergamotthread.request.live_generation import LiveGeneration, Lost

UNDELIVERED_RETENTION_MS = 60_000
DELIVERED_RETENTION_MS = 5000
# With a larger backlog the agent may have paused the engine for a slow caller,
# so the engine's silence does not count as a stall.
BACKLOG_MAX_TOKENS = 32


@dataclass(frozen=True)
class GenerationLimits:
    """Time limits of an entry for its generations.

    Parameters
    ----------
    admit_timeout_ms
        Limit for an agent's first reply to a dispatch.
    first_token_timeout_ms
        Limit for the first output after the dispatch is admitted.
    resumed_token_timeout_ms
        The same limit for an attempt that resumes after a loss.
    resume_timeout_ms
        Time after a loss for which a generation waits for any upstream.
    adopt_timeout_ms
        Limit for an agent to send the output of a generation that another
        entry started. It is longer than an agent takes to reconnect to an
        entry that restarted, and within the 3 s allowed for a resumption.
    reconnect_grace_ms
        Time for which a generation is kept for a caller that disconnected.
    """

    admit_timeout_ms: float = 600
    first_token_timeout_ms: float = 10_000
    resumed_token_timeout_ms: float = 5000
    resume_timeout_ms: float = 15_000
    adopt_timeout_ms: float = 2000
    reconnect_grace_ms: float = 10_000


class GenerationWatch:
    """Checks running generations against their time limits."""

    def __init__(
        self,
        peers: PeerHistories,
        limits: GenerationLimits,
    ) -> None:
        self._peers = peers
        self._limits = limits

    def find_loss(self, live: LiveGeneration, now_ms: float) -> Lost | None:
        """Return how the current attempt was lost, None if it was not."""
        place = live.generation.place
        if not place.agent:
            return None
        if now_ms >= live.generation.spec.deadline_ms:
            return Lost('deadline passed')
        if live.awaits_output:
            return self._adoption_loss(live, now_ms)
        if self._peers.is_suspected(place.agent):
            return Lost('agent silent', is_silence=True)
        if not live.is_confirmed:
            return self._unconfirmed_loss(live, now_ms)
        if live.backlog_tokens > BACKLOG_MAX_TOKENS:
            live.silence_detector.restart(now_ms)
        elif live.is_admitted and live.silence_detector.is_suspected(now_ms):
            return self._stalled_loss(live, now_ms)
        return None

    def is_abandoned(self, live: LiveGeneration, now_ms: float) -> bool:
        """Return whether no caller reads and the reconnect grace is over."""
        if live.readers:
            return False
        idle_ms = now_ms - live.abandoned_ms
        return idle_ms > self._limits.reconnect_grace_ms

    def is_releasable(self, live: LiveGeneration, now_ms: float) -> bool:
        """Return whether a generation is over and past its retention."""
        if live.readers or not live.generation.is_over:
            return False
        is_delivered = live.backlog_tokens == 0
        retention_ms = (
            DELIVERED_RETENTION_MS if is_delivered else UNDELIVERED_RETENTION_MS
        )
        return now_ms - live.abandoned_ms > retention_ms

    def _adoption_loss(
        self,
        live: LiveGeneration,
        now_ms: float,
    ) -> Lost | None:
        waited_ms = now_ms - live.dispatched_ms
        if waited_ms > self._limits.adopt_timeout_ms:
            return Lost(
                f'no output from its agent for {waited_ms:.0f} ms',
                is_silence=True,
            )
        return None

    def _unconfirmed_loss(
        self,
        live: LiveGeneration,
        now_ms: float,
    ) -> Lost | None:
        waited_ms = now_ms - live.dispatched_ms
        if waited_ms > self._limits.admit_timeout_ms:
            return Lost('dispatch not confirmed')
        return None

    def _stalled_loss(
        self,
        live: LiveGeneration,
        now_ms: float,
    ) -> Lost | None:
        silent_ms = now_ms - live.silence_detector.heard_ms
        if live.has_output or silent_ms > self._first_token_timeout_ms(live):
            return Lost('engine stalled')
        return None

    def _first_token_timeout_ms(self, live: LiveGeneration) -> float:
        if live.generation.offset:
            return self._limits.resumed_token_timeout_ms
        return self._limits.first_token_timeout_ms
