"""Manifest of the operator, decoded into a route table."""

from __future__ import annotations

import msgspec

from bergamotthread.connection.http.caller_connection import CallerLimits
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
    gap_target_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    auth_exempt: bool = False
    stream_resume: bool = False


class _Engine(msgspec.Struct, frozen=True):
    slots: int = 1
    kv_capacity_tokens: int = 0
    backups: bool = False
    moves: bool = False


class _Service(msgspec.Struct, frozen=True):
    name: str
    health_path: str = '/health'
    max_conns: int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()


class _Manifest(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


def decode_manifest(encoded: bytes) -> RouteTable:
    """Return the route table that a manifest describes.

    Raises
    ------
    msgspec.MsgspecError
        If it can't be read; the message names the path and what was expected.
    """
    manifest = msgspec.json.decode(encoded, type=_Manifest)
    return RouteTable(
        version=manifest.version,
        routes=tuple(_route(told) for told in manifest.routes),
        service_by_name={
            told.name: _service(told) for told in manifest.services
        },
        limits=_caller_limits(manifest.limits),
        team_by_key=_team_by_key(manifest.tenants),
    )


def _route(told: _Route) -> RelayRoute:
    splits = tuple(
        WeightedService(split.service, split.weight)
        for split in told.traffic_split
        if split.weight > 0
    )
    return RelayRoute(
        name=told.name,
        host=told.host.encode(),
        path_prefix=told.path_prefix.encode(),
        services=splits or (WeightedService(told.service),),
        repeatability=_repeatability(told),
        is_stream=told.route_type == _STREAM,
        attempts_max=max(told.max_attempts, 1),
        timeout_ms=told.timeout_ms,
        first_event_goal_ms=told.target_latency_ms,
        gap_goal_ms=told.gap_target_ms,
        priority=told.priority,
        needs_key=not told.auth_exempt,
    )


def _repeatability(told: _Route) -> Repeatability:
    if told.route_type == _IDEMPOTENT:
        return Repeatability.ANY_TIME
    if told.route_type == _STREAM and told.stream_resume:
        return Repeatability.RESUMABLE
    return Repeatability.NEVER


def _service(told: _Service) -> RelayService:
    engine = None
    if told.engine is not None:
        engine = EngineTraits(
            slots=told.engine.slots,
            kv_capacity_tokens=told.engine.kv_capacity_tokens,
            copies_memory=told.engine.backups,
            accepts_moves=told.engine.moves,
        )
    return RelayService(told.name, told.health_path, told.max_conns, engine)


def _caller_limits(told: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=told.max_header_bytes,
        body_bytes=told.max_body_bytes,
        header_timeout_ms=told.header_timeout_ms,
        idle_timeout_ms=told.idle_timeout_ms,
    )


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
