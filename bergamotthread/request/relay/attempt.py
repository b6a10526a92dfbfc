"""One attempt of a relayed call at one upstream."""

from __future__ import annotations

from bergamotthread.connection.http.messages import (
    AnswerEnd,
    AnswerHead,
    AnswerItem,
    AnswerLost,
    AnswerPart,
    Framing,
)
from bergamotthread.connection.http.upstream_connection import (
    UpstreamConnection,
)
from bergamotthread.connection.http.upstream_pool import (
    CONNECT_TIMEOUT_MS,
    IDLE_MAX_MS,
    ConnectFailedError,
)
from bergamotthread.process.relay.upstreams import Upstream
from bergamotthread.process.rollouts.gate import AnswerSample
from bergamotthread.request.relay.call import (
    AttemptHeaders,
    RelayedCall,
    encode_attempt,
)
from bergamotthread.request.relay.outcomes import (
    Answered,
    AttemptOutcome,
    Broken,
    NotRun,
    NotSent,
    OutOfTime,
    is_pause,
)
from bergamotthread.request.relay.parts import RelayParts
from bergamotthread.request.relay.suspicion import TrackedAttempt

# Largest response that is buffered before it is sent to the caller; an entry
# has 128 MB of memory.
BUFFERED_RESPONSE_BYTES_MAX = 8_388_608
# Bytes of requests that one upstream is sent at once, beyond the first: two of
# the largest that callers may send. It crashes if they exceed its memory.
UPSTREAM_REQUEST_BYTES_MAX = 8_388_608
# Interval at which an answer that waits for memory is looked at.
ROOM_CHECK_MS = 20
# A request that must not run twice reuses a connection only if it was in use
# within this time, since an idle one may have been lost without notice.
NON_RETRYABLE_IDLE_MAX_MS = 2500
# HTTP status of an upstream that is not the incarnation expected by the entry.
MISDIRECTED = 421
_OK = 200
_IDENTITY = b'identity'
_UNWANTED = 'a body encoded with {0!r}, which the caller did not ask for'
_FIRST_REDIRECT = 300
_FULL = NotSent('the upstream holds enough bytes of requests', is_held=True)
_NO_PLACE = NotSent('the roll-out has no place for it', is_held=True)
_SERVER_ERROR = 500
# Tokens of a prompt to which the time to its first event is scaled.
_LATENCY_TOKENS = 1000
_HELD = NotSent('the upstream takes no request now', is_held=True)


class Attempt:
    """Sends a call to one upstream and reads the response.

    Use it as a context manager: on exit the connection returns to the pool, or
    is closed if the response is incomplete, which cancels the run at the
    upstream.
    """

    def __init__(
        self,
        call: RelayedCall,
        upstream: Upstream,
        parts: RelayParts,
        *,
        is_bound: bool = False,
    ) -> None:
        """Prepare an attempt.

        Parameters
        ----------
        is_bound
            Whether it continues a stream at the build to which it is bound.
        """
        self.call = call
        self.upstream = upstream
        self.parts = parts
        self.sent_ms: float = 0
        self.pause_ms: float = 0
        self.tracked = TrackedAttempt(call, upstream, parts)
        self._connection: UpstreamConnection | None = None
        self._request_bytes = 0
        self._is_prefilling = False
        self._is_bound = is_bound
        self._build = upstream.record.upstream_build
        self._is_admitted = False
        self._is_recorded = False

    def __enter__(self) -> Attempt:
        upstream = self.upstream
        upstream.in_flight += 1
        upstream.prefill_tokens += self.call.prompt_tokens
        self._is_prefilling = True
        return self

    def __exit__(self, *_: object) -> None:
        self.upstream.in_flight -= 1
        self.upstream.request_bytes -= self._request_bytes
        self.end_prefill()
        self.tracked.abandon()
        self.call.exchange.release()
        if self._is_admitted:
            self._is_admitted = False
            self.parts.rollouts.record_ended(self._build)
        if self._connection is not None:
            self.parts.pool.release(self._connection)

    @property
    def remaining_ms(self) -> float:
        """Return the time left until the call's deadline."""
        return self.call.deadline_ms - self.parts.clock.now_ms()

    def end_prefill(self) -> None:
        """Stop counting the prompt among those that wait for prefill."""
        if self._is_prefilling:
            self._is_prefilling = False
            self.upstream.prefill_tokens -= self.call.prompt_tokens

    def settle(self, outcome: AttemptOutcome) -> None:
        """Report the outcome of the attempt.

        An answer that doesn't come in time counts with the time for which it
        was waited for: a slow build would else have no slow answers.
        """
        self.tracked.settle(outcome)
        elapsed_ms = self.parts.clock.now_ms() - self.sent_ms
        match outcome:
            case Answered(head) if not is_pause(outcome):
                is_failed = head.status >= _SERVER_ERROR
                self.record_answer(elapsed_ms, is_failed=is_failed)
            case OutOfTime():
                self.record_answer(elapsed_ms)

    def record_answer(
        self, latency_ms: float, pace_ms: float = 0, *, is_failed: bool = False
    ) -> None:
        """Record the answer for roll-outs; later calls change nothing.

        Parameters
        ----------
        latency_ms
            Time to the answer or, of a stream, to its first event. The time
            that opening the connection took, a round trip, is taken off: an
            upstream of another region isn't slow for it.
        pace_ms
            Mean time between the events of a stream.
        """
        if self._is_recorded:
            return
        self._is_recorded = True
        if self._connection is not None:
            latency_ms = max(latency_ms - self._connection.opening_ms, 0)
        prompt_tokens = self.call.prompt_tokens or _LATENCY_TOKENS
        self.parts.rollouts.record_answer(
            AnswerSample(
                self._build,
                self.call.route.name,
                is_failed,
                latency_ms * _LATENCY_TOKENS / prompt_tokens,
                pace_ms,
            )
        )

    async def send(self, headers: AttemptHeaders) -> NotSent | None:
        """Send the request; return the outcome if it could not be sent.

        The upstream may have asked for a pause since it was chosen, or have got
        all that its limit allows, also while the connection was opened.
        """
        directory = self.parts.directory
        may_retry = self.call.route.repeatability.may_retry
        idle_max_ms = IDLE_MAX_MS if may_retry else NON_RETRYABLE_IDLE_MAX_MS
        encoded = encode_attempt(self.call, headers, self.parts.header_names)
        try:
            self._connection = await self.parts.pool.acquire(
                self.upstream.address,
                idle_max_ms,
                self.call.request_id,
            )
            not_sent = self._reason_not_to_send()
            if not_sent is not None:
                return not_sent
            self._connection.send(encoded, self.call.request_id)
        except ConnectFailedError as error:
            if self._is_upstream_lost(error):
                directory.record_lost(self.upstream)
            return NotSent(str(error))
        except ConnectionError as error:
            return NotSent(str(error))
        self._record_sent(self._connection, len(encoded))
        self.tracked.start(is_whole=headers.resume_after is None)
        return None

    async def receive(self, timeout_ms: float) -> AnswerItem | None:
        """Return the next item of the response, or None after the timeout."""
        if self._connection is None:
            return AnswerLost('nothing was sent')
        received = await self._connection.receive(timeout_ms)
        if received is not None and not isinstance(received, AnswerLost):
            self.parts.directory.record_heard(self.upstream)
        if isinstance(received, AnswerHead):
            self._read_notices(received)
            self.pause_ms = self.parts.pauses.record_answer(
                self.upstream, received.status, received.headers
            )
        return received

    async def has_ended_whole(self, head: AnswerHead | None) -> bool:
        """Return whether a response that has ended is whole.

        Where only the close marks the end, a process that crashes marks it too.
        """
        if head is None or head.framing is not Framing.CLOSE:
            return True
        return await self.parts.crashes.is_listening(self.upstream)

    @property
    def is_receiving(self) -> bool:
        """Return whether more of the response is still to arrive."""
        return self._connection is not None and self._connection.is_receiving

    def not_run_outcome(self, head: AnswerHead) -> NotRun | None:
        """Return `NotRun` if the head says that the request was not run."""
        has_not_run_header = (
            head.header(self.parts.header_names.not_run) is not None
        )
        if has_not_run_header or head.status == MISDIRECTED:
            return NotRun(head.status, self.pause_ms)
        return None

    def lacks_signature(self, head: AnswerHead) -> bool:
        """Return whether a successful response lacks its signature.

        Such a response can't come from the upstream itself.
        """
        is_success = _OK <= head.status < _FIRST_REDIRECT
        signature = head.header(self.parts.header_names.signature)
        return is_success and signature is None

    def unwanted_encoding(self, head: AnswerHead) -> bytes:
        """Return the encoding of a success that the caller did not ask for.

        Its bytes are not the body that the caller expects; empty if none.
        """
        encoding = head.header(b'content-encoding') or b''
        accepted = self.call.request.header(b'accept-encoding') or _IDENTITY
        is_accepted = encoding.lower() in accepted.lower()
        is_success = head.status < _FIRST_REDIRECT
        return b'' if is_accepted or not is_success else encoding

    def _record_sent(
        self, connection: UpstreamConnection, encoded_bytes: int
    ) -> None:
        """Count a request that was sent, also what the upstream hasn't read."""
        self.parts.pool.sent_bytes += encoded_bytes
        self.call.exchange.hold(connection.unsent_bytes)
        self._request_bytes = len(self.call.request.body)
        self.upstream.request_bytes += self._request_bytes
        self.sent_ms = self.parts.clock.now_ms()
        self.upstream.record_send(self.call.prompt_tokens, self.sent_ms)

    def _reason_not_to_send(self) -> NotSent | None:
        """Return what was learned while the connection was opened."""
        directory = self.parts.directory
        record = self.upstream.record
        if self.upstream.is_leaving:
            return NotSent('the upstream is leaving')
        listed = directory.get(record.instance)
        if listed is not None and listed.record.build != record.build:
            return NotSent('the upstream has another build now')
        held_bytes = self.upstream.request_bytes
        request_bytes = len(self.call.request.body)
        if (
            held_bytes
            and held_bytes + request_bytes > UPSTREAM_REQUEST_BYTES_MAX
        ):
            return _FULL
        if not directory.admit(self.upstream):
            return _HELD
        self._is_admitted = self.parts.rollouts.admit(
            self._build, is_bound=self._is_bound
        )
        return None if self._is_admitted else _NO_PLACE

    def _read_notices(self, head: AnswerHead) -> None:
        if self.lacks_signature(head):
            return
        upstream = self.upstream
        self.parts.leaving.read(upstream, head.headers, 'request', head.status)
        self.parts.limits.read(upstream, head.headers, 'request', self.sent_ms)

    def _is_upstream_lost(self, error: ConnectFailedError) -> bool:
        """Return whether a failed connection shows that the upstream is lost.

        If no upstream was heard in the second half of the time to connect, the
        own path may have stalled.
        """
        if self.parts.liveness.is_own_path_doubted:
            return False
        if not isinstance(error.__cause__, TimeoutError):
            return True
        silent_ms = self.parts.clock.now_ms() - self.parts.directory.heard_ms
        return silent_ms < CONNECT_TIMEOUT_MS / 2


class BufferedResponse:
    """Response that is buffered until it is complete."""

    def __init__(self, attempt: Attempt) -> None:
        self._attempt = attempt
        self._head: AnswerHead | None = None
        self._body = bytearray()

    async def read(self, timeout_ms: float) -> AttemptOutcome:
        """Return the response, or the outcome if incomplete after the timeout.

        After `OutOfTime`, another call goes on reading.
        """
        outcome = await self._read(timeout_ms)
        is_answered = isinstance(outcome, Answered)
        if is_answered and not await self._attempt.has_ended_whole(self._head):
            return Broken('the response ended with its upstream')
        return outcome

    def add(self, received: AnswerItem | None) -> AttemptOutcome | None:
        """Add an item; return the outcome if no more items are needed."""
        match received:
            case AnswerHead():
                return self._add_head(received)
            case AnswerPart(part):
                return self._add_body_part(part)
            case AnswerEnd():
                return self._complete()
            case AnswerLost(reason):
                return Broken(reason)
            case _:
                return OutOfTime()

    async def _read(self, timeout_ms: float) -> AttemptOutcome:
        clock = self._attempt.parts.clock
        end_ms = clock.now_ms() + timeout_ms
        outcome: AttemptOutcome | None = None
        while outcome is None:
            remaining_ms = end_ms - clock.now_ms()
            # Bytes without end would else be read beyond the timeout.
            if remaining_ms <= 0 and self._attempt.is_receiving:
                return OutOfTime()
            outcome = self.add(await self._attempt.receive(remaining_ms))
            if outcome is None:
                await self._wait_for_room(end_ms)
        return outcome

    async def _wait_for_room(self, end_ms: float) -> None:
        """Leave the rest at the upstream while too much is held in all."""
        clock = self._attempt.parts.clock
        exchange = self._attempt.call.exchange
        while not exchange.has_room and clock.now_ms() < end_ms:
            await clock.sleep_ms(ROOM_CHECK_MS)

    def _add_head(self, head: AnswerHead) -> AttemptOutcome | None:
        self._head = head
        if self._attempt.lacks_signature(head):
            return Broken('a success without signature')
        encoding = self._attempt.unwanted_encoding(head)
        return Broken(_UNWANTED.format(encoding)) if encoding else None

    def _add_body_part(self, part: bytes) -> AttemptOutcome | None:
        self._body += part
        self._attempt.call.exchange.hold(len(part))
        if len(self._body) > BUFFERED_RESPONSE_BYTES_MAX:
            return Broken(
                f'more than {BUFFERED_RESPONSE_BYTES_MAX} bytes',
            )
        return None

    def _complete(self) -> AttemptOutcome:
        if self._head is None:
            return Broken('an end without a head')
        not_run = self._attempt.not_run_outcome(self._head)
        return not_run or Answered(
            self._head, bytes(self._body), self._attempt.pause_ms
        )
