"""Polling of the platform's host list by an agent for its own host."""

from __future__ import annotations

from collections.abc import Callable

import xxhash

from bergamotthread.clock import Clock
from bergamotthread.errors import StoreUnavailableError
from bergamotthread.process.drain.drain_state import DrainState
from bergamotthread.process.store.platform import HostList

MIN_INTERVAL_MS = 1000
AGENT_READS_PER_S = 200
_MS_PER_S = 1000


class OwnHostWatch:
    """Drains the agent when the host list shows its host as leaving.

    The entries of the region notify the agent as well; this does not depend on
    them. All agents together read at most `AGENT_READS_PER_S` times a second,
    so each of up to that many agents can read every second.

    Parameters
    ----------
    host_list
        The platform's host list.
    address
        Address of the agent in the host list.
    drain
        Drain state of the agent.
    clock
        Clock of the process.
    agent_count
        Returns the number of agents in the published version; 0 if unknown.
    """

    def __init__(
        self,
        host_list: HostList,
        address: str,
        drain: DrainState,
        clock: Clock,
        agent_count: Callable[[], int],
    ) -> None:
        self._host_list = host_list
        self._address = address
        self._drain = drain
        self._clock = clock
        self._agent_count = agent_count

    def interval_ms(self) -> float:
        """Return the time to the next read."""
        fleet_interval_ms = self._agent_count() * _MS_PER_S / AGENT_READS_PER_S
        return max(MIN_INTERVAL_MS, fleet_interval_ms)

    async def run(self) -> None:
        """Poll the list until cancelled.

        The first read is delayed by up to `MIN_INTERVAL_MS`, depending on the
        address. This spreads the reads of all agents over that time.
        """
        phase = xxhash.xxh32_intdigest(self._address.encode()) / 2**32
        await self._clock.sleep_ms(phase * MIN_INTERVAL_MS)
        while True:
            await self.read_once()
            await self._clock.sleep_ms(self.interval_ms())

    async def read_once(self) -> None:
        """Read the list; an outage or an unlisted host changes nothing."""
        try:
            hosts = await self._host_list.hosts()
        except StoreUnavailableError:
            return
        for host in hosts:
            if host.address == self._address:
                self._drain.apply_leaving(leaving=host.leaving)
