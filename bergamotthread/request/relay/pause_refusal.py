"""Refusal of a request while all upstreams of its service are paused."""

from __future__ import annotations

from bergamotthread.process.overload.retry_after import RetryAfterRange
from bergamotthread.request.relay.call import RelayedCall
from bergamotthread.request.relay.parts import RelayParts
from bergamotthread.request.relay.refusals import RelayRefusal

PAUSED_RETRY_AFTER_MIN_MS = 100.0
_MS_PER_S = 1000


def refuse_if_held(
    call: RelayedCall, parts: RelayParts, wait_until_ms: float
) -> RelayRefusal | None:
    """Return a refusal if no upstream opens in the time for a wait.

    Callers are told the earliest end of a pause; their returns are spread over
    the steps after it.

    Parameters
    ----------
    wait_until_ms
        Monotonic time until which the request may wait for an upstream.

    Returns
    -------
    RelayRefusal or None
        None if an upstream takes requests, opens in time, or if the service
        has none.
    """
    directory = parts.directory
    first = directory.first_opening(call.service.name)
    if first is None or not directory.is_held_past(first, wait_until_ms):
        return None
    incarnation = first.record.incarnation
    opens_ms = directory.pauses.opens_ms(incarnation)
    now_ms = parts.clock.now_ms()
    bounds = RetryAfterRange.from_remaining(
        PAUSED_RETRY_AFTER_MIN_MS, call.deadline_ms - now_ms
    )
    steps_ms = directory.pauses.ends_ms(incarnation) - opens_ms
    retry_after_ms = bounds.spread(
        opens_ms - now_ms, steps_ms, directory.pauses.rng
    )
    opens_s = (opens_ms - now_ms) / _MS_PER_S
    return RelayRefusal(
        503,
        'upstreams-paused',
        f'all upstreams asked for a pause; the first takes requests again '
        f'in {opens_s:.1f} s',
        retry_after_ms,
        {
            'opens_in_ms': round(opens_ms - now_ms),
            'wait_ms': round(max(wait_until_ms - now_ms, 0)),
        },
    )
