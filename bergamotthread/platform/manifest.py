"""Decoder of the operator's manifest into a route table."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from bergamotthread.connection.http.caller_connection import CallerLimits
from bergamotthread.errors import BergamotError, Step
from bergamotthread.platform.numbers import Number
from bergamotthread.version.route_table import (
    EngineTraits,
    RelayRoute,
    RelayService,
    Repeatability,
    RouteTable,
    WeightedService,
)

_STREAM = 'streaming'
_IDEMPOTENT = 'idempotent'


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1


class _Route(msgspec.Struct, frozen=True):
    host: str
    path_prefix: str
    route_type: str
    name: str = ''
    service: str = ''
    traffic_split: tuple[_Split, ...] = ()
    timeout_ms: float = 30_000
    target_latency_ms: float = 1000
    priority: Number = 0
    max_attempts: Number = 1
    auth_exempt: bool = False
    stream_resume: bool = False
    gap_target_ms: float = 0


class _Engine(msgspec.Struct, frozen=True):
    slots: Number = 1
    kv_capacity_tokens: Number = 0
    backups: bool = False
    moves: bool = False


class _Service(msgspec.Struct, frozen=True):
    name: str
    health_path: str = '/health'
    max_conns: Number = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: Number = 16_384
    max_body_bytes: Number = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    # Goes before the priority of the route.
    priority: Number | None = None


class _Manifest(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


class ManifestError(BergamotError):
    """The manifest can't be decoded, or must not be put in force.

    Parameters
    ----------
    faults
        A message for each fault.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__('; '.join(faults), step=Step.CHECK)
        self.faults = faults


def decode_manifest(encoded: bytes) -> RouteTable:
    """Return the route table that a manifest describes.

    Raises
    ------
    ManifestError
        If the manifest is invalid; the message names the path of each wrong
        field, its value and what was expected.
    """
    table, faults = read_manifest(encoded)
    if faults:
        raise ManifestError(faults)
    return table


def read_manifest(encoded: bytes) -> tuple[RouteTable, tuple[str, ...]]:
    """Return the route table of a manifest, and why it must not be in force.

    Raises
    ------
    ManifestError
        If the manifest can't be decoded.
    """
    try:
        manifest = msgspec.json.decode(encoded, type=_Manifest)
    except msgspec.MsgspecError as error:
        raise ManifestError((str(error),)) from error
    table = RouteTable(
        version=manifest.version,
        routes=tuple(_route(route) for route in manifest.routes),
        service_by_name={
            service.name: _service(service) for service in manifest.services
        },
        limits=_caller_limits(manifest.limits),
        team_by_key=_team_by_key(manifest.tenants),
        priority_by_team=_priority_by_team(manifest.tenants),
    )
    return table, tuple(_find_faults(manifest))


def _find_faults(manifest: _Manifest) -> Iterator[str]:
    """Yield a message for each field that must not be put in force."""
    names = {service.name for service in manifest.services}
    for number, route in enumerate(manifest.routes):
        path = f'$.routes[{number}]'
        yield from _find_route_faults(path, route)
        for service in _services(route):
            if service.service not in names:
                yield (
                    f'{path}: service {service.service!r}, '
                    f'expected {sorted(names)}'
                )
    for name in ('max_header_bytes', 'header_timeout_ms', 'idle_timeout_ms'):
        yield from _find_not_positive(manifest.limits, '$.limits', name)


def _find_route_faults(path: str, route: _Route) -> Iterator[str]:
    for name in ('timeout_ms', 'target_latency_ms'):
        yield from _find_not_positive(route, path, name)


def _find_not_positive(
    part: msgspec.Struct, path: str, name: str
) -> Iterator[str]:
    number = getattr(part, name)
    if number <= 0:
        yield f'{path}.{name} is {number:g}, expected more than 0'


def _services(route: _Route) -> tuple[WeightedService, ...]:
    splits = tuple(
        WeightedService(split.service, split.weight)
        for split in route.traffic_split
        if split.weight > 0
    )
    return splits or (WeightedService(route.service),)


def _route(route: _Route) -> RelayRoute:
    return RelayRoute(
        name=route.name,
        host=route.host.encode(),
        path_prefix=route.path_prefix.encode(),
        services=_services(route),
        repeatability=_repeatability(route),
        is_stream=route.route_type == _STREAM,
        max_attempts=max(route.max_attempts, 1),
        timeout_ms=route.timeout_ms,
        first_event_target_ms=route.target_latency_ms,
        priority=route.priority,
        needs_key=not route.auth_exempt,
        pause_target_ms=route.gap_target_ms,
    )


def _repeatability(route: _Route) -> Repeatability:
    if route.route_type == _IDEMPOTENT:
        return Repeatability.ANY_TIME
    if route.route_type == _STREAM and route.stream_resume:
        return Repeatability.RESUMABLE
    return Repeatability.NEVER


def _service(service: _Service) -> RelayService:
    engine = None
    if service.engine is not None:
        engine = EngineTraits(
            slots=service.engine.slots,
            kv_capacity_tokens=service.engine.kv_capacity_tokens,
            copies_memory=service.engine.backups,
            accepts_moves=service.engine.moves,
        )
    return RelayService(
        service.name, service.health_path, service.max_conns, engine
    )


def _caller_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout_ms=limits.header_timeout_ms,
        idle_timeout_ms=limits.idle_timeout_ms,
    )


def _priority_by_team(tenants: tuple[_Tenant, ...] | None) -> dict[str, int]:
    return {
        tenant.name: tenant.priority
        for tenant in tenants or ()
        if tenant.priority is not None
    }


def _team_by_key(
    tenants: tuple[_Tenant, ...] | None,
) -> dict[bytes, str] | None:
    if tenants is None:
        return None
    return {
        key.encode(): tenant.name
        for tenant in tenants
        for key in tenant.api_keys
    }
