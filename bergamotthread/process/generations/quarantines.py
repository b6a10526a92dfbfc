"""Synchronises quarantines between peers, the table and the audit trail."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.errors import StoreUnavailableError
from bergamotthread.process.generations.quarantine_store import (
    QuarantineAuditSink,
    QuarantinePublisher,
)
from bergamotthread.process.poison.guard import PoisonGuard
from bergamotthread.process.store.platform import Table
from bergamotthread.wire.messages import Envelope, Quarantine

QUARANTINE_FLUSH_INTERVAL_MS = 1000


class Quarantines:
    """Sends counted deaths to peers and stores quarantines in the table.

    `guard` is set once, before `run` is called.
    """

    def __init__(
        self,
        transport: Transport,
        table: Table,
        audit: QuarantineAuditSink,
        peers: Callable[[], tuple[str, ...]],
        clock: Clock,
    ) -> None:
        self.guard: PoisonGuard | None = None
        self.publisher = QuarantinePublisher(
            clock,
            transport,
            table,
            audit,
            peers,
        )
        self._clock = clock
        self._is_loaded = False

    async def run(self) -> None:
        """Synchronise with peers and the table until cancelled."""
        while True:
            await self._clock.sleep_ms(QUARANTINE_FLUSH_INTERVAL_MS)
            if self.guard is not None:
                self.publisher.flush(self.guard)
            with contextlib.suppress(StoreUnavailableError):
                await self._synchronise()

    def on_message(self, envelope: Envelope) -> None:
        """Apply counted deaths or a quarantine from a peer."""
        if isinstance(envelope.message, Quarantine) and self.guard:
            self.guard.merge(envelope.sender, envelope.message)

    async def _synchronise(self) -> None:
        if not self._is_loaded and self.guard is not None:
            await self.publisher.load(self.guard)
            self._is_loaded = True
        await self.publisher.save()
