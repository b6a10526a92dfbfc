"""Orders to the engines of a region, sent by its lease holder."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.process.orders.region_lease import RegionLease
from bergamotthread.process.overload.byte_budget import ByteBudget
from bergamotthread.version.objects import Model, Upstream
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Envelope, Order, OrderReply, Pin

ORDERS_TICK_MS = 2000
REPLY_TIMEOUT_MS = 120_000
# Time after a refusal until the agent may get another order. A refusal follows
# from an outage of the table or of the engine, which takes some seconds.
REFUSED_PAUSE_MS = 10_000
ORDERS_PER_TICK = 20


class OrderAction(enum.StrEnum):
    """Action on a pin that an order requests from the engine."""

    LOAD = 'load'
    UNLOAD = 'unload'


@dataclass(frozen=True)
class WeightStoreRate:
    """Rate limit of one region for loads from the weight store, in bytes."""

    bytes_per_s: float = 2_000_000_000
    burst_bytes: float = 200_000_000_000


@dataclass(frozen=True)
class PlannedOrder:
    """Order that is due, with the bytes to load."""

    agent: str
    action: OrderAction
    pin: Pin
    load_bytes: int = 0


@dataclass(frozen=True)
class _PendingOrder:
    order: PlannedOrder
    name: str
    expires_ms: float


LoadedPins = Mapping[str, frozenset[Pin]]
OrderListener = Callable[[str, Order], None]


def plan_orders(
    upstreams: Sequence[Upstream],
    models_by_name: Mapping[str, Model],
    loaded_by_agent: LoadedPins,
    demand_by_pin: Mapping[Pin, float],
    busy: frozenset[str],
) -> tuple[PlannedOrder, ...]:
    """Return at most one order per upstream, most needed first.

    Parameters
    ----------
    upstreams
        Published upstreams of the region, with the pins that each should run.
    models_by_name
        Published models.
    loaded_by_agent
        Pins that each agent's engine has reported as loaded.
    demand_by_pin
        Demand for each pin, in requests per second.
    busy
        Agents whose last order is still pending.

    Returns
    -------
    tuple of PlannedOrder
        In order of falling demand per upstream that has the pin loaded.
    """
    loaded_counts = _count_loaded(loaded_by_agent)
    ranked = []
    for upstream in upstreams:
        if upstream.agent in busy:
            continue
        loaded = loaded_by_agent.get(upstream.agent, frozenset())
        order = _next_order(upstream, models_by_name, loaded, demand_by_pin)
        if order is not None:
            demand = demand_by_pin.get(order.pin, 0)
            need = demand / (1 + loaded_counts.get(order.pin, 0))
            ranked.append((-need, order.agent, order))
    ranked.sort(key=lambda ranked_order: ranked_order[:2])
    return tuple(order for _, _, order in ranked)


def _count_loaded(loaded_by_agent: LoadedPins) -> dict[Pin, int]:
    counts: dict[Pin, int] = {}
    for pins in loaded_by_agent.values():
        for pin in pins:
            counts[pin] = counts.get(pin, 0) + 1
    return counts


def _next_order(
    upstream: Upstream,
    models_by_name: Mapping[str, Model],
    loaded: frozenset[Pin],
    demand_by_pin: Mapping[Pin, float],
) -> PlannedOrder | None:
    missing = [pin for pin in upstream.models if pin not in loaded]
    if missing:
        pin = max(
            missing, key=lambda candidate: demand_by_pin.get(candidate, 0)
        )
        model = models_by_name.get(pin.model)
        load_bytes = model.load_bytes if model else 0
        return PlannedOrder(upstream.agent, OrderAction.LOAD, pin, load_bytes)
    excess = sorted(
        loaded.difference(upstream.models),
        key=lambda pin: (pin.model, pin.version, pin.adapter),
    )
    if excess:
        return PlannedOrder(upstream.agent, OrderAction.UNLOAD, excess[0])
    return None


class RegionOrders:
    """Sends the orders of a region while this process holds its lease.

    Parameters
    ----------
    transport
        Sends the orders.
    clock
        Clock of the process.
    region
        The region.
    lease
        Lease of the region.
    rate
        Rate limit of the region for loads from the weight store.
    demand
        Returns the demand for each pin, in requests per second.
    on_order
        Called with the agent and the order for each order that is sent.
    """

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        region: str,
        lease: RegionLease,
        rate: WeightStoreRate,
        demand: Callable[[], Mapping[Pin, float]],
        on_order: OrderListener | None = None,
    ) -> None:
        self._transport = transport
        self._clock = clock
        self._region = region
        self._lease = lease
        self._demand = demand
        self._on_order = on_order
        self._load_budget = ByteBudget(
            rate.bytes_per_s, rate.burst_bytes, clock.now_ms()
        )
        self._upstreams: tuple[Upstream, ...] = ()
        self._models_by_name: Mapping[str, Model] = {}
        self._fence = 0
        self._number = 0
        self._loaded_by_agent: dict[str, frozenset[Pin]] = {}
        self._sent_by_agent: dict[str, _PendingOrder] = {}

    def apply_version(self, version: PublishedVersion) -> None:
        """Apply a published version."""
        self._models_by_name = version.models_by_name
        self._upstreams = tuple(
            upstream
            for upstream in version.upstreams_by_agent.values()
            if version.region_of(upstream) == self._region
        )

    async def run(self) -> None:
        """Send orders that are due until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep_ms(ORDERS_TICK_MS)

    def tick(self) -> None:
        """Send the orders that are due, if the lease is held.

        At most `ORDERS_PER_TICK` are sent, as far as the rate limit allows.
        """
        if not self._lease.is_valid():
            return
        if self._lease.fence != self._fence:
            self._reset_term()
        self._expire_unanswered()
        due = plan_orders(
            self._upstreams,
            self._models_by_name,
            self._loaded_by_agent,
            self._demand(),
            frozenset(self._sent_by_agent),
        )
        for order in due[:ORDERS_PER_TICK]:
            if not self._send(order):
                return

    def on_message(self, envelope: Envelope) -> None:
        """Handle a reply to an order; other messages are ignored.

        A reply with a newer fence ends the own term.
        """
        match envelope.message:
            case OrderReply(fence=fence) as reply if fence == self._fence:
                self._apply_reply(envelope.sender, reply)
            case OrderReply(fence=fence) if fence > self._lease.fence:
                self._lease.give_up()

    def _reset_term(self) -> None:
        """Discard the state of an earlier term; agents report it again."""
        self._fence = self._lease.fence
        self._loaded_by_agent.clear()
        self._sent_by_agent.clear()

    def _expire_unanswered(self) -> None:
        now_ms = self._clock.now_ms()
        for agent, sent in tuple(self._sent_by_agent.items()):
            if now_ms >= sent.expires_ms:
                self._sent_by_agent.pop(agent)

    def _send(self, order: PlannedOrder) -> bool:
        now_ms = self._clock.now_ms()
        if not self._load_budget.try_spend(order.load_bytes, now_ms):
            return False
        self._number += 1
        message = Order(
            order=f'{self._region}/{self._fence}/{self._number}',
            fence=self._fence,
            action=order.action,
            pin=order.pin,
            region=self._region,
            number=self._number,
        )
        if not self._lease.is_valid():
            return False
        self._transport.send(order.agent, message)
        if self._on_order is not None:
            self._on_order(order.agent, message)
        self._sent_by_agent[order.agent] = _PendingOrder(
            order, message.order, now_ms + REPLY_TIMEOUT_MS
        )
        return True

    def _apply_reply(self, agent: str, reply: OrderReply) -> None:
        sent = self._sent_by_agent.get(agent)
        if sent is None or reply.order != sent.name:
            return
        if not reply.accepted:
            expires_ms = self._clock.now_ms() + REFUSED_PAUSE_MS
            self._sent_by_agent[agent] = replace(sent, expires_ms=expires_ms)
            return
        self._sent_by_agent.pop(agent)
        loaded = self._loaded_by_agent.get(agent, frozenset())
        match sent.order.action:
            case OrderAction.LOAD:
                self._loaded_by_agent[agent] = loaded | {sent.order.pin}
            case OrderAction.UNLOAD:
                self._loaded_by_agent[agent] = loaded - {sent.order.pin}
