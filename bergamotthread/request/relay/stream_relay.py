"""Relay of an event stream that resumes at another upstream after a loss.

The caller sees one response: the head from the first upstream, then complete
events in order. While a stream runs, its KV cache is copied to an upstream in
another failure domain, where the stream can resume with little prefill.
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

# A stream without an event for this long is resumed at another upstream even if
# its own still answers probes; prefill of other prompts delays events by up to
# 300 ms.
STALL_MS = 1200
# The same limit before the first event of a run that resumes from a copy.
COPY_STALL_MS = 1500
# Fraction of the first-event target for which a stream waits for an upstream.
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
        target_ms = call.route.first_event_goal_ms
        received_ms = call.request.received_ms
        self._look_until_ms = received_ms + target_ms * WAIT_SHARE

    async def run(self) -> None:
        """Run the attempts and respond to the caller."""
        try:
            if not await run_attempts(self._limits, self):
                self._give_up()
            await self._copies.free()
        finally:
            self._copies.drop()

    def may_send(self) -> bool:
        """Return whether the route allows another attempt.

        After a request that may have run, it must allow retries as well.
        """
        may_retry = self._call.route.repeatability.may_repeat
        if self._may_have_run and not may_retry:
            return False
        return self._limits.is_below_max

    async def place(self) -> Placement | None:
        """Return where the next attempt goes, or None if nowhere for now."""
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
        """Return whether placement may be tried again after a pause.

        A stream that may have run waits until its deadline.
        """
        if self._call.exchange.has_head or self._may_have_run:
            return True
        return self._parts.clock.now_ms() <= self._look_until_ms

    async def is_settled_at(self, place: Placement) -> bool:
        """Run an attempt; return whether no further attempt is needed."""
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
        headers = AttemptHeaders(
            upstream.record.instance,
            self._limits.remaining_ms,
            resume_after=self._last_event,
            copy_target=target.address if target else '',
            copy_source=copy.source if copy else '',
        )
        with Attempt(self._call, upstream, self._parts) as attempt:
            not_sent = await attempt.send(headers)
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
        head_outcome = self._take_head(attempt, head)
        if head_outcome is not None:
            return head_outcome
        received = await self._next(attempt)
        while isinstance(received, AnswerPart):
            attempt.end_prefill()
            self._pace.record(self._parts.clock.now_ms())
            if self._placer.may_copy:
                self._copies.keep(self._work)
            try:
                await self._take_part(received.payload, splitter)
            except EventTooLongError as error:
                return Broken(str(error))
            received = await self._next(attempt)
        return self._end(received, head, splitter)

    async def _take_part(
        self,
        payload: bytes,
        splitter: EventSplitter,
    ) -> None:
        for event in splitter.feed(payload):
            self._pass_on(event)
        await self._call.exchange.writable()

    async def _next(self, attempt: Attempt) -> AnswerItem | None:
        """Return the next item of the response; None at the deadline.

        A silent upstream is probed, and marked lost if it does not respond.
        """
        started_ms = self._parts.clock.now_ms()
        silence_ms = SILENCE_MS if self._pace.parts else READING_SILENCE_MS
        while True:
            wait_ms = min(silence_ms, attempt.remaining_ms)
            received = await attempt.receive(wait_ms)
            if received is not None:
                return received
            if attempt.remaining_ms <= 0:
                return None
            liveness = self._parts.liveness
            if not await liveness.is_alive(attempt.upstream, silence_ms):
                received = await attempt.receive(0)
                return received or AnswerLost('upstream did not answer a probe')
            silent_ms = self._parts.clock.now_ms() - started_ms
            if silent_ms > self._stall_ms:
                return AnswerLost(
                    f'stream stalled: no event for {silent_ms:.0f} ms',
                )

    @property
    def _stall_ms(self) -> float:
        """Return the longest time to wait for the next event."""
        if self._pace.parts:
            return STALL_MS
        return COPY_STALL_MS if self._is_from_copy else math.inf

    def _take_head(
        self,
        attempt: Attempt,
        head: AnswerHead,
    ) -> AttemptOutcome | None:
        """Forward the first head; return an outcome if no stream follows."""
        refusal = attempt.refusal(head)
        if refusal is not None:
            return refusal
        if head.status != _OK or attempt.lacks_signature(head):
            return Answered(head, b'')
        if not self._call.exchange.has_head:
            self._call.exchange.start(_OK, end_to_end(head.headers))
        return None

    def _pass_on(self, event: StreamEvent) -> None:
        last_event = self._last_event
        if event.event_id is not None:
            if last_event is not None and event.event_id <= last_event:
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
            return Broken('the stream ended in the middle of an event')
        if head is None or head.framing is Framing.CLOSE:
            return Broken('connection closed, but the stream has no end marker')
        return StreamEnded()

    def _settles(self, placement: Placement, outcome: AttemptOutcome) -> bool:
        """Handle an outcome; return whether no further attempt is needed."""
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
        """Mark an upstream lost if another one has its address now."""
        if isinstance(outcome, NotRun) and outcome.status == MISDIRECTED:
            self._parts.directory.record_lost(upstream)

    def _give_up(self) -> None:
        """Send a refusal, or cut a response that has begun.

        A cut response can't be mistaken for a complete one.
        """
        if self._call.exchange.has_head:
            self._log_refusal(0, 'stream-cut')
            self._call.exchange.abort()
            return
        if self._may_have_run:
            refusal = RelayRefusal(502, 'upstream-lost', self._last)
        elif self._limits.sent and self._limits.remaining_ms <= 0:
            refusal = RelayRefusal(
                504,
                'timeout',
                'no event arrived before the deadline',
            )
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
