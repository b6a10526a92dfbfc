"""Review of a manifest before it is sent: what is doubtful, what changes.

Errors are found by `check_manifest_file`; what stands here may be put in force,
but hardly does what its author means.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from typing import Any

from bergamotthread.version.route_table import (
    RelayRoute,
    Repeatability,
    RouteTable,
)


@dataclass(frozen=True)
class ManifestReview:
    """What an operator is told of a manifest that has no errors.

    Parameters
    ----------
    doubts
        Entries that can never match, and limits that contradict each other.
    changes
        Differences from the version in force; keys are counted, not shown.
    """

    doubts: tuple[str, ...]
    changes: tuple[str, ...] = ()


def review_manifest(
    table: RouteTable, in_force: RouteTable | None = None
) -> ManifestReview:
    """Review a manifest, and compare it with the version in force."""
    doubts = [*_find_unmatched(table), *_find_contradictions(table)]
    if in_force is None:
        return ManifestReview(tuple(doubts))
    if table.version <= in_force.version:
        doubts.append(
            f'$.version: {table.version} is not put in force, expected more '
            f'than {in_force.version}, which is in force'
        )
    return ManifestReview(tuple(doubts), tuple(_find_changes(in_force, table)))


def _find_unmatched(table: RouteTable) -> Iterator[str]:
    """Yield what no request can ever reach."""
    lacks_keys = table.team_by_key is not None and not table.team_by_key
    for number, route in enumerate(table.routes):
        path = f'$.routes[{number}]'
        host = route.host.decode()
        if not host or host.partition(':')[0] != host.strip():
            yield (
                f'{path}.host: {host!r} matches no request, expected a name '
                'without a port or blanks'
            )
        if lacks_keys and route.needs_key:
            yield f'{path}: no key exists, so each request is refused with 401'
    used: set[str] = set()
    for used_route in table.routes:
        used.update(weighted.service for weighted in used_route.services)
    for name in sorted(table.service_by_name.keys() - used):
        yield f'$.services: no route leads to {name!r}'
    teams = set((table.team_by_key or {}).values())
    for team in sorted(table.priority_by_team.keys() - teams):
        yield f'$.tenants: {team!r} has a priority and no key of its own'


def _find_contradictions(table: RouteTable) -> Iterator[str]:
    for number, route in enumerate(table.routes):
        path = f'$.routes[{number}]'
        yield from (f'{path}.{doubt}' for doubt in _find_route_doubts(route))
    limits = table.limits
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        yield (
            f'$.limits.header_timeout_ms: {limits.header_timeout_ms:g} is more '
            f'than idle_timeout_ms, {limits.idle_timeout_ms:g}'
        )


def _find_route_doubts(route: RelayRoute) -> Iterator[str]:
    target_ms = route.first_event_target_ms
    if target_ms > route.timeout_ms:
        yield (
            f'target_latency_ms: {target_ms:g} is more than timeout_ms, '
            f'{route.timeout_ms:g}, so no answer is late'
        )
    if route.pause_target_ms > route.timeout_ms:
        yield (
            f'gap_target_ms: {route.pause_target_ms:g} is more than '
            f'timeout_ms, {route.timeout_ms:g}'
        )
    if route.pause_target_ms and not route.is_stream:
        yield 'gap_target_ms: the route has no streams'
    if route.repeatability is Repeatability.RESUMABLE and (
        route.max_attempts == 1
    ):
        yield 'stream_resume: with max_attempts 1 no stream is resumed'


def _find_changes(former: RouteTable, table: RouteTable) -> Iterator[str]:
    yield f'version {former.version} -> {table.version}'
    yield from _compare(
        'route', _routes_by_name(former), _routes_by_name(table)
    )
    yield from _compare(
        'service', former.service_by_name, table.service_by_name
    )
    yield from _compare('limits', {'': former.limits}, {'': table.limits})
    yield from _compare_keys(former, table)


def _compare(
    kind: str, former: Mapping[str, Any], now: Mapping[str, Any]
) -> Iterator[str]:
    """Yield the differences of objects by name: added, removed, changed."""
    for name in sorted(former.keys() | now.keys()):
        label = f'{kind} {name}'.strip()
        if name not in former:
            yield f'+ {label}'
        elif name not in now:
            yield f'- {label}'
        else:
            for change in _changed_fields(former[name], now[name]):
                yield f'~ {label} {change}'


def _changed_fields(former: Any, now: Any) -> Iterator[str]:
    for part in fields(now):
        before = getattr(former, part.name)
        after = getattr(now, part.name)
        if before != after:
            yield f'{part.name}: {before} -> {after}'


def _compare_keys(former: RouteTable, table: RouteTable) -> Iterator[str]:
    """Yield how many keys of each team were added and removed."""
    before = _keys(former)
    after = _keys(table)
    differences = {'+': after - before, '-': before - after}
    for sign, keys in differences.items():
        count_by_team = Counter(team for _, team in keys)
        for team in sorted(count_by_team):
            yield f'{sign} {count_by_team[team]} keys of {team}'
    if (former.team_by_key is None) != (table.team_by_key is None):
        yield '~ keys are required now, or no longer'


def _keys(table: RouteTable) -> frozenset[tuple[bytes, str]]:
    return frozenset((table.team_by_key or {}).items())


def _routes_by_name(table: RouteTable) -> dict[str, RelayRoute]:
    """Return routes by host and prefix, which select them."""
    return {
        f'{route.host.decode()}{route.path_prefix.decode()}': route
        for route in table.routes
    }
