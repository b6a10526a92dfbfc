"""What operators' commands need of the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, NoReturn, Protocol, TypeVar

import click

from bergamotthread.clock import Clock
from bergamotthread.process.platform import HostList, ObjectStore, Table
from bergamotthread.process.settings import PlatformSettings
from bergamotthread.process.store_client import StoreClient, StoreUse
from bergamotthread.version.objects import ObjectSet
from bergamotthread.version.publication import Draft, Publisher
from bergamotthread.version.published import PublishedVersion

OPERATOR_READS_PER_S = 100
OPERATOR_WRITES_PER_S = 20
OPERATOR_TIMEOUT_MS = 5000

_Answer = TypeVar('_Answer')


class OperatorContext(Protocol):
    """Object of the click context of operators' commands."""

    @property
    def clock(self) -> Clock:
        """Return the clock."""

    def table(self) -> Table:
        """Return a client of the platform's table."""

    def object_store(self) -> ObjectStore:
        """Return a client of the platform's object store."""

    def run(self, action: Coroutine[Any, Any, _Answer]) -> _Answer:
        """Run an action to its end and close the clients."""


class PlatformContext:
    """Context of commands that talk to the platform at one address.

    Parameters
    ----------
    address
        IP number and port.
    who
        Name under which `publish` publishes.
    """

    def __init__(self, address: str, clock: Clock, *, who: str = '') -> None:
        self.clock = clock
        self._who = who
        self._settings = PlatformSettings(
            address=address,
            reads_per_s=OPERATOR_READS_PER_S,
            writes_per_s=OPERATOR_WRITES_PER_S,
            timeout_ms=OPERATOR_TIMEOUT_MS,
        )
        self._client: StoreClient | None = None

    def table(self) -> Table:
        """Return a client of the platform's table."""
        return self._opened().table(StoreUse.PUBLICATION)

    def object_store(self) -> ObjectStore:
        """Return a client of the platform's object store."""
        return self._opened().object_store(StoreUse.PUBLICATION)

    def host_list(self) -> HostList:
        """Return a client of the platform's host list."""
        return self._opened().hosts()

    async def read_version(self) -> PublishedVersion:
        """Return the newest published version."""
        newest = await self._publisher().newest()
        state = newest.state
        return PublishedVersion.from_object_set(state.version, state.object_set)

    async def publish(self, base_version: int, object_set: ObjectSet) -> int:
        """Publish a set that replaces `base_version`; return its number."""
        draft = Draft(object_set, self._who, base_version)
        published = await self._publisher().publish(draft)
        return published.state.version

    def run(self, action: Coroutine[Any, Any, _Answer]) -> _Answer:
        """Run an action to its end and close the clients."""
        return asyncio.run(self._run_and_close(action))

    async def _run_and_close(
        self,
        action: Coroutine[Any, Any, _Answer],
    ) -> _Answer:
        try:
            return await action
        finally:
            await self._close()

    async def _close(self) -> None:
        client = self._client
        self._client = None
        if client is not None:
            await client.close()

    def _opened(self) -> StoreClient:
        if self._client is None:
            self._client = StoreClient.from_settings(self._settings, self.clock)
        return self._client

    def _publisher(self) -> Publisher:
        return Publisher.from_platform(
            self.table(),
            self.object_store(),
            self.clock,
        )


def fail(message: str, exit_code: int) -> NoReturn:
    """Print a message and end the command with an exit code."""
    click.echo(f'Error: {message}', err=True)
    raise click.exceptions.Exit(exit_code)
