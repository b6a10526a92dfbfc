"""A small deployment of one user, in one process on loopback."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.connection.zmq_transport import ZmqTransport
from bergamotthread.platform.tables import open_store
from bergamotthread.process.agent_process import AgentProcess
from bergamotthread.process.entry_process import EntryProcess
from bergamotthread.process.settings import (
    AgentSettings,
    EntrySettings,
    KeySettings,
    PlaceSettings,
    PlatformSettings,
    UpstreamKind,
)
from bergamotthread.process.store.store_client import StoreUse
from bergamotthread.version.publication import Draft, Publisher
from standins.engine import create_app as create_engine_app
from standins.engine_core import Engine, EngineSpeed
from standins.platform_store import StoreStandIn, serving_store
from standins.service import PlainService
from standins.service import create_app as create_service_app
from standins.serving import serving
from standins.users import User, domain_name, user_set

_ANY_PORT = '127.0.0.1:0'
_KEYS = KeySettings(cursor_keys=('ab' * 32,))


@dataclass
class Loopback:
    """Stand-ins, agents and entries of one user.

    `start` starts them, `close` stops them.
    """

    user: User
    engine_count: int = 6
    entry_count: int = 2
    speed: EngineSpeed = field(default_factory=EngineSpeed)

    def __post_init__(self) -> None:
        self.clock = Clock.from_system()
        self.platform = StoreStandIn(self.clock)
        self.engines: list[Engine] = []
        self.services: list[PlainService] = []
        self.engine_agents: list[AgentProcess] = []
        self.service_agents: list[AgentProcess] = []
        self.entries: list[EntryProcess] = []
        self._stack = AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all parts and wait until all entries serve requests."""
        platform = await self._stack.enter_async_context(
            serving_store(self.platform),
        )
        self.platform_settings = PlatformSettings(
            platform,
            reads_per_s=50,
            writes_per_s=50,
        )
        self.store = open_store(
            self.platform_settings,
            self.clock,
        )
        self._stack.callback(self.store.close)
        self._transports = [
            ZmqTransport.from_settings(self._place(index), _KEYS, self.clock)
            for index in range(self.entry_count)
        ]
        for index in range(self.engine_count):
            await self._start_engine(index)
        for index, _ in enumerate(self.user.regions):
            await self._start_service(index)
        await self.publish_initial()
        self._start_entries()
        async with asyncio.timeout(10):
            for entry in self.entries:
                await entry.versions.wait_serving()

    async def close(self) -> None:
        """Stop all parts."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()

    def publisher(self) -> Publisher:
        """Return a publisher like that of the operator's command line."""
        return Publisher.from_platform(
            self.store.table(StoreUse.PUBLICATION),
            self.store.object_store(StoreUse.PUBLICATION),
            self.clock,
        )

    async def publish_initial(self) -> None:
        """Publish the user's objects as the first version."""
        objects = user_set(
            self.user,
            [agent.transport.address for agent in self.engine_agents],
            [agent.transport.address for agent in self.service_agents],
        )
        draft = Draft(objects, who='operator', base=0)
        await self.publisher().publish(draft)

    def entry_url(self, index: int) -> str:
        """Return the URL of the HTTP server of an entry."""
        return f'http://127.0.0.1:{self.entries[index].server.port}'

    def engine_of(self, agent: str) -> Engine:
        """Return the engine of the agent with address `agent`."""
        pairs = zip(self.engine_agents, self.engines, strict=True)
        for process, engine in pairs:
            if process.transport.address == agent:
                return engine
        raise LookupError(f'no agent has address {agent!r}')

    async def _start_engine(self, index: int) -> None:
        engine = Engine(self.clock, self.speed, seed=index)
        address = await self._stack.enter_async_context(
            serving(create_engine_app(engine)),
        )
        self.engines.append(engine)
        agent = self._start_agent(index, address, 'engine')
        self.engine_agents.append(agent)

    async def _start_service(self, index: int) -> None:
        service = PlainService(self.clock)
        address = await self._stack.enter_async_context(
            serving(create_service_app(service)),
        )
        self.services.append(service)
        agent = self._start_agent(index, address, 'service')
        self.service_agents.append(agent)

    def _start_agent(
        self,
        index: int,
        upstream: str,
        kind: UpstreamKind,
    ) -> AgentProcess:
        place = self._place(index)
        settings = AgentSettings(
            place,
            upstream,
            f'{kind}-{index}',
            entries=tuple(
                entry_transport.address for entry_transport in self._transports
            ),
            upstream_kind=kind,
        )
        transport = ZmqTransport.from_settings(place, _KEYS, self.clock)
        process = AgentProcess(settings, transport, self.clock)
        self._tasks.append(asyncio.create_task(process.run()))
        return process

    def _start_entries(self) -> None:
        addresses = [transport.address for transport in self._transports]
        for index, transport in enumerate(self._transports):
            settings = EntrySettings(
                self._place(index),
                _ANY_PORT,
                self.platform_settings,
                keys=_KEYS,
                peers=tuple(
                    address
                    for address in addresses
                    if address != transport.address
                ),
            )
            store = open_store(
                self.platform_settings,
                self.clock,
            )
            process = EntryProcess(settings, transport, store, self.clock)
            self.entries.append(process)
            self._tasks.append(asyncio.create_task(process.run()))

    def _place(self, index: int) -> PlaceSettings:
        regions = self.user.regions
        region = regions[index % len(regions)]
        domain = domain_name(region, index // len(regions))
        return PlaceSettings(_ANY_PORT, region, domain)
