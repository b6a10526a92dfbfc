"""Forecast of the first event of a prompt at an engine without an agent.

The work ahead of the prompt follows from the engine's load report and from own
requests that the report can't show yet; the speed of the engine is learned from
its reports and from own streams.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from bergamotthread.process.overload.engine_room import Holding
from bergamotthread.process.overload.expected_wait import EngineWork
from bergamotthread.process.overload.rank_use import (
    ARRIVAL_ORDER,
    Precedence,
)
from bergamotthread.process.overload.run_statistics import RunStatistics
from bergamotthread.process.relay.upstreams import (
    LoadReport,
    RunProgress,
    Upstream,
)

# Standard deviations by which the outputs of all runs at an engine may exceed
# their expectation: they do so once in forty times.
SPREAD_DEVIATIONS = 2
_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class EngineForecast:
    """Expected time to the first event of a prompt at one engine.

    Parameters
    ----------
    work
        Work ahead of the prompt.
    prompt_ms
        Time to prefill the prompt itself.
    run_ms
        Expected time from the first event to the last; 0 if none is known.
    occupancy_ms
        Time of the engine that the stream takes: for its prefill, or for its
        share of the KV cache while it runs, whichever is longer.
    precedence
        What requests of other ranks change; the work ahead is without those
        that wait and go behind the prompt.
    waiting_tokens
        Prompt tokens that hold no memory of the engine yet.
    missing_tokens
        Tokens of memory that are missing unless runs are preempted.
    prompt_tokens
        Tokens of the prompt.
    """

    work: EngineWork
    prompt_ms: float
    run_ms: float
    occupancy_ms: float
    precedence: Precedence = ARRIVAL_ORDER
    waiting_tokens: int = 0
    missing_tokens: int = 0
    prompt_tokens: int = 0

    @property
    def shows_speed(self) -> bool:
        """Return whether the first event will show the engine's speed.

        It does not where the prompt waits for room, or may overtake others or
        be overtaken.
        """
        if not self.work.is_prefill_bound:
            return False
        return self.precedence == ARRIVAL_ORDER or not self.waiting_tokens

    @property
    def lacks_memory(self) -> bool:
        """Return whether runs hold the memory that the prompt needs."""
        return self.missing_tokens > 0

    @property
    def free_prompts(self) -> float:
        """Return how many such prompts find memory beside that which is kept.

        Where none is kept, prompts may wait for memory.
        """
        if not self.precedence.kept_tokens:
            return math.inf
        missing = self.missing_tokens / max(self.prompt_tokens, 1)
        return 1 - missing if missing <= 0 else 0

    @property
    def wait_ms(self) -> float:
        """Return the time until the prefill of the prompt starts."""
        return self.work.wait_ms * self.precedence.stretch

    @property
    def first_event_ms(self) -> float:
        """Return the time from now to the first event."""
        return self.wait_ms + self.prompt_ms


def forecast_engine(
    upstream: Upstream,
    prompt_tokens: int,
    outputs: RunStatistics,
    precedence: Precedence = ARRIVAL_ORDER,
    output_tokens: float = 0,
) -> EngineForecast:
    """Return the forecast of a prompt at an upstream.

    Parameters
    ----------
    outputs
        Output lengths of the service, in events, and the speed of its engines.
    output_tokens
        Expected output of the prompt; 0 for the usual one of the service.
    """
    learned = upstream.statistics if upstream.has_prefilled else outputs
    rate_per_s = learned.prefill_per_s
    prompt_ms = prompt_tokens / rate_per_s * _MS_PER_S
    report = upstream.report
    if report is None:
        work = EngineWork(upstream.prefill_tokens, rate_per_s)
        return EngineForecast(work, prompt_ms, 0, prompt_ms, precedence)
    ahead_share = precedence.ahead_share
    waiting_tokens = round(
        (report.waiting_tokens + upstream.sent_since_report) * ahead_share
    )
    unread_tokens = max(
        upstream.prefill_tokens,
        report.unread_tokens + upstream.sent_since_report,
    )
    run_ms = _run_ms(upstream, outputs)
    # Memory that is kept for others is as good as in use, but an idle engine
    # takes any prompt.
    kept_tokens = min(precedence.kept_tokens, report.kv_total - prompt_tokens)
    needed_tokens = report.kv_used + waiting_tokens + prompt_tokens
    needed_tokens += max(round(kept_tokens), 0)
    missing_tokens = needed_tokens - report.kv_total
    staying = _staying_runs(report, precedence)
    preempted_tokens = _tokens(report.runs) - _tokens(staying)
    usual_tokens = usual_output_tokens(upstream, outputs)
    waiting = math.ceil(
        (report.queued + upstream.sends_since_report) * precedence.ahead_share
    )
    work = EngineWork(
        unread_tokens * ahead_share,
        rate_per_s,
        missing_slots=_missing_slots(upstream, report, precedence),
        slot_ms=run_ms / max(upstream.record.slots, 1),
        missing_tokens=missing_tokens - preempted_tokens,
        holdings=(
            *_holdings(upstream, report, outputs, rate_per_s, staying),
            *_waiting(
                waiting,
                usual_tokens,
                unread_tokens / rate_per_s * _MS_PER_S + run_ms,
            ),
        ),
        growth_tokens=output_tokens or usual_tokens,
        run_ms=run_ms,
        spread_tokens=_spread_tokens(
            upstream, outputs, report.running + waiting + 1
        ),
    )
    memory_ms = run_ms * prompt_tokens / max(report.kv_total, 1)
    event_ms = upstream.statistics.between_tokens_ms
    return EngineForecast(
        work,
        prompt_ms,
        outputs.output_tokens * event_ms if outputs.has_ended else 0,
        max(prompt_ms, memory_ms),
        precedence,
        report.waiting_tokens,
        missing_tokens,
        prompt_tokens,
    )


def event_tokens(upstream: Upstream, outputs: RunStatistics) -> float:
    """Return the tokens of an event; 0 while they are unknown."""
    return upstream.statistics.tokens_per_event or outputs.tokens_per_event


def usual_output_tokens(upstream: Upstream, outputs: RunStatistics) -> float:
    """Return the usual output of a run in tokens; 0 while it is unknown."""
    return outputs.output_tokens * event_tokens(upstream, outputs)


def _staying_runs(
    report: LoadReport, precedence: Precedence
) -> tuple[RunProgress, ...]:
    """Return the runs that an engine would not preempt for a prompt."""
    urgency = precedence.urgency
    if urgency is None or precedence.kept_tokens:
        return report.runs
    return tuple(run for run in report.runs if run.urgency <= urgency)


def _tokens(runs: Iterable[RunProgress]) -> int:
    return sum(run.tokens for run in runs)


def _run_ms(upstream: Upstream, outputs: RunStatistics) -> float:
    """Return the expected time from the first event to the last."""
    event_ms = upstream.statistics.between_tokens_ms
    if not event_ms:
        return outputs.run_ms
    return outputs.output_tokens * event_ms


def _missing_slots(
    upstream: Upstream, report: LoadReport, precedence: Precedence
) -> int:
    if not upstream.record.slots:
        return 0
    free_slots = upstream.record.slots - report.running
    ahead = math.ceil(report.queued * precedence.ahead_share)
    return ahead + 1 - free_slots


def _spread_tokens(
    upstream: Upstream, outputs: RunStatistics, runs: int
) -> float:
    """Return by how much the outputs of so many runs may be longer."""
    each = outputs.output_deviation * event_tokens(upstream, outputs)
    return SPREAD_DEVIATIONS * each * math.sqrt(runs)


def _waiting(
    count: int, output_tokens: float, remaining_ms: float
) -> tuple[Holding, ...]:
    """Return the output of prompts that hold no memory yet.

    Their prompts count as missing already. They release nothing in time for
    the prompt, which starts after them.
    """
    if not count or not output_tokens:
        return ()
    return (Holding(0, remaining_ms, count * output_tokens),)


def _holdings(
    upstream: Upstream,
    report: LoadReport,
    outputs: RunStatistics,
    rate_per_s: float,
    staying: Sequence[RunProgress],
) -> tuple[Holding, ...]:
    """Return what the KV cache holds, and what is still added to it.

    Runs that give way to the prompt release their memory before it starts; only
    those that stay release it later.

    Copies of other upstreams' runs are halfway on average, and grow with these
    runs. Prompts that are still prefilled hold as much as copies do.
    """
    run_ms = _run_ms(upstream, outputs)
    event_ms = run_ms / max(outputs.output_tokens, 1)
    per_event = event_tokens(upstream, outputs)
    # A run at the usual length or beyond is expected to go on for a while.
    missing_min = max(outputs.output_deviation, 1)
    missing_events = [
        max(outputs.output_tokens - run.events, missing_min) for run in staying
    ]
    holdings = [
        Holding(run.tokens, missing * event_ms, missing * per_event)
        for run, missing in zip(staying, missing_events, strict=True)
    ]
    other_tokens = report.kv_used - _tokens(report.runs)
    prefilling = max(report.running - len(report.runs), 0)
    other_count = report.copies + prefilling
    if not other_count or other_tokens <= 0:
        return tuple(holdings)
    each_tokens = other_tokens / other_count
    output_tokens = outputs.output_tokens * per_event
    unread_tokens = max(report.unread_tokens - report.waiting_tokens, 0)
    unread_ms = unread_tokens / rate_per_s * _MS_PER_S
    holdings.extend(
        Holding(each_tokens, run_ms + unread_ms * part, output_tokens)
        for part in _evenly(prefilling)
    )
    holdings.extend(
        Holding(each_tokens, run_ms * part, output_tokens * part)
        for part in _evenly(report.copies)
    )
    return tuple(holdings)


def _evenly(count: int) -> Iterator[float]:
    """Yield so many numbers evenly between 0 and 1."""
    return ((number + 0.5) / count for number in range(count))
