"""Agent process: assembles and runs the parts of one agent.

An agent runs beside one upstream and is the only process that dispatches to
it.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict

from bergamotthread.clock import Clock
from bergamotthread.connection.http_engine import HttpEngineClient
from bergamotthread.connection.http_service import HttpServiceClient
from bergamotthread.connection.transport import Transport
from bergamotthread.connection.zmq_transport import ZmqTransport
from bergamotthread.platform.tables import open_store
from bergamotthread.process.agent import Agent, AgentConfig
from bergamotthread.process.calls.service_agent import ServiceAgent
from bergamotthread.process.drain.drain_report import DrainReporter
from bergamotthread.process.drain.drain_runner import DrainRunner
from bergamotthread.process.membership.own_host_watch import OwnHostWatch
from bergamotthread.process.orders.engine_orders import OrderInbox
from bergamotthread.process.settings import AgentSettings
from bergamotthread.process.store.store_client import StoreClient, StoreUse
from bergamotthread.version.distribution import VersionHolder
from bergamotthread.wire.messages import Envelope

AGENT_VERSION_CHECK_INTERVAL_MS = 100
MAX_RECENT_ENTRIES = 8


def make_agent(
    settings: AgentSettings,
    transport: Transport,
    clock: Clock,
) -> Agent | ServiceAgent:
    """Return an agent for the upstream kind given by the settings."""
    if settings.upstream_kind == 'service':
        return ServiceAgent(
            transport,
            HttpServiceClient(settings.upstream),
            clock,
            checks_fencing=settings.checks_fencing,
        )
    return Agent(
        AgentConfig.from_settings(settings),
        transport,
        HttpEngineClient(settings.upstream),
        clock,
    )


class AgentProcess:
    """Serves entries until its task is cancelled or its drain has ended."""

    def __init__(
        self,
        settings: AgentSettings,
        transport: Transport,
        clock: Clock,
        store: StoreClient | None = None,
    ) -> None:
        self.transport = transport
        self.agent = make_agent(settings, transport, clock)
        self._store = store
        self._orders: OrderInbox | None = None
        if store is not None:
            self._orders = _order_inbox(settings, transport, store)
        self._drain = DrainRunner(
            self.agent.drain,
            _drain_reporter(transport, self._store, clock),
            self.agent.held_by,
            self.agent.refresh_drain,
            clock,
        )
        self.versions = VersionHolder(
            None,
            None,
            transport,
            clock,
            self._entries_by_recency,
        )
        self._settings = settings
        self._recent_entries: OrderedDict[str, None] = OrderedDict()
        self._clock = clock

    @classmethod
    def from_settings(
        cls,
        settings: AgentSettings,
        clock: Clock,
    ) -> AgentProcess:
        """Return a process that is bound to its address."""
        transport = ZmqTransport.from_settings(
            settings.place,
            settings.keys,
            clock,
        )
        store = None
        if settings.platform is not None:
            store = open_store(settings.platform, clock)
        return cls(settings, transport, clock, store)

    async def run(self) -> None:
        """Serve until cancelled or until a drain has ended."""
        self.transport.start(self.on_message)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.agent.run())
                group.create_task(self.versions.run())
                group.create_task(self._drain.run())
                group.create_task(self._follow_versions())
                if self._store is not None:
                    group.create_task(self._host_watch(self._store).run())
        finally:
            await self._close()

    async def drain(self) -> None:
        """Decline new work and return when the running work has ended."""
        await self._drain.drain_and_wait()

    def on_message(self, envelope: Envelope) -> None:
        """Pass a message to the parts that handle its type."""
        self._record_sender(envelope.sender)
        self.versions.on_message(envelope)
        self.agent.on_message(envelope)
        if self._orders is not None:
            self._orders.on_message(envelope)

    def _record_sender(self, entry: str) -> None:
        self._recent_entries[entry] = None
        self._recent_entries.move_to_end(entry)
        if len(self._recent_entries) > MAX_RECENT_ENTRIES:
            self._recent_entries.popitem(last=False)

    def _entries_by_recency(self) -> tuple[str, ...]:
        """Return the entries to ask for the version, latest sender first."""
        latest_first = reversed(self._recent_entries)
        return tuple(dict.fromkeys((*latest_first, *self._settings.entries)))

    def _host_watch(self, store: StoreClient) -> OwnHostWatch:
        return OwnHostWatch(
            store.hosts(),
            self.transport.address,
            self.agent.drain,
            self._clock,
            self._agent_count,
        )

    def _agent_count(self) -> int:
        published = self.versions.current
        return 0 if published is None else len(published.upstreams_by_agent)

    async def _close(self) -> None:
        self.transport.close()
        if self._store is not None:
            self._store.close()

    async def _follow_versions(self) -> None:
        applied_version = 0
        while True:
            published = self.versions.current
            if published is not None and published.version != applied_version:
                applied_version = published.version
                self.agent.apply_version(published)
            await self._clock.sleep_ms(AGENT_VERSION_CHECK_INTERVAL_MS)


def _order_inbox(
    settings: AgentSettings,
    transport: Transport,
    store: StoreClient,
) -> OrderInbox | None:
    """Return the handler of engine orders, or None for a plain service."""
    if settings.upstream_kind == 'service':
        return None
    return OrderInbox(
        transport,
        HttpEngineClient(settings.upstream),
        store.table(StoreUse.LEASES),
        settings.place.region,
    )


def _drain_reporter(
    transport: Transport,
    store: StoreClient | None,
    clock: Clock,
) -> DrainReporter | None:
    if store is None:
        return None
    return DrainReporter(
        store.table(StoreUse.LEASES),
        clock,
        transport.address,
        transport.incarnation,
    )
