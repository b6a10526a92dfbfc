"""Relay of an event stream that resumes at another upstream after a loss.

The caller sees one response: the head from the first upstream, then complete
events in order. While a stream runs, its KV cache is copied to an upstream in
another failure domain, where the stream can resume with little prefill.
"""

from __future__ import annotations

import math
from dataclasses import replace

from bergamotthread.connection.event_buffer import EventTooLongError
from bergamotthread.connection.http.messages import (
    AnswerEnd,
    AnswerHead,
    AnswerItem,
    AnswerLost,
    AnswerPart,
)
from bergamotthread.process.relay.choice import RelayPlacementRequest
from bergamotthread.process.relay.engine_forecast import EngineForecast
from bergamotthread.process.relay.liveness import (
    PREFILL_SILENCE_MS,
    STREAM_SILENCE_MS,
)
from bergamotthread.process.relay.stream_gate import StreamRefused
from bergamotthread.process.relay.upstreams import Upstream
from bergamotthread.request.relay.attempt import MISDIRECTED, Attempt
from bergamotthread.request.relay.attempt_loop import (
    AttemptLimits,
    run_attempts,
)
from bergamotthread.request.relay.call import AttemptHeaders, RelayedCall
from bergamotthread.request.relay.copies import CopyManager
from bergamotthread.request.relay.events import (
    EventSplitter,
    StreamEvent,
)
from bergamotthread.request.relay.opening_wait import OpeningWait
from bergamotthread.request.relay.outcomes import (
    Answered,
    AttemptOutcome,
    Broken,
    NotRun,
    NotSent,
    OutOfTime,
    StreamEnded,
    Unread,
    is_pause,
)
from bergamotthread.request.relay.pace import ArrivalTimes
from bergamotthread.request.relay.parts import RelayParts
from bergamotthread.request.relay.placement import (
    AttemptPlacement,
    StreamPlacer,
)
from bergamotthread.request.relay.refusals import (
    RelayRefusal,
    ending_refusal,
    send_refusal,
)
from bergamotthread.request.relay.room_wait import RoomWait
from bergamotthread.request.relay.stream_build import StreamBuild
from bergamotthread.request.relay.suspicion import Suspicion

# A stream without an event for this long is resumed at another upstream even if
# its own still answers probes; prefill of other prompts delays events by up to
# 300 ms.
STALL_TIMEOUT_MS = 1200
# The same limit in multiples of the stream's own mean pause, if that is longer:
# a stream that is slow throughout is sound.
STALL_PAUSES = 3
# Pauses from which the mean is known. Before, the limit is twice as long.
KNOWN_PAUSES_MIN = 2
# A response that breaks off this soon after its caller has kept it waiting this
# long was cut by the upstream because nobody read it, which takes some seconds.
UNREAD_CUT_MS = 500
UNREAD_MIN_MS = 2000
# The same limit before the first event of a run that resumes from a copy.
RESUME_STALL_TIMEOUT_MS = 1500
# Fraction of the first-event target for which a stream waits for an upstream.
PLACEMENT_TARGET_FRACTION = 0.4
STREAM_NO_UPSTREAM_RETRY_AFTER_MS = 500
# Events of a run whose mean interval tells its pace.
PACE_EVENTS = 8
# Bytes of an incomplete event that each stream may hold, also where the memory
# for all callers is used up.
PARTIAL_BYTES_MIN = 65_536
# Events that are forwarded at once, and the pause before the next ones: other
# calls have their turn beside streams that send events without end.
EVENTS_PER_TURN = 128
TURN_PAUSE_MS = 40
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
        self._copy_manager = CopyManager(
            parts, call.request_label, call.prompt_tokens
        )
        self._attempt_times = ArrivalTimes(parts.clock.now_ms())
        self._caller_times = ArrivalTimes(call.request.received_ms)
        self._is_from_copy = False
        self._progress_ms: float = 0
        self._unread_until_ms: float = -math.inf
        self._attempt_build = ''
        self._forecast: EngineForecast | None = None
        self._run_ms: float = 0
        self._partial_bytes = 0
        self._last_outcome = ''
        target_ms = call.route.first_event_target_ms
        received_ms = call.request.received_ms
        self._placement_deadline_ms = (
            received_ms + target_ms * PLACEMENT_TARGET_FRACTION
        )
        self._opening_wait = OpeningWait(
            call, parts, self._placement_deadline_ms
        )
        self._room_wait = RoomWait(call, parts, self._placement_deadline_ms)
        self._suspicion = Suspicion(call, parts)
        self._build = StreamBuild(call, parts)

    async def run(self) -> None:
        """Run the attempts and respond to the caller."""
        call = self._call
        refused = self._suspicion.refusal() or await self._build.take_up()
        if refused is not None:
            self.refuse(refused)
            return
        gate = self._parts.stream_gate
        gate.record_start(call.service.name, call.team)
        try:
            if not await run_attempts(self._limits, self):
                self._refuse_or_abort()
            await self._copy_manager.release()
        finally:
            self._release()
            gate.record_end(call.service.name, call.team, self._run_ms)

    def end(self) -> None:
        """Send the final answer; `run` was cancelled as the entry ends."""
        if self._call.exchange.is_ended:
            return
        if self._call.exchange.has_head:
            self._refuse_or_abort()
            return
        may_have_run = self._limits.attempts_sent > 0
        self.refuse(ending_refusal(may_have_run=may_have_run))

    def may_send(self) -> bool:
        """Return whether the route allows another attempt.

        A request that may have run is sent again only if the route allows
        retries.
        """
        may_retry = self._call.route.repeatability.may_retry
        if self._may_have_run and not may_retry:
            return False
        return self._limits.has_attempts_left

    async def place(self) -> AttemptPlacement | RelayRefusal | None:
        """Return where the next attempt goes, or None if nowhere for now.

        Only a new stream is refused for its expected wait: one that was placed
        before, here or at another entry, has been accepted.
        """
        refused = self._suspicion.refusal() or self._build.gone_refusal()
        if refused is not None:
            return refused
        if self._suspicion.is_tried:
            return None if self.may_wait() else self._suspicion.tried_refusal()
        copy = self._copy_manager.pop()
        if copy is not None and self._attempt_times.count:
            holder = copy.holder.record
            request = self._placement_request(holder.instance)
            if request.plan.admits(holder.instance, holder.build):
                return self._placer.place_at_copy(copy, request)
        placement = await self._place_anew(self._suspicion.excluded())
        if placement is None:
            self._excluded = frozenset()
        if isinstance(placement, StreamRefused):
            self._placer.settle(is_admitted=False)
            return self._overload_refusal(placement)
        if placement is None:
            return self._pause_refusal()
        self._opening_wait.end()
        if not await self._has_room(placement):
            return None
        self._placer.settle(is_admitted=True)
        return placement

    def may_wait(self) -> bool:
        """Return whether placement may be tried again after a pause.

        A stream that may have run waits until its deadline, unless all
        upstreams are paused beyond it.
        """
        if self._call.exchange.has_head or self._may_have_run:
            directory = self._parts.directory
            first = directory.first_opening(self._call.service.name)
            return first is None or not directory.is_held_past(
                first, self._call.deadline_ms
            )
        if self._limits.is_unservable:
            return False
        return self._is_placement_due()

    def may_wait_for_budget(self) -> bool:
        """Return whether to wait while the retry budget has no room.

        A stream that has begun waits until its deadline rather than being cut.
        Before, its caller may try again elsewhere.
        """
        if self._call.exchange.has_head:
            return True
        return self._may_have_run and self._is_placement_due()

    async def run_attempt(self, placement: AttemptPlacement) -> bool:
        """Run an attempt; return whether no further attempt is needed."""
        outcome = await self._attempt(placement)
        self._log_outcome(placement, outcome)
        return self._handle_outcome(placement, outcome)

    def refuse(self, refusal: RelayRefusal) -> None:
        """Send a refusal in place of a response, or cut one that has begun."""
        self._last_outcome = refusal.detail
        if self._call.exchange.has_head:
            self._log_refusal(refusal)
            self._call.exchange.abort()
            return
        if self._may_have_run:
            refusal = refusal.after_run()
        self._log_refusal(refusal)
        send_refusal(self._call.exchange, refusal)

    async def _place_anew(
        self, avoided: frozenset[str]
    ) -> AttemptPlacement | StreamRefused | None:
        """Place an attempt; at an avoided upstream if there is no other."""
        is_new = self._call.resume_after is None
        in_time = is_new and not self._limits.attempts_sent
        if avoided:
            placement = await self._place_planned(
                self._placement_request(*avoided), in_time=in_time
            )
            if placement is not None:
                return placement
        return await self._place_planned(
            self._placement_request(), in_time=in_time
        )

    async def _has_room(self, placement: AttemptPlacement) -> bool:
        """Return whether the upstream has room, if need be after a wait.

        Only a new stream waits. One that goes on after a loss is late already,
        and its caller has waited for a part of it.
        """
        if self._limits.attempts_sent or self._call.resume_after is not None:
            return True
        upstream = placement.upstream
        request = self._placer.with_precedence(
            upstream, self._placement_request()
        )
        waiting = request.precedence.while_waiting
        request = replace(request, precedence=waiting)
        if await self._room_wait.wait(upstream, request, self._placer.rank):
            return True
        self._excluded |= {upstream.record.instance}
        return False

    async def _place_planned(
        self, request: RelayPlacementRequest, *, in_time: bool
    ) -> AttemptPlacement | StreamRefused | None:
        """Place an attempt; where a target has no room, at former builds."""
        placement = await self._placer.place(request, in_time=in_time)
        if not isinstance(placement, StreamRefused):
            return placement
        if not request.prefers_target:
            return placement
        former = request.without_target()
        return await self._placer.place(former, in_time=in_time) or placement

    def _release(self) -> None:
        """Release the place among those that wait, and the copy."""
        self._opening_wait.end()
        self._copy_manager.discard()

    def _is_placement_due(self) -> bool:
        """Return whether the time to find an upstream is not over yet."""
        return self._parts.clock.now_ms() <= self._placement_deadline_ms

    def _pause_refusal(self) -> RelayRefusal | None:
        """Return a refusal if a pause outlasts the wait for an upstream.

        A stream that may have run is not refused; see `may_wait`.
        """
        if self._call.exchange.has_head or self._may_have_run:
            return None
        return self._opening_wait.check()

    def _overload_refusal(self, refused: StreamRefused) -> RelayRefusal:
        return RelayRefusal(
            503,
            'overloaded',
            f'first event expected in {refused.expected_ms:.0f} ms, '
            f'at most {refused.limit_ms:.0f} ms are left for it; '
            f'decided by {refused.decided_by}',
            refused.retry_after_ms,
            {
                'expected_ms': round(refused.expected_ms),
                'limit_ms': round(refused.limit_ms),
                'backlog_ms': round(refused.backlog_ms),
                'report_age_ms': round(refused.report_age_ms),
                'rivals': round(refused.rivals, 1),
            },
        )

    def _copy_request(self) -> RelayPlacementRequest:
        """Return what the attempt under way requires of a copy holder."""
        return replace(self._placement_request(), build=self._attempt_build)

    def _placement_request(self, *excluded: str) -> RelayPlacementRequest:
        return self._placer.placement_request(
            self._excluded.union(excluded),
            self._build.build,
            is_first=not self._limits.attempts_sent,
        )

    async def _attempt(self, placement: AttemptPlacement) -> AttemptOutcome:
        upstream = placement.upstream
        copy_target = placement.copy_target
        copy = placement.copy
        self._attempt_build = upstream.record.build
        headers = AttemptHeaders(
            upstream.record.instance,
            self._limits.remaining_ms,
            resume_after=self._last_event,
            copy_target=copy_target.address if copy_target else '',
            copy_source=copy.copy_id if copy else '',
            urgency=self._placer.rank.urgency,
        )
        self._forecast = self._forecast_attempt(placement)
        is_bound = self._build.build is not None
        with Attempt(
            self._call, upstream, self._parts, is_bound=is_bound
        ) as attempt:
            not_sent = await attempt.send(headers)
            if not_sent is not None:
                return not_sent
            self._limits.record_sent()
            self._attempt_times = ArrivalTimes(attempt.sent_ms)
            self._progress_ms = attempt.sent_ms
            self._is_from_copy = copy is not None
            self._copy_manager.start_attempt(upstream, copy_target)
            outcome = await self._relay(attempt)
            if isinstance(outcome, StreamEnded):
                self._record_pace(attempt)
            attempt.settle(outcome)
            return outcome

    async def _relay(self, attempt: Attempt) -> AttemptOutcome:
        splitter = EventSplitter()
        self._partial_bytes = 0
        head = await self._receive_next(attempt)
        if not isinstance(head, AnswerHead):
            return self._end_outcome(head, None, splitter)
        head_outcome = self._forward_head(attempt, head)
        if head_outcome is not None:
            return head_outcome
        attempt.tracked.report_progress(0)
        self._progress_ms = self._parts.clock.now_ms()
        received = await self._receive_next(attempt)
        while isinstance(received, AnswerPart):
            try:
                events = splitter.feed(received.payload)
            except EventTooLongError as error:
                return Broken(str(error))
            if not self._hold_partial(splitter.partial_bytes):
                return Broken(
                    f'event of {splitter.partial_bytes} bytes, and no memory'
                )
            part_outcome = await self._forward_events(attempt, events)
            if part_outcome is not None:
                return part_outcome
            received = await self._receive_next(attempt)
        outcome = self._end_outcome(received, head, splitter)
        is_ended = isinstance(outcome, StreamEnded)
        if is_ended and not await attempt.has_ended_whole(head):
            return Broken('the stream ended with its upstream')
        return outcome

    def _hold_partial(self, partial_bytes: int) -> bool:
        """Count an incomplete event; return whether it may go on."""
        exchange = self._call.exchange
        exchange.hold(partial_bytes - self._partial_bytes)
        self._partial_bytes = partial_bytes
        return partial_bytes <= PARTIAL_BYTES_MIN or exchange.has_room

    def _forecast_attempt(
        self, placement: AttemptPlacement
    ) -> EngineForecast | None:
        """Return the forecast; None if little of the prompt is prefilled."""
        if placement.copy is not None or self._call.resume_after is not None:
            return None
        request = self._placement_request()
        return self._placer.forecast(placement.upstream, request)

    def _record_first_event(self, attempt: Attempt) -> None:
        attempt.end_prefill()
        call = self._call
        self._parts.choice.kept.record(
            attempt.upstream,
            call.affinity,
            call.prompt_tokens,
            is_new=self._limits.attempts_sent == 1
            and call.resume_after is None,
        )
        forecast = self._forecast
        if forecast is None:
            return
        first_ms = self._attempt_times.first_ms
        error_ms = first_ms - forecast.first_event_ms
        self._parts.metrics.forecast_error_ms.record(abs(error_ms))
        self._parts.stream_gate.record_wait(
            self._call.service.name,
            self._placer.rank,
            first_ms - forecast.prompt_ms,
        )
        if forecast.shows_speed:
            self._parts.directory.record_prefill(
                attempt.upstream,
                forecast.work.prefill_tokens + self._call.prompt_tokens,
                first_ms,
            )

    def _record_pace(self, attempt: Attempt) -> None:
        """Record the speed of a run that read its whole prompt."""
        times = self._attempt_times
        if times.count and not self._is_from_copy:
            pace_ms = times.span_ms / max(times.count - 1, 1)
            attempt.record_answer(times.first_ms, pace_ms)

    async def _forward_events(
        self, attempt: Attempt, events: list[StreamEvent]
    ) -> AttemptOutcome | None:
        """Forward what a part completes; return an outcome to end with."""
        for start in range(0, len(events), EVENTS_PER_TURN):
            if start:
                await self._parts.clock.sleep_ms(TURN_PAUSE_MS)
            self._forward_turn(attempt, events[start : start + EVENTS_PER_TURN])
        clock = self._parts.clock
        began_ms = clock.now_ms()
        exchange = self._call.exchange
        if not await exchange.wait_writable(attempt.remaining_ms):
            return OutOfTime()
        waited_ms = clock.now_ms() - began_ms
        self._progress_ms += waited_ms
        if waited_ms > UNREAD_MIN_MS:
            self._unread_until_ms = clock.now_ms()
        silent_ms = self._silent_ms
        is_stalled = silent_ms > self._stall_timeout_ms
        if is_stalled and self._reserve_replacement():
            return Broken(f'no whole event for {silent_ms:.0f} ms')
        return None

    def _forward_turn(
        self, attempt: Attempt, events: list[StreamEvent]
    ) -> None:
        """Forward events in one write, without handing back the loop."""
        forwarded = bytearray()
        progress = 0
        for event in events:
            progress += self._is_progress(event)
            self._build.record_event(attempt.upstream)
            if self._accept(event):
                forwarded += event.payload
        if progress:
            self._record_events(attempt, progress)
        if forwarded:
            self._call.exchange.write(bytes(forwarded))

    def _is_progress(self, event: StreamEvent) -> bool:
        """Return whether the stream has got on by an event.

        Comments and what is sent to keep alive is none: a run that has stalled
        may go on sending them.
        """
        last_event = self._last_event
        if event.event_id is None:
            return last_event is None and event.has_data
        return last_event is None or event.event_id > last_event

    def _record_events(self, attempt: Attempt, progress: int) -> None:
        """Record that so many events have arrived."""
        now_ms = self._parts.clock.now_ms()
        self._progress_ms = now_ms
        for _ in range(progress):
            self._attempt_times.record(now_ms)
            if self._attempt_times.count == 1:
                self._record_first_event(attempt)
            if self._attempt_times.count == PACE_EVENTS:
                self._record_pace(attempt)
        attempt.tracked.report_progress(self._attempt_times.span_ms)
        if self._placer.may_copy:
            self._copy_manager.renew(self._copy_request)

    async def _receive_next(self, attempt: Attempt) -> AnswerItem | None:
        """Return the next item of the response; None at the deadline.

        A silent upstream is probed, and marked lost if it does not respond.
        """
        while True:
            wait_ms = min(self._silence_ms, attempt.remaining_ms)
            received = await attempt.receive(wait_ms)
            if received is not None:
                return received
            if attempt.remaining_ms <= 0:
                return None
            silence = await self._silence_reason(attempt)
            if not silence:
                continue
            received = await attempt.receive(0)
            if received is not None:
                return received
            if self._reserve_replacement():
                return AnswerLost(silence)

    async def _silence_reason(self, attempt: Attempt) -> str:
        """Return why a silent upstream counts as lost; empty if it does not."""
        silence_ms = self._silence_ms
        if not await self._parts.liveness.is_alive(
            attempt.upstream, silence_ms
        ):
            return 'the upstream is silent'
        if self._silent_ms > self._stall_timeout_ms:
            return f'no event for {self._silent_ms:.0f} ms'
        return ''

    @property
    def _silent_ms(self) -> float:
        """Return the time without a whole event of this attempt.

        Silence of all upstreams together says nothing about this one.
        """
        started_ms = max(self._progress_ms, self._parts.liveness.doubted_ms)
        return self._parts.clock.now_ms() - started_ms

    def _reserve_replacement(self) -> bool:
        """Reserve the attempt that is to follow the silent one.

        Return whether one may follow. If not, the silent attempt, which may go
        on, is all that is left of the stream.
        """
        may_retry = self._call.route.repeatability.may_retry
        has_attempts = may_retry and self._limits.has_attempts_left
        return has_attempts and self._limits.reserve_attempt()

    @property
    def _silence_ms(self) -> float:
        """Return the silence after which the upstream is probed."""
        if self._attempt_times.count:
            return STREAM_SILENCE_MS
        return PREFILL_SILENCE_MS

    @property
    def _stall_timeout_ms(self) -> float:
        """Return the longest time to wait for the next event."""
        times = self._attempt_times
        pauses = times.count - 1
        if pauses < 0:
            return RESUME_STALL_TIMEOUT_MS if self._is_from_copy else math.inf
        if pauses < KNOWN_PAUSES_MIN:
            return 2 * STALL_TIMEOUT_MS
        return max(STALL_TIMEOUT_MS, STALL_PAUSES * times.span_ms / pauses)

    def _forward_head(
        self,
        attempt: Attempt,
        head: AnswerHead,
    ) -> AttemptOutcome | None:
        """Forward the first head; return an outcome if no stream follows."""
        not_run = attempt.not_run_outcome(head)
        if not_run is not None:
            return not_run
        if head.status != _OK or attempt.lacks_signature(head):
            return Answered(head, b'', attempt.pause_ms)
        if attempt.unwanted_encoding(head):
            return Broken('an encoded stream, which the caller did not ask for')
        if not self._call.exchange.has_head:
            headers = self._parts.header_names.for_caller(head.headers)
            self._call.exchange.start(_OK, headers)
        return None

    def _accept(self, event: StreamEvent) -> bool:
        """Count an event to be forwarded; return False if the caller has it."""
        last_event = self._last_event
        if event.event_id is not None:
            if last_event is not None and event.event_id <= last_event:
                return False
            self._last_event = event.event_id
        self._caller_times.record(self._parts.clock.now_ms())
        return True

    def _end_outcome(
        self,
        received: AnswerItem | None,
        head: AnswerHead | None,
        splitter: EventSplitter,
    ) -> AttemptOutcome:
        if isinstance(received, AnswerLost):
            return self._loss(received.reason)
        if not isinstance(received, AnswerEnd):
            return OutOfTime()
        if splitter.has_partial:
            return Broken('the stream ended within an event')
        if head is None:
            return Broken('the stream has no head')
        return StreamEnded()

    def _loss(self, reason: str) -> Broken | Unread:
        """Return whether the upstream failed or cut what nobody read."""
        since_ms = self._parts.clock.now_ms() - self._unread_until_ms
        return Unread(reason) if since_ms < UNREAD_CUT_MS else Broken(reason)

    def _handle_outcome(
        self, placement: AttemptPlacement, outcome: AttemptOutcome
    ) -> bool:
        """Handle an outcome; return whether no further attempt is needed."""
        if isinstance(outcome, Unread):
            self._refuse_or_abort()
            return True
        failed = not isinstance(outcome, StreamEnded)
        upstream = placement.upstream
        # A full copy holder refuses to resume a run. That is no failure, and it
        # may still run the request without the copy.
        if placement.copy is None or not isinstance(outcome, NotRun):
            if not is_pause(outcome):
                self._parts.directory.record_outcome(upstream, failed=failed)
            self._excluded |= {upstream.record.instance}
        match outcome:
            case StreamEnded():
                self._call.exchange.finish()
                self._log_end()
                self._run_ms = (
                    self._caller_times.first_ms + self._caller_times.span_ms
                )
                if self._call.resume_after is None:
                    self._parts.directory.record_stream(
                        upstream,
                        self._caller_times.count,
                        self._caller_times.span_ms,
                        self._call.output_tokens_hint,
                    )
                return True
            case NotSent() | NotRun():
                self._copy_manager.discard()
                self._mark_lost_if_misdirected(upstream, outcome)
                return False
            case OutOfTime():
                self._refuse_or_abort()
                return True
            case _:
                self._may_have_run = True
                if isinstance(outcome, Broken):
                    self._parts.directory.record_lost(upstream)
                    self._parts.liveness.check_in_background(upstream)
                return False

    def _mark_lost_if_misdirected(
        self,
        upstream: Upstream,
        outcome: NotSent | NotRun,
    ) -> None:
        """Mark an upstream lost if another one has its address now."""
        if isinstance(outcome, NotRun) and outcome.status == MISDIRECTED:
            self._parts.directory.record_lost(upstream)

    def _refuse_or_abort(self) -> None:
        """Send a refusal, or cut a response that has begun.

        A cut response can't be mistaken for a complete one.
        """
        if self._call.exchange.has_head:
            self._log_refusal(RelayRefusal(0, 'stream-cut', ''))
            self._call.exchange.abort()
            return
        if self._may_have_run:
            refusal = RelayRefusal(502, 'upstream-lost', self._last_outcome)
        elif self._limits.attempts_sent and self._limits.remaining_ms <= 0:
            refusal = RelayRefusal(
                504,
                'timeout',
                'no event in time',
            )
        else:
            refusal = RelayRefusal(
                503,
                'no-upstream',
                self._last_outcome or 'no upstream is available',
                STREAM_NO_UPSTREAM_RETRY_AFTER_MS,
            )
        self._log_refusal(refusal)
        send_refusal(self._call.exchange, refusal)

    def _log_refusal(self, refusal: RelayRefusal) -> None:
        self._parts.metrics.refusals.increment(refusal.reason)
        self._parts.log.write(
            'refused',
            request=self._call.request_label,
            content=self._call.fingerprints.label,
            status=refusal.status,
            reason=refusal.reason,
            retry_after_ms=refusal.retry_after_ms,
            detail=self._last_outcome,
            limit=self._limits.denied_by,
            version=self._call.version,
            sent=self._limits.attempts_sent,
            last_event=self._last_event,
            urgency=self._call.rank.urgency,
            **refusal.figures,
        )

    def _log_end(self) -> None:
        times = self._caller_times
        metrics = self._parts.metrics
        metrics.answers.increment(str(_OK))
        metrics.first_event_ms.record(times.first_ms)
        metrics.longest_pause_ms.record(times.longest_pause_ms)
        self._parts.log.write(
            'stream-ended',
            request=self._call.request_label,
            attempts=self._limits.attempts_sent,
            events=times.count,
            first_ms=round(times.first_ms),
            longest_pause_ms=round(times.longest_pause_ms),
            span_ms=round(times.span_ms),
        )

    def _log_outcome(
        self,
        placement: AttemptPlacement,
        outcome: AttemptOutcome,
    ) -> None:
        match outcome:
            case Broken(reason) | NotSent(reason) | Unread(reason):
                self._last_outcome = reason
            case _:
                self._last_outcome = repr(outcome)
        upstream = placement.upstream
        self._parts.metrics.attempts.increment(type(outcome).__name__)
        self._parts.log.write(
            'attempt',
            request=self._call.request_label,
            content=self._call.fingerprints.label,
            upstream=upstream.record.instance,
            domain=upstream.record.failure_domain,
            build=upstream.record.build,
            outcome=type(outcome).__name__,
            detail=self._last_outcome,
            from_copy=placement.copy is not None,
            last_event=self._last_event,
            parts=self._attempt_times.count,
            first_ms=round(self._attempt_times.first_ms),
            longest_gap_ms=round(self._attempt_times.longest_pause_ms),
        )
