"""Random sequences of changes while the store falls back to earlier states.

Entries, operator, runners and the store run in memory and virtual time. The
store may be away and return from a copy at any step, twice in a row and while
entries are cut from it.
"""

from __future__ import annotations

import asyncio
import contextvars
import json
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotthread.process.relay.feed_sources import ENTRY_BACKOFF_MS
from bergamotthread.process.relay.upstreams import UpstreamState
from bergamotthread.testing.memory_http import run_in_memory
from standins.platform_runner import PLAIN, manifest, runner_row
from tests import platform_standins
from tests.platform_standins import STORE, Deployment

ENTRIES = 3
KEPT_KEY = 'key-kept'
OTHER_KEY = 'key-other'
REVOKE_MS = 5000
HEARTBEAT_MS = 1200
EXPIRY_MS = 3 * HEARTBEAT_MS
# Longest time after a return in which the operator writes again.
REWRITE_MAX_MS = 900
TICK_MS = 100

_entry = contextvars.ContextVar('entry', default=-1)


@dataclass(frozen=True)
class Wait:
    """Time passes."""

    duration_ms: int


@dataclass(frozen=True)
class Publish:
    """The operator writes a manifest, with the other key or without it."""

    has_other_key: bool


@dataclass(frozen=True)
class FallBack:
    """The store is away and comes back from a copy."""

    copy_age_ms: int
    outage_ms: int
    rewrite_ms: int


@dataclass(frozen=True)
class Cut:
    """An entry loses its way to the store, or has it back."""

    entry: int
    is_cut: bool


@dataclass(frozen=True)
class Slow:
    """Each answer of the store takes this long."""

    late_ms: int


@dataclass(frozen=True)
class Change:
    """A runner starts anew, drains, or leaves without a word."""

    runner: int
    how: str


STEPS = st.one_of(
    st.builds(Wait, st.integers(1, 2500)),
    st.builds(Publish, st.booleans()),
    st.builds(
        FallBack,
        st.integers(0, 5000),
        st.integers(0, 1500),
        st.integers(0, REWRITE_MAX_MS),
    ),
    st.builds(Cut, st.integers(0, ENTRIES - 1), st.booleans()),
    st.builds(Slow, st.sampled_from((0, 0, 50, 400))),
    st.builds(
        Change,
        st.integers(0, 1),
        st.sampled_from(('start', 'drain', 'leave')),
    ),
)


@dataclass
class RunnerState:
    """What a runner itself knows."""

    address: str
    born: int = 1
    state: str = 'ready'
    seq: int = 0
    heard_ms: float = 0


@dataclass
class World:
    """Deployment, what is true, and what each entry was seen to know."""

    deployment: Deployment
    cut: set[int] = field(default_factory=set)
    runners: dict[str, RunnerState] = field(default_factory=dict)
    version: int = 2
    newest: dict[str, object] = field(default_factory=dict)
    other_key_removed_ms: float | None = None
    returned_ms: float = 0
    rewrite_ms: float = 0
    times: list[tuple[float, int]] = field(default_factory=list)
    seen: set[tuple[int, str, int]] = field(default_factory=set)
    known_leaving: set[tuple[int, str, int]] = field(default_factory=set)
    version_by_entry: dict[int, int] = field(default_factory=dict)
    writer: asyncio.Task[None] | None = None

    @classmethod
    async def start(cls) -> World:
        deployment = Deployment()
        world = cls(deployment)
        store, net = deployment.store, deployment.net
        await store.listen(STORE)
        connect = net.connect

        async def connect_unless_cut(factory, address):
            if address == STORE and _entry.get() in world.cut:
                raise ConnectionRefusedError(address)
            return await connect(factory, address)

        net.connect = connect_unless_cut
        world.publish(Publish(has_other_key=True))
        for number in range(3):
            runner = await deployment.add_runner(f'p{number}', PLAIN, 'a-1')
            world.runners[runner.instance] = RunnerState(runner.address)
        for number in range(ENTRIES):
            _entry.set(number)
            await deployment.add_entry(
                platform_standins.settings(
                    f'edge-a-{number}', number=number + 1
                )
            )
        _entry.set(-1)
        world.writer = asyncio.create_task(world.keep_writing())
        await deployment.clock.sleep_ms(4000)
        return world

    @property
    def now_ms(self) -> float:
        return self.deployment.clock.now_ms()

    async def keep_writing(self) -> None:
        """Write what the operator, the runners and the store itself write."""
        store = self.deployment.store
        while True:
            if not store.status:
                self.write_again()
                for instance, runner in self.runners.items():
                    self.keep_row(instance, runner)
            self.times.append((self.now_ms, store.ver))
            await self.deployment.clock.sleep_ms(TICK_MS)

    def write_again(self) -> None:
        row = self.deployment.store._row_by_key.get(('op', 'config'))
        known = json.loads(row.payload)['version'] if row else 0
        is_due = self.now_ms - self.returned_ms >= self.rewrite_ms
        if is_due and known < self.newest['version']:
            self.deployment.store.put('op', 'config', self.newest)

    def keep_row(self, instance: str, runner: RunnerState) -> None:
        store = self.deployment.store
        silent_ms = self.now_ms - max(runner.heard_ms, self.returned_ms)
        if runner.state == 'left':
            if silent_ms > EXPIRY_MS and (
                ('servers', instance) in store._row_by_key
            ):
                store.remove('servers', instance)
        elif self.now_ms - runner.heard_ms >= HEARTBEAT_MS:
            runner.seq += 1
            self.write_row(instance, runner)

    def write_row(self, instance: str, runner: RunnerState) -> None:
        runner.heard_ms = self.now_ms
        row = runner_row(
            runner.address,
            PLAIN,
            'a-1',
            born=runner.born,
            state=runner.state,
            seq=runner.seq,
        )
        self.deployment.store.put('servers', instance, row)

    async def play(self, step: object) -> None:
        store = self.deployment.store
        match step:
            case Wait(duration_ms):
                await self.deployment.clock.sleep_ms(duration_ms)
            case Publish():
                self.publish(step)
            case FallBack():
                await self.fall_back(step)
            case Cut(entry, is_cut):
                (self.cut.add if is_cut else self.cut.discard)(entry)
                self.deployment.net.reset(STORE)
            case Slow(late_ms):
                store.late_ms = late_ms
            case Change(number, how):
                self.change(f'p{number}', how)

    def publish(self, step: Publish) -> None:
        self.version += 3
        keys = (KEPT_KEY, OTHER_KEY) if step.has_other_key else (KEPT_KEY,)
        self.newest = manifest(self.version, keys=keys)
        self.deployment.store.put('op', 'config', self.newest)
        if step.has_other_key:
            self.other_key_removed_ms = None
        elif self.other_key_removed_ms is None:
            self.other_key_removed_ms = self.now_ms

    async def fall_back(self, step: FallBack) -> None:
        store = self.deployment.store
        store.status = 503
        self.deployment.net.reset(STORE)
        copied_ms = max(self.now_ms - step.copy_age_ms, 3000)
        copy = max(ver for at_ms, ver in self.times if at_ms <= copied_ms)
        await self.deployment.clock.sleep_ms(step.outage_ms)
        store.restore(copy)
        self.times = [(at_ms, ver) for at_ms, ver in self.times if ver <= copy]
        self.returned_ms = self.now_ms
        self.rewrite_ms = step.rewrite_ms
        store.status = 0

    def change(self, instance: str, how: str) -> None:
        runner = self.runners[instance]
        if how == 'start':
            runner.born += 1
            runner.state = 'ready'
            self.write_row(instance, runner)
        elif how == 'drain' and runner.state == 'ready':
            runner.state = 'draining'
            self.write_row(instance, runner)
        elif how == 'leave' and runner.state != 'left':
            runner.state = 'left'
            self.deployment.store.remove('servers', instance)

    async def check(self) -> None:
        for number, entry in enumerate(self.deployment.entries):
            self.check_runners(number, entry)
            self.check_tables(number, entry)
            await self.check_key(number)

    def check_runners(self, number, entry) -> None:
        for instance, runner in self.runners.items():
            listed = entry._directory.get(instance)
            is_current = listed is not None and (
                listed.record.started_ms == runner.born
            )
            is_ready = is_current and (
                listed.record.state is UpstreamState.READY
            )
            known = (number, instance, runner.born)
            if is_current:
                self.seen.add(known)
            if is_ready:
                assert known not in self.known_leaving, f'{known} is used again'
            elif runner.state != 'ready' and known in self.seen:
                self.known_leaving.add(known)

    def check_tables(self, number, entry) -> None:
        version = entry._holder.table.version
        assert version >= self.version_by_entry.get(number, 0)
        self.version_by_entry[number] = version
        watches = entry._watches
        for watch in (watches.version, watches.runners, watches.entries):
            eras = {
                row.version.era for row in watch.history._row_by_key.values()
            }
            assert eras <= {watch.history.version.era}, (
                f'{watch.table} is mixed'
            )

    async def check_key(self, number: int) -> None:
        sent_ms, removed_ms = self.now_ms, self.other_key_removed_ms
        front = f'10.1.0.{number + 1}:8000'
        answer = await self.deployment.call('/any/x', front, key=OTHER_KEY)
        if removed_ms is not None and sent_ms > removed_ms + REVOKE_MS:
            assert answer.status in {401, 503}, f'removed key at {number}'

    async def check_end(self) -> None:
        """Check that all entries know what the store holds in the end."""
        self.cut.clear()
        store = self.deployment.store
        store.late_ms = 0
        await self.deployment.clock.sleep_ms(ENTRY_BACKOFF_MS + 5000)
        self.writer.cancel()
        await self.deployment.clock.sleep_ms(2000)
        await self.check()
        for number, entry in enumerate(self.deployment.entries):
            watches = entry._watches
            for watch in (watches.version, watches.runners, watches.entries):
                stored = {
                    key: (row.ver, row.payload)
                    for (table, key), row in store._row_by_key.items()
                    if table == watch.table
                }
                held = {
                    key: (row.version.number, row.payload)
                    for key, row in watch.history._row_by_key.items()
                }
                assert held == stored, f'{watch.table} of entry {number}'
            assert entry._holder.table.version == self.newest['version']
            front = f'10.1.0.{number + 1}:8000'
            answer = await self.deployment.call('/any/x', front, key=KEPT_KEY)
            assert answer.status == 200
        assert len(stored) == ENTRIES


async def _explore(steps: list[object]) -> None:
    world = await World.start()
    for step in steps:
        await world.play(step)
        await world.check()
    await world.check_end()


@settings(max_examples=40)
@given(st.lists(STEPS, min_size=3, max_size=14))
def test_store_that_falls_back_at_any_step_misleads_nobody(steps):
    run_in_memory(_explore(steps))
