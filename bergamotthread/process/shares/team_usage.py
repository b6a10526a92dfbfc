"""Smoothed demand and use of each team at one process."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

SMOOTHING_MS = 20_000
ACTIVE_TEAM_MS = 60_000
WEIGHT_MIN = 0.000_001


@dataclass
class Usage:
    """Requests offered and in flight, smoothed over `SMOOTHING_MS`.

    `offered` counts all requests, including refused ones, and decays;
    `smoothed` follows `in_flight`. Both are linear, so the values of all teams
    add up to the total.
    """

    updated_ms: float
    in_flight: int = 0
    smoothed: float = 0
    offered: float = 0

    def advance(self, now_ms: float) -> None:
        """Update the smoothed values to the current time."""
        decay = math.exp((self.updated_ms - now_ms) / SMOOTHING_MS)
        self.smoothed += (self.in_flight - self.smoothed) * (1 - decay)
        self.offered *= decay
        self.updated_ms = now_ms


@dataclass(frozen=True)
class TeamShare:
    """Usage of a team compared with all other active teams.

    Parameters
    ----------
    usage
        Usage of the team.
    part
        Weight of the team divided by that of all active teams.
    total_smoothed
        Smoothed requests in flight of all teams.
    others_mean_offered, others_mean_smoothed
        Values of the other teams, scaled to this team's weight.
    """

    usage: Usage
    part: float
    total_smoothed: float
    others_mean_offered: float
    others_mean_smoothed: float


@dataclass
class TeamUsage:
    """Usage of all active teams.

    A team is active while it has requests in flight and for `ACTIVE_TEAM_MS`
    after its last request was offered or ended. Its weight is read when it
    becomes active.
    """

    weight_of: Callable[[str], float]
    total: Usage
    _usage_by_team: OrderedDict[str, Usage] = field(default_factory=OrderedDict)
    _weight_by_team: dict[str, float] = field(default_factory=dict)
    _seen_ms_by_team: dict[str, float] = field(default_factory=dict)
    _total_weight: float = 0

    def offer(self, team: str, now_ms: float) -> None:
        """Count a request before it is decided on."""
        self._touch(team, now_ms).offered += 1
        self.total.offered += 1

    def add(self, team: str, change: int, now_ms: float) -> None:
        """Change the requests in flight of a team."""
        self._touch(team, now_ms).in_flight += change
        self.total.in_flight += change

    def relative_usage(self, team: str, now_ms: float) -> TeamShare:
        """Return the current usage of a team compared with the others."""
        usage = self._touch(team, now_ms)
        weight = self._weight_by_team[team]
        others_weight = max(self._total_weight - weight, WEIGHT_MIN)
        scale = weight / others_weight
        return TeamShare(
            usage=usage,
            part=weight / self._total_weight,
            total_smoothed=self.total.smoothed,
            others_mean_offered=(self.total.offered - usage.offered) * scale,
            others_mean_smoothed=(self.total.smoothed - usage.smoothed) * scale,
        )

    def _touch(self, team: str, now_ms: float) -> Usage:
        usage = self._usage_by_team.get(team)
        if usage is None:
            usage = Usage(now_ms)
            self._usage_by_team[team] = usage
            weight = max(self.weight_of(team), WEIGHT_MIN)
            self._weight_by_team[team] = weight
            self._total_weight += weight
        self._seen_ms_by_team[team] = now_ms
        self._usage_by_team.move_to_end(team)
        usage.advance(now_ms)
        self.total.advance(now_ms)
        self._remove_idle(now_ms - ACTIVE_TEAM_MS)
        return usage

    def _remove_idle(self, since_ms: float) -> None:
        """Remove teams not seen since then, least recently seen first."""
        oldest = next(iter(self._usage_by_team))
        while self._seen_ms_by_team[oldest] < since_ms:
            if self._usage_by_team[oldest].in_flight:
                self._usage_by_team.move_to_end(oldest)
                self._seen_ms_by_team[oldest] = since_ms + ACTIVE_TEAM_MS
            else:
                self._usage_by_team.pop(oldest)
                self._seen_ms_by_team.pop(oldest)
                self._total_weight -= self._weight_by_team.pop(oldest)
            oldest = next(iter(self._usage_by_team))
