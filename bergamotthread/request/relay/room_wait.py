"""Wait of a stream until its engine has room for it until its end.

An engine starts a prompt as soon as it has room for the prompt alone. If its
runs would grow beyond its memory then, it would preempt one of them, so the
entry sends the prompt later: once runs have ended.
"""

from __future__ import annotations

from bergamotthread.process.overload.rank import SINGLE_RANK, Rank
from bergamotthread.process.relay.choice import RelayPlacementRequest
from bergamotthread.process.relay.liveness import REPORT_AGE_MAX_MS
from bergamotthread.process.relay.upstreams import RoomClaim, Upstream
from bergamotthread.request.relay.attempt_loop import PLACEMENT_RETRY_MS
from bergamotthread.request.relay.call import RelayedCall
from bergamotthread.request.relay.parts import RelayParts

# Time that is left for a placement elsewhere after the wait.
PLACE_ELSEWHERE_MS = 2 * PLACEMENT_RETRY_MS


class RoomWait:
    """Holds the prompt of one stream back while it would overfill an engine.

    Parameters
    ----------
    deadline_ms
        Monotonic time by which the stream must be placed.
    """

    def __init__(
        self, call: RelayedCall, parts: RelayParts, deadline_ms: float
    ) -> None:
        self._call = call
        self._parts = parts
        self._ends_ms = deadline_ms - PLACE_ELSEWHERE_MS

    async def wait(
        self,
        upstream: Upstream,
        request: RelayPlacementRequest,
        rank: Rank = SINGLE_RANK,
    ) -> bool:
        """Wait for room; return whether the prompt may be sent.

        One prompt of this process waits for an engine at a time, so that the
        room that is awaited isn't promised twice. A more urgent one takes its
        place. Others look elsewhere after the age that a load report may have.
        """
        overfill_ms = self._overfill_ms(upstream, request)
        if not overfill_ms:
            return True
        clock = self._parts.clock
        started_ms = clock.now_ms()
        other = upstream.room_claim
        if other is not None and other.rank.position <= rank.position:
            await clock.sleep_ms(REPORT_AGE_MAX_MS)
        else:
            claim = RoomClaim(rank)
            upstream.room_claim = claim
            try:
                overfill_ms = await self._wait_until_ends(
                    upstream, request, claim
                )
            finally:
                if upstream.room_claim is claim:
                    upstream.room_claim = None
        self._parts.log.write(
            'room-awaited',
            request=self._call.request_label,
            upstream=upstream.record.instance,
            waited_ms=round(clock.now_ms() - started_ms),
            overfill_ms=round(overfill_ms),
            is_sent=not overfill_ms,
        )
        metrics = self._parts.metrics
        metrics.room_wait_ms.record(clock.now_ms() - started_ms)
        return not overfill_ms

    async def _wait_until_ends(
        self,
        upstream: Upstream,
        request: RelayPlacementRequest,
        claim: RoomClaim,
    ) -> float:
        """Wait for room while the claim lasts; return how long it lacks."""
        clock = self._parts.clock
        overfill_ms = self._overfill_ms(upstream, request)
        while overfill_ms:
            left_ms = self._ends_ms - clock.now_ms()
            if overfill_ms > left_ms:
                return overfill_ms
            await clock.sleep_ms(max(overfill_ms, REPORT_AGE_MAX_MS))
            if not await self._parts.liveness.refresh_report(upstream):
                return overfill_ms
            if upstream.room_claim is not claim:
                return overfill_ms
            overfill_ms = self._overfill_ms(upstream, request)
        return 0

    def _overfill_ms(
        self, upstream: Upstream, request: RelayPlacementRequest
    ) -> float:
        return self._parts.choice.forecast(upstream, request).work.overfill_ms
