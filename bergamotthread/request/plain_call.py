"""One request for an idempotent call, which may be sent more than once."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import cycle

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.errors import Step
from bergamotthread.process.calls.call_mailboxes import CallMailboxes, Mailbox
from bergamotthread.process.overload.retry_credit import RetryCredit
from bergamotthread.request.call_refusals import refuse_call
from bergamotthread.request.call_request import CallAnswer, CallRequest
from bergamotthread.request.refusal import Ran, ReasonCode, RefusedError
from bergamotthread.wire.messages import (
    CallDispatch,
    CallReply,
    CallStatus,
)

MAX_ATTEMPTS = 4
CALL_INITIAL_BACKOFF_MS = 25
_MS_PER_S = 1000


@dataclass
class PlainCall:
    """Sends a call to one agent after another until the service answers.

    If an agent certainly did not send the call, the retry is not charged to the
    retry budget, but it counts as an attempt.
    """

    request: CallRequest
    call_id: str
    transport: Transport
    mailboxes: CallMailboxes
    clock: Clock
    rng: random.Random
    retry_budget: RetryCredit

    async def run(self) -> CallAnswer:
        """Return the first answer.

        Raises
        ------
        RefusedError
            If there is no agent, or none returned the service's answer within
            the attempts, the retry budget and the deadline.
        """
        if not self.request.agents:
            raise self._refuse(ReasonCode.NO_UPSTREAM, 'no agent', Ran.NOT_RUN)
        self.retry_budget.earn()
        deadline_ms = self.clock.now_ms() + self.request.remaining_ms
        agents = cycle(self.request.agents)
        ran = Ran.NOT_RUN
        reason = ''
        for attempt in range(1, MAX_ATTEMPTS + 1):
            reply = await self._attempt(attempt, agents, deadline_ms)
            if reply.outcome is CallStatus.DONE:
                return CallAnswer(reply.status, reply.headers, reply.body)
            reason = reply.reason
            if reply.outcome is CallStatus.UNKNOWN:
                ran = Ran.MAYBE
            if self.clock.now_ms() >= deadline_ms:
                raise self._refuse(ReasonCode.DEADLINE, reason, ran)
            if not self._may_retry(reply):
                break
            await self._back_off(attempt)
        raise self._refuse(ReasonCode.RETRIES_EXHAUSTED, reason, ran)

    def _may_retry(self, reply: CallReply) -> bool:
        if reply.outcome is CallStatus.NOT_DISPATCHED:
            return True
        return self.retry_budget.spend()

    async def _attempt(
        self,
        attempt: int,
        agents: Iterator[str],
        deadline_ms: float,
    ) -> CallReply:
        agent = next(agents)
        remaining_ms = max(0, deadline_ms - self.clock.now_ms())
        wait_ms = min(self.request.timeout_ms, remaining_ms)
        with self.mailboxes.opened(self.call_id, attempt) as mailbox:
            self.transport.send(agent, self._build_dispatch(attempt, wait_ms))
            try:
                async with asyncio.timeout(wait_ms / _MS_PER_S):
                    return await _wait_reply(mailbox)
            except TimeoutError:
                return CallReply(
                    self.call_id,
                    attempt,
                    CallStatus.UNKNOWN,
                    f'no answer from {agent} within {wait_ms:.0f} ms',
                )

    def _build_dispatch(self, attempt: int, wait_ms: float) -> CallDispatch:
        return CallDispatch(
            self.call_id,
            attempt,
            self.request.method,
            self.request.path,
            self.request.headers,
            self.request.body,
            wait_ms,
            key=self.request.key,
            team=self.request.team,
        )

    async def _back_off(self, attempt: int) -> None:
        max_pause_ms = CALL_INITIAL_BACKOFF_MS * 2**attempt
        await self.clock.sleep_ms(self.rng.random() * max_pause_ms)

    def _refuse(
        self,
        reason: ReasonCode,
        detail: str,
        ran: Ran,
    ) -> RefusedError:
        return refuse_call(
            self.request,
            reason,
            f'no answer to the call: {detail}',
            step=Step.DISPATCH,
            ran=ran,
        )


async def _wait_reply(mailbox: Mailbox) -> CallReply:
    while True:
        envelope = await mailbox.get()
        if isinstance(envelope.message, CallReply):
            return envelope.message
