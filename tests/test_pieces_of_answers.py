"""Work for an answer does not grow with the number of its pieces."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace

from bergamotthread.clock import Clock
from bergamotthread.connection.event_buffer import EVENT_BYTES_MAX
from bergamotthread.connection.http.caller_connection import Exchange
from bergamotthread.connection.http.messages import AnswerPart, encode_chunk
from bergamotthread.connection.http.upstream_connection import (
    READ_BYTES_MAX,
    UpstreamConnection,
)
from bergamotthread.request.relay.attempt import (
    ROOM_CHECK_MS,
    BufferedResponse,
)
from bergamotthread.request.relay.events import EventSplitter
from bergamotthread.request.relay.outcomes import OutOfTime
from bergamotthread.request.relay.stream_relay import (
    EVENTS_PER_TURN,
    PARTIAL_BYTES_MIN,
)
from bergamotthread.testing.memory_http import run_in_memory
from standins.platform_runner import MODEL
from tests.test_unframed_answers import _chunked_head, _endless, _start

PIECE_BYTES = 45
# Rule CONFIG: requests are answered half a second after their limit at most.
HELD_UP_MAX_S = 0.5
HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'


# Guards against: an entry that stands still for seconds over one answer, as
# each piece of an event without an end is searched together with all before.
def test_longest_event_in_small_pieces_is_read_in_linear_time():
    splitter = EventSplitter()
    piece = b'x' * PIECE_BYTES
    started_s = time.process_time()
    for _ in range(EVENT_BYTES_MAX // PIECE_BYTES):
        splitter.feed(piece)
    assert time.process_time() - started_s < HELD_UP_MAX_S


# Guards against: an item with its own memory and work for each small chunk.
def test_pieces_that_arrive_together_are_one_part():
    async def check():
        connection = UpstreamConnection('a:1', Clock.from_system(), b'x-id')
        connection.connection_made(asyncio.Transport())
        connection._is_waiting = True
        connection.data_received(HEAD)
        await connection.receive(0)
        pieces = READ_BYTES_MAX // len(encode_chunk(b'x'))
        connection.data_received(encode_chunk(b'x') * pieces)
        part = await connection.receive(0)
        assert part == AnswerPart(b'x' * pieces)

    asyncio.run(check())


# Guards against: other calls that wait while a long row of events is relayed.
def test_row_of_events_does_not_hold_up_other_calls(monkeypatch):
    row = 10 * EVENTS_PER_TURN
    events = b''.join(b'id: %d\n\n' % number for number in range(1, row + 1))
    events_by_turn = [0]
    write = Exchange.write

    def counted_write(exchange, payload):
        if not events_by_turn[-1]:
            asyncio.get_running_loop().call_soon(events_by_turn.append, 0)
        events_by_turn[-1] += payload.count(b'id: ')
        write(exchange, payload)

    def serve(runner, transport, received):
        chunk = encode_chunk(events)
        transport.write(_chunked_head(received) + chunk + b'0\r\n\r\n')

    async def check():
        deployment, raw = await _start(serve, MODEL, others=0)
        monkeypatch.setattr(Exchange, 'write', counted_write)
        answer = await deployment.call('/stream/x')
        assert answer.event_ids == list(range(1, row + 1))
        assert sum(events_by_turn) == row
        assert max(events_by_turn) <= EVENTS_PER_TURN

    run_in_memory(check())


class _EndlessAttempt:
    """Attempt whose next part has always arrived."""

    is_receiving = True

    def __init__(self, clock: Clock) -> None:
        self.parts = SimpleNamespace(clock=clock)
        exchange = SimpleNamespace(hold=lambda _: None, has_room=False)
        self.call = SimpleNamespace(exchange=exchange)
        self.read_bytes = 0

    async def receive(self, timeout_ms: float) -> AnswerPart:
        self.read_bytes += READ_BYTES_MAX
        return AnswerPart(b'x' * READ_BYTES_MAX)


# Guards against: answers without end that are read beyond the time and the
# memory for all answers, each up to what one answer may take.
def test_answer_without_end_is_read_no_longer_than_its_timeout():
    async def check():
        clock = Clock.from_loop(asyncio.get_running_loop())
        attempt = _EndlessAttempt(clock)
        outcome = await BufferedResponse(attempt).read(100)
        assert outcome == OutOfTime()
        assert clock.now_ms() <= 100 + ROOM_CHECK_MS
        assert attempt.read_bytes <= READ_BYTES_MAX

    run_in_memory(check())


# Guards against: incomplete events that nobody counts, up to the longest one
# for each stream.
def test_incomplete_events_are_bounded_in_all():
    memory_bytes = 4 * PARTIAL_BYTES_MIN
    held_bytes = []

    async def check():
        script = _endless(_chunked_head, encode_chunk(b'x' * 2048))
        deployment, _ = await _start(script, MODEL, others=0)
        held = deployment.entries[0]._use.held
        held.limit_bytes = memory_bytes
        calls = [
            asyncio.create_task(
                deployment.call(
                    f'/stream/{number}', method=b'POST', remaining_ms=3000
                )
            )
            for number in range(8)
        ]
        while not all(call.done() for call in calls):
            held_bytes.append(held.total_bytes)
            await deployment.clock.sleep_ms(5)
        assert any(
            'and no memory' in event['detail']
            for event in deployment.events('attempt')
        )
        assert held.total_bytes == 0

    run_in_memory(check())
    largest = 8 * PARTIAL_BYTES_MIN + EVENT_BYTES_MAX
    assert memory_bytes < max(held_bytes) <= largest
