"""Polling of the platform's host list, shared by a region's entries."""

from __future__ import annotations

from collections.abc import Callable

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.errors import StoreUnavailableError
from bergamotthread.process.routing.subset import top_nodes
from bergamotthread.process.store.platform import HostEntry, HostList
from bergamotthread.wire.messages import DrainNotice

READER_INTERVAL_MS = 1000
NON_READER_INTERVAL_MS = 10_000
READERS_PER_REGION = 3
LEAVING_DEADLINE_MS = 60_000

HostsListener = Callable[[tuple[HostEntry, ...]], None]


class HostWatch:
    """Polls the host list and sends drain notices to hosts that are leaving.

    Three entries of a region, chosen by rendezvous hashing, poll every second,
    the others every ten seconds. Hosts of the own region are notified. A notice
    is repeated with each poll until the host is no longer listed, so a lost
    notice only costs one interval.

    Parameters
    ----------
    transport
        Sends the notices.
    clock
        Clock of the process.
    region
        Own region.
    host_list
        The platform's host list.
    region_entries
        Returns the responsive entries of the own region.
    """

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        region: str,
        host_list: HostList,
        region_entries: Callable[[], tuple[str, ...]],
    ) -> None:
        self._transport = transport
        self._clock = clock
        self._region = region
        self._host_list = host_list
        self._region_entries = region_entries
        self._listeners: list[HostsListener] = []

    def add_listener(self, listener: HostsListener) -> None:
        """Call `listener` with each list that is read."""
        self._listeners.append(listener)

    def interval_ms(self) -> int:
        """Return the time to the next read."""
        readers = top_nodes(
            {self._transport.address, *self._region_entries()},
            self._region,
            READERS_PER_REGION,
        )
        if self._transport.address in readers:
            return READER_INTERVAL_MS
        return NON_READER_INTERVAL_MS

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            await self.read_once()
            await self._clock.sleep_ms(self.interval_ms())

    async def read_once(self) -> None:
        """Read the list once; an outage of the platform changes nothing."""
        try:
            hosts = await self._host_list.hosts()
        except StoreUnavailableError:
            return
        for listener in self._listeners:
            listener(hosts)
        for host in hosts:
            if host.leaving and host.region == self._region:
                self._notify(host)

    def _notify(self, host: HostEntry) -> None:
        if host.address != self._transport.address:
            notice = DrainNotice(
                draining=True,
                reason='host is leaving',
                deadline_ms=LEAVING_DEADLINE_MS,
            )
            self._transport.send(host.address, notice)
