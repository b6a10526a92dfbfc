"""Execution of the orders that the gate admits, at the engine."""

from __future__ import annotations

import asyncio

from bergamotthread.connection.engine_client import (
    EngineClient,
    EngineRefusedError,
)
from bergamotthread.connection.transport import Transport
from bergamotthread.errors import Step
from bergamotthread.process.orders.order_gate import EngineControl, OrderGate
from bergamotthread.process.store.platform import Table
from bergamotthread.wire.messages import Envelope, Order


class EngineOrders(EngineControl):
    """Forwards orders to an engine client."""

    def __init__(self, engine: EngineClient) -> None:
        self._engine = engine

    async def execute(self, order: Order) -> None:
        """Execute an order.

        Raises
        ------
        EngineRefusedError
            If the engine refuses the order's fence.
        EngineLostError
            If the engine does not answer.
        """
        accepted = await self._engine.order(
            order.action,
            order.pin,
            order.fence,
        )
        if not accepted:
            raise EngineRefusedError(
                f'engine refused fence {order.fence}',
                step=Step.ORDER,
            )


class OrderInbox:
    """Executes and answers orders that arrive at an agent."""

    def __init__(
        self,
        transport: Transport,
        engine: EngineClient,
        table: Table,
        region: str,
    ) -> None:
        self._transport = transport
        self._gate = OrderGate(table, region, EngineOrders(engine))
        self._tasks: set[asyncio.Task[None]] = set()

    def on_message(self, envelope: Envelope) -> None:
        """Handle an order; other messages are ignored."""
        if isinstance(envelope.message, Order):
            answer = self._answer(envelope.sender, envelope.message)
            task = asyncio.create_task(answer)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _answer(self, sender: str, order: Order) -> None:
        reply = await self._gate.handle_order(order)
        self._transport.send(sender, reply)
