"""What an entry takes part in beside traffic: members, limits and orders."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.process.membership.membership import Membership
from bergamotthread.process.orders.orders import (
    OrderListener,
    RegionOrders,
    WeightStoreRate,
)
from bergamotthread.process.orders.region_lease import RegionLease
from bergamotthread.process.routing.agent_roster import AgentRoster
from bergamotthread.process.routing.subset import select_upstreams, top_nodes
from bergamotthread.process.settings import PlaceSettings
from bergamotthread.process.shares.shares import TeamLimits
from bergamotthread.process.store.platform import HostList, Table
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Envelope, Member, Pin

LEASE_CANDIDATES = 3


@dataclass(frozen=True)
class ControlSources:
    """What an entry's control reads from.

    Parameters
    ----------
    table
        The platform's table, for the lease of the region.
    hosts
        The platform's host list; None where only `peers` are known.
    peers
        Addresses of entries from the settings.
    config_version
        Returns the version in force here.
    demand
        Returns the demand of each pin, in requests per second.
    on_order
        Called with the agent and each order that is sent.
    """

    table: Table
    hosts: HostList | None = None
    peers: tuple[str, ...] = ()
    config_version: Callable[[], int] = int
    demand: Callable[[], Mapping[Pin, float]] = dict
    on_order: OrderListener | None = None


class EntryControl:
    """Membership, limits of teams, subsets and orders of one entry.

    Parameters
    ----------
    transport
        Sends the messages.
    clock
        Clock of the process.
    place
        Place of the entry.
    sources
        What it reads from.
    """

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        place: PlaceSettings,
        sources: ControlSources,
    ) -> None:
        self.membership = Membership(
            transport,
            clock,
            place,
            sources.hosts,
            sources.peers,
            sources.config_version,
        )
        self.limits = TeamLimits(transport, clock, self.membership)
        self.roster = AgentRoster(clock)
        self.lease = RegionLease(
            sources.table,
            clock,
            place.region,
            place.address,
            transport.incarnation,
        )
        self.orders = RegionOrders(
            transport,
            clock,
            place.region,
            self.lease,
            WeightStoreRate(),
            sources.demand,
            sources.on_order,
        )
        self._place = place
        self._subset_by_model: dict[str, tuple[str, ...]] = {}
        self.membership.add_listener(self._on_member)

    def on_message(self, envelope: Envelope) -> None:
        """Hand a message to the parts that take it."""
        self.membership.on_message(envelope)
        self.limits.on_message(envelope)
        self.orders.on_message(envelope)

    def apply_version(self, version: PublishedVersion) -> None:
        """Take in a published version."""
        self._subset_by_model.clear()
        self.roster.apply_version(version)
        self.limits.apply_version(version)
        self.orders.apply_version(version)

    def subset(self, model: str) -> tuple[str, ...]:
        """Return the agents of a model that this entry deals with."""
        known = self._subset_by_model.get(model)
        if known is None:
            known = select_upstreams(
                self._place,
                self.membership.entry_places(),
                self.roster.places(model),
            )
            self._subset_by_model[model] = known
        return known

    async def run(self) -> None:
        """Take part until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.membership.run())
            group.create_task(self.limits.run())
            group.create_task(self.lease.run(self._is_candidate))
            group.create_task(self.orders.run())

    def _is_candidate(self) -> bool:
        region = self._place.region
        entries = self.membership.region_entries()
        return self._place.address in top_nodes(
            entries, f'orders/{region}', LEASE_CANDIDATES
        )

    def _on_member(self, member: Member) -> None:
        self._subset_by_model.clear()
        if member.address == self._place.address:
            self.limits.record_suspected()
