"""Entries of one region agree on members, subsets, orders and limits.

The network loses 2 % of the messages. After the loss of an entry, stale
subsets or a region lease without a holder would leave upstreams unserved.
"""

import asyncio

import pytest

from bergamotthread.clock import Clock
from bergamotthread.process.entry_control import ControlSources, EntryControl
from bergamotthread.process.routing.subset import select_upstreams
from bergamotthread.process.settings import PlaceSettings
from bergamotthread.process.store.platform import HostEntry
from bergamotthread.testing.memory_network import MemoryNetwork
from bergamotthread.testing.memory_platform import (
    MemoryHostList,
    MemoryPlatform,
    MemoryTable,
)
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.version.objects import (
    FailureDomain,
    ObjectSet,
    Region,
    Team,
    Upstream,
)
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Envelope, Order, Pin

UPSTREAMS = 40
TEAM = 'foundry'
LIMIT = 100


class _Deployment:
    """Entries of one region that share a network and a platform."""

    def __init__(self, count: int) -> None:
        self.clock = Clock.from_loop(asyncio.get_running_loop())
        self.network = MemoryNetwork(delay_ms=2, loss=0.02)
        self.platform = MemoryPlatform(self.clock)
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.controls: dict[str, EntryControl] = {}
        self.order_senders: set[str] = set()
        for number in range(count):
            self._add_entry(f'10.0.0.{number}:1')
        for number in range(UPSTREAMS):
            agent = f'10.1.0.{number}:1'
            self.network.transport(agent).start(self._record_order_sender)

    def _add_entry(self, address: str) -> None:
        place = PlaceSettings(address, 'r0', 'd0')
        self.platform.hosts_by_address[address] = HostEntry(
            address, 'entry', 'r0', 'd0'
        )
        transport = self.network.transport(address)
        control = EntryControl(
            transport,
            self.clock,
            place,
            ControlSources(
                table=MemoryTable(self.platform),
                hosts=MemoryHostList(self.platform),
            ),
        )
        control.apply_version(_version())
        transport.start(control.on_message)
        self.controls[address] = control
        self.tasks[address] = asyncio.create_task(control.run())

    def _record_order_sender(self, envelope: Envelope) -> None:
        if isinstance(envelope.message, Order):
            self.order_senders.add(envelope.sender)

    def crash(self, address: str) -> None:
        self.tasks.pop(address).cancel()
        self.controls.pop(address)
        self.network.ends_by_address.pop(address)

    def close(self) -> None:
        for task in self.tasks.values():
            task.cancel()


def _version() -> PublishedVersion:
    return PublishedVersion.from_object_set(
        1,
        ObjectSet(
            regions=(Region('r0'),),
            failure_domains=(
                FailureDomain('d0', 'r0'),
                FailureDomain('d1', 'r0'),
            ),
            teams=(Team(TEAM, requests_per_s=LIMIT),),
            upstreams=tuple(
                Upstream(
                    f'u{number}',
                    f'10.1.0.{number}:1',
                    f'd{number % 2}',
                    (Pin('m', '1'),),
                )
                for number in range(UPSTREAMS)
            ),
        ),
    )


def _subsets_are_current(deployment: _Deployment) -> bool:
    entry_places = [
        PlaceSettings(address, 'r0', 'd0') for address in deployment.controls
    ]
    return all(
        control.subset('m')
        == select_upstreams(place, entry_places, control.roster.places('m'))
        for place, control in zip(
            entry_places, deployment.controls.values(), strict=True
        )
    )


async def _crash_lease_holder() -> None:
    deployment = _Deployment(12)
    assert not _subsets_are_current(deployment)
    await deployment.clock.sleep_ms(100)
    assert _subsets_are_current(deployment)
    await deployment.clock.sleep_ms(60_000)
    holders = [
        address
        for address, control in deployment.controls.items()
        if control.lease.is_valid()
    ]
    assert len(holders) == 1
    assert deployment.order_senders == set(holders)
    lost_holder = holders[0]
    assert _subsets_are_current(deployment)
    deployment.crash(lost_holder)
    await deployment.clock.sleep_ms(90_000)
    controls = deployment.controls.values()
    assert sum(control.lease.is_valid() for control in controls) == 1
    for control in controls:
        assert len(control.membership.live_entries()) == 11
    assert _subsets_are_current(deployment)
    deployment.close()


def test_entries_replace_a_lost_lease_holder() -> None:
    run_virtual(_crash_lease_holder())


async def _admit_at_three_entries() -> None:
    deployment = _Deployment(3)
    await deployment.clock.sleep_ms(40_000)
    admitted = 0
    for _ in range(1000):
        for control in deployment.controls.values():
            for _ in range(2):
                if control.limits.try_admit(TEAM) is None:
                    control.limits.release(TEAM)
                    admitted += 1
        await deployment.clock.sleep_ms(20)
    deployment.close()
    assert admitted == pytest.approx(20 * LIMIT, rel=0.2)
    assert admitted <= 21 * LIMIT + 12


def test_team_limit_holds_across_entries() -> None:
    run_virtual(_admit_at_three_entries())
