"""Watches on the store's tables of versions, runners and entries."""

from __future__ import annotations

import asyncio
import math
import random
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass, field

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
    ReadResult,
    StoreCallError,
    StoredRow,
)
from bergamotthread.platform.store_version import StoreVersion
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.feed_sources import (
    EntryRecord,
    FeedSources,
)
from bergamotthread.process.relay.freshness import VersionFreshness
from bergamotthread.process.relay.life_cycle import LifeCycle
from bergamotthread.process.relay.upstreams import (
    UpstreamDirectory,
    UpstreamRecord,
    UpstreamState,
)
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
# A store that came back older may lack writes. Within this time after its
# return, the operator has written again what is lost.
OPERATOR_REWRITE_MS = 1000
# Shortest wait of a follower for the news that this has happened.
UNSETTLED_WAIT_MS = 100
# After a return, an entry that finds no other entry to follow reads the store
# at a random time within this period, and an entry whose row is lost writes it
# at a random time within the other.
ERA_READ_SPREAD_MS = 500
REGISTER_SPREAD_MS = 1000
# An entry waits this long for another one to read the table of a new era.
ERA_FOLLOW_WAIT_MS = 700
# Upstreams that are gone are remembered this long, which is several times the
# age of a copy from which the store returns.
GONE_KEPT_MS = 60_000


@dataclass(frozen=True)
class WatchContext:
    """Sources of rows, clock and log that all watches share."""

    store: PlatformStoreClient
    feeds: FeedSources
    clock: Clock
    log: DecisionLog
    rng: random.Random = field(default_factory=random.Random)


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
        self._rng = sources.rng
        self.history = TableHistory(sources.clock)
        self._version: StoreVersion | None = None
        self._era: int | None = None
        self._settled_ms = -math.inf
        self._is_store_failing = False
        self._task: asyncio.Task[None] | None = None
        self._poll_timeout: asyncio.Timeout | None = None
        sources.store.eras.listeners.append(self._end_poll)

    async def run(self) -> None:
        """Follow the table until cancelled."""
        self._task = asyncio.current_task()
        while True:
            try:
                await self._poll_in_era()
            except TimeoutError:
                logging.debug('poll of %s ended by a new era', self.table)
            except HistoryLostError as error:
                self._handle_lost_history(error)
            except StoreCallError as error:
                self._log_store_failure(error)
                await self._clock.sleep_ms(RETRY_DELAY_MS)
            else:
                self._log_store_recovery()
                await self._clock.sleep_ms(self.interval_ms)

    def begin_era(self, version: StoreVersion) -> None:
        """Note that the store came back older, before its rows are applied.

        Parameters
        ----------
        version
            Rows up to this version may be those of the copy.
        """
        self._settled_ms = self._clock.boot_ms() + OPERATOR_REWRITE_MS

    @abstractmethod
    def apply_all(self, rows: Iterable[StoredRow]) -> None:
        """Apply the rows of the whole table."""

    @abstractmethod
    def apply_changes(self, rows: Iterable[StoredRow]) -> None:
        """Apply changed rows in order."""

    @abstractmethod
    def record_confirmed(self, requested_ms: float) -> None:
        """Note that all writes before `requested_ms` are known.

        Writes that the store lost by a return from a copy are not; see
        `TableHistory.is_settled`.

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

    async def _poll_in_era(self) -> None:
        """Poll once.

        Raises
        ------
        TimeoutError
            If meanwhile the store is found to be in a new era.
        """
        try:
            async with asyncio.timeout(None) as timeout:
                self._poll_timeout = timeout
                await self._poll()
        finally:
            self._poll_timeout = None

    def _end_poll(self, _: int, era: int) -> None:
        """End a poll that another table's answer shows to be of an old era."""
        self.history.note_era(era)
        is_own_answer = asyncio.current_task() is self._task
        if self._poll_timeout is not None and not is_own_answer:
            self._poll_timeout.reschedule(0)
            self._poll_timeout = None

    def _handle_lost_history(self, error: HistoryLostError) -> None:
        if self._version is None or not self._is_in_old_era:
            self._version = None
        self._log.write('store-history-lost', detail=str(error))

    @property
    def _is_in_old_era(self) -> bool:
        """Return whether the store has stated a newer era than the table's."""
        known_era = self._store.eras.known
        return known_era is not None and self._era != known_era

    async def _poll(self) -> None:
        if self._version is None:
            await self._read_all()
            return
        if self._is_in_old_era:
            await self._read_new_era()
            return
        source = self._feeds.choose(self.table)
        if source is not None and await self._read_from_entry(
            self._version, source
        ):
            return
        if self._is_in_old_era:
            await self._read_new_era()
            return
        try:
            await self._read_changes(self._version, None)
        except HistoryLostError:
            raise
        except StoreCallError:
            self._feeds.record_failure(self.table, None)
            raise
        self._feeds.record_success(self.table, None)

    async def _read_new_era(self) -> None:
        """Read the whole table, from another entry if there is one to follow.

        All entries find the new era at about the same time.
        """
        after = StoreVersion(self._store.eras.known or 0)
        source = self._feeds.choose(self.table)
        if source is not None:
            if await self._read_from_entry(after, source):
                return
            await self._clock.sleep_ms(self._rng.uniform(0, ERA_READ_SPREAD_MS))
            source = self._feeds.choose(self.table)
            if source is not None and await self._read_from_entry(
                after, source
            ):
                return
        try:
            await self._read_all()
        except StoreCallError:
            self._feeds.record_failure(self.table, None)
            raise

    async def _read_from_entry(
        self, after: StoreVersion, source: EntryRecord
    ) -> bool:
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
        self._apply(read, requested_ms, is_direct=True, is_whole=True)

    async def _read_changes(
        self,
        after: StoreVersion,
        source: EntryRecord | None,
    ) -> None:
        requested_ms = self._clock.boot_ms()
        if source is None:
            read = await self._store.read_changes(
                self.table, after, self._poll_wait_ms()
            )
        else:
            read = await self._store.read_relayed_changes(
                source.address,
                self.table,
                after,
                self._follow_wait_ms(),
                self.age_max_ms,
            )
            # The answer was sent at this time or later; it may have been under
            # way for long.
            requested_ms += read.waited_ms - read.age_ms
        self._apply(
            read,
            requested_ms,
            is_direct=source is None,
            is_whole=read.is_whole,
        )

    def _apply(
        self,
        read: ReadResult,
        requested_ms: float,
        *,
        is_direct: bool,
        is_whole: bool,
    ) -> None:
        """Apply changes, or a whole table, which may be of a new era."""
        if is_whole:
            if self._era not in {None, read.version.era}:
                self.begin_era(read.version)
            self._era = read.version.era
            self.apply_all(read.rows)
            keep_rows = self.history.restart
        else:
            self.apply_changes(read.rows)
            keep_rows = self.history.add
        self._version = read.version
        self._note_settled(read, requested_ms, is_direct=is_direct)
        keep_rows(read.rows, read.version, requested_ms, is_direct=is_direct)
        self.record_confirmed(requested_ms)

    def _note_settled(
        self, read: ReadResult, requested_ms: float, *, is_direct: bool
    ) -> None:
        """Note whether lost rows are written again by `requested_ms`.

        An entry that follows another one relies on what that one states.
        """
        self.history.is_settled = (
            requested_ms >= self._settled_ms if is_direct else read.is_settled
        )

    def _poll_wait_ms(self) -> int:
        """Return the wait of a poll of the store.

        A poll is sent as soon as all lost rows are written again, and answered
        at once.
        """
        if self._is_store_failing:
            return 0
        if self.history.is_settled:
            return self.wait_ms
        return min(self._unsettled_ms, self.wait_ms)

    def _follow_wait_ms(self) -> int:
        """Return the wait of a poll of another entry."""
        wait_ms = self.wait_ms + FOLLOWER_EXTRA_WAIT_MS
        if self._is_in_old_era:
            return min(wait_ms, ERA_FOLLOW_WAIT_MS)
        if self.history.is_settled:
            return wait_ms
        return min(max(self._unsettled_ms, UNSETTLED_WAIT_MS), wait_ms)

    @property
    def _unsettled_ms(self) -> int:
        """Return the time until lost rows count as written again."""
        remaining_ms = self._settled_ms - self._clock.boot_ms()
        return math.ceil(max(remaining_ms, 0))

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
        self._copy_version = StoreVersion()
        self._is_behind = False
        self._is_rewritten = False

    def begin_era(self, version: StoreVersion) -> None:
        """Take no row for a proof until the operator has written again."""
        super().begin_era(version)
        self._copy_version = version
        self._is_behind = True
        self._is_rewritten = False

    def apply_all(self, rows: Iterable[StoredRow]) -> None:
        """Apply the manifest among the rows."""
        self.apply_changes(rows)

    def apply_changes(self, rows: Iterable[StoredRow]) -> None:
        """Apply the manifest if it changed."""
        for row in rows:
            if row.key == MANIFEST_KEY and row.payload is not None:
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


@dataclass(frozen=True, slots=True)
class _GoneUpstream:
    started_ms: int
    seen_ms: float


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
        self._copy_version = StoreVersion()
        self._gone_by_instance: dict[str, _GoneUpstream] = {}
        self._is_new_era = False

    def begin_era(self, version: StoreVersion) -> None:
        """Give upstreams whose rows are lost the time to write them again."""
        super().begin_era(version)
        self._copy_version = version
        self._store_failed_ms = self._clock.now_ms()
        self._is_new_era = True
        oldest_ms = self._clock.now_ms() - GONE_KEPT_MS
        self._gone_by_instance = {
            instance: gone
            for instance, gone in self._gone_by_instance.items()
            if gone.seen_ms >= oldest_ms
        }

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
        self._is_new_era = False

    def apply_changes(self, rows: Iterable[StoredRow]) -> None:
        """Apply changed rows.

        The upstream of a removed row is removed, after an outage of the store
        only if the row does not return in time.
        """
        for row in rows:
            if row.payload is None:
                self._handle_missing_row(row.key)
            else:
                self._update_upstream(row, row.payload)

    def record_confirmed(self, requested_ms: float) -> None:
        """Do nothing; the directory does not record confirmations."""

    def record_store_failure(self) -> None:
        """Record an outage, in which rows of live runners may lapse."""
        self._store_failed_ms = self._clock.now_ms()

    def _update_upstream(self, row: StoredRow, encoded: bytes) -> None:
        instance = row.key
        record = decode_runner(instance, encoded)
        if record is None:
            self._lapsed.discard(instance)
            self._remove(instance)
            return
        if self._is_outdated(record, row.version):
            self._log.write(
                'upstream-row-outdated',
                upstream=instance,
                state=record.state.value,
                era=row.version.era,
            )
            return
        self._lapsed.discard(instance)
        self._gone_by_instance.pop(instance, None)
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
            self._record_gone(former.record)
            self._log.write(
                'upstream-replaced',
                upstream=former.record.instance,
                by=instance,
            )

    def _is_outdated(
        self, record: UpstreamRecord, version: StoreVersion
    ) -> bool:
        """Return whether a row from a copy says less than is known.

        An incarnation that is draining does not become ready again, and one
        that is gone writes its row again if it lives.
        """
        is_from_copy = version <= self._copy_version
        gone = self._gone_by_instance.get(record.instance)
        is_gone = gone is not None and record.started_ms <= gone.started_ms
        if is_gone and is_from_copy:
            return True
        known = self._directory.get(record.instance)
        if known is None or known.record.started_ms != record.started_ms:
            return False
        is_ready_again = (
            known.record.state is UpstreamState.DRAINING
            and record.state is UpstreamState.READY
        )
        has_returned = self._copy_version > StoreVersion()
        return is_ready_again and (
            is_from_copy or (has_returned and record.started_ms > 0)
        )

    def _record_gone(self, record: UpstreamRecord) -> None:
        self._gone_by_instance[record.instance] = _GoneUpstream(
            record.started_ms, self._clock.now_ms()
        )

    def _handle_missing_row(self, instance: str) -> None:
        if self._lapse_remaining_ms <= 0:
            self._remove(instance)
            return
        self._lapsed.add(instance)
        if not self._is_new_era:
            # Rows that a copy lacks are those of upstreams that came lately.
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
            self._record_gone(upstream.record)
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
