"""CPU time of receiving messages, compared with one task switch each.

Run ``pytest benchmarks/test_transport.py --benchmark-enable -s`` for the
figures.
"""

from __future__ import annotations

import asyncio
import time

import pytest
import zmq
from pytest_benchmark.fixture import BenchmarkFixture
from zmq import asyncio as zmq_asyncio

from bergamotthread.clock import Clock
from bergamotthread.connection.zmq_transport import ZmqTransport
from bergamotthread.process.settings import KeySettings, PlaceSettings
from bergamotthread.wire.codec import decode_envelope, encode_envelope
from bergamotthread.wire.messages import (
    Envelope,
    Frame,
    LoadReport,
    Message,
    OutputBatch,
)

MESSAGES = 4000
TOKENS_PER_S_TARGET = 25_000
STREAMS_PER_BATCH = 12
BURST = 500

_LOAD = LoadReport(running=12, kv_tokens=40_000, kv_capacity=200_000)


def _batch() -> OutputBatch:
    frames = tuple(
        Frame(f'generation-{stream:04}', 1, 1200, (' token',))
        for stream in range(STREAMS_PER_BATCH)
    )
    return OutputBatch(frames, _LOAD)


class _Arrivals:
    """Counts envelopes and sets `complete` at `total`."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.count = 0
        self.complete = asyncio.Event()

    def receive(self, envelope: Envelope) -> None:
        self.count += 1
        if self.count == self.total:
            self.complete.set()


async def _send_all(transport: ZmqTransport, peer: str) -> None:
    message: Message = _batch()
    for sent in range(MESSAGES):
        transport.send(peer, message)
        if sent % BURST == BURST - 1:
            await asyncio.sleep(0.005)


async def _receive_by_task(transport: ZmqTransport) -> float:
    arrivals = _Arrivals(MESSAGES)
    context = zmq_asyncio.Context()
    socket = context.socket(zmq.PULL)
    socket.rcvhwm = MESSAGES
    port = socket.bind_to_random_port('tcp://127.0.0.1')
    started_s = time.process_time()
    sending = asyncio.ensure_future(
        _send_all(transport, f'127.0.0.1:{port}'),
    )
    while arrivals.count < MESSAGES:
        arrivals.receive(decode_envelope(await socket.recv()))
    await sending
    spent_s = time.process_time() - started_s
    context.destroy(linger=0)
    return spent_s


async def _receive_by_drain(
    transport: ZmqTransport,
    receiver: ZmqTransport,
) -> float:
    arrivals = _Arrivals(MESSAGES)
    receiver.start(arrivals.receive)
    started_s = time.process_time()
    await _send_all(transport, receiver.address)
    await arrivals.complete.wait()
    return time.process_time() - started_s


def _transport() -> ZmqTransport:
    place = PlaceSettings('127.0.0.1:0', 'cuyo', 'cuyo-a')
    return ZmqTransport.from_settings(place, KeySettings(), Clock.from_system())


async def _compare() -> tuple[float, float]:
    sender, receiver = _transport(), _transport()
    drain_s = await _receive_by_drain(sender, receiver)
    task_s = await _receive_by_task(sender)
    sender.close()
    receiver.close()
    return drain_s, task_s


def test_drain_beats_task_switches(benchmark: BenchmarkFixture) -> None:
    """Draining the socket takes less CPU than one task switch a message."""
    rounds = [asyncio.run(_compare()) for _ in range(3)]
    drain_s = min(round_drain_s for round_drain_s, _ in rounds)
    task_s = min(round_task_s for _, round_task_s in rounds)
    tokens = MESSAGES * STREAMS_PER_BATCH
    benchmark.extra_info['tokens_per_cpu_s'] = tokens / drain_s
    benchmark.extra_info['messages_per_cpu_s'] = MESSAGES / drain_s
    benchmark.extra_info['by_tasks_messages_per_cpu_s'] = MESSAGES / task_s
    benchmark(lambda: encode_envelope(Envelope('a', 1, _batch())))
    assert drain_s < task_s


@pytest.mark.parametrize('target', [TOKENS_PER_S_TARGET])
def test_one_entry_holds_the_target(target: int) -> None:
    """One CPU second suffices to send and receive the target's tokens."""
    drain_s, _ = asyncio.run(_compare())
    assert MESSAGES * STREAMS_PER_BATCH / drain_s >= target
