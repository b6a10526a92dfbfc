"""Relays changes of the store's tables to other entries.

An entry serves the same feed call as the store, from the changes that it has
read, and adds how long ago the store confirmed them. Entries that follow it
use the same client as for the store.
"""

from __future__ import annotations

import asyncio
import base64
import zlib
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from urllib.parse import parse_qsl

import msgspec

from bergamotthread.clock import Clock
from bergamotthread.connection.http.caller_connection import (
    CallerConnection,
    CallerLimits,
    Exchange,
)
from bergamotthread.platform.store import (
    PACKED_FIELD,
    StoredRow,
    WireRow,
    WireRows,
)
from bergamotthread.platform.store_version import StoreVersion

FEED_PATH = b'/api/rows-feed'
# Changes of one table kept for other entries; a manifest takes 20 to 800 KB.
KEPT_CHANGES_MAX = 200
# Rows of at least this size are compressed for followers.
PACKED_BYTES_MIN = 4096
# Compressed rows that are kept, for the followers that ask one after the other.
_PACKED_ROWS_KEPT = 4
FEED_WAIT_MAX_MS = 10_000
_OK = 200
_BAD_REQUEST = 400
_GONE = 410


@dataclass
class TableHistory:
    """One table with its most recent changes, and when they were confirmed.

    All rows and changes are of one era of the store.

    Parameters
    ----------
    version
        Version of the store up to which the changes are complete.
    kept_after_version
        Version after which the changes are kept.
    confirmed_ms
        Boot clock time, which includes suspension, up to which all writes are
        known.
    is_direct
        Whether the latest changes came from the store itself.
    is_settled
        False while rows that the store acknowledged before it came back older
        may not have been written again.
    known_era
        Highest era of the store that this process has seen, which may be newer
        than that of the table.
    """

    clock: Clock
    version: StoreVersion = StoreVersion()
    kept_after_version: StoreVersion = StoreVersion()
    confirmed_ms: float = 0
    is_direct: bool = True
    is_settled: bool = True
    known_era: int = 0
    _row_by_key: dict[str, StoredRow] = field(default_factory=dict)
    _changes: deque[StoredRow] = field(default_factory=deque)
    _updated: asyncio.Event = field(default_factory=asyncio.Event)

    def note_era(self, era: int) -> None:
        """Tell waiting followers of an older era that there is a newer one."""
        self.known_era = era
        self._wake()

    def restart(
        self,
        rows: Iterable[StoredRow],
        version: StoreVersion,
        requested_ms: float,
        *,
        is_direct: bool,
    ) -> None:
        """Replace the table and drop the kept changes.

        Parameters
        ----------
        rows, version
            The whole table, and the version at which it was read.
        requested_ms
            Boot clock time at which the read was requested.
        is_direct
            Whether the table came from the store itself.
        """
        self._changes.clear()
        self._row_by_key = {row.key: row for row in rows}
        self.kept_after_version = version
        self.is_direct = is_direct
        self.version = version
        self._confirm(requested_ms)

    def add(
        self,
        rows: Iterable[StoredRow],
        version: StoreVersion,
        requested_ms: float,
        *,
        is_direct: bool,
    ) -> None:
        """Append changes; all writes up to `requested_ms` are then known.

        Changes of another era are dropped.

        Parameters
        ----------
        is_direct
            Whether the changes came from the store itself.
        """
        if version.era != self.version.era:
            return
        self.is_direct = is_direct
        for row in rows:
            self._row_by_key[row.key] = row
            if row.payload is None:
                self._row_by_key.pop(row.key)
            if len(self._changes) >= KEPT_CHANGES_MAX:
                self.kept_after_version = self._changes.popleft().version
            self._changes.append(row)
        self.version = max(version, self.version)
        self._confirm(requested_ms)

    async def changes_after(
        self,
        version: StoreVersion,
        wait_ms: float,
        *,
        is_packed: bool = False,
    ) -> WireRows | None:
        """Return the changes after a version, or the whole table.

        The table is whole if its era is newer than that of the version, or if
        the version is the start of its era.

        If there are none yet, wait up to `wait_ms`, but no longer than
        `FEED_WAIT_MAX_MS`, for the next confirmation, or for an era that is
        not known here yet. Return None if some of the changes are no longer
        kept, the table has not been read yet, or not in that era.
        The result has the age of the latest confirmation. It has no rows if
        only the number of a newer era is known here.

        Parameters
        ----------
        is_packed
            Whether to compress large rows.
        """
        if not self._can_follow(version):
            return None
        called_ms = self.clock.boot_ms()
        if self._lacks_news(version, wait_ms):
            await self._wait_for_era(
                version.era, min(wait_ms, FEED_WAIT_MAX_MS)
            )
        if not self._can_follow(version) or version.era > self.version.era:
            return None
        if self.known_era > max(version.era, self.version.era):
            return WireRows(era=self.known_era)
        is_whole = self._lacks_changes(version)
        rows = tuple(self._row_by_key.values())
        if not is_whole:
            rows = tuple(row for row in self._changes if row.version > version)
        now_ms = self.clock.boot_ms()
        return WireRows(
            tuple(_wire_row(row, is_packed=is_packed) for row in rows),
            self.version.number,
            age_ms=now_ms - self.confirmed_ms,
            waited_ms=now_ms - called_ms,
            is_direct=self.is_direct,
            era=self.version.era,
            is_whole=is_whole,
            is_settled=self.is_settled,
        )

    def _lacks_news(self, version: StoreVersion, wait_ms: float) -> bool:
        """Return whether a follower gains more from the next confirmation.

        The version rises with changes of other tables. A confirmation older
        than the follower's wait is too old for it.
        """
        if version >= self.version:
            return True
        if self._lacks_changes(version):
            return False
        has_rows = any(row.version > version for row in self._changes)
        is_recent = self.clock.boot_ms() - self.confirmed_ms < wait_ms
        return not has_rows and not is_recent

    def _can_follow(self, version: StoreVersion) -> bool:
        if not self.version.number:
            return False
        is_same_era = version.era == self.version.era
        return (
            not is_same_era
            or version >= self.kept_after_version
            or self._lacks_changes(version)
        )

    def _lacks_changes(self, version: StoreVersion) -> bool:
        return version.era < self.version.era or not version.number

    async def _wait_for_era(self, era: int, wait_ms: float) -> None:
        """Wait for the next confirmation in an era or a later one."""
        try:
            async with self.clock.timeout_ms(wait_ms):
                await self._updated.wait()
                while self.version.era < era:
                    await self._updated.wait()
        except TimeoutError:
            return

    def _confirm(self, requested_ms: float) -> None:
        self.confirmed_ms = max(requested_ms, self.confirmed_ms)
        self._wake()

    def _wake(self) -> None:
        event = self._updated
        self._updated = asyncio.Event()
        event.set()


MessageAnswer = Callable[[bytes, bytes], bytes | None]


@dataclass
class RelayedFeedServer:
    """Serves the feed call, and takes messages, of other entries.

    Parameters
    ----------
    answer_by_path
        Functions that answer messages, by path, from the method and the body;
        None if a message is invalid.
    """

    clock: Clock
    history_by_table: dict[str, TableHistory]
    connections: set[CallerConnection] = field(default_factory=set)
    limits: CallerLimits = CallerLimits()
    is_draining: bool = False
    answer_by_path: Mapping[bytes, MessageAnswer] = field(default_factory=dict)

    async def answer(self, exchange: Exchange) -> None:
        """Answer one feed call, or a message of another entry.

        The status is 404 if the path or the table is unknown or the version
        is not a number, and 410 if `TableHistory.changes_after` returns None.
        A call that names no era is of an entry that knows of none: its status
        is 410 once the store has come back older.
        """
        path, _, query = exchange.request.target.partition(b'?')
        answer_message = self.answer_by_path.get(path)
        if answer_message is not None:
            request = exchange.request
            body = answer_message(request.method, request.body)
            status = _BAD_REQUEST if body is None else _OK
            exchange.respond(status, (), body or b'')
            return
        fields = dict(parse_qsl(query.decode('latin-1')))
        history = self.history_by_table.get(fields.get('table', ''))
        after = fields.get('after', '')
        if path != FEED_PATH or history is None or not after.isdigit():
            exchange.respond(404, ())
            return
        wait_ms = fields.get('wait_ms', '0')
        era = fields.get('era', '')
        changes = await history.changes_after(
            StoreVersion(int(era) if era.isdigit() else 0, int(after)),
            float(wait_ms) if wait_ms.isdigit() else 0,
            is_packed=PACKED_FIELD in fields,
        )
        if changes is None or (changes.era and not era):
            exchange.respond(_GONE, ())
            return
        exchange.respond(200, (), msgspec.json.encode(changes))


def _wire_row(row: StoredRow, *, is_packed: bool) -> WireRow:
    number = row.version.number
    if row.payload is None:
        return WireRow(row.key, deleted=True, ver=number)
    if is_packed and len(row.payload) >= PACKED_BYTES_MIN:
        return WireRow(
            row.key, encoded=_pack(row.payload), ver=number, is_packed=True
        )
    encoded = base64.b64encode(row.payload).decode()
    return WireRow(row.key, encoded=encoded, ver=number)


@lru_cache(maxsize=_PACKED_ROWS_KEPT)
def _pack(payload: bytes) -> str:
    return base64.b64encode(zlib.compress(payload)).decode()
