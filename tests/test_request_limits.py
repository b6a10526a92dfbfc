"""Limits on requests that upstreams state, on the platform's path."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, field

import pytest

from bergamotthread.process.relay.pauses import Incarnation
from bergamotthread.process.relay.request_limits import (
    LIMIT_PER_S_MAX,
    LIMIT_PER_S_MIN,
    UNSTATED_MS,
    RequestLimits,
)
from bergamotthread.testing.memory_http import run_in_memory
from tests.platform_standins import Answer, Deployment, MemoryRunner, settings

# The users' rule: from `STABLE_MS` after an upstream first stated a limit it
# gets, in any `WINDOW_MS`, at most one and a half times what that allows, and
# `SLACK` requests more, from the entries that were told `TOLD_MS` before.
STABLE_MS = 4000
WINDOW_MS = 4000
TOLD_MS = 500
LIMIT_FACTOR = 1.5
SLACK = 5
# Part of a limit that is used at least, while more is asked.
USED_FRACTION_MIN = 0.6
ZONES = ('a-1', 'b-1', 'c-1')


def most_in_a_window(times_ms: list[float], since_ms: float) -> int:
    """Return the largest number of requests in a window after a time."""
    later = sorted(at_ms for at_ms in times_ms if at_ms >= since_ms)
    counts = [
        sum(start_ms <= at_ms < start_ms + WINDOW_MS for at_ms in later)
        for start_ms in later
    ]
    return max(counts, default=0)


@dataclass
class Load:
    """Deployment whose callers ask at a steady rate through its entries."""

    deployment: Deployment
    limited: dict[MemoryRunner, float]
    stated_ms: float = 0
    answers: list[Answer] = field(default_factory=list)
    waits_ms: list[float] = field(default_factory=list)
    front_by_request: dict[bytes, str] = field(default_factory=dict)
    told_ms: dict[tuple[str, bytes], float] = field(default_factory=dict)

    @classmethod
    async def start(
        cls, entries: int = 3, service: str = 'plains', **counts: int
    ) -> Load:
        deployment = await Deployment.start(**counts)
        for number in range(2, entries + 1):
            zone = ZONES[(number - 1) % 3]
            host = f'edge-{zone[0]}-{number}'
            await deployment.add_entry(settings(host, zone, number))
        await deployment.clock.sleep_ms(12_000)
        return cls(deployment, {})

    def state(self, runners: list[MemoryRunner], per_s: float, **more) -> None:
        """Let runners state a limit from now on."""
        self.stated_ms = self.deployment.clock.now_ms()
        for runner in runners:
            self.limited[runner] = per_s
            runner.script.request_limit = str(per_s)
            for name, value in more.items():
                setattr(runner.script, name, value)

    async def ask(
        self,
        per_s: float,
        duration_s: float,
        path: str = '/any/x',
        numbers: tuple[int, ...] = (),
    ) -> None:
        """Ask through entries in turn, all or those with some numbers."""
        count = len(self.deployment.entries)
        fronts = itertools.cycle(
            f'10.1.0.{n}:8000' for n in numbers or range(1, count + 1)
        )
        tasks = []
        for number in range(int(per_s * duration_s)):
            call = self._call(f'{path}{number}', next(fronts))
            tasks.append(asyncio.create_task(call))
            await self.deployment.clock.sleep_ms(1000 / per_s)
        await asyncio.gather(*tasks)

    async def _call(self, path: str, front: str) -> None:
        clock = self.deployment.clock
        method = b'POST' if 'stream' in path else b'GET'
        started_ms = clock.now_ms()
        connection = await self.deployment.connect(front)
        request = self.deployment.request(path, method=method)
        request_id = b'r%d' % self.deployment._next_id
        self.front_by_request[request_id] = front
        connection.send(request, b'')
        answer = await self.deployment.read(connection)
        self.answers.append(answer)
        instance = answer.headers.get(b'bergamotthread-response-seal', b'')
        self.told_ms.setdefault((front, instance), clock.now_ms())
        if answer.status == 503:
            self.waits_ms.append(clock.now_ms() - started_ms)

    def arrivals_ms(self, runner: MemoryRunner) -> list[float]:
        return [seen.at_ms for seen in runner.seen]

    def told_arrivals_ms(self, runner: MemoryRunner) -> list[float]:
        """Return the arrivals from entries that had been told the limit."""
        arrivals_ms = []
        for seen in runner.seen:
            front = self.front_by_request[seen.request_id]
            pair = (front, runner.instance.encode())
            told_ms = self.told_ms.get(pair, seen.at_ms)
            if seen.at_ms >= max(told_ms, self.stated_ms) + TOLD_MS:
                arrivals_ms.append(seen.at_ms)
        return arrivals_ms

    def statuses(self) -> dict[int, int]:
        found: dict[int, int] = {}
        for answer in self.answers:
            found[answer.status] = found.get(answer.status, 0) + 1
        return found

    def check_limits(self) -> None:
        """Check that no upstream got more than it stated."""
        since_ms = self.stated_ms + STABLE_MS
        for runner, per_s in self.limited.items():
            allowed = LIMIT_FACTOR * per_s * WINDOW_MS / 1000 + SLACK
            told = self.told_arrivals_ms(runner)
            most = most_in_a_window(told, since_ms)
            assert most <= allowed, (runner.instance, most, allowed)

    def check_used(self, until_ms: float = 0) -> None:
        """Check that the upstreams together were used nearly up to it."""
        since_ms = self.stated_ms + STABLE_MS
        until_ms = until_ms or self.deployment.clock.now_ms()
        used = allowed = 0.0
        for runner, per_s in self.limited.items():
            used += sum(
                since_ms <= at_ms < until_ms
                for at_ms in self.arrivals_ms(runner)
            )
            allowed += per_s * (until_ms - since_ms) / 1000
        assert used >= USED_FRACTION_MIN * allowed, (used, allowed)


# Guards against: an upstream that states a limit gets its former part of the
# requests, while others that state none have room.
@pytest.mark.parametrize('entries', [1, 3, 14])
def test_limited_upstream_gets_what_it_states_and_others_the_rest(entries):
    async def check():
        load = await Load.start(entries, plains=4)
        load.state(load.deployment.plains[:1], 1.4)
        await load.ask(24, 16)
        load.check_limits()
        load.check_used()
        assert load.statuses() == {200: 384}

    run_in_memory(check())


# Guards against: entries that each keep the limit send several times as much.
@pytest.mark.parametrize('entries', [3, 14])
def test_where_all_upstreams_are_limited_the_rest_is_refused_at_once(entries):
    async def check():
        load = await Load.start(entries, plains=3)
        load.state(load.deployment.plains, 2)
        await load.ask(24, 16)
        load.check_limits()
        load.check_used()
        statuses = load.statuses()
        assert set(statuses) == {200, 503}
        refused = [one for one in load.answers if one.status == 503]
        waits_s = [float(one.headers[b'retry-after']) for one in refused]
        assert len(set(waits_s)) > 50
        assert max(load.waits_ms) < 500

    run_in_memory(check())


# Guards against: streams, which are placed by load reports, pass by the limit.
def test_limited_engines_get_no_more_streams_than_they_state():
    async def check():
        load = await Load.start(3, models=3)
        load.state(load.deployment.models, 0.5)
        await load.ask(6, 20, '/stream/x')
        load.check_limits()
        load.check_used()

    run_in_memory(check())


# Guards against: a limit that only errors state is ended by each other answer.
@pytest.mark.parametrize('error_every', [1, 2])
def test_limit_that_only_errors_state_is_kept(error_every):
    async def check():
        load = await Load.start(3, plains=3)
        load.state(
            load.deployment.plains,
            1,
            limits_on_errors=True,
            error_every=error_every,
        )
        await load.ask(24, 16)
        load.check_limits()

    run_in_memory(check())


# Guards against: an equal split of a limit leaves most of it unused where
# callers reach few entries.
@pytest.mark.parametrize('entries', [3, 14])
def test_limit_is_used_by_the_entries_that_are_asked(entries):
    async def check():
        load = await Load.start(entries, plains=2)
        load.state(load.deployment.plains, 2)
        await load.ask(24, 16, numbers=(2,))
        load.check_limits()
        load.check_used()

    run_in_memory(check())


def _peer(number: int) -> str:
    return f'10.1.0.{number}:7001'


def _cut(load: Load, *numbers: int) -> None:
    load.deployment.net.silent.update(_peer(number) for number in numbers)


# Guards against: entries that are cut off from each other keep the whole limit.
@pytest.mark.parametrize('cut', [(1,), (1, 2), (1, 2, 3)])
def test_limit_holds_while_entries_are_cut_from_each_other(cut):
    async def check():
        load = await Load.start(3, plains=3)
        load.state(load.deployment.plains, 3)
        await load.ask(24, 6)
        _cut(load, *cut)
        await load.ask(24, 10)
        load.deployment.net.silent.clear()
        await load.ask(24, 10)
        load.check_limits()

    run_in_memory(check())


def test_limit_holds_and_is_used_while_the_store_is_away():
    async def check():
        load = await Load.start(3, plains=3)
        await load.ask(24, 2)
        load.deployment.net.silent.add('10.200.1.7:8000')
        load.state(load.deployment.plains, 2)
        await load.ask(24, 16, '/open/x')
        load.check_limits()
        load.check_used()

    run_in_memory(check())


async def _end_entry(load: Load, number: int) -> None:
    """End an entry as a kill does: its addresses refuse connections."""
    load.deployment.tasks[number - 1].cancel()
    for port in (7000, 8000, 8001, 7001):
        load.deployment.net.kill(f'10.1.0.{number}:{port}')


# Guards against: a limit that is lost, or granted twice, with the entry that
# leases it.
@pytest.mark.parametrize('ended', [1, 2, 3, 4])
def test_limit_holds_and_is_used_after_an_entry_has_ended(ended):
    async def check():
        load = await Load.start(4, plains=3)
        load.state(load.deployment.plains, 2)
        await load.ask(24, 8)
        await _end_entry(load, ended)
        left = tuple(n for n in range(1, 5) if n != ended)
        await load.ask(24, 16, numbers=left)
        load.check_limits()
        load.check_used()

    run_in_memory(check())


# Guards against: an entry that starts anew grants what its former run granted.
def test_limit_holds_while_entries_are_started_anew_in_turn():
    async def check():
        load = await Load.start(3, plains=3)
        load.state(load.deployment.plains, 2)
        await load.ask(24, 6)
        for number in (1, 2, 3):
            await _end_entry(load, number)
            left = tuple(n for n in range(1, 4) if n != number)
            await load.ask(24, 2, numbers=left)
            zone = ZONES[number - 1]
            host = f'edge-{zone[0]}-{number}'
            await load.deployment.add_entry(settings(host, zone, number))
            await load.ask(24, 4, numbers=(1, 2, 3))
        load.check_limits()
        load.check_used()

    run_in_memory(check())


# Guards against: an answer that was under way, or one of a kind that states no
# limit, ends the limit.
def test_answer_sent_for_before_the_limit_or_just_after_does_not_end_it():
    limits = RequestLimits()
    upstream = Incarnation('u', '10.0.0.1:80', 1)
    limits.record(upstream, 2, 10_000)
    for sent_ms in (9000, 10_001, 10_000 + UNSTATED_MS - 1):
        assert limits.record_unstated(upstream, sent_ms) is None
    limits.record(upstream, 2, 11_000)
    assert limits.record_unstated(upstream, 10_000 + UNSTATED_MS) is None
    assert limits.record_unstated(upstream, 11_000 + UNSTATED_MS).per_s == 2
    assert limits.get(upstream) is None


# Guards against: an upstream that has recovered is spared for ever.
def test_limit_ends_with_answers_that_do_not_state_it():
    async def check():
        load = await Load.start(3, plains=2)
        limited = load.deployment.plains[0]
        load.state([limited], 2)
        await load.ask(24, 8)
        limited.script.request_limit = ''
        await load.ask(24, 8)
        reached = len(limited.seen)
        await load.ask(24, 4)
        assert len(limited.seen) - reached > 24
        assert len(load.deployment.events('upstream-limit-ended')) == 1

    run_in_memory(check())


def test_new_incarnation_starts_without_the_limit():
    async def check():
        load = await Load.start(1, plains=2)
        limited = load.deployment.plains[0]
        load.state([limited], 0.5)
        await load.ask(24, 8)
        limited.script.request_limit = ''
        limited.row |= {'born': int(load.deployment.clock.now_ms())}
        load.deployment.store.put('servers', limited.instance, limited.row)
        await load.deployment.clock.sleep_ms(1500)
        reached = len(limited.seen)
        await load.ask(24, 2)
        assert len(limited.seen) - reached > 12

    run_in_memory(check())


@pytest.mark.parametrize(
    ('stated', 'per_s'),
    [
        ('1.4', 1.4),
        ('2', 2),
        ('.5', 0.5),
        ('0', LIMIT_PER_S_MIN),
        ('1000000000', LIMIT_PER_S_MAX),
        ('3, 1', 1),
        ('-1', None),
        ('nan', None),
        ('1e3', None),
        ('soon', None),
        ('', None),
        ('soon, 2', 2),
    ],
)
def test_each_stated_value_is_decided(stated, per_s):
    async def check():
        deployment = await Deployment.start(plains=1)
        deployment.plains[0].script.extra = (
            (b'server-limit', stated.encode()),
        )
        answer = await deployment.call('/any/x', method=b'GET')
        assert b'server-limit' not in answer.headers
        limited = deployment.events('upstream-limited')
        invalid = deployment.events('request-limit-invalid')
        assert bool(invalid) == (per_s is None or 'soon' in stated)
        assert bool(limited) == (per_s is not None)
        upstream = deployment.entries[0]._directory.get('p0')
        limit = deployment.entries[0]._directory.limits.get(
            upstream.record.incarnation
        )
        assert (limit and limit.per_s) == per_s

    run_in_memory(check())


# Guards against: the share of an entry that stops is lost, or used twice.
def test_limit_holds_and_is_used_while_entries_stop_in_turn():
    async def check():
        load = await Load.start(3, plains=3)
        load.state(load.deployment.plains, 2)
        await load.ask(24, 6)
        for number in (1, 2, 3):
            load.deployment.entries[number - 1].stop()
            left = tuple(n for n in range(1, 4) if n != number)
            await load.ask(24, 3, numbers=left)
            await _end_entry(load, number)
            zone = ZONES[number - 1]
            host = f'edge-{zone[0]}-{number}'
            await load.deployment.add_entry(settings(host, zone, number))
            await load.ask(24, 3, numbers=left)
        load.check_limits()
        load.check_used()

    run_in_memory(check())


# Guards against: an upstream in need gets a request of each entry before all
# know of its limit, and is spared for long by entries without a share of it.
def test_entries_tell_each_other_of_a_limit_and_of_its_end():
    async def check():
        load = await Load.start(14, plains=3)
        limited = load.deployment.plains[0]
        load.state([limited], 1)
        await load.ask(12, 8)
        for number in range(14):
            assert load.deployment.events('upstream-limited', number)
        # Those under way as the first answer arrived, and the limit since.
        assert len(limited.seen) <= 14 + 8
        limited.script.request_limit = ''
        await load.ask(12, 8)
        for number in range(14):
            assert load.deployment.events('upstream-limit-ended', number)
        reached = len(limited.seen)
        await load.ask(12, 6)
        assert len(limited.seen) - reached > 12

    run_in_memory(check())
