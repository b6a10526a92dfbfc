"""Leases of a limit, granted by the home entry of the limit."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from bergamotthread.process.routing.subset import top_nodes
from bergamotthread.wire.messages import GrantedShare, ShareDemand

SHARE_LEASE_MS = 10_000
# Views of the membership may differ between entries for this long.
VIEW_LAG_MS = 10_000
LEASE_HOLD_MS = SHARE_LEASE_MS + VIEW_LAG_MS
# Leases are granted for this multiple of the demand.
DEMAND_HEADROOM = 1.25
# Entries that hold a lease of the same limit, if it has a least share: half as
# many as there are least shares in it, and these. Each of them may have saved
# a request, see `RateUsage`.
HOLDERS_MAX = 3


@dataclass(frozen=True)
class LeaseTimes:
    """Durations that leases depend on, in milliseconds.

    Parameters
    ----------
    lease_ms
        Time for which a lease is valid.
    view_lag_ms
        Time for which views of the membership may differ between entries.
    """

    lease_ms: float
    view_lag_ms: float

    @property
    def hold_ms(self) -> float:
        """Return for how long a lease that isn't renewed stays counted."""
        return self.lease_ms + self.view_lag_ms


TEAM_LEASE_TIMES = LeaseTimes(SHARE_LEASE_MS, VIEW_LAG_MS)


def home_of(name: str, entries: Sequence[str]) -> str:
    """Return the entry that leases the limit of a name."""
    return top_nodes(entries, name, 1)[0]


@dataclass
class _Lease:
    share: float
    wanted: float
    until_ms: float


@dataclass
class _NamedLeases:
    renewal_only_until_ms: float
    lease_by_entry: dict[str, _Lease] = field(default_factory=dict)


@dataclass
class _View:
    entries: tuple[str, ...]
    replaced_ms: float


class ShareHome:
    """Leases that this entry has granted for the limits it is the home of.

    No lease is granted that would raise the sum of a limit's leases above its
    pool. A lease that isn't renewed stays counted for `LeaseTimes.hold_ms`,
    which is longer than it is valid, since views of the membership may differ
    for a while. For that time a new home only renews what entries report to
    hold.

    Parameters
    ----------
    own
        Address of this entry.
    now_ms
        Monotonic time.
    times
        Durations of the leases.
    """

    def __init__(
        self, own: str, now_ms: float, times: LeaseTimes = TEAM_LEASE_TIMES
    ) -> None:
        self._own = own
        self._times = times
        self._started_ms = now_ms
        self._entries: tuple[str, ...] = (own,)
        self._past_views: list[_View] = []
        self._leases_by_name: dict[str, _NamedLeases] = {}
        self._home_by_name: dict[str, str] = {}

    @property
    def is_granting(self) -> bool:
        """Return whether leases of a limit are known."""
        return bool(self._leases_by_name)

    def apply_view(self, entries: tuple[str, ...], now_ms: float) -> None:
        """Set the entries that can be homes."""
        if entries == self._entries:
            return
        self._past_views = [
            view
            for view in self._past_views
            if now_ms - view.replaced_ms < self._times.hold_ms
        ]
        self._past_views.append(_View(self._entries, now_ms))
        self._entries = entries
        self._home_by_name.clear()

    def record_suspected(self, now_ms: float) -> None:
        """Only renew for the time of a hold; others may have taken over."""
        self._started_ms = now_ms
        for leases in self._leases_by_name.values():
            leases.renewal_only_until_ms = now_ms + self._times.hold_ms

    def home(self, name: str) -> str:
        """Return the home of a limit in the current view."""
        home = self._home_by_name.get(name)
        if home is None:
            home = home_of(name, self._entries or (self._own,))
            self._home_by_name[name] = home
        return home

    def grant(
        self,
        entry: str,
        demand: ShareDemand,
        pool: float,
        now_ms: float,
    ) -> GrantedShare:
        """Return the share that an entry is leased now.

        The share is 0 if this entry is not the home of the limit.

        Parameters
        ----------
        entry
            Address of the entry that requests it.
        demand
            Shares that the entry wants and holds.
        pool
            Fraction of the limit that may be leased in total. It shrinks with
            the fraction of entries that respond to this one, so that both
            sides of a partition together stay within the limits.
        now_ms
            Monotonic time.
        """
        if self.home(demand.name) != self._own:
            return GrantedShare(demand.name, 0)
        leases = self._leases(demand.name, now_ms)
        others = _remove_expired(leases, entry, now_ms)
        free = _free(pool, others, demand)
        wanted = max(0, demand.wanted) * DEMAND_HEADROOM
        fair_level = _fair_level(
            pool, [wanted, *(lease.wanted for lease in others)]
        )
        share = min(wanted, max(fair_level, demand.least), free)
        if now_ms < leases.renewal_only_until_ms:
            share = min(share, demand.held)
        counted = max(share, demand.held)
        leases.lease_by_entry[entry] = _Lease(
            counted, wanted, now_ms + self._times.hold_ms
        )
        return GrantedShare(demand.name, share, contended=share < wanted)

    def leased(self, name: str, now_ms: float) -> float:
        """Return the sum of the shares counted as leased."""
        leases = self._leases_by_name.get(name)
        if leases is None:
            return 0
        return sum(
            lease.share
            for lease in leases.lease_by_entry.values()
            if lease.until_ms > now_ms
        )

    def remove_idle(self, now_ms: float) -> None:
        """Remove limits without leases that are past renewal-only time."""
        for name, leases in tuple(self._leases_by_name.items()):
            _remove_expired(leases, '', now_ms)
            is_idle = not leases.lease_by_entry
            if is_idle and now_ms >= leases.renewal_only_until_ms:
                self._leases_by_name.pop(name)

    def _leases(self, name: str, now_ms: float) -> _NamedLeases:
        leases = self._leases_by_name.get(name)
        if leases is None:
            until_ms = self._renewal_only_until_ms(name, now_ms)
            leases = _NamedLeases(until_ms)
            self._leases_by_name[name] = leases
        return leases

    def _renewal_only_until_ms(self, name: str, now_ms: float) -> float:
        hold_ms = self._times.hold_ms
        until_ms = self._started_ms + hold_ms
        for view in self._past_views:
            if now_ms - view.replaced_ms >= hold_ms:
                continue
            if home_of(name, view.entries) != self._own:
                until_ms = max(until_ms, view.replaced_ms + hold_ms)
        return until_ms


def _remove_expired(
    leases: _NamedLeases,
    entry: str,
    now_ms: float,
) -> list[_Lease]:
    others = []
    for holder, lease in tuple(leases.lease_by_entry.items()):
        if lease.until_ms <= now_ms:
            leases.lease_by_entry.pop(holder)
        elif holder != entry:
            others.append(lease)
    return others


def _free(pool: float, others: list[_Lease], demand: ShareDemand) -> float:
    """Return the share that is left beside the leases of others."""
    if demand.least and not demand.held:
        holders = sum(lease.share > 0 for lease in others)
        if holders + 1 > HOLDERS_MAX + 1 / (2 * demand.least):
            return 0
    return max(0, pool - sum(lease.share for lease in others))


def _fair_level(pool: float, wanted: list[float]) -> float:
    """Return the max-min fair level at which the demands fill the pool."""
    remaining = pool
    ascending = sorted(wanted)
    for index, share in enumerate(ascending):
        level = remaining / (len(ascending) - index)
        if share >= level:
            return level
        remaining -= share
    return pool
