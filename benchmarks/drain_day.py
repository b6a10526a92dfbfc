"""Duration of a drain plan for the stops of one day, with default limits.

Run ``python -m benchmarks.drain_day``.
"""

from __future__ import annotations

import random
import time

from bergamotthread.process.drain.drain_plan import (
    DrainLimits,
    DrainPlan,
    find_targets,
    plan_stops,
)
from bergamotthread.version.objects import (
    FailureDomain,
    ObjectSet,
    Region,
    Upstream,
)
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Pin

REGIONS = 10
FAILURE_DOMAINS = 37
MODELS = 5
UPSTREAMS = 12_000
STOPS_PER_DAY = 1700
MS_PER_HOUR = 3_600_000


def make_version(upstream_count: int) -> PublishedVersion:
    """Return a version with upstreams spread evenly over failure domains."""
    domains = tuple(
        FailureDomain(f'd{number}', f'r{number % REGIONS}')
        for number in range(FAILURE_DOMAINS)
    )
    upstreams = tuple(
        Upstream(
            name=f'u{number}',
            agent=f'10.2.{number // 250}.{number % 250}:7000',
            failure_domain=f'd{number % FAILURE_DOMAINS}',
            models=(Pin(f'm{number % MODELS}', '1'),),
        )
        for number in range(upstream_count)
    )
    regions = tuple(Region(f'r{number}') for number in range(REGIONS))
    object_set = ObjectSet(
        regions=regions, failure_domains=domains, upstreams=upstreams
    )
    return PublishedVersion.from_object_set(1, object_set)


def plan_day(upstream_count: int, stop_count: int) -> DrainPlan:
    """Plan the stops of `stop_count` randomly chosen upstreams."""
    version = make_version(upstream_count)
    addresses = random.Random(1).sample(
        sorted(version.upstreams_by_agent), stop_count
    )
    targets = find_targets(version, (), addresses)
    return plan_stops(version, targets, DrainLimits(lead_ms=0), 0)


def main() -> None:
    """Print the duration of a day's plan and the CPU time of planning."""
    began_s = time.process_time()
    plan = plan_day(UPSTREAMS, STOPS_PER_DAY)
    spent_s = time.process_time() - began_s
    print(
        f'{len(plan.stops)} stops end after {plan.end_ms / MS_PER_HOUR} h; '
        f'planned in {spent_s:.2f} s'
    )


if __name__ == '__main__':
    main()
