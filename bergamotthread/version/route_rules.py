"""Validation rules for routes: references, fallbacks and reachability."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from bergamotthread.version.faults import Fault
from bergamotthread.version.objects import Route, ServiceKind, Upstream
from bergamotthread.version.set_index import SetIndex
from bergamotthread.wire.messages import Pin

_Target = Pin | str
_Selector = tuple[str, str, frozenset[str], frozenset[str]]


@dataclass(frozen=True)
class _Capacity:
    """Total `max_running` of upstreams, by target and region."""

    running_by_target: dict[_Target, dict[str, int]]

    @classmethod
    def from_index(cls, index: SetIndex) -> _Capacity:
        running: dict[_Target, dict[str, int]] = defaultdict(dict)
        region_by_domain = index.regions_by_failure_domain
        for upstream in index.object_set.upstreams:
            region = region_by_domain.get(upstream.failure_domain, '')
            for target in _targets_of(upstream):
                in_regions = running[target]
                total = in_regions.get(region, 0) + upstream.max_running
                in_regions[region] = total
        return cls(running)

    def of_route(self, route: Route, target: _Target) -> int | None:
        """Return the total that a route can reach, None without upstreams."""
        in_regions = self.running_by_target.get(target, {})
        if route.regions:
            in_regions = {
                region: running
                for region, running in in_regions.items()
                if region in route.regions
            }
        return sum(in_regions.values()) if in_regions else None


def check_routes(index: SetIndex) -> Iterator[Fault]:
    """Yield the faults of all routes, and services without a route."""
    capacity = _Capacity.from_index(index)
    for position, route in enumerate(index.object_set.routes):
        path = f'$.routes[{position}]'
        yield from _check_references(index, path, route)
        yield from _check_target(index, path, route)
        yield from _check_fallback(index, path, route)
        yield from _check_capacity(capacity, path, route)
    yield from _check_fallback_cycles(index)
    yield from _check_shadowed_routes(index)
    yield from _check_services_have_routes(index)


def _targets_of(upstream: Upstream) -> tuple[_Target, ...]:
    if upstream.service:
        return (upstream.service,)
    return upstream.models


def _target_of(route: Route) -> _Target:
    if route.model:
        return Pin(route.model, route.version, route.adapter)
    return route.service


def _check_references(
    index: SetIndex,
    path: str,
    route: Route,
) -> Iterator[Fault]:
    service_path = f'{path}.service'
    yield from index.check_reference(service_path, 'services', route.service)
    for kind, names in (('teams', route.teams), ('regions', route.regions)):
        for position, name in enumerate(names):
            name_path = f'{path}.{kind}[{position}]'
            yield from index.check_reference(name_path, kind, name)


def _check_target(
    index: SetIndex,
    path: str,
    route: Route,
) -> Iterator[Fault]:
    service = index.services_by_name.get(route.service)
    if service is None:
        return
    if service.kind is ServiceKind.MODEL:
        pin = Pin(route.model, route.version, route.adapter)
        yield from index.check_pin(path, pin)
    elif route.model or route.version or route.adapter:
        expected = 'expected no model, as the service is plain'
        yield Fault(f'{path}.model', route.model, expected)


def _check_fallback(
    index: SetIndex,
    path: str,
    route: Route,
) -> Iterator[Fault]:
    if not route.fallback:
        return
    fallback_path = f'{path}.fallback'
    yield from index.check_reference(fallback_path, 'routes', route.fallback)
    fallback = index.routes_by_name.get(route.fallback)
    if fallback is not None and fallback.service != route.service:
        expected = f'expected a route of the service {route.service}'
        yield Fault(fallback_path, route.fallback, expected)


def _check_capacity(
    capacity: _Capacity,
    path: str,
    route: Route,
) -> Iterator[Fault]:
    match capacity.of_route(route, _target_of(route)):
        case None:
            expected = 'unreachable: no upstream in its regions serves it'
            yield Fault(path, route.name, expected)
        case 0:
            expected = 'zero capacity: max_running of its upstreams is 0'
            yield Fault(path, route.name, expected)


def _check_fallback_cycles(index: SetIndex) -> Iterator[Fault]:
    finished: set[str] = set()
    for position, route in enumerate(index.object_set.routes):
        chain = _follow_fallbacks(index, route, finished)
        finished.update(chain)
        if chain and chain[-1] in chain[:-1]:
            cycle = chain[chain.index(chain[-1]) :]
            shown = ' -> '.join(cycle)
            path = f'$.routes[{position}].fallback'
            yield Fault(path, route.fallback, f'fallback cycle {shown}')


def _follow_fallbacks(
    index: SetIndex,
    route: Route,
    finished: set[str],
) -> list[str]:
    """Return the names in a fallback chain.

    The chain stops at its end, before a finished route, or after the first
    repeated name.
    """
    chain: list[str] = []
    current: Route | None = route
    while current is not None and current.name not in finished:
        chain.append(current.name)
        if current.name in chain[:-1]:
            break
        current = index.routes_by_name.get(current.fallback)
    return chain


def _check_shadowed_routes(index: SetIndex) -> Iterator[Fault]:
    fallbacks = {route.fallback for route in index.object_set.routes}
    path_by_selector: dict[_Selector, str] = {}
    for position, route in enumerate(index.object_set.routes):
        if route.name in fallbacks:
            continue
        path = f'$.routes[{position}]'
        selector = _selector_of(route)
        first = path_by_selector.setdefault(selector, path)
        if first != path:
            expected = f'unreachable: {first} takes the same requests first'
            yield Fault(path, route.name, expected)


def _selector_of(route: Route) -> _Selector:
    teams = frozenset(route.teams)
    return (route.service, route.model, teams, frozenset(route.regions))


def _check_services_have_routes(index: SetIndex) -> Iterator[Fault]:
    reached = {route.service for route in index.object_set.routes}
    for position, service in enumerate(index.object_set.services):
        if service.name not in reached:
            path = f'$.services[{position}]'
            expected = 'unreachable: no route leads to the service'
            yield Fault(path, service.name, expected)
