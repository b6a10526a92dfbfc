"""Agent of a plain service."""

from __future__ import annotations

from bergamotthread.clock import Clock
from bergamotthread.connection.service_client import ServiceClient
from bergamotthread.connection.transport import Transport
from bergamotthread.process.calls.call_executor import CallExecutor
from bergamotthread.process.drain.drain_state import DrainState
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import DrainNotice, Envelope

MAINTENANCE_INTERVAL_MS = 250


class ServiceAgent:
    """Runs next to a plain service and sends each call attempt at most once."""

    def __init__(
        self,
        transport: Transport,
        client: ServiceClient,
        clock: Clock,
        *,
        checks_fencing: bool,
    ) -> None:
        self.drain = DrainState(clock, transport.address)
        self.executor = CallExecutor(
            transport,
            client,
            clock,
            checks_fencing=checks_fencing,
        )
        self._clock = clock

    async def run(self) -> None:
        """Serve until cancelled."""
        try:
            while True:
                await self._clock.sleep_ms(MAINTENANCE_INTERVAL_MS)
                self.refresh_drain()
        finally:
            await self.executor.close()

    def on_message(self, envelope: Envelope) -> None:
        """Handle a message from an entry."""
        match envelope.message:
            case DrainNotice() as notice:
                self.drain.apply_notice(notice)
                self.refresh_drain()
            case _:
                self.refresh_drain()
                self.executor.on_message(envelope)

    def held_by(self) -> tuple[str, ...]:
        """Return the work that must end before the host is safe to stop."""
        if self.executor.running:
            return (f'{self.executor.running} calls',)
        return ()

    def apply_version(self, published: PublishedVersion) -> None:
        """Apply the planned stops of a published version."""
        self.drain.apply_stops(published.object_set.stops)

    def refresh_drain(self) -> None:
        """Apply the current drain announcements to the executor."""
        self.executor.set_draining(not self.drain.may_dispatch())
        self.drain.refresh(self.executor.running)
