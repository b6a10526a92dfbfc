"""Limits of teams across entries, as shares leased from home entries."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.errors import Step
from bergamotthread.process.overload.byte_budget import ByteBudget
from bergamotthread.process.shares.share_home import (
    DEMAND_HEADROOM,
    SHARE_LEASE_MS,
    ShareHome,
)
from bergamotthread.process.shares.share_usage import (
    ExceededLimit,
    ShareUsage,
    floor_fraction,
)
from bergamotthread.request.refusal import Ran, ReasonCode, Refusal
from bergamotthread.version.objects import Team
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import (
    Envelope,
    ShareGrants,
    ShareRequests,
    TeamDemand,
    TeamShare,
)

SHARE_TICK_MS = 1000
RENEW_INTERVAL_MS = 5000
RENEW_URGENT_INTERVAL_MS = 2000
# Ticks that are this far apart mean that the process was paused.
PAUSE_DETECTION_MS = 2000
CLEANUP_INTERVAL_MS = 10_000
SHARE_BYTES_PER_S = 6144
SHARE_BURST_BYTES = 12_288
# Part of the burst that is kept for answers to the requests of other entries.
ANSWER_RESERVE_BYTES = 4096
# Estimated size of a message, and of each team in it.
SHARE_MESSAGE_BYTES = 90
TEAM_BYTES = 28
# No lease is requested for demand up to this fraction of the floor.
FLOOR_DEMAND_FRACTION = 0.5
# A lease is reduced early if less than this fraction of it is needed.
MIN_USED_LEASE_FRACTION = 0.7


class EntryView(Protocol):
    """View of the membership that the limits depend on."""

    def responsive_entries(self) -> tuple[str, ...]:
        """Return the responsive entries, including the own one."""

    def reachable_fraction(self) -> float:
        """Return the fraction of all entries that respond."""


@dataclass
class _Request:
    sequence: int
    sent_ms: float


@dataclass
class ShareCounters:
    """Counts of events since the start, for metrics."""

    admitted: int = 0
    refused: int = 0
    unsent: int = 0


class TeamLimits:
    """Admits requests within the limits of their teams.

    Parameters
    ----------
    transport
        Sends requests and grants.
    clock
        Clock of the process.
    view
        View of the membership.
    """

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        view: EntryView,
    ) -> None:
        now_ms = clock.now_ms()
        self.counters = ShareCounters()
        self.home = ShareHome(transport.address, now_ms)
        self._transport = transport
        self._clock = clock
        self._view = view
        self._version: PublishedVersion | None = None
        self._usage_by_team: dict[str, ShareUsage] = {}
        self._request_by_home: dict[str, _Request] = {}
        self._active: set[str] = set()
        self._requested_ms_by_team: dict[str, float] = {}
        self._last_request_by_entry: dict[str, tuple[int, int]] = {}
        self._budget = ByteBudget(SHARE_BYTES_PER_S, SHARE_BURST_BYTES, now_ms)
        self._ticked_ms = now_ms

    def apply_version(self, version: PublishedVersion) -> None:
        """Apply the limits of a published version."""
        self._version = version
        now_ms = self._clock.now_ms()
        entry_count = self._entry_count()
        for name, usage in tuple(self._usage_by_team.items()):
            team = version.teams_by_name.get(name)
            if team is None:
                self._usage_by_team.pop(name)
            else:
                usage.resize(team, entry_count, now_ms)

    def try_admit(self, team: str, cost: float = 1) -> Refusal | None:
        """Count a request that starts, or return why it is refused.

        Parameters
        ----------
        team
            Name of the team.
        cost
            Units of the team's rate that the request takes.

        Returns
        -------
        Refusal or None
            None if the request may start; `release` ends it.
        """
        published = (
            self._version.teams_by_name.get(team) if self._version else None
        )
        if published is None:
            return _unknown_team(team)
        usage = self._usage(published)
        self._active.add(team)
        shortage = usage.try_start(cost, self._clock.now_ms())
        if shortage is None:
            self.counters.admitted += 1
            return None
        self.counters.refused += 1
        return self._refusal(published, shortage)

    def release(self, team: str) -> None:
        """Record the end of an admitted request."""
        usage = self._usage_by_team.get(team)
        if usage is not None:
            usage.release(self._clock.now_ms())

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
            await self._clock.sleep_ms(SHARE_TICK_MS)

    def tick(self) -> None:
        """Request the leases that are due.

        Idle teams are removed every `CLEANUP_INTERVAL_MS`.
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
        demands_by_home: dict[str, list[TeamDemand]] = {}
        for name in self._due_teams(now_ms):
            usage = self._usage_by_team[name]
            demands_by_home.setdefault(self.home.home(name), []).append(
                _demand(name, usage, now_ms)
            )
        for home, demands in demands_by_home.items():
            self._request_leases(home, tuple(demands), now_ms)

    def _due_teams(self, now_ms: float) -> list[str]:
        """Return the teams whose lease is due, in order of falling demand.

        Teams that need no lease are removed from the active ones.
        """
        due = []
        for name in tuple(self._active):
            usage = self._usage_by_team.get(name)
            if usage is None or not _wants_lease(usage, now_ms):
                self._active.discard(name)
            elif self._is_due(name, usage, now_ms):
                due.append((usage.wanted_per_s(now_ms), name))
        return [team for _, team in sorted(due, reverse=True)]

    def _usage(self, team: Team) -> ShareUsage:
        usage = self._usage_by_team.get(team.name)
        if usage is None:
            now_ms = self._clock.now_ms()
            usage = ShareUsage(team, self._entry_count(), now_ms)
            self._usage_by_team[team.name] = usage
        return usage

    def _entry_count(self) -> int:
        responsive_count = len(self._view.responsive_entries())
        return math.ceil(
            responsive_count / max(self._view.reachable_fraction(), 1e-3)
        )

    def _is_due(self, name: str, usage: ShareUsage, now_ms: float) -> bool:
        requested_ms = self._requested_ms_by_team.get(name, -math.inf)
        wanted = usage.wanted(now_ms)
        held = usage.held(now_ms)
        is_short = wanted > held + usage.floor
        has_surplus = wanted * DEMAND_HEADROOM < held * MIN_USED_LEASE_FRACTION
        is_urgent = usage.contended or is_short or has_surplus
        interval_ms = (
            RENEW_URGENT_INTERVAL_MS if is_urgent else RENEW_INTERVAL_MS
        )
        return now_ms - requested_ms >= interval_ms

    def _request_leases(
        self,
        home: str,
        demands: tuple[TeamDemand, ...],
        now_ms: float,
    ) -> None:
        if home == self._transport.address:
            for demand in demands:
                self._apply_share(
                    self._grant(home, demand), SHARE_LEASE_MS, now_ms
                )
                self._requested_ms_by_team[demand.team] = now_ms
            return
        if not self._may_request(len(demands), now_ms):
            return
        previous = self._request_by_home.get(home)
        sequence = previous.sequence + 1 if previous else 1
        self._request_by_home[home] = _Request(sequence, now_ms)
        for demand in demands:
            self._requested_ms_by_team[demand.team] = now_ms
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
        grants = ShareGrants(requests.sequence, SHARE_LEASE_MS, shares)
        self._transport.send(envelope.sender, grants)

    def _grant(self, entry: str, demand: TeamDemand) -> TeamShare:
        reachable_fraction = self._view.reachable_fraction()
        pool = (1 - floor_fraction(self._entry_count())) * reachable_fraction
        return self.home.grant(entry, demand, pool, self._clock.now_ms())

    def _apply_grants(self, home: str, grants: ShareGrants) -> None:
        request = self._request_by_home.get(home)
        if request is None or request.sequence != grants.sequence:
            return
        for share in grants.shares:
            self._apply_share(share, grants.lease_ms, request.sent_ms)

    def _apply_share(
        self,
        share: TeamShare,
        lease_ms: float,
        from_ms: float,
    ) -> None:
        usage = self._usage_by_team.get(share.team)
        if usage is not None:
            usage.contended = share.contended
            now_ms = self._clock.now_ms()
            usage.set_lease(share.share, from_ms + lease_ms, now_ms)

    def _may_request(self, team_count: int, now_ms: float) -> bool:
        remaining_bytes = self._budget.available(now_ms) - _byte_count(
            team_count
        )
        if remaining_bytes >= ANSWER_RESERVE_BYTES:
            return self._may_send(team_count, now_ms)
        self.counters.unsent += 1
        return False

    def _may_send(self, team_count: int, now_ms: float) -> bool:
        if self._budget.try_spend(_byte_count(team_count), now_ms):
            return True
        self.counters.unsent += 1
        return False

    def _remove_idle(self, now_ms: float) -> None:
        self.home.remove_idle(now_ms)
        entry_count = self._entry_count()
        for name, usage in tuple(self._usage_by_team.items()):
            usage.resize(usage.team, entry_count, now_ms)
            if usage.is_idle(now_ms):
                self._usage_by_team.pop(name)
                self._requested_ms_by_team.pop(name, None)

    def _refusal(self, team: Team, shortage: ExceededLimit) -> Refusal:
        limit = getattr(team, shortage.limit_name)
        return Refusal(
            reason=ReasonCode.OVER_LIMIT,
            detail=(
                f'team {team.name} is over its {shortage.limit_name}'
                f' of {limit}; {shortage.allowed:.3g} are leased to this entry'
            ),
            step=Step.ADMIT,
            ran=Ran.NOT_RUN,
            config_version=self._version.version if self._version else 0,
            decided_by=f'teams/{team.name}',
            retry_after_ms=shortage.retry_after_ms,
            figures={
                shortage.limit_name: limit,
                f'{shortage.limit_name}_here': shortage.allowed,
            },
            team=team.name,
        )


def _byte_count(team_count: int) -> int:
    return SHARE_MESSAGE_BYTES + TEAM_BYTES * team_count


def _wants_lease(usage: ShareUsage, now_ms: float) -> bool:
    return usage.held(now_ms) > 0 or usage.needs_lease(now_ms)


def _demand(name: str, usage: ShareUsage, now_ms: float) -> TeamDemand:
    """Return the demand of a team, after reducing its lease to that."""
    wanted = usage.wanted(now_ms)
    if wanted <= usage.floor * FLOOR_DEMAND_FRACTION:
        wanted = 0
    usage.reduce_lease(wanted * DEMAND_HEADROOM, now_ms)
    return TeamDemand(name, wanted, usage.held(now_ms))


def _unknown_team(team: str) -> Refusal:
    return Refusal(
        reason=ReasonCode.FORBIDDEN,
        detail=f'team {team!r} is not published',
        step=Step.ADMIT,
        ran=Ran.NOT_RUN,
        team=team,
    )
