"""Stand-ins of the users' platform: its store and its runners.

They speak the published calls over the project's own server side of HTTP, in
memory. The store can be away, silent, stale in its history or lose answers;
runners can refuse, break off, stall and copy memory.
"""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

from bergamotthread.clock import Clock
from bergamotthread.connection.http.caller_connection import (
    CallerConnection,
    CallerLimits,
    Exchange,
)
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

STORE = '10.200.1.7:8000'
MODEL = 'model-service'
PLAIN = 'plain-service'
KEY = 'key-one'
SEAL = b'bergamotthread-response-seal'
REQUEST_ID = b'bergamotthread-request-id'
EVENT_MS = 40
PREFILL_MS = 400
ZONES = {'a-1': 'a', 'b-1': 'b', 'c-1': 'c'}


class StandIn:
    """Base of servers in memory."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.connections: set[CallerConnection] = set()
        self.limits = CallerLimits()
        self.is_draining = False

    async def answer(self, exchange: Exchange) -> None:
        raise NotImplementedError

    async def listen(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self),
            host,
            int(port),
        )


@dataclass(frozen=True)
class Row:
    table: str
    key: str
    payload: bytes | None
    ver: int


class StoreStandIn(StandIn):
    """Rows with versions, a feed with a bounded history, and faults."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.ver = 0
        self.kept_from = 0
        self.status = 0
        self.loses_answers = False
        self.calls: list[str] = []
        self._rows: dict[tuple[str, str], Row] = {}
        self._changes: list[Row] = []
        self._news = asyncio.Event()

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row; text and bytes as they are, all else as JSON."""
        payload = (
            content
            if isinstance(content, bytes)
            else json.dumps(
                content,
            ).encode()
        )
        self._change(Row(table, key, payload, self.ver + 1))

    def remove(self, table: str, key: str) -> None:
        self._change(Row(table, key, None, self.ver + 1))

    def forget_history(self) -> None:
        """Drop the changes so far; feeds from before them get 410."""
        self._changes.clear()
        self.kept_from = self.ver

    async def answer(self, exchange: Exchange) -> None:
        path, _, query = exchange.request.target.decode().partition('?')
        asked = dict(parse_qsl(query, keep_blank_values=True))
        self.calls.append(path)
        if self.status:
            exchange.respond(self.status, ())
            return
        body = await self._answer(path, asked, exchange.request.body)
        if self.loses_answers:
            exchange.abort()
        elif body is None:
            exchange.respond(410, ())
        else:
            exchange.respond(200, (), json.dumps(body).encode())

    async def _answer(self, path, asked, sent):
        if path == '/api/rows-get':
            return self._get(asked)
        if path == '/api/rows-feed':
            return await self._feed(asked)
        for row in json.loads(sent)['puts']:
            self.put(row['table'], row['key'], base64.b64decode(row['value']))
        return {'ver': self.ver, 'now_ms': 1}

    def _get(self, asked):
        rows = sorted(
            (
                row
                for row in self._rows.values()
                if row.table == asked['table']
                and row.key >= asked.get('from', '')
            ),
            key=lambda row: row.key,
        )
        limit = int(asked.get('limit', 500))
        return {
            'rows': [_wire(row) for row in rows[:limit]],
            'has_more': len(rows) > limit,
            'ver': self.ver,
            'now_ms': 1,
        }

    async def _feed(self, asked):
        after = int(asked['after'])
        table = asked['table']
        end_ms = self.clock.now_ms() + int(asked['wait_ms'])
        while True:
            if after < self.kept_from:
                return None
            rows = [
                row
                for row in self._changes
                if row.table == table and row.ver > after
            ]
            left_ms = end_ms - self.clock.now_ms()
            if rows or left_ms <= 0:
                return {'rows': [_wire(row) for row in rows], 'ver': self.ver}
            try:
                async with self.clock.timeout_ms(left_ms):
                    await self._news.wait()
            except TimeoutError:
                continue

    def _change(self, row: Row) -> None:
        self.ver = row.ver
        self._changes.append(row)
        if row.payload is None:
            self._rows.pop((row.table, row.key), None)
        else:
            self._rows[(row.table, row.key)] = row
        news, self._news = self._news, asyncio.Event()
        news.set()


def _wire(row: Row) -> dict[str, object]:
    told: dict[str, object] = {
        'table': row.table,
        'part': '',
        'key': row.key,
        'ver': row.ver,
    }
    if row.payload is None:
        told['deleted'] = True
    else:
        told['value'] = base64.b64encode(row.payload).decode()
    return told


@dataclass
class Seen:
    """A request that reached a runner."""

    headers: dict[bytes, bytes]
    method: bytes
    target: bytes
    body: bytes
    at_ms: float
    ended_ms: float = 0


@dataclass
class RunnerScript:
    """How a runner behaves.

    Parameters
    ----------
    not_run
        Refuses requests and says that it did not run them.
    breaks_after
        Events, or for plain answers 0, after which it resets.
    ends_in_event
        Ends its stream within an event, as if it were whole.
    repeats
        Events before the place to go on from that it sends again.
    padding
        Bytes of an event without an end that it sends before each event.
    stalls_after
        Events after which it sends no more, though it answers probes.
    """

    not_run: bool = False
    status: int = 200
    breaks_after: int | None = None
    ends_in_event: bool = False
    repeats: int = 0
    padding: int = 0
    stalls_after: int | None = None
    answer: bytes = b'answer'
    work_ms: float = 30
    events: int = 60
    copies: set[str] = field(default_factory=set)


class RunnerStandIn(StandIn):
    """A model runner or a plain service."""

    def __init__(
        self,
        clock: Clock,
        net: MemoryNetwork,
        instance: str,
        address: str,
    ) -> None:
        super().__init__(clock)
        self.instance = instance
        self.address = address
        self.script = RunnerScript()
        self.seen: list[Seen] = []
        self.reports = 0
        self.copied_to: list[str] = []
        self.freed: list[str] = []
        self.cached: set[str] = set()
        self._net = net

    def kill(self) -> None:
        self._net.kill(self.address)

    def silence(self) -> None:
        self._net.silent.add(self.address)

    async def answer(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.target == b'/api/report':
            self.reports += 1
            report = {'queue_depth': 0, 'in_flight': 0, 'kv_total': 88_000}
            exchange.respond(200, (), json.dumps(report).encode())
            return
        if request.target == b'/api/kv-list':
            held = [['', name, 8000, 'm'] for name in self.cached]
            exchange.respond(200, (), json.dumps({'held': held}).encode())
            return
        if request.method == b'DELETE':
            self.freed.append(request.target.decode())
            exchange.respond(200, ())
            return
        if request.target == b'/api/kv-move':
            self.copied_to.append(json.loads(request.body)['target'])
            exchange.respond(200, (), b'{"handle":"h1","create_revision":1}')
            return
        seen = Seen(
            dict(request.headers),
            request.method,
            request.target,
            request.body,
            self.clock.now_ms(),
        )
        self.seen.append(seen)
        try:
            await self._serve(exchange, seen)
        finally:
            seen.ended_ms = self.clock.now_ms()

    async def _serve(self, exchange: Exchange, seen: Seen) -> None:
        expected = seen.headers.get(b'bergamotthread-expect-instance')
        if expected not in {None, self.instance.encode()}:
            exchange.respond(421, ())
            return
        if self.script.not_run or not self._has_copy(seen):
            exchange.respond(503, ((b'bergamotthread-not-executed', b'1'),))
            return
        if b'bergamotthread-token-counts' in seen.headers:
            await self._stream(exchange, seen)
            return
        await self.clock.sleep_ms(self.script.work_ms)
        if self.script.breaks_after is not None:
            exchange.abort()
            return
        exchange.respond(
            self.script.status,
            self._headers(seen),
            self.script.answer,
        )

    def _has_copy(self, seen: Seen) -> bool:
        source = seen.headers.get(b'kv-from')
        if source is None:
            return True
        return source.decode() in self.script.copies

    async def _stream(self, exchange: Exchange, seen: Seen) -> None:
        start = int(seen.headers.get(b'last-event-id', b'0'))
        start = max(start - self.script.repeats, 0)
        if b'kv-from' not in seen.headers:
            await self.clock.sleep_ms(PREFILL_MS)
        headers = [
            *self._headers(seen),
            (b'content-type', b'text/event-stream'),
        ]
        exchange.start(200, headers)
        for sent, number in enumerate(range(start + 1, self.script.events + 1)):
            if sent == self.script.breaks_after:
                exchange.write(b'id: 9')
                self._net.reset(self.address)
                return
            if sent == self.script.stalls_after:
                await self.clock.sleep_ms(60_000)
            if self.script.padding:
                exchange.write(b'data: ' + b'x' * self.script.padding)
            exchange.write(b'id: %d\ndata: t%d\n\n' % (number, number))
            await self.clock.sleep_ms(EVENT_MS)
        if self.script.ends_in_event:
            exchange.write(b'id: 99\ndata')
        exchange.finish()

    def _headers(self, seen: Seen) -> list[tuple[bytes, bytes]]:
        return [
            (REQUEST_ID, seen.headers.get(REQUEST_ID, b'')),
            (SEAL, self.instance.encode()),
        ]


def manifest(version: int = 1, keys: tuple[str, ...] = (KEY,), **more):
    """Return a manifest with a route of each kind."""
    routes = [
        _route('/stream/', 'streaming', MODEL, stream_resume=True),
        _route('/once-stream/', 'streaming', MODEL),
        _route('/once/', 'non_idempotent', PLAIN, timeout_ms=1500),
        _route('/any/', 'idempotent', PLAIN, timeout_ms=1500),
        _route('/open/', 'idempotent', PLAIN, auth_exempt=True),
    ]
    engine = {'slots': 64, 'kv_capacity_tokens': 88_000, 'backups': True}
    return {
        'version': version,
        'routes': [*routes, *more.pop('routes', [])],
        'services': [{'name': MODEL, 'engine': engine}, {'name': PLAIN}],
        'tenants': [{'name': 'team-one', 'api_keys': list(keys)}],
        **more,
    }


def _route(prefix, kind, service, **more):
    return {
        'name': prefix,
        'host': 'h.example',
        'path_prefix': prefix,
        'route_type': kind,
        'service': service,
        'timeout_ms': 25_000,
        'target_latency_ms': 4500 if kind == 'streaming' else 350,
        'max_attempts': 5,
        **more,
    }


def runner_row(runner: RunnerStandIn, service: str, zone: str, **more):
    return {
        'service': service,
        'address': runner.address,
        'zone': zone,
        'state': 'ready',
        'slots': 64,
        'seq': 1,
        **more,
    }


def settings(host: str = 'edge-a-1', zone: str = 'a-1', number: int = 1):
    """Return the settings of an entry, decoded from the platform's file."""
    ip = f'10.1.0.{number}'
    told = {
        'node_name': host,
        'ip': ip,
        'zone': zone,
        'zones': ZONES,
        'listen': {'front': f'{ip}:8000', 'ready': f'{ip}:8001'},
        'internal_ports': [7000, 7010],
        'platform': {'address': STORE},
        'bounds': {
            'grace_s': 8,
            'revoke_ms': 5000,
            'revoke_everywhere': True,
            'retry_budget_ratio': 0.8,
            'retry_budget_slack': 150,
        },
    }
    return PlatformSettings.from_json(json.dumps(told).encode())


class ListLog(DecisionLog):
    """Log whose lines a test reads."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.events: list[tuple[str, dict[str, object]]] = []

    def write(self, event, **fields) -> None:
        self.events.append((event, fields))


@dataclass
class Answer:
    """What a caller got."""

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
        """Take in an item; return whether more may come."""
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
    """A store, runners in three zones and entries, all in memory."""

    def __init__(self) -> None:
        self.net = memory_network()
        self.clock = Clock.from_loop(self.net.loop)
        self.store = StoreStandIn(self.clock)
        self.models: list[RunnerStandIn] = []
        self.plains: list[RunnerStandIn] = []
        self.entries: list[PlatformEntry] = []
        self.logs: list[ListLog] = []
        self.tasks: list[asyncio.Task[None]] = []
        self._next_id = 0

    @classmethod
    async def start(
        cls,
        models: int = 3,
        plains: int = 2,
        **more: object,
    ) -> Deployment:
        deployment = cls()
        await deployment.store.listen(STORE)
        deployment.store.put('op', 'config', manifest(**more))
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
    ) -> RunnerStandIn:
        group = self.models if service == MODEL else self.plains
        number = len(self.models) + len(self.plains) + 1
        address = address or f'10.9.0.{number}:8080'
        runner = RunnerStandIn(self.clock, self.net, instance, address)
        await runner.listen(address)
        group.append(runner)
        born = int(self.clock.now_ms()) + 1
        row = runner_row(runner, service, zone, born=born)
        self.store.put('servers', instance, row)
        return runner

    async def add_entry(self, told: PlatformSettings) -> PlatformEntry:
        import random

        log = ListLog(self.clock)
        entry = PlatformEntry(told, self.clock, log, random.Random(7))
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
        **more: object,
    ) -> Answer:
        """Send one request on a new connection and read the answer."""
        connection = await self.connect(front)
        connection.send(self.request(path, **more), b'')
        return await self.read(connection)

    async def read(self, connection: UpstreamConnection) -> Answer:
        answer = Answer()
        more = True
        while more:
            arrived = await connection.receive(40_000)
            more = answer.take(arrived, self.clock.now_ms())
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

    def ran(self, runners: list[RunnerStandIn]) -> int:
        return sum(len(runner.seen) for runner in runners)

    def events(self, name: str, entry: int = 0) -> list[dict[str, object]]:
        return [told for kind, told in self.logs[entry].events if kind == name]
