"""Roll-outs from the order to the end, in a model of entries and upstreams."""

from __future__ import annotations

from dataclasses import replace

import pytest

from benchmarks.rollout_model import (
    BOUND,
    Case,
    Deciding,
    FaultKind,
    Model,
    Trouble,
)
from bergamotthread.process.rollouts.decider import RolloutDecider
from bergamotthread.process.rollouts.exposure import (
    ServiceView,
    TrialPlaces,
    trial_instances,
)
from bergamotthread.process.rollouts.order import RolloutOrder, RolloutState
from bergamotthread.process.rollouts.reports import (
    AnswerCell,
    End,
    EntryReport,
    Reserve,
    RolloutPhase,
    RolloutRecord,
)

ORDER = RolloutOrder('chat', 1, 'new', 12_000)
RECORD = RolloutRecord(ORDER, RolloutState.ACTIVE, 0)
VIEW = ServiceView({'n0': 'a', 'n1': 'b'}, 2, frozenset({'e0'}))
IDLE = EntryReport('e0', 1, 0, 0, 0, 0, 0, RolloutPhase.TRIAL, ())
COMPLETED = [RolloutState.COMPLETED]
ROLLED_BACK = [RolloutState.ROLLED_BACK]


def busy(requests=100, phase=RolloutPhase.TRIAL, **changes):
    cell = AnswerCell('/r', 'a', False, 10, 0, requests, 0)
    return replace(
        IDLE, requests=requests, wanted=20, cells=(cell,), phase=phase,
        **changes,
    )  # fmt: skip


def decider(elapsed_ms=0, record=RECORD):
    return RolloutDecider.from_record(record, BOUND, elapsed_ms, 0)


def played(case):
    outcome = Model(case).run()
    assert not outcome.is_over
    assert len(outcome.ends) == 1
    assert outcome.late_ms <= BOUND.rollback_ms
    assert outcome.granted <= outcome.reserved
    return outcome


@pytest.mark.parametrize('entries', [1, 3, 47, 324])
@pytest.mark.parametrize('uneven', [False, True])
def test_sound_build_is_completed(entries, uneven):
    outcome = played(Case(1, entries=entries, uneven=uneven))
    assert outcome.ends == COMPLETED
    assert outcome.ended_ms <= (13_000 if entries == 324 else 12_000)
    assert not outcome.cut


@pytest.mark.parametrize('trouble', list(Trouble))
def test_sound_build_is_completed_beside_trouble(trouble):
    assert played(Case(3, trouble=trouble)).ends == COMPLETED


@pytest.mark.parametrize('kind', [FaultKind.FAILS, FaultKind.SLOW])
@pytest.mark.parametrize('entries', [1, 3, 47])
def test_bad_build_is_rolled_back_early(kind, entries):
    outcome = played(Case(2, entries=entries, fault=kind))
    assert outcome.ends == ROLLED_BACK
    assert outcome.ended_ms < 5000
    assert outcome.exposed <= 20


@pytest.mark.parametrize('kind', [FaultKind.LATER, FaultKind.ROUTE])
def test_build_that_is_bad_in_part_is_rolled_back(kind):
    assert played(Case(2, fault=kind)).ends == ROLLED_BACK


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('deciding', list(Deciding))
@pytest.mark.parametrize('fault', [FaultKind.NONE, FaultKind.FAILS])
def test_bound_and_one_end_whoever_decides(seed, deciding, fault):
    played(Case(seed, deciding=deciding, fault=fault, lost_reports=0.3))


def test_stream_that_runs_at_a_former_build_is_not_cut():
    case = Case(4, entries=5, per_s=10, events=60)
    outcome = played(case)
    assert outcome.ends == COMPLETED
    assert outcome.ended_ms > case.duration_ms
    assert not outcome.cut


def test_build_whose_streams_do_not_end_is_not_completed():
    case = Case(4, entries=5, per_s=10, events=60, fault=FaultKind.SLOW)
    assert played(case).ends == ROLLED_BACK


def test_places_are_granted_only_once_the_row_holds_them():
    deciding = decider()
    deciding.apply(IDLE, 0)
    step = deciding.next_step(0, VIEW)
    assert isinstance(step, Reserve)
    assert deciding.apply(busy(), 500).granted == 0
    deciding.record_written(step, replace(RECORD, reserved=step.reserved))
    assert deciding.apply(busy(), 1000).granted == step.reserved


def test_places_of_a_former_decider_are_not_granted_again():
    deciding = decider(record=replace(RECORD, reserved=5))
    deciding.apply(IDLE, 0)
    deciding.next_step(0, VIEW)
    assert deciding.apply(busy(), 500).granted == 0
    assert deciding.figures(500).counted == 5


def test_unconfirmed_places_are_not_told_to_a_process_that_began_anew():
    places = TrialPlaces(0)
    places.record_reserved(8)
    assert places.grant(busy(), 1) == 8
    assert places.grant(busy(), 1) == 0
    assert places.unmet


def test_counts_of_a_process_that_ended_stay_and_overtaken_reports_do_not():
    deciding = decider()
    late = busy(100, began_ms=5, number=1)
    deciding.apply(busy(300, began_ms=5, number=2), 0)
    deciding.apply(late, 100)
    assert deciding.figures(100).requests == 300
    deciding.apply(busy(40, began_ms=9, number=1), 200)
    deciding.apply(late, 300)
    assert deciding.figures(300).requests == 340


def test_former_decider_s_move_goes_on_until_this_one_knows_enough():
    deciding = decider(11_500)
    view = replace(VIEW, entries=frozenset({'e0', 'e1'}))
    deciding.next_step(0, view)
    moving = busy(phase=RolloutPhase.MOVING)
    assert deciding.apply(moving, 100).phase is RolloutPhase.MOVING


@pytest.mark.parametrize(
    ('seen', 'phase'),
    [
        (RolloutState.COMPLETED, RolloutPhase.TRIAL),
        (RolloutState.ROLLED_BACK, RolloutPhase.HALTED),
    ],
)
def test_end_that_an_entry_has_seen_is_written_again(seen, phase):
    deciding = decider()
    directive = deciding.apply(replace(IDLE, state=seen), 0)
    assert directive.phase is phase
    step = deciding.next_step(0, VIEW)
    assert isinstance(step, End)
    assert step.state is seen


def test_end_is_not_written_before_the_entries_were_heard():
    deciding = decider()
    deciding.apply(replace(IDLE, phase=RolloutPhase.HALTED), 0)
    view = replace(VIEW, entries=frozenset({'e0', 'e1'}))
    assert deciding.next_step(100, view) is None
    deciding.apply(replace(IDLE, host='e1'), 200)
    assert isinstance(deciding.next_step(300, view), End)


def test_target_without_upstreams_is_rolled_back_at_the_time_limit():
    deciding = decider()
    none = replace(VIEW, domain_by_target={})
    for now_ms in range(0, 12_000, 500):
        deciding.apply(busy(), now_ms)
        assert deciding.next_step(now_ms, none) is None
    step = deciding.next_step(12_000, none)
    assert step == End(
        RolloutState.ROLLED_BACK, 'new has no upstreams at the time limit'
    )


def test_target_without_requests_is_completed_by_the_time_limit():
    deciding = decider()
    phase = RolloutPhase.TRIAL
    for now_ms in range(0, 12_001, 100):
        step = deciding.next_step(now_ms, VIEW)
        if isinstance(step, End):
            break
        directive = deciding.apply(replace(IDLE, phase=phase), now_ms)
        phase = directive.phase
    assert step.state is RolloutState.COMPLETED


def test_target_whose_answers_are_overdue_is_rolled_back():
    deciding = decider()
    for now_ms in range(0, 12_001, 500):
        hanging = {'sent': 4, 'granted': 4, 'target_running': 4}
        report = busy(10 + now_ms // 10, former_running=5, **hanging)
        assert deciding.apply(report, now_ms).phase is RolloutPhase.TRIAL
        step = deciding.next_step(now_ms, VIEW)
    assert isinstance(step, End)
    assert 'overdue' in step.reason


def test_silent_entry_is_waited_for_until_its_directive_has_expired():
    deciding = decider(12_000)
    view = replace(VIEW, entries=frozenset({'e0', 'e1'}))
    ended_ms = None
    for now_ms in range(0, 6000, 100):
        report = busy(phase=RolloutPhase.MOVING)
        deciding.apply(report, now_ms)
        if isinstance(deciding.next_step(now_ms, view), End):
            ended_ms = now_ms
            break
    assert 3000 <= ended_ms <= 3500


def test_trial_is_in_three_failure_domains_and_at_few_upstreams():
    view = ServiceView(
        {f'n{n}': f'd{n % 5}' for n in range(40)}, 40, frozenset()
    )
    chosen = trial_instances(view, 1, 6, 0.4)
    assert len({view.domain_by_target[name] for name in chosen}) == 3
    assert len(chosen) == 3
    assert chosen == trial_instances(view, 1, 6, 0.4)
    assert len(trial_instances(view, 1, 100, 0.4)) == 10
