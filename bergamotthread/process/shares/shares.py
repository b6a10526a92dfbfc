"""Limits of teams across entries, as shares leased from home entries."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.errors import Step
from bergamotthread.process.shares.lease_exchange import (
    EntryView,
    LeaseExchange,
)
from bergamotthread.process.shares.share_home import ShareHome
from bergamotthread.process.shares.share_usage import (
    ExceededLimit,
    ShareUsage,
)
from bergamotthread.request.refusal import Ran, ReasonCode, Refusal
from bergamotthread.version.objects import Team
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Envelope


@dataclass
class ShareCounters:
    """Counts of events since the start, for metrics."""

    admitted: int = 0
    refused: int = 0


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
        self.counters = ShareCounters()
        self.leases = LeaseExchange[ShareUsage](transport, clock, view)
        self._clock = clock
        self._version: PublishedVersion | None = None

    @property
    def home(self) -> ShareHome:
        """Return the leases that this entry has granted."""
        return self.leases.home

    def apply_version(self, version: PublishedVersion) -> None:
        """Apply the limits of a published version."""
        self._version = version
        now_ms = self._clock.now_ms()
        entry_count = self.leases.entry_count
        for name, usage in tuple(self.leases.usage_by_name.items()):
            team = version.teams_by_name.get(name)
            if team is None:
                self.leases.usage_by_name.pop(name)
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
        self.leases.record_active(team)
        shortage = usage.try_start(cost, self._clock.now_ms())
        if shortage is None:
            self.counters.admitted += 1
            return None
        self.counters.refused += 1
        return self._refusal(published, shortage)

    def release(self, team: str) -> None:
        """Record the end of an admitted request."""
        usage = self.leases.usage_by_name.get(team)
        if usage is not None:
            usage.release(self._clock.now_ms())

    def on_message(self, envelope: Envelope) -> None:
        """Handle a message about shares; other messages are ignored."""
        self.leases.on_message(envelope)

    def record_suspected(self) -> None:
        """Record that other entries may have suspected this one for a while."""
        self.leases.record_suspected()

    async def run(self) -> None:
        """Renew leases until cancelled."""
        await self.leases.run()

    def _usage(self, team: Team) -> ShareUsage:
        usage = self.leases.usage_by_name.get(team.name)
        if usage is None:
            now_ms = self._clock.now_ms()
            usage = ShareUsage(team, self.leases.entry_count, now_ms)
            self.leases.usage_by_name[team.name] = usage
        return usage

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


def _unknown_team(team: str) -> Refusal:
    return Refusal(
        reason=ReasonCode.FORBIDDEN,
        detail=f'team {team!r} is not published',
        step=Step.ADMIT,
        ran=Ran.NOT_RUN,
        team=team,
    )
