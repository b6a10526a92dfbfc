"""Ranks under shortage: precedence, shares, and streams of three ranks."""

from __future__ import annotations

import asyncio
import random
from functools import lru_cache

import pytest

from benchmarks.overload_model import (
    DEFAULT_RATE_PER_MS,
    Kind,
    ModelEntry,
    Outcomes,
    OverloadModel,
    Stream,
)
from bergamotthread.clock import Clock
from bergamotthread.connection.http.caller_connection import CallerLimits
from bergamotthread.process.overload.rank import SINGLE_RANK, Rank
from bergamotthread.process.overload.rank_use import (
    ADMITTED_SHARE_MIN,
    UNEXPECTED_SHARE_MAX,
    ArrivalsBefore,
    RankUse,
    kept_prompts,
    stretch_of,
)
from bergamotthread.process.relay.choice import RelayPlacementRequest
from bergamotthread.process.relay.stream_gate import StreamDemand, StreamGate
from bergamotthread.testing.memory_http import run_in_memory
from bergamotthread.version.route_table import (
    RelayRoute,
    Repeatability,
    RouteTable,
    WeightedService,
)
from standins.platform_runner import MODEL, route_of
from tests.platform_standins import Deployment

ENTRIES = 24
ENGINES = 44
SECONDS = 16.0
URGENT = Kind(4000, Rank(0, 3), weight=2.6, worth=43)
ROUTINE = Kind(5000, Rank(1, 3), weight=5.3, worth=23)
OVERNIGHT = Kind(10_000, Rank(2, 3), weight=2.6, worth=11)
KINDS = (URGENT, ROUTINE, OVERNIGHT)


@lru_cache
def _offer(times: float, kinds: tuple[Kind, ...] = KINDS) -> Outcomes:
    """Offer so many streams a second and engine, after a calm start."""
    model = OverloadModel((DEFAULT_RATE_PER_MS,) * ENGINES, ENTRIES)
    model.offer(ENGINES / 4, 4, kinds=kinds)
    return model.offer(ENGINES * times, SECONDS, kinds=kinds)


def _unranked() -> tuple[Kind, ...]:
    return tuple(
        Kind(kind.target_ms, SINGLE_RANK, kind.weight, kind.worth)
        for kind in KINDS
    )


def _streams(outcomes: Outcomes, kind: Kind) -> tuple[list[Stream], int]:
    """Return the placed streams of a kind, and the number offered."""
    offered = [
        stream
        for stream in outcomes.offered
        if stream.target_ms == kind.target_ms
    ]
    placed = {stream.name for stream in outcomes.placed_streams}
    return [one for one in offered if one.name in placed], len(offered)


def _in_time_share(outcomes: Outcomes, kind: Kind) -> float:
    placed, offered = _streams(outcomes, kind)
    return sum(stream.is_in_time for stream in placed) / offered


def _value(outcomes: Outcomes) -> float:
    return sum(
        kind.worth * sum(one.is_in_time for one in _streams(outcomes, kind)[0])
        for kind in KINDS
    )


def _route(name: str, priority: int) -> RelayRoute:
    return RelayRoute(
        name,
        b'host',
        b'/',
        (WeightedService('model'),),
        Repeatability.RESUMABLE,
        is_stream=True,
        max_attempts=1,
        timeout_ms=1000,
        first_event_target_ms=500,
        priority=priority,
    )


def test_priority_of_the_team_goes_before_that_of_the_route():
    urgent, batch = _route('urgent', 0), _route('batch', 2)
    teams = {b'k1': 'large', b'k2': 'small', b'k3': 'none'}
    table = RouteTable(
        1,
        (urgent, batch),
        {},
        CallerLimits(1, 1, 1, 1),
        teams,
        {'large': 1, 'small': 0},
    )
    ordered = [
        table.rank(route, 'model', team)
        for team, route in (
            ('small', urgent),
            ('none', urgent),
            ('small', batch),
            ('large', urgent),
            ('large', batch),
            ('none', batch),
        )
    ]
    positions = [rank.position for rank in ordered]
    assert positions == [0, 0, 1, 2, 3, 4]
    assert all(rank.count == 5 for rank in ordered)


def test_rank_without_another_one_tells_upstreams_nothing():
    route = _route('only', 3)
    table = RouteTable(1, (route,), {}, CallerLimits(1, 1, 1, 1), None)
    rank = table.rank(route, 'model', '')
    assert (rank.matters, rank.urgency) == (False, None)
    assert Rank(12, 20).urgency == 9


def _use() -> tuple[RankUse, list[float]]:
    now_ms = [0.0]
    clock = Clock(lambda: now_ms[0] / 1000, lambda: 0)
    return RankUse(clock, random.Random(2)), now_ms


def test_rank_that_gets_nothing_competes_as_the_most_urgent_in_its_share():
    use, now_ms = _use()
    promoted = 0
    for _ in range(2000):
        now_ms[0] += 10
        use.admit(URGENT.rank, use.offer(URGENT.rank))
        promoted += use.offer(OVERNIGHT.rank) == Rank(0, 3)
    assert promoted / 2000 == pytest.approx(ADMITTED_SHARE_MIN / 2, rel=0.2)


def test_rank_that_gets_its_share_is_not_promoted():
    use, now_ms = _use()
    for number in range(2000):
        now_ms[0] += 10
        use.admit(URGENT.rank, use.offer(URGENT.rank))
        competing = use.offer(OVERNIGHT.rank)
        assert number < 10 or competing == OVERNIGHT.rank
        if number % 2:
            use.admit(OVERNIGHT.rank, competing)


def test_nothing_is_promoted_while_nobody_is_admitted():
    use, _ = _use()
    for _ in range(500):
        assert use.offer(URGENT.rank) == URGENT.rank
        assert use.offer(OVERNIGHT.rank) == OVERNIGHT.rank


def test_mix_that_waits_follows_from_how_long_each_rank_waited():
    use, now_ms = _use()
    assert use.ahead_share(URGENT.rank) == 1
    for _ in range(600):
        now_ms[0] += 10
        use.record_wait(URGENT.rank, 100)
        use.record_wait(OVERNIGHT.rank, 900)
    assert use.ahead_share(URGENT.rank) == pytest.approx(0.1)
    assert use.ahead_share(ROUTINE.rank) == pytest.approx(0.1)
    assert use.ahead_share(OVERNIGHT.rank) == 1


@pytest.mark.parametrize('expected', [0, 0.05, 0.25, 1, 3])
def test_room_is_kept_for_as_many_arrivals_as_are_probable(expected):
    rng = random.Random(1)
    kept = kept_prompts(expected)
    arrivals = [
        sum(1 for _ in range(1000) if rng.random() < expected / 1000)
        for _ in range(2000)
    ]
    more = sum(count > kept for count in arrivals) / len(arrivals)
    as_many = sum(count >= kept for count in arrivals) / len(arrivals)
    assert more <= UNEXPECTED_SHARE_MAX + 0.02
    assert not kept or as_many > UNEXPECTED_SHARE_MAX


def test_wait_is_longer_by_more_urgent_arrivals():
    assert stretch_of(0) == 1
    assert stretch_of(0.5) == 2
    assert stretch_of(5) == pytest.approx(5)


def test_urgent_streams_are_served_while_any_less_urgent_one_is():
    """More than twice what the engines can serve, and in three ranks."""
    outcomes = _offer(2)
    assert _in_time_share(outcomes, URGENT) >= 0.9
    assert _in_time_share(outcomes, OVERNIGHT) < 0.6
    unranked = _offer(2, _unranked())
    assert _in_time_share(unranked, URGENT) < 0.5


@pytest.mark.parametrize('times', [1, 2, 4, 8])
def test_streams_in_time_are_worth_no_less_than_without_ranks(times):
    assert _value(_offer(times)) >= 0.98 * _value(_offer(times, _unranked()))


def test_no_rank_gets_nothing_for_long():
    """Eight times the load, where the urgent streams alone are too many."""
    outcomes = _offer(8)
    for kind in KINDS:
        placed, _ = _streams(outcomes, kind)
        sent_ms = [stream.sent_ms for stream in placed]
        start_ms = outcomes.offered[0].sent_ms
        end_ms = outcomes.offered[-1].sent_ms
        moments = [start_ms, *sent_ms, end_ms]
        longest_ms = max(
            after - before
            for before, after in zip(moments, moments[1:], strict=False)
        )
        assert longest_ms < 8000


def test_more_load_does_not_reduce_the_streams_in_time():
    peak = max(_offer(times).in_time for times in (1, 2, 4))
    assert _offer(8).in_time >= 0.95 * peak


def test_urgency_at_the_engine_alone_refuses_urgent_streams(monkeypatch):
    """Guards against a model in which the gate's ranks do not matter."""
    monkeypatch.setattr(RankUse, 'offer', lambda _, rank: rank)
    monkeypatch.setattr(RankUse, 'ahead_share', lambda *_: 1)
    monkeypatch.setattr(RankUse, 'before', lambda *_: ArrivalsBefore(0, 0))
    monkeypatch.setattr(StreamGate, '_unseen', _unseen_of_all_ranks)
    assert _in_time_share(_offer.__wrapped__(2), URGENT) < 0.7


def _unseen_of_all_ranks(gate, rates, _, view):
    last = Rank(2, 3)
    others = gate.count_entries() - 1
    per_ms = rates.per_ms(last, gate.clock.now_ms())
    return per_ms * others * (view.report_age_ms + 150)


URGENCY = b'bergamotthread-request-urgency'
FORGED = ((URGENCY, b'0'),)


def test_attempts_carry_the_urgency_of_their_rank_after_a_loss_too():
    async def check():
        batch = route_of(
            '/batch-stream/', 'streaming', MODEL, stream_resume=True, priority=2
        )
        deployment = await Deployment.start(routes=(batch,))
        task = asyncio.create_task(
            deployment.call('/batch-stream/x', extra=FORGED)
        )
        await deployment.clock.sleep_ms(1500)
        next(model for model in deployment.models if model.seen).kill()
        assert (await task).is_whole
        assert (await deployment.call('/stream/x')).is_whole
        urgencies = [
            seen.headers[URGENCY]
            for model in deployment.models
            for seen in model.seen
        ]
        *resumed, urgent = sorted(urgencies, reverse=True)
        assert urgent == b'0'
        assert len(resumed) > 1
        assert set(resumed) == {b'1'}
        *of_batch, of_urgent = deployment.events('placed')
        assert {line['urgency'] for line in of_batch} == {1}
        assert of_urgent['urgency'] == 0
        assert not of_urgent['is_promoted']

    run_in_memory(check())


def test_service_with_one_rank_is_told_no_urgency():
    async def check():
        deployment = await Deployment.start()
        assert (await deployment.call('/stream/x', extra=FORGED)).is_whole
        [seen] = [one for model in deployment.models for one in model.seen]
        assert URGENCY not in seen.headers

    run_in_memory(check())


def test_more_urgent_callers_return_first():
    """The same engine with a backlog, seen by streams of each rank."""
    model = OverloadModel((DEFAULT_RATE_PER_MS,) * 9, entries=6)
    model.offer(per_s=36, seconds=8, kinds=KINDS)
    entry = model.entries[0]
    means_ms = [_mean_retry_after_ms(model, entry, kind) for kind in KINDS]
    assert means_ms == sorted(means_ms)
    assert means_ms[0] < 0.7 * means_ms[-1]


def _mean_retry_after_ms(
    model: OverloadModel, entry: ModelEntry, kind: Kind
) -> float:
    request = entry._with_precedence(
        kind.rank, RelayPlacementRequest('model', 8000)
    )
    engines = list(entry.directory.of_service('model'))
    demand = StreamDemand(
        'model', 'r', 't', 4500, model.now_ms, 25_000, kind.rank
    )
    entry._rank(engines, request)
    waits_ms = [
        entry.gate._refuse(
            'engines', demand, entry._view(engine, request)
        ).retry_after_ms
        for engine in engines
        for _ in range(50)
    ]
    return sum(waits_ms) / len(waits_ms)
