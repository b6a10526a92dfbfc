"""Measure the cost of relaying in an entry process, over real sockets.

Run ``python -m benchmarks.data_path [--streams N --tokens-per-s N]``; with
``--sizes`` it measures all sizes and writes `RESULTS`.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal
import time

import click
import msgspec
import psutil
from hdrh.histogram import HdrHistogram

from benchmarks.data_path_caller import UNIT_US, CallerFigures
from benchmarks.data_path_load import LoadCounts
from benchmarks.data_path_processes import (
    Child,
    platform_with,
    settings_folder,
    start_entry,
)
from bergamotthread.process.agent import AgentConfig
from bergamotthread.testing.termination import run_until_signal
from standins.users import TERMOLAB

LOAD_PROCESSES = 4
CALLER_PROCESSES = 3
MAX_US = 60_000_000
PERCENTILES = (50, 95, 99)
STREAMS_PER_AGENT = 6
WARM_UP_S = 2
NODE_TOKENS_PER_S = 6560
TARGET_TOKENS_PER_S = 25_000
TARGET_ADDED_MS = 5
TARGET_RSS_MB = 128
RESULTS = pathlib.Path('benchmarks/results/data_path.json')
SIZES = (30, 60, 120, 240)
_MB = 1024 * 1024


class Percentiles(msgspec.Struct, frozen=True):
    """Percentiles in milliseconds."""

    p50: float
    p95: float
    p99: float

    @classmethod
    def from_counts(cls, parts: list[dict[int, int]]) -> Percentiles:
        """Merge counts by multiples of `UNIT_US`; return their percentiles."""
        histogram = HdrHistogram(1, MAX_US, 3)
        for counts in parts:
            for units, count in counts.items():
                histogram.record_value(max(1, units * UNIT_US), count)
        at = histogram.get_value_at_percentile
        return cls(*(round(at(percent) / 1000, 2) for percent in PERCENTILES))


class EntryFigures(msgspec.Struct, frozen=True):
    """Figures of one run, from the entry, the load processes and the callers.

    `agent_bytes` is the mean number of bytes per token from agent to entry,
    `caller_bytes` that from entry to caller.
    """

    streams: int
    offered_tokens_per_s: float
    seconds: float
    cpu_s: float
    rss_mb: float
    agent_bytes: float
    frames_per_batch: float
    tokens: int
    events: int
    caller_bytes: float
    disorder: int
    latency_ms: Percentiles
    added_ms: Percentiles

    @property
    def tokens_per_cpu_s(self) -> float:
        """Return tokens relayed per CPU second of the entry process."""
        return self.tokens / self.cpu_s

    @property
    def us_per_event(self) -> float:
        """Return CPU microseconds of the entry per event."""
        return self.cpu_s * 1e6 / self.events


class Results(msgspec.Struct, frozen=True):
    """Figures of the last run with `--sizes`."""

    runs: tuple[EntryFigures, ...] = ()


async def measure(
    streams: int,
    tokens_per_s: float,
    seconds: float,
    flush_ms: float,
    profile: str = '',
) -> EntryFigures:
    """Run one entry under load and return its figures."""
    interval_ms = 1000 * streams / tokens_per_s
    agents = max(LOAD_PROCESSES, streams // STREAMS_PER_AGENT)
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(stack.enter_context(settings_folder()))
        loads = []
        for seed in range(LOAD_PROCESSES):
            load = await Child.start(
                'benchmarks.data_path_load',
                '--agents',
                str(agents // LOAD_PROCESSES),
                '--interval-ms',
                str(interval_ms),
                '--flush-ms',
                str(flush_ms),
                '--seed',
                str(seed),
            )
            stack.push_async_callback(load.stop)
            loads.append(load)
        lines = [await load.read_line() for load in loads]
        addresses = [
            address
            for line in lines
            for address in msgspec.json.decode(line, type=list[str])
        ]
        platform = await stack.enter_async_context(platform_with(addresses))
        entry, port = await start_entry(platform, folder, profile)
        stack.push_async_callback(entry.stop)
        callers = []
        for index in range(CALLER_PROCESSES):
            caller = await Child.start(
                'benchmarks.data_path_caller',
                '--port',
                str(port),
                '--streams',
                str(streams // CALLER_PROCESSES),
                '--model',
                TERMOLAB.model,
                '--credential',
                TERMOLAB.credential(TERMOLAB.teams[index % 2]),
            )
            stack.push_async_callback(caller.stop)
            callers.append(caller)
        for caller in callers:
            await caller.read_line()
        cpu_s, rss_mb = await _watch(entry, callers, seconds)
        caller_figures = [
            msgspec.json.decode(await child.read_line(), type=CallerFigures)
            for child in callers
        ]
        counts = await _end_loads(loads)
    sent = sum(load_counts.tokens for load_counts in counts)
    tokens = sum(seen.tokens for seen in caller_figures)
    return EntryFigures(
        streams=streams,
        offered_tokens_per_s=tokens_per_s,
        seconds=seconds,
        cpu_s=cpu_s,
        rss_mb=rss_mb,
        agent_bytes=sum(load_counts.batch_bytes for load_counts in counts)
        / sent,
        frames_per_batch=sum(load_counts.frames for load_counts in counts)
        / sum(load_counts.batches for load_counts in counts),
        tokens=tokens,
        events=sum(seen.events for seen in caller_figures),
        caller_bytes=sum(seen.received_bytes for seen in caller_figures)
        / tokens,
        disorder=sum(seen.disorder for seen in caller_figures),
        latency_ms=Percentiles.from_counts(
            [seen.latencies for seen in caller_figures]
        ),
        added_ms=Percentiles.from_counts(
            [seen.added for seen in caller_figures]
        ),
    )


async def _watch(
    entry: Child,
    callers: list[Child],
    seconds: float,
) -> tuple[float, float]:
    """Return the entry's CPU seconds in the window, and its RSS in MB after."""
    process = psutil.Process(entry.pid)
    start_s = time.monotonic() + WARM_UP_S
    for caller in callers:
        caller.write_line(f'{start_s} {start_s + seconds}')
    await asyncio.sleep(start_s - time.monotonic())
    before_s = _cpu_s(process)
    await asyncio.sleep(start_s + seconds - time.monotonic())
    used_s = _cpu_s(process) - before_s
    return used_s, process.memory_info().rss / _MB


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


async def _end_loads(loads: list[Child]) -> list[LoadCounts]:
    counts = []
    for load in loads:
        load.process.send_signal(signal.SIGTERM)
        line = await load.read_line()
        counts.append(msgspec.json.decode(line, type=LoadCounts))
    return counts


def describe(run: EntryFigures) -> str:
    """Return the figures of a run as lines of text."""
    return '\n'.join(
        (
            f'streams {run.streams}, offered {run.offered_tokens_per_s:.0f} '
            f'tokens/s, delivered {run.tokens / run.seconds:.0f} tokens/s',
            f'  entry: {run.tokens_per_cpu_s:.0f} tokens a CPU second, '
            f'{run.cpu_s / run.seconds:.1%} of a core, '
            f'{run.us_per_event:.1f} us an event, '
            f'{run.tokens / run.events:.2f} tokens an event, '
            f'RSS {run.rss_mb:.1f} MB',
            f'  engine to caller, ms: {run.latency_ms}',
            f'  added between tokens, ms: {run.added_ms}',
            f'  bytes a token: agent to entry {run.agent_bytes:.1f}, entry to '
            f'caller {run.caller_bytes:.1f}; '
            f'{run.frames_per_batch:.2f} frames a batch; '
            f'disorder {run.disorder}',
        ),
    )


def load_results() -> Results:
    """Return the committed results, or empty results if there are none."""
    if not RESULTS.exists():
        return Results()
    return msgspec.json.decode(RESULTS.read_bytes(), type=Results)


@click.command()
@click.option('--seconds', default=8.0, show_default=True)
@click.option('--streams', default=240, show_default=True)
@click.option('--tokens-per-s', default=float(TARGET_TOKENS_PER_S))
@click.option('--flush-ms', default=AgentConfig().flush_interval_ms)
@click.option('--sizes', is_flag=True, help='Measure all sizes and write.')
@click.option('--profile', default='', help='File for cProfile of the entry.')
def main(
    seconds: float,
    streams: int,
    tokens_per_s: float,
    flush_ms: float,
    sizes: bool,
    profile: str,
) -> None:
    """Measure the relay of one entry process."""
    if not sizes:
        run = run_until_signal(
            measure(streams, tokens_per_s, seconds, flush_ms, profile)
        )
        print(describe(run))
        return
    runs = []
    for rate in (NODE_TOKENS_PER_S, TARGET_TOKENS_PER_S):
        for size in SIZES:
            run = run_until_signal(
                measure(size, rate * size / SIZES[-1], seconds, flush_ms)
            )
            print(describe(run), flush=True)
            runs.append(run)
    RESULTS.parent.mkdir(exist_ok=True)
    encoded = msgspec.json.encode(Results(tuple(runs)))
    RESULTS.write_bytes(b'%b\n' % msgspec.json.format(encoded))


if __name__ == '__main__':
    main()
