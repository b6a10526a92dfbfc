"""Processes of the data path benchmarks, started on the loopback."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import sys
import tempfile
from collections.abc import AsyncIterator, Sequence

import msgspec

from bergamotthread.clock import Clock
from bergamotthread.platform.tables import open_store
from bergamotthread.process.settings import (
    AgentSettings,
    EntrySettings,
    KeySettings,
    LogSettings,
    PlaceSettings,
    PlatformSettings,
)
from bergamotthread.process.store.store_client import StoreUse
from bergamotthread.testing.loopback import free_address, free_port
from bergamotthread.version.objects import ObjectSet
from bergamotthread.version.publication import Draft, Publisher
from standins.platform_store import StoreStandIn, serving_store
from standins.users import TERMOLAB, user_set

REGION = TERMOLAB.regions[0]
STOP_TIMEOUT_S = 15
MAX_LINE_BYTES = 4 * 1024 * 1024
_KEYS = KeySettings(cursor_keys=('ab' * 32,))


class Child:
    """Child process with piped standard input and output."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.pid = process.pid

    @classmethod
    async def start(cls, *arguments: str, profile: str = '') -> Child:
        """Start `python -m arguments`, under cProfile if `profile` is given."""
        profiler = ('-m', 'cProfile', '-o', profile) if profile else ()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *profiler,
            '-m',
            *arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )
        return cls(process)

    async def read_line(self) -> bytes:
        """Return the next line of the output of the process.

        Raises `RuntimeError` at the end of the output and `TimeoutError` if no
        line arrives within 60 s.
        """
        assert self.process.stdout is not None
        async with asyncio.timeout(60):
            line = await self.process.stdout.readline()
        if not line:
            raise RuntimeError(
                f'process {self.pid} closed its output, expected a line'
            )
        return line

    def write_line(self, line: str) -> None:
        """Write a line to the input of the process."""
        assert self.process.stdin is not None
        self.process.stdin.write(f'{line}\n'.encode())

    def terminate(self) -> None:
        """Send SIGTERM, if the process still runs."""
        with contextlib.suppress(ProcessLookupError):
            self.process.terminate()

    async def stop(self) -> None:
        """Terminate the process; kill it after `STOP_TIMEOUT_S`."""
        self.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), timeout=STOP_TIMEOUT_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


@contextlib.asynccontextmanager
async def platform_with(agents: Sequence[str]) -> AsyncIterator[str]:
    """Serve a platform with a version that lists the agents.

    Yields the address of the platform.
    """
    clock = Clock.from_system()
    async with serving_store(StoreStandIn(clock)) as address:
        settings = PlatformSettings(address, reads_per_s=50, writes_per_s=50)
        store = open_store(settings, clock)
        publisher = Publisher.from_platform(
            store.table(StoreUse.PUBLICATION),
            store.object_store(StoreUse.PUBLICATION),
            clock,
        )
        objects = _with_high_limits(user_set(TERMOLAB, agents))
        await publisher.publish(Draft(objects, who='operator', base=0))
        store.close()
        yield address


def _with_high_limits(objects: ObjectSet) -> ObjectSet:
    """Return the objects with team limits too high for a benchmark to reach."""
    teams = tuple(
        msgspec.structs.replace(team, requests_per_s=100_000)
        for team in objects.teams
    )
    return msgspec.structs.replace(objects, teams=teams)


async def start_entry(
    platform: str,
    folder: pathlib.Path,
    profile: str = '',
) -> tuple[Child, int]:
    """Start an entry; once it is ready, return it and its caller port."""
    port = free_port()
    place = PlaceSettings(free_address(), REGION, f'{REGION}-a')
    settings = EntrySettings(
        place,
        f'127.0.0.1:{port}',
        PlatformSettings(platform, reads_per_s=50, writes_per_s=50),
        keys=_KEYS,
        log=LogSettings(level='warning'),
    )
    path = folder / f'entry-{port}.json'
    path.write_bytes(msgspec.json.encode(settings))
    child = await Child.start(
        'bergamotthread',
        'entry',
        '--settings',
        str(path),
        profile=profile,
    )
    await _stop_unless_ready(child, port)
    return child, port


async def start_agent(
    engine: str,
    entries: tuple[str, ...],
    folder: pathlib.Path,
    profile: str = '',
) -> tuple[Child, str]:
    """Start an agent for an engine; return the process and its address."""
    address = free_address()
    settings = AgentSettings(
        PlaceSettings(address, REGION, f'{REGION}-a'),
        engine,
        'engine-0',
        entries=entries,
        log=LogSettings(level='warning'),
    )
    path = folder / f'agent-{address.rpartition(":")[2]}.json'
    path.write_bytes(msgspec.json.encode(settings))
    child = await Child.start(
        'bergamotthread',
        'agent',
        '--settings',
        str(path),
        profile=profile,
    )
    return child, address


async def start_engine(interval_ms: float) -> tuple[Child, str]:
    """Start an engine stand-in; once it is ready, return it and its address."""
    port = free_port()
    address = f'127.0.0.1:{port}'
    child = await Child.start(
        'standins.engine',
        '--listen',
        address,
        '--token-interval-ms',
        str(interval_ms),
    )
    await _stop_unless_ready(child, port, '/load')
    return child, address


async def _stop_unless_ready(
    child: Child,
    port: int,
    path: str = '/readyz',
) -> None:
    """Wait until a process is ready; stop it if that fails or is cancelled."""
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(child.stop)
        await _until_ready(port, path)
        stack.pop_all()


async def _until_ready(port: int, path: str = '/readyz') -> None:
    async with asyncio.timeout(20):
        while True:
            await asyncio.sleep(0.05)
            with contextlib.suppress(OSError):
                if b' 200 ' in await _get(port, path):
                    return


async def _get(port: int, path: str) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(
        f'GET {path} HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n'.encode(),
    )
    try:
        return await reader.read(200)
    finally:
        writer.close()


def settings_folder() -> tempfile.TemporaryDirectory[str]:
    """Return a temporary folder for settings files."""
    return tempfile.TemporaryDirectory(prefix='data-path-')
