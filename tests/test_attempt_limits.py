"""Tests of the limits of a call's attempts, without a network."""

from __future__ import annotations

import itertools
from types import SimpleNamespace

from bergamotthread.clock import Clock
from bergamotthread.process.relay.repeat_budget import (
    ServiceRetryBudget,
    ServiceRetryLimits,
)
from bergamotthread.request.relay.attempt_loop import AttemptLimits


def _passing_clock():
    """Return a clock that passes between any two readings, as a real one."""
    readings = itertools.count(1, 0.001)
    return Clock(
        monotonic_s=lambda: next(readings), calendar_s=lambda: next(readings)
    )


def _budget(slack):
    limits = ServiceRetryLimits(ratio=0, window_ms=10_000, slack=slack)
    return ServiceRetryBudget(_passing_clock(), limits, lambda: 1)


def _sent_call(budget):
    """Return the limits of a call that has sent one attempt."""
    call = SimpleNamespace(service=SimpleNamespace(name='s'))
    parts = SimpleNamespace(retry_budget=budget, clock=budget.clock)
    return AttemptLimits(call, parts, attempts_sent=1)


# Guards against calls that give up running attempts for the same retry.
def test_reserved_retry_is_kept_for_its_call():
    budget = _budget(slack=1)
    first, second = _sent_call(budget), _sent_call(budget)
    assert first.reserve_attempt()
    assert not second.reserve_attempt()
    assert not second.has_budget
    assert first.has_budget
    first.record_sent()
    assert not second.reserve_attempt()


def test_retry_that_was_reserved_but_not_used_returns_to_the_budget():
    budget = _budget(slack=1)
    first, second = _sent_call(budget), _sent_call(budget)
    assert first.reserve_attempt()
    first.release()
    assert second.reserve_attempt()


# Guards against a retry that is sent when the window in which it was reserved
# is over: it counted for no window in which it arrived.
def test_reserved_retry_counts_from_the_time_at_which_it_is_sent():
    readings_s = [1.0]
    clock = Clock(
        monotonic_s=lambda: readings_s[-1], calendar_s=lambda: readings_s[-1]
    )
    limits = ServiceRetryLimits(ratio=0, window_ms=10_000, slack=1)
    budget = ServiceRetryBudget(clock, limits, lambda: 1)
    first, second = _sent_call(budget), _sent_call(budget)
    assert first.reserve_attempt()
    readings_s.append(9.0)
    first.record_sent()
    readings_s.append(15.0)
    assert not second.reserve_attempt()


def test_retry_reserved_longer_than_the_window_is_reserved_again():
    readings_s = [1.0]
    clock = Clock(
        monotonic_s=lambda: readings_s[-1], calendar_s=lambda: readings_s[-1]
    )
    limits = ServiceRetryLimits(ratio=0, window_ms=10_000, slack=1)
    budget = ServiceRetryBudget(clock, limits, lambda: 1)
    first, second = _sent_call(budget), _sent_call(budget)
    assert first.reserve_attempt()
    readings_s.append(12.0)
    assert second.reserve_attempt()
    assert not first.reserve_attempt()
