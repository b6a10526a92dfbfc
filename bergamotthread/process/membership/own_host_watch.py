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
        """Return the time between two reads."""
        fleet_interval_ms = self._agent_count() * _MS_PER_S / AGENT_READS_PER_S
        return max(MIN_INTERVAL_MS, fleet_interval_ms)

    def delay_ms(self) -> float:
        """Return the time to the next read.

        Each agent has a slot of its own in every interval of the calendar, by
        its address. Agents that start or learn of a version together therefore
        do not read together. A slot that is nearly due counts as used.
        """
        interval_ms = self.interval_ms()
        phase = xxhash.xxh32_intdigest(self._address.encode()) / 2**32
        slot_ms = phase * interval_ms
        past_ms = (self._clock.calendar_ms() - slot_ms) % interval_ms
        delay_ms = interval_ms - past_ms
        # The calendar may step back, and counts whole milliseconds.
        is_same_slot = delay_ms < MIN_INTERVAL_MS / 2
        return delay_ms + interval_ms if is_same_slot else delay_ms

    async def run(self) -> None:
        """Poll the list until cancelled, once the number of agents is known."""
        while True:
            has_slot = self._agent_count() > 0
            await self._clock.sleep_ms(self.delay_ms())
            if has_slot:
                await self.read_once()

    async def read_once(self) -> None:
        """Read the list; an outage or an unlisted host changes nothing."""
        try:
            hosts = await self._host_list.hosts()
        except StoreUnavailableError:
            return
        for host in hosts:
            if host.address == self._address:
                self._drain.apply_leaving(leaving=host.leaving)
