"""Deployment of the users' platform in memory and in virtual time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from bergamotthread.clock import Clock
from bergamotthread.connection.http.caller_connection import Exchange
from bergamotthread.connection.http.messages import (
    AnswerHead,
    AnswerItem,
    AnswerPart,
    encode_request,
)
from bergamotthread.connection.http.upstream_connection import (
    UpstreamConnection,
)
from bergamotthread.platform.entry import PlatformEntry
from bergamotthread.platform.settings import PlatformSettings
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.testing.memory_http import (
    MemoryNetwork,
    memory_network,
)
from standins.platform_runner import (
    KEY,
    MODEL,
    PLAIN,
    REQUEST_ID,
    RunnerStandIn,
    manifest,
    runner_row,
)
from standins.platform_settings import ZONES, entry_settings
from standins.platform_store import StoreStandIn

STORE = '10.200.1.7:8000'
# Time in which a runner that crashed is started anew.
RESTART_MS = 3000


class MemoryRunner(RunnerStandIn):
    """A runner whose connections are in memory."""

    def __init__(
        self,
        clock: Clock,
        net: MemoryNetwork,
        instance: str,
        address: str,
    ) -> None:
        super().__init__(clock, instance, address)
        self._net = net
        self.row: dict[str, object] = {}
        self.restart: Callable[[MemoryRunner], Coroutine[Any, Any, None]] | None
        self.restart = None
        self.falls_silent = False

    def kill(self) -> None:
        self._net.kill(self.address)

    def crash(self, exchange: Exchange) -> None:
        """Crash, and start anew some seconds later if `restart` is set.

        With `falls_silent`, the process stops and is ended only then.
        """
        if self.falls_silent:
            self.crash_ms.append(self.clock.now_ms())
            self.silence()
        else:
            super().crash(exchange)
            self.kill()
        if self.restart is not None:
            self._restart_task = asyncio.create_task(self.restart(self))

    def silence(self) -> None:
        self._net.silent.add(self.address)

    def break_off(self, exchange: Exchange) -> None:
        self._net.reset(self.address)


def settings(host: str = 'edge-a-1', zone: str = 'a-1', number: int = 1):
    """Return the settings of an entry, decoded from the platform's file."""
    settings_file = entry_settings(host, f'10.1.0.{number}', zone, STORE)
    return PlatformSettings.from_json(json.dumps(settings_file).encode())


class ListLog(DecisionLog):
    """Decision log that keeps its events in a list."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.events: list[tuple[str, dict[str, object]]] = []

    def write(self, event, **fields) -> None:
        self.events.append((event, fields))


@dataclass
class Answer:
    """Answer as a caller received it."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b''
    is_whole: bool = False
    part_ms: list[float] = field(default_factory=list)

    @property
    def event_ids(self) -> list[int]:
        return [
            int(line[3:])
            for line in self.body.split(b'\n')
            if line.startswith(b'id:')
        ]

    @property
    def longest_pause_ms(self) -> float:
        gaps = zip(self.part_ms, self.part_ms[1:], strict=False)
        return max((after - before for before, after in gaps), default=0)

    def take(self, arrived: AnswerItem | None, now_ms: float) -> bool:
        """Add an item; return whether more may follow."""
        match arrived:
            case AnswerHead(status, headers):
                self.status = status
                self.headers = dict(headers)
            case AnswerPart(payload):
                self.body += payload
                self.part_ms.append(now_ms)
            case _:
                self.is_whole = type(arrived).__name__ == 'AnswerEnd'
                return False
        return True


class Deployment:
    """Store, runners in three zones and entries, all in memory."""

    def __init__(self) -> None:
        self.net = memory_network()
        self.clock = Clock.from_loop(self.net.loop)
        self.store = StoreStandIn(self.clock)
        self.models: list[MemoryRunner] = []
        self.plains: list[MemoryRunner] = []
        self.entries: list[PlatformEntry] = []
        self.logs: list[ListLog] = []
        self.tasks: list[asyncio.Task[None]] = []
        self._next_id = 0

    @classmethod
    async def start(
        cls,
        models: int = 3,
        plains: int = 2,
        **manifest_fields: object,
    ) -> Deployment:
        deployment = cls()
        await deployment.store.listen(STORE)
        deployment.store.put('op', 'config', manifest(**manifest_fields))
        zones = list(ZONES)
        for number in range(models):
            zone = zones[number % len(zones)]
            await deployment.add_runner(f'm{number}', MODEL, zone)
        for number in range(plains):
            zone = zones[number % len(zones)]
            await deployment.add_runner(f'p{number}', PLAIN, zone)
        await deployment.add_entry(settings())
        await deployment.clock.sleep_ms(500)
        return deployment

    async def add_runner(
        self,
        instance: str,
        service: str,
        zone: str,
        address: str = '',
        build: str = '',
    ) -> MemoryRunner:
        group = self.models if service == MODEL else self.plains
        number = len(self.models) + len(self.plains) + 1
        address = address or f'10.9.0.{number}:8080'
        runner = MemoryRunner(self.clock, self.net, instance, address)
        runner.restart = self._restart
        await runner.listen(address)
        group.append(runner)
        born = int(self.clock.now_ms()) + 1
        runner.born = born
        runner.row = runner_row(runner.address, service, zone, born=born)
        if build:
            runner.row['version'] = build
        self.store.put('servers', instance, runner.row)
        return runner

    async def _restart(self, crashed: MemoryRunner) -> None:
        """Start a runner anew, under another instance and the old address."""
        await self.clock.sleep_ms(RESTART_MS)
        if crashed.falls_silent:
            self.net.kill(crashed.address)
            self.net.silent.discard(crashed.address)
        self.store.remove('servers', crashed.instance)
        starts = len(crashed.crash_ms)
        crashed.instance = f'{crashed.instance.split("-")[0]}-{starts}'
        await crashed.listen(crashed.address)
        crashed.born = int(self.clock.now_ms())
        crashed.row |= {'born': crashed.born}
        self.store.put('servers', crashed.instance, crashed.row)

    async def add_entry(
        self, platform_settings: PlatformSettings
    ) -> PlatformEntry:
        import random

        log = ListLog(self.clock)
        entry = PlatformEntry(
            platform_settings, self.clock, log, random.Random(7)
        )
        self.entries.append(entry)
        self.logs.append(log)
        self.tasks.append(asyncio.create_task(entry.run()))
        return entry

    async def connect(self, front: str = '10.1.0.1:8000') -> UpstreamConnection:
        _, connection = await self.net.connect(
            lambda: UpstreamConnection(front, self.clock, b'none'),
            front,
        )
        assert isinstance(connection, UpstreamConnection)
        return connection

    async def call(
        self,
        path: str,
        front: str = '10.1.0.1:8000',
        **options: object,
    ) -> Answer:
        """Send a request on a new connection and read its answer."""
        connection = await self.connect(front)
        connection.send(self.request(path, **options), b'')
        return await self.read(connection)

    async def read(self, connection: UpstreamConnection) -> Answer:
        answer = Answer()
        has_more = True
        while has_more:
            arrived = await connection.receive(40_000)
            has_more = answer.take(arrived, self.clock.now_ms())
        return answer

    def request(
        self,
        path: str,
        method: bytes = b'POST',
        key: str = KEY,
        remaining_ms: int = 0,
        extra: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b'prompt',
    ) -> bytes:
        self._next_id += 1
        is_stream = 'stream' in path
        headers = [
            (b'host', b'h.example'),
            (REQUEST_ID, b'r%d' % self._next_id),
            (
                b'bergamotthread-deadline-remaining',
                b'%d' % (remaining_ms or (25_000 if is_stream else 1500)),
            ),
        ]
        if key:
            headers.append((b'authorization', f'Bearer {key}'.encode()))
        if is_stream:
            headers.append((b'bergamotthread-token-counts', b'8000,600'))
        return encode_request(
            method,
            path.encode(),
            [*headers, *extra],
            body if method == b'POST' else b'',
        )

    def ran(self, runners: list[MemoryRunner]) -> int:
        return sum(len(runner.seen) for runner in runners)

    def events(self, name: str, entry: int = 0) -> list[dict[str, object]]:
        return [
            fields for event, fields in self.logs[entry].events if event == name
        ]
