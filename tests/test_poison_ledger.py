"""Deaths that several processes charge, and what explains them."""

from dataclasses import replace

import pytest

from bergamotthread.process.poison.death_log import DeathNotice
from bergamotthread.process.poison.guard import RECORDS_MAX, PoisonGuard
from bergamotthread.process.poison.limits import (
    PoisonLimits,
    SimultaneousDeaths,
)
from bergamotthread.process.poison.verdicts import Clear, Quarantined, Suspect
from tests.placement_fixtures import ManualClock

_POISON = 666
_SOUND = 7
_LIMITS = PoisonLimits(
    progress_min=500,
    quarantine_ms=60_000,
    counts_progressed=False,
    correlation=SimultaneousDeaths(500),
)
_APART_MS = 800


class _Sink:
    def __init__(self) -> None:
        self.confirmed = []

    def quarantined(self, notice) -> None:
        self.confirmed.append(notice)


class _Entries:
    """Guards of several entries, with a clock in common."""

    def __init__(self, count: int = 2) -> None:
        self.time = ManualClock()
        self.guards = [
            PoisonGuard(self.time.clock, _Sink(), limits=_LIMITS)
            for _ in range(count)
        ]

    def crash(self, entry, death_id, *content, waiting=()) -> DeathNotice:
        """Crash an upstream under requests of one entry."""
        guard = self.guards[entry]
        agent = f'u{death_id}'
        for one in content:
            guard.record_start(agent, f'r{one}', one)
        for one in waiting:
            guard.record_start(agent, f'r{one}', one, has_begun=False)
        return guard.record_death(agent, 'd', death_id)

    def crash_late(self, entry, death_id, *content) -> DeathNotice:
        """Crash an upstream under requests that have made progress."""
        guard = self.guards[entry]
        agent = f'u{death_id}'
        for one in content:
            guard.record_start(agent, f'r{one}', one)
            guard.record_progress(agent, f'r{one}', 600)
        return guard.record_death(agent, 'd', death_id)

    def tell(self, notice: DeathNotice) -> None:
        for guard in self.guards:
            guard.merge_death(notice)


@pytest.mark.parametrize('entries', [1, 2, 3])
def test_crashes_seen_by_several_entries_are_counted_together(entries):
    shared = _Entries(entries)
    for number in range(3):
        assert not isinstance(shared.guards[0].check(_POISON), Quarantined)
        shared.tell(shared.crash(number % entries, number, _POISON))
        shared.time.advance_ms(_APART_MS)
    for guard in shared.guards:
        assert isinstance(guard.check(_POISON), Quarantined)


def test_crash_that_several_entries_saw_counts_once():
    shared = _Entries()
    for entry in (0, 1):
        shared.tell(shared.crash(entry, 1, _POISON))
        shared.time.advance_ms(_APART_MS)
    assert shared.guards[0].check(_POISON) == Suspect(1)
    assert shared.guards[1].check(_POISON) == Suspect(1)


def test_upstreams_lost_at_the_same_time_count_once():
    """The same content ran on three upstreams of a domain that is lost."""
    shared = _Entries(1)
    guard = shared.guards[0]
    for number in range(3):
        guard.record_start(f'u{number}', 'r', _SOUND)
    for number in range(3):
        guard.record_death(f'u{number}', 'd', number)
        shared.time.advance_ms(100)
    assert guard.check(_SOUND) == Suspect(1)


def test_crash_of_a_request_that_was_sent_again_counts_however_soon():
    shared = _Entries(1)
    guard = shared.guards[0]
    for number in range(3):
        shared.crash(0, number, _POISON)
        shared.time.advance_ms(100)
    assert isinstance(guard.check(_POISON), Quarantined)


def test_request_beside_a_quarantined_one_is_cleared():
    """It ran beside the poison each time and never made progress."""
    shared = _Entries(1)
    guard = shared.guards[0]
    for number in range(3):
        shared.crash(0, number, *((_POISON, _SOUND) if number else (_POISON,)))
        shared.time.advance_ms(_APART_MS)
    assert guard.check(_SOUND) == Suspect(2)
    assert isinstance(guard.check(_POISON), Quarantined)
    assert guard.check(_SOUND) == Clear()


def test_waiting_request_is_charged_only_if_it_was_alone():
    shared = _Entries(1)
    guard = shared.guards[0]
    shared.crash(0, 1, _POISON, waiting=(_SOUND,))
    assert guard.check(_SOUND) == Clear()
    assert guard.check(_POISON) == Suspect(1)
    shared.time.advance_ms(_APART_MS)
    shared.crash(0, 2, waiting=(_SOUND, 8))
    assert guard.check(_SOUND) == Clear()
    shared.time.advance_ms(_APART_MS)
    shared.crash(0, 3, waiting=(_SOUND,))
    assert guard.check(_SOUND) == Suspect(1)


def test_progress_at_one_entry_clears_at_all_also_what_arrives_late():
    shared = _Entries()
    first, second = shared.guards
    notice = shared.crash(0, 1, _SOUND)
    shared.time.advance_ms(_APART_MS)
    first.record_start('u9', 'r', _SOUND)
    assert not first.record_progress('u9', 'r', 499)
    assert first.record_progress('u9', 'r', 500)
    second.merge_clear(_SOUND)
    second.merge_death(replace(notice, age_ms=_APART_MS))
    assert first.check(_SOUND) == Clear()
    assert not second.open_deaths()


def test_crash_after_progress_does_not_count():
    shared = _Entries(1)
    guard = shared.guards[0]
    for number in range(3):
        guard.record_start(f'u{number}', 'r', _SOUND)
        guard.record_progress(f'u{number}', 'r', 600)
        guard.record_death(f'u{number}', 'd', number)
        shared.time.advance_ms(_APART_MS)
    assert guard.check(_SOUND) == Clear()


def test_quarantine_ends_in_probation():
    """One more crash quarantines again, progress clears."""
    shared = _Entries(1)
    guard = shared.guards[0]
    for number in range(3):
        shared.crash(0, number, _POISON)
        shared.time.advance_ms(_APART_MS)
    assert isinstance(guard.check(_POISON), Quarantined)
    shared.time.advance_ms(_LIMITS.quarantine_ms + 1)
    assert guard.check(_POISON) == Suspect(0)
    shared.crash(0, 9, _POISON)
    assert isinstance(guard.check(_POISON), Quarantined)
    shared.time.advance_ms(_LIMITS.quarantine_ms + 1)
    assert guard.check(_POISON) == Suspect(0)
    guard.record_start('u10', 'r', _POISON)
    assert guard.check(_POISON) == Suspect(0, is_tried=True)
    guard.record_end('u10', 'r', completed=True)
    assert guard.check(_POISON) == Clear()


def test_last_trial_is_known_while_it_runs():
    shared = _Entries(1)
    guard = shared.guards[0]
    for number in range(2):
        shared.crash(0, number, _POISON)
        shared.time.advance_ms(_APART_MS)
    assert guard.check(_POISON) == Suspect(2)
    guard.record_start('u7', 'r', _POISON)
    assert guard.check(_POISON) == Suspect(2, is_tried=True)


def test_what_an_entry_knows_is_told_whole_to_one_that_starts():
    shared = _Entries()
    first, second = shared.guards
    for number in range(3):
        shared.crash(0, number, _POISON)
        shared.time.advance_ms(_APART_MS)
    shared.crash(0, 9, _SOUND)
    assert isinstance(first.check(_POISON), Quarantined)
    for notice in first.open_deaths():
        second.merge_death(notice)
    for notice, remaining_ms in first.quarantines():
        second.restore_quarantine(notice, remaining_ms)
    assert second.check(_POISON) == first.check(_POISON)
    assert second.check(_SOUND) == first.check(_SOUND) == Suspect(1)


_DEADLY, _FIRST, _OTHER = 901, 902, 903


def _crash_with_parts(shared, death_id, content, *parts) -> None:
    guard = shared.guards[0]
    guard.record_start(f'u{death_id}', 'r', content, parts)
    guard.record_death(f'u{death_id}', 'd', death_id)
    shared.time.advance_ms(_APART_MS)


def test_part_is_quarantined_once_different_requests_crashed():
    shared = _Entries(1)
    guard = shared.guards[0]
    for number in range(3):
        _crash_with_parts(shared, number, 1, _FIRST, _DEADLY)
    assert isinstance(guard.check(1, (_FIRST, _DEADLY)), Quarantined)
    assert guard.check(2, (_FIRST, _DEADLY)) == Clear()
    _crash_with_parts(shared, 3, 2, _FIRST, _DEADLY)
    verdict = guard.check(5, (_FIRST, _DEADLY))
    assert isinstance(verdict, Quarantined)
    assert verdict.is_part
    # The shared first part is in all of them too.
    assert guard.check(6, (_FIRST, _OTHER)) == Clear()


def test_part_shared_by_all_is_quarantined_if_it_is_the_cause():
    """The later of two parts in all crashed requests was blamed first."""
    shared = _Entries(1)
    guard = shared.guards[0]
    for number in range(4):
        _crash_with_parts(shared, number, number, _FIRST, _OTHER)
    assert guard.check(50, (_FIRST, _OTHER)).is_part
    assert guard.check(51, (_FIRST,)) == Clear()
    for number in range(60, 62):
        _crash_with_parts(shared, number, number, _FIRST)
    assert isinstance(guard.check(52, (_FIRST,)), Quarantined)


def test_progress_clears_the_parts_of_a_request():
    shared = _Entries(1)
    guard = shared.guards[0]
    for number in range(3):
        _crash_with_parts(shared, number, number, _FIRST, _DEADLY)
    guard.record_start('u8', 'r', 8, (_FIRST, _OTHER))
    assert guard.record_progress('u8', 'r', 500) == (_FIRST,)
    for number in range(10, 12):
        _crash_with_parts(shared, number, number, _FIRST, _DEADLY)
    assert guard.check(20, (_FIRST, _OTHER)) == Clear()
    assert isinstance(guard.check(21, (_FIRST, _DEADLY)), Quarantined)


def test_loss_of_a_domain_quarantines_no_part_that_its_requests_share():
    shared = _Entries(1)
    guard = shared.guards[0]
    for wave in range(3):
        for number in range(6):
            guard.record_start(f'u{wave}-{number}', 'r', number, (_FIRST,))
        shared.time.advance_ms(200)
        for number in range(6):
            guard.record_death(f'u{wave}-{number}', 'd', 100 * wave + number)
            shared.time.advance_ms(50)
        shared.time.advance_ms(_APART_MS)
    assert not isinstance(guard.check(7, (_FIRST,)), Quarantined)


def test_each_further_quarantine_is_longer():
    shared = _Entries(1)
    guard = shared.guards[0]
    guard.limits = replace(_LIMITS, quarantine_growth=4)
    for number in range(3):
        shared.crash(0, number, _POISON)
        shared.time.advance_ms(_APART_MS)
    first = guard.check(_POISON)
    shared.time.advance_ms(first.remaining_ms + 1)
    assert guard.check(_POISON) == Suspect(0)
    shared.crash(0, 9, _POISON)
    second = guard.check(_POISON)
    assert second.remaining_ms == pytest.approx(4 * first.remaining_ms)


def test_part_blamed_wrongly_is_released_once_the_cause_is_known():
    """The deadly part precedes a harmless one in the first requests."""
    shared = _Entries(1)
    guard = shared.guards[0]
    for number in range(4):
        _crash_with_parts(shared, number, number, _DEADLY, _OTHER)
    assert isinstance(guard.check(50, (_DEADLY, _OTHER)), Quarantined)
    assert isinstance(guard.check(51, (_OTHER,)), Quarantined)
    for number in range(60, 62):
        _crash_with_parts(shared, number, number, _DEADLY, _FIRST)
    assert isinstance(guard.check(52, (_DEADLY, _FIRST)), Quarantined)
    assert guard.check(53, (_OTHER,)) == Clear()
    assert guard.check(54, (_FIRST,)) == Clear()


def test_memory_of_a_guard_is_bounded():
    """Nobody asks for the changed numbers of deaths on the platform's path."""
    shared = _Entries(1)
    guard = shared.guards[0]
    for number in range(RECORDS_MAX + 100):
        shared.crash(0, number, 10_000 + number)
    assert len(guard._record_by_fingerprint) == RECORDS_MAX
    assert len(guard._changed_fingerprints) <= RECORDS_MAX
    assert not guard._attempts_by_agent


# Guards against: a request that crashes upstreams before its head, each time
# beside others that wait, ends upstream after upstream.
def test_content_that_waits_at_each_death_is_quarantined():
    shared = _Entries()
    guard = shared.guards[1]
    for number in range(4):
        assert guard.check(_POISON) == Clear()
        waiting = (_POISON, _SOUND if number == 1 else 20 + number)
        shared.tell(shared.crash(0, number, waiting=waiting))
        shared.time.advance_ms(_APART_MS)
    assert isinstance(guard.check(_POISON), Quarantined)
    assert isinstance(shared.guards[0].check(_POISON), Quarantined)
    assert guard.check(_SOUND) == Clear()
    assert guard.check(20) == Clear()


def test_contents_that_wait_together_at_each_death_are_not_charged():
    shared = _Entries(1)
    guard = shared.guards[0]
    for number in range(5):
        shared.crash(0, number, waiting=(_POISON, _SOUND, 20 + number))
        shared.time.advance_ms(_APART_MS)
    assert guard.check(_POISON) == Clear()
    assert guard.check(_SOUND) == Clear()


# Guards against: a quarantined part released, and the part that all share
# refused in its place, since one sound stream was lost beside requests with it
# of which other entries have not told yet.
def test_one_request_without_the_deadly_part_does_not_release_it():
    shared = _Entries(1)
    guard = shared.guards[0]
    for number in range(4):
        _crash_with_parts(shared, number, number, _FIRST, _DEADLY)
    assert isinstance(guard.check(50, (_FIRST, _DEADLY)), Quarantined)
    for number in range(60, 62):
        _crash_with_parts(shared, number, 5, _FIRST, _OTHER)
    assert guard.check(51, (_FIRST, 904)) == Clear()
    assert isinstance(guard.check(52, (_FIRST, _DEADLY)), Quarantined)


@pytest.mark.parametrize('entries', [1, 2, 3])
def test_crashes_after_progress_are_counted_by_all_entries_together(entries):
    shared = _Entries(entries)
    for number in range(_LIMITS.charged_deaths_max):
        for guard in shared.guards:
            assert not isinstance(guard.check(_POISON), Quarantined)
        shared.tell(shared.crash_late(number % entries, number, _POISON))
        shared.time.advance_ms(_APART_MS)
    for guard in shared.guards:
        assert isinstance(guard.check(_POISON), Quarantined)


def test_progress_does_not_end_a_quarantine_for_crashes_after_progress():
    shared = _Entries()
    first, second = shared.guards
    for number in range(_LIMITS.charged_deaths_max):
        shared.tell(shared.crash_late(0, number, _POISON))
        shared.time.advance_ms(_APART_MS)
    assert isinstance(first.check(_POISON), Quarantined)
    second.restore_quarantine(first.quarantines()[0][0], 60_000)
    second.merge_clear(_POISON)
    assert isinstance(second.check(_POISON), Quarantined)
    shared.time.advance_ms(_LIMITS.quarantine_ms + 1)
    assert first.check(_POISON) == Suspect(0)
    shared.tell(shared.crash_late(0, 99, _POISON))
    for guard in shared.guards:
        assert isinstance(guard.check(_POISON), Quarantined)


def test_completion_at_one_entry_clears_crashes_after_progress_at_all():
    shared = _Entries()
    first, second = shared.guards
    for number in range(_LIMITS.charged_deaths_max - 1):
        shared.tell(shared.crash_late(0, number, _SOUND))
        shared.time.advance_ms(_APART_MS)
    assert second.check(_SOUND) == Suspect(_LIMITS.charged_deaths_max - 1)
    first.record_start('u9', 'r', _SOUND)
    assert first.record_end('u9', 'r', completed=True) == (_SOUND,)
    second.merge_completion(_SOUND)
    for guard in shared.guards:
        assert guard.check(_SOUND) == Clear()
        assert not guard.charged_deaths()


def test_losses_of_many_upstreams_do_not_count_after_progress():
    """A long stream runs through one such loss after another."""
    shared = _Entries(1)
    for loss in range(2 * _LIMITS.charged_deaths_max):
        for other in range(1, 5):
            shared.crash_late(0, 10 * loss + other, 100 * loss + other)
        shared.crash_late(0, 10 * loss, _SOUND)
        shared.time.advance_ms(_APART_MS)
    assert shared.guards[0].check(_SOUND) == Clear()


def test_entry_that_starts_learns_of_crashes_after_progress():
    shared = _Entries()
    first, second = shared.guards
    for number in range(_LIMITS.charged_deaths_max - 1):
        shared.crash_late(0, number, _POISON)
        shared.time.advance_ms(_APART_MS)
    for notice in first.charged_deaths():
        second.merge_death(notice)
    assert second.check(_POISON) == first.check(_POISON)
    assert not second.open_deaths()
