"""Streams with long prompts among shorter ones, under overload."""

from __future__ import annotations

import random
from functools import lru_cache

import pytest

from benchmarks.overload_model import DEFAULT_RATE_PER_MS, OverloadModel
from bergamotthread.clock import Clock
from bergamotthread.process.overload.length_use import (
    SHARE_LEAST,
    SHARE_MIN,
    LengthUse,
)

ENGINES = 20
SHORT = 6000
LONG = 14_000
# Callers compare the largest tenth of a kind of request with all of the kind.
ASKED_SHARE = 0.5


@lru_cache
def _in_time(spread: float, times: float, seed: int) -> tuple[float, float]:
    """Return the fraction of all prompts, and of the largest tenth, in time."""
    model = OverloadModel(
        (DEFAULT_RATE_PER_MS,) * ENGINES, entries=12, seed=seed
    )
    model.spread = spread
    model.offer(ENGINES / 4, seconds=3)
    outcomes = model.offer(ENGINES * times, seconds=14)
    in_time = {one.name for one in outcomes.placed_streams if one.is_in_time}
    offered = sorted(outcomes.offered, key=lambda one: one.tokens)
    largest = offered[len(offered) * 9 // 10 :]
    of_all, of_largest = (
        sum(one.name in in_time for one in streams) / len(streams)
        for streams in (offered, largest)
    )
    return of_all, of_largest


@pytest.mark.parametrize(('spread', 'times'), [(0.4, 4), (0.7, 2), (0.7, 4)])
def test_long_prompts_are_served_half_as_often_as_all(spread, times):
    """Engines take one mean prompt a second; callers ask for more."""
    shares = [_in_time(spread, times, seed) for seed in (1, 2, 3)]
    of_all = sum(share for share, _ in shares)
    of_largest = sum(share for _, share in shares)
    assert of_largest >= ASKED_SHARE * of_all


def _use() -> LengthUse:
    now_ms = [0.0]
    use = LengthUse(Clock(lambda: now_ms[0], lambda: 0), random.Random(3))
    for number in range(100):
        use.offer(LONG if number % 8 == 0 else SHORT)
    return use


def _admit(use: LengthUse, share: float) -> None:
    """Admit half of all prompts, and a class at a share of that."""
    for _ in range(round(6 * share)):
        use.admit(LONG)
    for _ in range(45):
        use.admit(SHORT)


@pytest.mark.parametrize(
    ('share', 'is_judged_longer'),
    [(SHARE_MIN + 0.2, False), (SHARE_LEAST - 0.2, True)],
)
def test_short_prompts_are_judged_as_long_ones_that_lack_their_share(
    share, is_judged_longer
):
    use = _use()
    _admit(use, share)
    judged = [use.offer(SHORT) for _ in range(5)]
    assert set(judged) == {LONG if is_judged_longer else SHORT}
    assert use.offer(LONG) == LONG


def test_nothing_changes_while_nobody_is_admitted():
    use = _use()
    assert use.offer(SHORT) == SHORT
