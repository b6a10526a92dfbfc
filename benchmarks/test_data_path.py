"""Relay of an entry: number of writes, and CPU cost against a baseline.

`python -m benchmarks.data_path` measures real processes; these tests give the
same result on every run.
"""

from __future__ import annotations

import asyncio

from benchmarks.relay_loop import baseline, relay
from bergamotthread.clock import Clock
from bergamotthread.process.generations.output_flusher import OutputFlusher
from bergamotthread.request.output_buffer import OutputBuffer
from bergamotthread.testing.memory_network import MemoryNetwork
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.wire.messages import Dispatch, Pin

STREAMS = 240
FLUSHES = 20
ATTEMPTS = 5
# The target of 25,000 tokens/s allows 1e6 / 25,000 = 40 us per event; the
# baseline takes about 2 us.
MAX_BASELINES = 20


def test_one_body_for_each_flush_and_stream() -> None:
    """Each flush of a stream is written to the caller once."""
    counts = asyncio.run(relay(STREAMS, FLUSHES))
    assert counts.frames == STREAMS * FLUSHES
    assert counts.bodies == counts.frames


def test_tokens_that_wait_leave_in_one_body() -> None:
    """Flushes that arrive before the stream's task runs are sent as one."""
    counts = asyncio.run(relay(STREAMS, FLUSHES, batches_at_once=4))
    assert counts.bodies == counts.frames / 4


def test_relay_costs_bounded_multiple_of_baseline() -> None:
    """The least of several ratios counts; other load only increases them."""
    ratios = [
        asyncio.run(relay(STREAMS, FLUSHES)).cpu_s / baseline(STREAMS, FLUSHES)
        for _ in range(ATTEMPTS)
    ]
    assert min(ratios) < MAX_BASELINES


def test_flusher_waits_for_output_or_interval() -> None:
    """New output ends the wait at once; without output the interval does."""

    async def check() -> None:
        clock = Clock.from_loop(asyncio.get_running_loop())
        transport = MemoryNetwork().transport('agent', 1)
        flusher = OutputFlusher(transport, clock)
        dispatch = Dispatch('g', 1, Pin('m', 'v1'), 'p', (), 9, 1000)
        buffer = OutputBuffer.from_dispatch(dispatch, 'entry', 0)
        started_ms = clock.now_ms()
        marking = asyncio.get_running_loop().call_later(
            0.004,
            flusher.mark,
            buffer,
        )
        await flusher.wait_marked(20)
        assert clock.now_ms() - started_ms < 5
        flusher.flush()
        await flusher.wait_marked(20)
        assert clock.now_ms() - started_ms >= 24
        marking.cancel()

    run_virtual(check())
