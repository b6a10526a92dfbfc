"""Copies of KV cache give way to prompts, in a burst and on a calm day."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest

from bergamotthread.clock import Clock
from bergamotthread.process.overload.run_statistics import RunStatistics
from bergamotthread.process.relay.choice import (
    PROMPT_MEMORY_AGE_MS,
    UpstreamChoice,
)
from bergamotthread.process.relay.copy_room import (
    COPY_KV_FRACTION_MAX,
    PromptMemory,
    gives_way,
    mean_prompt_tokens,
)
from bergamotthread.process.relay.upstreams import (
    LoadReport,
    RunProgress,
    Upstream,
)
from bergamotthread.request.relay.copies import (
    RECOPY_INTERVAL_MS,
    CopyManager,
)
from tests.reading_engine import (
    KV_TOKENS,
    PROMPT_TOKENS,
    ReadingEngine,
    directory_of,
)

OUTPUT_TOKENS = 780
RUN_TOKENS = PROMPT_TOKENS + OUTPUT_TOKENS
ENGINES = 10
NOW_MS = 60_000.0


def _report(
    runs: int, copies: int = 0, waiting: int = 0, events: int = 65
) -> LoadReport:
    tokens = PROMPT_TOKENS + 6 * events
    return LoadReport(
        waiting,
        runs,
        (runs + copies) * tokens,
        KV_TOKENS,
        at_ms=NOW_MS,
        waiting_tokens=waiting * PROMPT_TOKENS,
        runs=tuple(
            RunProgress(f'r{number}', tokens, events) for number in range(runs)
        ),
        copies=copies,
    )


def _choice(*reports: LoadReport) -> tuple[UpstreamChoice, list[Upstream]]:
    clock = Clock(lambda: NOW_MS / 1000, lambda: NOW_MS / 1000)
    engines = [ReadingEngine(f'u{number}') for number in range(len(reports))]
    directory = directory_of(engines, clock)
    upstreams = list(directory.of_service('s'))
    for upstream, report in zip(upstreams, reports, strict=True):
        upstream.report = report
    outputs = directory.outputs('s')
    outputs.record_end(OUTPUT_TOKENS // 6, 5000, weight=1)
    outputs.record_growth(6)
    choice = UpstreamChoice(directory, 'd', {}, random.Random(1))
    return choice, upstreams


def _copies_placed(runs: int, others: int) -> int:
    """Return the copies that an engine gets beside its own runs.

    Parameters
    ----------
    others
        Runs at each of the other engines.
    """
    reports = [_report(runs), *[_report(others)] * (ENGINES - 1)]
    choice, [holder, *_] = _choice(*reports)
    copies = 0
    while choice.copy_holder_among([holder], PROMPT_TOKENS) is not None:
        copies += 1
        holder.report = _report(runs, copies)
    return copies


def test_copies_leave_room_for_the_prompts_of_a_burst():
    """A burst has filled the others; the holder gets as many prompts soon."""
    copies = _copies_placed(runs=1, others=6)
    mean_runs = (1 + (ENGINES - 1) * 6) / ENGINES
    expected_tokens = (mean_runs + copies) * RUN_TOKENS
    assert expected_tokens <= COPY_KV_FRACTION_MAX * KV_TOKENS
    assert copies >= 1


def test_calm_day_has_a_copy_of_each_run():
    """On a day with losses all runs need theirs."""
    assert _copies_placed(runs=2, others=2) >= 4


@pytest.mark.parametrize('others', [2, 4, 6, 8])
def test_holder_with_less_than_the_mean_gets_no_more_than_the_others(others):
    assert _copies_placed(0, others) <= _copies_placed(others, others) + 1


def test_prompts_count_until_their_ends():
    choice, [upstream] = _choice(_report(runs=3, waiting=1))
    outputs = choice.directory.outputs('s')
    memory = PromptMemory.at(upstream, outputs)
    assert memory.tokens == pytest.approx(4 * RUN_TOKENS)
    assert memory.growth_tokens == pytest.approx(2.5 * OUTPUT_TOKENS)


def test_copies_of_others_are_no_prompts():
    choice, [upstream] = _choice(_report(runs=1, copies=3))
    memory = PromptMemory.at(upstream, choice.directory.outputs('s'))
    assert memory.tokens == pytest.approx(RUN_TOKENS)


def test_reports_from_before_the_burst_say_nothing_of_it():
    _, [busy, idle] = _choice(_report(runs=6), _report(runs=0))
    outputs = RunStatistics()
    both = mean_prompt_tokens([busy, idle], outputs, NOW_MS)
    assert both == pytest.approx(3 * (PROMPT_TOKENS + 390))
    since_ms = NOW_MS + PROMPT_MEMORY_AGE_MS
    assert mean_prompt_tokens([busy, idle], outputs, since_ms) == 0


def test_copy_gives_way_where_prompts_wait_now():
    _, [queueing, idle] = _choice(_report(9, waiting=2), _report(1))
    assert gives_way(queueing, NOW_MS - 1)
    assert not gives_way(queueing, NOW_MS + 1)
    assert not gives_way(idle, NOW_MS - 1)


def test_copy_that_the_entry_made_is_freed_where_prompts_wait():
    """Its memory goes to the prompts, and the next copy goes elsewhere."""
    choice, [source, busy, idle] = _choice(_report(1), _report(1), _report(1))
    now_ms = [NOW_MS]
    freed = []

    async def copy(_source, _label, target):
        return f'{target.address}/h'

    async def drop(_source, copy_id):
        freed.append(copy_id)

    parts = SimpleNamespace(
        clock=SimpleNamespace(now_ms=lambda: now_ms[0]),
        directory=choice.directory,
        choice=SimpleNamespace(choose_copy_holder=lambda *_: holders.pop(0)),
        kv_cache=SimpleNamespace(copy=copy, drop=drop),
        log=SimpleNamespace(write=lambda *_, **__: None),
    )
    holders = [busy, idle]

    async def run():
        manager = CopyManager(parts, 'r', PROMPT_TOKENS)
        manager.start_attempt(source, None)
        for report in (_report(1), _report(9, waiting=2), _report(1)):
            busy.report = replace(report, at_ms=now_ms[0])
            manager.renew(lambda: None)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            now_ms[0] += RECOPY_INTERVAL_MS
        return manager.pop()

    copy_left = asyncio.run(run())
    assert freed == [f'{busy.address}/h']
    assert copy_left is not None
    assert copy_left.holder is idle
    assert busy.held_tokens == 0
