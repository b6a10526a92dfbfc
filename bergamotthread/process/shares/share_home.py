"""Leases of a team's limits, granted by the home entry of the team."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from bergamotthread.process.routing.subset import top_nodes
from bergamotthread.wire.messages import TeamDemand, TeamShare

SHARE_LEASE_MS = 10_000
# Views of the membership may differ between entries for this long.
VIEW_LAG_MS = 10_000
LEASE_HOLD_MS = SHARE_LEASE_MS + VIEW_LAG_MS
# Leases are granted for this multiple of the demand.
DEMAND_HEADROOM = 1.25


def home_of(team: str, entries: Sequence[str]) -> str:
    """Return the entry that leases the limits of a team."""
    return top_nodes(entries, team, 1)[0]


@dataclass
class _Lease:
    share: float
    wanted: float
    until_ms: float


@dataclass
class _TeamLeases:
    renewal_only_until_ms: float
    lease_by_entry: dict[str, _Lease] = field(default_factory=dict)


@dataclass
class _View:
    entries: tuple[str, ...]
    replaced_ms: float


class ShareHome:
    """Leases that this entry has granted for the teams it is the home of.

    No lease is granted that would raise the sum of a team's leases above the
    team's pool. A lease that isn't renewed stays counted for `LEASE_HOLD_MS`,
    which is ten seconds longer than it is valid, since views of the membership
    may differ for that long. For its first `LEASE_HOLD_MS` a new home only
    renews what entries report to hold.

    Parameters
    ----------
    own
        Address of this entry.
    now_ms
        Monotonic time.
    """

    def __init__(self, own: str, now_ms: float) -> None:
        self._own = own
        self._started_ms = now_ms
        self._entries: tuple[str, ...] = (own,)
        self._past_views: list[_View] = []
        self._leases_by_team: dict[str, _TeamLeases] = {}
        self._home_by_team: dict[str, str] = {}

    def apply_view(self, entries: tuple[str, ...], now_ms: float) -> None:
        """Set the entries that can be homes."""
        if entries == self._entries:
            return
        self._past_views = [
            view
            for view in self._past_views
            if now_ms - view.replaced_ms < LEASE_HOLD_MS
        ]
        self._past_views.append(_View(self._entries, now_ms))
        self._entries = entries
        self._home_by_team.clear()

    def record_suspected(self, now_ms: float) -> None:
        """Only renew for `LEASE_HOLD_MS`; others may have taken over."""
        self._started_ms = now_ms
        for leases in self._leases_by_team.values():
            leases.renewal_only_until_ms = now_ms + LEASE_HOLD_MS

    def home(self, team: str) -> str:
        """Return the home of a team in the current view."""
        home = self._home_by_team.get(team)
        if home is None:
            home = home_of(team, self._entries or (self._own,))
            self._home_by_team[team] = home
        return home

    def grant(
        self,
        entry: str,
        demand: TeamDemand,
        pool: float,
        now_ms: float,
    ) -> TeamShare:
        """Return the share that an entry is leased now.

        The share is 0 if this entry is not the home of the team.

        Parameters
        ----------
        entry
            Address of the entry that requests it.
        demand
            Shares that the entry wants and holds.
        pool
            Fraction of the limits that may be leased in total. It shrinks with
            the fraction of entries that respond to this one, so that both
            sides of a partition together stay within the limits.
        now_ms
            Monotonic time.
        """
        if self.home(demand.team) != self._own:
            return TeamShare(demand.team, 0)
        leases = self._leases(demand.team, now_ms)
        others = _remove_expired(leases, entry, now_ms)
        free = max(0, pool - sum(lease.share for lease in others))
        wanted = max(0, demand.wanted) * DEMAND_HEADROOM
        fair_level = _fair_level(
            pool, [wanted, *(lease.wanted for lease in others)]
        )
        share = min(wanted, fair_level, free)
        if now_ms < leases.renewal_only_until_ms:
            share = min(share, demand.held)
        counted = max(share, demand.held)
        leases.lease_by_entry[entry] = _Lease(
            counted, wanted, now_ms + LEASE_HOLD_MS
        )
        return TeamShare(demand.team, share, contended=share < wanted)

    def leased(self, team: str, now_ms: float) -> float:
        """Return the sum of the shares counted as leased."""
        leases = self._leases_by_team.get(team)
        if leases is None:
            return 0
        return sum(
            lease.share
            for lease in leases.lease_by_entry.values()
            if lease.until_ms > now_ms
        )

    def remove_idle(self, now_ms: float) -> None:
        """Remove teams that have no leases and are past renewal-only time."""
        for team, leases in tuple(self._leases_by_team.items()):
            _remove_expired(leases, '', now_ms)
            is_idle = not leases.lease_by_entry
            if is_idle and now_ms >= leases.renewal_only_until_ms:
                self._leases_by_team.pop(team)

    def _leases(self, team: str, now_ms: float) -> _TeamLeases:
        leases = self._leases_by_team.get(team)
        if leases is None:
            until_ms = self._renewal_only_until_ms(team, now_ms)
            leases = _TeamLeases(until_ms)
            self._leases_by_team[team] = leases
        return leases

    def _renewal_only_until_ms(self, team: str, now_ms: float) -> float:
        until_ms = self._started_ms + LEASE_HOLD_MS
        for view in self._past_views:
            if now_ms - view.replaced_ms >= LEASE_HOLD_MS:
                continue
            if home_of(team, view.entries) != self._own:
                until_ms = max(until_ms, view.replaced_ms + LEASE_HOLD_MS)
        return until_ms


def _remove_expired(
    leases: _TeamLeases,
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
