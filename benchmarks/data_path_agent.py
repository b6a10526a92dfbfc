"""Measure the cost of an agent process that uses an engine over HTTP.

Run ``python -m benchmarks.data_path_agent``; ``--write`` saves the results.
The engine stand-in and the agent run in separate processes; this process acts
as the entry.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import time
from dataclasses import dataclass, field

import click
import msgspec
import psutil

from benchmarks.data_path_processes import (
    REGION,
    settings_folder,
    start_agent,
    start_engine,
)
from bergamotthread.clock import Clock
from bergamotthread.connection.zmq_transport import ZmqTransport
from bergamotthread.process.settings import KeySettings, PlaceSettings
from bergamotthread.testing.loopback import free_address
from bergamotthread.testing.termination import run_until_signal
from bergamotthread.wire.messages import (
    Ack,
    Acks,
    Admitted,
    Cancel,
    Dispatch,
    Envelope,
    OutputBatch,
    Pin,
)

POINTS = ((0, 40), (2, 40), (4, 40), (8, 40), (16, 40), (32, 40), (20, 100))
WARM_UP_S = 2
SAME_INTERVAL = 6
ACK_INTERVAL_S = 0.1
RESULTS = pathlib.Path('benchmarks/results/data_path_agent.json')
_MAX_TOKENS = 100_000
_REMAINING_MS = 600_000
_MB = 1024 * 1024


class AgentFigures(msgspec.Struct, frozen=True):
    """Throughput of one run, and the CPU and memory that the agent used."""

    streams: int
    tokens_per_s: float
    batches_per_s: float
    core_share: float
    rss_mb: float


class AgentResults(msgspec.Struct, frozen=True):
    """Figures of the last run with `--write`."""

    runs: tuple[AgentFigures, ...] = ()


@dataclass
class OutputReceiver:
    """Receives output in place of an entry and counts it."""

    tokens: int = 0
    batches: int = 0
    admitted: int = 0
    offsets: dict[str, int] = field(default_factory=dict)

    def on_message(self, envelope: Envelope) -> None:
        """Count an admission or the output of a batch."""
        match envelope.message:
            case Admitted():
                self.admitted += 1
            case OutputBatch(frames=frames):
                self.batches += 1
                for frame in frames:
                    self.tokens += len(frame.tokens)
                    offset = frame.offset + len(frame.tokens)
                    self.offsets[frame.generation] = offset

    def acks(self) -> Acks:
        """Return acknowledgements of all output received so far."""
        return Acks(
            tuple(
                Ack(generation, 1, offset)
                for generation, offset in self.offsets.items()
            ),
        )


async def measure(
    streams: int,
    interval_ms: float,
    seconds: float,
    profile: str = '',
) -> AgentFigures:
    """Run one agent under load and return its figures."""
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(stack.enter_context(settings_folder()))
        engine, engine_address = await start_engine(interval_ms)
        stack.push_async_callback(engine.stop)
        transport = ZmqTransport.from_settings(
            PlaceSettings(free_address(), REGION, f'{REGION}-a'),
            KeySettings(),
            Clock.from_system(),
        )
        stack.callback(transport.close)
        end = OutputReceiver()
        transport.start(end.on_message)
        agent, address = await start_agent(
            engine_address,
            (transport.address,),
            folder,
            profile,
        )
        stack.push_async_callback(agent.stop)
        await asyncio.sleep(WARM_UP_S)
        for index in range(streams):
            transport.send(address, _dispatch(index))
        acking = asyncio.create_task(_acknowledge(transport, address, end))
        stack.callback(acking.cancel)
        await asyncio.sleep(WARM_UP_S)
        if end.admitted < streams:
            raise RuntimeError(
                f'agent admitted {end.admitted} of {streams} streams, '
                'expected all'
            )
        process = psutil.Process(agent.pid)
        figures = await _watch(process, end, streams, seconds)
        for generation in end.offsets:
            transport.send(address, Cancel(generation, 1))
        return figures


def _dispatch(index: int) -> Dispatch:
    return Dispatch(
        generation=f'gen-{index:032}',
        attempt=1,
        pin=Pin('furnace-reading', 'v1'),
        prompt=f'stream {index}',
        accepted=(),
        max_tokens=_MAX_TOKENS,
        remaining_ms=_REMAINING_MS,
        team='shop',
    )


async def _acknowledge(
    transport: ZmqTransport,
    agent: str,
    end: OutputReceiver,
) -> None:
    while True:
        await asyncio.sleep(ACK_INTERVAL_S)
        if end.offsets:
            transport.send(agent, end.acks())


async def _watch(
    process: psutil.Process,
    end: OutputReceiver,
    streams: int,
    seconds: float,
) -> AgentFigures:
    before = process.cpu_times()
    tokens, batches, started_s = end.tokens, end.batches, time.monotonic()
    await asyncio.sleep(seconds)
    after = process.cpu_times()
    elapsed_s = time.monotonic() - started_s
    used_s = after.user + after.system - before.user - before.system
    return AgentFigures(
        streams,
        (end.tokens - tokens) / elapsed_s,
        (end.batches - batches) / elapsed_s,
        used_s / elapsed_s,
        process.memory_info().rss / _MB,
    )


def load_results() -> AgentResults:
    """Return the committed results, or empty results if there are none."""
    if not RESULTS.exists():
        return AgentResults()
    return msgspec.json.decode(RESULTS.read_bytes(), type=AgentResults)


@click.command()
@click.option('--seconds', default=8.0, show_default=True)
@click.option('--write', is_flag=True, help='Keep the results.')
@click.option('--profile', default='', help='File for cProfile; last point.')
def main(seconds: float, write: bool, profile: str) -> None:
    """Measure an agent at all points."""
    runs = []
    for streams, interval_ms in POINTS:
        run = run_until_signal(measure(streams, interval_ms, seconds, profile))
        print(
            f'streams {run.streams}, {run.tokens_per_s:.0f} tokens/s, '
            f'{run.batches_per_s:.0f} batches/s: {run.core_share:.2%} of a '
            f'core, RSS {run.rss_mb:.1f} MB',
            flush=True,
        )
        runs.append(run)
    if write:
        encoded = msgspec.json.encode(AgentResults(tuple(runs)))
        RESULTS.write_bytes(b'%b\n' % msgspec.json.format(encoded))


if __name__ == '__main__':
    main()
