"""CPU time of recording a duration, compared with a bare histogram."""

from __future__ import annotations

import time
from collections.abc import Callable

from hdrh.histogram import HdrHistogram
from pytest_benchmark.fixture import BenchmarkFixture

from bergamotthread.clock import Clock
from bergamotthread.process.metrics import Percentiles

VALUES = 40_960
TOKENS_PER_S_PER_NODE = 6560

_DURATIONS_MS = [20 + (index * 7919 % 400) / 10 for index in range(VALUES)]


def _cpu_s(record: Callable[[float], object]) -> float:
    started_s = time.process_time()
    for duration_ms in _DURATIONS_MS:
        record(duration_ms)
    return time.process_time() - started_s


def test_buffered_record_beats_bare_histogram(
    benchmark: BenchmarkFixture,
) -> None:
    """Buffering equal values costs less CPU than recording each value."""
    bare = HdrHistogram(1, 36_000_000, 2)
    percentiles = Percentiles(Clock.from_system())
    bare_s = min(_cpu_s(bare.record_value) for _ in range(3))
    buffered_s = min(_cpu_s(percentiles.record) for _ in range(3))
    benchmark.extra_info['bare_us'] = bare_s / VALUES * 1_000_000
    benchmark.extra_info['buffered_us'] = buffered_s / VALUES * 1_000_000
    benchmark.extra_info['percent_of_core_at_peak'] = (
        buffered_s / VALUES * TOKENS_PER_S_PER_NODE * 100
    )
    benchmark(percentiles.record, 37)
    assert buffered_s < bare_s
