"""Configuration objects that operators publish.

All are frozen `msgspec` structures that reject unknown fields. Objects refer
to one another by name; `bergamotthread.version.checks` checks the whole set.
"""

from __future__ import annotations

import enum

import msgspec

from bergamotthread.wire.messages import Pin


class _Object(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """Base of configuration objects."""

    name: str


class Region(_Object, frozen=True):
    """Region and the price of its outgoing traffic, in cost units per GB."""

    egress_price_per_gb: float = 0


class FailureDomain(_Object, frozen=True):
    """Part of a region that fails as a whole."""

    region: str


class Team(_Object, frozen=True):
    """Customer of the service with its limits and credentials.

    `credential_hashes` are SHA-256 digests of bearer credentials in hex.
    """

    credential_hashes: tuple[str, ...] = ()
    weight: float = 1
    requests_per_s: float = 100
    concurrent_generations: int = 1000
    home_region: str = ''


class Operator(_Object, frozen=True):
    """Person or program that may publish, drain hosts and resolve calls."""

    credential_hashes: tuple[str, ...] = ()


class Model(_Object, frozen=True):
    """Model with the versions and adapters that engines may load."""

    versions: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    context_tokens: int = 131_072
    load_bytes: int = 0


class ResumeMode(enum.StrEnum):
    """How a service prepares for the loss of an upstream."""

    ON_DEMAND = 'on_demand'
    WARM_STANDBY = 'warm_standby'


class ResumePolicy(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Trade-off between resume latency and extra resource use of a service.

    `standby_after_tokens` is the prefix length from which a standby is worth
    its compute; `cross_region` allows an upstream in another region.
    """

    mode: ResumeMode = ResumeMode.ON_DEMAND
    standby_after_tokens: int = 512
    cross_region: bool = True
    max_attempts: int = 5


class CallRule(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Rule for the calls of a plain service with a method and path prefix."""

    method: str
    path_prefix: str
    idempotent: bool
    timeout_ms: int = 10_000


class ServiceKind(enum.StrEnum):
    """Kind of upstreams that serve a service."""

    MODEL = 'model'
    PLAIN = 'plain'


class Service(_Object, frozen=True):
    """Named service that callers address."""

    kind: ServiceKind
    resume: ResumePolicy = ResumePolicy()
    calls: tuple[CallRule, ...] = ()
    key_lifetime_ms: int = 86_400_000
    deadline_ms: int = 1_800_000


class Route(_Object, frozen=True):
    """Maps requests for a service and a model name to a pinned model.

    `teams` is empty if every team may use the route; `fallback` names a route
    of the same service to try if this one has no upstream.
    """

    service: str
    model: str = ''
    version: str = ''
    adapter: str = ''
    teams: tuple[str, ...] = ()
    regions: tuple[str, ...] = ()
    fallback: str = ''


class Upstream(_Object, frozen=True):
    """Model engine or plain service, at the address of its agent."""

    agent: str
    failure_domain: str
    models: tuple[Pin, ...] = ()
    service: str = ''
    checks_fencing: bool = False
    kv_capacity: int = 200_000
    max_running: int = 64


class Stop(_Object, frozen=True):
    """Planned stop of the host that an agent or entry runs on.

    `start_ms` and `deadline_ms` are milliseconds since the Unix epoch.
    """

    address: str
    start_ms: int
    deadline_ms: int
    reason: str = ''


class ObjectSet(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """All objects of one version.

    `outage_lease_ms` is how long a registered process may continue to admit
    requests by its version without proof that no newer one is published; 0
    leaves only the version lease.
    """

    regions: tuple[Region, ...] = ()
    failure_domains: tuple[FailureDomain, ...] = ()
    teams: tuple[Team, ...] = ()
    operators: tuple[Operator, ...] = ()
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    stops: tuple[Stop, ...] = ()
    outage_lease_ms: int = 0


KINDS = (
    'regions',
    'failure_domains',
    'teams',
    'operators',
    'models',
    'services',
    'routes',
    'upstreams',
    'stops',
)
