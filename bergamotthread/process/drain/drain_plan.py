"""Scheduling of planned stops within limits per failure domain and model."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from bergamotthread.errors import BergamotError, Step
from bergamotthread.process.store.platform import HostEntry
from bergamotthread.version.objects import Stop
from bergamotthread.version.published import PublishedVersion

DEFAULT_LEAD_MS = 10_000
DEFAULT_DURATION_MS = 1_800_000
_PERCENT = 100


class DrainPlanError(BergamotError):
    """A stop can't be planned, for example of an unknown address."""


@dataclass(frozen=True)
class DrainLimits:
    """Limits on the hosts that are stopped at the same time.

    Parameters
    ----------
    per_failure_domain
        Maximum number of hosts of one failure domain.
    model_percent
        Maximum number of upstreams of one model, in percent of all upstreams
        that run it. One is always allowed.
    lead_ms
        Time from now to the first start. It has to be long enough for the
        published stops to reach all processes.
    duration_ms
        Time from the start of a stop to its deadline.
    """

    per_failure_domain: int = 2
    model_percent: int = 2
    lead_ms: int = DEFAULT_LEAD_MS
    duration_ms: int = DEFAULT_DURATION_MS


@dataclass(frozen=True)
class StopTarget:
    """Host to stop, with its failure domain and the models it runs."""

    address: str
    failure_domain: str
    models: tuple[str, ...] = ()


@dataclass(frozen=True)
class DrainPlan:
    """Planned stops, ordered by start time."""

    stops: tuple[Stop, ...]

    @property
    def end_ms(self) -> int:
        """Latest deadline, in milliseconds since the Unix epoch."""
        return max((stop.deadline_ms for stop in self.stops), default=0)


@dataclass
class _SlotOccupancy:
    """Occupancy of consecutive time slots, each as long as one stop."""

    limits: DrainLimits
    limit_by_model: dict[str, int]
    start_ms: int
    used: Counter[tuple[int, str, str]] = field(default_factory=Counter)
    first_free: dict[StopTarget, int] = field(default_factory=dict)

    def occupy(self, slot: int, target: StopTarget) -> None:
        for kind, name in _limited_resources(target):
            self.used[slot, kind, name] += 1

    def occupy_span(self, stop: Stop, target: StopTarget) -> None:
        first = self._slot_at(stop.start_ms)
        last = self._slot_at(stop.deadline_ms - 1)
        for slot in range(max(first, 0), last + 1):
            self.occupy(slot, target)

    def place(self, target: StopTarget) -> int:
        group = StopTarget('', target.failure_domain, target.models)
        slot = self.first_free.get(group, 0)
        while not self._fits(slot, target):
            slot += 1
        self.first_free[group] = slot
        self.occupy(slot, target)
        return slot

    def _fits(self, slot: int, target: StopTarget) -> bool:
        return all(
            self.used[slot, kind, name] < self._limit(kind, name)
            for kind, name in _limited_resources(target)
        )

    def _limit(self, kind: str, name: str) -> int:
        if kind == 'model':
            return self.limit_by_model[name]
        return self.limits.per_failure_domain

    def _slot_at(self, time_ms: int) -> int:
        return (time_ms - self.start_ms) // self.limits.duration_ms


def _limited_resources(target: StopTarget) -> list[tuple[str, str]]:
    models = [('model', name) for name in target.models]
    return [('failure_domain', target.failure_domain), *models]


def find_targets(
    version: PublishedVersion,
    hosts: Iterable[HostEntry],
    addresses: Sequence[str],
) -> tuple[StopTarget, ...]:
    """Return the hosts at `addresses` with their failure domain and models.

    Raises
    ------
    DrainPlanError
        If an address is neither the agent of a published upstream nor in the
        host list.
    """
    domain_by_address = {host.address: host.failure_domain for host in hosts}
    targets = []
    for address in dict.fromkeys(addresses):
        target = _find_target(version, domain_by_address, address)
        if target is None:
            raise DrainPlanError(
                f'unknown address {address!r}; expected the agent of a '
                "published upstream or a host of the platform's host list",
                step=Step.DRAIN,
                peer=address,
            )
        targets.append(target)
    return tuple(targets)


def _find_target(
    version: PublishedVersion,
    domain_by_address: dict[str, str],
    address: str,
) -> StopTarget | None:
    upstream = version.upstreams_by_agent.get(address)
    if upstream is not None:
        models = tuple(sorted({pin.model for pin in upstream.models}))
        return StopTarget(address, upstream.failure_domain, models)
    domain = domain_by_address.get(address)
    return None if domain is None else StopTarget(address, domain)


def plan_stops(
    version: PublishedVersion,
    targets: Sequence[StopTarget],
    limits: DrainLimits,
    calendar_ms: int,
    reason: str = '',
    hosts: Iterable[HostEntry] = (),
) -> DrainPlan:
    """Return stops for `targets` that stay within the limits.

    Published stops whose deadline lies ahead count towards the limits; none of
    their hosts is planned again. Each target gets the first slot with room for
    it.

    Parameters
    ----------
    hosts
        The platform's host list, which gives the failure domains of hosts that
        run no upstream.
    calendar_ms
        Current time, in milliseconds since the Unix epoch.

    Raises
    ------
    DrainPlanError
        If `per_failure_domain` or `duration_ms` is not positive.
    """
    _check_limits(limits)
    start_ms = calendar_ms + limits.lead_ms
    slots = _SlotOccupancy(limits, _limit_by_model(version, limits), start_ms)
    domain_by_address = {host.address: host.failure_domain for host in hosts}
    planned = _occupy_published(version, domain_by_address, slots, calendar_ms)
    stops = [
        _make_stop(target, slots.place(target), limits, start_ms, reason)
        for target in targets
        if target.address not in planned
    ]
    return DrainPlan(
        tuple(sorted(stops, key=lambda stop: (stop.start_ms, stop.name)))
    )


def _check_limits(limits: DrainLimits) -> None:
    for name in ('per_failure_domain', 'duration_ms'):
        if getattr(limits, name) <= 0:
            raise DrainPlanError(
                f'drain limit {name} is {getattr(limits, name)}; expected at '
                'least 1',
                step=Step.DRAIN,
            )


def _limit_by_model(
    version: PublishedVersion,
    limits: DrainLimits,
) -> dict[str, int]:
    counts: Counter[str] = Counter()
    for upstream in version.upstreams_by_agent.values():
        counts.update({pin.model for pin in upstream.models})
    return {
        name: max(1, count * limits.model_percent // _PERCENT)
        for name, count in counts.items()
    }


def _occupy_published(
    version: PublishedVersion,
    domain_by_address: dict[str, str],
    slots: _SlotOccupancy,
    calendar_ms: int,
) -> set[str]:
    planned = set()
    for stop in version.object_set.stops:
        if stop.deadline_ms <= calendar_ms:
            continue
        planned.add(stop.address)
        target = _find_target(version, domain_by_address, stop.address)
        if target is not None:
            slots.occupy_span(stop, target)
    return planned


def _make_stop(
    target: StopTarget,
    slot: int,
    limits: DrainLimits,
    start_ms: int,
    reason: str,
) -> Stop:
    begin_ms = start_ms + slot * limits.duration_ms
    return Stop(
        name=f'{target.address}@{begin_ms}',
        address=target.address,
        start_ms=begin_ms,
        deadline_ms=begin_ms + limits.duration_ms,
        reason=reason,
    )
