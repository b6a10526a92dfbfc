"""Schedule of probes: next target, indirect probes and timeouts."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

INDIRECT_PROBE_AFTER_MS = 500
INDIRECT_INTERVAL_MS = 1000
MEMBER_PROBE_TIMEOUT_MS = 2500
RELAY_TIMEOUT_MS = 1000


@dataclass
class _Pending:
    target: str
    sent_ms: float
    indirect_ms: float


@dataclass(frozen=True)
class _Relayed:
    requester: str
    sequence: int
    target: str
    sent_ms: float


class Prober:
    """Probes in flight, and the order in which members are probed.

    Parameters
    ----------
    rng
        Source of randomness for the order.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._order: list[str] = []
        self._sequence = 0
        self._pending_by_sequence: dict[int, _Pending] = {}
        self._relayed_by_sequence: dict[int, _Relayed] = {}

    def next_target(self, addresses: Sequence[str]) -> str | None:
        """Return the next member in random order, each once per round."""
        candidates = frozenset(addresses)
        while self._order:
            target = self._order.pop()
            if target in candidates:
                return target
        if not addresses:
            return None
        self._order = list(addresses)
        self._rng.shuffle(self._order)
        return self._order.pop()

    def start(self, target: str, now_ms: float) -> int:
        """Return the sequence number of a new probe of `target`."""
        self._sequence += 1
        self._pending_by_sequence[self._sequence] = _Pending(
            target, now_ms, now_ms + INDIRECT_PROBE_AFTER_MS
        )
        return self._sequence

    def start_relay(
        self,
        requester: str,
        sequence: int,
        target: str,
        now_ms: float,
    ) -> int:
        """Return the sequence number of a probe that `requester` asked for."""
        self._sequence += 1
        relayed = _Relayed(requester, sequence, target, now_ms)
        self._relayed_by_sequence[self._sequence] = relayed
        return self._sequence

    def untracked_sequence(self) -> int:
        """Return the sequence number of a probe without a timeout."""
        self._sequence += 1
        return self._sequence

    def end_probe(self, sequence: int) -> str | None:
        """End a probe that was answered, and return its target."""
        pending = self._pending_by_sequence.pop(sequence, None)
        return pending.target if pending else None

    def end_relay(self, sequence: int) -> tuple[str, int] | None:
        """End a probe made on request.

        Returns
        -------
        tuple of str and int, or None
            The requester and its sequence number of the probe.
        """
        relayed = self._relayed_by_sequence.pop(sequence, None)
        return (relayed.requester, relayed.sequence) if relayed else None

    def take_indirect_due(self, now_ms: float) -> tuple[tuple[int, str], ...]:
        """Return number and target of the probes to repeat through others.

        The number is the sequence number that `start` returned.
        """
        due = []
        for sequence, pending in self._pending_by_sequence.items():
            if now_ms >= pending.indirect_ms:
                pending.indirect_ms += INDIRECT_INTERVAL_MS
                due.append((sequence, pending.target))
        return tuple(due)

    def take_timed_out(self, now_ms: float) -> tuple[str, ...]:
        """Return the targets of probes that timed out."""
        failed = []
        for sequence, pending in tuple(self._pending_by_sequence.items()):
            if now_ms - pending.sent_ms >= MEMBER_PROBE_TIMEOUT_MS:
                self._pending_by_sequence.pop(sequence)
                failed.append(pending.target)
        for relay_sequence, relayed in tuple(self._relayed_by_sequence.items()):
            if now_ms - relayed.sent_ms >= RELAY_TIMEOUT_MS:
                self._relayed_by_sequence.pop(relay_sequence)
        return tuple(failed)

    def clear(self) -> None:
        """Discard all probes in flight."""
        self._pending_by_sequence.clear()
        self._relayed_by_sequence.clear()
