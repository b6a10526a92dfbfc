from __future__ import annotations

import pytest
from click.testing import CliRunner

from soak.__main__ import main
from soak.deployment import NetworkReservation
from soak.plan import PLANNED, Fault, FaultKind, Plan, shrink


def test_same_seed_gives_the_same_plan():
    plan = Plan.from_seed(7, 60, 12)
    assert plan == Plan.from_seed(7, 60, 12)
    assert plan != Plan.from_seed(8, 60, 12)
    assert (plan.entries, plan.runners) == (3, 8)
    assert len(plan.faults) > 10


def test_plan_draws_only_the_requested_kinds():
    kinds = (FaultKind.KILL_ENTRY, FaultKind.BUSY_STORE)
    plan = Plan.from_seed(1, 60, 9, kinds)
    assert {fault.kind for fault in plan.faults} == set(kinds)


def test_some_planned_stops_have_no_disturbance_near_them():
    """Otherwise rules that hold only without disturbance go unchecked."""
    plan = Plan.from_seed(2, 240, 9)
    unplanned = [fault for fault in plan.faults if fault.kind not in PLANNED]
    undisturbed_stops = [
        fault
        for fault in plan.faults
        if fault.kind is FaultKind.STOP_ENTRY
        and not any(
            fault.at_s - 5 < other.at_s + other.for_s
            and other.at_s < fault.at_s + 9
            for other in unplanned
        )
    ]
    assert len(undisturbed_stops) >= 2


def test_targets_are_processes_of_the_plan():
    plan = Plan.from_seed(3, 600, 40)
    assert all(
        fault.target < max(plan.entries, plan.runners) for fault in plan.faults
    )


def test_shrinking_keeps_the_faults_that_are_needed():
    faults = tuple(
        Fault(float(number), FaultKind.KILL_ENTRY, 0, 1) for number in range(13)
    )
    needed = {faults[2], faults[11]}
    assert (
        set(shrink(faults, lambda candidate: needed <= set(candidate)))
        == needed
    )


@pytest.mark.parametrize(
    ('arguments', 'expected_text'),
    [
        (['--seed', '-1'], '--seed'),
        (['--seed', '1', '--processes', '5'], '--processes'),
        (['--seed', '1', '--minutes', '0'], '--minutes'),
        (['--seed', '1', '--kinds', 'flood'], 'busy-store'),
    ],
)
def test_invalid_option_gives_a_usage_error(arguments, expected_text):
    outcome = CliRunner().invoke(main, arguments)
    assert outcome.exit_code == 2
    assert expected_text in outcome.output


def test_concurrent_soaks_reserve_different_networks():
    first = NetworkReservation.acquire()
    second = NetworkReservation.acquire()
    assert first.prefix != second.prefix
    first.release()
    third = NetworkReservation.acquire()
    assert third.prefix == first.prefix
    second.release()
    third.release()
