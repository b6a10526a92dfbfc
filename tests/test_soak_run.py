"""A short soak of the real processes.

It runs only the checks that do not depend on the speed of the machine; checks
of times are for soaks run by hand.
"""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
import time

import psutil
import pytest

from soak import answer_checks, notice_checks, system_checks
from soak.checks import findings_of
from soak.plan import Fault, FaultKind, Plan
from soak.records import Ending, Kind
from soak.session import Soak

_FAULTS = (
    Fault(1.0, FaultKind.PUBLISH_ROUTE, 0, 1),
    Fault(1.0, FaultKind.LEAVE_RUNNER, 5, 0.2),
    Fault(1.5, FaultKind.KILL_RUNNER, 0, 1),
    Fault(2.0, FaultKind.RESET_LINK, 1, 1),
    Fault(2.3, FaultKind.RESTORE_STORE, 1, 1),
    Fault(2.5, FaultKind.BUSY_STORE, 0, 1),
    Fault(3.0, FaultKind.KILL_ENTRY, 0, 0.2),
    Fault(3.5, FaultKind.CUT_LINK_DOWN, 3, 1),
    Fault(3.7, FaultKind.OVERLOAD_SERVICE, 0, 0.6),
    Fault(4.0, FaultKind.REVOKE_KEY, 0, 1),
)
_CHECKS = (
    answer_checks.check_whole,
    answer_checks.check_prefix,
    answer_checks.check_once,
    answer_checks.check_not_run,
    system_checks.check_reverts,
    notice_checks.check_leaving,
)

# Runs a soak that gets SIGTERM within the start of its n-th child process: the
# process exists, and the soak has no reference to it yet.
_TERMINATED_WITHIN_START = """
import os, signal, subprocess, sys
from soak.__main__ import main

execute = subprocess.Popen._execute_child
last = int(sys.argv.pop(1))
pids = []

def execute_child(process, *arguments):
    execute(process, *arguments)
    pids.append(process.pid)
    print(process.pid, flush=True)
    if len(pids) == last:
        os.kill(os.getpid(), signal.SIGTERM)

subprocess.Popen._execute_child = execute_child
main()
"""


def test_short_soak_has_no_findings_and_leaves_no_process():
    plan = Plan(5, 7.0, 2, 6, _FAULTS)
    records = asyncio.run(Soak(plan).run())
    assert findings_of(records, _CHECKS) == []
    successful_calls = [
        call
        for call in records.calls
        if call.ending is Ending.WHOLE and call.status == 200
    ]
    assert {call.kind for call in successful_calls} == set(Kind)
    assert len(records.publications) == 3
    assert not [
        process
        for process in psutil.Process().children(recursive=True)
        if process.status() != psutil.STATUS_ZOMBIE
    ]


def test_terminated_soak_leaves_no_process():
    """SIGTERM could end the soak before it ends its child processes."""
    soak = subprocess.Popen(
        [sys.executable, '-m', 'soak', '--seed', '1', '--minutes', '5'],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    soak_process = psutil.Process(soak.pid)
    children = []
    while len(children) < 9:
        time.sleep(0.1)
        assert soak.poll() is None
        children = soak_process.children()
    soak.terminate()
    soak.wait(60)
    _, alive = psutil.wait_procs(children, timeout=10)
    assert alive == []


@pytest.mark.parametrize('started', [1, 9])
def test_soak_terminated_within_a_start_leaves_no_process(started):
    """SIGTERM could end the soak between the fork and the return of Popen."""
    soak = subprocess.run(
        [
            *(sys.executable, '-c', _TERMINATED_WITHIN_START, str(started)),
            *('--seed', '1', '--minutes', '5'),
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        timeout=60,
        check=False,
    )
    pids = [int(pid) for pid in soak.stdout.split()]
    alive = []
    for pid in pids:
        with contextlib.suppress(psutil.NoSuchProcess):
            alive.append(psutil.Process(pid))
    _, alive = psutil.wait_procs(alive, timeout=10)
    for process in alive:
        process.kill()
    assert len(pids) == started
    assert alive == []
