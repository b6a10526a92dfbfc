from collections import Counter

import pytest

from bergamotthread.process.routing.routing import ScoredPlacement
from bergamotthread.request.refusal import Ran, ReasonCode, RefusedError
from bergamotthread.version.objects import Stop
from bergamotthread.wire.messages import LoadReport, Pin
from tests.placement_fixtures import ManualClock, placement_request, published


def _placement(time, version=None, region='r0', **fields) -> ScoredPlacement:
    version = version or published()
    return ScoredPlacement.from_published(version, region, time.clock, **fields)


def _chosen(placement, count=60, **fields) -> Counter[str]:
    return Counter(
        placement.choose(placement_request(f'g{index}', **fields))
        for index in range(count)
    )


def test_own_region_is_preferred_while_it_is_idle() -> None:
    placement = _placement(ManualClock())
    assert set(_chosen(placement)) <= {'a0', 'a2', 'a4'}


def test_long_queue_outweighs_the_cost_of_cross_region_traffic() -> None:
    placement = _placement(ManualClock())
    for agent in ('a0', 'a2', 'a4'):
        placement.record_load(agent, LoadReport(running=8, queued=20))
    for agent in ('a1', 'a3', 'a5'):
        placement.record_load(agent, LoadReport())
    assert set(_chosen(placement)) <= {'a1', 'a3', 'a5'}


def test_other_region_is_not_used_if_not_allowed() -> None:
    placement = _placement(ManualClock(), published(upstreams=2), region='r1')
    placement.record_loss('a1')
    request = placement_request(cross_region=False)
    with pytest.raises(RefusedError) as caught:
        placement.choose(request)
    refusal = caught.value.refusal
    assert refusal.reason is ReasonCode.NO_UPSTREAM
    assert refusal.ran is Ran.NOT_RUN
    assert refusal.retry_after_ms > 0
    assert refusal.config_version == 3


def test_refused_resume_reports_that_work_may_have_run() -> None:
    """The caller must not repeat a request whose first attempt was lost."""
    placement = _placement(ManualClock())
    with pytest.raises(RefusedError) as caught:
        placement.choose(placement_request(pin=Pin('x', '2'), resume=True))
    assert caught.value.refusal.ran is Ran.MAYBE


@pytest.mark.parametrize('way', ['report', 'plan', 'list', 'excluded', 'lost'])
def test_unavailable_agent_gets_no_new_work(way: str) -> None:
    time = ManualClock()
    stops = (Stop('stop', address='a0', start_ms=900_000, deadline_ms=2**40),)
    version = published(stops=stops if way == 'plan' else ())
    placement = _placement(time, version)
    fields = {}
    match way:
        case 'report':
            placement.record_load('a0', LoadReport(draining=True))
        case 'list':
            placement.mark_leaving(frozenset({'a0'}))
        case 'excluded':
            fields['excluded'] = frozenset({'a0'})
        case 'lost':
            placement.record_loss('a0')
    assert 'a0' not in _chosen(placement, **fields)


def test_planned_stop_excludes_the_agent_from_its_start_time() -> None:
    time = ManualClock()
    stop = Stop('stop', address='a0', start_ms=1_000_500, deadline_ms=2**40)
    placement = _placement(time, published(upstreams=1, stops=(stop,)))
    assert placement.choose(placement_request()) == 'a0'
    time.advance_ms(600)
    with pytest.raises(RefusedError):
        placement.choose(placement_request())


def test_lost_agent_is_used_again_once_heard_from() -> None:
    placement = _placement(ManualClock(), published(upstreams=1))
    placement.record_loss('a0')
    with pytest.raises(RefusedError):
        placement.choose(placement_request())
    placement.record_load('a0', LoadReport())
    assert placement.choose(placement_request()) == 'a0'


@pytest.mark.parametrize(
    ('lost', 'resume', 'avoided'),
    [(('a0',), True, True), (('a0',), False, False), (('a0', 'a4'), 0, True)],
)
def test_failure_domain_is_avoided_after_losses(
    lost, resume: bool, avoided: bool
) -> None:
    time = ManualClock()
    placement = _placement(time, published(upstreams=16))
    for agent in lost:
        placement.record_loss(agent)
    chosen = _chosen(placement, resume=bool(resume))
    assert (not chosen.keys() & {'a8', 'a12'}) == avoided
    time.advance_ms(10_000)
    assert _chosen(placement, resume=bool(resume)).keys() & {'a8', 'a12'}


def test_loss_of_a_whole_region_moves_work_to_the_other() -> None:
    placement = _placement(ManualClock())
    for agent in ('a0', 'a2', 'a4'):
        placement.record_loss(agent)
    assert set(_chosen(placement, resume=True)) <= {'a1', 'a3', 'a5'}


def test_idle_agent_with_the_longest_cached_prefix_is_chosen() -> None:
    placement = _placement(ManualClock(), published(upstreams=40))
    placement.record_load('a6', LoadReport(cached_prefixes=(12,)))
    placement.record_load('a8', LoadReport(cached_prefixes=(11,)))
    chosen = _chosen(placement, prefix_hashes=(11, 12, 13, 14))
    assert chosen == {'a6': 60}


def test_load_outweighs_prefix_affinity() -> None:
    placement = _placement(ManualClock(), published(upstreams=40))
    busy = LoadReport(running=8, queued=9, cached_prefixes=(11, 12, 13))
    for index in range(0, 40, 2):
        placement.record_load(f'a{index}', LoadReport())
    placement.record_load('a6', busy)
    assert 'a6' not in _chosen(placement, prefix_hashes=(11, 12, 13))


def test_own_dispatches_spread_resumes_before_any_load_report() -> None:
    """Attempts resumed at once must not all go to the idlest upstream."""
    placement = _placement(ManualClock(), published(upstreams=40, regions=1))
    chosen: Counter[str] = Counter()
    for index in range(40):
        request = placement_request(f'g{index}', resume=True)
        agent = placement.choose(request)
        placement.record_dispatch(agent, request)
        chosen[agent] += 1
    assert max(chosen.values()) <= 3
    assert len(chosen) >= 25


def test_end_of_an_attempt_restores_the_score() -> None:
    placement = _placement(ManualClock(), published(upstreams=1))
    request = placement_request()
    (target,) = placement.eligible_targets(request)
    before_ms = placement.score_ms(request, target)
    placement.record_dispatch('a0', request)
    assert placement.score_ms(request, target) > before_ms
    placement.record_end('a0', request)
    assert placement.score_ms(request, target) == before_ms


def test_estimate_of_a_stale_report_approaches_the_mean() -> None:
    time = ManualClock()
    placement = _placement(time, published(upstreams=2, regions=1))
    request = placement_request()
    first, second = placement.eligible_targets(request)
    placement.record_load('a0', LoadReport(running=8, queued=10))
    placement.record_load('a1', LoadReport())
    fresh_ms = placement.score_ms(request, first)
    time.advance_ms(20_000)
    stale_ms = placement.score_ms(request, first)
    assert stale_ms < fresh_ms
    assert stale_ms == pytest.approx(placement.score_ms(request, second), 0.01)


def test_engine_that_reports_a_low_prefill_rate_is_avoided() -> None:
    placement = _placement(ManualClock(), published(upstreams=2, regions=1))
    placement.record_load('a0', LoadReport(prefill_per_s=2000))
    placement.record_load('a1', LoadReport(prefill_per_s=8000))
    assert _chosen(placement) == {'a1': 60}


def test_subset_limits_the_candidates() -> None:
    placement = _placement(
        ManualClock(),
        subset=lambda pin, upstreams: upstreams[:1],
    )
    assert _chosen(placement) == {'a0': 60}


def test_load_is_kept_when_a_version_is_published() -> None:
    placement = _placement(ManualClock(), published(upstreams=2, regions=1))
    placement.record_load('a0', LoadReport(draining=True))
    placement.publish(published(upstreams=3, regions=1))
    assert set(_chosen(placement)) == {'a1', 'a2'}
