"""Routes, services and keys of one published version, ready to look up."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotthread.connection.http.caller_connection import CallerLimits


class Repeatability(enum.Enum):
    """What may be repeated after a request was sent to an upstream."""

    NEVER = 'never'
    ANY_TIME = 'any_time'
    RESUMABLE = 'resumable'

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        return self is not Repeatability.NEVER


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Service of a route with its share of the route's requests."""

    service: str
    weight: float = 1


@dataclass(frozen=True, slots=True)
class RelayRoute:
    """Where requests of one host and path prefix go.

    Parameters
    ----------
    is_stream
        Whether the answer is a stream of events.
    attempts_max
        Upstreams that may see one request.
    timeout_ms
        Longest time that a request is kept waiting.
    first_event_goal_ms
        Time within which the answer, or its first event, is on time.
    gap_goal_ms
        Longest pause between two events that is still on time; 0 if unset.
    """

    name: str
    host: bytes
    path_prefix: bytes
    services: tuple[WeightedService, ...]
    repeatability: Repeatability
    is_stream: bool
    attempts_max: int
    timeout_ms: float
    first_event_goal_ms: float
    gap_goal_ms: float = 0
    priority: int = 0
    needs_key: bool = True


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """What the engines of a service can do.

    Parameters
    ----------
    slots
        Requests that one engine runs at once.
    kv_capacity_tokens
        Tokens that fit into the memory of one engine.
    """

    slots: int
    kv_capacity_tokens: int
    copies_memory: bool
    accepts_moves: bool


@dataclass(frozen=True, slots=True)
class RelayService:
    """One service of a version; `engine` is none for plain services."""

    name: str
    health_path: str
    connections_max: int
    engine: EngineTraits | None = None


@dataclass(frozen=True)
class RouteTable:
    """What one version says about requests.

    `team_by_key` is none where no keys are asked for.
    """

    version: int
    routes: tuple[RelayRoute, ...]
    service_by_name: dict[str, RelayService]
    limits: CallerLimits
    team_by_key: dict[bytes, str] | None
    routes_by_host: dict[bytes, tuple[RelayRoute, ...]] = field(
        init=False,
        repr=False,
    )

    def __post_init__(self) -> None:
        object.__setattr__(self, 'routes_by_host', _by_host(self.routes))

    def match(self, host: bytes, target: bytes) -> RelayRoute | None:
        """Return the route with the longest prefix of a path, or none."""
        path = target.partition(b'?')[0]
        for route in self.routes_by_host.get(_host_name(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def _host_name(host: bytes) -> bytes:
    return host.strip().lower().partition(b':')[0]


def _by_host(
    routes: Iterable[RelayRoute],
) -> dict[bytes, tuple[RelayRoute, ...]]:
    grouped: dict[bytes, list[RelayRoute]] = {}
    for route in routes:
        grouped.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(found, key=_prefix_length, reverse=True))
        for host, found in grouped.items()
    }


def _prefix_length(route: RelayRoute) -> int:
    return len(route.path_prefix)
