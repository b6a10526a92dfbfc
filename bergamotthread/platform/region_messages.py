"""Messages from one entry to all others, over one entry of each region."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from bergamotthread.platform.peer_messages import PeerMessages
from bergamotthread.process.relay.feed_sources import EntryRecord, FeedSources

# Entries of another region that are tried until one accepts a message.
REGION_ATTEMPTS_MAX = 3


@dataclass(frozen=True)
class RegionMessages:
    """Tells the own region directly, and one entry of each other region.

    That entry passes the message on to its region with `tell_region`.
    """

    peers: PeerMessages
    feeds: FeedSources
    rng: random.Random

    async def tell_all(
        self, path: bytes, encoded: bytes, forwarded: bytes
    ) -> tuple[int, int]:
        """Tell all entries.

        Parameters
        ----------
        encoded, forwarded
            Message to entries of the own region, and to those that pass it on.

        Returns
        -------
        tuple of int
            Entries of the own region, and other regions, that were not told.
        """
        regions = self.feeds.entries_by_other_region().values()
        failed, are_told = await asyncio.gather(
            self.tell_region(path, encoded),
            asyncio.gather(
                *(self._tell_one(path, one, forwarded) for one in regions)
            ),
        )
        return failed, are_told.count(False)

    async def tell_region(self, path: bytes, encoded: bytes) -> int:
        """Tell the entries of the own region; return how many were not told."""
        entries = self.feeds.local_entries()
        return len(await self.peers.tell(entries, path, encoded))

    async def _tell_one(
        self, path: bytes, entries: list[EntryRecord], encoded: bytes
    ) -> bool:
        """Tell one entry of another region; return whether one accepted."""
        tried = self.rng.sample(entries, min(len(entries), REGION_ATTEMPTS_MAX))
        for entry in tried:
            if not await self.peers.tell((entry,), path, encoded):
                return True
        return False
