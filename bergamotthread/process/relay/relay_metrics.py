"""Counters and latencies of an entry that talks to upstreams itself."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.process.metrics import (
    LabelledCounter,
    Metrics,
    Percentiles,
)


@dataclass(frozen=True)
class RelayMetrics:
    """What the relays count; `registry` shows it.

    Parameters
    ----------
    answers
        Answers of upstreams to callers, by status.
    refusals
        Answers of the entry's own, by reason.
    attempts
        Attempts, by outcome.
    answer_ms
        Time to a whole answer.
    first_event_ms, pause_ms
        Of streams: time to the first event, longest pause between events.
    """

    registry: Metrics
    answers: LabelledCounter
    refusals: LabelledCounter
    attempts: LabelledCounter
    answer_ms: Percentiles
    first_event_ms: Percentiles
    pause_ms: Percentiles

    @classmethod
    def from_clock(cls, clock: Clock) -> RelayMetrics:
        """Return metrics without any count."""
        registry = Metrics(clock)
        return cls(
            registry,
            answers=registry.labelled_counter(
                'relay_answers_total',
                'Answers of upstreams that callers got.',
                'status',
            ),
            refusals=registry.labelled_counter(
                'relay_refusals_total',
                'Requests that the entry answered itself.',
                'reason',
            ),
            attempts=registry.labelled_counter(
                'relay_attempts_total',
                'Attempts at upstreams.',
                'outcome',
            ),
            answer_ms=registry.percentiles(
                'relay_answer_ms',
                'Time to a whole answer that is no stream.',
            ),
            first_event_ms=registry.percentiles(
                'relay_first_event_ms',
                'Time to the first event of a stream.',
            ),
            pause_ms=registry.percentiles(
                'relay_longest_pause_ms',
                'Longest pause between two events of a stream.',
            ),
        )
