"""CPU time of the entry's hot paths, in one process without a network.

Run ``python -m benchmarks.relay_cost``; it prints one line per operation.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.connection.http.messages import AnswerPart, encode_chunk
from bergamotthread.connection.http.upstream_connection import (
    UpstreamConnection,
)
from bergamotthread.process.relay.choice import (
    RelayPlacementRequest,
    UpstreamChoice,
)
from bergamotthread.process.relay.upstreams import (
    UpstreamDirectory,
    UpstreamRecord,
    UpstreamState,
)
from bergamotthread.request.relay.events import EventSplitter

UPSTREAM_COUNTS = (18, 320, 12_000)
DECISIONS = 300
EVENTS = 5000
DOMAINS = 37
_US_PER_S = 1_000_000
_HEAD = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
    b'transfer-encoding: chunked\r\n\r\n'
)


@dataclass(frozen=True)
class Cost:
    """CPU time of one operation in microseconds."""

    name: str
    us: float


def directory_of(count: int, clock: Clock) -> UpstreamDirectory:
    """Return a directory of `count` ready upstreams in all failure domains."""
    directory = UpstreamDirectory(clock)
    for number in range(count):
        directory.update(
            UpstreamRecord(
                instance=f'u{number}',
                service='model',
                address=f'10.{number // 65_536}.{number // 256 % 256}'
                f'.{number % 256}:80',
                failure_domain=f'd{number % DOMAINS}',
                state=UpstreamState.READY,
            ),
        )
    return directory


def decision_cost(count: int) -> Cost:
    """Return the cost of choosing an upstream for a prompt."""
    clock = Clock.from_system()
    directory = directory_of(count, clock)
    choice = UpstreamChoice(directory, 'd0', {}, random.Random(1))
    requests = [
        RelayPlacementRequest(
            'model', prompt_tokens=8000, affinity=b'%d' % number
        )
        for number in range(DECISIONS)
    ]
    choice.draw_candidates(requests[0])

    def decide() -> None:
        for request in requests:
            cheapest(choice, request)

    return Cost(f'decision, {count} upstreams', _us(decide) / DECISIONS)


def cheapest(choice: UpstreamChoice, work: RelayPlacementRequest) -> None:
    """Draw candidates and compare their costs."""
    costs_ms = [
        choice.cost_ms(candidate, work)
        for candidate in choice.draw_candidates(work)
    ]
    min(costs_ms)


def change_cost(count: int) -> Cost:
    """Return the cost of removing an upstream and adding it again."""
    directory = directory_of(count, Clock.from_system())
    upstream = directory.get('u7')

    def change() -> None:
        if upstream is not None:
            directory.remove('u7')
            directory.update(upstream.record)

    return Cost(f'upstream replaced, {count} upstreams', _us(change))


def event_cost() -> Cost:
    """Return the cost of parsing, splitting and encoding one event."""
    return Cost('event relayed', asyncio.run(_relay_events()) / EVENTS)


async def _relay_events() -> float:
    clock = Clock.from_system()
    connection = UpstreamConnection('a:1', clock, b'x-id')
    connection.connection_made(asyncio.Transport())
    connection._is_waiting = True
    connection.data_received(_HEAD)
    await connection.receive(0)
    chunks = [
        encode_chunk(b'id: %d\ndata: %b\n\n' % (number, b't' * 150))
        for number in range(EVENTS)
    ]
    splitter = EventSplitter()
    started_s = time.process_time()
    for chunk in chunks:
        connection.data_received(chunk)
        arrived = await connection.receive(0)
        if isinstance(arrived, AnswerPart):
            for event in splitter.feed(arrived.payload):
                encode_chunk(event.payload)
    return (time.process_time() - started_s) * _US_PER_S


def _us(work: Callable[[], None]) -> float:
    started_s = time.process_time()
    work()
    return (time.process_time() - started_s) * _US_PER_S


def costs() -> list[Cost]:
    """Return all costs."""
    return [
        event_cost(),
        *(decision_cost(count) for count in UPSTREAM_COUNTS),
        *(change_cost(count) for count in UPSTREAM_COUNTS),
    ]


if __name__ == '__main__':
    for cost in costs():
        print(f'{cost.name}: {cost.us:.1f} us')
