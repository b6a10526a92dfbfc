import math

import pytest

from bergamotthread.process.overload.overload import (
    Admitted,
    Overloaded,
    OverloadGuard,
    overload_refusal,
)
from bergamotthread.request.refusal import Ran, ReasonCode
from tests.placement_fixtures import ManualClock


def _guard(time: ManualClock, **weights: float) -> OverloadGuard:
    return OverloadGuard(
        time.clock,
        weight_of=lambda team: weights.get(team, 1),
    )


def _offer(guard, time, demand: dict[str, int], utilisation=0.8, seconds=60):
    """Offer `demand` requests of 5 s per second and team.

    Returns the number of requests admitted in the second half, by team.
    """
    admitted = dict.fromkeys(demand, 0)
    ends: list[tuple[int, str]] = []
    for second in range(seconds):
        for due, team in ends:
            if due == second:
                guard.record_end(team, 5000)
        for team, count in demand.items():
            for _ in range(count):
                if isinstance(guard.check(team, utilisation), Admitted):
                    guard.record_start(team)
                    ends.append((second + 5, team))
                    admitted[team] += second >= seconds / 2
        time.advance_ms(1000)
    return admitted


def test_all_teams_are_refused_above_the_maximum_utilisation() -> None:
    guard = _guard(ManualClock())
    verdict = guard.check('t', 1.2 * math.e)
    assert isinstance(verdict, Overloaded)
    assert verdict.retry_after_ms == pytest.approx(guard.run_ms, rel=0.01)
    refusal = overload_refusal(verdict, 't')
    assert refusal.reason is ReasonCode.OVERLOADED
    assert refusal.ran is Ran.NOT_RUN
    assert refusal.decided_by == 'process'


def test_retry_after_follows_the_measured_run_time() -> None:
    guard = _guard(ManualClock())
    before = guard.check('t', 2)
    for _ in range(100):
        guard.record_start('t')
        guard.record_end('t', 40_000)
    after = guard.check('t', 2)
    assert isinstance(before, Overloaded)
    assert isinstance(after, Overloaded)
    assert after.retry_after_ms > 3 * before.retry_after_ms


def test_equal_teams_are_not_limited_below_the_maximum() -> None:
    demand = dict.fromkeys('abcd', 3)
    admitted = _offer(_guard(ManualClock()), ManualClock(), demand, 1.1)
    assert set(admitted.values()) == {90}


@pytest.mark.parametrize('greedy', [20, 60])
def test_greedy_team_is_limited_to_its_share(greedy: int) -> None:
    time = ManualClock()
    demand = {'greedy': greedy, 'a': 2, 'b': 2, 'c': 2}
    admitted = _offer(_guard(time), time, demand)
    assert [admitted[team] for team in 'abc'] == [60, 60, 60]
    assert 60 <= admitted['greedy'] <= 2 * 60


def test_weight_raises_the_share() -> None:
    time = ManualClock()
    demand = {'large': 60, 'a': 2, 'b': 2, 'c': 2}
    admitted = _offer(_guard(time, large=10), time, demand)
    assert admitted['large'] >= 8 * 60


def test_greedy_team_may_use_idle_upstreams() -> None:
    time = ManualClock()
    demand = {'greedy': 20, 'a': 2}
    admitted = _offer(_guard(time), time, demand, utilisation=0.3)
    assert admitted['greedy'] == 600


def test_refusal_names_the_team_and_its_figures() -> None:
    time = ManualClock()
    guard = _guard(time)
    _offer(guard, time, {'greedy': 60, 'a': 2, 'b': 2})
    verdict = guard.check('greedy', 0.8)
    assert isinstance(verdict, Overloaded)
    assert verdict.decided_by == 'teams/greedy'
    assert verdict.figures['measured'] >= verdict.figures['limit']


def test_idle_teams_are_removed() -> None:
    time = ManualClock()
    guard = _guard(time)
    _offer(guard, time, {f't{index}': 1 for index in range(50)}, seconds=2)
    time.advance_ms(120_000)
    share = guard._teams.relative_usage('new', time.clock.now_ms())
    assert share.part < 0.1
    for index in range(50):
        guard.record_end(f't{index}', 1000)
        guard.record_end(f't{index}', 1000)
    time.advance_ms(120_000)
    assert guard._teams.relative_usage('new', time.clock.now_ms()).part == 1


def test_single_team_that_ramps_up_is_limited_by_the_maximum_only() -> None:
    time = ManualClock()
    guard = _guard(time)
    slots = 192
    running = 0
    while running / slots <= guard.limits.utilisation_max:
        verdict = guard.check('alone', running / slots)
        assert isinstance(verdict, Admitted), (running, verdict)
        guard.record_start('alone')
        running += 1
        time.advance_ms(25)
    assert isinstance(guard.check('alone', running / slots), Overloaded)
