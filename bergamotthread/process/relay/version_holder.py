"""Current version of the route table, which never moves backwards."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.version.route_table import RouteTable


@dataclass
class RouteTableHolder:
    """Holds the newest route table."""

    table: RouteTable | None = None
    _has_table: asyncio.Event = field(default_factory=asyncio.Event)

    def replace_if_newer(self, table: RouteTable) -> bool:
        """Replace the table if `table` is newer; return whether it was."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self._has_table.set()
        return True

    async def wait_for_table(self, clock: Clock, timeout_ms: float) -> None:
        """Wait for the first table, at most for `timeout_ms`."""
        try:
            async with clock.timeout_ms(timeout_ms):
                await self._has_table.wait()
        except TimeoutError:
            logging.debug(
                'no route table was loaded within %.0f ms', timeout_ms
            )
