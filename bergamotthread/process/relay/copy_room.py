"""Room for copies of KV cache beside the prompts of an engine.

A copy takes as much memory as its run, until that run ends, and it is needed
only after a loss. It therefore takes only what prompts are not expected to
need in that time: those at the holder until their ends, and as many as the
engines of the service hold on average, where the holder has fewer just now.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bergamotthread.process.overload.run_statistics import RunStatistics
from bergamotthread.process.relay.engine_forecast import (
    event_tokens,
    usual_output_tokens,
)
from bergamotthread.process.relay.upstreams import LoadReport, Upstream

# Largest fraction of a holder's KV cache in use with the copy.
COPY_KV_FRACTION_MAX = 0.9


@dataclass(frozen=True, slots=True)
class PromptMemory:
    """KV cache that the prompts at an engine take until their ends.

    Parameters
    ----------
    growth_tokens
        Part of `tokens` that no memory is used for yet.
    """

    tokens: float = 0
    growth_tokens: float = 0

    @classmethod
    def at(cls, upstream: Upstream, outputs: RunStatistics) -> PromptMemory:
        """Return the memory for the prompts that an upstream has."""
        report = upstream.report
        if report is None:
            return cls()
        usual_tokens = usual_output_tokens(upstream, outputs)
        missing_events = sum(
            max(outputs.output_tokens - run.events, 0) for run in report.runs
        )
        growth = (
            _prompts_without_event(upstream, report) * usual_tokens
            + event_tokens(upstream, outputs) * missing_events
        )
        unheld = report.waiting_tokens + upstream.sent_since_report
        return cls(_held_tokens(report) + unheld + growth, growth)


def mean_prompt_tokens(
    upstreams: Iterable[Upstream],
    outputs: RunStatistics,
    since_ms: float,
) -> float:
    """Return the mean memory for prompts, by reports since a time."""
    known = [
        PromptMemory.at(upstream, outputs).tokens
        for upstream in upstreams
        if upstream.report is not None and upstream.report.at_ms >= since_ms
    ]
    return sum(known) / len(known) if known else 0


def has_room_for_copy(
    upstream: Upstream,
    copy_tokens: float,
    outputs: RunStatistics,
    expected_tokens: float,
) -> bool:
    """Return whether an upstream may hold one more copy.

    Parameters
    ----------
    copy_tokens
        Tokens of the copy now; it grows with its run.
    expected_tokens
        Memory to keep for prompts, those at the upstream included.
    """
    report = upstream.report
    if report is None:
        return True
    if report.waiting_tokens:
        return False
    prompts = PromptMemory.at(upstream, outputs)
    # Copies grow with their runs; those there are halfway on average.
    copy_growth = (report.copies / 2 + 1) * usual_output_tokens(
        upstream, outputs
    )
    used_tokens = (
        report.kv_used
        + upstream.held_tokens
        + upstream.sent_since_report
        + prompts.growth_tokens
        + copy_growth
        + max(expected_tokens - prompts.tokens, 0)
    )
    return used_tokens + copy_tokens <= COPY_KV_FRACTION_MAX * report.kv_total


def gives_way(holder: Upstream, since_ms: float) -> bool:
    """Return whether prompts wait at the holder of a copy.

    Parameters
    ----------
    since_ms
        Monotonic time before which its report says nothing any more.
    """
    report = holder.report
    if report is None or report.at_ms < since_ms:
        return False
    return report.waiting_tokens > 0


def _prompts_without_event(upstream: Upstream, report: LoadReport) -> int:
    prefilling = max(report.running - len(report.runs), 0)
    return prefilling + report.queued + upstream.sends_since_report


def _held_tokens(report: LoadReport) -> float:
    """Return the memory in use, without that of copies.

    A copy takes as much as a prompt that is prefilled.
    """
    prefilling = max(report.running - len(report.runs), 0)
    run_tokens = sum(run.tokens for run in report.runs)
    other_tokens = max(report.kv_used - run_tokens, 0)
    copy_share = report.copies / max(report.copies + prefilling, 1)
    return report.kv_used - other_tokens * copy_share
