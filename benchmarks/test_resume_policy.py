"""Bounds on resume latency, from the targets and against a restart."""

import functools

import pytest

from benchmarks.figures import percentile
from benchmarks.resume_policy import (
    NAIVE,
    ON_DEMAND_CROSS,
    SITES,
    WARM_CROSS,
    Fault,
    ResourceUse,
    ResumeStrategy,
    measure_use,
)

TERMOLAB = SITES[0]
SEEDS = (1,)
LOSS_P95_MS = 3000
SEEN_DEATH_P95_MS = 1000
NAIVE_RATIO = 2
MEDIAN = 0.5
P95 = 0.95


@functools.cache
def _measure(way: ResumeStrategy, fault: Fault) -> ResourceUse:
    return measure_use(TERMOLAB, way, fault, SEEDS)


@pytest.mark.parametrize(
    ('fault', 'bound_ms'),
    [
        (Fault.ENGINE_DEATH, SEEN_DEATH_P95_MS),
        (Fault.HOST_DEATH, LOSS_P95_MS),
        (Fault.ENGINE_PAUSE, LOSS_P95_MS),
    ],
)
def test_output_goes_on_in_time(fault: Fault, bound_ms: float) -> None:
    """Output resumes within the target after each kind of fault."""
    use = _measure(ON_DEMAND_CROSS, fault)
    assert not use.refused
    assert use.resume_ms
    assert percentile(use.resume_ms, P95) < bound_ms


def test_resume_beats_the_restart_from_zero() -> None:
    """A resume takes less than half the time of a restart and decodes less."""
    naive = _measure(NAIVE, Fault.ENGINE_DEATH)
    resumed = _measure(ON_DEMAND_CROSS, Fault.ENGINE_DEATH)
    naive_ms = percentile(naive.resume_ms, MEDIAN)
    assert naive_ms > NAIVE_RATIO * percentile(resumed.resume_ms, MEDIAN)
    assert resumed.decoded_tokens < naive.decoded_tokens


def test_warm_standby_goes_on_sooner() -> None:
    """A warm standby resumes sooner than an upstream chosen on demand."""
    cold = _measure(ON_DEMAND_CROSS, Fault.ENGINE_DEATH)
    warm = _measure(WARM_CROSS, Fault.ENGINE_DEATH)
    warm_ms = percentile(warm.resume_ms, MEDIAN)
    assert warm_ms < percentile(cold.resume_ms, MEDIAN)
    assert not warm.refused
