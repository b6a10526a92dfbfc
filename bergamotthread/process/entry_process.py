"""One entry: all that a process between callers and agents consists of."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Sequence

from bergamotthread.clock import Clock
from bergamotthread.connection.http_server import HttpServer
from bergamotthread.connection.transport import Transport
from bergamotthread.connection.zmq_transport import ZmqTransport
from bergamotthread.process.completions import Completions
from bergamotthread.process.entry_app import EntryApp
from bergamotthread.process.generations import Generations
from bergamotthread.process.http_config import create_http_config
from bergamotthread.process.routing import ScoredPlacement
from bergamotthread.process.settings import EntrySettings
from bergamotthread.process.store_client import StoreClient, StoreUse
from bergamotthread.request.cursor import CursorSigner
from bergamotthread.version.distribution import VersionHolder
from bergamotthread.version.objects import ObjectSet
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Envelope

VERSION_CHECK_INTERVAL_MS = 20
DRAIN_CHECK_INTERVAL_MS = 100
_CURSOR_KEY_BYTES = 32


class EntryProcess:
    """Serves callers until its task is cancelled or its drain is over."""

    def __init__(
        self,
        settings: EntrySettings,
        transport: Transport,
        store: StoreClient,
        clock: Clock,
    ) -> None:
        self.transport = transport
        self.versions = VersionHolder(
            store.table(StoreUse.PUBLICATION),
            store.object_store(StoreUse.PUBLICATION),
            transport,
            clock,
            self._peers,
            place=settings.place,
        )
        self._settings = settings
        self._store = store
        self._clock = clock
        empty = PublishedVersion.from_object_set(0, ObjectSet())
        self.placement = ScoredPlacement.from_published(
            empty,
            settings.place.region,
            clock,
        )
        self.generations = Generations(transport, self.placement, clock)
        self.completions = Completions(
            self.generations,
            CursorSigner(_cursor_keys(settings)),
            clock,
        )
        self.app = EntryApp(
            self.generations,
            self.completions,
            self.versions,
            clock,
        )
        self.server = HttpServer(
            create_http_config(
                self.app.starlette(),
                settings,
                clock,
                self.app.stamp,
            ),
        )

    @classmethod
    def from_settings(
        cls,
        settings: EntrySettings,
        clock: Clock,
    ) -> EntryProcess:
        """Bind the process's addresses and connect it to the platform."""
        transport = ZmqTransport.from_settings(
            settings.place,
            settings.keys,
            clock,
        )
        store = StoreClient.from_settings(settings.platform, clock)
        return cls(settings, transport, store, clock)

    async def run(self) -> None:
        """Serve until cancelled."""
        self.transport.start(self.on_message)
        await self.server.start()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.versions.run())
                group.create_task(self.generations.run())
                group.create_task(self._follow_versions())
        finally:
            await self._close()

    async def drain(self) -> None:
        """Admit nothing, fail the balancer's check, return when idle."""
        self.app.draining = True
        while self.app.open_requests:
            await self._clock.sleep_ms(DRAIN_CHECK_INTERVAL_MS)
        await self.versions.close()

    def on_message(self, envelope: Envelope) -> None:
        """Hand a message to the parts that take it."""
        self.versions.on_message(envelope)
        self.generations.on_message(envelope)

    def _peers(self) -> Sequence[str]:
        return self._settings.peers

    async def _follow_versions(self) -> None:
        """Put each newer version in force for placement and agents."""
        while True:
            published = self.versions.current
            if published is not None:
                self.generations.put_in_force(published)
            self.completions.forget_released()
            await self._clock.sleep_ms(VERSION_CHECK_INTERVAL_MS)

    async def _close(self) -> None:
        await self.server.abort()
        self.transport.close()
        await self._store.close()


def _cursor_keys(settings: EntrySettings) -> tuple[bytes, ...]:
    """Return the cursor keys; one of this process alone where none is set."""
    keys = tuple(bytes.fromhex(key) for key in settings.keys.cursor_keys)
    return keys or (secrets.token_bytes(_CURSOR_KEY_BYTES),)
