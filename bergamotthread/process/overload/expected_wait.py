"""Expected wait of a prompt at an engine, from the work ahead of it.

An engine prefills prompts in order of arrival. A prompt also waits for a slot
and for memory, which running attempts release as they end. The engine starts it
once there is memory for the prompt; the entry sends it once there is memory for
what it and the other runs add, too.
"""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.process.overload.engine_room import Holding, RoomProfile

_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class EngineWork:
    """Work of one engine ahead of a prompt.

    Parameters
    ----------
    prefill_tokens
        Tokens that are prefilled before the prompt.
    prefill_per_s
        Prefill rate of the engine, in tokens per second.
    missing_slots
        Attempts that must end before a slot is free for the prompt.
    slot_ms
        Mean time between two ends while all slots are in use.
    missing_tokens
        Tokens that must be released before the KV cache has room for the
        prompt and all those ahead of it.
    holdings
        What the attempts at the engine hold.
    growth_tokens, run_ms
        Output of the prompt in tokens, and the time that it takes.
    spread_tokens
        Tokens by which all runs together may outgrow what is expected.
    """

    prefill_tokens: float
    prefill_per_s: float
    missing_slots: int = 0
    slot_ms: float = 0
    missing_tokens: float = 0
    holdings: tuple[Holding, ...] = ()
    growth_tokens: float = 0
    run_ms: float = 0
    spread_tokens: float = 0

    @property
    def prefill_ms(self) -> float:
        """Return the time that the prefill ahead of the prompt takes."""
        return self.prefill_tokens / self.prefill_per_s * _MS_PER_S

    @property
    def memory_ms(self) -> float:
        """Return the time until the KV cache has room for the prompt."""
        missing = self.missing_tokens
        released_ms: float = 0
        for holding in sorted(self.holdings, key=_remaining_ms):
            if missing <= 0:
                break
            missing -= holding.tokens
            released_ms = holding.remaining_ms
        return released_ms

    @property
    def wait_ms(self) -> float:
        """Return the time until the prefill of the prompt may start."""
        return self.engine_wait_ms + self.overfill_ms

    @property
    def engine_wait_ms(self) -> float:
        """Return the time until the engine would start the prefill."""
        slot_wait_ms = max(self.missing_slots, 0) * self.slot_ms
        return max(self.prefill_ms, slot_wait_ms, self.memory_ms)

    @property
    def overfill_ms(self) -> float:
        """Return how much too early the engine would start the prompt.

        Its runs would grow beyond its memory then, and one of them would be
        preempted.
        """
        growth_tokens = self.growth_tokens + sum(
            holding.growth_tokens for holding in self.holdings
        )
        missing_tokens = self.missing_tokens + self.spread_tokens
        if missing_tokens + growth_tokens <= 0 or not self.growth_tokens:
            return 0
        profile = RoomProfile.from_holdings(missing_tokens, self.holdings)
        start_ms = self.engine_wait_ms
        room_ms = profile.start_ms(start_ms, self.growth_tokens, self.run_ms)
        return room_ms - start_ms

    @property
    def is_prefill_bound(self) -> bool:
        """Return whether the prompt waits for prefill rather than for room."""
        return self.wait_ms <= self.prefill_ms


def _remaining_ms(holding: Holding) -> float:
    return holding.remaining_ms
