"""Limits of the calls of one entry."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class CallLimits:
    """Times and sizes of calls.

    Parameters
    ----------
    lease_margin_ms
        Time that others leave a row alone beyond the call's timeout.
    store_wait_ms
        Time for which the store may fail before a request is given up.
    settle_ms
        Time after the caller's answer in which the row is brought up to date.
    park_ms
        Time for which a late answer is awaited after that.
    offer_ms
        Time that an agent has to answer an offer.
    ask_ms
        Time that an agent has to tell the outcome of a call.
    poll_ms, poll_max_ms
        First and longest pause between two reads of a row held by another.
    inline_bytes
        Largest answer that is kept in the row.
    result_bytes
        Largest answer that is kept at all, in the object store.
    held_bytes
        Large answers that wait for the object store, all together; an answer
        beyond that reaches its caller but is not kept.
    concurrent
        Guarded calls under way at once, those waiting for late answers too.
    """

    lease_margin_ms: int = 5000
    store_wait_ms: float = 1500
    settle_ms: float = 120_000
    park_ms: float = 300_000
    offer_ms: float = 300
    ask_ms: float = 500
    poll_ms: float = 50
    poll_max_ms: float = 1000
    inline_bytes: int = 16_384
    result_bytes: int = 4_194_304
    held_bytes: int = 33_554_432
    concurrent: int = 2000
