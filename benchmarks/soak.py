"""Soak test with engine deaths: complete answers, no memory growth.

Run ``python -m benchmarks.soak --minutes 10``. One entry, the agents and the
engine stand-ins run in separate processes. Every `KILL_INTERVAL_S` one engine
dies; it is revived half an interval later.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import pathlib
import re
import sys
import time
from dataclasses import dataclass, field

import click
import msgspec
import psutil

from benchmarks.capacity_rows import Fit
from benchmarks.data_path_processes import (
    Child,
    platform_with,
    settings_folder,
    start_agent,
    start_engine,
    start_entry,
)
from bergamotthread.testing.termination import run_until_signal
from standins.engine import Fault
from standins.tokens import BrokenAnswerError, verify_answer
from standins.users import TERMOLAB

ENGINES = 4
CALLERS = 24
TOKENS_PER_ANSWER = 200
TOKEN_INTERVAL_MS = 20
KILL_INTERVAL_S = 20
SAMPLE_INTERVAL_S = 5
WARM_UP_SHARE = 0.25
RETRY_S = 0.2
ANSWER_TIMEOUT_S = 60
MAX_SLOPE_MB_PER_MINUTE = 0.5
MAX_RSS_MB = 128
_MB = 1024 * 1024
_S_PER_MINUTE = 60
_NOT_RUN = b'"ran":"no"'
_TEXT = re.compile(rb'"text":"([^"]*)"')


Points = list[tuple[float, float]]


@dataclass
class SoakFigures:
    """Answers by outcome, and RSS samples of each process in MB."""

    whole: int = 0
    refused: int = 0
    failed: list[str] = field(default_factory=list)
    deaths: int = 0
    rss_by_process: dict[str, Points] = field(default_factory=dict)

    def slopes(self) -> dict[str, Fit]:
        """Return the fit of RSS in MB over minutes for each process.

        The first `WARM_UP_SHARE` of the samples is left out.
        """
        fits = {}
        for name, points in self.rss_by_process.items():
            steady = points[int(len(points) * WARM_UP_SHARE) :]
            if len(steady) > 1:
                fits[name] = Fit.from_points(steady)
        return fits

    def faults(self) -> list[str]:
        """Return the faults that make the soak test fail."""
        faults = list(self.failed)
        for name, fit in self.slopes().items():
            if fit.slope > MAX_SLOPE_MB_PER_MINUTE:
                faults.append(f'{name} grows {fit.slope:.3f} MB a minute')
        for name, points in self.rss_by_process.items():
            highest = max(rss for _, rss in points)
            if highest > MAX_RSS_MB:
                faults.append(f'{name} reached {highest:.1f} MB')
        return faults


async def run(minutes: float, figures: SoakFigures) -> None:
    """Run the soak test; add to `figures`, which a failed run keeps."""
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(stack.enter_context(settings_folder()))
        engines = []
        agents = []
        processes: dict[str, Child] = {}
        for index in range(ENGINES):
            engine, engine_address = await start_engine(TOKEN_INTERVAL_MS)
            stack.push_async_callback(engine.stop)
            agent, agent_address = await start_agent(
                engine_address,
                (),
                folder,
            )
            stack.push_async_callback(agent.stop)
            engines.append(engine_address)
            agents.append(agent_address)
            processes[f'agent-{index}'] = agent
        platform = await stack.enter_async_context(platform_with(agents))
        entry, port = await start_entry(platform, folder)
        stack.push_async_callback(entry.stop)
        processes['entry'] = entry
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                _load(port, engines, processes, figures),
                timeout=minutes * _S_PER_MINUTE,
            )


async def _load(
    port: int,
    engines: list[str],
    processes: dict[str, Child],
    figures: SoakFigures,
) -> None:
    async with asyncio.TaskGroup() as group:
        for caller in range(CALLERS):
            group.create_task(_call(caller, port, figures))
        group.create_task(_kill_in_turn(engines, figures))
        group.create_task(_sample(processes, figures))


async def _call(caller: int, port: int, figures: SoakFigures) -> None:
    for number in itertools.count():
        prompt = f'caller {caller} asks question {number}'
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await _answer(port, prompt)
        except OSError as error:
            figures.failed.append(f'{prompt}: {error!r}')
            continue
        if _is_refusal(answer):
            figures.refused += 1
            await asyncio.sleep(RETRY_S)
            continue
        text = b''.join(_TEXT.findall(answer)).decode()
        try:
            verify_answer(prompt, text, TOKENS_PER_ANSWER)
        except (BrokenAnswerError, ValueError) as error:
            figures.failed.append(f'{prompt}: {error} {answer[-300:]!r}')
        else:
            figures.whole += 1


def _is_refusal(answer: bytes) -> bool:
    """Return whether the request was refused before it ran anywhere.

    The status of a stream is sent before an upstream is chosen, so a refusal
    may also arrive as an error event.
    """
    if b' 200 ' not in answer[:20]:
        return True
    return _NOT_RUN in answer and not _TEXT.search(answer)


async def _answer(port: int, prompt: str) -> bytes:
    body = msgspec.json.encode(
        {
            'model': TERMOLAB.model,
            'prompt': prompt,
            'max_tokens': TOKENS_PER_ANSWER,
            'stream': True,
        },
    )
    credential = TERMOLAB.credential(TERMOLAB.teams[0])
    head = f'authorization: Bearer {credential}\r\n'
    return await _post(port, '/v1/completions', head, body)


async def _post(port: int, path: str, head: str, body: bytes) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    start = (
        f'POST {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n{head}'
        f'content-length: {len(body)}\r\n\r\n'
    )
    writer.write(b'%b%b' % (start.encode(), body))
    try:
        return await reader.read()
    finally:
        writer.close()


async def _kill_in_turn(engines: list[str], figures: SoakFigures) -> None:
    for engine in itertools.cycle(engines):
        await asyncio.sleep(KILL_INTERVAL_S / 2)
        await _control(engine, 'die')
        figures.deaths += 1
        await asyncio.sleep(KILL_INTERVAL_S / 2)
        await _control(engine, 'revive')


async def _control(engine: str, fault: str) -> None:
    port = int(engine.rpartition(':')[2])
    body = msgspec.json.encode(Fault(fault))
    answer = await _post(port, '/control', '', body)
    if b' 200 ' not in answer[:20]:
        raise RuntimeError(f'engine control sent {answer!r}, expected 200')


async def _sample(
    processes: dict[str, Child],
    figures: SoakFigures,
) -> None:
    started_s = time.monotonic()
    while True:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        minutes = (time.monotonic() - started_s) / _S_PER_MINUTE
        for name, child in processes.items():
            rss_mb = psutil.Process(child.pid).memory_info().rss / _MB
            points = figures.rss_by_process.setdefault(name, [])
            points.append((minutes, rss_mb))


def _by_minute(points: Points) -> str:
    step = _S_PER_MINUTE // SAMPLE_INTERVAL_S
    return ' '.join(f'{rss:.1f}' for _, rss in points[::step])


def describe(figures: SoakFigures) -> str:
    """Return the figures as lines of text."""
    lines = [
        f'{figures.whole} answers whole, {len(figures.failed)} not, '
        f'{figures.refused} refusals tried again, {figures.deaths} deaths',
    ]
    for name, fit in figures.slopes().items():
        points = figures.rss_by_process[name]
        lines.append(
            f'{name}: {points[-1][0]:.1f} minutes, RSS {points[-1][1]:.1f} MB '
            f'at the end, {fit.slope:+.3f} MB a minute after the warm-up; '
            f'each minute {_by_minute(points)}',
        )
    lines += [f'FAULT: {fault}' for fault in figures.faults()[:20]]
    return '\n'.join(lines)


@click.command()
@click.option('--minutes', default=10.0, show_default=True)
def main(minutes: float) -> None:
    """Run the soak and exit with 1 if it found a fault."""
    figures = SoakFigures()
    run_until_signal(run(minutes, figures))
    print(describe(figures))
    sys.exit(1 if figures.faults() else 0)


if __name__ == '__main__':
    main()
