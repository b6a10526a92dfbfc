"""Wait or refusal of a request while its service's upstreams are held."""

from __future__ import annotations

from bergamotthread.process.overload.retry_after import RetryAfterRange
from bergamotthread.process.relay.upstreams import Upstream
from bergamotthread.request.relay.call import RelayedCall
from bergamotthread.request.relay.parts import RelayParts
from bergamotthread.request.relay.refusals import RelayRefusal

HELD_RETRY_AFTER_MIN_MS = 100.0
_MS_PER_S = 1000


class OpeningWait:
    """Decides whether one request waits until an upstream takes it.

    Parameters
    ----------
    wait_until_ms
        Monotonic time until which the request may wait for an upstream.
    """

    def __init__(
        self, call: RelayedCall, parts: RelayParts, wait_until_ms: float
    ) -> None:
        self._call = call
        self._parts = parts
        self._wait_until_ms = wait_until_ms
        self._is_waiting = False

    def check(self) -> RelayRefusal | None:
        """Return a refusal if no upstream has room in the time for a wait.

        The requests of this process that wait already take the first room.

        Returns
        -------
        RelayRefusal or None
            None if the request may wait, an upstream is not held, or the
            service has none.
        """
        self.end()
        directory = self._parts.directory
        service = self._call.service.name
        first = directory.first_opening(service)
        if first is None:
            return None
        waiting_by_service = directory.pauses.waiting_by_service
        room = directory.room_until(service, self._wait_until_ms)
        if room > waiting_by_service[service]:
            waiting_by_service[service] += 1
            self._is_waiting = True
            return None
        return self._refusal(first)

    def end(self) -> None:
        """Stop counting the request among those that wait."""
        if self._is_waiting:
            self._is_waiting = False
            pauses = self._parts.directory.pauses
            pauses.waiting_by_service[self._call.service.name] -= 1

    def _refusal(self, first: Upstream) -> RelayRefusal:
        """Return a refusal until the first opens."""
        if self._parts.directory.is_limited(first):
            return self._limit_refusal(first)
        return self._pause_refusal(first)

    def _limit_refusal(self, first: Upstream) -> RelayRefusal:
        """Return a refusal by limits on requests.

        Refused requests get a place each in what the limits allow here, in the
        order of their refusals.
        """
        directory = self._parts.directory
        now_ms = self._parts.clock.now_ms()
        service = self._call.service.name
        opens_in_ms = directory.opens_ms(first) - now_ms
        expected_ms = max(directory.record_refusal(service), opens_in_ms)
        retry_after_ms = self._bounds(now_ms).spread_out(
            expected_ms, directory.pauses.rng
        )
        return RelayRefusal(
            503,
            'upstreams-limited',
            'all upstreams state limits on requests, and have got what these '
            f'allow; a place is free in {expected_ms / _MS_PER_S:.1f} s',
            retry_after_ms,
            self._figures(opens_in_ms, now_ms)
            | {'expected_ms': round(expected_ms)},
        )

    def _bounds(self, now_ms: float) -> RetryAfterRange:
        return RetryAfterRange.from_remaining(
            HELD_RETRY_AFTER_MIN_MS, self._call.deadline_ms - now_ms
        )

    def _pause_refusal(self, first: Upstream) -> RelayRefusal:
        """Return a refusal by pauses.

        The returns of callers are spread over the steps after the pause.
        """
        pauses = self._parts.directory.pauses
        incarnation = first.record.incarnation
        now_ms = self._parts.clock.now_ms()
        opens_in_ms = pauses.opens_ms(incarnation) - now_ms
        ends_in_ms = pauses.ends_ms(incarnation) - now_ms
        retry_after_ms = self._bounds(now_ms).spread(
            opens_in_ms, ends_in_ms - opens_in_ms, pauses.rng
        )
        opens_in_s = opens_in_ms / _MS_PER_S
        return RelayRefusal(
            503,
            'upstreams-paused',
            'all upstreams asked for a pause; the first takes requests again '
            f'in {opens_in_s:.1f} s',
            retry_after_ms,
            self._figures(opens_in_ms, now_ms),
        )

    def _figures(self, opens_in_ms: float, now_ms: float) -> dict[str, float]:
        """Return the figures that decided, for the log."""
        pauses = self._parts.directory.pauses
        return {
            'opens_in_ms': round(opens_in_ms),
            'wait_ms': round(max(self._wait_until_ms - now_ms, 0)),
            'waiting': pauses.waiting_by_service[self._call.service.name],
        }
