"""Regression bounds of the routing scenarios.

Bounds come from the targets or from baselines. These are short variants in
virtual time; `python -m benchmarks.routing` runs the full scenarios.
"""

from __future__ import annotations

import functools

import pytest

from benchmarks.scenarios import (
    BETWEEN_TOKENS_TARGET_MS,
    FIRST_TOKEN_TARGET_MS,
    NORMAL_LOAD,
    RESUME_TARGET_MS,
    FairnessCase,
    LoadCase,
    LoadRow,
    LossCase,
    OverloadCase,
    PoisonCase,
    run_fairness,
    run_load,
    run_loss,
    run_overload,
    run_poison,
)
from bergamotthread.process.poison.limits import COUNTED_DEATHS_MAX

_COLD_MS = 20_000
_STEADY_MS = 60_000
_MEASURED_MS = 25_000


@functools.cache
def _row(placement: str, warm_up_ms: float = _COLD_MS) -> LoadRow:
    case = LoadCase(
        placement,
        NORMAL_LOAD,
        measured_ms=_MEASURED_MS,
        warm_up_ms=warm_up_ms,
    )
    return run_load(case)


def test_normal_load_meets_the_targets() -> None:
    """At 80% load, p95 of first token and between tokens meet the targets."""
    row = _row('scored')
    assert row.first_token_ms[1] <= FIRST_TOKEN_TARGET_MS
    assert row.between_p95_ms <= BETWEEN_TOKENS_TARGET_MS


@pytest.mark.parametrize(
    ('baseline', 'warm_up_ms'),
    [
        ('round robin', _COLD_MS),
        ('power of two', _COLD_MS),
        ('size-aware, all', _COLD_MS),
        ('prefix-affine, bounded', _STEADY_MS),
    ],
)
def test_scored_is_no_worse_than(baseline: str, warm_up_ms: float) -> None:
    """Prefix affinity has a longer warm-up, since it needs full caches."""
    baseline_row = _row(baseline, warm_up_ms)
    scored_row = _row('scored', warm_up_ms)
    assert scored_row.first_token_ms[1] <= 1.1 * baseline_row.first_token_ms[1]
    assert scored_row.cross_region_mb < baseline_row.cross_region_mb


def test_size_term_balances_the_caches() -> None:
    """The cost of KV cache use does not make the KV caches less balanced."""
    by_count = _row('scored, no size term')
    assert _row('scored').imbalance <= by_count.imbalance


def test_loss_of_a_fifth_is_resumed_in_time() -> None:
    """After the loss of a failure domain, all resume and others stay fast."""
    row = run_loss(LossCase(seeds=(7,), warm_up_ms=30_000))
    assert row.unresumed == 0
    assert row.resume_ms[1] <= RESUME_TARGET_MS
    assert row.between_p95_ms <= BETWEEN_TOKENS_TARGET_MS


def test_scattered_loss_noticed_late_is_resumed_in_time() -> None:
    """A fifth of the upstreams in all domains dies, detected after 1 s."""
    case = LossCase(scattered=True, seeds=(7,), warm_up_ms=30_000)
    row = run_loss(case)
    assert row.unresumed == 0
    assert row.resume_ms[1] <= RESUME_TARGET_MS


def test_fleet_recovers_from_an_overload() -> None:
    """The target is met again within 10 s of the return to 80% load."""
    case = OverloadCase(
        before_ms=10_000,
        overload_ms=15_000,
        after_ms=25_000,
    )
    row = run_overload(case)
    assert row.recovery_s is not None
    assert row.recovery_s <= 10


def _fairness_case(factor: float) -> FairnessCase:
    return FairnessCase(0.6, factor, seeds=(7,), measured_ms=20_000)


def test_greedy_team_moves_no_other() -> None:
    """A team at 20 times its share raises the others' p95 by at most 10%."""
    quiet = run_fairness(_fairness_case(1))
    greedy = run_fairness(_fairness_case(20))
    assert greedy.small_p95_ms <= 1.1 * quiet.small_p95_ms
    assert not greedy.small_refused


def test_poison_kills_a_bounded_number() -> None:
    """Engine deaths are bounded; no other request is refused or lost."""
    row = run_poison(PoisonCase(measured_ms=30_000, warm_up_ms=15_000))
    assert row.refused_poison > 0
    assert row.refused_innocent == 0
    assert row.lost == 0
    assert sum(row.deaths_by_region.values()) <= 2 * COUNTED_DEATHS_MAX
