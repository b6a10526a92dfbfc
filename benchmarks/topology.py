"""Regions, failure domains and agents of the simulated fleet."""

from __future__ import annotations

from benchmarks.engine_model import KV_CAPACITY, MAX_RUNNING
from bergamotthread.version.objects import (
    FailureDomain,
    ObjectSet,
    Region,
    Upstream,
)
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Pin

PIN = Pin('quench', '1')
DOMAINS = ('r0d0', 'r0d1', 'r0d2', 'r1d0', 'r1d1')
AGENTS_PER_DOMAIN = 5
ENTRY_REGIONS = ('r0', 'r0', 'r1')
ENTRY_WEIGHTS = (0.3, 0.3, 0.4)
EGRESS_PRICE_PER_GB = 20


def published_fleet() -> PublishedVersion:
    """Return a published version that lists all agents of the fleet."""
    object_set = ObjectSet(
        regions=(
            Region('r0', EGRESS_PRICE_PER_GB),
            Region('r1', EGRESS_PRICE_PER_GB),
        ),
        failure_domains=tuple(
            FailureDomain(domain, domain[:2]) for domain in DOMAINS
        ),
        upstreams=tuple(
            Upstream(
                name=agent,
                agent=agent,
                failure_domain=domain,
                models=(PIN,),
                kv_capacity=KV_CAPACITY,
                max_running=MAX_RUNNING,
            )
            for domain in DOMAINS
            for agent in agents_of(domain)
        ),
    )
    return PublishedVersion.from_object_set(1, object_set)


def agents_of(domain: str) -> tuple[str, ...]:
    """Return the agents of a failure domain."""
    return tuple(f'{domain}a{index}' for index in range(AGENTS_PER_DOMAIN))


ALL_AGENTS = tuple(agent for domain in DOMAINS for agent in agents_of(domain))
