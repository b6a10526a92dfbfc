"""Load balance and churn of three subset selection algorithms.

Run ``python -m benchmarks.subsets``.
"""

from __future__ import annotations

import random
import statistics
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from bergamotthread.process.routing.subset import (
    SubsetSizes,
    select_upstreams,
    top_nodes,
)
from bergamotthread.process.settings import PlaceSettings

Pairs = set[tuple[str, str]]
Places = list[PlaceSettings]
Way = Callable[[Places, Places], Pairs]

REGIONS = 10
FAILURE_DOMAINS = 37
MODELS = 5
SIZES = SubsetSizes()


@dataclass(frozen=True)
class Figures:
    """Figures of one algorithm.

    Loads are relative to the mean load; churn is the number of changed pairs
    over the least number that an even distribution has to change.
    """

    way: str
    pairs: int
    unused_upstreams: int
    max_load: float
    load_deviation: float
    smallest_subset: int
    largest_subset: int
    upstream_lost_churn: float
    entry_lost_churn: float
    entry_added_churn: float


def make_places(kind: str, count: int) -> Places:
    """Return `count` places spread over the failure domains."""
    return [
        PlaceSettings(
            address=f'10.{kind}.{number // 250}.{number % 250}:7000',
            region=f'r{number % FAILURE_DOMAINS % REGIONS}',
            failure_domain=f'd{number % FAILURE_DOMAINS}',
        )
        for number in range(count)
    ]


def by_upstream(entries: Places, upstreams: Places) -> Pairs:
    """Let each upstream select entries, as the product does."""
    return {
        (entry.address, agent)
        for entry in entries
        for agent in select_upstreams(entry, entries, upstreams, SIZES)
    }


def by_entry(entries: Places, upstreams: Places) -> Pairs:
    """Let each entry select the upstreams with the highest hash scores."""
    agents_by_region: dict[str, list[str]] = {}
    for place in upstreams:
        agents_by_region.setdefault(place.region, []).append(place.address)
    return {
        (entry.address, agent)
        for entry in entries
        for agent in top_nodes(
            agents_by_region[entry.region],
            entry.address,
            SIZES.upstreams_per_entry,
        )
    }


def _regions(places: Places) -> list[str]:
    return sorted({place.region for place in places})


def by_slice(entries: Places, upstreams: Places) -> Pairs:
    """Shuffle the upstreams per round; give each entry of a round a slice."""
    pairs: Pairs = set()
    for region in _regions(entries):
        local_entries = sorted(
            place.address for place in entries if place.region == region
        )
        agents = sorted(
            place.address for place in upstreams if place.region == region
        )
        per_round = max(1, len(agents) // SIZES.upstreams_per_entry)
        for index, entry in enumerate(local_entries):
            shuffled = agents.copy()
            random.Random(index // per_round).shuffle(shuffled)
            start = index % per_round * SIZES.upstreams_per_entry
            chosen = shuffled[start : start + SIZES.upstreams_per_entry]
            pairs.update((entry, agent) for agent in chosen)
    return pairs


def loads(pairs: Pairs, upstreams: Places) -> list[float]:
    """Return each upstream's load if each entry spreads one unit evenly."""
    sizes_by_entry = Counter(entry for entry, _ in pairs)
    load_by_agent = {place.address: float(0) for place in upstreams}
    for entry, agent in pairs:
        load_by_agent[agent] += 1 / sizes_by_entry[entry]
    return list(load_by_agent.values())


def relative_loads(
    pairs: Pairs, entries: Places, upstreams: Places
) -> list[float]:
    """Return each upstream's load over the mean of its region."""
    ratios: list[float] = []
    for region in _regions(upstreams):
        local = [place for place in upstreams if place.region == region]
        local_entries = {
            place.address for place in entries if place.region == region
        }
        local_loads = loads(
            {pair for pair in pairs if pair[0] in local_entries}, local
        )
        mean = statistics.fmean(local_loads)
        ratios.extend(load / mean for load in local_loads)
    return ratios


def _churn(before: Pairs, after: Pairs, minimum: float) -> float:
    return len(before ^ after) / minimum


def measure(way: Way, name: str, entries: Places, upstreams: Places) -> Figures:
    """Measure one algorithm for one model."""
    pairs = way(entries, upstreams)
    ratios = relative_loads(pairs, entries, upstreams)
    sizes = Counter(entry for entry, _ in pairs).values()
    per_upstream = len(pairs) / len(upstreams)
    per_entry = len(pairs) / len(entries)
    joined = replace_address(entries[5], '10.9.9.9:7000')
    middle = len(upstreams) // 2
    fewer_upstreams = upstreams[:middle] + upstreams[middle + 1 :]
    half = len(entries) // 2
    fewer_entries = entries[:half] + entries[half + 1 :]
    return Figures(
        way=name,
        pairs=len(pairs),
        unused_upstreams=sum(1 for ratio in ratios if ratio == 0),
        max_load=max(ratios),
        load_deviation=statistics.pstdev(ratios),
        smallest_subset=min(sizes),
        largest_subset=max(sizes),
        upstream_lost_churn=_churn(
            pairs, way(entries, fewer_upstreams), per_upstream
        ),
        entry_lost_churn=_churn(
            pairs, way(fewer_entries, upstreams), per_entry
        ),
        entry_added_churn=_churn(
            pairs, way([*entries, joined], upstreams), per_entry
        ),
    )


def replace_address(place: PlaceSettings, address: str) -> PlaceSettings:
    """Return a copy of a place with another address."""
    return PlaceSettings(address, place.region, place.failure_domain)


def compare(
    entry_count: int = 320, upstream_count: int = 12_000
) -> list[Figures]:
    """Measure the three algorithms for one of the five models."""
    entries = make_places('1', entry_count)
    upstreams = make_places('2', upstream_count // MODELS)
    return [
        measure(by_upstream, 'by upstream', entries, upstreams),
        measure(by_entry, 'by entry', entries, upstreams),
        measure(by_slice, 'by slice', entries, upstreams),
    ]


def main() -> None:
    """Print the comparison as a table."""
    print(
        'way | pairs | unused | max load | deviation | subset sizes '
        '| churn: upstream lost | entry lost | entry added'
    )
    for row in compare():
        print(
            f'{row.way} | {row.pairs} | {row.unused_upstreams} '
            f'| {row.max_load:.2f} | {row.load_deviation:.2f} '
            f'| {row.smallest_subset} to {row.largest_subset} '
            f'| {row.upstream_lost_churn:.2f} | {row.entry_lost_churn:.2f} '
            f'| {row.entry_added_churn:.2f}'
        )


if __name__ == '__main__':
    main()
