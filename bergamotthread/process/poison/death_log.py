"""Log of recent upstream deaths, to recognise deaths with a common cause."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.poison.limits import (
    CORRELATED_DEATHS_THRESHOLD,
    Correlation,
    DomainCorrelation,
    SimultaneousDeaths,
)

DEATH_RETENTION_MS = 3_600_000
DEATHS_MAX = 4096


@dataclass(frozen=True)
class Death:
    """Death of one upstream.

    Parameters
    ----------
    content_hashes
        Fingerprints of the requests that ran on it.
    waiting_hashes
        Fingerprints of the requests of which it is not known whether it had
        begun to run them. One of them is charged only if it was alone.
    """

    failure_domain: str
    at_ms: float
    content_hashes: frozenset[int]
    waiting_hashes: frozenset[int] = frozenset()

    @property
    def charged_hashes(self) -> frozenset[int]:
        """Return the fingerprints against which the death may count."""
        if self.content_hashes or len(self.waiting_hashes) > 1:
            return self.content_hashes
        return self.waiting_hashes

    def merge(self, other: Death) -> Death:
        """Return the death with the requests that another process had on it."""
        return Death(
            self.failure_domain,
            min(self.at_ms, other.at_ms),
            self.content_hashes | other.content_hashes,
            self.waiting_hashes | other.waiting_hashes,
        )


@dataclass
class DeathLog:
    """Distinguishes independent deaths from those with a common cause.

    Parameters
    ----------
    domain_size
        Returns the number of upstreams in a failure domain whose deaths this
        process learns of.
    """

    clock: Clock
    domain_size: Callable[[str], int]
    correlation: Correlation = DomainCorrelation()
    _death_by_id: dict[int, Death] = field(default_factory=dict)
    _ids_by_domain: dict[str, list[int]] = field(default_factory=dict)
    _next_id: int = 1

    def record(self, death: Death, death_id: int | None = None) -> int:
        """Record a death and return its id.

        Parameters
        ----------
        death_id
            Identifier by which several processes name the same death; a new
            one if None.
        """
        if death_id is None:
            death_id = self._next_id
            self._next_id += 1
        known = self._death_by_id.get(death_id)
        if known is not None:
            self._death_by_id[death_id] = known.merge(death)
            return death_id
        self._death_by_id[death_id] = death
        self._ids_by_domain.setdefault(death.failure_domain, []).append(
            death_id
        )
        self._evict_old()
        return death_id

    def get(self, death_id: int) -> Death | None:
        """Return a death, or None if it is not kept."""
        return self._death_by_id.get(death_id)

    def count_for(
        self,
        content_hash: int,
        death_ids: Iterable[int],
        culprits: Container[int] = (),
    ) -> int:
        """Return how many deaths count against a fingerprint.

        With `DomainCorrelation`, a death is not counted if enough other
        upstreams of its failure domain, which did not run the fingerprint, died
        within the window. Enough means half of the domain or
        `CORRELATED_DEATHS_THRESHOLD` upstreams, whichever is fewer. A single
        other death does not suffice in a larger domain, because another
        request may have caused that one.

        Parameters
        ----------
        culprits
            Quarantined fingerprints. A death under one of them does not count
            against any other.
        """
        deaths = [
            death
            for death in map(self.get, death_ids)
            if death is not None
            and content_hash in death.charged_hashes
            and not _is_explained(death, content_hash, culprits)
        ]
        match self.correlation:
            case DomainCorrelation():
                return sum(
                    not self._is_correlated(content_hash, death)
                    for death in deaths
                )
            case SimultaneousDeaths(window_ms):
                return _count_apart(
                    sorted(death.at_ms for death in deaths), window_ms
                )

    def is_simultaneous_loss(self, death_ids: Iterable[int]) -> bool:
        """Return whether each death coincides with many others.

        A death does if at least `CORRELATED_DEATHS_THRESHOLD` other upstreams,
        of any failure domain, died within the window. A single request that
        crashes upstreams does not kill that many in this time.
        """
        deaths = [self._death_by_id.get(death_id) for death_id in death_ids]
        return all(
            death is not None
            and self._count_nearby(death) > CORRELATED_DEATHS_THRESHOLD
            for death in deaths
        )

    def correlation_wait_ms(self, death_ids: Iterable[int]) -> float:
        """Return the time in which a death may still prove correlated."""
        if isinstance(self.correlation, SimultaneousDeaths):
            return 0
        deaths = [self._death_by_id.get(death_id) for death_id in death_ids]
        last_ms = max((death.at_ms for death in deaths if death), default=0)
        window_ms = self.correlation.window_ms
        return max(0, last_ms + window_ms - self.clock.now_ms())

    def _count_nearby(self, death: Death) -> int:
        """Return how many deaths were close in time, including this one."""
        window_ms = self.correlation.window_ms
        count = 0
        for other in reversed(self._death_by_id.values()):
            if other.at_ms < death.at_ms - window_ms:
                break
            count += other.at_ms <= death.at_ms + window_ms
        return count

    def _is_correlated(self, content_hash: int, death: Death) -> bool:
        half = self.domain_size(death.failure_domain) // 2
        needed = max(1, min(half, CORRELATED_DEATHS_THRESHOLD))
        others = map(self.get, self._ids_by_domain[death.failure_domain])
        nearby = (
            other
            for other in others
            if other is not None
            and abs(other.at_ms - death.at_ms) <= self.correlation.window_ms
            and content_hash not in other.content_hashes
        )
        return len(tuple(itertools.islice(nearby, needed))) == needed

    def _evict_old(self) -> None:
        """Remove deaths that are past retention or above `DEATHS_MAX`.

        Deaths are recorded at about the time at which they happen, so the first
        entries are the oldest.
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
            self._ids_by_domain[death.failure_domain].remove(death_id)


def _is_explained(
    death: Death, content_hash: int, culprits: Container[int]
) -> bool:
    """Return whether another request on the upstream caused its death."""
    return any(
        other != content_hash and other in culprits
        for other in death.charged_hashes
    )


def _count_apart(times_ms: list[float], window_ms: float) -> int:
    """Return the number of times, with those within a window as one."""
    count = 0
    start_ms = -window_ms
    for at_ms in times_ms:
        if not count or at_ms - start_ms > window_ms:
            count += 1
            start_ms = at_ms
    return count
