"""Wait of a stream for room at its engine."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from bergamotthread.clock import Clock
from bergamotthread.process.overload.rank import SINGLE_RANK, Rank
from bergamotthread.process.overload.rank_use import Precedence
from bergamotthread.process.overload.run_statistics import RunStatistics
from bergamotthread.process.relay.engine_forecast import forecast_engine
from bergamotthread.process.relay.upstreams import (
    LoadReport,
    RoomClaim,
    RunProgress,
    Upstream,
)
from bergamotthread.request.relay.room_wait import (
    PLACE_ELSEWHERE_MS,
    RoomWait,
)
from bergamotthread.testing.memory_http import run_in_memory
from tests.reading_engine import upstream_with

DEADLINE_MS = 1800


class _Parts(SimpleNamespace):
    """Engine that has room from a time on, and that may be lost."""

    def __init__(self, has_room_ms: float, lost_ms: float = 1e9) -> None:
        super().__init__(now_ms=0.0, logged=[], waits=[])
        self.clock = SimpleNamespace(
            now_ms=lambda: self.now_ms, sleep_ms=self._sleep_ms
        )
        self.choice = SimpleNamespace(
            forecast=lambda *_: SimpleNamespace(
                work=SimpleNamespace(
                    overfill_ms=max(has_room_ms - self.now_ms, 0)
                )
            )
        )
        self.liveness = SimpleNamespace(refresh_report=self._refresh)
        self.log = SimpleNamespace(write=self._write)
        self.metrics = SimpleNamespace(
            room_wait_ms=SimpleNamespace(record=self.waits.append)
        )
        self.lost_ms = lost_ms

    async def _sleep_ms(self, duration_ms: float) -> None:
        self.now_ms += duration_ms
        await asyncio.sleep(0)

    async def _refresh(self, _upstream) -> bool:
        return self.now_ms < self.lost_ms

    def _write(self, event, **fields) -> None:
        self.logged.append((event, fields['is_sent']))


def _wait(parts: _Parts, upstream: Upstream, rank: Rank = SINGLE_RANK):
    call = SimpleNamespace(request_label='r')
    return RoomWait(call, parts, DEADLINE_MS).wait(upstream, None, rank)


@pytest.mark.parametrize(
    ('has_room_ms', 'is_sent', 'waited_ms'),
    [(0, True, []), (60, True, [150]), (900, True, [900]), (1700, False, [0])],
)
def test_prompt_is_sent_once_there_is_room_or_placed_elsewhere(
    has_room_ms, is_sent, waited_ms
):
    parts = _Parts(has_room_ms)
    assert asyncio.run(_wait(parts, upstream_with(None))) is is_sent
    assert parts.waits == waited_ms
    assert parts.now_ms <= DEADLINE_MS - PLACE_ELSEWHERE_MS


def test_engine_that_is_lost_meanwhile_gets_no_prompt():
    parts = _Parts(has_room_ms=900, lost_ms=500)
    assert not asyncio.run(_wait(parts, upstream_with(None)))
    assert parts.logged == [('room-awaited', False)]


def test_room_is_not_promised_twice():
    parts = _Parts(has_room_ms=900)
    upstream = upstream_with(None)
    upstream.room_claim = RoomClaim(SINGLE_RANK)
    assert not asyncio.run(_wait(parts, upstream))
    assert parts.waits == [150]
    upstream.room_claim = None
    assert asyncio.run(_wait(parts, upstream))
    assert upstream.room_claim is None


def test_more_urgent_stream_takes_the_place_of_one_that_waits():
    async def check():
        parts = _Parts(has_room_ms=900)
        upstream = upstream_with(None)
        clock = Clock.from_loop(asyncio.get_running_loop())
        start_ms = clock.now_ms()
        parts.clock = SimpleNamespace(
            now_ms=lambda: parts.now_ms, sleep_ms=clock.sleep_ms
        )

        async def tick():
            while True:
                parts.now_ms = clock.now_ms() - start_ms
                await clock.sleep_ms(1)

        ticking = asyncio.create_task(tick())
        batch = asyncio.create_task(_wait(parts, upstream, Rank(2, 3)))
        await clock.sleep_ms(100)
        urgent = _wait(parts, upstream, Rank(0, 3))
        assert await asyncio.gather(urgent, batch) == [True, False]
        assert upstream.room_claim is None
        ticking.cancel()

    run_in_memory(check())


# Guards against: a less urgent stream, for which the gate has found memory
# beside that which is kept for others, waits for memory that stays free.
def test_memory_that_is_kept_for_others_is_not_waited_for():
    report = LoadReport(
        queued=0,
        running=5,
        kv_used=42_000,
        kv_total=88_000,
        at_ms=0,
        runs=tuple(RunProgress(f'{n}', 8400, 50, 1) for n in range(5)),
    )
    upstream = upstream_with(report)
    outputs = RunStatistics()
    outputs.record_end(130, 4300)
    outputs.record_growth(6)
    kept = Precedence(kept_tokens=37_000, urgency=1)
    gate = forecast_engine(upstream, 8200, outputs, kept)
    assert gate.free_prompts >= 1
    assert gate.work.overfill_ms
    waits = forecast_engine(upstream, 8200, outputs, kept.while_waiting)
    assert not waits.work.overfill_ms


# Guards against: what no longer counts as kept preempts the runs of less urgent
# streams in its place.
def test_stream_that_leaves_memory_to_others_preempts_none():
    kept = Precedence(kept_tokens=37_000, urgency=1)
    assert kept.while_waiting.urgency is None
    most_urgent = Precedence(urgency=0)
    assert most_urgent.while_waiting == most_urgent
