"""Kept beginnings of prompts against the wait, in a model without a network.

Loads: callers that return to engines under even and uneven load, callers that
never return, engines whose memory is short.
"""

from __future__ import annotations

import random

import pytest

from bergamotthread.clock import Clock
from bergamotthread.process.relay.choice import (
    RelayPlacementRequest,
    UpstreamChoice,
)
from bergamotthread.process.relay.kept_prompts import (
    PROMPTS_KEPT,
    KeptPrompts,
    kept_share,
)
from bergamotthread.process.relay.upstreams import (
    LoadReport,
    RunProgress,
    Upstream,
    UpstreamDirectory,
)
from tests.reading_engine import (
    KV_TOKENS,
    PROMPT_TOKENS,
    ReadingEngine,
    directory_of,
    record,
    upstream_with,
)

ENGINES = 12
ENTRIES = 6


def _rank_200(_choice, _upstream, rank, _request):
    """Return the cost of the version before: fixed, for each rank."""
    return 200.0 * rank


def _no_affinity(*_):
    return 0.0


def _play(
    returning: float, hot_per_s: float, seed: int = 1
) -> tuple[float, float, int]:
    """Return mean and p99 of the first event in ms, and the tokens saved.

    Parameters
    ----------
    returning
        Share of the streams of callers that came before.
    hot_per_s
        Further prompts a second at each of three engines, from elsewhere.
    """
    rng = random.Random(seed)
    now = [1000.0]
    clock = Clock(lambda: now[0] / 1000, lambda: now[0] / 1000)
    engines = {
        f'e{number}': ReadingEngine(f'e{number}') for number in range(ENGINES)
    }
    choices = [
        UpstreamChoice(
            directory_of(engines.values(), clock), 'd', {'d': 'r'}, rng
        )
        for _ in range(ENTRIES)
    ]
    callers: list[tuple[bytes, UpstreamChoice]] = []
    first_ms: list[float] = []
    next_hot_ms = 0.0
    while now[0] < 120_000:
        now[0] += rng.expovariate(0.3 * ENGINES / 1000)
        while hot_per_s and next_hot_ms < now[0]:
            next_hot_ms += rng.expovariate(3 * hot_per_s / 1000)
            name = rng.choice(list(engines)[:3])
            engines[name].send(next_hot_ms, PROMPT_TOKENS, rng.randbytes(8))
        if callers and rng.random() < returning:
            key, choice = rng.choice(callers[-40:])
            if rng.random() < 0.4:
                choice = rng.choice(choices)
        else:
            key, choice = rng.randbytes(8), rng.choice(choices)
            callers.append((key, choice))
        request = RelayPlacementRequest('s', PROMPT_TOKENS, affinity=key)
        drawn = choice.draw_candidates(request)
        for upstream in drawn:
            engine = engines[upstream.record.instance]
            upstream.apply_report(engine.report(now[0]))
        ranked = [
            (
                choice.cost_ms(upstream, request)
                + choice.affinity_cost_ms(upstream, rank, request),
                upstream,
            )
            for rank, upstream in enumerate(drawn)
        ]
        _, chosen = min(ranked, key=lambda pair: pair[0])
        chosen.record_send(PROMPT_TOKENS, now[0])
        engine = engines[chosen.record.instance]
        first_ms.append(engine.send(now[0], PROMPT_TOKENS, key))
        choice.kept.record(chosen, key, PROMPT_TOKENS, is_new=True)
    saved = sum(engine.saved_tokens for engine in engines.values())
    return (
        sum(first_ms) / len(first_ms),
        sorted(first_ms)[int(len(first_ms) * 0.99)],
        saved,
    )


@pytest.mark.parametrize('hot_per_s', [0, 0.6])
@pytest.mark.parametrize('returning', [0, 0.3])
def test_first_event_is_no_later_than_without_and_with_a_fixed_affinity(
    returning, hot_per_s, monkeypatch
):
    mean_ms, p99_ms, saved = _play(returning, hot_per_s)
    monkeypatch.setattr(UpstreamChoice, 'affinity_cost_ms', _no_affinity)
    mean_without_ms, p99_without_ms, saved_without = _play(returning, hot_per_s)
    monkeypatch.setattr(UpstreamChoice, 'affinity_cost_ms', _rank_200)
    mean_fixed_ms, _, _ = _play(returning, hot_per_s)
    assert mean_ms <= 1.02 * min(mean_without_ms, mean_fixed_ms)
    assert p99_ms <= 1.1 * p99_without_ms
    if returning:
        assert saved > saved_without


def _upstream(kv_used: int = 0, runs: int = 0) -> Upstream:
    progress = tuple(RunProgress(f'{n}', 8200, 10) for n in range(runs))
    return upstream_with(
        LoadReport(0, runs, kv_used, KV_TOKENS, at_ms=0, runs=progress)
    )


def _kept() -> tuple[KeptPrompts, UpstreamDirectory, list[float]]:
    now = [1000.0]
    clock = Clock(lambda: now[0] / 1000, lambda: now[0] / 1000)
    return KeptPrompts(clock), UpstreamDirectory(clock), now


def test_kept_prompt_is_forgotten_as_others_fill_the_memory():
    kept, directory, now = _kept()
    outputs = directory.outputs('s')
    upstream = _upstream(kv_used=41_000, runs=5)
    kept.record(upstream, b'k', 8200, is_new=True)
    assert kept.cached_tokens(upstream, b'k', outputs) == 8200
    now[0] += 5000
    later = kept.cached_tokens(upstream, b'k', outputs)
    assert 0 < later < 8200
    full = _upstream(kv_used=KV_TOKENS, runs=10)
    assert kept_share(full, outputs, 1) == 0
    assert kept_share(_upstream(), outputs, 60_000) == 1


def test_restarted_engine_keeps_nothing():
    kept, directory, _ = _kept()
    kept.record(_upstream(), b'k', 8200, is_new=True)
    restarted = Upstream(record('u', started_ms=2), report=_upstream().report)
    assert not kept.cached_tokens(restarted, b'k', directory.outputs('s'))


def test_callers_that_never_return_make_the_affinity_count_for_nothing():
    kept, directory, _ = _kept()
    outputs = directory.outputs('s')
    upstream = _upstream()
    assert kept.expected_share(upstream, b'new', outputs) == 0.2
    for number in range(200):
        kept.record(upstream, b'%d' % number, 8200, is_new=True)
    assert kept.expected_share(upstream, b'new', outputs) < 0.02
    assert kept.expected_share(upstream, b'7', outputs) == 0


def test_prompts_are_kept_for_a_bounded_number_of_callers():
    kept, directory, _ = _kept()
    upstream = _upstream()
    for number in range(PROMPTS_KEPT + 1):
        kept.record(upstream, b'%d' % number, 8200, is_new=False)
    assert not kept.cached_tokens(upstream, b'0', directory.outputs('s'))
    assert kept.cached_tokens(upstream, b'1', directory.outputs('s'))


def test_no_prompt_waits_longer_than_the_cached_beginning_saves():
    """A second of prefill is saved, and two prompts wait there."""
    clock = Clock(lambda: 1.0, lambda: 1.0)
    engines = [ReadingEngine('caching'), ReadingEngine('idle')]
    directory = directory_of(engines, clock)
    choice = UpstreamChoice(directory, 'd', {'d': 'r'}, random.Random(1))
    request = RelayPlacementRequest('s', 8000, affinity=b'k')
    caching, idle = directory.of_service('s')

    def cheaper(unread: int) -> Upstream:
        caching.report = LoadReport(0, 1, 0, KV_TOKENS, 1000, unread)
        idle.report = LoadReport(0, 0, 0, KV_TOKENS, 1000)
        return min(
            (caching, idle),
            key=lambda upstream: (
                choice.cost_ms(upstream, request)
                + choice.affinity_cost_ms(upstream, 1, request)
            ),
        )

    choice.kept.record(caching, b'k', 8000, is_new=True)
    assert cheaper(unread=7000) is caching
    assert cheaper(unread=9000) is idle
