"""What an entry may send during a roll-out, and what it reports."""

from __future__ import annotations

from dataclasses import replace

import pytest

from bergamotthread.clock import Clock
from bergamotthread.process.rollouts.build_plan import ANY_BUILD, BuildPlan
from bergamotthread.process.rollouts.gate import AnswerSample, UpstreamBuild
from bergamotthread.process.rollouts.order import RolloutOrder, RolloutState
from bergamotthread.process.rollouts.participant import RolloutParticipant
from bergamotthread.process.rollouts.participation import ALONE_MS
from bergamotthread.process.rollouts.reports import Directive, RolloutPhase

ORDER = RolloutOrder('chat', 1, 'new', 12_000)
OLD = UpstreamBuild('old-0', 'chat', 'old', 'a')
NEW = UpstreamBuild('new-0', 'chat', 'new', 'a')
TRIAL = Directive(1, RolloutPhase.TRIAL, 2, 3000, ('new-0',))
MOVING = Directive(1, RolloutPhase.MOVING, 2, 3000)
HALTED = Directive(1, RolloutPhase.HALTED, 2, 3000)


class Entry:
    """One entry, its time and the builds that are listed there."""

    def __init__(self):
        self.now_ms = 0.0
        self.builds = {'old', 'new'}
        clock = Clock(lambda: self.now_ms / 1000, lambda: self.now_ms / 1000)
        self.gate = RolloutParticipant('e0', clock, lambda _: self.builds)

    def follow(self, directive):
        self.gate.apply('chat', directive, self.now_ms)

    def report(self):
        return self.gate.report('chat', self.now_ms)


@pytest.fixture
def entry():
    made = Entry()
    made.gate.begin(ORDER)
    return made


def test_any_build_without_an_order():
    gate = Entry().gate
    assert gate.plan('chat') == ANY_BUILD
    assert gate.plan('chat', 'old') == BuildPlan('old')
    assert gate.report('chat', 0) is None


def test_nothing_new_goes_to_the_target_before_a_directive(entry):
    assert not entry.gate.plan('chat').admits('new-0', 'new')
    assert not entry.gate.admit(NEW, is_bound=False)
    assert not entry.gate.admit(NEW, is_bound=True)
    assert entry.gate.admit(OLD, is_bound=False)


def test_trial_sends_as_many_as_were_granted_to_the_tried_upstreams(entry):
    entry.follow(TRIAL)
    plan = entry.gate.plan('chat')
    assert plan == BuildPlan('new', frozenset(), frozenset({'new-0'}))
    assert entry.gate.admit(NEW, is_bound=False)
    assert entry.gate.admit(NEW, is_bound=False)
    assert not entry.gate.admit(NEW, is_bound=False)
    assert entry.gate.plan('chat') == BuildPlan(avoided=frozenset({'new'}))
    assert entry.report().sent == 2


def test_bound_attempts_count_and_need_no_place(entry):
    entry.follow(replace(TRIAL, granted=0))
    assert entry.gate.plan('chat', 'new') == BuildPlan('new')
    assert entry.gate.admit(NEW, is_bound=True)
    assert entry.report().sent == 1


def test_directive_counts_from_when_the_report_was_sent(entry):
    entry.gate.apply('chat', MOVING, -2000)
    entry.now_ms = 999
    assert entry.gate.admit(NEW, is_bound=False)
    entry.now_ms = 1000
    assert not entry.gate.admit(NEW, is_bound=False)
    assert not entry.gate.admit(NEW, is_bound=True)


def test_halt_stays_also_after_its_directive_and_a_crossing_one(entry):
    entry.follow(HALTED)
    entry.now_ms = 5000
    entry.follow(MOVING)
    assert not entry.gate.plan('chat').admits('new-0', 'new')
    assert not entry.gate.plan('chat', 'new').admits('new-0', 'new')
    assert not entry.gate.admit(NEW, is_bound=True)


def test_no_directive_takes_places_back(entry):
    entry.follow(TRIAL)
    entry.follow(replace(TRIAL, granted=1))
    assert entry.report().granted == 2


def test_earlier_directive_that_comes_late_changes_nothing(entry):
    entry.now_ms = 100
    entry.follow(MOVING)
    entry.gate.apply('chat', TRIAL, 50)
    assert entry.report().phase is RolloutPhase.MOVING


def test_directive_for_another_order_is_ignored(entry):
    entry.follow(replace(MOVING, order_number=2))
    assert not entry.gate.admit(NEW, is_bound=False)


def test_request_that_was_placed_before_the_move_is_placed_again(entry):
    entry.follow(MOVING)
    assert not entry.gate.admit(OLD, is_bound=False)
    assert entry.gate.admit(OLD, is_bound=True)
    entry.gate.end(ORDER, RolloutState.COMPLETED)
    assert not entry.gate.admit(OLD, is_bound=True)
    entry.builds = {'old'}
    assert entry.gate.admit(OLD, is_bound=False)


def test_moving_falls_back_if_the_target_has_no_upstreams(entry):
    entry.follow(MOVING)
    assert entry.gate.plan('chat').only == 'new'
    entry.builds = {'old'}
    assert entry.gate.plan('chat').admits('old-0', 'old')


def test_report_counts_attempts_that_began_before_the_order():
    made = Entry()
    made.gate.admit(OLD, is_bound=False)
    made.gate.begin(ORDER)
    assert made.report().former_running == 1
    made.gate.record_ended(OLD)
    assert made.report().former_running == 0


def test_report_leaves_out_what_ran_at_the_target_before_the_order():
    made = Entry()
    made.gate.admit(NEW, is_bound=False)
    made.gate.begin(ORDER)
    assert made.report().target_running == 0
    made.follow(MOVING)
    made.gate.admit(NEW, is_bound=False)
    assert made.report().target_running == 1
    assert made.report().sent == 1


def test_reports_of_a_process_have_rising_numbers(entry):
    first, second = entry.report(), entry.report()
    assert first.number < second.number
    assert first.began_ms == second.began_ms


def test_report_wants_as_many_places_as_requests_since_the_last(entry):
    for _ in range(3):
        entry.gate.record_request('chat')
    assert entry.report().wanted == 3
    assert entry.report().wanted == 0
    assert entry.report().requests == 3


def test_report_holds_answers_by_kind(entry):
    entry.gate.record_answer(AnswerSample(OLD, '/r', False, 100))
    entry.gate.record_answer(AnswerSample(OLD, '/r', True, 101))
    entry.gate.record_answer(AnswerSample(NEW, '/r', False, 100, 7))
    former, target = entry.report().cells
    assert (former.answered, former.failed, former.is_target) == (2, 1, False)
    assert (target.answered, target.failed, target.is_target) == (1, 0, True)


def test_completed_avoids_the_former_builds_while_the_target_is_there(entry):
    entry.gate.end(ORDER, RolloutState.COMPLETED)
    assert not entry.gate.plan('chat').admits('old-0', 'old')
    assert entry.gate.plan('chat').admits('next-0', 'next')
    assert entry.gate.admit(NEW, is_bound=False)
    entry.builds = {'old'}
    assert entry.gate.plan('chat').admits('old-0', 'old')


def test_build_that_went_and_comes_again_is_not_the_replaced_one(entry):
    entry.gate.end(ORDER, RolloutState.COMPLETED)
    entry.builds = {'new'}
    entry.gate.plan('chat')
    entry.builds = {'old', 'new'}
    assert entry.gate.plan('chat').admits('old-0', 'old')


def test_entry_that_learns_of_a_former_end_avoids_no_other_build():
    made = Entry()
    made.gate.end(ORDER, RolloutState.COMPLETED)
    assert made.gate.plan('chat').admits('old-0', 'old')


@pytest.mark.parametrize('builds', [{'old', 'new'}, {'new'}])
def test_rolled_back_target_is_avoided_until_it_is_ordered_anew(entry, builds):
    entry.gate.end(ORDER, RolloutState.ROLLED_BACK)
    entry.builds = builds
    assert not entry.gate.plan('chat').admits('new-0', 'new')
    assert not entry.gate.plan('chat', 'new').admits('new-0', 'new')
    assert not entry.gate.admit(NEW, is_bound=True)
    entry.gate.begin(replace(ORDER, number=2, target='next'))
    assert not entry.gate.plan('chat').admits('new-0', 'new')
    entry.gate.begin(replace(ORDER, number=3))
    entry.follow(replace(MOVING, order_number=3))
    assert entry.gate.admit(NEW, is_bound=False) is ('new' in builds)


@pytest.mark.parametrize('first', list(RolloutState)[1:])
@pytest.mark.parametrize('second', list(RolloutState)[1:])
def test_first_end_that_was_seen_stays(entry, first, second):
    entry.gate.end(ORDER, first)
    entry.gate.end(ORDER, second)
    entry.gate.begin(ORDER)
    assert entry.gate.state_of('chat') is first
    assert entry.report().state is first
    assert not entry.gate.active_orders


def test_order_that_replaces_an_active_one_keeps_its_target_avoided(entry):
    entry.follow(MOVING)
    entry.gate.begin(RolloutOrder('chat', 2, 'next', 12_000))
    entry.builds = {'old', 'new', 'next'}
    assert entry.gate.plan('chat') == BuildPlan(
        avoided=frozenset({'new', 'next'})
    )


def test_order_after_a_completed_one_has_its_target_as_a_former_build(entry):
    entry.gate.end(ORDER, RolloutState.COMPLETED)
    entry.gate.begin(RolloutOrder('chat', 2, 'next', 12_000))
    assert entry.gate.plan('chat').admits('new-0', 'new')
    entry.gate.admit(NEW, is_bound=False)
    assert entry.report().former_running == 1


def _advance(entry, until_ms):
    """Let time pass with a check each 100 ms; return what is used again."""
    used = []
    while entry.now_ms < until_ms:
        entry.now_ms += 100
        used += entry.gate.use_again()
    return used


def test_rejected_build_is_used_again_after_the_limit_if_it_is_alone(entry):
    entry.gate.end(ORDER, RolloutState.ROLLED_BACK)
    entry.builds = {'new'}
    assert not _advance(entry, ORDER.duration_ms - 100)
    assert not entry.gate.admit(NEW, is_bound=False)
    assert _advance(entry, ORDER.duration_ms + 100) == [('chat', 'new')]
    assert entry.gate.used_again == (ORDER,)
    entry.builds = {'old', 'new'}
    assert entry.gate.plan('chat') == ANY_BUILD
    assert entry.gate.plan('chat', 'new') == BuildPlan('new')
    assert entry.gate.admit(NEW, is_bound=False)
    assert entry.gate.admit(NEW, is_bound=True)
    assert entry.gate.admit(OLD, is_bound=False)
    entry.gate.begin(replace(ORDER, number=2))
    assert not entry.gate.used_again
    assert not entry.gate.admit(NEW, is_bound=False)


@pytest.mark.parametrize('between', [{'old', 'new'}, {'old'}, set()])
def test_rejected_build_is_to_be_alone_without_a_break(entry, between):
    entry.gate.end(ORDER, RolloutState.ROLLED_BACK)
    assert not _advance(entry, ORDER.duration_ms)
    for _ in range(3):
        entry.builds = {'new'}
        assert not _advance(entry, entry.now_ms + ALONE_MS - 100)
        entry.builds = between
        assert not _advance(entry, entry.now_ms + ALONE_MS)
    assert not entry.gate.admit(NEW, is_bound=False)


def test_limit_counts_from_the_order_also_at_an_entry_that_began_later():
    made = Entry()
    made.gate.end(ORDER, RolloutState.ROLLED_BACK, ORDER.duration_ms - 7000)
    made.builds = {'new'}
    assert not _advance(made, 6900)
    assert _advance(made, 7000) == [('chat', 'new')]


def test_replaced_target_is_used_again_only_after_its_own_limit(entry):
    entry.gate.begin(RolloutOrder('chat', 2, 'next', 90_000))
    entry.builds = {'new'}
    assert not _advance(entry, ORDER.duration_ms - 100)
    assert _advance(entry, ORDER.duration_ms) == [('chat', 'new')]
    assert entry.gate.plan('chat').admits('new-0', 'new')


def test_build_is_withdrawn_once_nothing_more_goes_there(entry):
    def withdrawn():
        return {
            build
            for build in ('old', 'new', 'next')
            if entry.gate.has_withdrawn('chat', build)
        }

    assert not withdrawn()
    entry.follow(TRIAL)
    entry.now_ms = TRIAL.valid_ms
    assert not entry.gate.admit(NEW, is_bound=True)
    assert not withdrawn()
    entry.follow(HALTED)
    assert withdrawn() == {'new'}
    entry.gate.end(ORDER, RolloutState.ROLLED_BACK)
    assert withdrawn() == {'new'}
    entry.gate.begin(RolloutOrder('chat', 2, 'next', 12_000))
    assert withdrawn() == {'new'}
    entry.gate.end(entry.gate.order_of('chat'), RolloutState.COMPLETED)
    entry.builds = {'old', 'new', 'next'}
    assert withdrawn() == {'old', 'new'}


def test_replaced_build_is_withdrawn_while_the_target_is_there(entry):
    entry.gate.end(ORDER, RolloutState.COMPLETED)
    assert entry.gate.has_withdrawn('chat', 'old')
    assert not entry.gate.has_withdrawn('chat', 'new')
    entry.builds = {'old'}
    assert not entry.gate.has_withdrawn('chat', 'old')
