"""Routes, services and keys of one published version, for lookups."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotthread.connection.http.caller_connection import CallerLimits
from bergamotthread.process.overload.rank import SINGLE_RANK, Rank

# Priority of the team, or else of the route; priority of the route.
_Priorities = tuple[int, int]


class Repeatability(enum.Enum):
    """Whether a request may be repeated after it was sent to an upstream."""

    NEVER = 'never'
    ANY_TIME = 'any_time'
    RESUMABLE = 'resumable'

    @property
    def may_retry(self) -> bool:
        """Return whether a request may run more than once."""
        return self is not Repeatability.NEVER


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Service of a route and its weight among the route's services."""

    service: str
    weight: float = 1


@dataclass(frozen=True, slots=True)
class RelayRoute:
    """Route for requests with one host and path prefix.

    Parameters
    ----------
    is_stream
        Whether the answer is a stream of events.
    max_attempts
        Maximum number of upstreams that one request is sent to.
    timeout_ms
        Maximum time that a request waits for an answer.
    first_event_target_ms
        Target for the time to the answer, or to its first event.
    priority
        0 for the most urgent.
    pause_target_ms
        Longest pause between events of a stream that is on time; 0 if the
        version states none.
    """

    name: str
    host: bytes
    path_prefix: bytes
    services: tuple[WeightedService, ...]
    repeatability: Repeatability
    is_stream: bool
    max_attempts: int
    timeout_ms: float
    first_event_target_ms: float
    priority: int = 0
    needs_key: bool = True
    pause_target_ms: float = 0


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """Capabilities of the engines of a service.

    Parameters
    ----------
    slots
        Requests that one engine runs concurrently.
    kv_capacity_tokens
        Tokens that fit into the memory of one engine.
    """

    slots: int
    kv_capacity_tokens: int
    copies_memory: bool
    accepts_moves: bool


@dataclass(frozen=True, slots=True)
class RelayService:
    """One service of a version; `engine` is None for plain services."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None


@dataclass(frozen=True)
class RouteTable:
    """Routes, services, limits and keys of one version.

    `team_by_key` is None if requests need no key. The priority of a team goes
    before that of the route, which decides between teams of one priority. The
    requests of a team without a priority have that of the route.
    """

    version: int
    routes: tuple[RelayRoute, ...]
    service_by_name: dict[str, RelayService]
    limits: CallerLimits
    team_by_key: dict[bytes, str] | None
    priority_by_team: dict[str, int] = field(default_factory=dict)
    routes_by_host: dict[bytes, tuple[RelayRoute, ...]] = field(
        init=False,
        repr=False,
    )
    _ranks_by_service: dict[str, tuple[_Priorities, ...]] = field(
        init=False,
        repr=False,
    )

    def __post_init__(self) -> None:
        object.__setattr__(self, 'routes_by_host', _by_host(self.routes))
        ranks_by_service = _ranks_by_service(
            self.routes, self.priority_by_team, self._has_unranked_teams()
        )
        object.__setattr__(self, '_ranks_by_service', ranks_by_service)

    def rank(self, route: RelayRoute, service: str, team: str) -> Rank:
        """Return the rank of a team's request among those for a service."""
        ranks = self._ranks_by_service.get(service, ())
        priority = self.priority_by_team.get(team, route.priority)
        priorities = (priority, route.priority)
        if priorities not in ranks:
            return SINGLE_RANK
        return Rank(ranks.index(priorities), len(ranks))

    def match(self, host: bytes, target: bytes) -> RelayRoute | None:
        """Return the route with the longest matching prefix, or None."""
        path = target.partition(b'?')[0]
        for route in self.routes_by_host.get(_host_name(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def _has_unranked_teams(self) -> bool:
        """Return whether some teams have no priority of their own."""
        teams = set((self.team_by_key or {}).values())
        return not teams or not teams <= self.priority_by_team.keys()


def _host_name(host: bytes) -> bytes:
    return host.strip().lower().partition(b':')[0]


def _by_host(
    routes: Iterable[RelayRoute],
) -> dict[bytes, tuple[RelayRoute, ...]]:
    grouped: dict[bytes, list[RelayRoute]] = {}
    for route in routes:
        grouped.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(host_routes, key=_prefix_length, reverse=True))
        for host, host_routes in grouped.items()
    }


def _ranks_by_service(
    routes: Iterable[RelayRoute],
    priority_by_team: dict[str, int],
    has_unranked_teams: bool,
) -> dict[str, tuple[_Priorities, ...]]:
    """Return the ranks of each service, the most urgent in front.

    Any team may use any route.
    """
    of_teams = set(priority_by_team.values())
    grouped: dict[str, set[_Priorities]] = {}
    for route in routes:
        own = (
            set()
            if route.needs_key and not has_unranked_teams
            else {route.priority}
        )
        for weighted in route.services:
            ranks = grouped.setdefault(weighted.service, set())
            ranks.update((first, route.priority) for first in of_teams | own)
    return {service: tuple(sorted(ranks)) for service, ranks in grouped.items()}


def _prefix_length(route: RelayRoute) -> int:
    return len(route.path_prefix)
