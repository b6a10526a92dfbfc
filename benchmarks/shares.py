"""Overshoot and unused part of team limits: leased shares and a static split.

Run ``python -m benchmarks.shares [ENTRIES TEAMS]``. The real code runs in
virtual time. Each team's callers use a few entries and move to other entries
every 20 s.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.shares.share_usage import ShareUsage
from bergamotthread.process.shares.shares import TeamLimits
from bergamotthread.testing.memory_network import MemoryNetwork
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.version.objects import ObjectSet, Team
from bergamotthread.version.published import PublishedVersion

REQUESTS_PER_S_PER_ENTRY = 20
LARGE_TEAMS = 20
LARGE_OVER_LIMIT = 1.25
ENTRIES_PER_TEAM = 4
STEP_MS = 100
MOVE_MS = 20_000
WARM_UP_MS = 40_000
WATCH_MS = 60_000
WINDOW_MS = 10_000
LOSS = 0.01
DELAY_MS = 40


@dataclass(frozen=True)
class StaticView:
    """Membership view in which all entries are responsive."""

    entries: tuple[str, ...]

    def responsive_entries(self) -> tuple[str, ...]:
        """Return all entries."""
        return self.entries

    def reachable_fraction(self) -> float:
        """Return 1, since all entries are reachable."""
        return 1


@dataclass
class Tally:
    """Counts of admitted and offered requests by window and team."""

    admitted: Counter[tuple[int, str]] = field(default_factory=Counter)
    offered: Counter[tuple[int, str]] = field(default_factory=Counter)

    def overshoot(self, limit_by_team: dict[str, float]) -> float:
        """Return the highest ratio of admitted to allowed requests, minus 1.

        Only teams whose limit allows a request in every step are counted.
        """
        seconds = WINDOW_MS / 1000
        ratios = [
            count / (limit_by_team[team] * seconds)
            for (_, team), count in self.admitted.items()
            if limit_by_team[team] * seconds >= WINDOW_MS / STEP_MS
        ]
        return max(ratios, default=1) - 1

    def unused(self, limit_by_team: dict[str, float]) -> float:
        """Return the refused fraction of what limits and demand allow."""
        seconds = WINDOW_MS / 1000
        allowed = sum(
            min(count, limit_by_team[team] * seconds)
            for (_, team), count in self.offered.items()
        )
        used = sum(
            min(count, limit_by_team[team] * seconds)
            for (_, team), count in self.admitted.items()
        )
        return 1 - used / allowed

    def unused_large(self, limit_by_team: dict[str, float]) -> float:
        """Return `unused` for the large teams only."""
        large = frozenset(list(limit_by_team)[:LARGE_TEAMS])
        tally = Tally(_of(self.admitted, large), _of(self.offered, large))
        return tally.unused(limit_by_team)


def _of(
    counts: Counter[tuple[int, str]], teams: frozenset[str]
) -> Counter[tuple[int, str]]:
    return Counter(
        {key: count for key, count in counts.items() if key[1] in teams}
    )


@dataclass(frozen=True)
class Figures:
    """Figures of one cluster size; rates are bytes per second per entry."""

    entries: int
    teams: int
    overshoot: float
    unused: float
    unused_large: float
    static_overshoot: float
    static_unused: float
    static_unused_large: float
    mean_rate: float
    highest_rate: float
    cpu_us_per_entry_s: float


def make_teams(
    team_count: int, requests_per_s: float
) -> tuple[list[Team], list[float]]:
    """Return teams by decreasing demand, and their demands in requests/s.

    Large teams demand more than their limits, the others half of theirs.
    """
    weights = [1 / (rank + 1) for rank in range(team_count)]
    scale = requests_per_s / sum(weights)
    demands = [weight * scale for weight in weights]
    teams = []
    for rank, demand in enumerate(demands):
        demand_ratio = LARGE_OVER_LIMIT if rank < LARGE_TEAMS else 0.5
        limit = max(1, demand / demand_ratio)
        teams.append(Team(f't{rank}', requests_per_s=limit))
    return teams, demands


async def _measure(entry_count: int, team_count: int) -> Figures:
    clock = Clock.from_loop(asyncio.get_running_loop())
    network = MemoryNetwork(delay_ms=DELAY_MS, loss=LOSS, seed=1)
    entries = tuple(f'10.1.0.{number}:7000' for number in range(entry_count))
    requests_per_s = REQUESTS_PER_S_PER_ENTRY * entry_count
    teams, demands = make_teams(team_count, requests_per_s)
    version = PublishedVersion.from_object_set(1, ObjectSet(teams=tuple(teams)))
    limits = []
    for entry in entries:
        transport = network.transport(entry)
        team_limits = TeamLimits(transport, clock, StaticView(entries))
        team_limits.apply_version(version)
        transport.start(team_limits.on_message)
        limits.append(team_limits)
    tasks = [asyncio.create_task(team_limits.run()) for team_limits in limits]
    static = _StaticSplit(teams, entry_count)
    leased_tally, static_tally = Tally(), Tally()
    source = random.Random(3)
    began_s = time.process_time()
    offered_s = float(0)
    at_ms = 0
    while at_ms < WARM_UP_MS + WATCH_MS:
        step_s = time.process_time()
        if at_ms % MOVE_MS == 0:
            places = [
                source.sample(
                    range(entry_count), min(ENTRIES_PER_TEAM, entry_count)
                )
                for _ in teams
            ]
        window = at_ms // WINDOW_MS if at_ms >= WARM_UP_MS else -1
        count = requests_per_s * STEP_MS // 1000
        drawn = source.choices(range(team_count), weights=demands, k=count)
        for rank in drawn:
            name = teams[rank].name
            place = source.choice(places[rank])
            admitted = limits[place].try_admit(name) is None
            if admitted:
                limits[place].release(name)
            static_admitted = static.try_admit(rank, place, at_ms)
            if window >= 0:
                leased_tally.offered[window, name] += 1
                static_tally.offered[window, name] += 1
                leased_tally.admitted[window, name] += admitted
                static_tally.admitted[window, name] += static_admitted
        offered_s += time.process_time() - step_s
        at_ms += STEP_MS
        await clock.sleep_ms(STEP_MS)
    spent_s = time.process_time() - began_s - offered_s
    for task in tasks:
        task.cancel()
    limit_by_team = {team.name: team.requests_per_s for team in teams}
    watched_s = (WARM_UP_MS + WATCH_MS) / 1000
    rates = [total / watched_s for total in network.bytes_by_sender.values()]
    return Figures(
        entries=entry_count,
        teams=team_count,
        overshoot=leased_tally.overshoot(limit_by_team),
        unused=leased_tally.unused(limit_by_team),
        unused_large=leased_tally.unused_large(limit_by_team),
        static_overshoot=static_tally.overshoot(limit_by_team),
        static_unused=static_tally.unused(limit_by_team),
        static_unused_large=static_tally.unused_large(limit_by_team),
        mean_rate=sum(rates) / entry_count,
        highest_rate=max(rates),
        cpu_us_per_entry_s=spent_s * 1_000_000 / entry_count / watched_s,
    )


class _StaticSplit:
    """Baseline that gives each entry an equal part of each limit."""

    def __init__(self, teams: list[Team], entry_count: int) -> None:
        self._teams = teams
        self._entry_count = entry_count
        self._usage: dict[tuple[int, int], ShareUsage] = {}

    def try_admit(self, rank: int, entry: int, now_ms: float) -> bool:
        """Return whether the part of this entry admits one more request."""
        usage = self._usage.get((rank, entry))
        if usage is None:
            usage = ShareUsage(self._teams[rank], self._entry_count, now_ms)
            share = 1 / self._entry_count - usage.share.floor
            usage.set_lease(share, float('inf'), now_ms)
            self._usage[rank, entry] = usage
        admitted = usage.try_start(1, now_ms) is None
        if admitted:
            usage.release(now_ms)
        return admitted


def measure(entry_count: int, team_count: int) -> Figures:
    """Measure one cluster size."""
    return run_virtual(_measure(entry_count, team_count))


def main() -> None:
    """Print the figures of one size."""
    sizes = [int(argument) for argument in sys.argv[1:]] or [32, 10_000]
    row = measure(*sizes)
    print(f'{row.entries} entries, {row.teams} teams')
    print('way | overshoot | unused | unused of the 20 large teams')
    print(
        f'leased | {row.overshoot:.3f} | {row.unused:.3f} '
        f'| {row.unused_large:.3f}'
    )
    print(
        f'static | {row.static_overshoot:.3f} | {row.static_unused:.3f} '
        f'| {row.static_unused_large:.3f}'
    )
    print(
        f'{row.mean_rate:.0f} B/s an entry, highest {row.highest_rate:.0f}; '
        f'{row.cpu_us_per_entry_s:.0f} us an entry and s'
    )


if __name__ == '__main__':
    main()
