"""Metrics in the text format, with bounded labels and recent percentiles."""

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from starlette.applications import Starlette

from bergamotthread.clock import Clock
from bergamotthread.process import metrics as metrics_module
from bergamotthread.process.membership.health import Readiness, health_routes
from bergamotthread.process.metrics import Metrics, Percentiles
from bergamotthread.testing.asgi_call import call_get
from bergamotthread.testing.virtual_loop import run_virtual

_CLOCK = Clock(lambda: 0, lambda: 0)


def test_text_format_of_each_kind_of_metric() -> None:
    metrics = Metrics(_CLOCK)
    metrics.counter('requests_total', 'Requests.').increment()
    refusals = metrics.labelled_counter('refusals_total', 'Refusals.', 'reason')
    refusals.increment('over "limit"\n', 3)
    metrics.gauge('streams', 'Open streams.', lambda: 12)
    latency = metrics.percentiles('resume_ms', 'Resume latency.')
    for duration_ms in range(1, 101):
        latency.record(duration_ms)
    assert metrics.expose().splitlines() == [
        '# HELP requests_total Requests.',
        '# TYPE requests_total counter',
        'requests_total 1',
        '# HELP refusals_total Refusals.',
        '# TYPE refusals_total counter',
        r'refusals_total{reason="over \"limit\"\n"} 3',
        '# HELP streams Open streams.',
        '# TYPE streams gauge',
        'streams 12',
        '# HELP resume_ms Resume latency.',
        '# TYPE resume_ms summary',
        'resume_ms{quantile="0.5"} 50.1',
        'resume_ms{quantile="0.95"} 95.1',
        'resume_ms{quantile="0.99"} 99.1',
        'resume_ms_sum 5050',
        'resume_ms_count 100',
    ]


def test_label_values_beyond_the_limit_count_as_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(metrics_module, 'MAX_LABELS', 2)
    counter = Metrics(_CLOCK).labelled_counter('a', 'A.', 'peer')
    for peer in ('one', 'two', 'three', 'four', 'one'):
        counter.increment(peer)
    assert counter.totals_by_value == {'one': 2, 'two': 1, 'other': 2}


def test_duplicate_metric_name_is_refused() -> None:
    metrics = Metrics(_CLOCK)
    metrics.counter('a', 'A.')
    with pytest.raises(ValueError, match='metric a exists'):
        metrics.counter('a', 'A.')


@given(st.lists(st.floats(0, 10_000), min_size=1, max_size=50))
def test_percentiles_are_close_to_the_values(durations: list[float]) -> None:
    percentiles = Percentiles(_CLOCK)
    for duration_ms in durations:
        percentiles.record(duration_ms)
    largest = max(durations)
    assert percentiles.percentile(1) == pytest.approx(largest, 0.01, 0.2)


def test_percentiles_drop_values_older_than_the_window() -> None:
    async def main() -> None:
        clock = Clock.from_loop(asyncio.get_running_loop())
        percentiles = Percentiles(clock)
        percentiles.record(500)
        await clock.sleep_ms(metrics_module.WINDOW_MS)
        percentiles.record(5)
        assert percentiles.percentile(1) == pytest.approx(500, 0.01)
        await clock.sleep_ms(2 * metrics_module.WINDOW_MS)
        percentiles.record(5)
        assert percentiles.percentile(1) == pytest.approx(5, 0.02)

    run_virtual(main())


@pytest.mark.parametrize(
    ('reasons', 'status'), [((), 200), (('draining',), 503)]
)
def test_health_routes_show_metrics_and_readiness(
    reasons: tuple[str, ...], status: int
) -> None:
    metrics = Metrics(_CLOCK)
    metrics.counter('requests_total', 'Requests.')
    routes = health_routes(metrics, lambda: Readiness(reasons))
    app = Starlette(routes=list(routes))

    async def main() -> None:
        assert b'requests_total 0' in (await call_get(app, '/metrics')).body
        assert (await call_get(app, '/healthz')).status == 200
        answer = await call_get(app, '/readyz')
        assert answer.status == status
        assert json.loads(answer.body)['reasons'] == list(reasons)

    run_virtual(main())
