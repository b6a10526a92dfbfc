"""Load process: agents with engines that put the time into each token.

Run by `benchmarks.data_path`. It prints the agents' addresses as one line, and
after SIGTERM the counts of what it sent.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from collections.abc import AsyncIterator

import click
import msgspec

from bergamotthread.clock import Clock
from bergamotthread.connection.engine_client import (
    EngineClient,
    EngineOutput,
    GenerateRequest,
)
from bergamotthread.connection.zmq_transport import ZmqTransport
from bergamotthread.process.agent import Agent, AgentConfig
from bergamotthread.process.settings import KeySettings, PlaceSettings
from bergamotthread.wire.codec import encode_envelope
from bergamotthread.wire.messages import (
    Envelope,
    LoadReport,
    Message,
    OutputBatch,
    Pin,
)

STAMP_MODULUS_US = 1_000_000_000
_LOAD = LoadReport(kv_capacity=10_000_000)


class LoadCounts(msgspec.Struct):
    """Counts of output that a load process sent to the entry."""

    tokens: int = 0
    batches: int = 0
    frames: int = 0
    batch_bytes: int = 0


def stamp_us() -> int:
    """Return the system's monotonic time in us, modulo `STAMP_MODULUS_US`."""
    return time.monotonic_ns() // 1000 % STAMP_MODULUS_US


class StampingEngine(EngineClient):
    """Engine that emits one token per sequence in each step.

    All tokens of a step are emitted at once, every `interval_ms`, as with
    continuous batching. A token is the time of its step in microseconds, from
    which the reader computes the latency. The first step comes after
    `phase_ms`, since engines on different hosts are not synchronized.
    """

    def __init__(
        self,
        interval_ms: float,
        phase_ms: float,
        clock: Clock,
    ) -> None:
        self._phase_ms = phase_ms
        self._interval_ms = interval_ms
        self._clock = clock
        self._queues: dict[str, asyncio.Queue[EngineOutput]] = {}

    async def run(self) -> None:
        """Step until cancelled; a late step does not delay later ones."""
        due_ms = self._clock.now_ms() + self._phase_ms
        while True:
            due_ms += self._interval_ms
            await self._clock.sleep_ms(max(0, due_ms - self._clock.now_ms()))
            output = EngineOutput(tokens=(f'{stamp_us():09} ',))
            for queue in self._queues.values():
                queue.put_nowait(output)

    async def generate(
        self,
        request: GenerateRequest,
    ) -> AsyncIterator[EngineOutput]:
        """Yield time-stamped tokens until the iterator is closed."""
        queue: asyncio.Queue[EngineOutput] = asyncio.Queue()
        self._queues[request.request_id] = queue
        try:
            while True:
                yield await queue.get()
        finally:
            self._queues.pop(request.request_id)

    async def load(self) -> LoadReport:
        """Return a constant load."""
        return _LOAD

    async def order(self, action: str, pin: Pin, fence: int) -> bool:
        """Accept every order."""
        return True


class CountingTransport(ZmqTransport):
    """Transport that counts the output batches that it sends."""

    counts: LoadCounts

    def send(self, peer: str, message: Message) -> None:
        """Count the message if it is an output batch, then send it."""
        if isinstance(message, OutputBatch):
            envelope = Envelope(self.address, self.incarnation, message)
            self.counts.batches += 1
            self.counts.frames += len(message.frames)
            self.counts.batch_bytes += len(encode_envelope(envelope))
            self.counts.tokens += sum(
                len(frame.tokens) for frame in message.frames
            )
        super().send(peer, message)


async def _run(
    agents: int,
    interval_ms: float,
    flush_ms: float,
    seed: int,
) -> None:
    clock = Clock.from_system()
    counts = LoadCounts()
    phases = random.Random(seed)
    transports = []
    tasks = []
    for index in range(agents):
        place = PlaceSettings('127.0.0.1:0', 'loopback', f'domain-{index % 2}')
        transport = CountingTransport.from_settings(place, KeySettings(), clock)
        assert isinstance(transport, CountingTransport)
        transport.counts = counts
        phase_ms = interval_ms * phases.random()
        engine = StampingEngine(interval_ms, phase_ms, clock)
        config = AgentConfig(flush_interval_ms=flush_ms)
        agent = Agent(config, transport, engine, clock)
        transport.start(agent.on_message)
        tasks += [
            asyncio.create_task(agent.run()),
            asyncio.create_task(engine.run()),
        ]
        transports.append(transport)
    _print_line(
        msgspec.json.encode([transport.address for transport in transports])
    )
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    _print_line(msgspec.json.encode(counts))
    for task in tasks:
        task.cancel()
    for transport in transports:
        transport.close()


def _print_line(encoded: bytes) -> None:
    sys.stdout.buffer.write(b'%b\n' % encoded)
    sys.stdout.buffer.flush()


@click.command()
@click.option('--agents', required=True, type=int)
@click.option('--interval-ms', required=True, type=float)
@click.option('--flush-ms', required=True, type=float)
@click.option('--seed', required=True, type=int)
def main(
    agents: int,
    interval_ms: float,
    flush_ms: float,
    seed: int,
) -> None:
    """Run agents over stamping engines until SIGTERM."""
    asyncio.run(_run(agents, interval_ms, flush_ms, seed))


if __name__ == '__main__':
    main()
