"""Log of recent upstream deaths, to recognise deaths with a common cause."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock

CORRELATION_WINDOW_MS = 5000
DEATH_RETENTION_MS = 3_600_000
DEATHS_MAX = 4096
CORRELATED_DEATHS_THRESHOLD = 3


@dataclass(frozen=True)
class Death:
    """Death of one upstream.

    `content_hashes` are the fingerprints of the requests that ran on it.
    """

    failure_domain: str
    at_ms: float
    content_hashes: frozenset[int]


@dataclass
class DeathLog:
    """Distinguishes independent deaths from the loss of a failure domain.

    Parameters
    ----------
    domain_size
        Returns the number of upstreams in a failure domain whose deaths this
        process learns of.
    """

    clock: Clock
    domain_size: Callable[[str], int]
    _death_by_id: dict[int, Death] = field(default_factory=dict)
    _deaths_by_domain: dict[str, list[Death]] = field(default_factory=dict)
    _next_id: int = 1

    def record(
        self, failure_domain: str, content_hashes: frozenset[int]
    ) -> int:
        """Record a death at the current time and return its id."""
        death_id = self._next_id
        self._next_id += 1
        now_ms = self.clock.now_ms()
        death = Death(failure_domain, now_ms, content_hashes)
        self._death_by_id[death_id] = death
        self._deaths_by_domain.setdefault(failure_domain, []).append(death)
        self._evict_old()
        return death_id

    def count_for(self, content_hash: int, death_ids: Iterable[int]) -> int:
        """Return how many deaths count against a fingerprint.

        A death is not counted if enough other upstreams of its failure domain,
        which did not run the fingerprint, died within `CORRELATION_WINDOW_MS`
        of it. Enough means half of the domain or
        `CORRELATED_DEATHS_THRESHOLD` upstreams, whichever is fewer. A single
        other death does not suffice in a larger domain, because another
        request may have caused that one.
        """
        deaths = [self._death_by_id.get(death_id) for death_id in death_ids]
        return sum(
            death is not None and not self._is_correlated(content_hash, death)
            for death in deaths
        )

    def is_simultaneous_loss(self, death_ids: Iterable[int]) -> bool:
        """Return whether each death coincides with many others.

        A death does if at least `CORRELATED_DEATHS_THRESHOLD` other upstreams,
        of any failure domain, died within `CORRELATION_WINDOW_MS` of it. A
        single request that crashes upstreams does not kill that many in this
        time.
        """
        deaths = [self._death_by_id.get(death_id) for death_id in death_ids]
        return all(
            death is not None
            and self._count_nearby(death) > CORRELATED_DEATHS_THRESHOLD
            for death in deaths
        )

    def correlation_wait_ms(self, death_ids: Iterable[int]) -> float:
        """Return the time in which a death may still prove correlated."""
        deaths = [self._death_by_id.get(death_id) for death_id in death_ids]
        last_ms = max((death.at_ms for death in deaths if death), default=0)
        return max(0, last_ms + CORRELATION_WINDOW_MS - self.clock.now_ms())

    def _count_nearby(self, death: Death) -> int:
        """Return how many deaths were close in time, including this one."""
        count = 0
        for other in reversed(self._death_by_id.values()):
            if other.at_ms < death.at_ms - CORRELATION_WINDOW_MS:
                break
            count += other.at_ms <= death.at_ms + CORRELATION_WINDOW_MS
        return count

    def _is_correlated(self, content_hash: int, death: Death) -> bool:
        half = self.domain_size(death.failure_domain) // 2
        needed = max(1, min(half, CORRELATED_DEATHS_THRESHOLD))
        nearby = (
            other
            for other in self._deaths_by_domain[death.failure_domain]
            if abs(other.at_ms - death.at_ms) <= CORRELATION_WINDOW_MS
            and content_hash not in other.content_hashes
        )
        return len(tuple(itertools.islice(nearby, needed))) == needed

    def _evict_old(self) -> None:
        """Remove deaths that are past retention or above `DEATHS_MAX`.

        Ids and times both increase, so the first entries are the oldest.
        """
        since_ms = self.clock.now_ms() - DEATH_RETENTION_MS
        excess = len(self._death_by_id) - DEATHS_MAX
        expired_ids = [
            death_id
            for index, (death_id, death) in enumerate(self._death_by_id.items())
            if index < excess or death.at_ms < since_ms
        ]
        for death_id in expired_ids:
            death = self._death_by_id.pop(death_id)
            self._deaths_by_domain[death.failure_domain].remove(death)
