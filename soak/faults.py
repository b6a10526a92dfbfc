"""Plays each kind of fault on the processes of a soak."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import TypeVar

from soak.deployment import EntryNode, RunnerNode, SoakDeployment
from soak.orders import RunnerOrder, StoreOrder, encode_order
from soak.plan import Fault, FaultKind
from soak.programs import Program
from soak.records import EntryKill, PlannedStop
from standins.platform_settings import GRACE_S

# Time until the balancer removes a stopping process from its rotation: it
# probes each second and removes a process after two failed probes.
BALANCER_REMOVAL_S = 2.0
OUT_AFTER_KILL_S = 0.5
# Time after which the platform removes the row of a runner that has ended.
LAPSE_S = 2.0
LATE_STORE_MS = 700
LINK_DELAY_MS = 150

_Node = TypeVar('_Node', EntryNode, RunnerNode)

# Faults that replace or drain a process; only one at a time may be played on a
# process.
_CHANGES = frozenset(
    (
        FaultKind.KILL_ENTRY,
        FaultKind.STOP_ENTRY,
        FaultKind.KILL_RUNNER,
        FaultKind.DRAIN_RUNNER,
    ),
)
_RUNNER_ORDERS = {
    FaultKind.REFUSE_RUNNER: RunnerOrder(not_run=True),
    FaultKind.STALL_RUNNER: RunnerOrder(stalls_after=20),
}
_STORE_ORDERS = {
    FaultKind.BUSY_STORE: StoreOrder(status=503),
    FaultKind.LATE_STORE: StoreOrder(late_ms=LATE_STORE_MS),
    FaultKind.LOSE_STORE_ANSWERS: StoreOrder(loses_answers=True),
}


async def play_fault(soak: SoakDeployment, fault: Fault) -> None:
    """Play a fault and return once it is over."""
    on_entry = _ON_ENTRY.get(fault.kind)
    on_runner = _ON_RUNNER.get(fault.kind)
    if on_entry is not None:
        await _strike_node(soak, soak.entries[fault.target], fault, on_entry)
    elif on_runner is not None:
        await _strike_node(soak, soak.runners[fault.target], fault, on_runner)
    else:
        await _ON_STORE[fault.kind](soak, fault)


async def _strike_node(
    soak: SoakDeployment,
    node: _Node,
    fault: Fault,
    action: Callable[[SoakDeployment, _Node, Fault], Awaitable[None]],
) -> None:
    """Play a fault on a process.

    A fault that replaces or drains the process is skipped while another such
    fault is in progress.
    """
    if fault.kind not in _CHANGES:
        await action(soak, node, fault)
        return
    if node.is_changing:
        return
    node.is_changing = True
    await action(soak, node, fault)
    node.is_changing = False


async def _kill_entry(
    soak: SoakDeployment, entry: EntryNode, fault: Fault
) -> None:
    program = entry.program
    now_ms = soak.clock.now_ms()
    soak.records.entry_kills.append(
        EntryKill(program.name, program.incarnation, now_ms)
    )
    program.signal(signal.SIGKILL)
    await asyncio.sleep(OUT_AFTER_KILL_S)
    entry.is_offered = False
    await entry.program.wait()
    await asyncio.sleep(fault.for_s)
    await _start_entry(soak, entry)


async def _stop_entry(
    soak: SoakDeployment, entry: EntryNode, fault: Fault
) -> None:
    incarnation = entry.program.incarnation
    at_ms = soak.clock.now_ms()
    entry.program.signal(signal.SIGTERM)
    await asyncio.sleep(BALANCER_REMOVAL_S)
    entry.is_offered = False
    ended_ms: float | None = None
    remaining_s = GRACE_S - BALANCER_REMOVAL_S
    try:
        async with asyncio.timeout(remaining_s + 1):
            await entry.program.wait()
        ended_ms = soak.clock.now_ms()
    except TimeoutError:
        entry.program.signal(signal.SIGKILL)
        await entry.program.wait()
    soak.records.planned_stops.append(
        PlannedStop(entry.program.name, incarnation, at_ms, ended_ms),
    )
    await _start_entry(soak, entry)


async def _start_entry(soak: SoakDeployment, entry: EntryNode) -> None:
    await entry.program.start()
    await soak.offer_once_ready(entry)


async def _pause_entry(
    soak: SoakDeployment, entry: EntryNode, fault: Fault
) -> None:
    await _pause(entry.program, fault.for_s)


async def _reload_entry(
    soak: SoakDeployment, entry: EntryNode, fault: Fault
) -> None:
    entry.program.signal(signal.SIGHUP)


async def _cut_store_link(
    soak: SoakDeployment, entry: EntryNode, fault: Fault
) -> None:
    entry.store_link.down.is_open.clear()
    await asyncio.sleep(fault.for_s)
    entry.store_link.heal()


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
    await _pause(runner.program, fault.for_s)


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


async def _order_runner(
    soak: SoakDeployment,
    runner: RunnerNode,
    fault: Fault,
) -> None:
    order = _RUNNER_ORDERS[fault.kind]
    await runner.program.order(encode_order(order))
    await asyncio.sleep(fault.for_s)
    await runner.program.order(encode_order(RunnerOrder()))


async def _trouble_store(soak: SoakDeployment, fault: Fault) -> None:
    await soak.order_store(_STORE_ORDERS[fault.kind])
    await asyncio.sleep(fault.for_s)
    await soak.order_store(StoreOrder())


async def _pause_store(soak: SoakDeployment, fault: Fault) -> None:
    await _pause(soak.store, fault.for_s)


async def _forget_history(soak: SoakDeployment, fault: Fault) -> None:
    await soak.order_store(StoreOrder(forgets=True))


async def _publish_route(soak: SoakDeployment, fault: Fault) -> None:
    await soak.publish(path=f'/added-{soak.version}/')


async def _revoke_key(soak: SoakDeployment, fault: Fault) -> None:
    if len(soak.keys) > 1:
        await soak.publish(revoked=soak.keys[-1])


async def _pause(program: Program, for_s: float) -> None:
    program.signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    program.signal(signal.SIGCONT)


_OnEntry = Callable[[SoakDeployment, EntryNode, Fault], Awaitable[None]]
_OnRunner = Callable[[SoakDeployment, RunnerNode, Fault], Awaitable[None]]
_OnStore = Callable[[SoakDeployment, Fault], Awaitable[None]]

_ON_ENTRY: dict[FaultKind, _OnEntry] = {
    FaultKind.KILL_ENTRY: _kill_entry,
    FaultKind.STOP_ENTRY: _stop_entry,
    FaultKind.PAUSE_ENTRY: _pause_entry,
    FaultKind.RELOAD_ENTRY: _reload_entry,
    FaultKind.CUT_STORE_LINK: _cut_store_link,
}
_ON_RUNNER: dict[FaultKind, _OnRunner] = {
    FaultKind.KILL_RUNNER: _kill_runner,
    FaultKind.PAUSE_RUNNER: _pause_runner,
    FaultKind.REFUSE_RUNNER: _order_runner,
    FaultKind.STALL_RUNNER: _order_runner,
    FaultKind.DRAIN_RUNNER: _drain_runner,
    FaultKind.RESET_LINK: _reset_link,
    FaultKind.DELAY_LINK: _delay_link,
    FaultKind.CUT_LINK_UP: _cut_link,
    FaultKind.CUT_LINK_DOWN: _cut_link,
}
_ON_STORE: dict[FaultKind, _OnStore] = {
    FaultKind.PAUSE_STORE: _pause_store,
    FaultKind.BUSY_STORE: _trouble_store,
    FaultKind.LATE_STORE: _trouble_store,
    FaultKind.LOSE_STORE_ANSWERS: _trouble_store,
    FaultKind.FORGET_HISTORY: _forget_history,
    FaultKind.PUBLISH_ROUTE: _publish_route,
    FaultKind.REVOKE_KEY: _revoke_key,
}
