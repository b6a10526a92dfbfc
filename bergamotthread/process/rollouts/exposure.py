"""Places of a trial and the bound on what a target gets."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import chain, zip_longest

import xxhash

from bergamotthread.process.rollouts.entry_counts import Totals
from bergamotthread.process.rollouts.order import ExposureBound
from bergamotthread.process.rollouts.reports import EntryReport, Reserve

# Part of the bound that the trial takes; the rest is for the move, which must
# begin before the time limit.
TRIAL_PART = 0.3
# The same with the places that were lost.
MAX_PART = 0.6
# Places of a trial that are enough to judge by.
MAX_TRIAL_PLACES = 300.0
# Parts of the places that may be granted by parts of the duration. They come in
# pulses, each of which gives the tried upstreams about the load of former ones.
TRIAL_PULSES: tuple[tuple[float, float], ...] = (
    (0, 0.4),
    (0.2, 0.5),
    (0.4, 0.6),
    (0.6, 1),
)
PULSE_MS = 1000.0
# Part of the trial that is reserved with one write.
RESERVE_PART = 0.1
MIN_RESERVE_PLACES = 2
# Part of the free places that one report gets.
GRANT_PARTS = 4
# Standard deviations of the expected requests that a move allows for.
MOVE_DEVIATIONS = 1.5
# Part of the bound that is kept for counts on the way.
BOUND_PART = 0.92
# Failure domains in which a target is tried, where it has so many.
TRIAL_DOMAINS = 3


@dataclass(frozen=True, slots=True)
class ServiceView:
    """Upstreams and entries of a service, as the one that decides sees them.

    Parameters
    ----------
    domain_by_target
        Failure domain of each upstream of the target.
    former_count
        Upstreams of other builds.
    entries
        Entries that should report.
    lost
        Upstreams of the target that don't answer, as far as the one that
        decides has seen.
    """

    domain_by_target: Mapping[str, str]
    former_count: int
    entries: frozenset[str]
    lost: frozenset[str] = frozenset()

    @property
    def has_target(self) -> bool:
        """Return whether an upstream of the target may answer."""
        return bool(self.domain_by_target.keys() - self.lost)


@dataclass
class TrialPlaces:
    """Places that were reserved in the row and granted to entries.

    Parameters
    ----------
    reserved
        Places that may have been granted, by any decider.
    free
        Places that this decider reserved and hasn't granted. Those of former
        deciders are never granted again.
    """

    reserved: int
    free: int = 0
    unmet: int = 0

    def record_reserved(self, reserved: int) -> None:
        """Add the places of a row that was written."""
        self.free += max(0, reserved - self.reserved)
        self.raise_reserved(reserved)
        self.unmet = 0

    def raise_reserved(self, reserved: int) -> None:
        """Count places that others reserved."""
        self.reserved = max(self.reserved, reserved)

    def grant(self, report: EntryReport, entry_count: int) -> int:
        """Return the places that an entry has from now on.

        They are counted from what the entry knows of, and not from an earlier
        directive: that one may have reached a process that has ended and used
        its places.
        """
        lacking = max(0, report.sent - report.granted)
        needed = max(0, report.sent + report.wanted - report.granted)
        if not needed:
            return report.granted
        parts = max(1, min(GRANT_PARTS, entry_count))
        part = max(1, math.ceil(self.free / parts))
        granted = min(needed, part)
        if granted <= lacking or self.free < granted:
            self.unmet += needed
            return report.granted
        if granted < needed:
            self.unmet += needed - granted
        self.free -= granted
        return report.granted + granted

    def next_reserve(self, allowed: float) -> Reserve | None:
        """Return what to reserve, if entries want more than is free.

        Parameters
        ----------
        allowed
            Places that may be reserved in all by now.
        """
        gain = math.floor(allowed) - self.reserved
        step = max(MIN_RESERVE_PLACES, math.floor(allowed * RESERVE_PART))
        is_wanted = self.unmet > 0 or not self.reserved
        if is_wanted and gain >= step and self.free < step:
            return Reserve(self.reserved + gain)
        return None


@dataclass(frozen=True, slots=True)
class Exposure:
    """What a target has got and may get.

    Parameters
    ----------
    elapsed_ms
        Time since the order.
    requests_per_ms
        Rate of requests for the service.
    reserved
        Places that may have been granted; all count as used.
    lost_places
        Places that a former decider reserved and that no entry knows of; others
        are reserved instead.
    """

    bound: ExposureBound
    duration_ms: float
    elapsed_ms: float
    totals: Totals
    requests_per_ms: float
    reserved: int
    lost_places: int = 0

    @property
    def remaining_ms(self) -> float:
        """Time until the limit; negative after it."""
        return self.duration_ms - self.elapsed_ms

    @property
    def counted(self) -> float:
        """Requests that the target may have got."""
        places = max(self.reserved, self.totals.granted)
        return places + self.totals.beyond_places

    @property
    def limit(self) -> float:
        """Requests that it may have got by now, as far as they were seen."""
        return self._limit(self.totals.requests)

    @property
    def allowed_places(self) -> float:
        """Places that may be reserved by now."""
        places = min(self.limit * TRIAL_PART, MAX_TRIAL_PLACES)
        elapsed_part = self.elapsed_ms / max(1.0, self.duration_ms)
        paced = max(
            part for start, part in TRIAL_PULSES if elapsed_part >= start
        )
        allowed = min(places * paced + self.lost_places, self.limit * MAX_PART)
        return allowed - self.totals.beyond_places

    def fits(self, deviations: float, delay_ms: float) -> bool:
        """Return whether all requests until the time limit may go to it.

        Parameters
        ----------
        deviations
            Standard deviations beyond the requests that are expected.
        delay_ms
            Mean age of the counts.
        """
        if self.remaining_ms <= 0:
            return True
        expected = self.requests_per_ms * self.remaining_ms
        late = self.requests_per_ms * delay_ms
        limit = self._limit(self.totals.requests + expected)
        margin = deviations * math.sqrt(expected + late)
        return self.counted + expected + late + margin <= limit

    def _limit(self, requests: float) -> float:
        bound = self.bound
        return BOUND_PART * (bound.share * requests + bound.slack)


def trial_instances(
    view: ServiceView,
    order_number: int,
    pulse: float,
    requests_per_ms: float,
) -> tuple[str, ...]:
    """Return the upstreams of the target that are tried.

    They are so few that each has about the load of a former one, but in
    `TRIAL_DOMAINS` failure domains where there are so many. Whoever decides
    finds the same ones.

    Parameters
    ----------
    pulse
        Requests that they get within `PULSE_MS`.
    """
    ranked_by_domain: dict[str, list[str]] = {}
    for instance in _ranked(view.domain_by_target, order_number):
        domain = view.domain_by_target[instance]
        ranked_by_domain.setdefault(domain, []).append(instance)
    turns = zip_longest(*ranked_by_domain.values())
    by_turns = tuple(filter(None, chain.from_iterable(turns)))
    load = requests_per_ms * PULSE_MS / max(1, view.former_count)
    alike = math.ceil(pulse / load) if load else 0
    count = max(alike, min(TRIAL_DOMAINS, len(ranked_by_domain)))
    return by_turns[:count]


def _ranked(
    domain_by_target: Mapping[str, str], order_number: int
) -> list[str]:
    return sorted(
        domain_by_target,
        key=lambda instance: xxhash.xxh64_intdigest(
            f'{order_number}:{instance}'.encode()
        ),
    )
