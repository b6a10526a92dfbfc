"""Search of cases in which the poison guard breaks what the platform states."""

from __future__ import annotations

import random

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from tests.poison_model import DEADLY_PARTS, Case, World

CASES = 200
RANDOM_CASES = 150
SENT_MAX = 3
SERVED_MIN = 0.9


def _cases(deadly_parts: int) -> st.SearchStrategy[Case]:
    return st.builds(
        Case,
        seed=st.integers(0, 1_000_000),
        entries=st.integers(1, 6),
        upstreams=st.integers(6, 16),
        deadly_share=st.floats(0.05, 0.5),
        deadly_parts=st.just(deadly_parts),
        crash_ms=st.floats(0, 2000),
        has_head=st.booleans(),
        interval_ms=st.floats(100, 600),
        sound_ms=st.floats(600, 4000),
        is_shared=st.booleans(),
        cut_from_ms=st.floats(0, 5000),
        cut_ms=st.sampled_from((0, 2000, 8000)),
        resends=st.integers(0, 3),
        streams=st.integers(80, 160),
    )


# A case is small as drawn; making it smaller takes longer than the search.
_search = settings(
    max_examples=CASES,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)


def _check(case: Case) -> None:
    world = World(case).play()
    assert max(map(world.late, DEADLY_PARTS)) <= SENT_MAX
    assert world.served_share >= SERVED_MIN


@_search
@given(_cases(deadly_parts=1))
def test_one_deadly_part_is_not_sent_late(case):
    world = World(case).play()
    assert max(map(world.late, DEADLY_PARTS)) <= SENT_MAX


@_search
@given(_cases(deadly_parts=1))
def test_one_deadly_part_is_found_and_the_sound_are_served(case):
    _check(case)


@_search
@given(_cases(deadly_parts=2))
def test_two_deadly_parts_are_found_and_the_sound_are_served(case):
    _check(case)


def _random_case(seed: int) -> Case:
    rng = random.Random(seed)
    return Case(
        seed=seed,
        entries=rng.randint(1, 6),
        upstreams=rng.randint(6, 16),
        deadly_share=rng.uniform(0.05, 0.5),
        deadly_parts=1,
        crash_ms=rng.uniform(0, 2000),
        has_head=rng.random() < 0.5,
        interval_ms=rng.uniform(100, 600),
        sound_ms=rng.uniform(600, 4000),
        is_shared=rng.random() < 0.5,
        cut_from_ms=rng.uniform(0, 5000),
        cut_ms=rng.choice((0, 2000, 8000)),
        resends=rng.randint(0, 3),
        streams=rng.randint(80, 160),
    )


def test_bounds_hold_in_cases_at_random():
    for seed in range(RANDOM_CASES):
        _check(_random_case(seed))
