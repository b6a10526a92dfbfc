"""Directory of the upstreams of all services, with their load and health."""

from __future__ import annotations

import enum
import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.relay.hash_ring import HashRing

# Time after which a lost upstream is tried again even if it stayed silent. The
# store row of an upstream that has ended expires within three intervals of
# 1.2 s, so by then only live upstreams are listed.
LOST_RETRY_MS = 4000
# With this many losses in one failure domain within `DOMAIN_LOSS_WINDOW_MS`,
# the other upstreams of the domain are suspected until they send something or
# the losses are older than that.
DOMAIN_LOSSES_MIN = 2
DOMAIN_LOSS_WINDOW_MS = 1500
# Time within which a removed upstream may be replaced or listed again. Rows
# that lapsed in an outage of the store are back two seconds after its return.
REPLACEMENT_MS = 2000
# Weight of the newest outcome in the average of failures.
_OUTCOME_WEIGHT = 0.25
# Failures decay with this half-life, so that a failing upstream is tried again.
FAILURE_HALF_LIFE_MS = 4000


class UpstreamState(enum.Enum):
    """State that an upstream registers in the store."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """One upstream as the store lists it.

    Parameters
    ----------
    instance
        Identifier of this incarnation of the upstream.
    started_ms
        Calendar time of its start; 0 if unknown.
    """

    instance: str
    service: str
    address: str
    failure_domain: str
    state: UpstreamState
    slots: int = 0
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an upstream reported.

    Parameters
    ----------
    kv_used, kv_total
        Tokens of the KV cache that can't be evicted, and its capacity.
    unread_tokens
        Accepted prompt tokens that wait for prefill.
    at_ms
        Monotonic time at which the report arrived.
    """

    queued: int
    running: int
    kv_used: int
    kv_total: int
    at_ms: float
    unread_tokens: int = 0


@dataclass(slots=True)
class Upstream:
    """Listed upstream with what this process observed of it.

    Parameters
    ----------
    prefill_tokens
        Prompt tokens of this process's attempts that have no event yet.
    sent_since_report
        Prompt tokens of attempts that this process sent since the report.
    held_tokens
        Prompt tokens of this process's streams whose copies the upstream holds.
    is_unlisted
        Whether its row disappeared in an outage of the store and may return.
    listed_ms, heard_ms, lost_ms
        Monotonic times at which it was first listed, last sent bytes and was
        marked lost; 0 before. `lost_ms` is reset when it sends something.
    failure_share, outcome_ms
        Average of failures after the last outcome, and the monotonic time of
        that outcome, from which the average decays.
    """

    record: UpstreamRecord
    in_flight: int = 0
    prefill_tokens: int = 0
    heard_ms: float = 0
    listed_ms: float = 0
    lost_ms: float = 0
    failure_share: float = 0
    outcome_ms: float = 0
    report: LoadReport | None = None
    sent_since_report: int = 0
    held_tokens: int = 0
    is_unlisted: bool = False

    @property
    def address(self) -> str:
        """Return the address at which it listens."""
        return self.record.address


@dataclass
class UpstreamDirectory:
    """All upstreams that the store lists, by instance.

    Parameters
    ----------
    is_loaded
        Whether the store's list was read completely once.
    """

    clock: Clock
    is_loaded: bool = False
    _upstream_by_instance: dict[str, Upstream] = field(default_factory=dict)
    _instance_by_address: dict[str, str] = field(default_factory=dict)
    _losses_by_domain: dict[str, deque[float]] = field(default_factory=dict)
    _ring_by_service: dict[str, HashRing] = field(default_factory=dict)
    _removed_ms_by_service: dict[str, float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._upstream_by_instance)

    def get(self, instance: str) -> Upstream | None:
        """Return one upstream, or None if it is not listed."""
        return self._upstream_by_instance.get(instance)

    def update(self, record: UpstreamRecord) -> Upstream | None:
        """Add or update an upstream; return the one that it replaces.

        A record of an older incarnation at a known address is ignored.
        """
        listed = self._upstream_by_instance.get(record.instance)
        if listed is not None and _is_same_incarnation(listed.record, record):
            listed.record = record
            listed.is_unlisted = False
            return None
        replaced = listed or self._at_address(record)
        if replaced is not None:
            if replaced.record.started_ms > record.started_ms:
                return None
            self.remove(replaced.record.instance)
        upstream = Upstream(record, listed_ms=self.clock.now_ms())
        self._upstream_by_instance[record.instance] = upstream
        self._instance_by_address[record.address] = record.instance
        self._ring(record.service).add(record.address)
        return replaced

    def remove(self, instance: str) -> Upstream | None:
        """Remove an upstream and return it, or None if it is not listed."""
        upstream = self._upstream_by_instance.pop(instance, None)
        if upstream is not None:
            address = upstream.address
            self._instance_by_address.pop(address)
            service = upstream.record.service
            self._ring(service).remove(address)
            self._removed_ms_by_service[service] = self.clock.now_ms()
        return upstream

    def record_unlisted(self, instance: str) -> None:
        """Suspect an upstream that became unlisted in an outage."""
        upstream = self._upstream_by_instance.get(instance)
        if upstream is not None:
            upstream.is_unlisted = True

    def instances(self) -> frozenset[str]:
        """Return the identifiers of all listed upstreams."""
        return frozenset(self._upstream_by_instance)

    def lacks_service(self, service: str) -> bool:
        """Return whether the store is known to list no upstream of a service.

        Draining upstreams count as listed, since others may replace them, and
        so do those removed within `REPLACEMENT_MS`.
        """
        removed_ms = self._removed_ms_by_service.get(service, -math.inf)
        if not self.is_loaded or (
            self.clock.now_ms() - removed_ms < REPLACEMENT_MS
        ):
            return False
        return not any(
            upstream.record.service == service
            for upstream in self._upstream_by_instance.values()
        )

    def of_service(self, service: str) -> Iterator[Upstream]:
        """Yield the upstreams of one service that accept new requests."""
        for upstream in self._upstream_by_instance.values():
            if _accepts_requests(upstream, service):
                yield upstream

    def by_affinity(self, service: str, key: bytes) -> Iterator[Upstream]:
        """Yield a service's upstreams in the order preferred by a key.

        The order depends on addresses only, so restarts do not change it.
        """
        for address in self._ring(service).walk(key):
            instance = self._instance_by_address.get(address, '')
            upstream = self._upstream_by_instance.get(instance)
            if upstream is not None and _accepts_requests(upstream, service):
                yield upstream

    def record_lost(self, upstream: Upstream) -> None:
        """Mark an upstream lost.

        It is lost until it sends something or `LOST_RETRY_MS` passes.
        """
        now_ms = self.clock.now_ms()
        domain = upstream.record.failure_domain
        losses = self._losses_by_domain.setdefault(domain, deque())
        if not self.is_lost(upstream):
            losses.append(now_ms)
        while losses and losses[0] < now_ms - DOMAIN_LOSS_WINDOW_MS:
            losses.popleft()
        upstream.lost_ms = now_ms

    def record_heard(self, upstream: Upstream) -> None:
        """Record that an upstream sent something."""
        upstream.heard_ms = self.clock.now_ms()
        upstream.lost_ms = 0

    def record_outcome(self, upstream: Upstream, *, failed: bool) -> None:
        """Add an outcome to the average of failures."""
        share = self.decayed_failure_share(upstream)
        share += _OUTCOME_WEIGHT * (float(failed) - share)
        upstream.failure_share = share
        upstream.outcome_ms = self.clock.now_ms()

    def decayed_failure_share(self, upstream: Upstream) -> float:
        """Return the average of recent failures, which decays with time."""
        if not upstream.failure_share:
            return 0
        age_ms = self.clock.now_ms() - upstream.outcome_ms
        decayed: float = 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)
        return upstream.failure_share * decayed

    def is_lost(self, upstream: Upstream) -> bool:
        """Return whether an upstream is marked lost and not tried again yet."""
        if not upstream.lost_ms:
            return False
        return self.clock.now_ms() - upstream.lost_ms < LOST_RETRY_MS

    def is_suspected(self, upstream: Upstream) -> bool:
        """Return whether an upstream may have ended or be lost.

        It is suspected while it is unlisted, or after several losses in its
        failure domain until it sends something or the losses are older than
        `DOMAIN_LOSS_WINDOW_MS`.
        """
        if upstream.is_unlisted:
            return True
        losses = self._losses_by_domain.get(upstream.record.failure_domain)
        if not losses:
            return False
        start_ms = self.clock.now_ms() - DOMAIN_LOSS_WINDOW_MS
        recent = [lost_ms for lost_ms in losses if lost_ms >= start_ms]
        if len(recent) < DOMAIN_LOSSES_MIN:
            return False
        return max(upstream.heard_ms, upstream.listed_ms) < recent[0]

    def _ring(self, service: str) -> HashRing:
        return self._ring_by_service.setdefault(service, HashRing(()))

    def _at_address(self, record: UpstreamRecord) -> Upstream | None:
        instance = self._instance_by_address.get(record.address, '')
        return self._upstream_by_instance.get(instance)


def _accepts_requests(upstream: Upstream, service: str) -> bool:
    record = upstream.record
    return record.state is UpstreamState.READY and record.service == service


def _is_same_incarnation(
    listed: UpstreamRecord, updated: UpstreamRecord
) -> bool:
    return (listed.address, listed.service, listed.started_ms) == (
        updated.address,
        updated.service,
        updated.started_ms,
    )
