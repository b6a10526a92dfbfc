"""Coordination with other entries: membership, limits and orders."""

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
    """Sources that `EntryControl` reads from.

    Parameters
    ----------
    table
        Table of the platform; holds the lease of the region.
    hosts
        Host list of the platform, or None to use `peers` only.
    peers
        Addresses of entries from the settings.
    config_version
        Returns the number of the version in force at this entry.
    demand
        Returns the demand for each pin, in requests per second.
    on_order
        Called with each order that is sent and its agent.
    """

    table: Table
    hosts: HostList | None = None
    peers: tuple[str, ...] = ()
    config_version: Callable[[], int] = int
    demand: Callable[[], Mapping[Pin, float]] = dict
    on_order: OrderListener | None = None


class EntryControl:
    """Membership, team limits, upstream subsets and orders of one entry.

    Parameters
    ----------
    transport
        Transport that sends the messages.
    clock
        Clock of the process.
    place
        Address, region and failure domain of the entry.
    sources
        Sources of hosts, versions and demand.
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
        """Pass a message to the parts that handle its type."""
        self.membership.on_message(envelope)
        self.limits.on_message(envelope)
        self.orders.on_message(envelope)

    def apply_version(self, version: PublishedVersion) -> None:
        """Apply a published version."""
        self._subset_by_model.clear()
        self.roster.apply_version(version)
        self.limits.apply_version(version)
        self.orders.apply_version(version)

    def subset(self, model: str) -> tuple[str, ...]:
        """Return the agents of a model that this entry sends requests to."""
        agents = self._subset_by_model.get(model)
        if agents is None:
            agents = select_upstreams(
                self._place,
                self.membership.entry_places(),
                self.roster.places(model),
            )
            self._subset_by_model[model] = agents
        return agents

    async def run(self) -> None:
        """Run until cancelled."""
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
