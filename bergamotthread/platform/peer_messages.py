"""Short messages from one entry to others."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from absl import logging

from bergamotthread.connection.http.fetch import FetchRequest, fetch
from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.process.relay.feed_sources import EntryRecord

# Entries that are told at the same time.
TELL_CONCURRENCY_MAX = 16
TELL_TIMEOUT_MS = 300
_OK = 200


@dataclass(frozen=True)
class PeerMessages:
    """Sends messages to the address at which an entry serves other entries."""

    pool: UpstreamPool

    async def tell(
        self, entries: Sequence[EntryRecord], path: bytes, encoded: bytes
    ) -> list[EntryRecord]:
        """Send a message to entries; return those that did not accept it."""
        return await self.tell_each(path, [(one, encoded) for one in entries])

    async def tell_each(
        self, path: bytes, messages: Sequence[tuple[EntryRecord, bytes]]
    ) -> list[EntryRecord]:
        """Send each entry its message; return those that did not accept it."""
        failed: list[EntryRecord] = []
        for start in range(0, len(messages), TELL_CONCURRENCY_MAX):
            part = messages[start : start + TELL_CONCURRENCY_MAX]
            answers = await asyncio.gather(
                *(self.send(entry, path, encoded) for entry, encoded in part)
            )
            failed.extend(
                entry
                for (entry, _), answer in zip(part, answers, strict=True)
                if answer is None
            )
        return failed

    async def ask(self, entry: EntryRecord, path: bytes) -> bytes | None:
        """Return an entry's answer to a question; None if there is none."""
        return await self._send(entry, FetchRequest(b'GET', path))

    async def send(
        self, entry: EntryRecord, path: bytes, encoded: bytes
    ) -> bytes | None:
        """Return an entry's answer to a message; None if there is none."""
        return await self._send(entry, FetchRequest(b'POST', path, encoded))

    async def _send(
        self, entry: EntryRecord, request: FetchRequest
    ) -> bytes | None:
        """Return the body of an entry's answer; None unless it accepted."""
        try:
            fetched = await fetch(
                self.pool, entry.address, request, TELL_TIMEOUT_MS
            )
        except ConnectionError as error:
            logging.debug('entry %s not reached: %s', entry.host, error)
            return None
        return fetched.body if fetched.status == _OK else None
