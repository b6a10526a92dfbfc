"""Orders a roll-out to runners that are started beside the others."""

from __future__ import annotations

import asyncio
import signal

import msgspec

from soak.deployment import RunnerNode, SoakDeployment
from soak.orders import StoreOrder
from soak.plan import Fault
from soak.records import Rollout
from standins.platform_runner import PLAIN

DURATION_S = 12.0
# The operator reads the status so often, until so long after the time limit.
READ_S = 0.1
READ_AFTER_S = 3.0
# Runners of a target; one in so many answers of a bad one is a failure.
TARGETS = 2
ERROR_EVERY = 3
DRAIN_S = 3.0
_ACTIVE = 'active'
_MS_PER_S = 1000


class _Status(msgspec.Struct, frozen=True):
    state: str
    target: str


async def roll_out(soak: SoakDeployment, fault: Fault) -> None:
    """Order a roll-out, read its status, and end its runners some time later.

    Every second target is bad, by the number of the fault's target. The former
    runners go on, as the next roll-out needs them.
    """
    if any(target.program.is_running for target in soak.targets):
        return
    build = f'r{int(fault.at_s * _MS_PER_S)}'
    is_bad = bool(fault.target % 2)
    ordered_ms = soak.clock.now_ms()
    key = f'rollout/{PLAIN}'
    row = {'service': PLAIN, 'target': build, 'duration_s': DURATION_S}
    await soak.order_store(StoreOrder('op', key, row))
    targets = [await soak.start_target(build) for _ in range(TARGETS)]
    if is_bad:
        for bad in targets:
            await soak.change_runner(bad, error_every=ERROR_EVERY)
    states = await _read_states(soak, build, ordered_ms)
    soak.records.rollouts.append(
        Rollout(
            PLAIN,
            build,
            frozenset(target.instance for target in targets),
            is_bad,
            ordered_ms,
            DURATION_S * _MS_PER_S,
            states,
        )
    )
    await _end(soak, targets)


async def _read_states(
    soak: SoakDeployment, build: str, ordered_ms: float
) -> tuple[tuple[str, float], ...]:
    """Return the states that the status shows, until after the limit."""
    states: list[tuple[str, float]] = []
    end_ms = ordered_ms + (DURATION_S + READ_AFTER_S) * _MS_PER_S
    while soak.clock.now_ms() < end_ms:
        await asyncio.sleep(READ_S)
        read = await soak.read_status(f'rollout/{PLAIN}')
        if not read:
            continue
        status = msgspec.json.decode(read, type=_Status)
        is_news = not states or states[-1][0] != status.state
        if status.target == build and is_news:
            states.append((status.state, soak.clock.now_ms()))
    return tuple(states)


async def _end(soak: SoakDeployment, targets: list[RunnerNode]) -> None:
    for draining in targets:
        await soak.list_runner(draining, 'draining')
    await asyncio.sleep(DRAIN_S)
    for target in targets:
        target.program.signal(signal.SIGKILL)
        await target.program.wait()
        await soak.order_store(StoreOrder('servers', target.instance))
