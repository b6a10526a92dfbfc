"""Log of recent upstream deaths, to recognise deaths with a common cause."""

from __future__ import annotations

import itertools
import math
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
# Deaths of silent upstreams are known, and then recorded, so much later.
TOLD_LATE_MS = 20_000
# Deaths without a quarantined part that show that it was not the cause of the
# others either.
UNTIED_DEATHS_MIN = 2


# Fingerprints of one request: of its content first, then of its prompt parts.
RequestHashes = tuple[int, ...]


@dataclass(frozen=True)
class Death:
    """Death of one upstream.

    Parameters
    ----------
    running
        Requests that ran on it.
    waiting
        Requests of which it is not known whether it had begun to run them. The
        content of one is charged only if it was alone; their parts always are.
    sent_ms
        Monotonic time at which the first of them was sent.
    progressed
        Contents of the requests that had made progress on it.
    """

    failure_domain: str
    at_ms: float
    running: frozenset[RequestHashes]
    waiting: frozenset[RequestHashes] = frozenset()
    sent_ms: float = -math.inf
    progressed: frozenset[RequestHashes] = frozenset()

    @property
    def charged(self) -> frozenset[RequestHashes]:
        """Return the requests against which the death may count."""
        if self.running or len(self.waiting) > 1:
            return self.running
        return self.waiting

    @property
    def suspects(self) -> frozenset[RequestHashes]:
        """Return the requests whose parts may have caused it."""
        return self.running | self.waiting

    @property
    def begun(self) -> frozenset[RequestHashes]:
        """Return the requests that ran on it, with or without progress."""
        return self.running | self.progressed

    @property
    def present(self) -> frozenset[RequestHashes]:
        """Return all requests that were sent to it and had not ended."""
        return self.suspects | self.progressed

    def is_charged_to(self, fingerprint: int) -> bool:
        """Return whether it may count against a content or a part."""
        if any(fingerprint in request for request in self.charged):
            return True
        return any(fingerprint in request[1:] for request in self.waiting)

    def merge(self, other: Death) -> Death:
        """Return the death with the requests that another process had on it."""
        return Death(
            self.failure_domain,
            min(self.at_ms, other.at_ms),
            self.running | other.running,
            self.waiting | other.waiting,
            min(self.sent_ms, other.sent_ms),
            self.progressed | other.progressed,
        )


@dataclass(frozen=True)
class DeathNotice:
    """Death of an upstream, as one process tells others.

    Parameters
    ----------
    death_id
        Identifier of the death, the same in all processes.
    age_ms
        Time since the death.
    running, waiting, progressed
        See `Death`.
    sent_age_ms
        Time since the first of these requests was sent.
    """

    death_id: int
    failure_domain: str
    age_ms: float
    running: frozenset[RequestHashes]
    waiting: frozenset[RequestHashes] = frozenset()
    sent_age_ms: float = math.inf
    progressed: frozenset[RequestHashes] = frozenset()

    @property
    def is_empty(self) -> bool:
        """Return whether the upstream had no request."""
        return not (self.running or self.waiting or self.progressed)

    @classmethod
    def from_death(
        cls, death_id: int, death: Death, now_ms: float
    ) -> DeathNotice:
        """Return the notice of a death."""
        return cls(
            death_id,
            death.failure_domain,
            now_ms - death.at_ms,
            death.running,
            death.waiting,
            now_ms - death.sent_ms,
            death.progressed,
        )

    def to_death(self, now_ms: float) -> Death:
        """Return the death that was told just now."""
        return Death(
            self.failure_domain,
            now_ms - self.age_ms,
            self.running,
            self.waiting,
            now_ms - self.sent_age_ms,
            self.progressed,
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
        fingerprint: int,
        death_ids: Iterable[int],
        culprits: Container[int] = (),
        *,
        counts_waiting: bool = False,
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
            against other requests, nor one under a quarantined part against the
            rest of its request, unless the rest crashed upstreams without it
            `UNTIED_DEATHS_MIN` times.
        counts_waiting
            Whether a death also counts against a content that waited beside
            others.
        """
        deaths = [
            death
            for death in map(self.get, death_ids)
            if death is not None
            and (counts_waiting or death.is_charged_to(fingerprint))
            and not _has_other_culprit(death, fingerprint, culprits)
        ]
        untied = [
            death
            for death in deaths
            if not _has_culprit_beside(death, fingerprint, culprits)
        ]
        if len(untied) < UNTIED_DEATHS_MIN:
            deaths = untied
        match self.correlation:
            case DomainCorrelation():
                return sum(
                    not self._is_correlated(fingerprint, death)
                    for death in deaths
                )
            case SimultaneousDeaths(window_ms):
                return _count_apart(sorted(deaths, key=_at_ms), window_ms)

    def count_of_any_kind(
        self,
        fingerprint: int,
        death_ids: Iterable[int],
        culprits: Container[int],
    ) -> int:
        """Return how many deaths a content ran through, also with progress.

        With `SimultaneousDeaths`, neither a loss of many upstreams at once
        counts nor a death under a quarantined request. With
        `DomainCorrelation`, all deaths count.
        """
        match self.correlation:
            case DomainCorrelation():
                return sum(1 for _ in death_ids)
            case SimultaneousDeaths():
                return sum(
                    not _has_other_culprit(death, fingerprint, culprits)
                    and self._count_nearby(death) <= CORRELATED_DEATHS_THRESHOLD
                    for death in map(self.get, death_ids)
                    if death is not None
                )

    def without_culprit_beside(
        self,
        part_hash: int,
        death_ids: Iterable[int],
        culprits: Container[int],
    ) -> set[int]:
        """Return the deaths under no request with it and a quarantined part."""
        return {
            death_id
            for death_id in death_ids
            if (death := self.get(death_id)) is not None
            and not _has_culprit_beside(death, part_hash, culprits)
        }

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
            if other.at_ms < death.at_ms - window_ms - TOLD_LATE_MS:
                break
            count += abs(other.at_ms - death.at_ms) <= window_ms
        return count

    def _is_correlated(self, fingerprint: int, death: Death) -> bool:
        half = self.domain_size(death.failure_domain) // 2
        needed = max(1, min(half, CORRELATED_DEATHS_THRESHOLD))
        others = map(self.get, self._ids_by_domain[death.failure_domain])
        nearby = (
            other
            for other in others
            if other is not None
            and abs(other.at_ms - death.at_ms) <= self.correlation.window_ms
            and not other.is_charged_to(fingerprint)
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


def _has_other_culprit(
    death: Death, fingerprint: int, culprits: Container[int]
) -> bool:
    """Return whether a request without a fingerprint is quarantined."""
    return any(
        fingerprint not in request and any(one in culprits for one in request)
        for request in death.present
    )


def _has_culprit_beside(
    death: Death, fingerprint: int, culprits: Container[int]
) -> bool:
    """Return whether a request with a fingerprint has a quarantined part."""
    return any(
        one != fingerprint and one in culprits
        for request in death.suspects
        if fingerprint in request
        for one in request[1:]
    )


def _count_apart(deaths: Iterable[Death], window_ms: float) -> int:
    """Return the number of deaths, with simultaneous ones as one.

    Two are simultaneous if they are within the window, unless all requests on
    the second upstream were sent after the first death.
    """
    count = 0
    last_ms = -math.inf
    for death in deaths:
        if death.sent_ms > last_ms or death.at_ms - last_ms > window_ms:
            count += 1
            last_ms = death.at_ms
    return count


def _at_ms(death: Death) -> float:
    return death.at_ms
