"""Waits until a published version is in force in all processes."""

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
from bergamotthread.version.lease import lease_expiry_ms
from bergamotthread.version.record import (
    VERSION_KEY,
    VersionRow,
    decode_record,
)
from bergamotthread.version.registration import StoredHolder, read_holders

ACCEPTANCE_POLL_MS = 250


@dataclass(frozen=True)
class Acceptance:
    """Result of waiting until a version is in force everywhere.

    Parameters
    ----------
    waited_ms
        Time since the version was found to be published.
    admitting
        Registered processes that may still admit requests under an older
        version.
    stopped
        Processes that are registered with an older version and whose leases
        have expired: they admit no requests until they have this version.
    """

    version: int
    waited_ms: float
    is_accepted: bool
    admitting: tuple[StoredHolder, ...] = ()
    stopped: tuple[StoredHolder, ...] = ()

    def describe(self) -> str:
        """Return the result as a message for operators."""
        if not self.is_accepted:
            places = (
                _describe_places(self.admitting)
                or 'processes whose leases may not have expired'
            )
            return f'published, not yet in force in: {places}'
        if self.stopped:
            places = _describe_places(self.stopped)
            return (
                'accepted, in force everywhere; '
                f'stopped admitting until heard from: {places}'
            )
        return 'accepted, in force everywhere'


@dataclass(frozen=True)
class AcceptanceWatch:
    """Waits until no process may admit requests under an older version.

    Processes without an outage lease need no tracking: unless they have the
    version, their lease expires within `lease_expiry_ms(0)`. A process with an
    outage lease is registered; the watch waits until its row names the version
    or its lease has expired.
    """

    table: Table
    clock: Clock

    async def wait(self, version: int, *, timeout_ms: float) -> Acceptance:
        """Return once the version is accepted or `timeout_ms` have passed.

        Raises
        ------
        BergamotError
            If the newest published version is older than `version`.
        StoreUnavailableError
            If the version row can't be read.
        """
        row = await self.table.read(VERSION_KEY)
        published = decode_record(row.body, VersionRow).version if row else 0
        if published < version:
            raise BergamotError(
                f'version {version} is not published, the newest is '
                f'{published}',
                step=Step.PUBLISH,
            )
        published_ms = self.clock.now_ms()
        while True:
            acceptance = await self._check(version, published_ms)
            if acceptance.is_accepted or acceptance.waited_ms >= timeout_ms:
                return acceptance
            await self.clock.sleep_ms(ACCEPTANCE_POLL_MS)

    async def _check(self, version: int, published_ms: float) -> Acceptance:
        try:
            holders = await read_holders(self.table)
        except StoreUnavailableError:
            waited_ms = self.clock.now_ms() - published_ms
            return Acceptance(version, waited_ms, is_accepted=False)
        waited_ms = self.clock.now_ms() - published_ms
        behind = tuple(
            stored for stored in holders if stored.holder.version < version
        )
        admitting = tuple(
            stored
            for stored in behind
            if waited_ms <= lease_expiry_ms(stored.holder.outage_lease_ms)
        )
        stopped = tuple(stored for stored in behind if stored not in admitting)
        is_lapsed = waited_ms > lease_expiry_ms(0)
        if is_lapsed and not admitting:
            await self._delete_expired(stopped)
            return Acceptance(version, waited_ms, True, (), stopped)
        return Acceptance(version, waited_ms, False, admitting, stopped)

    async def _delete_expired(self, stopped: tuple[StoredHolder, ...]) -> None:
        """Delete rows with expired leases, unless they were renewed."""
        for stored in stopped:
            with contextlib.suppress(StoreConflictError, StoreUnavailableError):
                await self.table.delete(stored.key, expected=stored.revision)


def _describe_places(holders: tuple[StoredHolder, ...]) -> str:
    addresses_by_region: dict[str, list[str]] = {}
    for stored in holders:
        addresses = addresses_by_region.setdefault(stored.holder.region, [])
        addresses.append(stored.holder.address)
    return ', '.join(
        f'{region or "no region"} ({" ".join(sorted(addresses))})'
        for region, addresses in sorted(addresses_by_region.items())
    )
