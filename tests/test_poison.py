"""Quarantine of requests that crash upstreams, and of no other requests."""

import asyncio

import pytest

from bergamotthread.clock import Clock
from bergamotthread.process.generations.quarantine_refusal import (
    quarantine_refusal,
)
from bergamotthread.process.generations.quarantine_store import (
    QuarantinePublisher,
    QuarantineRow,
)
from bergamotthread.process.poison.fingerprints import request_fingerprint
from bergamotthread.process.poison.guard import PoisonGuard
from bergamotthread.process.poison.limits import (
    CHARGED_DEATHS_MAX,
    COUNTED_DEATHS_MAX,
)
from bergamotthread.process.poison.verdicts import (
    Clear,
    Quarantined,
    Suspect,
    Undecided,
)
from bergamotthread.request.refusal import Ran, ReasonCode
from bergamotthread.testing.memory_network import MemoryNetwork
from bergamotthread.testing.memory_platform import MemoryPlatform, MemoryTable
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.wire.messages import Pin, Quarantine
from tests.placement_fixtures import ManualClock

_POISON = 666
_SETTLED_MS = 6000


class _Sink:
    def __init__(self) -> None:
        self.confirmed: list[Quarantine] = []

    def quarantined(self, notice: Quarantine) -> None:
        self.confirmed.append(notice)


def _guard(time: ManualClock) -> PoisonGuard:
    return PoisonGuard(time.clock, _Sink())


def _die(guard, time, index, content=_POISON, beside=(), domain=None) -> None:
    agent = f'agent{index}'
    for content_hash in (content, *beside):
        guard.record_start(agent, f'g{content_hash}', content_hash)
    guard.record_death(agent, domain or f'd{index}')
    time.advance_ms(_SETTLED_MS)


@pytest.mark.parametrize(
    'other',
    [
        ('team2', Pin('m', '1'), 'text'),
        ('team', Pin('m', '2'), 'text'),
        ('team', Pin('m', '1', 'a'), 'text'),
        ('team', Pin('m', '1'), 'text2'),
    ],
)
def test_fingerprint_covers_team_pin_and_prompt(other) -> None:
    reference = request_fingerprint('team', Pin('m', '1'), 'text')
    assert reference == request_fingerprint('team', Pin('m', '1'), 'text') != 0
    assert request_fingerprint(*other) != reference


def test_request_is_quarantined_once_after_the_maximum_of_deaths() -> None:
    time = ManualClock()
    guard = _guard(time)
    for index in range(COUNTED_DEATHS_MAX):
        assert not isinstance(guard.check(_POISON), Quarantined)
        _die(guard, time, index)
    verdict = guard.check(_POISON)
    assert isinstance(verdict, Quarantined)
    assert isinstance(guard.check(_POISON), Quarantined)
    assert len(guard.sink.confirmed) == 1
    refusal = quarantine_refusal(verdict, ran=Ran.MAYBE)
    assert refusal.reason is ReasonCode.QUARANTINED
    assert '3 upstreams died' in refusal.detail


def test_request_that_shared_a_dead_upstream_is_isolated_then_cleared() -> None:
    """A harmless request ran on an upstream that another one crashed.

    It is isolated from the other suspect until it makes progress, and is never
    quarantined.
    """
    time = ManualClock()
    guard = _guard(time)
    innocent = 7
    _die(guard, time, 0, beside=(innocent,))
    assert guard.check(innocent) == Suspect(1)
    guard.record_start('agent1', 'g7', innocent)
    assert guard.agents_with_other_suspects(_POISON) == {'agent1'}
    assert guard.agents_with_other_suspects(innocent) == frozenset()
    guard.record_progress('agent1', 'g7', 16)
    assert guard.check(innocent) == Clear()
    assert guard.agents_with_other_suspects(_POISON) == frozenset()
    for index in (2, 3):
        _die(guard, time, index)
    assert isinstance(guard.check(_POISON), Quarantined)
    assert guard.check(innocent) == Clear()


@pytest.mark.parametrize('order', [(0, 1, 2), (2, 0, 1)])
def test_loss_of_a_failure_domain_quarantines_no_request(order) -> None:
    """The same requests run on three failure domains lost one by one."""
    time = ManualClock()
    guard = _guard(time)
    for round_index in range(COUNTED_DEATHS_MAX):
        for index in order:
            agent = f'agent{round_index}-{index}'
            guard.record_start(agent, f'g{index}', index + 1)
        for index in order:
            agent = f'agent{round_index}-{index}'
            guard.record_death(agent, f'd{round_index}')
            time.advance_ms(1500)
        time.advance_ms(_SETTLED_MS)
    for index in order:
        assert guard.check(index + 1) == Clear()


def _lose(guard, time, count, content=_POISON) -> None:
    """Kill upstreams of different domains at once; one runs a request."""
    guard.record_start('agent0', 'g', content)
    for index in range(count):
        guard.record_death(f'agent{index}', f'd{index}')
        time.advance_ms(100)


def test_simultaneous_loss_across_domains_makes_no_suspect() -> None:
    """One upstream of each of several domains dies at the same time."""
    time = ManualClock()
    guard = _guard(time)
    _lose(guard, time, 4)
    assert guard.check(_POISON) == Clear()
    guard.record_start('agent9', 'g', _POISON)
    assert guard.agents_with_other_suspects(7) == frozenset()


def test_few_simultaneous_losses_across_domains_make_a_suspect() -> None:
    """Three deaths at once are below the limit for a common cause."""
    time = ManualClock()
    guard = _guard(time)
    _lose(guard, time, 3)
    assert guard.check(_POISON) == Suspect(1)


def test_deaths_across_domains_still_count_towards_quarantine() -> None:
    """Each death of the request coincides with deaths in other domains.

    Only deaths in the same failure domain excuse a request, so each counts.
    """
    time = ManualClock()
    guard = _guard(time)
    expected = (Clear(), Suspect(2))
    for verdict in expected:
        _lose(guard, time, 4)
        assert guard.check(_POISON) == verdict
        time.advance_ms(_SETTLED_MS)
    _lose(guard, time, 4)
    time.advance_ms(_SETTLED_MS)
    assert isinstance(guard.check(_POISON), Quarantined)


def test_death_of_an_upstream_without_requests_shows_a_domain_loss() -> None:
    """The second upstream of the domain ran no request of this process."""
    time = ManualClock()
    guard = _guard(time)
    guard.record_start('agent0', 'g', _POISON)
    guard.record_death('agent0', 'd0')
    assert guard.check(_POISON) == Suspect(1)
    guard.record_death('agent1', 'd0')
    assert guard.check(_POISON) == Clear()


def test_single_other_death_is_no_loss_of_a_large_domain() -> None:
    """Another crashing request kills one more upstream each time.

    In a domain of ten upstreams this does not excuse the first request.
    """
    time = ManualClock()
    guard = PoisonGuard(time.clock, _Sink(), domain_size=lambda domain: 10)
    for index in range(COUNTED_DEATHS_MAX):
        guard.record_start(f'agent{index}', 'g', _POISON)
        guard.record_death(f'agent{index}', 'd0')
        guard.record_death(f'other{index}', 'd0')
        time.advance_ms(_SETTLED_MS)
    assert isinstance(guard.check(_POISON), Quarantined)


def test_loss_of_a_large_domain_quarantines_no_request() -> None:
    time = ManualClock()
    guard = PoisonGuard(time.clock, _Sink(), domain_size=lambda domain: 300)
    for index in range(300):
        guard.record_start(f'agent{index}', f'g{index}', index + 1)
    for index in range(300):
        guard.record_death(f'agent{index}', 'd0')
    assert {type(guard.check(index + 1)) for index in range(300)} == {Clear}


def test_attempt_that_a_dead_upstream_never_confirmed_is_not_charged() -> None:
    time = ManualClock()
    guard = _guard(time)
    guard.record_start('agent0', 'g', _POISON)
    for index in range(5):
        guard.record_death(f'agent{index}', f'd{index}')
    time.advance_ms(_SETTLED_MS)
    _die(guard, time, 9)
    assert guard.check(_POISON) == Suspect(2)


def test_request_that_crashes_one_domain_repeatedly_is_quarantined() -> None:
    """The deaths coincide, but each of the upstreams ran the request."""
    time = ManualClock()
    guard = _guard(time)
    for index in range(COUNTED_DEATHS_MAX):
        guard.record_start(f'agent{index}', 'g', _POISON)
        guard.record_death(f'agent{index}', 'd0')
        time.advance_ms(500)
    time.advance_ms(_SETTLED_MS)
    assert isinstance(guard.check(_POISON), Quarantined)


def test_quarantine_waits_until_the_last_death_is_certain_to_count() -> None:
    """The third death may still prove part of the loss of its domain."""
    time = ManualClock()
    guard = _guard(time)
    _die(guard, time, 0)
    _die(guard, time, 1)
    guard.record_start('agent2', 'g', _POISON)
    guard.record_death('agent2', 'd2')
    verdict = guard.check(_POISON)
    assert verdict == Undecided(3, pytest.approx(5000))
    time.advance_ms(1000)
    guard.record_death('agent3', 'd2')
    assert guard.check(_POISON) == Suspect(2)


def test_request_that_crashes_after_output_is_quarantined_too() -> None:
    """Progress clears the counted deaths, but not all charged ones."""
    time = ManualClock()
    guard = _guard(time)
    for index in range(CHARGED_DEATHS_MAX):
        assert not isinstance(guard.check(_POISON), Quarantined)
        guard.record_start(f'agent{index}', 'g', _POISON)
        guard.record_progress(f'agent{index}', 'g', 100)
        guard.record_death(f'agent{index}', f'd{index}')
        time.advance_ms(_SETTLED_MS)
    assert isinstance(guard.check(_POISON), Quarantined)


def test_completion_clears_all_charges() -> None:
    time = ManualClock()
    guard = _guard(time)
    for index in range(CHARGED_DEATHS_MAX - 1):
        guard.record_start(f'agent{index}', 'g', _POISON)
        guard.record_progress(f'agent{index}', 'g', 100)
        guard.record_death(f'agent{index}', f'd{index}')
        time.advance_ms(_SETTLED_MS)
    guard.record_start('last', 'g', _POISON)
    guard.record_end('last', 'g', completed=True)
    _die(guard, time, 90)
    assert guard.check(_POISON) == Suspect(1)


def test_repeated_charges_of_one_peer_count_once() -> None:
    """A resent charge replaces the earlier one; other peers' are added."""
    time = ManualClock()
    guard = _guard(time)
    guard.merge('entry1', Quarantine(_POISON, 1, confirmed=False))
    guard.merge('entry1', Quarantine(_POISON, 1, confirmed=False))
    guard.merge('entry2', Quarantine(_POISON, 1, confirmed=False))
    time.advance_ms(_SETTLED_MS)
    assert guard.check(_POISON) == Suspect(2)
    _die(guard, time, 0)
    assert isinstance(guard.check(_POISON), Quarantined)


def test_released_fingerprint_may_run_again() -> None:
    guard = _guard(ManualClock())
    guard.merge('entry1', Quarantine(_POISON, 3, confirmed=True))
    assert isinstance(guard.check(_POISON), Quarantined)
    guard.release(_POISON)
    assert guard.check(_POISON) == Clear()


def test_only_changes_of_counted_deaths_are_sent() -> None:
    time = ManualClock()
    guard = _guard(time)
    guard.record_start('agent0', 'g', _POISON)
    guard.record_death('agent0', 'd0')
    assert guard.pop_changed_charges() == (
        Quarantine(_POISON, 1, confirmed=False),
    )
    assert guard.pop_changed_charges() == ()
    time.advance_ms(2000)
    guard.record_death('agent1', 'd0')
    assert guard.pop_changed_charges() == (
        Quarantine(_POISON, 0, confirmed=False),
    )
    _die(guard, time, 2)
    assert guard.pop_changed_charges() == (
        Quarantine(_POISON, 1, confirmed=False),
    )
    guard.record_start('agent3', 'g', _POISON)
    guard.record_progress('agent3', 'g', 16)
    assert guard.pop_changed_charges() == (
        Quarantine(_POISON, 0, confirmed=False),
    )


class _Audit:
    def __init__(self) -> None:
        self.rows: list[QuarantineRow] = []

    def quarantine_recorded(self, row: QuarantineRow) -> None:
        self.rows.append(row)


class _Entry:
    def __init__(self, network, platform, name, peers) -> None:
        clock = platform.clock
        self.audit = _Audit()
        self.publisher = QuarantinePublisher(
            clock=clock,
            transport=network.transport(name),
            table=MemoryTable(platform),
            audit=self.audit,
            peers=lambda: peers,
        )
        self.guard = PoisonGuard(clock, self.publisher)
        self.publisher.transport.start(
            lambda envelope: self.guard.merge(
                envelope.sender,
                envelope.message,
            ),
        )


def _entries() -> tuple[Clock, MemoryNetwork, MemoryPlatform, list[_Entry]]:
    clock = Clock.from_loop(asyncio.get_running_loop())
    network = MemoryNetwork(delay_ms=20)
    platform = MemoryPlatform(clock)
    names = ('e0', 'e1', 'e2')
    entries = [
        _Entry(network, platform, name, tuple(set(names) - {name}))
        for name in names
    ]
    return clock, network, platform, entries


async def _kill_from(entry: _Entry, clock: Clock, deaths: int) -> None:
    for index in range(deaths):
        entry.guard.record_start(f'a{index}', 'g', _POISON)
        entry.guard.record_death(f'a{index}', f'd{index}')
        entry.publisher.flush(entry.guard)
        await clock.sleep_ms(_SETTLED_MS)


async def _resend() -> None:
    clock, _, platform, entries = _entries()
    await _kill_from(entries[0], clock, 3)
    assert isinstance(entries[0].guard.check(_POISON), Quarantined)
    platform.faults.down = True
    with pytest.raises(Exception, match='platform is down'):
        await entries[0].publisher.save()
    await clock.sleep_ms(50)
    for entry in entries:
        assert isinstance(entry.guard.check(_POISON), Quarantined)
    platform.faults.down = False
    await entries[0].publisher.save()
    assert len(platform.rows_by_key) == 1
    assert len(entries[0].audit.rows) == 1
    late = _Entry(MemoryNetwork(), platform, 'late', ())
    await late.publisher.load(late.guard)
    assert isinstance(late.guard.check(_POISON), Quarantined)


def test_quarantine_reaches_all_entries_and_the_table() -> None:
    """The table is down when the quarantine is confirmed."""
    run_virtual(_resend())


async def _spread_resends() -> int:
    clock, _, _, entries = _entries()
    deaths = 0
    for index in range(9):
        entry = entries[index % 3]
        if isinstance(entry.guard.check(_POISON), Quarantined):
            continue
        entry.guard.record_start(f'a{index}', 'g', _POISON)
        entry.guard.record_death(f'a{index}', f'd{index}')
        entry.publisher.flush(entry.guard)
        deaths += 1
        await clock.sleep_ms(_SETTLED_MS)
    return deaths


def test_retries_spread_over_all_entries_kill_no_more_upstreams() -> None:
    """Each entry alone sees fewer deaths than the maximum."""
    assert run_virtual(_spread_resends()) == COUNTED_DEATHS_MAX


async def _domain_loss_traffic() -> int:
    clock, network, _, entries = _entries()
    for index in range(100):
        entries[0].guard.record_start(f'a{index}', f'g{index}', index + 1)
    for index in range(100):
        entries[0].guard.record_death(f'a{index}', 'd0')
    entries[0].publisher.flush(entries[0].guard)
    await clock.sleep_ms(100)
    return network.bytes_by_sender.get('e0', 0)


def test_domain_loss_sends_no_charges() -> None:
    assert run_virtual(_domain_loss_traffic()) == 0


async def _lost_answer() -> None:
    clock, _, platform, entries = _entries()
    await _kill_from(entries[0], clock, 3)
    entries[0].guard.check(_POISON)
    platform.faults.lost_answers = 1
    with pytest.raises(Exception, match='answer lost'):
        await entries[0].publisher.save()
    await entries[0].publisher.save()
    assert len(platform.rows_by_key) == 1


def test_row_is_written_again_after_a_lost_store_answer() -> None:
    run_virtual(_lost_answer())
