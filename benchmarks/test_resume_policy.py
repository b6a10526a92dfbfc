"""Bounds of the resume, from the targets and against the naive baseline."""

import pytest

from benchmarks.figures import percentile
from benchmarks.resume_policy import (
    NAIVE,
    ON_DEMAND,
    ON_DEMAND_CROSS,
    SITES,
    WARM_CROSS,
    Fault,
    measure_use,
)

TERMOLAB = SITES[0]
SEEDS = (1,)
LOSS_P95_MS = 3000
SEEN_DEATH_P95_MS = 1000


@pytest.mark.parametrize(
    ('fault', 'bound_ms'),
    [
        (Fault.ENGINE_DEATH, SEEN_DEATH_P95_MS),
        (Fault.HOST_DEATH, LOSS_P95_MS),
        (Fault.ENGINE_PAUSE, LOSS_P95_MS),
    ],
)
def test_output_goes_on_in_time(fault: Fault, bound_ms: float) -> None:
    use = measure_use(TERMOLAB, ON_DEMAND_CROSS, fault, SEEDS)
    assert not use.refused
    assert use.resume_ms
    assert percentile(use.resume_ms, 0.95) < bound_ms


def test_resume_beats_the_restart_from_zero() -> None:
    naive = measure_use(TERMOLAB, NAIVE, Fault.ENGINE_DEATH, SEEDS)
    resumed = measure_use(TERMOLAB, ON_DEMAND, Fault.ENGINE_DEATH, SEEDS)
    ratio = percentile(resumed.resume_ms, 0.5) / percentile(
        naive.resume_ms, 0.5
    )
    assert ratio < 0.5
    assert resumed.decoded_tokens < naive.decoded_tokens


def test_warm_standby_goes_on_sooner() -> None:
    cold = measure_use(TERMOLAB, ON_DEMAND_CROSS, Fault.ENGINE_DEATH, SEEDS)
    warm = measure_use(TERMOLAB, WARM_CROSS, Fault.ENGINE_DEATH, SEEDS)
    assert percentile(warm.resume_ms, 0.5) < percentile(cold.resume_ms, 0.5)
    assert not warm.refused
