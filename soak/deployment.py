"""The processes of a soak, and the versions published to them."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import socket
import tempfile
from dataclasses import dataclass

import msgspec

from bergamotthread.clock import Clock
from bergamotthread.testing.loopback import connect
from soak.callers import Place
from soak.orders import RunnerOrder, StoreOrder, encode_order
from soak.plan import Plan
from soak.programs import Program
from soak.proxy import LoopbackProxy
from soak.records import (
    Crash,
    Notice,
    NoticeKind,
    PublicationRecord,
    Records,
    Run,
)
from soak.runner_process import CRASHED, ENDED, STARTED
from soak.store_process import DONE
from standins.platform_runner import (
    MODEL,
    PLAIN,
    manifest,
    route_of,
    runner_row,
)
from standins.platform_settings import (
    FRONT_PORT,
    READY_PORT,
    ZONES,
    entry_settings,
)

# Run time of a plain request, long enough that kills and resets happen while
# plain requests run.
PLAIN_WORK_MS = 300
KEYS = tuple(f'key-{number}' for number in range(12))
# The first key is never revoked.
LASTING_KEY = KEYS[0]
_READY_S = 15
# Number of the first runner of a target in its addresses.
TARGETS_FROM = 150
# Bound on what the target of a roll-out gets.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
_REST_S = 1.0
# Time after which a runner that crashed is started anew.
CRASHED_S = 2.0
_MS_PER_S = 1000
# Concurrent soaks use different loopback networks, 127.N. A soak that holds the
# port of reservation in a network has reserved it.
_STORE_PORT = 8000
_RESERVATION_PORT = 7999
_NETWORK_MIN = 20
_NETWORKS = 200


@dataclass
class EntryNode:
    """An entry, its link to the store, and whether it is in rotation."""

    program: Program
    place_ip: str
    store_link: LoopbackProxy
    is_offered: bool = False
    is_changing: bool = False

    @property
    def place(self) -> Place:
        """Return the address and incarnation of the entry."""
        address = f'{self.place_ip}:{FRONT_PORT}'
        return Place(self.program.name, address, self.program.incarnation)


@dataclass
class RunnerNode:
    """A runner and the link through which entries reach it."""

    program: Program
    link: LoopbackProxy
    service: str
    zone: str
    is_changing: bool = False
    behaviour: RunnerOrder = RunnerOrder()
    build: str = ''

    @property
    def instance(self) -> str:
        """Return the name of the current process."""
        return f'{self.program.name}-{self.program.incarnation}'


class SoakDeployment:
    """Starts and ends the store, runners and entries of a soak.

    Parameters
    ----------
    records
        Receives what the processes report.
    """

    def __init__(self, plan: Plan, records: Records, clock: Clock) -> None:
        self.records = records
        self.clock = clock
        self.keys = list(KEYS)
        self.paths: list[str] = []
        self._reservation = NetworkReservation.acquire()
        self._net = self._reservation.prefix
        self._folder = tempfile.TemporaryDirectory(prefix='soak-')
        self._store_address = f'{self._net}.1.1:{_STORE_PORT}'
        self.store = Program(
            'store',
            ('soak.store_process', self._store_address),
            self._on_store_line,
        )
        self.entries = [self._entry(number) for number in range(plan.entries)]
        self.runners = [self._runner(number) for number in range(plan.runners)]
        self.targets: list[RunnerNode] = []
        self._version = 0
        self._added: tuple[str, ...] = ()
        self._pending: dict[str, PublicationRecord] = {}
        self._crash_tasks: set[asyncio.Task[None]] = set()
        self._open_runs: dict[tuple[str, str], float] = {}
        # The last order about each row, by its table and key.
        self._row_orders: dict[tuple[str, str], StoreOrder] = {}

    @property
    def version(self) -> int:
        """Return the newest version."""
        return self._version

    async def start(self) -> None:
        """Start all processes and wait until the entries are ready."""
        await self.store.start()
        await self.publish()
        for runner in self.runners:
            await runner.link.start()
            await self.start_runner(runner)
        for entry in self.entries:
            await entry.store_link.start()
            await entry.program.start()
        await asyncio.gather(*map(self.offer_once_ready, self.entries))

    async def end(self) -> None:
        """End all processes."""
        for task in tuple(self._crash_tasks):
            task.cancel()
        # Runs whose callers have left may still end at the back ends.
        await asyncio.sleep(_REST_S)
        programs = [
            self.store,
            *(runner.program for runner in (*self.runners, *self.targets)),
            *(entry.program for entry in self.entries),
        ]
        await asyncio.gather(*(program.end() for program in programs))
        for runner in (*self.runners, *self.targets):
            await runner.link.close()
        for entry in self.entries:
            await entry.store_link.close()
        self._folder.cleanup()
        self._reservation.release()

    async def start_runner(self, runner: RunnerNode) -> None:
        """Start a runner as a new incarnation and write its row."""
        program = runner.program
        address = str(program.arguments[1])
        instance = f'{program.name}-{program.incarnation + 1}'
        program.arguments = _runner_arguments(address, instance)
        runner.behaviour = RunnerOrder()
        await program.start()
        await self.list_runner(runner, 'ready')

    async def start_target(self, build: str) -> RunnerNode:
        """Start a runner of the plain service and of another build."""
        number = len(self.targets)
        address = f'{self._net}.3.{TARGETS_FROM + number}:8080'
        link = LoopbackProxy(
            f'{self._net}.4.{TARGETS_FROM + number}:8080', address
        )
        zone = list(ZONES)[number % len(ZONES)]
        name = f'target{number}'
        program = Program(
            name,
            _runner_arguments(address, f'{name}-1'),
            lambda line: self._on_run_line(f'{name}-1', line),
        )
        target = RunnerNode(program, link, PLAIN, zone, build=build)
        self.targets.append(target)
        await link.start()
        await self.start_runner(target)
        return target

    async def read_status(self, key: str) -> str:
        """Return a row of the status table, as text; empty without one."""
        with contextlib.suppress(OSError, TimeoutError, ValueError):
            async with asyncio.timeout(1):
                return await _read_status(self._store_address, key)
        return ''

    async def list_runner(self, runner: RunnerNode, state: str) -> None:
        """Write the row of a runner to the store."""
        build = runner.build or _build_of(runner.instance)
        row = runner_row(
            runner.link.address,
            runner.service,
            runner.zone,
            born=runner.program.incarnation,
            state=state,
            version=build,
        )
        self.records.build_by_runner[runner.instance] = build
        await self.order_store(
            StoreOrder('servers', runner.instance, row),
        )

    async def offer_once_ready(self, entry: EntryNode) -> None:
        """Put an entry into rotation once it reports that it is ready.

        Gives up after `_READY_S` seconds, or when the process ends.
        """
        end_ms = self.clock.now_ms() + _READY_S * _MS_PER_S
        while self.clock.now_ms() < end_ms and entry.program.is_running:
            if await _is_ready(entry.place_ip):
                entry.is_offered = True
                return
            await asyncio.sleep(0.1)

    async def order_store(self, order: StoreOrder) -> None:
        """Send an order to the store."""
        if order.table:
            self._row_orders[order.table, order.key] = order
        await self.store.order(encode_order(order))

    async def rewrite_rows(self) -> None:
        """Repeat what the operator and the runners wrote to the store."""
        for order in tuple(self._row_orders.values()):
            await self.order_store(order)

    async def change_runner(
        self,
        runner: RunnerNode,
        **changes: object,
    ) -> None:
        """Change part of the behaviour of a runner until its process ends."""
        runner.behaviour = msgspec.structs.replace(runner.behaviour, **changes)
        await runner.program.order(encode_order(runner.behaviour))

    async def publish(self, path: str = '', revoked: str = '') -> None:
        """Publish a version that adds a route or revokes a key."""
        self._version += 1
        if revoked:
            self.keys.remove(revoked)
        if path:
            self._added = (*self._added, path)
        manifest_content = manifest(
            self._version,
            tuple(self.keys),
            tuple(
                route_of(prefix, 'idempotent', PLAIN, timeout_ms=1500)
                for prefix in self._added
            ),
        )
        mark = f'version-{self._version}'
        self._pending[mark] = PublicationRecord(self._version, 0, path, revoked)
        await self.order_store(
            StoreOrder('op', 'config', manifest_content, mark=mark),
        )

    def close_records(self) -> None:
        """Record the runs that have not ended."""
        for (runner, request), at_ms in self._open_runs.items():
            self.records.runs.append(Run(request, runner, at_ms))

    # processes

    def _entry(self, number: int) -> EntryNode:
        place_ip = f'{self._net}.2.{number + 1}'
        link = LoopbackProxy(
            f'{self._net}.5.{number + 1}:8000',
            self._store_address,
        )
        zone = list(ZONES)[number % len(ZONES)]
        settings_file = pathlib.Path(self._folder.name) / f'entry{number}.json'
        settings = entry_settings(
            f'entry{number}',
            place_ip,
            zone,
            link.address,
            ('rollout',),
            exposure_share=EXPOSURE_SHARE,
            exposure_slack=EXPOSURE_SLACK,
        )
        settings_file.write_text(json.dumps(settings))
        program = Program(
            f'entry{number}',
            ('bergamotthread.platform',),
            self._on_log_line,
            {'BERGAMOTTHREAD_CONFIG': str(settings_file)},
        )
        return EntryNode(program, place_ip, link)

    def _runner(self, number: int) -> RunnerNode:
        runner_address = f'{self._net}.3.{number + 1}:8080'
        link = LoopbackProxy(f'{self._net}.4.{number + 1}:8080', runner_address)
        service = PLAIN if number % 3 == 2 else MODEL
        zone = list(ZONES)[number // 3 % len(ZONES)]
        name = f'runner{number}'
        program = Program(
            name,
            _runner_arguments(runner_address, f'{name}-1'),
            lambda line: self._on_run_line(self.runners[number].instance, line),
        )
        return RunnerNode(program, link, service, zone)

    # lines from the processes

    def _on_store_line(self, line: str) -> None:
        word, mark, at_ms = line.split(' ')
        publication = self._pending.pop(mark, None)
        if word != DONE or publication is None:
            return
        self.records.publications.append(
            PublicationRecord(
                publication.version,
                float(at_ms),
                publication.path,
                publication.revoked,
            ),
        )
        if publication.path:
            self.paths.append(publication.path)

    def _on_run_line(self, runner: str, line: str) -> None:
        word, request, *numbers = line.split(' ')
        at_ms, *for_s = map(float, numbers)
        if word == ENDED:
            started_ms = self._open_runs.pop((runner, request), at_ms)
            self.records.runs.append(Run(request, runner, started_ms, at_ms))
        elif word == STARTED:
            self._start_run(runner, request, at_ms)
        elif word == CRASHED:
            self._on_crash(runner, request, at_ms)
        else:
            for_ms = sum(for_s) * _MS_PER_S
            self.records.notices.append(
                Notice(NoticeKind(word), request, runner, at_ms, for_ms),
            )

    def _on_crash(self, instance: str, request: str, at_ms: float) -> None:
        series = request.rpartition('-')[0]
        self.records.crashes.append(Crash(series, instance, at_ms))
        runner = next(
            node
            for node in (*self.runners, *self.targets)
            if node.instance == instance
        )
        if runner.link.is_refusing:
            # Two requests crashed it at the same time.
            return
        runner.link.refuse()
        task = asyncio.create_task(self._start_crashed(runner))
        self._crash_tasks.add(task)
        task.add_done_callback(self._crash_tasks.discard)

    async def _start_crashed(self, runner: RunnerNode) -> None:
        """Start a runner anew some seconds after its crash."""
        ended_instance = runner.instance
        await runner.program.wait()
        await asyncio.sleep(CRASHED_S)
        await runner.link.start()
        if runner.is_changing:
            # A fault that replaces the runner starts it.
            return
        await self.order_store(StoreOrder('servers', ended_instance))
        await self.start_runner(runner)

    def _start_run(self, runner: str, request: str, at_ms: float) -> None:
        earlier_ms = self._open_runs.get((runner, request))
        if earlier_ms is not None:
            self.records.runs.append(Run(request, runner, earlier_ms))
        self._open_runs[runner, request] = at_ms

    def _on_log_line(self, line: str) -> None:
        try:
            fields = json.loads(line)
        except json.JSONDecodeError:
            # A killed process may leave its last line incomplete.
            return
        if fields['event'] == 'log-lines-dropped':
            self.records.dropped_lines += fields['count']
        if fields['event'].startswith('rollout-'):
            self.records.rollout_lines.append(line)
        request = fields.get('request')
        if request:
            lines = self.records.lines_by_request.setdefault(request, [])
            lines.append(line)


def _build_of(instance: str) -> str:
    """Return the build of a runner's process; each start has the other one."""
    numbers = instance.removeprefix('runner').split('-')
    return f'v{sum(map(int, numbers)) % 2 + 1}'


def _runner_arguments(address: str, instance: str) -> tuple[str, ...]:
    return ('soak.runner_process', address, instance, str(PLAIN_WORK_MS))


@dataclass(frozen=True)
class NetworkReservation:
    """Loopback network that no other soak uses until it is released.

    Parameters
    ----------
    prefix
        First two numbers of the network.
    """

    prefix: str
    holder: socket.socket

    @classmethod
    def acquire(cls) -> NetworkReservation:
        """Reserve a free network, first the one chosen by the process id.

        Raises
        ------
        OSError
            If all networks are reserved.
        """
        for number in range(os.getpid(), os.getpid() + _NETWORKS):
            prefix = f'127.{_NETWORK_MIN + number % _NETWORKS}'
            holder = socket.socket()
            try:
                holder.bind((f'{prefix}.1.1', _RESERVATION_PORT))
            except OSError:
                holder.close()
            else:
                return cls(prefix, holder)
        raise OSError(f'all {_NETWORKS} loopback networks are reserved')

    def release(self) -> None:
        """Let other soaks reserve the network."""
        self.holder.close()


async def _read_status(store: str, key: str) -> str:
    query = f'table=status&part=&from={key}&target={key}0&limit=1'
    request = f'GET /api/rows-get?{query} HTTP/1.1\r\nhost: h\r\n\r\n'
    reader, writer = await connect(store)
    writer.write(request.encode())
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        length = re.search(rb'content-length: (\d+)', head.lower())
        body = await reader.readexactly(int(length[1]) if length else 0)
    finally:
        writer.close()
    rows = json.loads(body)['rows']
    return base64.b64decode(rows[0]['value']).decode() if rows else ''


async def _is_ready(ip: str) -> bool:
    """Probe readiness as the balancer does."""
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await connect(f'{ip}:{READY_PORT}')
            writer.write(b'GET /api/ready HTTP/1.1\r\nhost: h\r\n\r\n')
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b' 200 ' in line
