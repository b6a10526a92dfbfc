"""Expected wait of a prompt at an engine, from the work ahead of it.

An engine prefills prompts in order of arrival. A prompt also waits for a slot
and for memory, which running attempts release as they end.
"""

from __future__ import annotations

from dataclasses import dataclass

_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Holding:
    """KV cache tokens that an attempt holds, and the time until its end."""

    tokens: float
    remaining_ms: float


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
    """

    prefill_tokens: float
    prefill_per_s: float
    missing_slots: int = 0
    slot_ms: float = 0
    missing_tokens: float = 0
    holdings: tuple[Holding, ...] = ()

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
        """Return the time until the prefill of the prompt starts."""
        slot_wait_ms = max(self.missing_slots, 0) * self.slot_ms
        return max(self.prefill_ms, slot_wait_ms, self.memory_ms)

    @property
    def is_prefill_bound(self) -> bool:
        """Return whether the prompt waits for prefill rather than for room."""
        return self.wait_ms <= self.prefill_ms


def _remaining_ms(holding: Holding) -> float:
    return holding.remaining_ms
