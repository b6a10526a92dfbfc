"""Figures of a run of the simulated fleet, and percentiles."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass
class Figures:
    """Figures of a run; events before `since_ms` are not counted.

    `needed_tokens` counts the prompt tokens that no other request shares,
    `prefilled_tokens` all that engines prefilled.
    """

    since_ms: float
    first_token_ms_by_team: dict[str, list[float]] = field(default_factory=dict)
    between_tokens_by_ms: Counter[int] = field(default_factory=Counter)
    between_by_second: dict[int, Counter[int]] = field(default_factory=dict)
    resume_ms: list[float] = field(default_factory=list)
    refused_by_second: Counter[int] = field(default_factory=Counter)
    refused_by_team: Counter[str] = field(default_factory=Counter)
    refused_by_reason: Counter[str] = field(default_factory=Counter)
    served_by_second: Counter[int] = field(default_factory=Counter)
    first_token_by_second: dict[int, list[float]] = field(default_factory=dict)
    offered: int = 0
    offered_by_team: Counter[str] = field(default_factory=Counter)
    offered_by_second: Counter[int] = field(default_factory=Counter)
    finished: int = 0
    lost: int = 0
    lost_innocent: int = 0
    deaths_by_region: Counter[str] = field(default_factory=Counter)
    prefilled_tokens: int = 0
    needed_tokens: int = 0
    cross_region_bytes: int = 0
    imbalances: list[float] = field(default_factory=list)
    quarantined_teams: Counter[str] = field(default_factory=Counter)

    def record_first_token(
        self,
        team: str,
        second: int,
        waited_ms: float,
    ) -> None:
        """Record the time to first token of a generation."""
        self.first_token_ms_by_team.setdefault(team, []).append(waited_ms)
        self.first_token_by_second.setdefault(second, []).append(waited_ms)

    def record_between(self, second: int, between_ms: int) -> None:
        """Record the time between two tokens of a generation."""
        self.between_tokens_by_ms[between_ms] += 1
        by_ms = self.between_by_second.setdefault(second, Counter())
        by_ms[between_ms] += 1

    @property
    def first_token_ms(self) -> list[float]:
        """Return the times to first token of all teams."""
        by_team = self.first_token_ms_by_team.values()
        return list(itertools.chain.from_iterable(by_team))


def percentile(values: Iterable[float], share: float) -> float:
    """Return the nearest-rank percentile, NaN if there is no value."""
    ordered = sorted(values)
    if not ordered:
        return float('nan')
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def counted_percentile(counts: Counter[int], share: float) -> float:
    """Return the percentile of values given by their counts."""
    total = sum(counts.values())
    passed = 0
    for value in sorted(counts):
        passed += counts[value]
        if passed >= share * total:
            return value
    return float('nan')
