"""Early refusal of new work at the entry, with fairness between teams."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.errors import Step
from bergamotthread.process.shares.team_usage import TeamShare, TeamUsage, Usage
from bergamotthread.request.refusal import Ran, ReasonCode, Refusal

OVERLOAD_RETRY_AFTER_MIN_MS = 100
OVERLOAD_RETRY_AFTER_MAX_MS = 60_000
DEFAULT_RUN_MS = 10_000
OTHERS_OFFERED_MIN = 0.01
_RUN_SMOOTHING = 0.05
_UTILISATION_MIN = 0.01


@dataclass(frozen=True)
class OverloadLimits:
    """Limits above which an entry refuses new work.

    Utilisations are attempts per slot of the entry's subset of upstreams.

    Parameters
    ----------
    utilisation_max
        Utilisation above which all teams are refused.
    fair_utilisation
        Utilisation above which teams with too much demand are limited.
    demand_slack
        A team is limited if its demand exceeds this multiple of the mean
        demand of the other teams, by weight.
    share_slack
        Multiple of the mean use of the other teams, by weight, that a limited
        team may have in flight.
    share_utilisation
        Fraction of its share of the slots that a limited team may always use.
    burst
        Multiple of its average allowance that a limited team may use at once.
    in_flight_min
        Requests in flight that a team may always have while the utilisation is
        below the maximum.
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

    `retry_after_ms` is an estimate, within bounds, of the time after which the
    value that decided is below its limit if no new work is started.
    """

    decided_by: str
    retry_after_ms: int
    figures: dict[str, float]


def _equal_weight(team: str) -> float:
    return 1


@dataclass
class OverloadGuard:
    """Refuses new work that the subset of upstreams can't serve in time.

    A team's share is its weight relative to all teams that are active at this
    process. Entries need not coordinate, since a team that fills one entry
    exceeds its share there.
    """

    clock: Clock
    limits: OverloadLimits = OverloadLimits()
    weight_of: Callable[[str], float] = _equal_weight
    run_ms: float = DEFAULT_RUN_MS

    def __post_init__(self) -> None:
        total = Usage(self.clock.now_ms())
        self._teams = TeamUsage(self.weight_of, total)

    def check(
        self, team: str, utilisation: float, *, is_again: bool = False
    ) -> Admitted | Overloaded:
        """Decide on new work of a team.

        Parameters
        ----------
        utilisation
            Running and queued attempts per slot of the subset.
        is_again
            Whether the same work was decided on before, so that it counts in
            the demand of the team already.
        """
        now_ms = self.clock.now_ms()
        if not is_again:
            self._teams.offer(team, now_ms)
        if utilisation > self.limits.utilisation_max:
            return self._overloaded(
                'process',
                utilisation,
                self.limits.utilisation_max,
            )
        share = self._teams.relative_usage(team, now_ms)
        offered_limit = share.others_mean_offered * self.limits.demand_slack
        if utilisation <= self.limits.fair_utilisation:
            return Admitted()
        if share.others_mean_offered < OTHERS_OFFERED_MIN:
            return Admitted()
        if share.usage.offered <= offered_limit:
            return Admitted()
        return self._limit_to_share(team, share, utilisation)

    def record_start(self, team: str) -> None:
        """Record the start of an admitted request."""
        self._teams.add(team, 1, self.clock.now_ms())

    def record_end(self, team: str, run_ms: float) -> None:
        """Record the end of a request.

        Parameters
        ----------
        run_ms
            Duration of the request, 0 if it did not complete.
        """
        self._teams.add(team, -1, self.clock.now_ms())
        if run_ms:
            self.run_ms += _RUN_SMOOTHING * (run_ms - self.run_ms)

    def _limit_to_share(
        self,
        team: str,
        share: TeamShare,
        utilisation: float,
    ) -> Admitted | Overloaded:
        usage = share.usage
        used = max(usage.smoothed, usage.in_flight / self.limits.burst)
        allowed = self._allowed_in_flight(share, utilisation)
        if used < allowed:
            return Admitted()
        return self._overloaded(f'teams/{team}', used, allowed)

    def _allowed_in_flight(self, share: TeamShare, utilisation: float) -> float:
        """Return the smoothed requests in flight that a team may have.

        It is the maximum of `in_flight_min`, the mean of the other teams by
        weight times `share_slack`, and the fraction `share_utilisation` of the
        team's share of the slots. The slots of this process are estimated from
        its requests in flight and the utilisation.
        """
        mean_of_others = self.limits.share_slack * share.others_mean_smoothed
        slots = share.total_smoothed / max(utilisation, _UTILISATION_MIN)
        share_of_slots = self.limits.share_utilisation * share.part * slots
        return max(self.limits.in_flight_min, mean_of_others, share_of_slots)

    def _overloaded(
        self,
        decided_by: str,
        measured: float,
        limit: float,
    ) -> Overloaded:
        """Return a refusal.

        Its retry time assumes that load decays exponentially, with the mean
        run time as time constant.
        """
        wait_ms = self.run_ms * math.log(max(measured / limit, 1))
        bounded_ms = min(
            OVERLOAD_RETRY_AFTER_MAX_MS,
            max(OVERLOAD_RETRY_AFTER_MIN_MS, wait_ms),
        )
        figures = {'measured': measured, 'limit': limit}
        return Overloaded(decided_by, int(bounded_ms), figures)


def overload_refusal(verdict: Overloaded, team: str) -> Refusal:
    """Return the refusal to send for a request that `check` refused."""
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
