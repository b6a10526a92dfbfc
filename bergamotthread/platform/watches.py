"""Watches on the store's tables of versions, runners and entries."""

from __future__ import annotations

import asyncio
import math
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.platform.manifest import ManifestError, decode_manifest
from bergamotthread.platform.relayed_feed import TableHistory
from bergamotthread.platform.runner_rows import decode_runner
from bergamotthread.platform.store import (
    HistoryLostError,
    PlatformStoreClient,
    StoreCallError,
    StoredRow,
)
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.feed_sources import (
    EntryRecord,
    FeedSources,
)
from bergamotthread.process.relay.freshness import VersionFreshness
from bergamotthread.process.relay.life_cycle import LifeCycle
from bergamotthread.process.relay.upstreams import UpstreamDirectory
from bergamotthread.process.relay.version_holder import RouteTableHolder

OPERATOR_TABLE = 'op'
RUNNER_TABLE = 'servers'
MANIFEST_KEY = 'config'
# Tables are followed by long polls. An answer confirms that the known rows were
# current when the poll was sent. A drain must take effect within 3 s and a
# removed key within 5 s, even if a poll is lost or the entry that is followed
# stops answering.
VERSION_POLL_WAIT_MS = 1000
RUNNER_POLL_WAIT_MS = 1000
# Pause between polls, so that one answer has the rows of several runners that
# change together.
RUNNER_POLL_INTERVAL_MS = 250
ENTRY_TABLE = 'entries'
ENTRY_POLL_WAIT_MS = 20_000
ENTRY_POLL_INTERVAL_MS = 1000
RETRY_DELAY_MS = 250
# The poll of a follower waits this much longer than the followed entry's own
# poll of the store, which ends within this time after its wait.
FOLLOWER_EXTRA_WAIT_MS = 300
REGISTER_RETRY_DELAY_MS = 3000
# A row that is missing after an outage of the store may have lapsed during the
# outage, although its runner still works. The users say that such rows are back
# within two seconds of the store's return. This period counts from the last
# failed call to the store and not from the removal of the row, so that an
# upstream that is gone for good gets no work past the bound on drains.
LAPSED_ROW_GRACE_MS = 2500


@dataclass(frozen=True)
class WatchContext:
    """Sources of rows, clock and log that all watches share."""

    store: PlatformStoreClient
    feeds: FeedSources
    clock: Clock
    log: DecisionLog


class TableWatch(ABC):
    """Follows the rows of one table.

    Attributes
    ----------
    wait_ms
        Time for which a long poll waits for changes.
    interval_ms
        Pause after a successful poll.
    age_max_ms
        An entry is followed only if the store confirmed its changes no longer
        ago than this.
    """

    table: str
    wait_ms: int
    interval_ms: float
    age_max_ms: float

    def __init__(
        self,
        sources: WatchContext,
    ) -> None:
        self._store = sources.store
        self._clock = sources.clock
        self._log = sources.log
        self._feeds = sources.feeds
        self.history = TableHistory(sources.clock)
        self._version: int | None = None
        self._is_store_failing = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                await self._poll()
            except HistoryLostError as error:
                self._version = None
                self._log.write('store-history-lost', detail=str(error))
            except StoreCallError as error:
                self._log_store_failure(error)
                await self._clock.sleep_ms(RETRY_DELAY_MS)
            else:
                self._log_store_recovery()
                await self._clock.sleep_ms(self.interval_ms)

    @abstractmethod
    def apply_all(self, rows: Iterable[StoredRow]) -> None:
        """Apply the rows of the whole table."""

    @abstractmethod
    def apply_changes(self, rows: Iterable[StoredRow]) -> None:
        """Apply changed rows in order."""

    @abstractmethod
    def record_confirmed(self, requested_ms: float) -> None:
        """Note that all writes before `requested_ms` are known.

        Parameters
        ----------
        requested_ms
            Boot clock time at which the store was asked for the rows; for rows
            relayed by another entry, the time of the confirmation that the
            entry reports.
        """

    @abstractmethod
    def record_store_failure(self) -> None:
        """Note that the store did not answer."""

    async def _poll(self) -> None:
        if self._version is None:
            await self._read_all()
            return
        source = self._feeds.choose(self.table)
        if source is not None and await self._read_from_entry(
            self._version, source
        ):
            return
        try:
            await self._read_changes(self._version, None)
        except HistoryLostError:
            raise
        except StoreCallError:
            self._feeds.record_failure(self.table, None)
            raise
        self._feeds.record_success(self.table, None)

    async def _read_from_entry(self, after: int, source: EntryRecord) -> bool:
        """Read changes from another entry; return whether this succeeded."""
        try:
            await self._read_changes(after, source)
        except HistoryLostError:
            # The entry keeps fewer changes than needed; the store is read.
            return False
        except StoreCallError as error:
            self._feeds.record_failure(self.table, source)
            self._log.write(
                'feed-source-lost',
                peer=source.host,
                table=self.table,
                detail=str(error),
            )
            return False
        self._feeds.record_success(self.table, source)
        return True

    async def _read_all(self) -> None:
        requested_ms = self._clock.boot_ms()
        read = await self._store.read_rows(self.table)
        self.apply_all(read.rows)
        self._version = read.version
        self.history.restart(read.version, requested_ms)
        self.record_confirmed(requested_ms)

    async def _read_changes(
        self,
        after: int,
        source: EntryRecord | None,
    ) -> None:
        requested_ms = self._clock.boot_ms()
        if source is None:
            wait_ms = 0 if self._is_store_failing else self.wait_ms
            read = await self._store.read_changes(self.table, after, wait_ms)
        else:
            read = await self._store.read_relayed_changes(
                source.address,
                self.table,
                after,
                self.wait_ms + FOLLOWER_EXTRA_WAIT_MS,
                self.age_max_ms,
            )
            # The answer was sent at this time or later; it may have been under
            # way for long.
            requested_ms += read.waited_ms - read.age_ms
        self.apply_changes(read.rows)
        self._version = read.version
        is_direct = source is None
        self.history.add(read.rows, read.version, requested_ms, is_direct)
        self.record_confirmed(requested_ms)

    def _log_store_failure(self, error: StoreCallError) -> None:
        self.record_store_failure()
        if not self._is_store_failing:
            self._is_store_failing = True
            self._log.write(
                'store-lost',
                table=self.table,
                detail=str(error),
            )

    def _log_store_recovery(self) -> None:
        if self._is_store_failing:
            self._is_store_failing = False
            self._log.write('store-regained', table=self.table)


class VersionWatch(TableWatch):
    """Applies the operator's manifest when it changes."""

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
    ) -> None:
        super().__init__(sources)
        self._holder = holder
        self._freshness = freshness
        self._life_cycle = life_cycle

    def apply_all(self, rows: Iterable[StoredRow]) -> None:
        """Apply the manifest among the rows."""
        self.apply_changes(rows)

    def apply_changes(self, rows: Iterable[StoredRow]) -> None:
        """Apply the manifest if it changed."""
        for row in rows:
            if row.key == MANIFEST_KEY and row.payload is not None:
                self._apply_manifest(row.payload)

    def record_confirmed(self, requested_ms: float) -> None:
        """Note that the version in force was current at `requested_ms`."""
        if self._holder.table is not None:
            self._freshness.confirm(requested_ms)

    def record_store_failure(self) -> None:
        """Keep the version in force; the age of its confirmation grows."""
        logging.debug(
            'table not read from the store; '
            'version in force was last confirmed %.0f ms ago',
            self._freshness.age_ms,
        )

    def _apply_manifest(self, encoded: bytes) -> None:
        try:
            table = decode_manifest(encoded)
        except ManifestError as error:
            logging.error('manifest is invalid; former one kept: %s', error)
            self._log.write('manifest-refused', detail=str(error))
            return
        if self._holder.replace_if_newer(table):
            self._life_cycle.mark_ready()
            self._log.write(
                'version-in-force',
                version=table.version,
                routes=len(table.routes),
            )


class RunnerWatch(TableWatch):
    """Keeps the upstream directory up to date with the runners' rows."""

    table = RUNNER_TABLE
    wait_ms = RUNNER_POLL_WAIT_MS
    interval_ms = RUNNER_POLL_INTERVAL_MS
    age_max_ms = (
        RUNNER_POLL_WAIT_MS + RUNNER_POLL_INTERVAL_MS + FOLLOWER_EXTRA_WAIT_MS
    )

    def __init__(
        self,
        sources: WatchContext,
        directory: UpstreamDirectory,
        pool: UpstreamPool,
    ) -> None:
        super().__init__(sources)
        self._directory = directory
        self._pool = pool
        self._store_failed_ms = -math.inf
        self._lapsed: set[str] = set()
        self._removal_task: asyncio.Task[None] | None = None

    def apply_all(self, rows: Iterable[StoredRow]) -> None:
        """Apply all rows.

        Upstreams without a row are removed, after an outage of the store only
        if the row does not return in time.
        """
        rows = tuple(rows)
        listed = {row.key for row in rows if row.payload is not None}
        self.apply_changes(rows)
        for instance in self._directory.instances() - listed:
            self._handle_missing_row(instance)
        self._directory.is_loaded = True

    def apply_changes(self, rows: Iterable[StoredRow]) -> None:
        """Apply changed rows.

        The upstream of a removed row is removed, after an outage of the store
        only if the row does not return in time.
        """
        for row in rows:
            if row.payload is None:
                self._handle_missing_row(row.key)
            else:
                self._update_upstream(row.key, row.payload)

    def record_confirmed(self, requested_ms: float) -> None:
        """Do nothing; the directory does not record confirmations."""

    def record_store_failure(self) -> None:
        """Record an outage, in which rows of live runners may lapse."""
        self._store_failed_ms = self._clock.now_ms()

    def _update_upstream(self, instance: str, encoded: bytes) -> None:
        self._lapsed.discard(instance)
        record = decode_runner(instance, encoded)
        if record is None:
            self._remove(instance)
            return
        known = self._directory.get(instance)
        if known is None or known.record.state is not record.state:
            self._log.write(
                'upstream-listed',
                upstream=instance,
                service=record.service,
                domain=record.failure_domain,
                state=record.state.value,
            )
        former = self._directory.update(record)
        if former is not None:
            self._pool.close_address(former.address)
            self._log.write(
                'upstream-replaced',
                upstream=former.record.instance,
                by=instance,
            )

    def _handle_missing_row(self, instance: str) -> None:
        if self._lapse_remaining_ms <= 0:
            self._remove(instance)
            return
        self._lapsed.add(instance)
        self._directory.record_unlisted(instance)
        if self._removal_task is None or self._removal_task.done():
            self._removal_task = asyncio.create_task(self._remove_lapsed())

    @property
    def _lapse_remaining_ms(self) -> float:
        """Return the time left for rows that lapsed in an outage to return."""
        return (
            self._store_failed_ms + LAPSED_ROW_GRACE_MS - self._clock.now_ms()
        )

    async def _remove_lapsed(self) -> None:
        """Remove the upstreams whose rows did not return after an outage."""
        while self._lapse_remaining_ms > 0:
            await self._clock.sleep_ms(self._lapse_remaining_ms)
        while self._lapsed:
            self._remove(self._lapsed.pop())

    def _remove(self, instance: str) -> None:
        upstream = self._directory.remove(instance)
        if upstream is not None:
            self._pool.close_address(upstream.address)
            self._log.write('upstream-gone', upstream=instance)


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

    def __init__(self, sources: WatchContext, own: EntryRecord) -> None:
        super().__init__(sources)
        self._own_record = own
        self._is_registered = False

    async def register(self) -> None:
        """Write the row of this entry; retry until the store has it."""
        row = _EntryRow(self._own_record.address, self._own_record.region)
        while not self._is_registered:
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
                self._is_registered = True

    def apply_all(self, rows: Iterable[StoredRow]) -> None:
        """Apply all registrations; entries without a row are kept."""
        self.apply_changes(rows)

    def apply_changes(self, rows: Iterable[StoredRow]) -> None:
        """Apply changed registrations; remove entries without a valid row."""
        for row in rows:
            self._apply_row(row)

    def record_confirmed(self, requested_ms: float) -> None:
        """Do nothing; calls to an entry that has gone fail."""

    def record_store_failure(self) -> None:
        """Do nothing; calls to an entry that has gone fail."""

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
