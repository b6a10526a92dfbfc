"""Tells other entries at which builds streams began, and asks them.

A caller that lost its entry takes its stream up at another one. An entry tells
two others of each stream that it begins, chosen by a hash of the stream's
request so that any entry knows whom to ask: one of its region, since callers
stay there, and one of another region, since a region may be lost. While all
upstreams of a service have had one build for as long as a stream may last,
there is nothing to tell.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import chain, islice
from typing import Annotated

import msgspec
from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.platform.build_rows import BuildRows
from bergamotthread.platform.peer_messages import PeerMessages
from bergamotthread.platform.relayed_feed import MessageAnswer
from bergamotthread.platform.store import PlatformStoreClient
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.feed_sources import EntryRecord, FeedSources
from bergamotthread.process.relay.hash_ring import HashRing
from bergamotthread.process.relay.stream_builds import (
    STREAM_MAX_MS,
    TOLD,
    KnownBuild,
    StreamBuilds,
)
from bergamotthread.process.relay.upstreams import UpstreamDirectory
from bergamotthread.request.relay.build_source import BuildSource

BUILDS_PATH = b'/api/builds'
# Pause before a message, so that it has the streams that begin together.
TELL_INTERVAL_MS = 50
# Streams in one message. Further ones follow in the next.
TOLD_MAX = 512
# Entries that are told of a stream, and that are asked of each of the two
# orders.
HOLDERS = 2
ASKED_MAX = 3
# Time for the answers of the entries that are asked.
ASK_TIMEOUT_MS = 250
# Time for which an entry that did not accept a message is passed over.
FAILED_MS = 3000
# Time for the store's answer where no entry knows.
READ_TIMEOUT_MS = 400
_MS_PER_S = 1000


_AT_MOST_TOLD = msgspec.Meta(max_length=TOLD_MAX)
_Streams = Annotated[tuple[int, ...], _AT_MOST_TOLD]


class _Told(msgspec.Struct, frozen=True, array_like=True, tag=True):
    streams_by_build: dict[str, _Streams]


class _Asked(msgspec.Struct, frozen=True, array_like=True, tag=True):
    service: str
    stream: int


class _Found(msgspec.Struct, frozen=True, array_like=True):
    build: str
    source: str


@dataclass(frozen=True, slots=True)
class _Begun:
    service: str
    build: str
    begun_ms: float


_decoder = msgspec.msgpack.Decoder(_Told | _Asked)


@dataclass
class BuildRelay(BuildSource):
    """Exchanges the builds of streams with other entries."""

    peers: PeerMessages
    feeds: FeedSources
    builds: StreamBuilds
    rows: BuildRows
    _begun_by_service: defaultdict[str, dict[int, _Begun]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    _has_begun: asyncio.Event = field(default_factory=asyncio.Event)
    _failed_ms_by_host: dict[str, float] = field(default_factory=dict)
    _rings: _Rings | None = None

    @classmethod
    def from_directory(
        cls,
        peers: PeerMessages,
        feeds: FeedSources,
        directory: UpstreamDirectory,
        store: PlatformStoreClient,
        log: DecisionLog,
    ) -> BuildRelay:
        """Return a relay of the builds of a directory's upstreams."""
        builds = StreamBuilds(directory.clock, directory)
        rows = BuildRows(store, builds, feeds, log)
        return cls(peers, feeds, builds, rows)

    @property
    def clock(self) -> Clock:
        """Return the clock of the process."""
        return self.builds.clock

    def tell(self, service: str, stream: int, build: str) -> None:
        """Tell other entries of a stream that begins here, if needed."""
        self._add(stream, _Begun(service, build, self.clock.now_ms()))
        self.rows.save(service, stream, build)

    async def find(self, service: str, stream: int) -> KnownBuild | None:
        """Return the build at which a stream began, or None if unknown.

        What an entry was told outweighs what an entry concludes from the
        service having a single build. The conclusion of another one counts only
        if this one has seen no other build either. What all entries forgot, as
        they ended at once, is in the store.
        """
        known = self.builds.get(stream)
        if known is not None or self.builds.is_ambiguous(stream):
            return known
        found = await self._ask(service, stream)
        told = next((one for one in found if TOLD in one.source), None)
        if told is not None:
            self.builds.record(stream, told.build, told.source)
            return told
        single = self.builds.single(service) or self._concluded(service, found)
        if single is not None:
            return single
        stored = await self.rows.find(service, stream, READ_TIMEOUT_MS)
        if stored is not None:
            self.builds.record(stream, stored.build, stored.source)
        return stored

    @property
    def answer_by_path(self) -> dict[bytes, MessageAnswer]:
        """Return what answers the messages of other entries."""
        return {BUILDS_PATH: self.answer}

    def answer(self, method: bytes, body: bytes) -> bytes | None:
        """Answer a message of another entry; None if it is invalid."""
        try:
            message = _decoder.decode(body)
        except msgspec.MsgspecError as error:
            logging.debug('message on builds is invalid: %s', error)
            return None
        match message:
            case _Told(streams_by_build):
                self._record_told(streams_by_build)
                return b''
            case _Asked(service, stream):
                return self._answer_asked(service, stream)

    async def run(self) -> None:
        """Tell other entries of the streams that begin here, and the store."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._tell_untold())
            group.create_task(self.rows.run())

    async def _tell_untold(self) -> None:
        while True:
            await self._has_begun.wait()
            await self.clock.sleep_ms(TELL_INTERVAL_MS)
            await self._tell_all(self._next_untold())
            if not any(self._begun_by_service.values()):
                self._has_begun.clear()

    def _add(self, stream: int, begun: _Begun) -> None:
        self._begun_by_service[begun.service][stream] = begun
        self._has_begun.set()

    def _concluded(
        self, service: str, found: Iterable[KnownBuild]
    ) -> KnownBuild | None:
        seen = self.builds.directory.builds_since(service, STREAM_MAX_MS)
        return next((one for one in found if seen <= {one.build}), None)

    def _record_told(
        self, streams_by_build: dict[str, tuple[int, ...]]
    ) -> None:
        for build, streams in streams_by_build.items():
            for stream in streams:
                self.builds.record(stream, build, TOLD)

    def _answer_asked(self, service: str, stream: int) -> bytes:
        known = self.builds.get(stream)
        if known is not None:
            return msgspec.msgpack.encode(_Found(known.build, TOLD))
        single = self.builds.single(service)
        if single is None:
            return b''
        return msgspec.msgpack.encode(_Found(single.build, single.source))

    def _next_untold(self) -> dict[int, _Begun]:
        """Remove and return streams that have to be told now.

        Those of services with a single build wait until another build appears
        or they are over.
        """
        untold: dict[int, _Begun] = {}
        oldest_ms = self.clock.now_ms() - STREAM_MAX_MS
        for service, begun_by_stream in self._begun_by_service.items():
            _forget_older(begun_by_stream, oldest_ms)
            if self.builds.single(service) is None:
                streams = list(islice(begun_by_stream, TOLD_MAX))
                for stream in streams:
                    untold[stream] = begun_by_stream.pop(stream)
        return untold

    async def _tell_all(self, untold: dict[int, _Begun]) -> None:
        """Tell the holders of each stream; again if one is not reached."""
        streams_by_holder: defaultdict[EntryRecord, list[int]] = defaultdict(
            list
        )
        for stream in untold:
            for holder in self._holders(stream):
                streams_by_holder[holder].append(stream)
        messages = [
            (entry, msgspec.msgpack.encode(_told(streams, untold)))
            for entry, streams in streams_by_holder.items()
        ]
        for failed in await self.peers.tell_each(BUILDS_PATH, messages):
            self._failed_ms_by_host[failed.host] = self.clock.now_ms()
            for stream in streams_by_holder[failed]:
                self._add(stream, untold[stream])

    def _holders(self, stream: int) -> list[EntryRecord]:
        """Return the entries to be told: in the region, and in another."""
        rings = self._current_rings()
        nearby = self._usable(rings.region_first(stream))
        usable = list(self._usable(rings.walk_all(stream)))
        elsewhere = (
            entry for entry in usable if entry.region != self.feeds.own_region
        )
        ordered = chain(islice(nearby, 1), islice(elsewhere, 1), usable)
        return list(islice(dict.fromkeys(ordered), HOLDERS))

    def _usable(self, entries: Iterable[EntryRecord]) -> Iterator[EntryRecord]:
        """Yield the entries that were not unreachable lately."""
        now_ms = self.clock.now_ms()
        for entry in entries:
            failed_ms = self._failed_ms_by_host.get(entry.host, -FAILED_MS)
            if now_ms - failed_ms >= FAILED_MS:
                yield entry

    async def _ask(self, service: str, stream: int) -> list[KnownBuild]:
        """Return what the entries that may have been told know."""
        rings = self._current_rings()
        entries = {
            entry.host: entry
            for entry in (
                *islice(rings.region_first(stream), ASKED_MAX),
                *islice(rings.walk_all(stream), ASKED_MAX),
            )
        }
        if not entries:
            return []
        encoded = msgspec.msgpack.encode(_Asked(service, stream))
        tasks = [
            asyncio.create_task(self._ask_one(entry, encoded))
            for entry in entries.values()
        ]
        return await self._first_told(tasks)

    async def _first_told(
        self, tasks: Sequence[asyncio.Task[KnownBuild | None]]
    ) -> list[KnownBuild]:
        """Return the answers, up to the first of an entry that was told."""
        found: list[KnownBuild] = []
        pending = set(tasks)
        end_ms = self.clock.now_ms() + ASK_TIMEOUT_MS
        while pending and not any(TOLD in one.source for one in found):
            remaining_ms = max(end_ms - self.clock.now_ms(), 0)
            answered, pending = await asyncio.wait(
                pending,
                timeout=remaining_ms / _MS_PER_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not answered:
                break
            found.extend(known for task in answered if (known := task.result()))
        for task in pending:
            task.cancel()
        return found

    async def _ask_one(
        self, entry: EntryRecord, encoded: bytes
    ) -> KnownBuild | None:
        answer = await self.peers.send(entry, BUILDS_PATH, encoded)
        if not answer:
            return None
        try:
            found = msgspec.msgpack.decode(answer, type=_Found)
        except msgspec.MsgspecError as error:
            logging.debug('answer of %s is invalid: %s', entry.host, error)
            return None
        return KnownBuild(found.build, f'{found.source} {entry.host}')

    def _current_rings(self) -> _Rings:
        others = self.feeds.others()
        if self._rings is None or self._rings.entries != others:
            self._rings = _Rings(others, self.feeds.own_region)
        return self._rings


class _Rings:
    """Other entries in the orders of a stream's key."""

    def __init__(self, entries: list[EntryRecord], region: str) -> None:
        self.entries = entries
        self._by_host = {entry.host: entry for entry in entries}
        self._all = HashRing(self._by_host)
        self._region = HashRing(
            entry.host for entry in entries if entry.region == region
        )

    def walk_all(self, stream: int) -> Iterator[EntryRecord]:
        """Yield all other entries, preferred ones first."""
        return self._walk(self._all, stream)

    def region_first(self, stream: int) -> Iterator[EntryRecord]:
        """Yield the other entries of the region, preferred ones first."""
        return self._walk(self._region, stream)

    def _walk(self, ring: HashRing, stream: int) -> Iterator[EntryRecord]:
        for host in ring.walk(b'%d' % stream):
            yield self._by_host[host]


def _told(streams: Iterable[int], untold: dict[int, _Begun]) -> _Told:
    streams_by_build: defaultdict[str, list[int]] = defaultdict(list)
    for stream in streams:
        streams_by_build[untold[stream].build].append(stream)
    return _Told(
        {build: tuple(told) for build, told in streams_by_build.items()}
    )


def _forget_older(begun: dict[int, _Begun], oldest_ms: float) -> None:
    while begun:
        stream, first = next(iter(begun.items()))
        if first.begun_ms >= oldest_ms:
            return
        begun.pop(stream)
