"""Watch on the runners' rows, which keeps the upstream directory up to date."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable
from dataclasses import dataclass

from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.platform.runner_rows import decode_runner
from bergamotthread.platform.store import StoredRow
from bergamotthread.platform.store_version import StoreVersion
from bergamotthread.platform.table_watch import (
    FOLLOWER_EXTRA_WAIT_MS,
    TableWatch,
    WatchContext,
)
from bergamotthread.process.relay.upstreams import (
    UpstreamDirectory,
    UpstreamRecord,
    UpstreamState,
)

RUNNER_TABLE = 'servers'
# The answer to a poll confirms that the known rows were current when the poll
# was sent. A drain must take effect within 3 s, even if a poll is lost or the
# entry that is followed stops answering.
RUNNER_POLL_WAIT_MS = 1000
# Pause between polls, so that one answer has the rows of several runners that
# change together.
RUNNER_POLL_INTERVAL_MS = 250
# A row that is missing after an outage of the store may have lapsed during the
# outage, although its runner still works. The users say that such rows are back
# within two seconds of the store's return. This period counts from the last
# failed call to the store and not from the removal of the row, so that an
# upstream that is gone for good gets no work past the bound on drains.
LAPSED_ROW_GRACE_MS = 2500
# Upstreams that are gone are remembered this long, which is several times the
# age of a copy from which the store returns.
GONE_KEPT_MS = 60_000


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
        self._directory.record_loaded()
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
                build=record.build,
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
