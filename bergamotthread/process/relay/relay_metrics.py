"""Counters and latencies of an entry that calls upstreams directly."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.process.metrics import (
    Counter,
    LabelledCounter,
    Metrics,
    Percentiles,
)
from bergamotthread.process.overload.rank import Rank


@dataclass(frozen=True)
class RelayMetrics:
    """Metrics of relayed requests; `registry` exposes them.

    Parameters
    ----------
    answers
        Responses of upstreams that were sent to callers, by status.
    refusals
        Requests that the entry refused itself, by reason.
    admitted_by_rank, overloaded_by_rank
        Streams and plain requests that were admitted, and refused for
        overload, by the position of their rank; 0 is the most urgent. Only
        those of services with several ranks are counted.
    attempts
        Attempts, by outcome.
    ended_by_limit
        Requests whose attempts a limit of the entry ended, by limit.
    answer_ms
        Time to the complete response; streams are not counted.
    first_event_ms, longest_pause_ms
        Time to the first event of a stream and longest pause between its
        events.
    queue_wait_ms
        Time that requests to plain services waited in the entry's queue.
    forecast_error_ms
        Difference between the expected and the measured first event.
    room_wait_ms
        Time that streams waited at the entry for room in an engine's KV cache.
    own_path_doubts
        Probes without an answer while no other upstream answered either.
    loop_stall_ms
        Time by which the periodic work of the process ran late.
    upstream_crashes
        Upstreams whose answers broke off and that refuse connections.
    quarantines
        Requests that this entry or another one quarantined.
    pauses
        Answers by which upstreams asked for a pause, by service.
    request_limits
        Limits on requests that upstreams began to state or changed, by
        service.
    """

    registry: Metrics
    answers: LabelledCounter
    refusals: LabelledCounter
    admitted_by_rank: LabelledCounter
    overloaded_by_rank: LabelledCounter
    attempts: LabelledCounter
    ended_by_limit: LabelledCounter
    answer_ms: Percentiles
    first_event_ms: Percentiles
    longest_pause_ms: Percentiles
    queue_wait_ms: Percentiles
    forecast_error_ms: Percentiles
    room_wait_ms: Percentiles
    own_path_doubts: Counter
    loop_stall_ms: Percentiles
    upstream_crashes: Counter
    quarantines: Counter
    pauses: LabelledCounter
    request_limits: LabelledCounter

    def record_admission(self, rank: Rank, *, admitted: bool) -> None:
        """Count a request that was admitted or refused for overload."""
        if rank.matters:
            by_rank = (
                self.admitted_by_rank if admitted else self.overloaded_by_rank
            )
            by_rank.increment(str(rank.position))

    @classmethod
    def from_clock(cls, clock: Clock) -> RelayMetrics:
        """Return metrics that have counted nothing yet."""
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
            admitted_by_rank=registry.labelled_counter(
                'relay_admitted_by_rank_total',
                'Requests admitted to services with several ranks.',
                'rank',
            ),
            overloaded_by_rank=registry.labelled_counter(
                'relay_overloaded_by_rank_total',
                'Requests refused for overload at services with ranks.',
                'rank',
            ),
            attempts=registry.labelled_counter(
                'relay_attempts_total',
                'Attempts at upstreams.',
                'outcome',
            ),
            ended_by_limit=registry.labelled_counter(
                'relay_ended_by_limit_total',
                'Requests whose attempts a limit of the entry ended.',
                'limit',
            ),
            answer_ms=registry.percentiles(
                'relay_answer_ms',
                'Time to a whole answer that is no stream.',
            ),
            first_event_ms=registry.percentiles(
                'relay_first_event_ms',
                'Time to the first event of a stream.',
            ),
            longest_pause_ms=registry.percentiles(
                'relay_longest_pause_ms',
                'Longest pause between two events of a stream.',
            ),
            queue_wait_ms=registry.percentiles(
                'relay_queue_wait_ms',
                'Time in the queue of a plain service.',
            ),
            forecast_error_ms=registry.percentiles(
                'relay_forecast_error_ms',
                'Difference of expected and measured first event.',
            ),
            room_wait_ms=registry.percentiles(
                'relay_room_wait_ms',
                'Time that streams waited for room in KV caches.',
            ),
            own_path_doubts=registry.counter(
                'relay_own_path_doubts_total',
                'Probes without an answer while no other upstream answered.',
            ),
            loop_stall_ms=registry.percentiles(
                'relay_loop_stall_ms',
                'Time by which periodic work of the process ran late.',
            ),
            upstream_crashes=registry.counter(
                'relay_upstream_crashes_total',
                'Upstreams that broke off answers and refuse connections.',
            ),
            quarantines=registry.counter(
                'relay_quarantines_total',
                'Requests quarantined by this entry or another one.',
            ),
            pauses=registry.labelled_counter(
                'relay_pauses_total',
                'Answers by which upstreams asked for a pause.',
                'service',
            ),
            request_limits=registry.labelled_counter(
                'relay_request_limits_total',
                'Limits on requests that upstreams stated newly or changed.',
                'service',
            ),
        )
