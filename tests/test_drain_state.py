"""Drain of one process: announcements, phases and deadlines."""

import pytest

from bergamotthread.clock import Clock
from bergamotthread.process.drain.drain_state import (
    DrainPhase,
    DrainSource,
    DrainState,
    stopping_addresses,
)
from bergamotthread.version.objects import Stop
from bergamotthread.wire.messages import DrainNotice

ADDRESS = '10.0.0.1:1'
EPOCH_MS = 1_700_000_000_000


class _Time:
    def __init__(self) -> None:
        self.elapsed_ms = 0
        self.clock = Clock(
            lambda: self.elapsed_ms / 1000,
            lambda: (EPOCH_MS + self.elapsed_ms) / 1000,
        )


def _stop(start_ms: int, deadline_ms: int, address: str = ADDRESS) -> Stop:
    return Stop('s', address, EPOCH_MS + start_ms, EPOCH_MS + deadline_ms)


def _announce(drain: DrainState, way: str) -> None:
    match way:
        case 'signal':
            drain.apply_signal()
        case 'published':
            drain.apply_stops([_stop(0, 100_000)])
        case 'notice':
            drain.apply_notice(DrainNotice(True, 'operator', 100_000))
        case 'host_list':
            drain.apply_leaving(leaving=True)


@pytest.mark.parametrize('way', ['signal', 'published', 'notice', 'host_list'])
def test_each_announcement_stops_new_work_immediately(way: str) -> None:
    drain = DrainState(_Time().clock, ADDRESS)
    assert drain.may_dispatch()
    _announce(drain, way)
    assert not drain.may_dispatch()
    assert drain.refresh(3) is DrainPhase.DRAINING
    assert drain.refresh(0) is DrainPhase.DRAINED


def test_published_stop_starts_on_time_without_another_message() -> None:
    time = _Time()
    drain = DrainState(time.clock, ADDRESS)
    drain.apply_stops([_stop(5000, 50_000), _stop(0, 9, 'other')])
    time.elapsed_ms = 4999
    assert drain.may_dispatch()
    time.elapsed_ms = 5000
    assert not drain.may_dispatch()


def test_remaining_work_is_handed_over_near_the_deadline() -> None:
    time = _Time()
    entered: list[DrainPhase] = []
    drain = DrainState(time.clock, ADDRESS, entered.append)
    drain.apply_stops([_stop(0, 100_000)])
    drain.refresh(2)
    time.elapsed_ms = 69_999
    assert drain.refresh(2) is DrainPhase.DRAINING
    time.elapsed_ms = 70_000
    assert drain.refresh(2) is DrainPhase.STOPPING
    drain.refresh(0)
    assert entered == [
        DrainPhase.DRAINING,
        DrainPhase.STOPPING,
        DrainPhase.DRAINED,
    ]


def test_drained_process_with_new_work_drains_again() -> None:
    drain = DrainState(_Time().clock, ADDRESS)
    drain.apply_leaving(leaving=True)
    drain.refresh(0)
    assert drain.refresh(1) is DrainPhase.DRAINING


@pytest.mark.parametrize('way', ['published', 'notice', 'host_list'])
def test_withdrawal_ends_a_drain_unless_a_signal_announced_it(
    way: str,
) -> None:
    drain = DrainState(_Time().clock, ADDRESS)
    _announce(drain, way)
    drain.refresh(1)
    drain.withdraw(DrainSource(way))
    assert drain.refresh(1) is DrainPhase.SERVING
    drain.apply_signal()
    drain.withdraw(DrainSource.SIGNAL)
    assert drain.refresh(1) is DrainPhase.DRAINING


def test_repeated_notice_does_not_extend_the_deadline() -> None:
    time = _Time()
    drain = DrainState(time.clock, ADDRESS)
    drain.apply_notice(DrainNotice(True, 'a', 60_000))
    time.elapsed_ms = 1000
    drain.apply_notice(DrainNotice(True, 'a', 60_000))
    assert drain.deadline_ms() == 60_000


def test_restarted_process_ignores_a_stop_that_has_ended() -> None:
    time = _Time()
    time.elapsed_ms = 20_000
    drain = DrainState(time.clock, ADDRESS)
    drain.apply_stops([_stop(0, 20_000)])
    assert drain.may_dispatch()
    drain.apply_stops([_stop(0, 20_001)])
    assert not drain.may_dispatch()


def test_stopping_addresses_depend_on_published_stops_alone() -> None:
    stops = [_stop(0, 10), _stop(5, 20, 'b'), _stop(11, 20, 'c')]
    assert stopping_addresses(stops, EPOCH_MS + 10) == {'b'}
