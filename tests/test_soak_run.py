"""A short soak of the real processes.

Its checks are of what must hold however slow the machine is; those of times
are for soaks by hand.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time

import psutil

from soak import answer_checks, system_checks
from soak.checks import findings_of
from soak.plan import Fault, FaultKind, Plan
from soak.records import Ending, Kind
from soak.session import Soak

_FAULTS = (
    Fault(1.0, FaultKind.PUBLISH_ROUTE, 0, 1),
    Fault(1.5, FaultKind.KILL_RUNNER, 0, 1),
    Fault(2.0, FaultKind.RESET_LINK, 1, 1),
    Fault(2.5, FaultKind.BUSY_STORE, 0, 1),
    Fault(3.0, FaultKind.KILL_ENTRY, 0, 0.2),
    Fault(3.5, FaultKind.CUT_LINK_DOWN, 3, 1),
    Fault(4.0, FaultKind.REVOKE_KEY, 0, 1),
)
_CHECKS = (
    answer_checks.check_whole,
    answer_checks.check_prefix,
    answer_checks.check_once,
    answer_checks.check_not_run,
    system_checks.check_reverts,
)


def test_short_soak_breaks_no_promise_and_leaves_no_process():
    plan = Plan(5, 7.0, 2, 6, _FAULTS)
    records = asyncio.run(Soak(plan).run())
    assert findings_of(records, _CHECKS) == []
    whole = [
        asked
        for asked in records.asked
        if asked.ending is Ending.WHOLE and asked.status == 200
    ]
    assert {asked.kind for asked in whole} == set(Kind)
    assert len(records.published) == 3
    assert not [
        process
        for process in psutil.Process().children(recursive=True)
        if process.status() != psutil.STATUS_ZOMBIE
    ]


def test_soak_that_is_ended_leaves_no_process():
    soak = subprocess.Popen(
        [sys.executable, '-m', 'soak', '--seed', '1', '--minutes', '5'],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    started = psutil.Process(soak.pid)
    children = []
    while len(children) < 9:
        time.sleep(0.1)
        assert soak.poll() is None
        children = started.children()
    soak.terminate()
    soak.wait(60)
    _, alive = psutil.wait_procs(children, timeout=10)
    assert alive == []
