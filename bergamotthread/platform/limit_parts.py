"""Components that keep limits stated by upstreams over all entries."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.platform.lease_relay import LEASE_PATH, LeaseRelay, PeerView
from bergamotthread.platform.peer_messages import PeerMessages
from bergamotthread.platform.relayed_feed import MessageAnswer
from bergamotthread.process.relay.feed_sources import FeedSources
from bergamotthread.process.relay.request_limits import RequestLimits
from bergamotthread.process.shares.lease_exchange import (
    ExchangePolicy,
    LeaseExchange,
)
from bergamotthread.process.shares.leased_share import no_floor
from bergamotthread.process.shares.rate_usage import RateUsage
from bergamotthread.process.shares.share_home import LeaseTimes

# A lease outlives the failure of its home until another entry has noticed it.
# Entries hear of a lost one within 2 s, see `PeerView`.
LIMIT_LEASE_TIMES = LeaseTimes(lease_ms=3000, view_lag_ms=2000)
# A message and its answer, with the heads of HTTP.
LEASE_MESSAGE_BYTES = 300
LEASE_SHARE_BYTES = 60
# A home of one limit is asked 25 times a second at most: 5 KB/s.
WAITING_MS_PER_ENTRY = 40.0
LIMIT_POLICY = ExchangePolicy(
    LIMIT_LEASE_TIMES,
    tick_ms=250,
    renew_ms=1000,
    renew_urgent_ms=500,
    renew_waiting_ms=3000,
    message_bytes=LEASE_MESSAGE_BYTES,
    share_bytes=LEASE_SHARE_BYTES,
    waiting_ms_per_entry=WAITING_MS_PER_ENTRY,
    floor_fraction_of=no_floor,
)


@dataclass(frozen=True)
class LimitParts:
    """Limits of upstreams, with the exchange of their shares.

    Parameters
    ----------
    activities
        Return whether something else relies on the view of the other entries,
        which are checked only then.
    """

    limits: RequestLimits
    leases: LeaseExchange[RateUsage]
    relay: LeaseRelay
    activities: list[Callable[[], bool]] = field(default_factory=list)

    @classmethod
    def from_connections(
        cls,
        pool: UpstreamPool,
        feeds: FeedSources,
        own_address: str,
        rng: random.Random,
    ) -> LimitParts:
        """Return components that use the connections of an entry."""
        clock = pool.clock
        view = PeerView(feeds, own_address)
        started_ms = clock.calendar_ms()
        relay = LeaseRelay(clock, PeerMessages(pool), view, rng, started_ms)
        leases = LeaseExchange[RateUsage](relay, clock, view, LIMIT_POLICY)
        relay.start(leases.on_message)
        relay.use_homes(leases.home.home)
        return cls(RequestLimits(leases), leases, relay)

    async def run(self) -> None:
        """Renew leases until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.leases.run())
            group.create_task(self.relay.run(self._is_active))

    @property
    def answer_by_path(self) -> dict[bytes, MessageAnswer]:
        """Return what answers the messages of other entries."""
        return {LEASE_PATH: self.relay.answer}

    def _is_active(self) -> bool:
        is_granting = self.leases.home.is_granting
        is_leasing = is_granting or bool(self.leases.usage_by_name)
        return is_leasing or any(is_active() for is_active in self.activities)
