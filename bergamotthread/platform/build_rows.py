"""Rows of the store that keep the builds of streams when all entries end.

While a service has several builds, each entry writes the streams that it began
lately to a row of its own, together with the builds that it has seen. The table
is not followed: an entry reads it when a caller takes up a stream of which no
entry knows.
"""

from __future__ import annotations

import asyncio
import math
import struct
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import chain

import msgspec
from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.platform.store import (
    PlatformStoreClient,
    StoreCallError,
    StoredRow,
)
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.feed_sources import FeedSources
from bergamotthread.process.relay.stream_builds import (
    SINGLE,
    STREAM_MAX_MS,
    KnownBuild,
    StreamBuilds,
)

BUILD_TABLE = 'builds'
STORED = 'stored'
# Time between two writes of an entry's row, and its share for each registered
# entry: together they write at most 100 times a second.
SAVE_INTERVAL_MS = 250
SAVE_INTERVAL_PER_ENTRY_MS = 10
# Streams in one row, the latest ones.
SAVED_MAX = 4096
RETRY_MS = 1000
# Age up to which rows that were read are used again.
READ_AGE_MAX_MS = 1000
# Time within which all entries write their rows when builds come or go: as long
# as a build counts after its last upstream has left, and the pause of writes.
ROWS_APART_MS = 2 * STREAM_MAX_MS
_AGE_UNIT_MS = 200
_STREAM = struct.Struct('<QB')


class BuildRow(msgspec.Struct, frozen=True):
    """Builds as one entry knows them; `written_ms` is calendar time.

    `streams_by_build` packs the key of each stream and its age.
    """

    written_ms: int
    builds_by_service: dict[str, tuple[str, ...]]
    streams_by_build: dict[str, bytes]


@dataclass(frozen=True, slots=True)
class _Saved:
    service: str
    build: str
    begun_ms: float


@dataclass(frozen=True)
class StoredBuilds:
    """What all rows say.

    Parameters
    ----------
    ambiguous
        Streams that began at several builds, as contents may.
    """

    build_by_stream: dict[int, str]
    ambiguous: frozenset[int]
    builds_by_service: dict[str, set[str]]

    @classmethod
    def from_rows(cls, rows: Iterable[BuildRow], now_ms: float) -> StoredBuilds:
        """Join rows; streams that are over by calendar time are left out."""
        rows = tuple(rows)
        build_by_stream: dict[int, str] = {}
        ambiguous: set[int] = set()
        for stream, build, begun_ms in chain.from_iterable(map(_unpack, rows)):
            if now_ms - begun_ms > STREAM_MAX_MS:
                continue
            if build_by_stream.setdefault(stream, build) != build:
                ambiguous.add(stream)
        return cls(build_by_stream, frozenset(ambiguous), _join_builds(rows))


@dataclass
class BuildRows:
    """Writes the row of this entry, and reads those of all."""

    store: PlatformStoreClient
    builds: StreamBuilds
    feeds: FeedSources
    log: DecisionLog
    _saved_by_stream: dict[int, _Saved] = field(default_factory=dict)
    _former_by_service: dict[str, set[str]] = field(default_factory=dict)
    _former_until_ms: float = -math.inf
    _has_new_streams: bool = False
    _written: dict[str, tuple[str, ...]] = field(default_factory=dict)
    _stored: StoredBuilds | None = None
    _read_ms: float = -math.inf
    _reading: asyncio.Task[StoredBuilds | None] | None = None

    @property
    def clock(self) -> Clock:
        """Return the clock of the process."""
        return self.builds.clock

    def save(self, service: str, stream: int, build: str) -> None:
        """Write a stream that begins here soon, if the service needs it."""
        now_ms = self.clock.now_ms()
        self._saved_by_stream[stream] = _Saved(service, build, now_ms)
        self._has_new_streams = True

    async def find(
        self, service: str, stream: int, timeout_ms: float
    ) -> KnownBuild | None:
        """Return the build at which a stream began, by the rows of all entries.

        It is also known if the rows and this entry have seen a single build.
        """
        stored = await self._read_recent(timeout_ms)
        if stored is None or stream in stored.ambiguous:
            return None
        build = stored.build_by_stream.get(stream)
        if build is not None:
            return KnownBuild(build, STORED)
        former = stored.builds_by_service.get(service)
        if former is None:
            return None
        seen = former | self._seen_by_service().get(service, set())
        return KnownBuild(seen.pop(), SINGLE) if len(seen) == 1 else None

    async def run(self) -> None:
        """Write the row whenever it has changed, until cancelled."""
        await self._take_over()
        while True:
            await self.clock.sleep_ms(
                max(
                    SAVE_INTERVAL_MS,
                    SAVE_INTERVAL_PER_ENTRY_MS * len(self.feeds),
                )
            )
            await self._write_if_changed()

    async def _take_over(self) -> None:
        """Go on with the row of the former process of this host.

        Its streams are not over, and the builds that all rows name may be those
        of streams that began before this process did.
        """
        rows = await self._read_rows()
        while rows is None:
            await self.clock.sleep_ms(RETRY_MS)
            rows = await self._read_rows()
        now_ms = self.clock.now_ms()
        calendar_ms = self.clock.calendar_ms()
        stored = StoredBuilds.from_rows(rows.values(), calendar_ms)
        self._former_by_service = stored.builds_by_service
        self._former_until_ms = now_ms + STREAM_MAX_MS
        own = rows.get(self.feeds.own_host)
        for stream, build, begun_ms in () if own is None else _unpack(own):
            age_ms = calendar_ms - begun_ms
            if 0 <= age_ms <= STREAM_MAX_MS:
                saved = _Saved('', build, now_ms - age_ms)
                self._saved_by_stream.setdefault(stream, saved)

    async def _write_if_changed(self) -> None:
        self._forget_older(self.clock.now_ms() - STREAM_MAX_MS)
        seen = {
            service: tuple(sorted(builds))
            for service, builds in sorted(self._seen_by_service().items())
        }
        has_several = any(len(builds) > 1 for builds in seen.values())
        if seen == self._written and not (
            has_several and self._has_new_streams
        ):
            return
        row = self._row(seen)
        self._has_new_streams = False
        try:
            await self.store.put(
                BUILD_TABLE, self.feeds.own_host, msgspec.msgpack.encode(row)
            )
        except StoreCallError as error:
            self._has_new_streams = True
            self.log.write('builds-not-saved', detail=str(error))
            await self.clock.sleep_ms(RETRY_MS)
        else:
            self._written = seen

    def _row(self, seen: dict[str, tuple[str, ...]]) -> BuildRow:
        now_ms = self.clock.now_ms()
        streams_by_build: defaultdict[str, bytearray] = defaultdict(bytearray)
        latest = tuple(self._saved_by_stream.items())[-SAVED_MAX:]
        for stream, saved in latest:
            if len(seen.get(saved.service, ())) != 1:
                age = int((now_ms - saved.begun_ms) // _AGE_UNIT_MS)
                streams_by_build[saved.build] += _STREAM.pack(stream, age)
        return BuildRow(
            self.clock.calendar_ms(),
            seen,
            {
                build: bytes(packed)
                for build, packed in streams_by_build.items()
            },
        )

    def _seen_by_service(self) -> dict[str, set[str]]:
        """Return the builds that streams under way may have begun at."""
        seen = self.builds.directory.builds_by_service(STREAM_MAX_MS)
        if self.clock.now_ms() < self._former_until_ms:
            for service, builds in self._former_by_service.items():
                seen.setdefault(service, set()).update(builds)
        return seen

    def _forget_older(self, oldest_ms: float) -> None:
        saved = self._saved_by_stream
        over = [
            stream for stream, one in saved.items() if one.begun_ms < oldest_ms
        ]
        for stream in over:
            saved.pop(stream)

    async def _read_recent(self, timeout_ms: float) -> StoredBuilds | None:
        """Return what the rows say; calls at the same time share one read."""
        if self.clock.now_ms() - self._read_ms <= READ_AGE_MAX_MS:
            return self._stored
        if self._reading is None:
            self._reading = asyncio.create_task(self._read())
        reading = self._reading
        try:
            async with self.clock.timeout_ms(timeout_ms):
                return await asyncio.shield(reading)
        except TimeoutError:
            return None

    async def _read(self) -> StoredBuilds | None:
        try:
            rows = await self._read_rows()
        finally:
            self._reading = None
        if rows is None:
            return None
        self._stored = StoredBuilds.from_rows(
            rows.values(), self.clock.calendar_ms()
        )
        self._read_ms = self.clock.now_ms()
        return self._stored

    async def _read_rows(self) -> dict[str, BuildRow] | None:
        """Return the valid rows by host; None if the store can't be read."""
        try:
            read = await self.store.read_rows(BUILD_TABLE)
        except StoreCallError as error:
            self.log.write('builds-not-read', detail=str(error))
            return None
        decoded = ((row.key, _decode(row)) for row in read.rows)
        return {host: row for host, row in decoded if row is not None}


def _decode(stored: StoredRow) -> BuildRow | None:
    try:
        row = msgspec.msgpack.decode(stored.payload or b'', type=BuildRow)
    except msgspec.MsgspecError as error:
        logging.warning('row of builds of %s is ignored: %s', stored.key, error)
        return None
    sizes = map(len, row.streams_by_build.values())
    return None if any(size % _STREAM.size for size in sizes) else row


def _join_builds(rows: Sequence[BuildRow]) -> dict[str, set[str]]:
    """Return the builds of each service that the rows of current hosts name.

    All entries write when builds come or go. A row that is older than the last
    such change is of a host that is gone.
    """
    newest_ms = max((row.written_ms for row in rows), default=0)
    joined: defaultdict[str, set[str]] = defaultdict(set)
    for row in rows:
        if row.written_ms >= newest_ms - ROWS_APART_MS:
            for service, builds in row.builds_by_service.items():
                joined[service].update(builds)
    return dict(joined)


def _unpack(row: BuildRow) -> Iterable[tuple[int, str, float]]:
    """Yield each stream with its build and the calendar time of its begin."""
    for build, packed in row.streams_by_build.items():
        for stream, age in _STREAM.iter_unpack(packed):
            yield stream, build, row.written_ms - age * _AGE_UNIT_MS
