"""Upstreams of the services: who is there, how busy, who is suspect."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from bergamotthread.clock import Clock

# An upstream that refused a connection or fell silent is left alone this long;
# engines that crash are back within a second or two.
SUSPECT_MS = 1500
# Weight of the newest outcome in the share of failures.
_OUTCOME_WEIGHT = 0.25
# Failures decay with this half-life, so that an upstream is tried again.
FAILURE_HALF_LIFE_MS = 4000


class UpstreamState(enum.Enum):
    """What an upstream says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """One upstream as the store lists it.

    Parameters
    ----------
    instance
        Identifier of this incarnation.
    born_ms
        Calendar time of its start; 0 if unknown.
    """

    instance: str
    service: str
    address: str
    failure_domain: str
    state: UpstreamState
    slots: int = 0
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an upstream as it reported it.

    Parameters
    ----------
    kv_used, kv_total
        Tokens of memory that cannot yield, and of all memory.
    """

    queued: int
    running: int
    kv_used: int
    kv_total: int
    at_ms: float


@dataclass(slots=True)
class Upstream:
    """Known upstream with what this process saw of it."""

    record: UpstreamRecord
    in_flight: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0
    heard_ms: float = 0
    suspect_until_ms: float = 0
    failure_share: float = 0
    failed_ms: float = 0
    report: LoadReport | None = None
    prefill_ms_per_token: float = 0

    @property
    def address(self) -> str:
        """Return where it listens."""
        return self.record.address


@dataclass
class UpstreamDirectory:
    """All upstreams that the store lists, by instance."""

    clock: Clock
    _upstream_by_instance: dict[str, Upstream] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._upstream_by_instance)

    def get(self, instance: str) -> Upstream | None:
        """Return one upstream, or none if it has gone."""
        return self._upstream_by_instance.get(instance)

    def update(self, record: UpstreamRecord) -> Upstream | None:
        """Take in a record; return the former incarnation if it has gone."""
        known = self._upstream_by_instance.get(record.instance)
        if known is not None and _is_same(known.record, record):
            known.record = record
            return None
        self._upstream_by_instance[record.instance] = Upstream(record)
        return known

    def remove(self, instance: str) -> Upstream | None:
        """Forget an upstream that has gone."""
        return self._upstream_by_instance.pop(instance, None)

    def instances(self) -> frozenset[str]:
        """Return the identifiers of all known upstreams."""
        return frozenset(self._upstream_by_instance)

    def of_service(self, service: str) -> Iterator[Upstream]:
        """Yield the upstreams of one service that take new work."""
        for upstream in self._upstream_by_instance.values():
            record = upstream.record
            is_ready = record.state is UpstreamState.READY
            if is_ready and record.service == service:
                yield upstream

    def suspect(self, upstream: Upstream, for_ms: float = SUSPECT_MS) -> None:
        """Leave an upstream alone for a while."""
        until_ms = self.clock.now_ms() + for_ms
        upstream.suspect_until_ms = max(upstream.suspect_until_ms, until_ms)

    def record_heard(self, upstream: Upstream) -> None:
        """Note that bytes came from an upstream."""
        upstream.heard_ms = self.clock.now_ms()
        upstream.suspect_until_ms = 0

    def record_outcome(self, upstream: Upstream, *, failed: bool) -> None:
        """Count an answer in the share of failures."""
        share = self.failure_share(upstream)
        share += _OUTCOME_WEIGHT * (float(failed) - share)
        upstream.failure_share = share
        upstream.failed_ms = self.clock.now_ms()

    def failure_share(self, upstream: Upstream) -> float:
        """Return the recent share of failures, which decays with time."""
        if not upstream.failure_share:
            return 0
        age_ms = self.clock.now_ms() - upstream.failed_ms
        decayed: float = 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)
        return upstream.failure_share * decayed

    def is_suspect(self, upstream: Upstream) -> bool:
        """Return whether an upstream is left alone now."""
        return self.clock.now_ms() < upstream.suspect_until_ms


def without(
    upstreams: Iterable[Upstream],
    excluded: frozenset[str],
) -> list[Upstream]:
    """Return the upstreams whose instance is not excluded."""
    return [one for one in upstreams if one.record.instance not in excluded]


def _is_same(known: UpstreamRecord, told: UpstreamRecord) -> bool:
    return (known.address, known.service, known.born_ms) == (
        told.address,
        told.service,
        told.born_ms,
    )
