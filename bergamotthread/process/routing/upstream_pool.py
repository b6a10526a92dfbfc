"""Upstreams of one published version that may run each pin."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bergamotthread.version.objects import Upstream
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Pin

_Upstreams = tuple[Upstream, ...]
SubsetSelector = Callable[[Pin, _Upstreams], _Upstreams]


@dataclass(frozen=True)
class Target:
    """Properties of an upstream that the placement uses."""

    agent: str
    region: str
    failure_domain: str
    kv_capacity: int
    max_running: int


@dataclass(frozen=True)
class RegionSplit:
    """Targets of a pin, split into one region and all others."""

    local: tuple[Target, ...]
    remote: tuple[Target, ...]
    targets_by_agent: dict[str, Target]


@dataclass(frozen=True)
class UpstreamPool:
    """Targets of one published version, by pin and by agent."""

    version: int
    targets_by_pin: dict[Pin, tuple[Target, ...]]
    targets_by_agent: dict[str, Target]
    stop_start_ms_by_agent: dict[str, int]
    egress_price_by_region: dict[str, float]
    _region_split_by_key: dict[tuple[Pin, str], RegionSplit] = field(
        default_factory=dict,
    )

    @classmethod
    def from_published(
        cls,
        published: PublishedVersion,
        subset: SubsetSelector | None = None,
    ) -> UpstreamPool:
        """Return the targets of a version.

        Parameters
        ----------
        subset
            Selects the upstreams of a pin that this process uses; None for
            all.
        """
        targets_by_pin = {
            pin: tuple(_target(published, upstream) for upstream in upstreams)
            for pin, upstreams in _upstreams_by_pin(published, subset).items()
        }
        return cls(
            version=published.version,
            targets_by_pin=targets_by_pin,
            targets_by_agent={
                target.agent: target
                for targets in targets_by_pin.values()
                for target in targets
            },
            stop_start_ms_by_agent={
                stop.address: stop.start_ms
                for stop in published.object_set.stops
            },
            egress_price_by_region={
                name: region.egress_price_per_gb
                for name, region in published.regions_by_name.items()
            },
        )

    def split_by_region(self, pin: Pin, region: str) -> RegionSplit:
        """Return the targets of a pin split by region; cached."""
        split = self._region_split_by_key.get((pin, region))
        if split is None:
            targets = self.targets_by_pin.get(pin, ())
            split = RegionSplit(
                local=tuple(
                    target for target in targets if target.region == region
                ),
                remote=tuple(
                    target for target in targets if target.region != region
                ),
                targets_by_agent={target.agent: target for target in targets},
            )
            self._region_split_by_key[pin, region] = split
        return split

    def is_stopping(self, agent: str, calendar_ms: int) -> bool:
        """Return whether the planned stop of an agent's host has started."""
        start_ms = self.stop_start_ms_by_agent.get(agent)
        return start_ms is not None and start_ms <= calendar_ms

    def failure_domain_of(self, agent: str) -> str:
        """Return the failure domain of an agent, empty if unknown."""
        target = self.targets_by_agent.get(agent)
        return target.failure_domain if target else ''


def _upstreams_by_pin(
    published: PublishedVersion,
    subset: SubsetSelector | None,
) -> dict[Pin, tuple[Upstream, ...]]:
    upstreams_by_pin: dict[Pin, list[Upstream]] = {}
    for upstream in published.object_set.upstreams:
        for pin in upstream.models:
            upstreams_by_pin.setdefault(pin, []).append(upstream)
    chosen_by_pin = {}
    for pin, upstreams in upstreams_by_pin.items():
        all_upstreams = tuple(upstreams)
        chosen_by_pin[pin] = (
            subset(pin, all_upstreams) if subset else all_upstreams
        )
    return chosen_by_pin


def _target(published: PublishedVersion, upstream: Upstream) -> Target:
    return Target(
        agent=upstream.agent,
        region=published.region_of(upstream),
        failure_domain=upstream.failure_domain,
        kv_capacity=upstream.kv_capacity,
        max_running=upstream.max_running,
    )
