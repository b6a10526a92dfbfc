"""Platform clients and audit records for the commands of operators."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any, NoReturn, Protocol, TypeVar

import click

from bergamotthread.clock import Clock
from bergamotthread.errors import StoreUnavailableError
from bergamotthread.platform.tables import open_store
from bergamotthread.process.explanations.audit import AuditTrail
from bergamotthread.process.settings import PlatformSettings
from bergamotthread.process.store.platform import HostList, ObjectStore, Table
from bergamotthread.process.store.store_client import StoreClient, StoreUse
from bergamotthread.version.objects import ObjectSet
from bergamotthread.version.operators import find_operator
from bergamotthread.version.publication import Draft, NewestVersion, Publisher
from bergamotthread.version.published import PublishedVersion

OPERATOR_READS_PER_S = 100
OPERATOR_WRITES_PER_S = 20
OPERATOR_TIMEOUT_MS = 5000
AUDIT_ATTEMPTS = 3

_Answer = TypeVar('_Answer')


class OperatorContext(Protocol):
    """Object of the click context of commands for operators."""

    @property
    def clock(self) -> Clock:
        """Return the clock."""

    @property
    def credential(self) -> str:
        """Return the operator's credential, empty if none was given."""

    def table(self) -> Table:
        """Return a client of the platform's table."""

    def object_store(self) -> ObjectStore:
        """Return a client of the platform's object store."""

    def run(self, action: Coroutine[Any, Any, _Answer]) -> _Answer:
        """Run an action until it ends, then close the clients."""


class PlatformContext:
    """Context of commands that talk to the platform at one address.

    Parameters
    ----------
    address
        IP number and port of the platform.
    clock
        Clock of the command.
    credential
        Credential of the operator; `publish` needs it.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        *,
        credential: str = '',
    ) -> None:
        self.clock = clock
        self.credential = credential
        self._settings = PlatformSettings(
            address=address,
            reads_per_s=OPERATOR_READS_PER_S,
            writes_per_s=OPERATOR_WRITES_PER_S,
            timeout_ms=OPERATOR_TIMEOUT_MS,
        )
        self._client: StoreClient | None = None

    def table(self) -> Table:
        """Return a client of the platform's table."""
        return self._open_client().table(StoreUse.PUBLICATION)

    def object_store(self) -> ObjectStore:
        """Return a client of the platform's object store."""
        return self._open_client().object_store(StoreUse.PUBLICATION)

    def host_list(self) -> HostList:
        """Return a client of the platform's host list."""
        return self._open_client().hosts()

    async def read_version(self) -> PublishedVersion:
        """Return the newest published version."""
        newest = await self.publisher().newest()
        state = newest.state
        return PublishedVersion.from_object_set(state.version, state.object_set)

    async def publish(self, base_version: int, object_set: ObjectSet) -> int:
        """Publish a set that replaces `base_version`; return its number."""
        publisher = self.publisher()
        newest = await publisher.newest()
        who = find_operator(newest.state.object_set, self.credential).name
        draft = Draft(object_set, who, base_version)
        published = await publisher.publish(draft)
        if published.state.version > base_version:
            await record_publication(self, published)
        return published.state.version

    def run(self, action: Coroutine[Any, Any, _Answer]) -> _Answer:
        """Run an action until it ends, then close the clients."""
        return asyncio.run(self._run_and_close(action))

    async def close(self) -> None:
        """Close the platform client if it is open."""
        client = self._client
        self._client = None
        if client is not None:
            client.close()

    def publisher(self) -> Publisher:
        """Return a publisher that uses this platform."""
        return Publisher.from_platform(
            self.table(),
            self.object_store(),
            self.clock,
        )

    async def _run_and_close(
        self,
        action: Coroutine[Any, Any, _Answer],
    ) -> _Answer:
        try:
            return await action
        finally:
            await self.close()

    def _open_client(self) -> StoreClient:
        if self._client is None:
            self._client = open_store(self._settings, self.clock)
        return self._client


async def record_publication(
    context: OperatorContext,
    published: NewestVersion,
) -> None:
    """Append a publication to the audit trail and write it."""
    row = published.row
    if row is None:
        return
    trail = AuditTrail(context.object_store(), context.clock, f'cli-{row.who}')
    await trail.append(
        'publish',
        'configuration',
        {'note': row.note, 'publication': row.publication_id},
        row.who,
        version_before=row.version - 1,
        version_after=row.version,
    )
    await flush_audit(trail)


async def flush_audit(trail: AuditTrail) -> None:
    """Write buffered audit records; warn if the store stays unavailable."""
    for _ in range(AUDIT_ATTEMPTS):
        with contextlib.suppress(StoreUnavailableError):
            await trail.flush()
            return
    click.echo('audit record not written: store unavailable', err=True)


def fail(message: str, exit_code: int) -> NoReturn:
    """Print an error message and exit with a code."""
    click.echo(f'Error: {message}', err=True)
    raise click.exceptions.Exit(exit_code)
