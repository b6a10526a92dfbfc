from collections import Counter

import pytest

from bergamotthread.process.drain.drain_plan import (
    DrainLimits,
    DrainPlan,
    DrainPlanError,
    find_targets,
    plan_stops,
)
from bergamotthread.process.store.platform import HostEntry
from bergamotthread.version.objects import (
    FailureDomain,
    ObjectSet,
    Region,
    Stop,
    Upstream,
)
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Pin

LIMITS = DrainLimits(
    per_failure_domain=2, model_percent=10, lead_ms=5000, duration_ms=60_000
)


def _version(
    count: int, domains: int, models: int, stops: tuple[Stop, ...] = ()
) -> PublishedVersion:
    upstreams = tuple(
        Upstream(
            name=f'u{number}',
            agent=f'a{number}',
            failure_domain=f'd{number % domains}',
            models=(Pin(f'm{number % models}', '1'),),
        )
        for number in range(count)
    )
    object_set = ObjectSet(
        regions=(Region('r0'),),
        failure_domains=tuple(
            FailureDomain(f'd{number}', 'r0') for number in range(domains)
        ),
        upstreams=upstreams,
        stops=stops,
    )
    return PublishedVersion.from_object_set(1, object_set)


def _plan(version: PublishedVersion, limits: DrainLimits) -> DrainPlan:
    addresses = sorted(version.upstreams_by_agent)
    targets = find_targets(version, (), addresses)
    return plan_stops(version, targets, limits, 1000)


def _overlaps(stops: tuple[Stop, ...], at_ms: int) -> list[str]:
    return [
        stop.address
        for stop in stops
        if stop.start_ms <= at_ms < stop.deadline_ms
    ]


@pytest.mark.parametrize(('domains', 'models'), [(1, 1), (4, 3), (7, 2)])
def test_stops_stay_within_the_limits_at_all_times(
    domains: int, models: int
) -> None:
    version = _version(90, domains, models)
    plan = _plan(version, LIMITS)
    assert len(plan.stops) == 90
    for stop in plan.stops:
        running = [
            version.upstreams_by_agent[address]
            for address in _overlaps(plan.stops, stop.start_ms)
        ]
        by_domain = Counter(upstream.failure_domain for upstream in running)
        by_model = Counter(upstream.models[0].model for upstream in running)
        assert max(by_domain.values()) <= 2
        assert max(by_model.values()) <= 90 // models // 10


def test_first_stop_leaves_time_to_publish() -> None:
    plan = _plan(_version(1, 1, 1), LIMITS)
    assert plan.stops[0].start_ms == 6000
    assert plan.end_ms == 66_000


def test_published_stops_count_towards_limits_and_are_not_repeated() -> None:
    """`a0` is already planned; the stop of `a2` is over."""
    published = Stop('s', 'a0', 0, 6001)
    version = _version(3, 1, 1, (published, Stop('old', 'a2', 0, 1000)))
    limits = DrainLimits(1, 100, 5000, 60_000)
    plan = _plan(version, limits)
    assert [stop.address for stop in plan.stops] == ['a1', 'a2']
    assert plan.stops[0].start_ms == 66_000


def test_entries_are_found_in_the_host_list() -> None:
    hosts = (HostEntry('e1', 'entry', 'r0', 'd0'),)
    targets = find_targets(_version(1, 1, 1), hosts, ['e1', 'a0', 'e1'])
    assert [target.failure_domain for target in targets] == ['d0', 'd0']


def test_unknown_address_is_named_in_the_error() -> None:
    with pytest.raises(DrainPlanError, match="'nobody'"):
        find_targets(_version(1, 1, 1), (), ['nobody'])


def test_zero_limit_is_refused() -> None:
    with pytest.raises(DrainPlanError, match='per_failure_domain is 0'):
        _plan(_version(1, 1, 1), DrainLimits(per_failure_domain=0))


def test_published_stop_of_an_entry_counts_towards_its_domain() -> None:
    hosts = (HostEntry('e1', 'entry', 'r0', 'd0'),)
    version = _version(1, 1, 1, (Stop('s', 'e1', 0, 6001),))
    limits = DrainLimits(1, 100, 5000, 60_000)
    targets = find_targets(version, hosts, ['a0'])
    plan = plan_stops(version, targets, limits, 1000, hosts=hosts)
    assert plan.stops[0].start_ms == 66_000
