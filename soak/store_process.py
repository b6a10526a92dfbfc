"""Runs the store stand-in as a process: `python -m soak.store_process`."""

from __future__ import annotations

import asyncio
import sys
from collections import deque

from bergamotthread.clock import Clock
from soak.orders import StoreOrder, orders_of
from standins.platform_store import StoreStandIn

DONE = 'done'
RESTORED_AGE_MS_MAX = 10_000
_SAMPLE_MS = 50


class RestorableStore(StoreStandIn):
    """A store that returns to the state of some seconds ago."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._versions: deque[tuple[float, int]] = deque(
            maxlen=RESTORED_AGE_MS_MAX // _SAMPLE_MS,
        )

    async def sample(self) -> None:
        """Record the version over time until cancelled."""
        while True:
            self._versions.append((self.clock.now_ms(), self.ver))
            await self.clock.sleep_ms(_SAMPLE_MS)

    def restore_state_of(self, age_ms: float) -> None:
        """Return to the oldest recorded state that is younger than an age.

        A state that an earlier restoration discarded does not come back.
        """
        since_ms = self.clock.now_ms() - age_ms
        recent = [ver for at_ms, ver in self._versions if at_ms >= since_ms]
        self.restore(min(recent, default=self.ver))


async def _serve(address: str) -> None:
    store = RestorableStore(Clock.from_system())
    await store.listen(address)
    sampling = asyncio.create_task(store.sample())
    async for order in orders_of(StoreOrder):
        _obey(store, order)
        if order.mark:
            now_ms = store.clock.now_ms()
            sys.stdout.write(f'{DONE} {order.mark} {now_ms:.1f}\n')
            sys.stdout.flush()
    sampling.cancel()


def _obey(store: RestorableStore, order: StoreOrder) -> None:
    if order.table and order.row is None:
        store.remove(order.table, order.key)
        return
    if order.table:
        store.put(order.table, order.key, order.row)
        return
    if order.restored_age_ms:
        store.restore_state_of(order.restored_age_ms)
        return
    if order.forgets:
        store.forget_history()
        return
    store.status = order.status
    store.late_ms = order.late_ms
    store.loses_answers = order.loses_answers


if __name__ == '__main__':
    asyncio.run(_serve(sys.argv[1]))
