"""Room in an engine's KV cache, under a burst that overfills it.

Loads: more streams at once than the KV cache holds until their ends, of callers
that return, so that two thirds of their prompts are cached; wrong hints.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

import pytest

from bergamotthread.process.overload.engine_room import Holding, RoomProfile
from bergamotthread.process.overload.expected_wait import EngineWork
from bergamotthread.process.overload.output_length import OutputLengths
from bergamotthread.process.overload.run_statistics import RunStatistics
from bergamotthread.process.relay.engine_forecast import forecast_engine
from bergamotthread.process.relay.upstreams import (
    LoadReport,
    RunProgress,
)
from tests.reading_engine import KV_TOKENS, PROMPT_TOKENS, upstream_with

EVENTS = 130
EVENT_TOKENS = 6
STEP_MS = 40
READ_PER_MS = 24
REPORT_LAG_MS = 100


@dataclass
class _Run:
    name: str
    prompt_tokens: int
    events_max: int
    read: float = 0
    events: int = 0

    @property
    def tokens(self) -> int:
        return self.prompt_tokens + self.events * EVENT_TOKENS

    @property
    def is_read(self) -> bool:
        return self.read >= self.tokens


@dataclass
class _Engine:
    """Reads prompts in order, then adds tokens to all runs in each step.

    A prompt starts once there is memory for it. If memory runs out, the
    newest run is preempted and read again.
    """

    waiting: list[_Run] = field(default_factory=list)
    running: list[_Run] = field(default_factory=list)
    preempted: int = 0
    ended: int = 0
    reports: list[LoadReport] = field(default_factory=list)

    def step(self, now_ms: float) -> None:
        budget = READ_PER_MS * STEP_MS
        for run in self.running:
            if not run.is_read:
                part = min(budget, run.tokens - run.read)
                run.read += part
                budget -= part
            elif run.events < run.events_max:
                run.events += 1
                run.read = run.tokens
        self.ended += sum(run.events >= run.events_max for run in self.running)
        self.running = [
            run for run in self.running if run.events < run.events_max
        ]
        while self.used > KV_TOKENS:
            newest = self.running.pop()
            newest.read = 0
            self.waiting.insert(0, newest)
            self.preempted += 1
        while self.waiting and self.used + self.waiting[0].tokens <= KV_TOKENS:
            self.running.append(self.waiting.pop(0))
        self.reports.append(self._report(now_ms))

    @property
    def used(self) -> int:
        return sum(run.tokens for run in self.running)

    def _report(self, now_ms: float) -> LoadReport:
        reading = [run for run in self.running if not run.is_read]
        unread = sum(run.tokens - int(run.read) for run in reading)
        waiting = sum(run.tokens for run in self.waiting)
        return LoadReport(
            len(self.waiting),
            len(self.running),
            self.used,
            KV_TOKENS,
            at_ms=now_ms + REPORT_LAG_MS,
            unread_tokens=unread + waiting,
            waiting_tokens=waiting,
            runs=tuple(
                RunProgress(run.name, run.tokens, run.events)
                for run in self.running
                if run.events
            ),
        )


def _play(streams: int, per_s: float, *, is_held: bool = True) -> _Engine:
    """Offer streams to an engine; each is sent once the forecast allows it.

    Parameters
    ----------
    is_held
        Whether a stream is held while the engine would be overfilled.
    """
    rng = random.Random(1)
    engine = _Engine()
    upstream = upstream_with(None)
    outputs = RunStatistics(EVENTS, EVENTS * STEP_MS, has_ended=True)
    for events in (0.8 * EVENTS, 1.2 * EVENTS) * 20:
        outputs.record_end(events, events * STEP_MS)
    outputs.record_growth(EVENT_TOKENS)
    for _ in range(99):
        outputs.record_prefill(PROMPT_TOKENS, PROMPT_TOKENS / READ_PER_MS)
    upstream.statistics.record_interval(STEP_MS)
    unsent = [
        _Run(
            f'r{number}',
            int(PROMPT_TOKENS * rng.uniform(0.7, 1.3)),
            int(EVENTS * rng.uniform(0.8, 1.2)),
        )
        for number in range(streams)
    ]
    now_ms = 0.0
    while engine.ended < streams and now_ms < 600_000:
        now_ms += STEP_MS
        engine.step(now_ms)
        while engine.reports and engine.reports[0].at_ms <= now_ms:
            upstream.apply_report(engine.reports.pop(0))
        offered = streams - len(unsent) < now_ms / 1000 * per_s
        if not unsent or not offered or upstream.report is None:
            continue
        prompt_tokens = unsent[0].prompt_tokens
        work = forecast_engine(upstream, prompt_tokens, outputs).work
        if work.memory_ms > 0 or (is_held and work.overfill_ms > 0):
            continue
        upstream.record_send(prompt_tokens, now_ms)
        engine.waiting.append(unsent.pop(0))
    return engine


@pytest.mark.parametrize(('streams', 'per_s'), [(10, 50), (40, 2.5), (100, 50)])
def test_streams_that_fill_the_memory_preempt_none(streams, per_s):
    """The prompts fit beside each other; with what they add they don't."""
    assert _play(streams, per_s, is_held=False).preempted > 0
    engine = _play(streams, per_s)
    assert engine.ended == streams
    assert engine.preempted == 0


def test_memory_that_others_release_meanwhile_is_used():
    """A sum of all ends would hold a prompt back that fits."""
    holdings = tuple(Holding(8500, 500 * rank, 80 * rank) for rank in range(10))
    work = EngineWork(
        8000, 8000, 0, 0, -2800, holdings, growth_tokens=780, run_ms=5000
    )
    assert sum(holding.growth_tokens for holding in holdings) > 2800
    assert work.overfill_ms == 0
    assert work.wait_ms == 1000


@pytest.mark.parametrize(
    ('missing', 'start_ms'),
    [(-430, 0), (-429, 300), (-100, 300), (-99, 900), (450, 900)],
)
def test_prompt_starts_once_no_peak_exceeds_the_memory(missing, start_ms):
    holdings = (Holding(1000, 300, 30), Holding(50, 900, 900))
    profile = RoomProfile.from_holdings(missing, holdings)
    assert profile.start_ms(0, 600, 1800) == start_ms


def test_prompt_larger_than_the_memory_waits_for_the_last_run():
    profile = RoomProfile.from_holdings(9000, (Holding(10, 300, 1),))
    assert profile.start_ms(0, 600, 1800) == 300
    assert RoomProfile.from_holdings(9000, ()).start_ms(7, 1, 1) == 7


def test_engine_whose_growth_is_unknown_is_used_as_before():
    """No stream has ended yet, and no report shows what an event adds."""
    work = EngineWork(0, 8000, missing_tokens=0)
    assert work.overfill_ms == 0


def _lengths(spread: float, hint_spread: float) -> OutputLengths:
    rng = random.Random(2)
    lengths = OutputLengths.create()
    for _ in range(300):
        tokens = math.exp(rng.gauss(math.log(700), spread))
        hint = tokens * math.exp(rng.gauss(0, hint_spread))
        lengths.record(tokens, round(hint))
    return lengths


def test_hint_that_was_right_counts_and_one_that_was_not_does_not():
    trusted = _lengths(spread=0.5, hint_spread=0.05)
    doubted = _lengths(spread=0.05, hint_spread=1.5)
    assert trusted.expected(hint=1400) == pytest.approx(1400, rel=0.1)
    assert doubted.expected(hint=1400) == pytest.approx(700, rel=0.1)
    half = _lengths(spread=0.5, hint_spread=0.5).expected(hint=2800)
    assert 1100 < half < 2000


def test_output_is_at_most_what_the_caller_allows():
    lengths = _lengths(spread=0.3, hint_spread=0.3)
    assert lengths.expected(hint=5000, most=500) == 500
    assert lengths.expected(most=100) == 100


def test_first_streams_follow_their_hints():
    lengths = OutputLengths.create()
    assert lengths.expected() == 0
    assert lengths.expected(hint=300) == 300
    assert lengths.expected(hint=300, most=200) == 200
    assert lengths.expected(most=200) == 200
