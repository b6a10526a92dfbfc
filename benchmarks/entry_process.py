"""Cost of the platform's entry process, compared with another version.

Run ``python -m benchmarks.entry_process --against FOLDER``, where the folder
is a checkout of the other version. Both use the stand-ins of this version for
store and runners.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import socket
import tempfile
from collections.abc import AsyncIterator
from dataclasses import dataclass

import click
import psutil

from bergamotthread.testing.loopback import (
    connect,
    free_address,
    free_port,
)
from soak.orders import RunnerOrder, StoreOrder, encode_order
from soak.programs import Program
from standins.platform_runner import (
    MODEL,
    PLAIN,
    STREAM_EVENTS,
    manifest,
    runner_row,
)
from standins.platform_settings import entry_settings

SHORT_REQUESTS = 3000
STREAMS = 100
CONNECTIONS = 8
SLOW_READERS = 100
COMMENT_BYTES = 16_384
_RECEIVE_BUFFER_BYTES = 8192
_SLOW_S = 4.0
_TRIES = 50
_PAUSE_S = 0.2
_US_PER_S = 1_000_000
_MB = 1_048_576
_KEY = 'key-one'


@dataclass(frozen=True)
class Figures:
    """Costs of one entry process.

    Parameters
    ----------
    request_us, event_us
        CPU time of a short request and of one event of a stream.
    memory_mb, slow_mb
        Resident memory after the load, and its increase with slow readers.
    """

    request_us: float
    event_us: float
    memory_mb: float
    slow_mb: float


@dataclass(frozen=True)
class _Running:
    entry: psutil.Process
    front: str
    model: Program

    def cpu_us(self) -> float:
        """Return the CPU time used so far, in microseconds."""
        times = self.entry.cpu_times()
        return float(times.user + times.system) * _US_PER_S

    def memory_mb(self) -> float:
        """Return the resident memory in MB."""
        return float(self.entry.memory_info().rss) / _MB


async def measure(root: pathlib.Path) -> Figures:
    """Measure the entry of the checkout at `root`."""
    async with _running(root) as running:
        await _short_requests(running, CONNECTIONS)
        before_us = running.cpu_us()
        await _short_requests(running, SHORT_REQUESTS)
        request_us = (running.cpu_us() - before_us) / SHORT_REQUESTS
        before_us = running.cpu_us()
        await asyncio.gather(
            *(_stream(running, number) for number in range(STREAMS)),
        )
        event_us = (running.cpu_us() - before_us) / (STREAMS * STREAM_EVENTS)
        memory_mb = running.memory_mb()
        order = RunnerOrder(comment=COMMENT_BYTES)
        await running.model.order(encode_order(order))
        slow_mb = await _slow_readers(running) - memory_mb
        return Figures(request_us, event_us, memory_mb, slow_mb)


async def _short_requests(running: _Running, count: int) -> None:
    async def call(number: int) -> None:
        reader, writer = await connect(running.front)
        for index in range(count // CONNECTIONS):
            name = f'short-{count}-{number}-{index}'
            writer.write(_request('GET', '/any/x', name))
            head = await reader.readuntil(b'\r\n\r\n')
            if b' 200 ' not in head:
                raise RuntimeError(f'{name}: entry sent {head!r}, expected 200')
            await reader.readexactly(len(name))
        writer.close()

    await asyncio.gather(*(call(number) for number in range(CONNECTIONS)))


async def _stream(running: _Running, number: int) -> None:
    reader, writer = await connect(running.front)
    writer.write(_request('POST', '/stream/x', f'stream-{number}'))
    await reader.readuntil(b'0\r\n\r\n')
    writer.close()


async def _slow_readers(running: _Running) -> float:
    """Return the resident memory in MB while callers do not read."""
    host, _, port = running.front.rpartition(':')
    callers = []
    for number in range(SLOW_READERS):
        caller = socket.socket()
        caller.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            _RECEIVE_BUFFER_BYTES,
        )
        caller.connect((host, int(port)))
        caller.sendall(_request('POST', '/stream/x', f'slow-{number}'))
        callers.append(caller)
    await asyncio.sleep(_SLOW_S)
    memory_mb = running.memory_mb()
    for caller in callers:
        caller.close()
    return memory_mb


def _request(method: str, path: str, name: str) -> bytes:
    lines = [
        f'{method} {path} HTTP/1.1',
        'host: h.example',
        f'bergamotthread-request-id: {name}',
        'bergamotthread-deadline-remaining: 20000',
        f'authorization: Bearer {_KEY}',
    ]
    if method == 'POST':
        lines += ['bergamotthread-token-counts: 800,60', 'content-length: 0']
    return '\r\n'.join([*lines, '', '']).encode()


@contextlib.asynccontextmanager
async def _running(root: pathlib.Path) -> AsyncIterator[_Running]:
    with tempfile.TemporaryDirectory() as folder:
        store = Program('store', ('soak.store_process', free_address()), _skip)
        runners = [
            Program(name, ('soak.runner_process', free_address(), name), _skip)
            for name in ('model', 'plain')
        ]
        settings = _settings(str(store.arguments[1]))
        path = pathlib.Path(folder) / 'entry.json'
        path.write_text(json.dumps(settings))
        entry = Program(
            'entry',
            ('bergamotthread.platform',),
            _skip,
            {'BERGAMOTTHREAD_CONFIG': str(path), 'PYTHONPATH': str(root)},
            folder=root,
        )
        programs = [store, *runners, entry]
        try:
            yield await _start(programs, settings)
        finally:
            await asyncio.gather(*(program.end() for program in programs))


def _settings(store: str) -> dict[str, object]:
    first = free_port()
    return {
        # An address of its own: the entry listens on a range of ports, which
        # other processes must not use.
        **entry_settings('entry', '127.0.0.2', 'a-1', store),
        'listen': {'front': free_address(), 'ready': free_address()},
        'internal_ports': [first, first + 10],
    }


async def _start(
    programs: list[Program],
    settings: dict[str, object],
) -> _Running:
    store, model, plain, entry = programs
    await store.start()
    await store.order(
        encode_order(StoreOrder('op', 'config', manifest(1, (_KEY,)))),
    )
    for runner, service in ((model, MODEL), (plain, PLAIN)):
        await runner.start()
        row = runner_row(str(runner.arguments[1]), service, 'a-1', born=1)
        order = StoreOrder('servers', runner.name, row)
        await store.order(encode_order(order))
    await entry.start()
    assert entry.process is not None
    listen = settings['listen']
    assert isinstance(listen, dict)
    running = _Running(
        psutil.Process(entry.process.pid),
        listen['front'],
        model,
    )
    for _ in range(_TRIES):
        if await _serves(running):
            return running
        await asyncio.sleep(_PAUSE_S)
    raise RuntimeError(f'entry serves no request after {_TRIES} attempts')


async def _serves(running: _Running) -> bool:
    try:
        await _short_requests(running, CONNECTIONS)
    except (OSError, RuntimeError, asyncio.IncompleteReadError):
        return False
    return True


def _skip(line: str) -> None:
    """Ignore a line of output of a process."""


@click.command()
@click.option(
    '--against',
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
    help='Checkout of the version to compare with.',
)
def main(against: pathlib.Path | None) -> None:
    """Print the figures of this version, and ratios to the other's."""
    figures = asyncio.run(measure(pathlib.Path.cwd()))
    other = asyncio.run(measure(against.resolve())) if against else figures
    for name, figure in vars(figures).items():
        former = getattr(other, name)
        ratio = figure / former if former else 0
        click.echo(f'{name}: {figure:.1f}, former {former:.1f}, {ratio:.2f}')


if __name__ == '__main__':
    main()
