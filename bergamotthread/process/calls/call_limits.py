"""Limits of one entry for its calls."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class CallLimits:
    """Time and size limits of calls.

    Parameters
    ----------
    lease_margin_ms
        Time added to the call's timeout for the lease of its row. Others do
        not take the row over before the lease ends.
    store_timeout_ms
        Time for which store operations are retried before a request fails.
    settle_timeout_ms
        Time after the caller was answered in which the final state is written
        to the row.
    late_answer_timeout_ms
        Further time for which a late answer is awaited.
    offer_timeout_ms
        Timeout for an agent's reply to an offer.
    outcome_timeout_ms
        Timeout for an agent's reply about the outcome of a call.
    poll_interval_ms, poll_interval_max_ms
        First and longest interval between reads of a row that another request
        holds.
    inline_bytes
        Maximum size of an answer that is stored in the row.
    result_bytes
        Maximum size of an answer that is stored in the object store. Larger
        ones are not stored.
    held_bytes
        Maximum total size of large answers that wait for the object store. An
        answer above it is delivered to the caller but not stored.
    concurrent_max
        Maximum number of guarded calls in flight, including those that wait
        for a late answer.
    """

    lease_margin_ms: int = 5000
    store_timeout_ms: float = 1500
    settle_timeout_ms: float = 120_000
    late_answer_timeout_ms: float = 300_000
    offer_timeout_ms: float = 300
    outcome_timeout_ms: float = 500
    poll_interval_ms: float = 50
    poll_interval_max_ms: float = 1000
    inline_bytes: int = 16_384
    result_bytes: int = 4_194_304
    held_bytes: int = 33_554_432
    concurrent_max: int = 2000
