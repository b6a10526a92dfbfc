"""Components that recognise requests that crash upstreams, put together."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.platform.peer_messages import PeerMessages
from bergamotthread.platform.poison_relay import POISON_PATH, PoisonRelay
from bergamotthread.platform.poison_rows import PoisonRows
from bergamotthread.platform.relayed_feed import MessageAnswer
from bergamotthread.platform.store import PlatformStoreClient
from bergamotthread.process.relay.crash_watch import CrashWatch
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.feed_sources import FeedSources
from bergamotthread.process.relay.relay_metrics import RelayMetrics
from bergamotthread.process.relay.upstreams import UpstreamDirectory


@dataclass(frozen=True)
class CrashParts:
    """Watch on crashes, with the relay and the rows that share them."""

    watch: CrashWatch
    relay: PoisonRelay
    rows: PoisonRows

    @classmethod
    def from_connections(
        cls,
        pool: UpstreamPool,
        store: PlatformStoreClient,
        feeds: FeedSources,
        log: DecisionLog,
        metrics: RelayMetrics,
        rng: random.Random,
        directory: UpstreamDirectory,
    ) -> CrashParts:
        """Return components that use the connections of an entry."""
        clock = pool.clock
        relay = PoisonRelay(clock, PeerMessages(pool), feeds, log, metrics, rng)
        rows = PoisonRows(clock, store, relay, log)
        relay.rows = rows
        watch = CrashWatch(
            relay.guard, pool.reach, relay, log, metrics, directory
        )
        return cls(watch, relay, rows)

    @property
    def answer_by_path(self) -> dict[bytes, MessageAnswer]:
        """Return what answers the messages of other entries."""
        return {POISON_PATH: self.relay.answer}

    async def run(self) -> None:
        """Share crashes and quarantines until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.relay.run())
            group.create_task(self.rows.run())
