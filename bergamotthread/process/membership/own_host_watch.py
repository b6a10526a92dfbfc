"""An agent's own reading of what the platform says of its host."""

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
    """Drains the agent when the platform's list shows its host as leaving.

    The entries of the region tell the agent as well; this reading needs none
    of them. All agents together read at most `AGENT_READS_PER_S` times a
    second, so with up to that many agents each reads every second.

    Parameters
    ----------
    host_list
        The platform's list.
    address
        Address of the agent, as the list names it.
    drain
        Drain of the agent.
    clock
        Clock of the process.
    agent_count
        Returns how many agents the published version names; 0 if unknown.
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
        share_ms = self._agent_count() * _MS_PER_S / AGENT_READS_PER_S
        return max(MIN_INTERVAL_MS, share_ms)

    async def run(self) -> None:
        """Read the list until cancelled, the agents spread over an interval."""
        spread = xxhash.xxh32_intdigest(self._address.encode()) / 2**32
        await self._clock.sleep_ms(spread * MIN_INTERVAL_MS)
        while True:
            await self.read_once()
            await self._clock.sleep_ms(self.interval_ms())

    async def read_once(self) -> None:
        """Read the list; an outage or a missing entry changes nothing."""
        try:
            hosts = await self._host_list.hosts()
        except StoreUnavailableError:
            return
        for host in hosts:
            if host.address == self._address:
                self._drain.apply_leaving(leaving=host.leaving)
