"""Changes of the store's tables, passed on to other entries.

An entry answers the store's own call for changes from the rows that it has
seen, with the age of its proof; an entry that asks it needs no other client.
"""

from __future__ import annotations

import asyncio
import base64
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

import msgspec

from bergamotthread.clock import Clock
from bergamotthread.connection.http.caller_connection import (
    CallerConnection,
    CallerLimits,
    Exchange,
)
from bergamotthread.platform.store import StoredRow, WireRow, WireRows

FEED_PATH = b'/api/rows-feed'
# Changes that an entry keeps for others; a manifest takes some 20 KB.
KEPT_CHANGES_MAX = 200
WAIT_MAX_MS = 10_000
_GONE = 410


@dataclass
class TableHistory:
    """Latest changes of one table, and how current they are."""

    clock: Clock
    version: int = 0
    oldest: int = 0
    confirmed_ms: float = 0
    is_direct: bool = True
    _changes: deque[StoredRow] = field(default_factory=deque)
    _news: asyncio.Event = field(default_factory=asyncio.Event)

    def restart(self, version: int, asked_ms: float) -> None:
        """Forget the changes before a version, up to which all is known."""
        self._changes.clear()
        self.oldest = version
        self.is_direct = True
        self._confirm(version, asked_ms)

    def add(
        self,
        rows: Iterable[StoredRow],
        version: int,
        asked_ms: float,
        is_direct: bool,
    ) -> None:
        """Take in changes; all is known that was written by `asked_ms`.

        Parameters
        ----------
        is_direct
            Whether the store itself told them.
        """
        self.is_direct = is_direct
        for row in rows:
            if len(self._changes) >= KEPT_CHANGES_MAX:
                self.oldest = self._changes.popleft().version
            self._changes.append(row)
        self._confirm(version, asked_ms)

    async def changes_after(
        self,
        version: int,
        wait_ms: float,
    ) -> WireRows | None:
        """Return changes and their age with the next proof, or none if lost.

        A change that is there already is returned at once.
        """
        if version < self.oldest or not self.version:
            return None
        news = self._news
        if version >= self.version:
            await _wait(news, min(wait_ms, WAIT_MAX_MS), self.clock)
        if version < self.oldest:
            return None
        rows = tuple(
            _wire(row) for row in self._changes if row.version > version
        )
        age_ms = self.clock.boot_ms() - self.confirmed_ms
        return WireRows(
            rows,
            self.version,
            age_ms=age_ms,
            is_direct=self.is_direct,
        )

    def _confirm(self, version: int, asked_ms: float) -> None:
        self.version = max(version, self.version)
        self.confirmed_ms = max(asked_ms, self.confirmed_ms)
        news = self._news
        self._news = asyncio.Event()
        news.set()


@dataclass
class RelayedFeedServer:
    """Answers other entries' calls for changes."""

    clock: Clock
    history_by_table: dict[str, TableHistory]
    connections: set[CallerConnection] = field(default_factory=set)
    limits: CallerLimits = CallerLimits()
    is_draining: bool = False

    async def answer(self, exchange: Exchange) -> None:
        """Answer one call."""
        path, _, query = exchange.request.target.partition(b'?')
        asked = dict(parse_qsl(query.decode('latin-1')))
        history = self.history_by_table.get(asked.get('table', ''))
        after = asked.get('after', '')
        if path != FEED_PATH or history is None or not after.isdigit():
            exchange.respond(404, ())
            return
        wait_ms = asked.get('wait_ms', '0')
        changes = await history.changes_after(
            int(after),
            float(wait_ms) if wait_ms.isdigit() else 0,
        )
        if changes is None:
            exchange.respond(_GONE, ())
            return
        exchange.respond(200, (), msgspec.json.encode(changes))


async def _wait(news: asyncio.Event, wait_ms: float, clock: Clock) -> None:
    try:
        async with clock.timeout_ms(wait_ms):
            await news.wait()
    except TimeoutError:
        return


def _wire(row: StoredRow) -> WireRow:
    if row.payload is None:
        return WireRow(row.key, deleted=True, ver=row.version)
    encoded = base64.b64encode(row.payload).decode()
    return WireRow(row.key, encoded=encoded, ver=row.version)
