"""Child processes of a soak."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import psutil

OnLine = Callable[[str], None]
_LINE_BYTES_MAX = 1_048_576
_MB = 1_048_576
_END_S = 5


@dataclass
class Program:
    """A child process that runs a Python module; may be started repeatedly.

    Parameters
    ----------
    folder
        Working directory; that of this process if ``None``.
    incarnation
        Number of times that the process was started.
    """

    name: str
    arguments: Sequence[str]
    on_line: OnLine
    variables: dict[str, str] = field(default_factory=dict)
    folder: pathlib.Path | None = None
    incarnation: int = 0
    process: asyncio.subprocess.Process | None = None
    _reading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the process."""
        self.incarnation += 1
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            *self.arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ, **self.variables},
            cwd=self.folder,
            limit=_LINE_BYTES_MAX,
        )
        self._reading = asyncio.create_task(self._read(self.process))

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    async def pause(self, for_s: float) -> None:
        """Stop the process for some seconds without ending it."""
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.signal(signal.SIGCONT)

    async def order(self, line: bytes) -> None:
        """Write a line to the standard input of the process."""
        if self.process is None or self.process.stdin is None:
            return
        self.process.stdin.write(line)

    async def wait(self) -> None:
        """Wait until the process has ended and its output is read."""
        if self.process is not None:
            await self.process.wait()
        if self._reading is not None:
            await self._reading

    async def end(self) -> None:
        """Kill the process, also if it is stopped, and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        async with asyncio.timeout(_END_S):
            await self.wait()

    def memory_mb(self) -> float | None:
        """Return the resident memory, or ``None`` if it is not running."""
        if self.process is None or not self.is_running:
            return None
        try:
            return (
                float(psutil.Process(self.process.pid).memory_info().rss) / _MB
            )
        except psutil.NoSuchProcess:
            return None

    def local_ports(self) -> frozenset[int]:
        """Return the local ports of the TCP connections of the process."""
        if self.process is None or not self.is_running:
            return frozenset()
        try:
            connections = psutil.Process(self.process.pid).net_connections(
                'tcp'
            )
        except psutil.NoSuchProcess:
            return frozenset()
        return frozenset(connection.laddr.port for connection in connections)

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self.on_line(line.decode(errors='replace').rstrip())
