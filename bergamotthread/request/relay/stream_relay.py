"""Relay of a stream of events that goes on at another upstream after a loss.

The caller sees one answer: the head of the first upstream, then whole events
in order. While a stream runs, its memory is copied to an upstream in another
failure domain, where it goes on with little to read again.
"""

from __future__ import annotations

import math

from bergamotthread.connection.http.messages import (
    AnswerEnd,
    AnswerHead,
    AnswerItem,
    AnswerLost,
    AnswerPart,
    Framing,
    end_to_end,
)
from bergamotthread.process.relay.choice import Work
from bergamotthread.process.relay.liveness import (
    READING_SILENCE_MS,
    SILENCE_MS,
)
from bergamotthread.process.relay.upstreams import Upstream
from bergamotthread.request.relay.attempt import MISDIRECTED, Attempt
from bergamotthread.request.relay.attempt_loop import (
    AttemptLimits,
    run_attempts,
)
from bergamotthread.request.relay.call import AttemptHeaders, RelayedCall
from bergamotthread.request.relay.copies import CopyKeeper
from bergamotthread.request.relay.events import (
    EventSplitter,
    EventTooLongError,
    StreamEvent,
)
from bergamotthread.request.relay.outcomes import (
    Answered,
    AttemptOutcome,
    Broken,
    NotRun,
    NotSent,
    OutOfTime,
    StreamEnded,
)
from bergamotthread.request.relay.pace import Pace
from bergamotthread.request.relay.parts import RelayParts
from bergamotthread.request.relay.placement import Placement, StreamPlacer
from bergamotthread.request.relay.refusals import RelayRefusal, send_refusal

# A stream that pauses for this long is taken to another upstream although its
# own still answers probes; prompts of others stretch a gap to 300 ms.
STALL_MS = 1200
# The same before the first event of a run that goes on from a copy.
COPY_STALL_MS = 1500
# Share of the goal for which a stream waits for any upstream.
WAIT_SHARE = 0.4
RETRY_AFTER_MS = 500
_OK = 200


class StreamRelay:
    """Runs the attempts of one stream."""

    def __init__(self, call: RelayedCall, parts: RelayParts) -> None:
        self._call = call
        self._parts = parts
        self._excluded: frozenset[str] = frozenset()
        self._limits = AttemptLimits(call, parts)
        self._may_have_run = False
        self._last_event = call.resume_after
        self._placer = StreamPlacer(call, parts)
        self._copies = CopyKeeper(parts, call.label, call.prompt_tokens)
        self._pace = Pace(parts.clock.now_ms())
        self._caller_pace = Pace(call.request.received_ms)
        self._is_from_copy = False
        self._last = ''
        goal_ms = call.route.first_event_goal_ms
        received_ms = call.request.received_ms
        self._look_until_ms = received_ms + goal_ms * WAIT_SHARE

    async def run(self) -> None:
        """Answer the caller."""
        try:
            if not await run_attempts(self._limits, self):
                self._give_up()
            await self._copies.free()
        finally:
            self._copies.drop()

    def may_send(self) -> bool:
        """Return whether the kind and the route allow another attempt."""
        may_repeat = self._call.route.repeatability.may_repeat
        if self._may_have_run and not may_repeat:
            return False
        return self._limits.is_below_max

    async def place(self) -> Placement | None:
        """Return where the next attempt goes, or none for now."""
        copy = self._copies.take()
        if copy is not None and self._pace.parts:
            return self._placer.from_copy(
                copy,
                self._work(copy.holder.record.instance),
            )
        placement = await self._placer.place(self._work())
        if placement is None:
            self._excluded = frozenset()
        return placement

    def may_wait(self) -> bool:
        """Return whether there is time to look for an upstream again."""
        if self._call.exchange.has_head or self._may_have_run:
            return True
        return self._parts.clock.now_ms() <= self._look_until_ms

    async def is_settled_at(self, place: Placement) -> bool:
        """Run an attempt; return whether the caller needs no other."""
        outcome = await self._attempt(place)
        self._log_outcome(place, outcome)
        return self._settles(place, outcome)

    def _work(self, *excluded: str) -> Work:
        return self._placer.work(
            self._excluded.union(excluded),
            is_first=not self._limits.sent,
        )

    async def _attempt(self, placement: Placement) -> AttemptOutcome:
        upstream = placement.upstream
        target = placement.target
        copy = placement.copy
        told = AttemptHeaders(
            upstream.record.instance,
            self._limits.remaining_ms,
            resume_after=self._last_event,
            copy_target=target.address if target else '',
            copy_source=copy.source if copy else '',
        )
        with Attempt(self._call, upstream, self._parts) as attempt:
            not_sent = await attempt.send(told)
            if not_sent is not None:
                return not_sent
            self._limits.sent += 1
            self._pace = Pace(attempt.sent_ms)
            self._is_from_copy = copy is not None
            self._copies.begin(upstream, target)
            return await self._relay(attempt)

    async def _relay(self, attempt: Attempt) -> AttemptOutcome:
        splitter = EventSplitter()
        head = await self._next(attempt)
        if not isinstance(head, AnswerHead):
            return self._end(head, None, splitter)
        settled = self._take_head(attempt, head)
        if settled is not None:
            return settled
        arrived = await self._next(attempt)
        while isinstance(arrived, AnswerPart):
            attempt.end_prefill()
            self._pace.record(self._parts.clock.now_ms())
            if self._placer.may_copy:
                self._copies.keep(self._work)
            try:
                await self._take_part(arrived.payload, splitter)
            except EventTooLongError as error:
                return Broken(str(error))
            arrived = await self._next(attempt)
        return self._end(arrived, head, splitter)

    async def _take_part(
        self,
        payload: bytes,
        splitter: EventSplitter,
    ) -> None:
        for event in splitter.feed(payload):
            self._pass_on(event)
        await self._call.exchange.writable()

    async def _next(self, attempt: Attempt) -> AnswerItem | None:
        """Return the next item; none at the deadline."""
        started_ms = self._parts.clock.now_ms()
        silence_ms = SILENCE_MS if self._pace.parts else READING_SILENCE_MS
        while True:
            wait_ms = min(silence_ms, attempt.remaining_ms)
            arrived = await attempt.receive(wait_ms)
            if arrived is not None:
                return arrived
            if attempt.remaining_ms <= 0:
                return None
            liveness = self._parts.liveness
            if not await liveness.is_alive(attempt.upstream, silence_ms):
                arrived = await attempt.receive(0)
                return arrived or AnswerLost('the upstream is silent')
            silent_ms = self._parts.clock.now_ms() - started_ms
            if silent_ms > self._stall_ms:
                return AnswerLost(f'no event for {silent_ms:.0f} ms')

    @property
    def _stall_ms(self) -> float:
        """Return the longest wait for the next event of this attempt."""
        if self._pace.parts:
            return STALL_MS
        return COPY_STALL_MS if self._is_from_copy else math.inf

    def _take_head(
        self,
        attempt: Attempt,
        head: AnswerHead,
    ) -> AttemptOutcome | None:
        """Pass the first head on; return an outcome if this is no stream."""
        refusal = attempt.refusal(head)
        if refusal is not None:
            return refusal
        if head.status != _OK or attempt.lacks_signature(head):
            return Answered(head, b'')
        if not self._call.exchange.has_head:
            self._call.exchange.start(_OK, end_to_end(head.headers))
        return None

    def _pass_on(self, event: StreamEvent) -> None:
        known = self._last_event
        if event.event_id is not None:
            if known is not None and event.event_id <= known:
                return
            self._last_event = event.event_id
        self._caller_pace.record(self._parts.clock.now_ms())
        self._call.exchange.write(event.payload)

    def _end(
        self,
        arrived: AnswerItem | None,
        head: AnswerHead | None,
        splitter: EventSplitter,
    ) -> AttemptOutcome:
        if isinstance(arrived, AnswerLost):
            return Broken(arrived.reason)
        if not isinstance(arrived, AnswerEnd):
            return OutOfTime()
        if splitter.has_partial:
            return Broken('the stream ended within an event')
        if head is None or head.framing is Framing.CLOSE:
            return Broken('the stream has no marked end')
        return StreamEnded()

    def _settles(self, placement: Placement, outcome: AttemptOutcome) -> bool:
        """Return whether the caller has its answer, or none is left to give."""
        failed = not isinstance(outcome, StreamEnded)
        upstream = placement.upstream
        if placement.copy is None or not isinstance(outcome, NotRun):
            self._parts.directory.record_outcome(upstream, failed=failed)
            self._excluded |= {upstream.record.instance}
        match outcome:
            case StreamEnded():
                self._call.exchange.finish()
                self._log_end()
                return True
            case NotSent() | NotRun():
                self._copies.drop()
                self._note_refused(upstream, outcome)
                return False
            case OutOfTime():
                self._give_up()
                return True
            case _:
                self._may_have_run = True
                if isinstance(outcome, Broken):
                    self._parts.directory.record_lost(upstream)
                    self._parts.liveness.verify_soon(upstream)
                return False

    def _note_refused(
        self,
        upstream: Upstream,
        outcome: NotSent | NotRun,
    ) -> None:
        """Take an upstream for lost whose address another one has."""
        if isinstance(outcome, NotRun) and outcome.status == MISDIRECTED:
            self._parts.directory.record_lost(upstream)

    def _give_up(self) -> None:
        """End the answer so that it can't be taken for a whole one."""
        if self._call.exchange.has_head:
            self._log_refusal(0, 'stream-cut')
            self._call.exchange.abort()
            return
        if self._may_have_run:
            refusal = RelayRefusal(502, 'upstream-lost', self._last)
        elif self._limits.sent and self._limits.remaining_ms <= 0:
            refusal = RelayRefusal(504, 'timeout', 'no event in time')
        else:
            refusal = RelayRefusal(
                503,
                'no-upstream',
                self._last or 'no upstream is available',
                RETRY_AFTER_MS,
            )
        self._log_refusal(refusal.status, refusal.reason)
        send_refusal(self._call.exchange, refusal)

    def _log_refusal(self, status: int, reason: str) -> None:
        self._parts.metrics.refusals.increment(reason)
        self._parts.log.write(
            'refused',
            request=self._call.label,
            status=status,
            reason=reason,
            detail=self._last,
            version=self._call.version,
            sent=self._limits.sent,
            last_event=self._last_event,
        )

    def _log_end(self) -> None:
        pace = self._caller_pace
        metrics = self._parts.metrics
        metrics.answers.increment(str(_OK))
        metrics.first_event_ms.record(pace.first_ms)
        metrics.pause_ms.record(pace.longest_gap_ms)
        self._parts.log.write(
            'stream-ended',
            request=self._call.label,
            attempts=self._limits.sent,
            events=pace.parts,
            first_ms=round(pace.first_ms),
            longest_pause_ms=round(pace.longest_gap_ms),
            span_ms=round(pace.span_ms),
        )

    def _log_outcome(
        self,
        placement: Placement,
        outcome: AttemptOutcome,
    ) -> None:
        match outcome:
            case Broken(reason) | NotSent(reason):
                self._last = reason
            case _:
                self._last = repr(outcome)
        upstream = placement.upstream
        self._parts.metrics.attempts.increment(type(outcome).__name__)
        self._parts.log.write(
            'attempt',
            request=self._call.label,
            upstream=upstream.record.instance,
            domain=upstream.record.failure_domain,
            outcome=type(outcome).__name__,
            detail=self._last,
            from_copy=placement.copy is not None,
            last_event=self._last_event,
            parts=self._pace.parts,
            first_ms=round(self._pace.first_ms),
            longest_gap_ms=round(self._pace.longest_gap_ms),
        )
