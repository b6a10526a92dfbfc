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
_MISDIRECTED = 421
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
        if says_not_run or head.status == _MISDIRECTED:
            return NotRun(head.status)
        return None

    def lacks_signature(self, head: AnswerHead) -> bool:
        """Return whether a success can't be the upstream's own."""
        is_success = _OK <= head.status < _FIRST_REDIRECT
        signature = head.header(self.parts.dialect.signature)
        return is_success and signature is None


async def read_whole(attempt: Attempt, patience_ms: float) -> AttemptOutcome:
    """Return the whole answer, or why there is none in time."""
    head: AnswerHead | None = None
    body = bytearray()
    end_ms = attempt.parts.clock.now_ms() + patience_ms
    while True:
        left_ms = end_ms - attempt.parts.clock.now_ms()
        match await attempt.receive(left_ms):
            case AnswerHead() as arrived:
                head = arrived
                if attempt.lacks_signature(arrived):
                    return Broken('a success without signature')
            case AnswerPart(part):
                body += part
                if len(body) > WHOLE_ANSWER_BYTES_MAX:
                    return Broken(f'more than {WHOLE_ANSWER_BYTES_MAX} bytes')
            case AnswerEnd():
                return _whole(attempt, head, bytes(body))
            case AnswerLost(reason):
                return Broken(reason)
            case _:
                return OutOfTime()


def _whole(
    attempt: Attempt,
    head: AnswerHead | None,
    body: bytes,
) -> AttemptOutcome:
    if head is None:
        return Broken('an end without a head')
    return attempt.refusal(head) or Answered(head, body)
