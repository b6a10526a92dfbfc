"""Admission of requests to plain services, with a short fair queue.

A service answers at a bounded rate. More requests in flight only lengthen its
own queue, until all answers are late and it rejects requests. An entry keeps
the requests in flight within a limit that follows the latency, lets teams share
a short queue by weight, and refuses at once what would wait too long.

Where requests of several ranks compete, the more urgent leave the queue first.
A less urgent one that waits is refused as soon as those before it make it wait
too long.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.overload.concurrency_limit import ConcurrencyLimit
from bergamotthread.process.overload.fair_queue import FairQueue, QueuedWork
from bergamotthread.process.overload.rank import SINGLE_RANK, Rank
from bergamotthread.process.overload.rank_use import RankUse
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
    rank
        Rank of the request.
    """

    service: str
    team: str
    target_ms: float
    remaining_ms: float
    slots: int
    rank: Rank = SINGLE_RANK


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


# Whether the request was admitted; it was displaced if not.
_Waiter = asyncio.Future[bool]


@dataclass
class _ServiceGate:
    limit: ConcurrencyLimit
    slots: int
    ranks: RankUse
    in_flight: int = 0
    queues: dict[int, FairQueue[_Waiter]] = field(default_factory=dict)

    @property
    def has_room(self) -> bool:
        return self.in_flight < self.limit.slots

    @property
    def has_room_for_new(self) -> bool:
        return self.has_room and not self.queued

    @property
    def queued(self) -> int:
        """Return the number of requests that wait."""
        return sum(len(queue) for queue in self.queues.values())

    def queue(self, rank: Rank) -> FairQueue[_Waiter]:
        """Return the queue of a rank."""
        if rank.position not in self.queues:
            self.queues[rank.position] = FairQueue(_equal_weight)
            # The most urgent in front.
            self.queues = dict(sorted(self.queues.items()))
        return self.queues[rank.position]

    def expected_ms(self, rank: Rank, queued: QueuedWork[_Waiter]) -> float:
        """Return the expected time to the answer behind others that wait."""
        ahead = self.queue(rank).ahead_of(queued)
        ahead += sum(
            len(queue)
            for position, queue in self.queues.items()
            if position < rank.position
        )
        return (ahead + 1) * self.limit.interval_ms + self.limit.latency_ms

    def admit_next(self) -> None:
        """Admit the requests that wait, as far as there is room."""
        while self.queued and self.has_room:
            queue = next(filter(len, self.queues.values()))
            queued = queue.waiting[0]
            queue.start(queued)
            if not queued.work.done():
                self.in_flight += 1
                queued.work.set_result(True)

    def displace(self, rank: Rank, now_ms: float) -> None:
        """Refuse less urgent requests that now wait too long, newest first.

        Parameters
        ----------
        rank
            Rank of the request that was queued just now.
        """
        ahead = self.queued
        for position, queue in reversed(self.queues.items()):
            for queued in reversed(queue.waiting):
                start_ms = now_ms + ahead * self.limit.interval_ms
                ahead -= 1
                if position <= rank.position:
                    return
                if start_ms > queued.deadline_ms and not queued.work.done():
                    queue.remove(queued)
                    queued.work.set_result(False)


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
        rank = gate.ranks.offer(demand.rank)
        if gate.has_room_for_new or not demand.slots:
            gate.in_flight += 1
            gate.ranks.admit(demand.rank, rank)
            return None
        limit_ms = demand.target_ms * QUEUE_LIMIT_FRACTION
        wait_ms = limit_ms - gate.limit.latency_ms
        waiter: _Waiter = asyncio.get_running_loop().create_future()
        queue = gate.queue(rank)
        now_ms = self.clock.now_ms()
        queued = queue.prepare(waiter, demand.team, now_ms + wait_ms, cost=1)
        expected_ms = gate.expected_ms(rank, queued)
        if expected_ms > limit_ms:
            return self._refuse(gate, demand, expected_ms)
        queue.push(queued)
        gate.displace(rank, now_ms)
        if await self._wait(gate, queue, queued, wait_ms):
            gate.ranks.admit(demand.rank, rank)
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
        return sum(gate.queued for gate in self._gate_by_service.values())

    async def _wait(
        self,
        gate: _ServiceGate,
        queue: FairQueue[_Waiter],
        queued: QueuedWork[_Waiter],
        wait_ms: float,
    ) -> bool:
        """Return whether the request was admitted within the time."""
        try:
            async with self.clock.timeout_ms(max(wait_ms, 0)):
                return await queued.work
        except TimeoutError:
            return _give_up(queue, queued)
        except asyncio.CancelledError:
            if _give_up(queue, queued):
                gate.in_flight -= 1
                gate.admit_next()
            raise

    def _refuse(
        self, gate: _ServiceGate, demand: PlainDemand, expected_ms: float
    ) -> PlainRefused:
        limit_ms = demand.target_ms * QUEUE_LIMIT_FRACTION
        bounds = RetryAfterRange.from_remaining(
            RETRY_AFTER_MIN_MS, demand.remaining_ms
        )
        backlog_ms = gate.queued * gate.limit.interval_ms
        retry_after_ms = bounds.spread(
            max(expected_ms - limit_ms, 0), backlog_ms, self.rng
        )
        return PlainRefused(
            expected_ms,
            limit_ms,
            gate.queued,
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
            ranks = RankUse(self.clock, self.rng)
            gate = _ServiceGate(limit, demand.slots, ranks)
            self._gate_by_service[demand.service] = gate
        if not gate.slots:
            # The upstreams were not known before, so nothing was measured.
            gate.slots = demand.slots
            gate.limit.allowed = max(gate.limit.allowed, demand.slots)
        gate.limit.target_ms = demand.target_ms
        gate.limit.floor = max(fair_slots, 1)
        return gate


def _give_up(queue: FairQueue[_Waiter], queued: QueuedWork[_Waiter]) -> bool:
    """Leave the queue; return whether the request was admitted before."""
    if queued.work.done() and not queued.work.cancelled():
        return queued.work.result()
    if queued in queue.waiting:
        queue.remove(queued)
    return False
