"""Runs the store stand-in as a process: `python -m soak.store_process`."""

from __future__ import annotations

import asyncio
import sys

from bergamotthread.clock import Clock
from soak.orders import StoreOrder, orders_of
from standins.platform_store import StoreStandIn

DONE = 'done'


async def _serve(address: str) -> None:
    store = StoreStandIn(Clock.from_system())
    await store.listen(address)
    async for order in orders_of(StoreOrder):
        _obey(store, order)
        if order.mark:
            now_ms = store.clock.now_ms()
            sys.stdout.write(f'{DONE} {order.mark} {now_ms:.1f}\n')
            sys.stdout.flush()


def _obey(store: StoreStandIn, order: StoreOrder) -> None:
    if order.table and order.row is None:
        store.remove(order.table, order.key)
        return
    if order.table:
        store.put(order.table, order.key, order.row)
        return
    store.status = order.status
    store.late_ms = order.late_ms
    store.loses_answers = order.loses_answers
    if order.forgets:
        store.forget_history()


if __name__ == '__main__':
    asyncio.run(_serve(sys.argv[1]))
