import pytest

from bergamotthread.process.overload import retry_budget
from bergamotthread.process.overload.retry_budget import (
    Denied,
    Granted,
    RetryBudget,
    RetryLimits,
)
from tests.placement_fixtures import ManualClock


def _budget(time: ManualClock, process_burst: float = 100) -> RetryBudget:
    return RetryBudget(
        time.clock,
        RetryLimits(per_success=0.5, per_s=0.5, burst=2, per_in_flight=0.5),
        RetryLimits(per_success=0, per_s=1, burst=process_burst),
    )


def _granted(budget: RetryBudget, count: int, team: str = 't') -> int:
    results = [budget.spend(team, resume=True) for _ in range(count)]
    return sum(isinstance(result, Granted) for result in results)


def test_retry_beyond_the_burst_is_denied_with_an_exact_retry_after() -> None:
    time = ManualClock()
    budget = _budget(time)
    assert _granted(budget, 5) == 2
    denied = budget.spend('t', resume=True)
    assert isinstance(denied, Denied)
    assert denied.decided_by == 'teams/t'
    assert denied.retry_after_ms == 2001
    time.advance_ms(denied.retry_after_ms - 2)
    assert isinstance(budget.spend('t', resume=True), Denied)
    time.advance_ms(3)
    assert isinstance(budget.spend('t', resume=True), Granted)


def test_one_team_does_not_use_the_budget_of_another() -> None:
    budget = _budget(ManualClock())
    assert _granted(budget, 9, 'large') == 2
    assert _granted(budget, 9, 'small') == 2


def test_process_budget_limits_all_teams_together() -> None:
    budget = _budget(ManualClock(), process_burst=3)
    granted = sum(_granted(budget, 2, f't{index}') for index in range(5))
    assert granted == 3
    denied = budget.spend('t9', resume=True)
    assert isinstance(denied, Denied)
    assert denied.decided_by == 'process'
    assert _granted(budget, 1, 't9') == 0


def test_successes_earn_retries() -> None:
    budget = _budget(ManualClock())
    _granted(budget, 2)
    for _ in range(4):
        budget.record_start('t')
        budget.record_end('t', succeeded=True)
    assert _granted(budget, 9) == 2


def test_failures_earn_nothing() -> None:
    budget = _budget(ManualClock())
    granted = 0
    for _ in range(50):
        budget.record_start('t')
        budget.record_start('t')
        granted += _granted(budget, 3)
        budget.record_end('t', succeeded=False)
        budget.record_end('t', succeeded=False)
    assert granted <= 3


@pytest.mark.parametrize(('in_flight', 'granted'), [(0, 2), (40, 22)])
def test_half_of_the_requests_in_flight_can_be_resumed_at_once(
    in_flight: int,
    granted: int,
) -> None:
    budget = _budget(ManualClock())
    for _ in range(in_flight):
        budget.record_start('t')
    assert _granted(budget, 100) == granted


def test_idle_teams_are_evicted_and_busy_ones_kept(monkeypatch) -> None:
    monkeypatch.setattr(retry_budget, 'TEAMS_MAX', 2)
    budget = _budget(ManualClock())
    budget.record_start('busy')
    _granted(budget, 9, 'busy')
    for team in ('a', 'b', 'c'):
        _granted(budget, 9, team)
    assert _granted(budget, 9, 'busy') == 0
    assert _granted(budget, 9, 'a') == 2


def test_requests_of_more_teams_than_the_limit_are_counted(monkeypatch) -> None:
    monkeypatch.setattr(retry_budget, 'TEAMS_MAX', 3)
    budget = _budget(ManualClock())
    teams = [f't{index}' for index in range(5)]
    for team in teams:
        budget.record_start(team)
    assert [_granted(budget, 9, team) for team in teams] == [2] * 5
    for team in teams:
        budget.record_end(team, succeeded=False)
    assert [_granted(budget, 9, team) for team in teams] == [0] * 5


def test_retries_after_declines_leave_a_reserve_for_resumes() -> None:
    budget = _budget(ManualClock())
    assert isinstance(budget.spend('t', resume=False), Granted)
    denied = budget.spend('t', resume=False)
    assert isinstance(denied, Denied)
    assert denied.retry_after_ms == 2001
    assert _granted(budget, 3) == 1
