"""Admission of requests to plain services, with a short fair queue.

A service answers at a bounded rate. More requests in flight only lengthen its
own queue, until all answers are late and it rejects requests. An entry keeps
the requests in flight within a limit that follows the latency, lets teams share
a short queue by weight, and refuses at once what would wait too long.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.overload.concurrency_limit import ConcurrencyLimit
from bergamotthread.process.overload.fair_queue import FairQueue, QueuedWork
from bergamotthread.process.overload.retry_after import RetryAfterRange

# Fraction of the target within which a request must be expected to be answered
# if it waits in the queue.
QUEUE_LIMIT_FRACTION = 0.6
RETRY_AFTER_MIN_MS = 50.0


@dataclass(frozen=True, slots=True)
class PlainDemand:
    """A request that asks to be sent.

    Parameters
    ----------
    target_ms
        Target for the answer.
    remaining_ms
        Time until the caller's deadline.
    slots
        Requests that the service's upstreams run at a time; 0 if no upstream
        is known, as just after a start. Such a request is not held back here.
    """

    service: str
    team: str
    target_ms: float
    remaining_ms: float
    slots: int


@dataclass(frozen=True, slots=True)
class PlainRefused:
    """The request would wait too long in the queue.

    Parameters
    ----------
    expected_ms
        Expected time to the answer.
    queued, in_flight, allowed
        Requests of this entry that wait and that were sent, and the limit on
        the latter.
    """

    expected_ms: float
    limit_ms: float
    queued: int
    in_flight: int
    allowed: int
    retry_after_ms: int


def _equal_weight(team: str) -> float:
    return 1


_Waiter = asyncio.Future[None]


@dataclass
class _ServiceGate:
    limit: ConcurrencyLimit
    slots: int
    in_flight: int = 0
    queue: FairQueue[_Waiter] = field(
        default_factory=lambda: FairQueue(_equal_weight)
    )

    @property
    def has_room(self) -> bool:
        return self.in_flight < self.limit.slots

    @property
    def has_room_for_new(self) -> bool:
        return self.has_room and not len(self.queue)

    def expected_ms(self, ahead: int) -> float:
        """Return the expected time to the answer behind others that wait."""
        limit = self.limit
        return (ahead + 1) * limit.interval_ms + limit.latency_ms

    def admit_next(self) -> None:
        """Admit the requests that wait, as far as there is room."""
        while len(self.queue) and self.has_room:
            queued = self.queue.waiting[0]
            self.queue.start(queued)
            if not queued.work.done():
                self.in_flight += 1
                queued.work.set_result(None)


@dataclass
class PlainGate:
    """Limits the requests of this entry that are in flight at each service.

    Parameters
    ----------
    count_entries
        Returns the number of entries that share the services.
    """

    clock: Clock
    rng: random.Random
    count_entries: Callable[[], int]
    _gate_by_service: dict[str, _ServiceGate] = field(default_factory=dict)

    async def enter(self, demand: PlainDemand) -> PlainRefused | None:
        """Wait until a request may be sent; return a refusal if it may not.

        `leave` must be called once for each request that may be sent.
        """
        gate = self._gate(demand)
        if gate.has_room_for_new or not demand.slots:
            gate.in_flight += 1
            return None
        limit_ms = demand.target_ms * QUEUE_LIMIT_FRACTION
        wait_ms = limit_ms - gate.limit.latency_ms
        waiter: _Waiter = asyncio.get_running_loop().create_future()
        queued = gate.queue.prepare(
            waiter, demand.team, self.clock.now_ms() + wait_ms, cost=1
        )
        expected_ms = gate.expected_ms(gate.queue.ahead_of(queued))
        if expected_ms > limit_ms:
            return self._refuse(gate, demand, expected_ms)
        gate.queue.push(queued)
        if await self._wait(gate, queued, wait_ms):
            return None
        return self._refuse(gate, demand, expected_ms)

    def leave(self, service: str, latency_ms: float | None) -> None:
        """Release the place of a request.

        Parameters
        ----------
        latency_ms
            Time from the send to the complete answer; None without an answer.
        """
        gate = self._gate_by_service[service]
        if latency_ms is not None:
            gate.limit.record(latency_ms, gate.in_flight)
        gate.in_flight -= 1
        gate.admit_next()

    def record_rejection(self, service: str) -> None:
        """Record that an upstream had no room for a request."""
        self._gate_by_service[service].limit.record_rejection()

    def queued(self) -> int:
        """Return the number of requests that wait."""
        return sum(len(gate.queue) for gate in self._gate_by_service.values())

    async def _wait(
        self, gate: _ServiceGate, queued: QueuedWork[_Waiter], wait_ms: float
    ) -> bool:
        """Return whether the request was admitted within the time."""
        try:
            async with self.clock.timeout_ms(max(wait_ms, 0)):
                await queued.work
        except TimeoutError:
            return self._give_up(gate, queued)
        except asyncio.CancelledError:
            if self._give_up(gate, queued):
                gate.in_flight -= 1
                gate.admit_next()
            raise
        return True

    def _give_up(self, gate: _ServiceGate, queued: QueuedWork[_Waiter]) -> bool:
        """Leave the queue; return whether the request was admitted before."""
        if queued.work.done() and not queued.work.cancelled():
            return True
        if queued in gate.queue.waiting:
            gate.queue.remove(queued)
        return False

    def _refuse(
        self, gate: _ServiceGate, demand: PlainDemand, expected_ms: float
    ) -> PlainRefused:
        limit_ms = demand.target_ms * QUEUE_LIMIT_FRACTION
        bounds = RetryAfterRange.from_remaining(
            RETRY_AFTER_MIN_MS, demand.remaining_ms
        )
        backlog_ms = len(gate.queue) * gate.limit.interval_ms
        retry_after_ms = bounds.spread(
            max(expected_ms - limit_ms, 0), backlog_ms, self.rng
        )
        return PlainRefused(
            expected_ms,
            limit_ms,
            len(gate.queue),
            gate.in_flight,
            gate.limit.slots,
            retry_after_ms,
        )

    def _gate(self, demand: PlainDemand) -> _ServiceGate:
        gate = self._gate_by_service.get(demand.service)
        fair_slots = demand.slots / max(self.count_entries(), 1)
        if gate is None:
            limit = ConcurrencyLimit(
                demand.target_ms,
                floor=max(fair_slots, 1),
                allowed=max(demand.slots, 1),
            )
            gate = _ServiceGate(limit, demand.slots)
            self._gate_by_service[demand.service] = gate
        if not gate.slots:
            # The upstreams were not known before, so nothing was measured.
            gate.slots = demand.slots
            gate.limit.allowed = max(gate.limit.allowed, demand.slots)
        gate.limit.target_ms = demand.target_ms
        gate.limit.floor = max(fair_slots, 1)
        return gate
