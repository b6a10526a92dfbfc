"""Faults of runners and of the links to them."""

from __future__ import annotations

import asyncio
import math
import signal
from collections.abc import Awaitable, Callable, Sequence

from soak.deployment import RunnerNode, SoakDeployment
from soak.orders import StoreOrder
from soak.plan import Fault, FaultKind
from soak.poison_faults import crash_runners

# Time after which the platform removes the row of a runner that has ended.
LAPSE_S = 2.0
LINK_DELAY_MS = 150
STALLS_AFTER_EVENTS = 20
# A runner that leaves serves for `drain_ms` and often longer.
LEAVING_S_MIN = 4.0
# Requests per second that a runner in need states, and for how long.
STATED_LIMIT = '1.4'
LIMIT_S_MIN = 8.0


async def _kill_runner(
    soak: SoakDeployment, runner: RunnerNode, fault: Fault
) -> None:
    ended_instance = runner.instance
    runner.program.signal(signal.SIGKILL)
    await runner.program.wait()
    await asyncio.sleep(min(fault.for_s, LAPSE_S))
    await soak.order_store(StoreOrder('servers', ended_instance))
    await asyncio.sleep(max(fault.for_s - LAPSE_S, 0))
    await soak.start_runner(runner)


async def _pause_runner(
    soak: SoakDeployment, runner: RunnerNode, fault: Fault
) -> None:
    await runner.program.pause(fault.for_s)


async def _drain_runner(
    soak: SoakDeployment, runner: RunnerNode, fault: Fault
) -> None:
    await soak.list_runner(runner, 'draining')
    await asyncio.sleep(fault.for_s)
    await soak.list_runner(runner, 'ready')


async def _reset_link(
    soak: SoakDeployment, runner: RunnerNode, fault: Fault
) -> None:
    runner.link.reset_all()


async def _delay_link(
    soak: SoakDeployment, runner: RunnerNode, fault: Fault
) -> None:
    runner.link.delay_ms = LINK_DELAY_MS
    await asyncio.sleep(fault.for_s)
    runner.link.heal()


async def _cut_link(
    soak: SoakDeployment,
    runner: RunnerNode,
    fault: Fault,
) -> None:
    is_up = fault.kind is FaultKind.CUT_LINK_UP
    direction = runner.link.up if is_up else runner.link.down
    direction.is_open.clear()
    await asyncio.sleep(fault.for_s)
    runner.link.heal()


async def _refuse_runner(
    soak: SoakDeployment, runner: RunnerNode, fault: Fault
) -> None:
    await soak.change_runner(runner, not_run=True)
    await asyncio.sleep(fault.for_s)
    await soak.change_runner(runner, not_run=False)


async def _stall_runner(
    soak: SoakDeployment, runner: RunnerNode, fault: Fault
) -> None:
    await soak.change_runner(runner, stalls_after=STALLS_AFTER_EVENTS)
    await asyncio.sleep(fault.for_s)
    await soak.change_runner(runner, stalls_after=None)


async def _leave_runner(
    soak: SoakDeployment, runner: RunnerNode, fault: Fault
) -> None:
    """Let a runner leave that says so in its answers but not in its row."""
    await soak.change_runner(runner, leaving=True)
    await asyncio.sleep(max(fault.for_s, LEAVING_S_MIN))
    await _kill_runner(soak, runner, fault)


async def _overload_runner(
    soak: SoakDeployment, runner: RunnerNode, fault: Fault
) -> None:
    await _overload(soak, [runner], fault)


async def _overload_service(
    soak: SoakDeployment, runner: RunnerNode, fault: Fault
) -> None:
    service = runner.service
    runners = [node for node in soak.runners if node.service == service]
    await _overload(soak, runners, fault)


async def _limit_runner(
    soak: SoakDeployment, runner: RunnerNode, fault: Fault
) -> None:
    await soak.change_runner(runner, request_limit=STATED_LIMIT)
    await asyncio.sleep(max(fault.for_s, LIMIT_S_MIN))
    await soak.change_runner(runner, request_limit='')


async def _overload(
    soak: SoakDeployment, runners: Sequence[RunnerNode], fault: Fault
) -> None:
    retry_after = str(math.ceil(fault.for_s))
    for runner in runners:
        await soak.change_runner(runner, retry_after=retry_after)
    await asyncio.sleep(fault.for_s)
    for runner in runners:
        await soak.change_runner(runner, retry_after='')


_OnRunner = Callable[[SoakDeployment, RunnerNode, Fault], Awaitable[None]]

ON_RUNNER: dict[FaultKind, _OnRunner] = {
    FaultKind.KILL_RUNNER: _kill_runner,
    FaultKind.CRASH_RUNNERS: crash_runners,
    FaultKind.PAUSE_RUNNER: _pause_runner,
    FaultKind.REFUSE_RUNNER: _refuse_runner,
    FaultKind.STALL_RUNNER: _stall_runner,
    FaultKind.DRAIN_RUNNER: _drain_runner,
    FaultKind.LEAVE_RUNNER: _leave_runner,
    FaultKind.OVERLOAD_RUNNER: _overload_runner,
    FaultKind.OVERLOAD_SERVICE: _overload_service,
    FaultKind.LIMIT_RUNNER: _limit_runner,
    FaultKind.RESET_LINK: _reset_link,
    FaultKind.DELAY_LINK: _delay_link,
    FaultKind.CUT_LINK_UP: _cut_link,
    FaultKind.CUT_LINK_DOWN: _cut_link,
}
