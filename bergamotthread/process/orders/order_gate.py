"""Gate of an agent that only admits orders with the newest fence."""

from __future__ import annotations

import abc
import asyncio

from bergamotthread.errors import BergamotError, StoreUnavailableError
from bergamotthread.process.orders.region_lease import decode_lease, lease_key
from bergamotthread.process.store.platform import Table
from bergamotthread.wire.messages import Order, OrderReply


class EngineControl(abc.ABC):
    """Executes orders at the engine beside an agent."""

    @abc.abstractmethod
    async def execute(self, order: Order) -> None:
        """Execute an order; repeating the same order is not an error.

        Raises
        ------
        BergamotError
            If the engine refuses the order or doesn't answer.
        """


class OrderGate:
    """Refuses orders with an outdated fence, for engines that ignore fences.

    The highest fence is read from the table again before each order, not only
    before the first, since another process may take over the lease while an
    order is being executed. If the table can't be read, no order is executed;
    traffic doesn't depend on orders.

    Parameters
    ----------
    table
        The platform's table.
    region
        Region of the agent.
    engine
        Executes the orders.
    """

    def __init__(
        self,
        table: Table,
        region: str,
        engine: EngineControl,
    ) -> None:
        self._table = table
        self._region = region
        self._engine = engine
        self._highest_fence = 0
        self._last_stamp = (0, 0)
        self._last_reply = OrderReply('', 0, accepted=False)
        self._lock = asyncio.Lock()

    async def handle_order(self, order: Order) -> OrderReply:
        """Execute or refuse an order; orders are handled one at a time.

        A repetition of the last accepted order gets the same reply without
        being executed again.
        """
        async with self._lock:
            stamp = (order.fence, order.number)
            if stamp == self._last_stamp:
                return self._last_reply
            reply = await self._check_and_execute(order)
            if reply.accepted:
                self._last_stamp = stamp
                self._last_reply = reply
            return reply

    async def _check_and_execute(self, order: Order) -> OrderReply:
        if order.region != self._region:
            return _refuse(order, order.fence, 'order of another region')
        try:
            await self._reread_fence()
        except StoreUnavailableError:
            return _refuse(order, order.fence, 'fence can not be read')
        if order.fence < self._highest_fence:
            reason = f'fence {order.fence} is below {self._highest_fence}'
            return _refuse(order, self._highest_fence, reason)
        if (order.fence, order.number) < self._last_stamp:
            return _refuse(order, order.fence, 'order is late')
        self._highest_fence = order.fence
        try:
            await self._engine.execute(order)
        except BergamotError as error:
            return _refuse(order, order.fence, str(error))
        return OrderReply(order.order, order.fence, accepted=True)

    async def _reread_fence(self) -> None:
        lease = decode_lease(await self._table.read(lease_key(self._region)))
        if lease is not None:
            self._highest_fence = max(self._highest_fence, lease.fence)


def _refuse(order: Order, fence: int, reason: str) -> OrderReply:
    return OrderReply(order.order, fence, accepted=False, reason=reason)
