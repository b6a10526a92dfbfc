from collections import Counter

import pytest

from bergamotthread.process.overload.admission import (
    AdmissionGate,
    Duplicate,
    GateLimits,
    GateRules,
    Queued,
    Refused,
    Run,
)
from bergamotthread.request.refusal import ReasonCode
from tests.placement_fixtures import ManualClock, dispatch


def _gate(time: ManualClock, weights=None, **limits) -> AdmissionGate:
    defaults = {'max_running': 4, 'queue_wait_ms': 1e9, 'prefill_tokens': 10**6}
    weight_by_team = weights or {}
    return AdmissionGate(
        clock=time.clock,
        limits=GateLimits(**(defaults | limits)),
        rules=GateRules(
            count_tokens=int,
            weight_of=lambda team: weight_by_team.get(team, 1),
        ),
    )


def _fill(gate: AdmissionGate, count: int, team: str = 'filler') -> None:
    for index in range(count):
        offered = dispatch(f'{team}{index}', team=team)
        assert isinstance(gate.offer(offered), Run)


def _started(gate: AdmissionGate) -> list[str]:
    return [one.generation for one in gate.next_ready()]


def test_full_engine_queues_work_until_an_attempt_ends() -> None:
    gate = _gate(ManualClock(), max_running=2)
    _fill(gate, 2)
    assert isinstance(gate.offer(dispatch('a')), Queued)
    assert _started(gate) == []
    gate.record_end('filler0', 1)
    assert _started(gate) == ['a']
    assert gate.load_report().running == 2


def test_resumed_attempts_go_first_whatever_their_team_has_used() -> None:
    gate = _gate(ManualClock(), max_running=1)
    _fill(gate, 1)
    gate.offer(dispatch('new'))
    gate.offer(dispatch('resumed', accepted=('t',), attempt=2, team='filler'))
    gate.record_end('filler0', 1)
    assert _started(gate) == ['resumed']


def test_prefill_in_progress_is_limited_until_the_first_token() -> None:
    gate = _gate(ManualClock(), prefill_tokens=2500)
    _fill(gate, 2)
    assert isinstance(gate.offer(dispatch('c')), Queued)
    gate.record_first_token('filler0', 1)
    assert _started(gate) == ['c']


def test_resumed_attempt_may_exceed_the_prefill_limit_of_new_work() -> None:
    """The caller waits in the middle of an answer; the limit is doubled."""
    gate = _gate(ManualClock(), prefill_tokens=2500)
    assert isinstance(gate.offer(dispatch('a', prompt='2000')), Run)
    assert isinstance(gate.offer(dispatch('new', prompt='1000')), Queued)
    resumed = dispatch('b', prompt='2000', accepted=('t',))
    assert isinstance(gate.offer(resumed), Run)
    third = dispatch('c', prompt='2000', accepted=('t',))
    assert isinstance(gate.offer(third), Queued)


def test_prompt_above_the_prefill_limit_runs_alone() -> None:
    gate = _gate(ManualClock(), prefill_tokens=2500)
    assert isinstance(gate.offer(dispatch('a', prompt='9000')), Run)
    assert isinstance(gate.offer(dispatch('b', prompt='10')), Queued)


def test_kv_cache_is_reserved_for_expected_output() -> None:
    gate = _gate(ManualClock(), kv_capacity=2250)
    _fill(gate, 2)
    assert isinstance(gate.offer(dispatch('c', prompt='51')), Queued)
    gate.record_progress('filler0', 1, 300)
    gate.record_end('filler1', 1)
    assert _started(gate) == ['c']
    assert gate.load_report().kv_tokens == 1300 + 151


def test_prompt_larger_than_the_kv_cache_is_refused() -> None:
    gate = _gate(ManualClock(), kv_capacity=900)
    refused = gate.offer(dispatch('a'))
    assert isinstance(refused, Refused)
    assert refused.reason is ReasonCode.TOO_LARGE


@pytest.mark.parametrize('remaining_ms', [0, -5])
def test_expired_work_is_refused_at_once(remaining_ms: float) -> None:
    refused = _gate(ManualClock()).offer(dispatch(remaining_ms=remaining_ms))
    assert refused == Refused('g', 1, ReasonCode.DEADLINE)


def test_work_that_expires_while_queued_never_starts() -> None:
    time = ManualClock()
    gate = _gate(time, max_running=1)
    _fill(gate, 1)
    gate.running.statistics.run_ms = 10
    assert isinstance(gate.offer(dispatch('a', remaining_ms=500)), Queued)
    time.advance_ms(500)
    gate.record_end('filler0', 1)
    assert _started(gate) == []
    assert gate.take_refused() == (Refused('a', 1, ReasonCode.DEADLINE),)
    assert gate.take_refused() == ()


def test_work_that_can_not_start_before_its_deadline_is_refused() -> None:
    gate = _gate(ManualClock(), max_running=1)
    _fill(gate, 1)
    refused = gate.offer(dispatch('a', remaining_ms=500))
    assert isinstance(refused, Refused)
    assert refused.reason is ReasonCode.DEADLINE


def test_retry_after_is_the_time_until_work_would_be_queued() -> None:
    time = ManualClock()
    gate = _gate(time, max_running=1, queue_wait_ms=2000)
    gate.running.statistics.run_ms = 900
    _fill(gate, 1)
    gate.offer(dispatch('a'))
    gate.offer(dispatch('b'))
    refused = gate.offer(dispatch('c'))
    assert isinstance(refused, Refused)
    assert refused.reason is ReasonCode.OVERLOADED
    assert refused.retry_after_ms == 700
    time.advance_ms(refused.retry_after_ms + 200)
    gate.record_end('filler0', 1)
    gate.next_ready()
    assert isinstance(gate.offer(dispatch('c', attempt=2)), Queued)


def test_resumed_attempt_may_wait_longer_than_new_work() -> None:
    gate = _gate(ManualClock(), max_running=1, queue_wait_ms=0)
    _fill(gate, 1)
    assert isinstance(gate.offer(dispatch('new')), Refused)
    resumed = gate.offer(dispatch('resumed', accepted=('t',)))
    assert isinstance(resumed, Queued)


def test_full_queue_refuses_the_newest_work_of_the_heaviest_team() -> None:
    gate = _gate(ManualClock(), max_running=1, max_queued=3)
    _fill(gate, 1)
    for index in range(3):
        gate.offer(dispatch(f'large{index}', team='large'))
    assert isinstance(gate.offer(dispatch('s', team='small')), Queued)
    (refused,) = gate.take_refused()
    assert (refused.generation, refused.retry_after_ms > 0) == ('large2', True)
    last = gate.offer(dispatch('large3', team='large'))
    assert isinstance(last, Refused)


@pytest.mark.parametrize(('weight', 'expected'), [(1, 10), (3, 15)])
def test_queue_is_shared_by_weight(weight: float, expected: int) -> None:
    gate = _gate(ManualClock(), {'heavy': weight}, max_running=1)
    _fill(gate, 1)
    for team in ('heavy', 'light'):
        for index in range(20):
            offered = dispatch(f'{team}{index}', team=team, remaining_ms=1e9)
            assert isinstance(gate.offer(offered), Queued)
    running = 'filler0'
    starts: Counter[str] = Counter()
    for _ in range(20):
        gate.record_end(running, 1)
        (running,) = _started(gate)
        starts[running[0]] += 1
    assert abs(starts['h'] - expected) <= 1


def test_busy_team_leaves_a_slot_while_others_are_active() -> None:
    gate = _gate(ManualClock(), max_running=8)
    gate.offer(dispatch('s', team='small'))
    decisions = [
        gate.offer(dispatch(f'b{index}', team='busy')) for index in range(9)
    ]
    assert sum(isinstance(decision, Run) for decision in decisions) == 6
    assert isinstance(gate.offer(dispatch('t', team='third')), Run)


def test_single_team_may_use_all_slots() -> None:
    gate = _gate(ManualClock(), max_running=8)
    _fill(gate, 8)


def test_suspect_requests_never_share_an_engine() -> None:
    gate = _gate(ManualClock())
    assert isinstance(gate.offer(dispatch('a', suspect=True)), Run)
    assert isinstance(gate.offer(dispatch('b', suspect=True)), Queued)
    assert isinstance(gate.offer(dispatch('c')), Run)
    gate.record_end('a', 1)
    assert _started(gate) == ['b']


def test_duplicate_and_late_dispatches_never_start_twice() -> None:
    gate = _gate(ManualClock(), max_running=1)
    _fill(gate, 1)
    gate.offer(dispatch('a'))
    assert gate.offer(dispatch('a')) == Duplicate(dispatched=False)
    gate.record_end('filler0', 1)
    assert _started(gate) == ['a']
    assert gate.offer(dispatch('a')) == Duplicate(dispatched=True)
    gate.record_end('a', 1)
    assert gate.offer(dispatch('a')) == Duplicate(dispatched=True)
    assert gate.load_report().running == 0


def test_revoke_is_true_only_if_the_attempt_was_not_started() -> None:
    gate = _gate(ManualClock(), max_running=1)
    _fill(gate, 1)
    gate.offer(dispatch('queued'))
    assert gate.revoke('queued', 1)
    assert not gate.revoke('filler0', 1)
    gate.record_end('filler0', 1)
    assert not gate.revoke('filler0', 1)
    assert _started(gate) == []


def test_dispatch_that_arrives_after_its_revoke_never_starts() -> None:
    gate = _gate(ManualClock())
    assert gate.revoke('g', 1)
    refused = gate.offer(dispatch('g'))
    assert isinstance(refused, Refused)
    assert isinstance(gate.offer(dispatch('g', attempt=2)), Run)


def test_drain_refuses_new_and_queued_work_but_not_running_work() -> None:
    gate = _gate(ManualClock(), max_running=1)
    _fill(gate, 1)
    gate.offer(dispatch('queued'))
    gate.drain(draining=True)
    (refused,) = gate.take_refused()
    assert refused.reason is ReasonCode.DRAINING
    resumed = gate.offer(dispatch('new', accepted=('t',)))
    assert isinstance(resumed, Refused)
    report = gate.load_report()
    assert (report.draining, report.running) == (True, 1)
    gate.drain(draining=False)
    gate.record_end('filler0', 1)
    assert isinstance(gate.offer(dispatch('later')), Run)


def test_load_report_contains_the_measured_rates() -> None:
    time = ManualClock()
    gate = _gate(time)
    gate.offer(dispatch('a', prompt='50000'))
    gate.record_start('a', 1)
    assert gate.load_report().prefill_tokens == 50_000
    time.advance_ms(5_000)
    gate.record_first_token('a', 1)
    time.advance_ms(300)
    gate.record_progress('a', 1, 11)
    report = gate.load_report()
    assert report.prefill_tokens == 0
    assert report.prefill_per_s == pytest.approx(9700, rel=0.02)
    assert report.between_tokens_ms == pytest.approx(30)


def test_many_short_prompts_are_admitted_while_slots_are_free() -> None:
    time = ManualClock()
    gate = _gate(time, max_running=300, queue_wait_ms=1000)
    for index in range(60):
        assert isinstance(gate.offer(dispatch(f'a{index}', prompt='15')), Run)
        time.advance_ms(40)
        gate.record_first_token(f'a{index}', 1)
        gate.record_end(f'a{index}', 1)
    for index in range(240):
        decision = gate.offer(dispatch(f'b{index}', prompt='15'))
        assert isinstance(decision, Run), (index, decision)
