"""A soak: starts the programs, plays the faults and gathers what was seen."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import socket
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bergamotthread.clock import Clock
from soak.callers import Caller, Choices, Place
from soak.orders import RunnerOrder, StoreOrder, encode_order
from soak.plan import PLANNED, Fault, FaultKind, Plan
from soak.programs import Program
from soak.proxy import LoopbackProxy
from soak.records import Memory, Published, Ran, Records, Stopped, Struck
from soak.runner_process import ENDED, STARTED
from soak.store_process import DONE
from standins.platform_runner import (
    MODEL,
    PLAIN,
    manifest,
    route_of,
    runner_row,
)

ZONES = {'a-1': 'a', 'b-1': 'b', 'c-1': 'c'}
GRACE_S = 8
CALLERS_PER_ENTRY = 10
KEYS = tuple(f'key-{number}' for number in range(12))
# The first key is never taken away.
LASTING_KEY = KEYS[0]
# A balancer asks each second and takes a process out after two misses.
OUT_OF_ROTATION_S = 2.0
OUT_AFTER_KILL_S = 0.5
# Rows of a runner that ended lapse after this time.
LAPSE_S = 2.0
LATE_STORE_MS = 700
LINK_DELAY_MS = 150
_SAMPLE_S = 1.0
_READY_S = 15
_REST_S = 1.0
_MS_PER_S = 1000
# Networks of loopback that soaks side by side take, by process.
_STORE_PORT = 8000
_NETWORK_MIN = 20
_NETWORKS = 200


_Points = list[tuple[float, float]]


@dataclass
class _Entry:
    program: Program
    place_ip: str
    store_link: LoopbackProxy
    is_offered: bool = False
    is_changing: bool = False

    @property
    def place(self) -> Place:
        address = f'{self.place_ip}:8000'
        return Place(self.program.name, address, self.program.life)


@dataclass
class _Runner:
    program: Program
    link: LoopbackProxy
    service: str
    zone: str
    is_changing: bool = False

    @property
    def instance(self) -> str:
        return f'{self.program.name}-{self.program.life}'


class Soak:
    """One soak, from the start of its processes to their end."""

    def __init__(self, plan: Plan) -> None:
        self.records = Records()
        self.timeline: list[str] = []
        self._plan = plan
        self._clock = Clock.from_system()
        self._net = _free_network()
        self._folder = tempfile.TemporaryDirectory(prefix='soak-')
        self._store_address = f'{self._net}.1.1:{_STORE_PORT}'
        self._store = Program(
            'store',
            ('soak.store_process', self._store_address),
            self._on_store_line,
        )
        self._entries = [self._entry(one) for one in range(plan.entries)]
        self._runners = [self._runner(one) for one in range(plan.runners)]
        self._version = 0
        self._paths: list[str] = []
        self._added: tuple[str, ...] = ()
        self._keys = list(KEYS)
        self._pending: dict[str, Published] = {}
        self._points: dict[str, _Points] = {}
        self._open_runs: dict[tuple[str, str], float] = {}

    async def run(self) -> Records:
        """Play the plan and return what was seen."""
        callers = [
            Caller(f'c{number}', self._choices(), self._clock, self._plan.seed)
            for number in range(CALLERS_PER_ENTRY * len(self._entries))
        ]
        tasks: list[asyncio.Task[None]] = []
        try:
            await self._start()
            tasks.append(asyncio.create_task(self._sample()))
            tasks.extend(asyncio.create_task(one.run()) for one in callers)
            await self._play_all()
        finally:
            await _cancel(tasks)
            await self._end()
        for caller in callers:
            self.records.asked += caller.asked
        self._close_records()
        return self.records

    # start and end

    def _entry(self, number: int) -> _Entry:
        place_ip = f'{self._net}.2.{number + 1}'
        link = LoopbackProxy(
            f'{self._net}.5.{number + 1}:8000',
            self._store_address,
        )
        zone = list(ZONES)[number % len(ZONES)]
        path = pathlib.Path(self._folder.name) / f'entry{number}.json'
        told = {
            'node_name': f'entry{number}',
            'ip': place_ip,
            'zone': zone,
            'zones': ZONES,
            'listen': {
                'front': f'{place_ip}:8000',
                'ready': f'{place_ip}:8001',
            },
            'internal_ports': [7000, 7010],
            'platform': {'address': link.address},
            'bounds': {
                'grace_s': GRACE_S,
                'revoke_ms': 5000,
                'revoke_everywhere': True,
                'retry_budget_ratio': 0.8,
                'retry_budget_slack': 150,
            },
        }
        path.write_text(json.dumps(told))
        program = Program(
            f'entry{number}',
            ('bergamotthread.platform',),
            self._on_log_line,
            {'BERGAMOTTHREAD_CONFIG': str(path)},
        )
        return _Entry(program, place_ip, link)

    def _runner(self, number: int) -> _Runner:
        own = f'{self._net}.3.{number + 1}:8080'
        link = LoopbackProxy(f'{self._net}.4.{number + 1}:8080', own)
        service = PLAIN if number % 3 == 2 else MODEL
        zone = list(ZONES)[number // 3 % len(ZONES)]
        name = f'runner{number}'
        program = Program(
            name,
            ('soak.runner_process', own, f'{name}-1'),
            lambda line: self._on_run_line(name, line),
        )
        return _Runner(program, link, service, zone)

    async def _start(self) -> None:
        await self._store.start()
        await self._publish()
        for runner in self._runners:
            await runner.link.start()
            await self._start_runner(runner)
        for entry in self._entries:
            await entry.store_link.start()
            await entry.program.start()
        await asyncio.gather(*map(self._offer_once_ready, self._entries))

    async def _end(self) -> None:
        # What callers have left behind still ends at the back ends.
        await asyncio.sleep(_REST_S)
        programs = [
            self._store,
            *(runner.program for runner in self._runners),
            *(entry.program for entry in self._entries),
        ]
        await asyncio.gather(*(program.end() for program in programs))
        for runner in self._runners:
            await runner.link.close()
        for entry in self._entries:
            await entry.store_link.close()
        self._folder.cleanup()

    async def _start_runner(self, runner: _Runner) -> None:
        program = runner.program
        address = str(program.arguments[1])
        instance = f'{program.name}-{program.life + 1}'
        program.arguments = ('soak.runner_process', address, instance)
        await program.start()
        await self._list(runner, 'ready')

    async def _list(self, runner: _Runner, state: str) -> None:
        row = runner_row(
            runner.link.address,
            runner.service,
            runner.zone,
            born=runner.program.life,
            state=state,
        )
        await self._order_store(
            StoreOrder('servers', runner.instance, row),
        )

    async def _offer_once_ready(self, entry: _Entry) -> None:
        end_ms = self._clock.now_ms() + _READY_S * _MS_PER_S
        while self._clock.now_ms() < end_ms and entry.program.is_running:
            if await _is_ready(entry.place_ip):
                entry.is_offered = True
                return
            await asyncio.sleep(0.1)

    # what callers may choose from

    def _choices(self) -> Choices:
        return Choices(
            places=lambda: [
                entry.place for entry in self._entries if entry.is_offered
            ],
            added_paths=lambda: self._paths,
            lasting_key=LASTING_KEY,
            other_keys=KEYS[1:],
        )

    # what the processes tell

    def _on_store_line(self, line: str) -> None:
        word, mark, at_ms = line.split(' ')
        told = self._pending.pop(mark, None)
        if word != DONE or told is None:
            return
        self.records.published.append(
            Published(told.version, float(at_ms), told.path, told.revoked),
        )
        if told.path:
            self._paths.append(told.path)

    def _on_run_line(self, runner: str, line: str) -> None:
        word, request, at = line.split(' ')
        at_ms = float(at)
        if word == STARTED:
            self._open_runs[runner, request] = at_ms
        elif word == ENDED:
            started_ms = self._open_runs.pop((runner, request), at_ms)
            self.records.ran.append(Ran(request, runner, started_ms, at_ms))

    def _on_log_line(self, line: str) -> None:
        try:
            told = json.loads(line)
        except json.JSONDecodeError:
            # The last line of a process that was killed.
            return
        if told['event'] == 'log-lines-dropped':
            self.records.dropped_lines += told['count']
        request = told.get('request')
        if request:
            lines = self.records.lines_by_request.setdefault(request, [])
            lines.append(line)

    def _close_records(self) -> None:
        for (runner, request), at_ms in self._open_runs.items():
            self.records.ran.append(Ran(request, runner, at_ms))
        self.records.memory += [
            Memory(name, tuple(points)) for name, points in self._points.items()
        ]

    async def _sample(self) -> None:
        while True:
            now_ms = self._clock.now_ms()
            for entry in self._entries:
                mb = entry.program.memory_mb()
                if mb is not None:
                    name = f'{entry.program.name}-{entry.program.life}'
                    self._points.setdefault(name, []).append((now_ms, mb))
            await asyncio.sleep(_SAMPLE_S)

    # orders and publications

    async def _order_store(self, order: StoreOrder) -> None:
        await self._store.order(encode_order(order))

    async def _publish(self, path: str = '', revoked: str = '') -> None:
        self._version += 1
        if revoked:
            self._keys.remove(revoked)
        if path:
            self._added = (*self._added, path)
        told = manifest(
            self._version,
            tuple(self._keys),
            tuple(
                route_of(one, 'idempotent', PLAIN, timeout_ms=1500)
                for one in self._added
            ),
        )
        mark = f'version-{self._version}'
        self._pending[mark] = Published(self._version, 0, path, revoked)
        await self._order_store(
            StoreOrder('op', 'config', told, mark=mark),
        )

    # faults

    async def _play_all(self) -> None:
        start_ms = self._clock.now_ms()
        plays: list[asyncio.Task[None]] = []
        for fault in self._plan.faults:
            await self._sleep_until(start_ms, fault.at_s)
            play = self._play(fault)
            plays.append(asyncio.create_task(play))
        await self._sleep_until(start_ms, self._plan.seconds)
        await asyncio.gather(*plays)

    async def _sleep_until(self, start_ms: float, at_s: float) -> None:
        left_ms = start_ms + at_s * _MS_PER_S - self._clock.now_ms()
        await self._clock.sleep_ms(max(left_ms, 0))

    async def _play(self, fault: Fault) -> None:
        at_ms = self._clock.now_ms()
        self.timeline.append(str(fault))
        if fault.kind not in PLANNED:
            # Until it is over, nothing counts as calm.
            open_ended = Struck(fault.kind, '', at_ms, float('inf'))
            self.records.struck.append(open_ended)
        await self._strike(fault)
        if fault.kind not in PLANNED:
            self.records.struck.remove(open_ended)
            over_ms = self._clock.now_ms()
            self.records.struck.append(
                Struck(fault.kind, str(fault.target), at_ms, over_ms),
            )

    async def _strike(self, fault: Fault) -> None:
        on_entry = _ON_ENTRY.get(fault.kind)
        on_runner = _ON_RUNNER.get(fault.kind)
        if on_entry is not None:
            await on_entry(self, self._entries[fault.target], fault)
        elif on_runner is not None:
            await on_runner(self, self._runners[fault.target], fault)
        else:
            await _ON_STORE[fault.kind](self, fault)

    async def _kill_entry(self, entry: _Entry, fault: Fault) -> None:
        if entry.is_changing:
            return
        entry.is_changing = True
        entry.program.signal(signal.SIGKILL)
        await asyncio.sleep(OUT_AFTER_KILL_S)
        entry.is_offered = False
        await entry.program.wait()
        await asyncio.sleep(fault.for_s)
        await self._start_entry(entry)

    async def _stop_entry(self, entry: _Entry, fault: Fault) -> None:
        if entry.is_changing:
            return
        entry.is_changing = True
        life = entry.program.life
        at_ms = self._clock.now_ms()
        entry.program.signal(signal.SIGTERM)
        await asyncio.sleep(OUT_OF_ROTATION_S)
        entry.is_offered = False
        ended_ms: float | None = None
        left_s = GRACE_S - OUT_OF_ROTATION_S
        try:
            async with asyncio.timeout(left_s + 1):
                await entry.program.wait()
            ended_ms = self._clock.now_ms()
        except TimeoutError:
            entry.program.signal(signal.SIGKILL)
            await entry.program.wait()
        self.records.stopped.append(
            Stopped(entry.program.name, life, at_ms, ended_ms),
        )
        await self._start_entry(entry)

    async def _start_entry(self, entry: _Entry) -> None:
        await entry.program.start()
        await self._offer_once_ready(entry)
        entry.is_changing = False

    async def _pause_entry(self, entry: _Entry, fault: Fault) -> None:
        await _pause(entry.program, fault.for_s)

    async def _reload_entry(self, entry: _Entry, fault: Fault) -> None:
        entry.program.signal(signal.SIGHUP)

    async def _cut_store_link(self, entry: _Entry, fault: Fault) -> None:
        entry.store_link.down.is_open.clear()
        await asyncio.sleep(fault.for_s)
        entry.store_link.heal()

    async def _kill_runner(self, runner: _Runner, fault: Fault) -> None:
        if runner.is_changing:
            return
        runner.is_changing = True
        former = runner.instance
        runner.program.signal(signal.SIGKILL)
        await runner.program.wait()
        await asyncio.sleep(min(fault.for_s, LAPSE_S))
        await self._order_store(StoreOrder('servers', former))
        await asyncio.sleep(max(fault.for_s - LAPSE_S, 0))
        await self._start_runner(runner)
        runner.is_changing = False

    async def _pause_runner(self, runner: _Runner, fault: Fault) -> None:
        await _pause(runner.program, fault.for_s)

    async def _refuse_runner(self, runner: _Runner, fault: Fault) -> None:
        await self._order_runner(runner, RunnerOrder(not_run=True), fault)

    async def _stall_runner(self, runner: _Runner, fault: Fault) -> None:
        await self._order_runner(runner, RunnerOrder(stalls_after=20), fault)

    async def _order_runner(
        self,
        runner: _Runner,
        order: RunnerOrder,
        fault: Fault,
    ) -> None:
        await runner.program.order(encode_order(order))
        await asyncio.sleep(fault.for_s)
        await runner.program.order(encode_order(RunnerOrder()))

    async def _drain_runner(self, runner: _Runner, fault: Fault) -> None:
        if runner.is_changing:
            return
        runner.is_changing = True
        await self._list(runner, 'draining')
        await asyncio.sleep(fault.for_s)
        await self._list(runner, 'ready')
        runner.is_changing = False

    async def _reset_link(self, runner: _Runner, fault: Fault) -> None:
        runner.link.reset_all()

    async def _delay_link(self, runner: _Runner, fault: Fault) -> None:
        runner.link.delay_ms = LINK_DELAY_MS
        await asyncio.sleep(fault.for_s)
        runner.link.heal()

    async def _cut_link_up(self, runner: _Runner, fault: Fault) -> None:
        runner.link.up.is_open.clear()
        await asyncio.sleep(fault.for_s)
        runner.link.heal()

    async def _cut_link_down(self, runner: _Runner, fault: Fault) -> None:
        runner.link.down.is_open.clear()
        await asyncio.sleep(fault.for_s)
        runner.link.heal()

    async def _pause_store(self, fault: Fault) -> None:
        await _pause(self._store, fault.for_s)

    async def _busy_store(self, fault: Fault) -> None:
        await self._trouble_store(StoreOrder(status=503), fault)

    async def _late_store(self, fault: Fault) -> None:
        await self._trouble_store(StoreOrder(late_ms=LATE_STORE_MS), fault)

    async def _lose_answers(self, fault: Fault) -> None:
        await self._trouble_store(StoreOrder(loses_answers=True), fault)

    async def _forget_history(self, fault: Fault) -> None:
        await self._order_store(StoreOrder(forgets=True))

    async def _publish_route(self, fault: Fault) -> None:
        await self._publish(path=f'/added-{self._version}/')

    async def _revoke_key(self, fault: Fault) -> None:
        if len(self._keys) > 1:
            await self._publish(revoked=self._keys[-1])

    async def _trouble_store(self, order: StoreOrder, fault: Fault) -> None:
        await self._order_store(order)
        await asyncio.sleep(fault.for_s)
        await self._order_store(StoreOrder())


_OnEntry = Callable[[Soak, _Entry, Fault], Awaitable[None]]
_OnRunner = Callable[[Soak, _Runner, Fault], Awaitable[None]]
_OnStore = Callable[[Soak, Fault], Awaitable[None]]

_ON_ENTRY: dict[FaultKind, _OnEntry] = {
    FaultKind.KILL_ENTRY: Soak._kill_entry,
    FaultKind.STOP_ENTRY: Soak._stop_entry,
    FaultKind.PAUSE_ENTRY: Soak._pause_entry,
    FaultKind.RELOAD_ENTRY: Soak._reload_entry,
    FaultKind.CUT_STORE_LINK: Soak._cut_store_link,
}
_ON_RUNNER: dict[FaultKind, _OnRunner] = {
    FaultKind.KILL_RUNNER: Soak._kill_runner,
    FaultKind.PAUSE_RUNNER: Soak._pause_runner,
    FaultKind.REFUSE_RUNNER: Soak._refuse_runner,
    FaultKind.STALL_RUNNER: Soak._stall_runner,
    FaultKind.DRAIN_RUNNER: Soak._drain_runner,
    FaultKind.RESET_LINK: Soak._reset_link,
    FaultKind.DELAY_LINK: Soak._delay_link,
    FaultKind.CUT_LINK_UP: Soak._cut_link_up,
    FaultKind.CUT_LINK_DOWN: Soak._cut_link_down,
}
_ON_STORE: dict[FaultKind, _OnStore] = {
    FaultKind.PAUSE_STORE: Soak._pause_store,
    FaultKind.BUSY_STORE: Soak._busy_store,
    FaultKind.LATE_STORE: Soak._late_store,
    FaultKind.LOSE_STORE_ANSWERS: Soak._lose_answers,
    FaultKind.FORGET_HISTORY: Soak._forget_history,
    FaultKind.PUBLISH_ROUTE: Soak._publish_route,
    FaultKind.REVOKE_KEY: Soak._revoke_key,
}


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _free_network() -> str:
    """Return the start of addresses of loopback that no other soak uses."""
    for number in range(os.getpid(), os.getpid() + _NETWORKS):
        network = f'127.{_NETWORK_MIN + number % _NETWORKS}'
        with socket.socket() as probe:
            try:
                probe.bind((f'{network}.1.1', _STORE_PORT))
            except OSError:
                continue
        return network
    raise OSError(f'no free network of loopback, {_NETWORKS} were tried')


async def _pause(program: Program, for_s: float) -> None:
    program.signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    program.signal(signal.SIGCONT)


async def _is_ready(ip: str) -> bool:
    """Ask as the balancer does."""
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(ip, 8001)
            writer.write(b'GET /api/ready HTTP/1.1\r\nhost: h\r\n\r\n')
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b' 200 ' in line
