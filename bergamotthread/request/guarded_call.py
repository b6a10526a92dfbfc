"""One request for a call that may run at most once.

Carries out the actions that `bergamotthread.request.call_protocol` requests
and passes the resulting events to it.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.errors import (
    BergamotError,
    Step,
    StoreUnavailableError,
)
from bergamotthread.process.calls.call_limits import CallLimits
from bergamotthread.request.call_actions import (
    Action,
    Answer,
    Ask,
    Choose,
    Poll,
    Read,
    Send,
    Verdict,
    Write,
)
from bergamotthread.request.call_agents import CallAgents
from bergamotthread.request.call_events import Event, GaveUp
from bergamotthread.request.call_progress import Phase, Progress
from bergamotthread.request.call_protocol import advance, begin
from bergamotthread.request.call_refusals import (
    refuse_call,
    refuse_verdict,
)
from bergamotthread.request.call_request import CallAnswer, CallRequest
from bergamotthread.request.call_row import (
    Claim,
    Dispatched,
    Done,
    Refused,
    Reserved,
    result_name,
)
from bergamotthread.request.call_store import CallStore
from bergamotthread.request.refusal import Ran, ReasonCode

MAX_OFFER_AGE_MS = 2000
_MS_PER_S = 1000


@dataclass
class GuardedCall:
    """Drives one request from its first write to its row's final state.

    Parameters
    ----------
    request, claim
        The request, and its claim on the key.
    store, agents
        Access to the row, and messages to agents.
    clock, limits
        Source of time and limits.
    answer
        The caller's final answer, or a `RefusedError`. It may be set long
        before `run` ends, which also settles the row and awaits late answers.
    """

    request: CallRequest
    claim: Claim
    store: CallStore
    agents: CallAgents
    clock: Clock
    limits: CallLimits
    answer: asyncio.Future[CallAnswer] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future(),
    )
    _refusal_cause: tuple[ReasonCode, str] = (
        ReasonCode.DEADLINE,
        'the time for an answer is over',
    )

    def __post_init__(self) -> None:
        self._started_ms = self.clock.now_ms()
        self._lease_start_ms = self._started_ms
        self._deadline_ms = self._started_ms + self.request.remaining_ms
        self._offer_task: asyncio.Task[Event] | None = None

    async def run(self) -> None:
        """Run the protocol to its end."""
        try:
            await self._run()
            self._refuse_unanswered()
        except BergamotError as error:
            self._fail(error)
        finally:
            self._close()

    def _close(self) -> None:
        self.agents.close()
        self.store.bodies.release()
        if self._offer_task is not None:
            self._offer_task.cancel()

    async def _run(self) -> None:
        progress, actions = begin(self.claim, self.clock.calendar_ms())
        self._offer_task = asyncio.ensure_future(self.agents.choose())
        while not self._may_row_be_deleted():
            event = await self._carry_out(progress, actions)
            if event is None:
                return
            progress, actions = advance(
                progress,
                event,
                self.clock.calendar_ms(),
            )

    def _may_row_be_deleted(self) -> bool:
        """Return whether a long pause may have led to the row's deletion."""
        age_ms = self.clock.now_ms() - self._started_ms
        return age_ms > self.claim.lifetime_ms / 2

    async def _carry_out(
        self,
        progress: Progress,
        actions: tuple[Action, ...],
    ) -> Event | None:
        event: Event | None = None
        for action in actions:
            if isinstance(action, Answer):
                await self._answer(action)
            else:
                event = await self._execute_until_deadline(action)
        if event is None and progress.phase is Phase.PARKED:
            return await self.agents.wait_late_reply(
                self.limits.late_answer_timeout_ms
            )
        return event

    async def _execute_until_deadline(self, action: Action) -> Event:
        remaining_ms = self._deadline_ms - self.clock.now_ms()
        try:
            async with asyncio.timeout(max(0, remaining_ms) / _MS_PER_S):
                return await self._execute(action, remaining_ms)
        except TimeoutError:
            return GaveUp(self._may_have_lost_lease())
        except StoreUnavailableError as error:
            self._refusal_cause = (ReasonCode.STORE_UNAVAILABLE, error.message)
            return GaveUp(self._may_have_lost_lease())

    def _may_have_lost_lease(self) -> bool:
        """Return whether others may hold the row.

        Half of the lease is left for clock skew.
        """
        held_ms = self.clock.now_ms() - self._lease_start_ms
        return held_ms > self.claim.lease_ms / 2

    async def _execute(self, action: Action, remaining_ms: float) -> Event:
        match action:
            case Write():
                return await self._write(action)
            case Read():
                return await self.store.read()
            case Poll():
                return await self.store.poll()
            case Choose():
                return await self._choose()
            case Send():
                return await self.agents.send(action, remaining_ms)
            case Ask():
                return await self.agents.ask(action)
        raise AssertionError(f'{action!r} is not an action of a request')

    async def _write(self, action: Write) -> Event:
        if isinstance(action.row.state, Reserved | Dispatched):
            self._lease_start_ms = self.clock.now_ms()
        return await self.store.write(action)

    async def _choose(self) -> Event:
        offer = self._take_offer()
        try:
            event = await offer
        finally:
            offer.cancel()
        reasons = '; '.join(self.agents.declined)
        self._refusal_cause = (
            ReasonCode.NO_UPSTREAM,
            reasons or 'no agent is known',
        )
        return event

    def _take_offer(self) -> asyncio.Task[Event]:
        """Return the offer made at the start, or a new one if it is old."""
        offer = self._offer_task
        self._offer_task = None
        age_ms = self.clock.now_ms() - self._started_ms
        if offer is not None and age_ms <= MAX_OFFER_AGE_MS:
            return offer
        if offer is not None:
            offer.cancel()
        return asyncio.ensure_future(self.agents.choose())

    async def _answer(self, answer: Answer) -> None:
        self._deadline_ms = self.clock.now_ms() + self.limits.settle_timeout_ms
        self.store.set_max_failure(self.limits.settle_timeout_ms)
        if self.answer.done():
            return
        if answer.verdict is Verdict.RAN and isinstance(answer.state, Done):
            await self._answer_done(answer.state)
            return
        if isinstance(answer.state, Refused) and answer.state.reason:
            reason, detail = self._refusal_cause
            self._refusal_cause = (reason, f'{answer.state.reason}; {detail}')
        refused = refuse_verdict(self.request, answer, self._refusal_cause)
        self.answer.set_exception(refused)

    async def _answer_done(self, done: Done) -> None:
        try:
            body = await self.store.read_body(done)
        except StoreUnavailableError as error:
            self._refuse(ReasonCode.STORE_UNAVAILABLE, error.message)
            return
        if body is None:
            self._refuse(
                ReasonCode.OUTPUT_LOST,
                'the call ran; its answer was too large to be kept',
            )
            return
        if done.omitted:
            self.store.bodies.remove(result_name(done.sending))
        self.answer.set_result(
            CallAnswer(
                done.status,
                done.headers,
                body,
                replayed=done.sending.owner != self.claim.owner,
                key_lifetime_ms=self.claim.lifetime_ms,
            ),
        )

    def _refuse(self, reason: ReasonCode, detail: str) -> None:
        refused = refuse_call(
            self.request,
            reason,
            detail,
            step=Step.RECORD,
            ran=Ran.MAYBE,
        )
        self.answer.set_exception(refused)

    def _refuse_unanswered(self) -> None:
        """Refuse a request whose protocol ended before it had an answer.

        Its row may be deleted, so whether the call ran can't be known.
        """
        if not self.answer.done():
            self._refuse(
                ReasonCode.OUTCOME_UNKNOWN,
                f'the request took longer than half of the '
                f'{self.claim.lifetime_ms} ms for which its key is remembered',
            )

    def _fail(self, error: BergamotError) -> None:
        if not self.answer.done():
            self._refuse(ReasonCode.INTERNAL, str(error))
