"""Watches on the store's tables of versions and entries."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec
from absl import logging

from bergamotthread.platform.manifest import ManifestError, decode_manifest
from bergamotthread.platform.store import StoreCallError, StoredRow
from bergamotthread.platform.store_version import StoreVersion
from bergamotthread.platform.table_watch import (
    FOLLOWER_EXTRA_WAIT_MS,
    TableWatch,
    WatchContext,
)
from bergamotthread.process.relay.feed_sources import EntryRecord
from bergamotthread.process.relay.freshness import VersionFreshness
from bergamotthread.process.relay.life_cycle import LifeCycle
from bergamotthread.process.relay.version_holder import RouteTableHolder

OPERATOR_TABLE = 'op'
MANIFEST_KEY = 'config'
# The answer to a poll confirms that the known rows were current when the poll
# was sent. A removed key must be refused within 5 s, even if a poll is lost or
# the entry that is followed stops answering.
VERSION_POLL_WAIT_MS = 1000
ENTRY_TABLE = 'entries'
ENTRY_POLL_WAIT_MS = 20_000
ENTRY_POLL_INTERVAL_MS = 1000
REGISTER_RETRY_DELAY_MS = 3000
# After a return, an entry whose row is lost writes it at a random time within
# this period.
REGISTER_SPREAD_MS = 1000


class OrderRows(Protocol):
    """Applies the operator's orders that stand beside the manifest."""

    def begin_era(self, version: StoreVersion) -> None:
        """Note that rows up to a version may be those of an older copy."""

    def apply_order(self, row: StoredRow) -> None:
        """Apply a row other than the manifest; unknown ones are ignored."""


class VersionWatch(TableWatch):
    """Applies the operator's manifest when it changes, and its orders."""

    table = OPERATOR_TABLE
    wait_ms = VERSION_POLL_WAIT_MS
    interval_ms = 0
    age_max_ms = VERSION_POLL_WAIT_MS + FOLLOWER_EXTRA_WAIT_MS

    def __init__(
        self,
        sources: WatchContext,
        holder: RouteTableHolder,
        freshness: VersionFreshness,
        life_cycle: LifeCycle,
        orders: OrderRows | None = None,
    ) -> None:
        """Follow the operator's table.

        Parameters
        ----------
        orders
            Applies the orders; None where there are none.
        """
        super().__init__(sources)
        self._orders = orders
        self._holder = holder
        self._freshness = freshness
        self._life_cycle = life_cycle
        self._copy_version = StoreVersion()
        self._is_behind = False
        self._is_rewritten = False

    def begin_era(self, version: StoreVersion) -> None:
        """Take no row for a proof until the operator has written again."""
        super().begin_era(version)
        self._copy_version = version
        self._is_behind = True
        self._is_rewritten = False
        if self._orders is not None:
            self._orders.begin_era(version)

    def apply_all(self, rows: Iterable[StoredRow]) -> None:
        """Apply the manifest among the rows."""
        self.apply_changes(rows)

    def apply_changes(self, rows: Iterable[StoredRow]) -> None:
        """Apply the manifest if it changed, and changed orders."""
        for row in rows:
            if row.key != MANIFEST_KEY:
                self._apply_order(row)
            elif row.payload is not None:
                self._apply_manifest(row.payload, row.version)

    def record_confirmed(self, requested_ms: float) -> None:
        """Note that the version in force was current at `requested_ms`.

        After a return of the store from a copy, its row proves this only if it
        is not older than the version in force, and once the operator has
        written again what is lost. Until then the last proof counts on: a key
        can only have been removed after it.
        """
        if self._holder.table is None or self._is_behind:
            return
        if self.history.is_settled or self._is_rewritten:
            self._freshness.confirm(requested_ms)

    def record_store_failure(self) -> None:
        """Keep the version in force; the age of its confirmation grows."""
        logging.debug(
            'table not read from the store; '
            'version in force was last confirmed %.0f ms ago',
            self._freshness.age_ms,
        )

    def _apply_order(self, row: StoredRow) -> None:
        if self._orders is not None:
            self._orders.apply_order(row)

    def _apply_manifest(
        self, encoded: bytes, row_version: StoreVersion
    ) -> None:
        try:
            table = decode_manifest(encoded)
        except ManifestError as error:
            logging.error('manifest is invalid; former one kept: %s', error)
            self._log.write('manifest-refused', detail=str(error))
            return
        former = self._holder.table
        has_returned = self._copy_version > StoreVersion()
        is_older = former is not None and table.version < former.version
        self._is_behind = has_returned and is_older
        self._is_rewritten = row_version > self._copy_version
        if former is not None and self._is_behind:
            self._log.write(
                'older-version-kept-out',
                version=table.version,
                in_force=former.version,
                era=row_version.era,
            )
        if self._holder.replace_if_newer(table):
            self._life_cycle.mark_ready()
            self._log.write(
                'version-in-force',
                version=table.version,
                routes=len(table.routes),
            )


class _EntryRow(msgspec.Struct, frozen=True):
    address: str
    region: str


class EntryWatch(TableWatch):
    """Tracks the other entries by the rows that they register."""

    table = ENTRY_TABLE
    wait_ms = ENTRY_POLL_WAIT_MS
    interval_ms = ENTRY_POLL_INTERVAL_MS
    # Entries rarely come and go, and calls to one that has gone fail.
    age_max_ms = math.inf

    def __init__(
        self,
        sources: WatchContext,
        own: EntryRecord,
        apply_other: Callable[[StoredRow], bool],
    ) -> None:
        """Follow the table of entries.

        Parameters
        ----------
        apply_other
            Applies a row that is no registration; returns whether it did.
        """
        super().__init__(sources)
        self._own_record = own
        self._apply_other = apply_other
        self._must_register = asyncio.Event()
        self._must_register.set()
        self._is_new_era = False
        self.rewritten_count = 0

    async def register(self) -> None:
        """Write the row of this entry, again whenever the store lost it.

        The write is retried until the store has the row.
        """
        row = _EntryRow(self._own_record.address, self._own_record.region)
        while True:
            await self._must_register.wait()
            try:
                await self._store.put(
                    self.table,
                    self._own_record.host,
                    msgspec.json.encode(row),
                )
            except StoreCallError as error:
                self._log.write('not-registered', detail=str(error))
                await self._clock.sleep_ms(REGISTER_RETRY_DELAY_MS)
            else:
                self._must_register.clear()

    def begin_era(self, version: StoreVersion) -> None:
        """Expect the own row among those of the copy."""
        super().begin_era(version)
        self._is_new_era = True

    def apply_all(self, rows: Iterable[StoredRow]) -> None:
        """Apply all registrations; entries without a row are kept.

        The own row is written again if the store came back without it.
        """
        rows = tuple(rows)
        self.apply_changes(rows)
        listed = {row.key for row in rows if row.payload is not None}
        if self._is_new_era and self._own_record.host not in listed:
            self._register_again_soon()
        self._is_new_era = False

    def apply_changes(self, rows: Iterable[StoredRow]) -> None:
        """Apply changed registrations; remove entries without a valid row."""
        for row in rows:
            if not self._apply_other(row):
                self._apply_row(row)

    def record_confirmed(self, requested_ms: float) -> None:
        """Do nothing; calls to an entry that has gone fail."""

    def record_store_failure(self) -> None:
        """Do nothing; calls to an entry that has gone fail."""

    def _register_again_soon(self) -> None:
        delay_ms = self._rng.uniform(0, REGISTER_SPREAD_MS)
        self.rewritten_count += 1
        self._log.write('registered-again', delay_ms=delay_ms, era=self._era)
        self._rewrite_task = asyncio.create_task(
            self._set_must_register(delay_ms)
        )

    async def _set_must_register(self, delay_ms: float) -> None:
        await self._clock.sleep_ms(delay_ms)
        self._must_register.set()

    def _apply_row(self, row: StoredRow) -> None:
        try:
            entry_row = msgspec.json.decode(row.payload or b'', type=_EntryRow)
        except msgspec.MsgspecError as error:
            logging.debug(
                'row of entry %s is missing or invalid; entry removed: %s',
                row.key,
                error,
            )
            self._feeds.remove(row.key)
            return
        self._feeds.update(
            EntryRecord(row.key, entry_row.address, entry_row.region)
        )
