"""Forecast of an engine's first event, and what it is learned from."""

from __future__ import annotations

import pytest

from bergamotthread.clock import Clock
from bergamotthread.process.overload.expected_wait import EngineWork, Holding
from bergamotthread.process.overload.rank_use import Precedence
from bergamotthread.process.overload.run_statistics import RunStatistics
from bergamotthread.process.relay.engine_forecast import forecast_engine
from bergamotthread.process.relay.upstreams import (
    REPORT_LAG_MS,
    LoadReport,
    RunProgress,
    Upstream,
    UpstreamDirectory,
    UpstreamRecord,
    UpstreamState,
)

RATE_PER_S = 8000


def _upstream(**report) -> Upstream:
    record = UpstreamRecord(
        'u', 's', 'a:1', 'd', UpstreamState.READY, slots=64, started_ms=1
    )
    upstream = Upstream(record)
    if report:
        fields = {
            'queued': 0,
            'running': 0,
            'kv_used': 0,
            'kv_total': 88_000,
            'at_ms': 1000,
        }
        upstream.report = LoadReport(**{**fields, **report})
    return upstream


def _runs(*events: int) -> tuple[RunProgress, ...]:
    return tuple(
        RunProgress(f'r{number}', 8000, count)
        for number, count in enumerate(events)
    )


@pytest.mark.parametrize(
    ('work', 'wait_ms'),
    [
        (EngineWork(0, RATE_PER_S), 0),
        (EngineWork(16_000, RATE_PER_S), 2000),
        (EngineWork(0, RATE_PER_S, missing_slots=3, slot_ms=500), 1500),
        (EngineWork(0, RATE_PER_S, missing_slots=-3, slot_ms=500), 0),
    ],
)
def test_prompt_waits_for_prefill_and_for_a_slot(work, wait_ms):
    assert work.wait_ms == wait_ms


@pytest.mark.parametrize(
    ('missing_tokens', 'wait_ms'),
    [(-5, 0), (0, 0), (1, 100), (50, 100), (51, 300), (70, 900), (999, 900)],
)
def test_prompt_waits_until_attempts_that_end_release_memory(
    missing_tokens, wait_ms
):
    holdings = (Holding(10, 900), Holding(50, 100), Holding(10, 300))
    work = EngineWork(
        0, RATE_PER_S, missing_tokens=missing_tokens, holdings=holdings
    )
    assert work.wait_ms == wait_ms


def test_engine_without_work_starts_at_once():
    forecast = forecast_engine(_upstream(), 8000, RunStatistics())
    assert forecast.first_event_ms == pytest.approx(1000)


def test_tokens_sent_since_the_report_count():
    upstream = _upstream(unread_tokens=8000, running=1, kv_used=8000)
    upstream.record_send(8000, now_ms=1010)
    forecast = forecast_engine(upstream, 8000, RunStatistics())
    assert forecast.first_event_ms == pytest.approx(3000)


def test_report_that_is_late_does_not_hide_own_requests():
    upstream = _upstream()
    upstream.record_send(8000, now_ms=1000)
    load = LoadReport(0, 0, 0, 88_000, at_ms=1000 + REPORT_LAG_MS - 1)
    upstream.apply_report(load)
    assert upstream.sent_since_report == 8000
    upstream.apply_report(
        LoadReport(0, 0, 0, 88_000, at_ms=1001 + REPORT_LAG_MS)
    )
    assert upstream.sent_since_report == 0


def test_full_memory_delays_the_prompt_until_a_run_ends():
    upstream = _upstream(
        running=11, kv_used=88_000, runs=_runs(*range(0, 110, 10))
    )
    upstream.statistics.record_interval(50)
    outputs = RunStatistics(output_tokens=120)
    forecast = forecast_engine(upstream, 8000, outputs)
    assert forecast.work.wait_ms == pytest.approx((120 - 100) * 50)
    assert not forecast.work.is_prefill_bound


def test_copies_and_unread_prompts_release_memory_in_turn():
    upstream = _upstream(running=0, kv_used=80_000, copies=4)
    upstream.statistics.record_interval(50)
    outputs = RunStatistics(output_tokens=120)
    work = forecast_engine(upstream, 20_000, outputs).work
    assert work.memory_ms == pytest.approx(6000 / 4 * 0.5)


def test_pace_of_the_runs_follows_from_two_reports():
    upstream = _upstream(runs=_runs(10, 20))
    later = LoadReport(0, 2, 0, 88_000, at_ms=1300, runs=_runs(16, 26))
    upstream.apply_report(later)
    assert upstream.statistics.between_tokens_ms == pytest.approx(50)


def _directory() -> UpstreamDirectory:
    directory = UpstreamDirectory(Clock(lambda: 1.0, lambda: 1.0))
    for name in ('u', 'v'):
        directory.update(
            UpstreamRecord(
                name, 's', f'{name}:1', 'd', UpstreamState.READY, started_ms=1
            )
        )
    return directory


def test_unknown_engine_is_as_fast_as_the_others_of_its_service():
    directory = _directory()
    slow, unknown = (directory.get(name) for name in ('u', 'v'))
    for _ in range(50):
        directory.record_prefill(slow, 8000, 4000)
    outputs = directory.outputs('s')
    for upstream in (slow, unknown):
        forecast = forecast_engine(upstream, 8000, outputs)
        assert forecast.first_event_ms == pytest.approx(4000, rel=0.05)


def test_slow_engine_does_not_make_a_fast_one_slow():
    directory = _directory()
    slow, fast = (directory.get(name) for name in ('u', 'v'))
    for _ in range(50):
        directory.record_prefill(slow, 8000, 4000)
        directory.record_prefill(fast, 8000, 1000)
    outputs = directory.outputs('s')
    forecast = forecast_engine(fast, 8000, outputs)
    assert forecast.first_event_ms == pytest.approx(1000, rel=0.05)


def test_output_length_follows_the_first_streams_at_once():
    directory = _directory()
    upstream = directory.get('u')
    directory.record_stream(upstream, 40, 2000)
    assert directory.outputs('s').output_tokens == pytest.approx(40)
    directory.record_stream(upstream, 60, 2000)
    assert directory.outputs('s').output_tokens == pytest.approx(50)


def test_sends_are_kept_only_until_a_report_can_show_them():
    """Plain upstreams, whose requests have no prompt, send no reports."""
    plain, engine = _upstream(), _upstream()
    for sent_ms in range(1000):
        plain.record_send(0, now_ms=sent_ms)
        engine.record_send(10, now_ms=sent_ms)
    assert not plain._recent_sends
    engine.apply_report(LoadReport(0, 0, 0, 88_000, at_ms=2000))
    assert not engine._recent_sends


def test_run_that_gives_way_releases_its_memory_once():
    """Less urgent runs give way, but the prompt needs more than they hold."""
    less_urgent = (RunProgress('r0', 16_000, 110, urgency=1),)
    urgent = (RunProgress('r1', 72_000, 20, urgency=0),)
    upstream = _upstream(running=2, kv_used=88_000, runs=less_urgent + urgent)
    upstream.statistics.record_interval(50)
    outputs = RunStatistics(output_tokens=120)
    first = Precedence(urgency=0)
    work = forecast_engine(upstream, 20_000, outputs, first).work
    assert work.memory_ms == pytest.approx((120 - 20) * 50)
    work = forecast_engine(upstream, 16_000, outputs, first).work
    assert work.memory_ms == 0
