"""Entry side of calls to plain services."""

from __future__ import annotations

import asyncio
import random

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.errors import Step
from bergamotthread.process.calls.call_limits import CallLimits
from bergamotthread.process.calls.call_mailboxes import CallMailboxes
from bergamotthread.process.overload.retry_credit import RetryCredit
from bergamotthread.process.store.platform import ObjectStore, Table
from bergamotthread.request.call_agents import CallAgents
from bergamotthread.request.call_refusals import refuse_call
from bergamotthread.request.call_request import (
    MAX_KEY_CHARACTERS,
    CallAnswer,
    CallRequest,
)
from bergamotthread.request.call_row import Claim, fingerprint_of, row_key
from bergamotthread.request.call_store import CallStore
from bergamotthread.request.guarded_call import GuardedCall
from bergamotthread.request.held_bodies import ByteBudget, HeldBodies
from bergamotthread.request.plain_call import PlainCall
from bergamotthread.request.refusal import Ran, ReasonCode
from bergamotthread.wire.messages import Envelope


class CallRunner:
    """Runs idempotent calls with retries and all others at most once.

    A call that runs at most once is a guarded call: its state is kept in a
    row of the table.

    Parameters
    ----------
    table, object_store
        Stores for the rows of guarded calls and for their large answers.
    transport
        Transport of the entry.
    clock
        Source of time.
    limits
        Limits of calls; None for the defaults.
    rng
        Source of jitter; None for a new one.
    """

    def __init__(
        self,
        table: Table,
        object_store: ObjectStore,
        transport: Transport,
        clock: Clock,
        *,
        limits: CallLimits | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.limits = limits or CallLimits()
        self._table = table
        self._object_store = object_store
        self._transport = transport
        self._clock = clock
        self._rng = rng or random.Random()
        self._mailboxes = CallMailboxes()
        self._retry_credit = RetryCredit()
        self._sequence = 0
        self._held_bytes = ByteBudget(self.limits.held_bytes)
        self._call_by_task: dict[asyncio.Task[None], GuardedCall] = {}

    @property
    def running(self) -> int:
        """Number of guarded calls in progress, until their rows are settled."""
        return len(self._call_by_task)

    @property
    def unanswered(self) -> int:
        """Number of guarded calls whose callers have no answer yet."""
        calls = self._call_by_task.values()
        return sum(not call.answer.done() for call in calls)

    async def run(self, request: CallRequest) -> CallAnswer:
        """Run a call and return its answer.

        Raises
        ------
        RefusedError
            If there is no answer. Its refusal states whether the call ran.
        """
        self._sequence += 1
        transport = self._transport
        owner = f'{transport.address}/{transport.incarnation}/{self._sequence}'
        if request.idempotent:
            return await self._plain(request, owner).run()
        self._check_admission(request)
        call = self._guarded(request, owner)
        task = asyncio.ensure_future(call.run())
        self._call_by_task[task] = call
        task.add_done_callback(self._call_by_task.pop)
        return await asyncio.shield(call.answer)

    def on_message(self, envelope: Envelope) -> bool:
        """Handle a message; return whether it concerns calls."""
        return self._mailboxes.deliver(envelope)

    def on_agent_lost(self, agent: str) -> None:
        """Stop waiting for guarded calls at an agent whose process ended."""
        for call in self._call_by_task.values():
            call.agents.on_agent_lost(agent)

    async def finish(self) -> None:
        """Wait until no guarded call is in progress."""
        while self._call_by_task:
            await asyncio.wait(self._call_by_task)

    def close(self) -> None:
        """Cancel all guarded calls, as the end of the process does."""
        for task in tuple(self._call_by_task):
            task.cancel()

    def _plain(self, request: CallRequest, owner: str) -> PlainCall:
        return PlainCall(
            request,
            owner,
            self._transport,
            self._mailboxes,
            self._clock,
            self._rng,
            self._retry_credit,
        )

    def _guarded(self, request: CallRequest, owner: str) -> GuardedCall:
        bodies = HeldBodies(self._held_bytes)
        store = CallStore(
            self._table,
            self._object_store,
            self._clock,
            self._rng,
            self.limits,
            row_key(request.service, request.team, request.key),
            bodies,
        )
        agents = CallAgents(
            request,
            owner,
            self._transport,
            self._mailboxes,
            self._clock,
            self.limits,
            bodies,
        )
        claim = self._claim(request, owner)
        return GuardedCall(
            request,
            claim,
            store,
            agents,
            self._clock,
            self.limits,
        )

    def _claim(self, request: CallRequest, owner: str) -> Claim:
        return Claim(
            owner,
            fingerprint_of(request.method, request.path, request.body),
            int(request.timeout_ms) + self.limits.lease_margin_ms,
            request.key_lifetime_ms,
            request.first_send,
        )

    def _check_admission(self, request: CallRequest) -> None:
        if not 1 <= len(request.key) <= MAX_KEY_CHARACTERS:
            raise refuse_call(
                request,
                ReasonCode.BAD_REQUEST,
                f'an Idempotency-Key of 1 to {MAX_KEY_CHARACTERS} characters '
                f'is expected, not one of {len(request.key)}',
                step=Step.CHECK,
                ran=Ran.NOT_RUN,
                retry_after_ms=0,
            )
        if self.running >= self.limits.concurrent_max:
            raise refuse_call(
                request,
                ReasonCode.OVERLOADED,
                f'{self.running} guarded calls are under way',
                step=Step.ADMIT,
                ran=Ran.NOT_RUN if request.first_send else Ran.MAYBE,
            )
