"""Plays each kind of fault on the processes of a soak."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TypeVar

from soak.deployment import EntryNode, RunnerNode, SoakDeployment
from soak.orders import StoreOrder
from soak.plan import Fault, FaultKind
from soak.records import EntryKill, PlannedStop
from soak.rollout_faults import roll_out
from soak.runner_faults import ON_RUNNER
from soak.slow_callers import send_slowly
from standins.platform_settings import GRACE_S

# Time until the balancer removes a stopping process from its rotation: it
# probes each second and removes a process after two failed probes.
BALANCER_REMOVAL_S = 2.0
OUT_AFTER_KILL_S = 0.5
# Time for which all entries are away at once.
ALL_DOWN_S = 0.5
LATE_STORE_MS = 700
HELD_FRACTION = 0.1
# Time until connections that a held entry opens are held too.
HELD_REFRESH_S = 0.02
RESTORED_AGE_S_MAX = 3.0
# Time after which the operator and the runners write again what they wrote
# to the store before it was restored.
REWRITE_S = 1.0

_MS_PER_S = 1000

_Node = TypeVar('_Node', EntryNode, RunnerNode)

# Faults that replace or drain a process; only one at a time may be played on a
# process.
_CHANGES = frozenset(
    (
        FaultKind.KILL_ENTRY,
        FaultKind.STOP_ENTRY,
        FaultKind.KILL_RUNNER,
        FaultKind.DRAIN_RUNNER,
        FaultKind.LEAVE_RUNNER,
    ),
)
_STORE_ORDERS = {
    FaultKind.BUSY_STORE: StoreOrder(status=503),
    FaultKind.LATE_STORE: StoreOrder(late_ms=LATE_STORE_MS),
    FaultKind.LOSE_STORE_ANSWERS: StoreOrder(loses_answers=True),
}


async def play_fault(soak: SoakDeployment, fault: Fault) -> None:
    """Play a fault and return once it is over."""
    on_entry = _ON_ENTRY.get(fault.kind)
    on_runner = ON_RUNNER.get(fault.kind)
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


async def _kill_entries(
    soak: SoakDeployment, entry: EntryNode, fault: Fault
) -> None:
    """Kill all entries at once, and start them anew."""
    kill = replace(fault, kind=FaultKind.KILL_ENTRY, for_s=ALL_DOWN_S)
    await asyncio.gather(
        *(_strike_node(soak, one, kill, _kill_entry) for one in soak.entries)
    )


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
    await entry.program.pause(fault.for_s)


async def _reload_entry(
    soak: SoakDeployment, entry: EntryNode, fault: Fault
) -> None:
    entry.program.signal(signal.SIGHUP)


async def _hold_entry(
    soak: SoakDeployment, entry: EntryNode, fault: Fault
) -> None:
    """Hold back all between an entry and its runners and store at once."""
    name = entry.program.name
    links = [entry.store_link, *(runner.link for runner in soak.runners)]
    end_ms = soak.clock.now_ms() + HELD_FRACTION * fault.for_s * _MS_PER_S
    while soak.clock.now_ms() < end_ms:
        ports = entry.program.local_ports()
        for link in links:
            link.hold(name, ports)
        await asyncio.sleep(HELD_REFRESH_S)
    for link in links:
        link.release(name)


async def _cut_store_link(
    soak: SoakDeployment, entry: EntryNode, fault: Fault
) -> None:
    entry.store_link.down.is_open.clear()
    await asyncio.sleep(fault.for_s)
    entry.store_link.heal()


async def _trouble_store(soak: SoakDeployment, fault: Fault) -> None:
    await soak.order_store(_STORE_ORDERS[fault.kind])
    await asyncio.sleep(fault.for_s)
    await soak.order_store(StoreOrder())


async def _pause_store(soak: SoakDeployment, fault: Fault) -> None:
    await soak.store.pause(fault.for_s)


async def _forget_history(soak: SoakDeployment, fault: Fault) -> None:
    await soak.order_store(StoreOrder(forgets=True))


async def _restore_store(soak: SoakDeployment, fault: Fault) -> None:
    """Restore an older state, also twice and while entries are cut from it."""
    cut = soak.entries[: fault.target % 3]
    for entry in cut:
        entry.store_link.down.is_open.clear()
    age_s = min(fault.for_s, RESTORED_AGE_S_MAX)
    for _ in range(1 + fault.target % 2):
        await soak.order_store(StoreOrder(restored_age_ms=age_s * _MS_PER_S))
        await asyncio.sleep(REWRITE_S)
        await soak.rewrite_rows()
    await asyncio.sleep(max(fault.for_s - RESTORED_AGE_S_MAX, 0))
    for entry in cut:
        entry.store_link.heal()


async def _publish_route(soak: SoakDeployment, fault: Fault) -> None:
    await soak.publish(path=f'/added-{soak.version}/')


async def _revoke_key(soak: SoakDeployment, fault: Fault) -> None:
    if len(soak.keys) > 1:
        await soak.publish(revoked=soak.keys[-1])


_OnEntry = Callable[[SoakDeployment, EntryNode, Fault], Awaitable[None]]
_OnStore = Callable[[SoakDeployment, Fault], Awaitable[None]]

_ON_ENTRY: dict[FaultKind, _OnEntry] = {
    FaultKind.KILL_ENTRY: _kill_entry,
    FaultKind.KILL_ENTRIES: _kill_entries,
    FaultKind.STOP_ENTRY: _stop_entry,
    FaultKind.PAUSE_ENTRY: _pause_entry,
    FaultKind.RELOAD_ENTRY: _reload_entry,
    FaultKind.HOLD_ENTRY: _hold_entry,
    FaultKind.SLOW_CALLERS: send_slowly,
    FaultKind.CUT_STORE_LINK: _cut_store_link,
}
_ON_STORE: dict[FaultKind, _OnStore] = {
    FaultKind.PAUSE_STORE: _pause_store,
    FaultKind.BUSY_STORE: _trouble_store,
    FaultKind.LATE_STORE: _trouble_store,
    FaultKind.LOSE_STORE_ANSWERS: _trouble_store,
    FaultKind.FORGET_HISTORY: _forget_history,
    FaultKind.RESTORE_STORE: _restore_store,
    FaultKind.PUBLISH_ROUTE: _publish_route,
    FaultKind.REVOKE_KEY: _revoke_key,
    FaultKind.ROLL_OUT: roll_out,
}
