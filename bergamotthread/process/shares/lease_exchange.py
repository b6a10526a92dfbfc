"""Exchange of leases between an entry and the home entries of limits."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.process.overload.byte_budget import ByteBudget
from bergamotthread.process.shares.leased_share import (
    FloorFraction,
    LeasedShare,
    floor_fraction,
)
from bergamotthread.process.shares.share_home import (
    DEMAND_HEADROOM,
    TEAM_LEASE_TIMES,
    LeaseTimes,
    ShareHome,
)
from bergamotthread.wire.messages import (
    Envelope,
    GrantedShare,
    ShareDemand,
    ShareGrants,
    ShareRequests,
)

# Ticks that are this far apart mean that the process was paused.
PAUSE_DETECTION_MS = 2000
CLEANUP_INTERVAL_MS = 10_000
SHARE_BYTES_PER_S = 6144
SHARE_BURST_BYTES = 12_288
# Part of the burst that is kept for answers to the requests of other entries.
ANSWER_RESERVE_BYTES = 4096
# No lease is requested for demand up to this fraction of the floor.
FLOOR_DEMAND_FRACTION = 0.5
# A lease is reduced early if less than this fraction of it is needed.
MIN_USED_LEASE_FRACTION = 0.7


@dataclass(frozen=True)
class ExchangePolicy:
    """Durations and sizes of the messages about one kind of limit.

    Parameters
    ----------
    tick_ms
        Interval between checks for leases that are due.
    renew_ms, renew_urgent_ms, renew_waiting_ms
        Interval between requests for a lease, the same while the entry needs
        more than it holds or far less, and the shortest while it holds none.
    message_bytes, share_bytes
        Estimated size of a message, and of each share in it.
    waiting_ms_per_entry
        The interval while an entry holds none is at least this for each entry,
        which bounds the requests that reach one home.
    floor_fraction_of
        Returns the fraction that so many entries split equally.
    """

    times: LeaseTimes
    tick_ms: float
    renew_ms: float
    renew_urgent_ms: float
    renew_waiting_ms: float
    message_bytes: int
    share_bytes: int
    waiting_ms_per_entry: float = 0
    floor_fraction_of: FloorFraction = floor_fraction


TEAM_POLICY = ExchangePolicy(
    TEAM_LEASE_TIMES,
    tick_ms=1000,
    renew_ms=5000,
    renew_urgent_ms=2000,
    renew_waiting_ms=2000,
    message_bytes=90,
    share_bytes=28,
)


class EntryView(Protocol):
    """View of the membership that the limits depend on."""

    def responsive_entries(self) -> tuple[str, ...]:
        """Return the responsive entries, including the own one."""

    def reachable_fraction(self) -> float:
        """Return the fraction of all entries that respond."""


class LeasedUsage(Protocol):
    """Use of one limit at this entry."""

    share: LeasedShare

    @property
    def least(self) -> float:
        """Return the smallest share that is worth a lease."""

    def wanted(self, now_ms: float) -> float:
        """Return the share of the limit that the demand here requires."""

    def wanted_per_s(self, now_ms: float) -> float:
        """Return the demand here in requests per second."""

    def held(self, now_ms: float) -> float:
        """Return the share in use beyond the equal part."""

    def needs_lease(self, now_ms: float) -> bool:
        """Return whether the equal part is being used up."""

    def is_idle(self, now_ms: float) -> bool:
        """Return whether the limit can be removed without loss of state."""

    def set_lease(self, share: float, until_ms: float, now_ms: float) -> None:
        """Replace the leased share."""

    def reduce_lease(self, share: float, now_ms: float) -> None:
        """Reduce the leased share to at most `share`."""

    def set_entry_count(self, entry_count: int, now_ms: float) -> None:
        """Apply another number of entries."""


@dataclass
class _Request:
    sequence: int
    sent_ms: float


_Usage = TypeVar('_Usage', bound=LeasedUsage)


class LeaseExchange(Generic[_Usage]):
    """Requests leases for the limits in use, and grants them as their home.

    Parameters
    ----------
    transport
        Sends requests and grants.
    clock
        Clock of the process.
    view
        View of the membership.
    policy
        Durations and sizes of the messages.
    usage_by_name
        Use of each limit at this entry.
    unsent
        Messages that were not sent for lack of bytes.
    """

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        view: EntryView,
        policy: ExchangePolicy = TEAM_POLICY,
    ) -> None:
        now_ms = clock.now_ms()
        self.home = ShareHome(transport.address, now_ms, policy.times)
        self.usage_by_name: dict[str, _Usage] = {}
        self.unsent = 0
        self._transport = transport
        self._clock = clock
        self._view = view
        self._policy = policy
        self._request_by_home: dict[str, _Request] = {}
        self._active: set[str] = set()
        self._requested_ms_by_name: dict[str, float] = {}
        self._last_request_by_entry: dict[str, tuple[int, int]] = {}
        self._budget = ByteBudget(SHARE_BYTES_PER_S, SHARE_BURST_BYTES, now_ms)
        self._ticked_ms = now_ms

    @property
    def entry_count(self) -> int:
        """Return the number of entries that split the limits."""
        responsive_count = len(self._view.responsive_entries())
        return math.ceil(
            responsive_count / max(self._view.reachable_fraction(), 1e-3)
        )

    def record_active(self, name: str) -> None:
        """Record that a limit is in use here."""
        self._active.add(name)

    def on_message(self, envelope: Envelope) -> None:
        """Handle a message about shares; other messages are ignored."""
        match envelope.message:
            case ShareRequests() as requests:
                self._answer(envelope, requests)
            case ShareGrants() as grants:
                self._apply_grants(envelope.sender, grants)

    def record_suspected(self) -> None:
        """Record that other entries may have suspected this one for a while."""
        self.home.record_suspected(self._clock.now_ms())

    async def run(self) -> None:
        """Renew leases until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep_ms(self._policy.tick_ms)

    def tick(self) -> None:
        """Request the leases that are due.

        Idle limits are removed every `CLEANUP_INTERVAL_MS`.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._ticked_ms >= PAUSE_DETECTION_MS:
            self.record_suspected()
        if (
            now_ms // CLEANUP_INTERVAL_MS
            != self._ticked_ms // CLEANUP_INTERVAL_MS
        ):
            self._remove_idle(now_ms)
        self._ticked_ms = now_ms
        self.home.apply_view(self._view.responsive_entries(), now_ms)
        demands_by_home: dict[str, list[ShareDemand]] = {}
        for name in self._due_names(now_ms):
            usage = self.usage_by_name[name]
            demands_by_home.setdefault(self.home.home(name), []).append(
                _reduced_demand(name, usage, now_ms)
            )
        for home, demands in demands_by_home.items():
            self._request_leases(home, tuple(demands), now_ms)

    def _due_names(self, now_ms: float) -> list[str]:
        """Return the limits whose lease is due, in order of falling demand.

        Limits that need no lease are removed from the active ones.
        """
        due = []
        for name in tuple(self._active):
            usage = self.usage_by_name.get(name)
            if usage is None or not _wants_lease(usage, now_ms):
                self._active.discard(name)
            elif self._is_due(name, usage, now_ms):
                due.append((usage.wanted_per_s(now_ms), name))
        return [due_name for _, due_name in sorted(due, reverse=True)]

    def _is_due(self, name: str, usage: LeasedUsage, now_ms: float) -> bool:
        requested_ms = self._requested_ms_by_name.get(name, -math.inf)
        wanted = usage.wanted(now_ms)
        held = usage.held(now_ms)
        is_short = wanted > held + usage.share.floor
        has_surplus = wanted * DEMAND_HEADROOM < held * MIN_USED_LEASE_FRACTION
        is_urgent = usage.share.contended or is_short or has_surplus
        policy = self._policy
        interval_ms = policy.renew_urgent_ms if is_urgent else policy.renew_ms
        if not held:
            interval_ms = max(
                interval_ms,
                policy.renew_waiting_ms,
                policy.waiting_ms_per_entry * self.entry_count,
            )
        return now_ms - requested_ms >= interval_ms

    def _request_leases(
        self,
        home: str,
        demands: tuple[ShareDemand, ...],
        now_ms: float,
    ) -> None:
        if home == self._transport.address:
            for demand in demands:
                share = self._grant(home, demand)
                self._apply_share(share, self._lease_ms, now_ms)
                self._requested_ms_by_name[demand.name] = now_ms
            return
        if not self._may_request(len(demands), now_ms):
            return
        previous = self._request_by_home.get(home)
        sequence = previous.sequence + 1 if previous else 1
        self._request_by_home[home] = _Request(sequence, now_ms)
        for demand in demands:
            self._requested_ms_by_name[demand.name] = now_ms
        self._transport.send(home, ShareRequests(sequence, demands))

    def _answer(self, envelope: Envelope, requests: ShareRequests) -> None:
        stamp = (envelope.incarnation, requests.sequence)
        if stamp <= self._last_request_by_entry.get(envelope.sender, (0, 0)):
            return
        self._last_request_by_entry[envelope.sender] = stamp
        if not self._may_send(len(requests.demands), self._clock.now_ms()):
            return
        shares = tuple(
            self._grant(envelope.sender, demand) for demand in requests.demands
        )
        grants = ShareGrants(requests.sequence, self._lease_ms, shares)
        self._transport.send(envelope.sender, grants)

    def _grant(self, entry: str, demand: ShareDemand) -> GrantedShare:
        reachable_fraction = self._view.reachable_fraction()
        floor = self._policy.floor_fraction_of(self.entry_count)
        pool = (1 - floor) * reachable_fraction
        return self.home.grant(entry, demand, pool, self._clock.now_ms())

    def _apply_grants(self, home: str, grants: ShareGrants) -> None:
        request = self._request_by_home.get(home)
        if request is None or request.sequence != grants.sequence:
            return
        for share in grants.shares:
            self._apply_share(share, grants.lease_ms, request.sent_ms)

    def _apply_share(
        self,
        share: GrantedShare,
        lease_ms: float,
        from_ms: float,
    ) -> None:
        usage = self.usage_by_name.get(share.name)
        if usage is not None:
            usage.share.contended = share.contended
            now_ms = self._clock.now_ms()
            usage.set_lease(share.share, from_ms + lease_ms, now_ms)

    def _may_request(self, name_count: int, now_ms: float) -> bool:
        byte_count = self._byte_count(name_count)
        remaining_bytes = self._budget.available(now_ms) - byte_count
        if remaining_bytes >= ANSWER_RESERVE_BYTES:
            return self._may_send(name_count, now_ms)
        self.unsent += 1
        return False

    def _may_send(self, name_count: int, now_ms: float) -> bool:
        if self._budget.try_spend(self._byte_count(name_count), now_ms):
            return True
        self.unsent += 1
        return False

    def _remove_idle(self, now_ms: float) -> None:
        self.home.remove_idle(now_ms)
        entry_count = self.entry_count
        for name, usage in tuple(self.usage_by_name.items()):
            usage.set_entry_count(entry_count, now_ms)
            if usage.is_idle(now_ms):
                self.usage_by_name.pop(name)
                self._requested_ms_by_name.pop(name, None)

    @property
    def _lease_ms(self) -> float:
        return self._policy.times.lease_ms

    def _byte_count(self, name_count: int) -> int:
        policy = self._policy
        return policy.message_bytes + policy.share_bytes * name_count


def _wants_lease(usage: LeasedUsage, now_ms: float) -> bool:
    return usage.held(now_ms) > 0 or usage.needs_lease(now_ms)


def _reduced_demand(
    name: str, usage: LeasedUsage, now_ms: float
) -> ShareDemand:
    """Return the demand for a limit, after reducing its lease to that."""
    wanted = usage.wanted(now_ms)
    if wanted <= usage.share.floor * FLOOR_DEMAND_FRACTION:
        wanted = 0
    usage.reduce_lease(wanted * DEMAND_HEADROOM, now_ms)
    return ShareDemand(name, wanted, usage.held(now_ms), usage.least)
