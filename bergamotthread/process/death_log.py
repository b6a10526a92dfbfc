"""Recent deaths of upstreams and which of them fell together."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock

CORRELATION_MS = 5000
DEATH_RETENTION_MS = 3_600_000
DEATHS_MAX = 4096


@dataclass(frozen=True)
class Death:
    """Death of one upstream with the fingerprints that ran on it."""

    failure_domain: str
    at_ms: float
    content_hashes: frozenset[int]


@dataclass
class DeathLog:
    """Tells independent deaths from the loss of a whole failure domain."""

    clock: Clock
    _death_by_id: dict[int, Death] = field(default_factory=dict)
    _next_id: int = 1

    def record(
        self, failure_domain: str, content_hashes: frozenset[int]
    ) -> int:
        """Record a death now; return its number."""
        death_id = self._next_id
        self._next_id += 1
        now_ms = self.clock.now_ms()
        self._death_by_id[death_id] = Death(
            failure_domain, now_ms, content_hashes
        )
        self._forget_old()
        return death_id

    def counted(self, content_hash: int, death_ids: Iterable[int]) -> int:
        """Return how many deaths count against a fingerprint.

        A death does not count where another upstream of its failure domain
        died within `CORRELATION_MS` without the fingerprint on it.
        """
        deaths = [self._death_by_id.get(one) for one in death_ids]
        return sum(
            death is not None and not self._is_correlated(content_hash, death)
            for death in deaths
        )

    def contents_near(self, death_id: int) -> frozenset[int]:
        """Return all fingerprints whose count a death may change."""
        death = self._death_by_id[death_id]
        content_hashes: frozenset[int] = death.content_hashes
        for other in self._death_by_id.values():
            if _are_near(death, other):
                content_hashes |= other.content_hashes
        return content_hashes

    def unsettled_ms(self, death_ids: Iterable[int]) -> float:
        """Return how long a death may still turn out to be correlated."""
        deaths = [self._death_by_id.get(one) for one in death_ids]
        last_ms = max((one.at_ms for one in deaths if one), default=0)
        return max(0, last_ms + CORRELATION_MS - self.clock.now_ms())

    def _is_correlated(self, content_hash: int, death: Death) -> bool:
        return any(
            _are_near(death, other) and content_hash not in other.content_hashes
            for other in self._death_by_id.values()
        )

    def _forget_old(self) -> None:
        """Drop deaths past their retention; ids and times rise together."""
        since_ms = self.clock.now_ms() - DEATH_RETENTION_MS
        surplus = len(self._death_by_id) - DEATHS_MAX
        old = [
            death_id
            for index, (death_id, death) in enumerate(self._death_by_id.items())
            if index < surplus or death.at_ms < since_ms
        ]
        for death_id in old:
            self._death_by_id.pop(death_id)


def _are_near(one: Death, other: Death) -> bool:
    if one.failure_domain != other.failure_domain:
        return False
    return abs(one.at_ms - other.at_ms) <= CORRELATION_MS
