"""An entry that knows its own core and link."""

from __future__ import annotations

import asyncio
import json

import pytest

from bergamotthread.clock import Clock
from bergamotthread.platform.settings import PlatformSettings
from bergamotthread.process.machine_limits import MachineLimits
from bergamotthread.process.overload.rank import Rank
from bergamotthread.process.relay.own_load import (
    UNREADY_MAX_MS,
    UNREADY_PERIOD_MS,
    OwnLoad,
    OwnUse,
)
from bergamotthread.testing.memory_http import run_in_memory
from standins.platform_settings import entry_settings
from tests.platform_standins import STORE, Deployment

STEP_MS = 200
WEAK = MachineLimits(0.271, 128_000_000, 625_000)
STRONG = MachineLimits(2.15, 552_000_000, 12_500_000)
RANKS = [Rank(position, 3) for position in range(3)]


class _Machine:
    """Machine whose use is fed in steps; offers work of all ranks evenly."""

    def __init__(self, machine: MachineLimits) -> None:
        self.now_ms = 0.0
        clock = Clock(lambda: self.now_ms / 1000, lambda: 0)
        self.load = OwnLoad(clock, machine)
        self.use = OwnUse(0, 0, 0, 0, 0)

    def spend(
        self,
        duration_ms: float,
        processor: float,
        late_ms: float = 0,
        bytes_per_s: float = 0,
        unsent_bytes: float = 0,
    ) -> list[bool]:
        """Use what is said for a time; return the readiness of each step."""
        ready = []
        for _ in range(int(duration_ms / STEP_MS)):
            self.now_ms += STEP_MS
            self.use = OwnUse(
                self.now_ms,
                self.use.processor_ms + processor * STEP_MS,
                self.use.sent_bytes + bytes_per_s * STEP_MS / 1000,
                unsent_bytes,
                late_ms,
            )
            self.load.record(self.use)
            ready.append(self.load.is_ready)
        return ready

    def admitted(self, ranks: list[Rank], count: int = 200) -> list[int]:
        return [
            sum(self.load.admits(rank) for _ in range(count)) for rank in ranks
        ]


# Guards against a weak edge that takes as much as a strong one and is late
# with all of it.
def test_weak_machine_refuses_the_least_urgent_first():
    weak, strong = _Machine(WEAK), _Machine(STRONG)
    for machine in (weak, strong):
        machine.spend(4000, processor=0.27, late_ms=120)
    assert strong.admitted(RANKS) == [200, 200, 200]
    urgent, routine, late = weak.admitted(RANKS)
    assert urgent == 200
    assert routine >= late
    assert 0 < late < 100


def test_single_rank_is_thinned_out_and_never_shut_out():
    weak = _Machine(WEAK)
    weak.spend(60_000, processor=0.27, late_ms=500)
    [admitted] = weak.admitted([Rank()])
    assert 35 <= admitted <= 45


@pytest.mark.parametrize(
    ('processor', 'late_ms'), [(0.27, 10), (0.1, 400), (0.2, 45)]
)
def test_busy_or_late_alone_refuses_nothing(processor, late_ms):
    weak = _Machine(WEAK)
    weak.spend(20_000, processor, late_ms)
    assert not weak.load.is_choked


def test_one_long_step_refuses_nothing():
    weak = _Machine(WEAK)
    weak.spend(STEP_MS, processor=0.27, late_ms=300)
    weak.spend(400, processor=0.1)
    assert not weak.load.is_choked


def test_link_that_can_not_carry_what_is_sent_refuses():
    weak, strong = _Machine(WEAK), _Machine(STRONG)
    for machine in (weak, strong):
        machine.spend(3000, processor=0.1, bytes_per_s=900_000)
    assert weak.load.is_choked
    assert not strong.load.is_choked
    weak.spend(20_000, processor=0.1, bytes_per_s=300_000)
    assert weak.admitted(RANKS) == [200, 200, 200]


def test_bytes_that_wait_count_only_while_the_link_is_used_up():
    weak = _Machine(WEAK)
    weak.spend(
        10_000, processor=0.1, bytes_per_s=100_000, unsent_bytes=8_000_000
    )
    assert not weak.load.is_choked
    weak.spend(10_000, processor=0.1, bytes_per_s=620_000, unsent_bytes=300_000)
    assert weak.load.is_choked


def test_short_burst_on_the_link_refuses_nothing():
    weak = _Machine(WEAK)
    weak.spend(STEP_MS, processor=0.1, bytes_per_s=1_000_000)
    weak.spend(1000, processor=0.1, bytes_per_s=500_000)
    assert not weak.load.is_choked


# Guards against readiness that flaps, which costs duties: at most a tenth of
# the time, and only for what lasts.
@pytest.mark.parametrize('period_ms', [2000, 5000, 15_000, 1_000_000])
def test_readiness_is_given_up_rarely_whatever_the_load_does(period_ms):
    weak = _Machine(WEAK)
    ready: list[bool] = []
    while weak.now_ms < 300_000:
        ready += weak.spend(period_ms / 2, processor=0.27, late_ms=300)
        ready += weak.spend(period_ms / 2, processor=0.05)
    assert ready.count(False) <= len(ready) * 0.11
    changes = sum(
        before != after for before, after in zip(ready, ready[1:], strict=False)
    )
    assert changes <= 2 * (weak.now_ms / UNREADY_PERIOD_MS + 1)


def test_lasting_choke_is_told_to_the_balancer_for_a_while():
    weak = _Machine(WEAK)
    ready = weak.spend(30_000, processor=0.27, late_ms=300)
    first = ready.index(False)
    assert first * STEP_MS > 6000
    unready_ms = ready.count(False) * STEP_MS
    assert 2000 < unready_ms <= UNREADY_MAX_MS + STEP_MS


def test_choked_entry_refuses_new_work_and_no_stream_that_is_taken_up():
    async def check():
        deployment = await Deployment.start()
        entry = deployment.entries[0]
        entry._use.load.room = 0.2
        entry._use.load.measure = lambda *_: None
        statuses = [
            (await deployment.call('/any/x', method=b'GET')).status
            for _ in range(10)
        ]
        assert statuses.count(200) == 2
        assert statuses.count(503) == 8
        assert deployment.ran(deployment.plains) == 2
        extra = ((b'last-event-id', b'5'),)
        answer = await deployment.call('/stream/x', extra=extra)
        assert answer.event_ids == list(range(6, 61))

    run_in_memory(check())


def test_refusal_for_the_own_machine_says_when_to_come_back():
    async def check():
        deployment = await Deployment.start()
        entry = deployment.entries[0]
        entry._use.held.limit_bytes = 0
        refused = await deployment.call('/stream/x')
        assert refused.status == 503
        assert float(refused.headers[b'retry-after']) >= 0.3
        [fields] = deployment.events('not-admitted')
        assert fields['reason'] == 'entry-choked'
        assert 'at most 0' in str(fields['detail'])
        assert not deployment.ran(deployment.models)

    run_in_memory(check())


def test_settings_of_the_machine_decide_on_the_platform():
    async def check():
        deployment = await Deployment.start()
        weak_file = entry_settings('weak', '10.1.0.2', 'a-1', STORE)
        weak_file['limits'] = {'link_mbps': 5, 'cpu_share': 0.271}
        weak = PlatformSettings.from_json(json.dumps(weak_file).encode())
        await deployment.add_entry(weak)
        await deployment.clock.sleep_ms(1000)
        for plain in deployment.plains:
            plain.script.answer = b'a' * 500_000
        for front in ('10.1.0.1:8000', '10.1.0.2:8000'):
            calls = [deployment.call('/any/x', front) for _ in range(4)]
            answers = await asyncio.gather(*calls)
            assert {answer.status for answer in answers} == {200}
            await deployment.clock.sleep_ms(1500)
        assert not deployment.events('entry-choked')
        [choked] = deployment.events('entry-choked', entry=1)
        assert choked['link_bytes_per_s'] == 625_000
        assert choked['link_late_ms'] > 2000
        statuses = [
            (await deployment.call('/any/x', '10.1.0.2:8000')).status
            for _ in range(6)
        ]
        assert 503 in statuses
        assert 200 in statuses
        await deployment.clock.sleep_ms(30_000)
        assert deployment.events('entry-has-room', entry=1)

    run_in_memory(check())


# Guards against one slow caller for whose sake others are refused.
def test_caller_that_reads_nothing_is_not_taken_for_a_link_that_is_used_up():
    async def check():
        deployment = await Deployment.start()
        weak_file = entry_settings('weak', '10.1.0.2', 'a-1', STORE)
        weak_file['limits'] = {'link_mbps': 5}
        weak = PlatformSettings.from_json(json.dumps(weak_file).encode())
        await deployment.add_entry(weak)
        await deployment.clock.sleep_ms(1000)
        deployment.net.window_bytes = 20_000
        connection = await deployment.connect('10.1.0.2:8000')
        connection._transport.pause_reading()
        for plain in deployment.plains:
            plain.script.answer = b'a' * 3_000_000
        connection.send(deployment.request('/any/x'), b'')
        await deployment.clock.sleep_ms(3000)
        for plain in deployment.plains:
            plain.script.answer = b'a'
        for _ in range(5):
            answer = await deployment.call('/any/x', '10.1.0.2:8000')
            assert answer.status == 200
        assert not deployment.events('entry-choked', entry=1)

    run_in_memory(check())


# Guards against a limit that isn't stated and ends the process or its service.
@pytest.mark.parametrize('stated', [0, None, -1])
def test_limit_that_is_not_stated_limits_nothing(stated):
    async def check():
        deployment = await Deployment.start()
        names = ('link_mbps', 'cpu_share', 'cores', 'memory_mb')
        odd_file = entry_settings('odd', '10.1.0.2', 'a-1', STORE)
        odd_file['limits'] = dict.fromkeys(names, stated)
        odd = PlatformSettings.from_json(json.dumps(odd_file).encode())
        await deployment.add_entry(odd)
        await deployment.clock.sleep_ms(3000)
        answers = [
            await deployment.call('/any/x', '10.1.0.2:8000') for _ in range(3)
        ]
        assert [answer.status for answer in answers] == [200] * 3
        assert not deployment.events('entry-choked', entry=1)

    run_in_memory(check())
