"""Tests of the decision whether a silent upstream is lost, in virtual time."""

from __future__ import annotations

import asyncio
import math

import pytest

from bergamotthread.clock import Clock
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.liveness import (
    UPSTREAM_PROBE_TIMEOUT_MS,
    LivenessWatch,
)
from bergamotthread.process.relay.relay_metrics import RelayMetrics
from bergamotthread.process.relay.upstreams import (
    LoadReport,
    UpstreamDirectory,
    UpstreamRecord,
    UpstreamState,
)
from bergamotthread.testing.virtual_loop import run_virtual

SERVICE = 'model'
ROUND_TRIP_MS = 20
# Longest time to the decision that an upstream is lost.
DECISION_BOUND_MS = 260


class _QuietLog(DecisionLog):
    def write(self, event, **fields) -> None:
        """Keep nothing."""


class Engines:
    """Upstreams of one service that answer probes, or do not."""

    def __init__(self, domains: str) -> None:
        loop = asyncio.get_running_loop()
        self.clock = Clock.from_loop(loop)
        self.round_trip_ms_by_instance: dict[str, float] = {}
        self.directory = UpstreamDirectory(self.clock, is_loaded=True)
        self.dark: set[str] = set()
        self.held_until_ms: float = 0
        self.upstreams = [
            self.add(f'i{number}', domain)
            for number, domain in enumerate(domains)
        ]
        self.watch = LivenessWatch(
            self.clock,
            self.directory,
            self._probe,
            _QuietLog(self.clock),
            RelayMetrics.from_clock(self.clock),
        )

    def add(self, instance, domain, service=SERVICE):
        record = UpstreamRecord(
            instance,
            service,
            f'{instance}:80',
            domain,
            UpstreamState.READY,
        )
        self.directory.update(record)
        return self.directory.get(instance)

    def hold(self, duration_ms):
        """Hold up all answers, as a busy link does."""
        self.held_until_ms = self.clock.now_ms() + duration_ms

    def hear(self, *numbers):
        for number in numbers:
            self.directory.record_heard(self.upstreams[number])

    async def time_to_loss_ms(self, number, limit_ms=3000):
        """Check an upstream until it is lost; return the time taken."""
        started_ms = self.clock.now_ms()
        while await self.watch.check(self.upstreams[number]):
            if self.clock.now_ms() - started_ms > limit_ms:
                return math.inf
        return self.clock.now_ms() - started_ms

    async def _probe(self, upstream):
        if upstream.record.instance in self.dark:
            await asyncio.get_running_loop().create_future()
        round_trip_ms = self.round_trip_ms_by_instance.get(
            upstream.record.instance, ROUND_TRIP_MS
        )
        await self.clock.sleep_ms(round_trip_ms)
        held_ms = self.held_until_ms - self.clock.now_ms()
        if held_ms > 0:
            await self.clock.sleep_ms(held_ms + round_trip_ms)
        return LoadReport(0, 0, 0, 88_000, self.clock.now_ms())


# Guards against a silent upstream that is given up because it was asked before
# a stall of the own link ended, and the others after it.
@pytest.mark.parametrize('far_ms', [5, 60])
@pytest.mark.parametrize('hold_ms', range(20, 800, 20))
def test_stall_of_any_length_takes_no_upstream_for_lost(hold_ms, far_ms):
    async def check():
        engines = Engines('abc')
        engines.round_trip_ms_by_instance['i0'] = far_ms
        for delay_ms in (0, 5, 50, 100, 150):
            asking = asyncio.create_task(
                engines.watch.check(engines.upstreams[0])
            )
            await engines.clock.sleep_ms(delay_ms)
            engines.hold(hold_ms)
            assert await asking
            await engines.clock.sleep_ms(2000)

    run_virtual(check())


# Guards against an answer from before a stall that counts as a sign that the
# own path works in it.
def test_answer_from_before_a_stall_is_no_sign_that_the_path_works():
    async def check():
        engines = Engines('abc')
        await engines.watch.check(engines.upstreams[1])
        engines.hold(600)
        assert await engines.watch.check(engines.upstreams[0])

    run_virtual(check())


# Guards against one dark witness that delays the loss of the others.
@pytest.mark.parametrize(
    ('domains', 'dark'),
    [
        ('abc', {0}),
        ('abc', {0, 1}),
        ('aabbcc', {0, 1, 2, 3}),
        ('ab', {0}),
        ('aaa', {0}),
        ('aaa', {0, 1}),
        ('a', {0}),
    ],
)
def test_real_loss_is_found_in_time(domains, dark):
    async def check():
        engines = Engines(domains)
        engines.hear(*range(len(domains)))
        engines.dark = {f'i{number}' for number in dark}
        for number in dark:
            assert await engines.time_to_loss_ms(number) <= DECISION_BOUND_MS

    run_virtual(check())


# Guards against a loss that is never found because the same dark upstreams,
# which were heard last, are asked each time.
def test_idle_upstreams_are_asked_once_those_heard_last_are_silent():
    async def check():
        engines = Engines('aaaaaaaa')
        engines.hear(0, 1, 2, 3, 4)
        engines.dark = {f'i{number}' for number in range(5)}
        assert await engines.time_to_loss_ms(0) < 1000

    run_virtual(check())


# Guards against a service that is lost as a whole and is taken for a stall,
# although upstreams of other services are heard.
def test_loss_of_a_whole_service_is_found_while_others_are_heard():
    async def check():
        engines = Engines('ab')
        other = engines.add('other', 'a', 'plain')
        engines.dark = {'i0', 'i1'}

        async def talk():
            while True:
                engines.directory.record_heard(other)
                await engines.clock.sleep_ms(40)

        talking = asyncio.create_task(talk())
        assert await engines.time_to_loss_ms(0) < 500
        assert not engines.watch.is_own_path_doubted
        talking.cancel()

    run_virtual(check())


# Guards against probes of others, and the time that they take, where bytes of
# other streams show that the path works.
def test_bytes_of_other_upstreams_stand_in_for_witnesses():
    async def check():
        engines = Engines('abc')
        engines.dark = {'i0'}

        async def talk():
            while True:
                engines.hear(1)
                await engines.clock.sleep_ms(40)

        talking = asyncio.create_task(talk())
        assert await engines.time_to_loss_ms(0) <= UPSTREAM_PROBE_TIMEOUT_MS
        assert engines.watch.probes_sent == 1
        talking.cancel()

    run_virtual(check())


# Guards against probes of witnesses beside each probe that is answered.
def test_upstream_that_answers_is_asked_alone():
    async def check():
        engines = Engines('abc')
        for _ in range(5):
            assert await engines.watch.check(engines.upstreams[0])
            await engines.clock.sleep_ms(500)
        assert engines.watch.probes_sent == 5

    run_virtual(check())
