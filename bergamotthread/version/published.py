"""One published version, indexed for lookups by requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeVar

from bergamotthread.version.objects import (
    FailureDomain,
    Model,
    ObjectSet,
    Region,
    Route,
    Service,
    Team,
    Upstream,
)


class _Named(Protocol):
    @property
    def name(self) -> str: ...


_Object = TypeVar('_Object', bound=_Named)


def _index_by_name(named: tuple[_Object, ...]) -> dict[str, _Object]:
    return {indexed.name: indexed for indexed in named}


@dataclass(frozen=True)
class PublishedVersion:
    """Version number, set of objects, and indexes of the objects."""

    version: int
    object_set: ObjectSet
    regions_by_name: dict[str, Region]
    failure_domains_by_name: dict[str, FailureDomain]
    teams_by_name: dict[str, Team]
    teams_by_credential_hash: dict[str, Team]
    models_by_name: dict[str, Model]
    services_by_name: dict[str, Service]
    routes_by_name: dict[str, Route]
    upstreams_by_agent: dict[str, Upstream]

    @classmethod
    def from_object_set(
        cls,
        version: int,
        object_set: ObjectSet,
    ) -> PublishedVersion:
        """Return the index of a checked set."""
        return cls(
            version=version,
            object_set=object_set,
            regions_by_name=_index_by_name(object_set.regions),
            failure_domains_by_name=_index_by_name(object_set.failure_domains),
            teams_by_name=_index_by_name(object_set.teams),
            teams_by_credential_hash={
                digest: team
                for team in object_set.teams
                for digest in team.credential_hashes
            },
            models_by_name=_index_by_name(object_set.models),
            services_by_name=_index_by_name(object_set.services),
            routes_by_name=_index_by_name(object_set.routes),
            upstreams_by_agent={
                upstream.agent: upstream for upstream in object_set.upstreams
            },
        )

    def region_of(self, upstream: Upstream) -> str:
        """Return the name of the region that an upstream is in."""
        return self.failure_domains_by_name[upstream.failure_domain].region
