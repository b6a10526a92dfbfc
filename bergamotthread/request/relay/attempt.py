"""One attempt of a relayed call at one upstream."""

from __future__ import annotations

from bergamotthread.connection.http.messages import (
    AnswerEnd,
    AnswerHead,
    AnswerItem,
    AnswerLost,
    AnswerPart,
)
from bergamotthread.connection.http.upstream_connection import (
    UpstreamConnection,
)
from bergamotthread.connection.http.upstream_pool import (
    IDLE_MAX_MS,
    ConnectFailedError,
)
from bergamotthread.process.relay.upstreams import Upstream
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
)
from bergamotthread.request.relay.parts import RelayParts

# Largest answer that is held back until it is whole; an entry has 128 MB.
WHOLE_ANSWER_BYTES_MAX = 8_388_608
# A kept connection may have been lost in silence; a request that runs at most
# once takes one that was in use this lately.
UNREPEATABLE_IDLE_MS = 2500
# Status of an upstream that is not the expected incarnation.
MISDIRECTED = 421
_OK = 200
_FIRST_REDIRECT = 300


class Attempt:
    """Sends a call to one upstream and reads the answer.

    Use it as a context: leaving it gives the connection back, or closes it
    if the answer is not whole, which cancels the run at the upstream.
    """

    def __init__(
        self,
        call: RelayedCall,
        upstream: Upstream,
        parts: RelayParts,
    ) -> None:
        self.call = call
        self.upstream = upstream
        self.parts = parts
        self.sent_ms: float = 0
        self._connection: UpstreamConnection | None = None
        self._is_prefilling = False

    def __enter__(self) -> Attempt:
        upstream = self.upstream
        upstream.in_flight += 1
        upstream.prefill_tokens += self.call.prompt_tokens
        self._is_prefilling = True
        return self

    def __exit__(self, *_: object) -> None:
        self.upstream.in_flight -= 1
        self.end_prefill()
        if self._connection is not None:
            self.parts.pool.release(self._connection)

    @property
    def remaining_ms(self) -> float:
        """Return the time left until the call's deadline."""
        return self.call.deadline_ms - self.parts.clock.now_ms()

    def end_prefill(self) -> None:
        """Note that the prompt has been read."""
        if self._is_prefilling:
            self._is_prefilling = False
            self.upstream.prefill_tokens -= self.call.prompt_tokens

    async def send(self, told: AttemptHeaders) -> NotSent | None:
        """Send the request; return why it was not sent, if so."""
        may_repeat = self.call.route.repeatability.may_repeat
        idle_max_ms = IDLE_MAX_MS if may_repeat else UNREPEATABLE_IDLE_MS
        encoded = encode_attempt(self.call, told, self.parts.dialect)
        try:
            self._connection = await self.parts.pool.acquire(
                self.upstream.address,
                idle_max_ms,
            )
            self._connection.send(encoded, self.call.request_id)
        except ConnectFailedError as error:
            self.parts.directory.record_lost(self.upstream)
            return NotSent(str(error))
        except ConnectionError as error:
            return NotSent(str(error))
        self.sent_ms = self.parts.clock.now_ms()
        self.upstream.sent_since_report += self.call.prompt_tokens
        return None

    async def receive(self, timeout_ms: float) -> AnswerItem | None:
        """Return the next item of the answer, or none in time."""
        if self._connection is None:
            return AnswerLost('nothing was sent')
        arrived = await self._connection.receive(timeout_ms)
        if arrived is not None and not isinstance(arrived, AnswerLost):
            self.parts.directory.record_heard(self.upstream)
        return arrived

    def refusal(self, head: AnswerHead) -> NotRun | None:
        """Return that the upstream did not run the request, if it says so."""
        says_not_run = head.header(self.parts.dialect.not_run) is not None
        if says_not_run or head.status == MISDIRECTED:
            return NotRun(head.status)
        return None

    def lacks_signature(self, head: AnswerHead) -> bool:
        """Return whether a success can't be the upstream's own."""
        is_success = _OK <= head.status < _FIRST_REDIRECT
        signature = head.header(self.parts.dialect.signature)
        return is_success and signature is None


async def read_whole(attempt: Attempt, patience_ms: float) -> AttemptOutcome:
    """Return the whole answer, or why there is none in time."""
    answer = _HeldAnswer(attempt)
    end_ms = attempt.parts.clock.now_ms() + patience_ms
    outcome: AttemptOutcome | None = None
    while outcome is None:
        left_ms = end_ms - attempt.parts.clock.now_ms()
        outcome = answer.take(await attempt.receive(left_ms))
    return outcome


class _HeldAnswer:
    """Answer that is held until it is whole."""

    def __init__(self, attempt: Attempt) -> None:
        self._attempt = attempt
        self._head: AnswerHead | None = None
        self._body = bytearray()

    def take(self, arrived: AnswerItem | None) -> AttemptOutcome | None:
        """Take in an item; return the outcome with the last one."""
        match arrived:
            case AnswerHead():
                return self._take_head(arrived)
            case AnswerPart(part):
                return self._take_part(part)
            case AnswerEnd():
                return self._whole()
            case AnswerLost(reason):
                return Broken(reason)
            case _:
                return OutOfTime()

    def _take_head(self, head: AnswerHead) -> AttemptOutcome | None:
        self._head = head
        if self._attempt.lacks_signature(head):
            return Broken('a success without signature')
        return None

    def _take_part(self, part: bytes) -> AttemptOutcome | None:
        self._body += part
        if len(self._body) > WHOLE_ANSWER_BYTES_MAX:
            return Broken(f'more than {WHOLE_ANSWER_BYTES_MAX} bytes')
        return None

    def _whole(self) -> AttemptOutcome:
        if self._head is None:
            return Broken('an end without a head')
        refusal = self._attempt.refusal(self._head)
        return refusal or Answered(self._head, bytes(self._body))
