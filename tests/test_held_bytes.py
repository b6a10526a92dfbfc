"""Bytes that a process holds for callers, and who loses them."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from bergamotthread.clock import Clock
from bergamotthread.connection.held_bytes import HeldAccount, HeldBytes

MEGABYTE = 1_000_000


@dataclass
class _Caller:
    unsent_bytes: int = 0
    dropped: list[str] = field(default_factory=list)

    def drop(self, reason: str) -> None:
        self.dropped.append(reason)
        self.unsent_bytes = 0


class _Bench:
    def __init__(self, limit_bytes: float) -> None:
        self.now_s = 100.0
        clock = Clock(lambda: self.now_s, lambda: self.now_s)
        self.held = HeldBytes(clock, limit_bytes)

    def connect(self) -> tuple[_Caller, HeldAccount]:
        caller = _Caller()
        return caller, self.held.open(caller)


# Guards against callers that read nothing and fill the memory of an entry.
def test_caller_that_does_not_read_loses_and_nobody_beside_it():
    bench = _Bench(10 * MEGABYTE)
    slow, slow_account = bench.connect()
    slow.unsent_bytes = 4 * MEGABYTE
    slow_account.look()
    bench.now_s += 3
    sound, sound_account = bench.connect()
    sound.unsent_bytes = 4 * MEGABYTE
    sound_account.look()
    bench.now_s += 0.1
    asked, asked_account = bench.connect()
    asked_account.set_request(3 * MEGABYTE, is_reading=True)
    assert slow.dropped == [
        '11000000 bytes held for callers, at most 10000000',
    ]
    assert not sound.dropped
    assert not asked.dropped
    assert bench.held.total_bytes == 7 * MEGABYTE


def test_caller_that_reads_on_is_not_to_blame():
    bench = _Bench(10 * MEGABYTE)
    steady, steady_account = bench.connect()
    idle, idle_account = bench.connect()
    for left in range(9, 4, -1):
        steady.unsent_bytes = left * MEGABYTE
        steady_account.look()
        bench.now_s += 1
    idle.unsent_bytes = 2 * MEGABYTE
    idle_account.look()
    bench.now_s += 3
    steady.unsent_bytes = 4 * MEGABYTE
    sender, sender_account = bench.connect()
    sender_account.set_request(5 * MEGABYTE, is_reading=True)
    assert (len(steady.dropped), len(idle.dropped)) == (0, 1)


# Guards against sound callers that lose their answers as others are collected.
def test_caller_that_has_just_been_sent_its_answer_keeps_it():
    bench = _Bench(10 * MEGABYTE)
    fresh, fresh_account = bench.connect()
    fresh.unsent_bytes = 8 * MEGABYTE
    fresh_account.look()
    bench.now_s += 0.2
    _, collecting = bench.connect()
    collecting.add_answer(4 * MEGABYTE)
    assert not fresh.dropped
    bench.now_s += 0.4
    collecting.add_answer(1)
    assert fresh.dropped


def test_slow_sender_loses_before_a_fresh_one():
    bench = _Bench(10 * MEGABYTE)
    accounts = []
    for _ in range(3):
        caller, account = bench.connect()
        account.set_request(3 * MEGABYTE, is_reading=True)
        accounts.append(caller)
        bench.now_s += 1
    _, account = bench.connect()
    account.set_request(2 * MEGABYTE, is_reading=True)
    assert [len(caller.dropped) for caller in accounts] == [1, 0, 0]


def test_request_that_is_answered_is_never_dropped():
    bench = _Bench(MEGABYTE)
    caller, account = bench.connect()
    account.set_request(2 * MEGABYTE, is_reading=False)
    assert not caller.dropped
    assert not bench.held.has_room


# Guards against answers that all wait for each other's memory.
def test_answer_that_is_collected_for_longest_goes_on():
    bench = _Bench(10 * MEGABYTE)
    _, first = bench.connect()
    _, second = bench.connect()
    first.add_answer(5 * MEGABYTE)
    second.add_answer(5 * MEGABYTE)
    assert (first.has_room, second.has_room) == (True, False)
    first.release_answer()
    assert second.has_room


@pytest.mark.parametrize('memory_mb', [128, 552])
def test_bound_follows_the_memory_of_the_machine(memory_mb):
    clock = Clock.from_system()
    held = HeldBytes.from_memory(clock, memory_mb * MEGABYTE)
    assert held.limit_bytes == memory_mb * MEGABYTE * 0.2


def test_nothing_is_held_once_all_callers_have_left():
    bench = _Bench(10 * MEGABYTE)
    for _ in range(4):
        caller, account = bench.connect()
        caller.unsent_bytes = MEGABYTE
        account.look()
        account.add_answer(MEGABYTE)
        account.set_request(MEGABYTE, is_reading=True)
        account.close()
    assert bench.held.total_bytes == 0
