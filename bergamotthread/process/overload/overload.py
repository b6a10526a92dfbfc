"""Early refusal of new work at the entry, fair between teams."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.errors import Step
from bergamotthread.process.shares.team_usage import TeamShare, TeamUsage, Usage
from bergamotthread.request.refusal import Ran, ReasonCode, Refusal

RETRY_AFTER_MIN_MS = 100
RETRY_AFTER_MAX_MS = 60_000
DEFAULT_RUN_MS = 10_000
OTHERS_OFFERED_MIN = 0.01
_RUN_SMOOTHING = 0.05
_UTILISATION_MIN = 0.01


@dataclass(frozen=True)
class OverloadLimits:
    """Utilisations of the subset's slots from which new work is refused.

    Parameters
    ----------
    utilisation_max
        All teams are refused from here on.
    fair_utilisation
        Teams that ask for more than their share are held to it from here on.
    demand_slack
        Multiple of the mean demand of the other teams, by weight, from which
        a team is held to its share.
    share_slack
        Multiple of the mean use of the other teams, by weight, that a team may
        have in flight then.
    share_utilisation
        Part of its share of the slots that a team may use then in any case.
    burst
        Multiple of what is allowed on average that a team may use at once.
    in_flight_min
        Requests in flight that a team may always have below the maximum.
    """

    utilisation_max: float = 1.2
    fair_utilisation: float = 0.35
    demand_slack: float = 2
    share_slack: float = 1
    share_utilisation: float = 0.7
    burst: float = 3
    in_flight_min: float = 2


@dataclass(frozen=True)
class Admitted:
    """The request may be placed."""


@dataclass(frozen=True)
class Overloaded:
    """The request is refused before anything was sent.

    `retry_after_ms` is when, with no new work, the figure that decided will
    have fallen below its limit.
    """

    decided_by: str
    retry_after_ms: int
    figures: dict[str, float]


def _equal_weight(team: str) -> float:
    return 1


@dataclass
class OverloadGuard:
    """Refuses what the subset of upstreams can't serve in time.

    A team's share is its weight among the teams that are active at this
    process; no coordination is needed, since a team that fills one entry
    exceeds its share there.
    """

    clock: Clock
    limits: OverloadLimits = OverloadLimits()
    weight_of: Callable[[str], float] = _equal_weight
    run_ms: float = DEFAULT_RUN_MS

    def __post_init__(self) -> None:
        total = Usage(self.clock.now_ms())
        self._teams = TeamUsage(self.weight_of, total)

    def check(self, team: str, utilisation: float) -> Admitted | Overloaded:
        """Decide on new work of a team.

        Parameters
        ----------
        utilisation
            Attempts running and queued over slots, in the subset.
        """
        now_ms = self.clock.now_ms()
        self._teams.offer(team, now_ms)
        if utilisation > self.limits.utilisation_max:
            return self._overloaded(
                'process',
                utilisation,
                self.limits.utilisation_max,
            )
        share = self._teams.share(team, now_ms)
        asked = share.others_mean_offered * self.limits.demand_slack
        if utilisation <= self.limits.fair_utilisation:
            return Admitted()
        if share.others_mean_offered < OTHERS_OFFERED_MIN:
            return Admitted()
        if share.usage.offered <= asked:
            return Admitted()
        return self._hold_to_share(team, share, utilisation)

    def record_start(self, team: str) -> None:
        """Count a request that was admitted."""
        self._teams.add(team, 1, self.clock.now_ms())

    def record_end(self, team: str, run_ms: float) -> None:
        """Uncount a request that ran for `run_ms`, 0 where it did not run."""
        self._teams.add(team, -1, self.clock.now_ms())
        if run_ms:
            self.run_ms += _RUN_SMOOTHING * (run_ms - self.run_ms)

    def _hold_to_share(
        self,
        team: str,
        share: TeamShare,
        utilisation: float,
    ) -> Admitted | Overloaded:
        usage = share.usage
        used = max(usage.smoothed, usage.in_flight / self.limits.burst)
        allowed = self._allowed(share, utilisation)
        if used < allowed:
            return Admitted()
        return self._overloaded(f'teams/{team}', used, allowed)

    def _allowed(self, share: TeamShare, utilisation: float) -> float:
        """Return the smoothed requests in flight that a team may have.

        It is the largest of the minimum, the mean of the other teams by
        weight with some slack, and a part of the team's share of the slots,
        of which this process uses its own share now.
        """
        relative = self.limits.share_slack * share.others_mean_smoothed
        slots = share.total_smoothed / max(utilisation, _UTILISATION_MIN)
        owned = self.limits.share_utilisation * share.part * slots
        return max(self.limits.in_flight_min, relative, owned)

    def _overloaded(
        self,
        decided_by: str,
        measured: float,
        limit: float,
    ) -> Overloaded:
        """Return a refusal; load decays with the mean run time."""
        wait_ms = self.run_ms * math.log(max(measured / limit, 1))
        bounded_ms = min(RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, wait_ms))
        figures = {'measured': measured, 'limit': limit}
        return Overloaded(decided_by, int(bounded_ms), figures)


def overload_refusal(verdict: Overloaded, team: str) -> Refusal:
    """Return the refusal of a request that `check` refused."""
    return Refusal(
        reason=ReasonCode.OVERLOADED,
        detail=(
            f'{verdict.decided_by} uses {verdict.figures["measured"]:.2f}'
            f' of at most {verdict.figures["limit"]:.2f}'
        ),
        step=Step.ADMIT,
        ran=Ran.NOT_RUN,
        decided_by=verdict.decided_by,
        retry_after_ms=verdict.retry_after_ms,
        figures=verdict.figures,
        team=team,
    )
