"""When a published version is in force everywhere."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.errors import (
    BergamotError,
    Step,
    StoreConflictError,
    StoreUnavailableError,
)
from bergamotthread.process.store.platform import Table
from bergamotthread.version.lease import lapse_ms
from bergamotthread.version.record import (
    VERSION_KEY,
    VersionRow,
    decode_record,
)
from bergamotthread.version.registration import StoredHolder, read_holders

ACCEPTANCE_POLL_MS = 250


@dataclass(frozen=True)
class Acceptance:
    """Whether a version is in force everywhere.

    Parameters
    ----------
    waited_ms
        Time since the version was seen to be published.
    admitting
        Registered processes that may still admit by an older version.
    stopped
        Processes that were registered with an older version and whose leases
        have lapsed: they admit nothing before they have this version.
    """

    version: int
    waited_ms: float
    is_accepted: bool
    admitting: tuple[StoredHolder, ...] = ()
    stopped: tuple[StoredHolder, ...] = ()

    def describe(self) -> str:
        """Return the outcome as an operator reads it."""
        if not self.is_accepted:
            where = _describe_places(self.admitting) or 'leases still running'
            return f'published, not yet in force in: {where}'
        if self.stopped:
            where = _describe_places(self.stopped)
            return (
                'accepted, in force everywhere; '
                f'stopped admitting until heard from: {where}'
            )
        return 'accepted, in force everywhere'


@dataclass(frozen=True)
class AcceptanceWatch:
    """Waits until no process may admit by an older version.

    No list of processes is needed for those that hold a plain lease: it has
    lapsed after `lapse_ms` unless they have the version. A process with a
    longer lease is registered, and has the version or is waited for.
    """

    table: Table
    clock: Clock

    async def wait(self, version: int, *, timeout_ms: float) -> Acceptance:
        """Return once the version is accepted or `timeout_ms` have passed.

        Raises
        ------
        BergamotError
            If no version as new as `version` is published.
        StoreUnavailableError
            If the table does not say which version is published.
        """
        row = await self.table.read(VERSION_KEY)
        published = decode_record(row.body, VersionRow).version if row else 0
        if published < version:
            raise BergamotError(
                f'version {version} is not published, newest is {published}',
                step=Step.PUBLISH,
            )
        published_ms = self.clock.now_ms()
        while True:
            acceptance = await self._look(version, published_ms)
            if acceptance.is_accepted or acceptance.waited_ms >= timeout_ms:
                return acceptance
            await self.clock.sleep_ms(ACCEPTANCE_POLL_MS)

    async def _look(self, version: int, published_ms: float) -> Acceptance:
        try:
            holders = await read_holders(self.table)
        except StoreUnavailableError:
            waited_ms = self.clock.now_ms() - published_ms
            return Acceptance(version, waited_ms, is_accepted=False)
        waited_ms = self.clock.now_ms() - published_ms
        behind = tuple(one for one in holders if one.holder.version < version)
        admitting = tuple(
            one
            for one in behind
            if waited_ms <= lapse_ms(one.holder.outage_lease_ms)
        )
        stopped = tuple(one for one in behind if one not in admitting)
        is_lapsed = waited_ms > lapse_ms(0)
        if is_lapsed and not admitting:
            await self._forget(stopped)
            return Acceptance(version, waited_ms, True, (), stopped)
        return Acceptance(version, waited_ms, False, admitting, stopped)

    async def _forget(self, stopped: tuple[StoredHolder, ...]) -> None:
        """Delete rows whose leases have lapsed, unless they are renewed."""
        for one in stopped:
            with contextlib.suppress(StoreConflictError, StoreUnavailableError):
                await self.table.delete(one.key, expected=one.revision)


def _describe_places(holders: tuple[StoredHolder, ...]) -> str:
    addresses_by_region: dict[str, list[str]] = {}
    for one in holders:
        addresses = addresses_by_region.setdefault(one.holder.region, [])
        addresses.append(one.holder.address)
    return ', '.join(
        f'{region or "no region"} ({" ".join(sorted(addresses))})'
        for region, addresses in sorted(addresses_by_region.items())
    )
