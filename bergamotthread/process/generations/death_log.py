"""Recent deaths of upstreams and which of them fell together."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock

CORRELATION_MS = 5000
DEATH_RETENTION_MS = 3_600_000
DEATHS_MAX = 4096
CORRELATED_MAX = 3


@dataclass(frozen=True)
class Death:
    """Death of one upstream with the fingerprints that ran on it."""

    failure_domain: str
    at_ms: float
    content_hashes: frozenset[int]


@dataclass
class DeathLog:
    """Tells independent deaths from the loss of a whole failure domain.

    Parameters
    ----------
    domain_size
        Number of upstreams of a failure domain that this process hears of.
    """

    clock: Clock
    domain_size: Callable[[str], int]
    _death_by_id: dict[int, Death] = field(default_factory=dict)
    _deaths_by_domain: dict[str, list[Death]] = field(default_factory=dict)
    _next_id: int = 1

    def record(
        self, failure_domain: str, content_hashes: frozenset[int]
    ) -> int:
        """Record a death now; return its number."""
        death_id = self._next_id
        self._next_id += 1
        now_ms = self.clock.now_ms()
        death = Death(failure_domain, now_ms, content_hashes)
        self._death_by_id[death_id] = death
        self._deaths_by_domain.setdefault(failure_domain, []).append(death)
        self._forget_old()
        return death_id

    def counted(self, content_hash: int, death_ids: Iterable[int]) -> int:
        """Return how many deaths count against a fingerprint.

        A death does not count where half of the other upstreams of its failure
        domain, or `CORRELATED_MAX` of them, died within `CORRELATION_MS`
        without the fingerprint on them. One such death is not enough in a
        larger domain: another request may have caused it.
        """
        deaths = [self._death_by_id.get(one) for one in death_ids]
        return sum(
            death is not None and not self._is_correlated(content_hash, death)
            for death in deaths
        )

    def is_scattered_loss(self, death_ids: Iterable[int]) -> bool:
        """Return whether `CORRELATED_MAX` others fell with each of the deaths.

        The others may be of any failure domain: one request that crashes an
        upstream doesn't take that many with it within `CORRELATION_MS`.
        """
        deaths = [self._death_by_id.get(one) for one in death_ids]
        return all(
            death is not None and self._fell_beside(death) > CORRELATED_MAX
            for death in deaths
        )

    def unsettled_ms(self, death_ids: Iterable[int]) -> float:
        """Return how long a death may still turn out to be correlated."""
        deaths = [self._death_by_id.get(one) for one in death_ids]
        last_ms = max((one.at_ms for one in deaths if one), default=0)
        return max(0, last_ms + CORRELATION_MS - self.clock.now_ms())

    def _fell_beside(self, death: Death) -> int:
        """Return how many upstreams fell near a death, itself included."""
        fell = 0
        for other in reversed(self._death_by_id.values()):
            if other.at_ms < death.at_ms - CORRELATION_MS:
                break
            fell += other.at_ms <= death.at_ms + CORRELATION_MS
        return fell

    def _is_correlated(self, content_hash: int, death: Death) -> bool:
        half = self.domain_size(death.failure_domain) // 2
        needed = max(1, min(half, CORRELATED_MAX))
        near = (
            other
            for other in self._deaths_by_domain[death.failure_domain]
            if abs(other.at_ms - death.at_ms) <= CORRELATION_MS
            and content_hash not in other.content_hashes
        )
        return len(tuple(itertools.islice(near, needed))) == needed

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
            death = self._death_by_id.pop(death_id)
            self._deaths_by_domain[death.failure_domain].remove(death)
