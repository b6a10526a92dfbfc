"""Following of one of the store's tables by long polls, through its returns."""

from __future__ import annotations

import asyncio
import math
import random
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass, field

from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.platform.relayed_feed import TableHistory
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

RETRY_DELAY_MS = 250
# The poll of a follower waits this much longer than the followed entry's own
# poll of the store, which ends within this time after its wait.
FOLLOWER_EXTRA_WAIT_MS = 300
# A store that came back older may lack writes. Within this time after its
# return, the operator has written again what is lost.
OPERATOR_REWRITE_MS = 1000
# Shortest wait of a follower for the news that this has happened.
UNSETTLED_WAIT_MS = 100
# After a return, an entry that finds no other entry to follow reads the store
# at a random time within this period.
ERA_READ_SPREAD_MS = 500
# An entry waits this long for another one to read the table of a new era.
ERA_FOLLOW_WAIT_MS = 700


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
