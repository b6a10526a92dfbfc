"""Deterministic subset of the upstreams of a model for each entry.

Each upstream selects the entries of its region with the highest rendezvous
scores, and the subset of an entry consists of the upstreams that selected it.
Every upstream therefore has an entry if its region has one, and a process that
joins or leaves changes little beyond its own pairs.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from bergamotthread.process.settings import PlaceSettings


@dataclass(frozen=True)
class SubsetSizes:
    """Sizes of the subsets for one model.

    Parameters
    ----------
    entries_per_upstream
        Minimum number of entries that select each upstream, if the region has
        that many.
    upstreams_per_entry
        Minimum mean size of a region's subsets; more entries select each
        upstream if that is needed to reach it. A smaller subset is filled up
        to half of this size with upstreams that did not select the entry.
    failure_domains
        Minimum number of failure domains in a subset, if there are that many.
    """

    entries_per_upstream: int = 4
    upstreams_per_entry: int = 24
    failure_domains: int = 2


DEFAULT_SIZES = SubsetSizes()


def rendezvous_score(node: str, key: str) -> int:
    """Return the highest-random-weight score of `node` for `key` (64 bits)."""
    return xxhash.xxh3_64_intdigest(f'{node}|{key}'.encode())


def top_nodes(nodes: Iterable[str], key: str, count: int) -> tuple[str, ...]:
    """Return the `count` nodes with the highest scores for `key`."""
    ranked = sorted(
        nodes,
        key=lambda node: (rendezvous_score(node, key), node),
        reverse=True,
    )
    return tuple(ranked[:count])


def select_upstreams(
    own: PlaceSettings,
    entries: Sequence[PlaceSettings],
    upstreams: Sequence[PlaceSettings],
    sizes: SubsetSizes = DEFAULT_SIZES,
) -> tuple[str, ...]:
    """Return the addresses of the agents that an entry uses.

    Parameters
    ----------
    own
        Place of the entry.
    entries
        Live entries of all regions; `own` is counted even if it is missing.
    upstreams
        Places of the agents whose upstreams run the model.
    sizes
        Sizes of the subsets.

    Returns
    -------
    tuple of str
        Sorted addresses of the upstreams of the own region that selected the
        entry, and of others that are needed to reach the minimum sizes.
    """
    local = [place for place in upstreams if place.region == own.region]
    chosen = _upstreams_selecting(own, entries, local, sizes)
    remote = [place for place in upstreams if place.region != own.region]
    _add_failure_domains(own, chosen, local, sizes)
    _fill_up(own, chosen, local, sizes)
    _add_failure_domains(own, chosen, remote, sizes)
    _fill_up(own, chosen, remote, sizes)
    return tuple(sorted(chosen))


def _upstreams_selecting(
    own: PlaceSettings,
    entries: Sequence[PlaceSettings],
    local: Sequence[PlaceSettings],
    sizes: SubsetSizes,
) -> dict[str, PlaceSettings]:
    peers = {entry.address for entry in entries if entry.region == own.region}
    peers.discard(own.address)
    rank_limit = _entries_per_upstream(len(peers) + 1, len(local), sizes)
    others = sorted(peers)
    return {
        place.address: place
        for place in local
        if _ranks_within(own.address, others, place.address, rank_limit)
    }


def _entries_per_upstream(
    entry_count: int,
    upstream_count: int,
    sizes: SubsetSizes,
) -> int:
    if not upstream_count:
        return 0
    pairs = sizes.upstreams_per_entry * entry_count
    needed = -(-pairs // upstream_count)
    return max(sizes.entries_per_upstream, needed)


def _ranks_within(
    own: str,
    others: Sequence[str],
    upstream: str,
    rank_limit: int,
) -> bool:
    if len(others) < rank_limit:
        return True
    own_score = rendezvous_score(own, upstream)
    higher = 0
    for other in others:
        if rendezvous_score(other, upstream) > own_score:
            higher += 1
            if higher >= rank_limit:
                return False
    return True


def _add_failure_domains(
    own: PlaceSettings,
    chosen: dict[str, PlaceSettings],
    candidates: Sequence[PlaceSettings],
    sizes: SubsetSizes,
) -> None:
    domains = {place.failure_domain for place in chosen.values()}
    for place in _ranked(own, candidates):
        if len(domains) >= sizes.failure_domains:
            return
        if place.failure_domain not in domains:
            domains.add(place.failure_domain)
            chosen[place.address] = place


def _fill_up(
    own: PlaceSettings,
    chosen: dict[str, PlaceSettings],
    candidates: Sequence[PlaceSettings],
    sizes: SubsetSizes,
) -> None:
    floor = sizes.upstreams_per_entry // 2
    if len(chosen) >= floor:
        return
    for place in _ranked(own, candidates):
        if len(chosen) >= floor:
            return
        chosen[place.address] = place


def _ranked(
    own: PlaceSettings,
    candidates: Sequence[PlaceSettings],
) -> list[PlaceSettings]:
    return sorted(
        candidates,
        key=lambda place: rendezvous_score(place.address, own.address),
        reverse=True,
    )
