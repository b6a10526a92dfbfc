"""Messages between a request and the agents that may run its call."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from msgspec import structs

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.process.calls.call_limits import CallLimits
from bergamotthread.process.calls.call_mailboxes import (
    OFFER_TICKET,
    CallMailboxes,
    Mailbox,
)
from bergamotthread.request.call_actions import Ask, Send
from bergamotthread.request.call_events import (
    AgentChosen,
    Event,
    GaveUp,
    NeverSent,
    NoAgentChosen,
    NoOutcome,
    Replied,
)
from bergamotthread.request.call_request import CallRequest
from bergamotthread.request.call_row import Done, Sending, result_name
from bergamotthread.request.held_bodies import HeldBodies
from bergamotthread.wire.messages import (
    CallDispatch,
    CallOffer,
    CallOfferReply,
    CallReply,
    CallStatus,
    Envelope,
    Revoke,
    Revoked,
)

_MS_PER_S = 1000


@dataclass
class CallAgents:
    """Offers a request's call to agents, sends it and asks for its outcome.

    Parameters
    ----------
    request, owner
        The request and its unique name.
    transport, mailboxes, clock, limits
        Shared by all calls of the entry.
    bodies
        Receives answers that are too large for a row.
    declined
        Reasons of agents that declined the call.
    """

    request: CallRequest
    owner: str
    transport: Transport
    mailboxes: CallMailboxes
    clock: Clock
    limits: CallLimits
    bodies: HeldBodies
    declined: list[str] = field(default_factory=list)
    retry_after_ms: int = 0
    _mailbox_by_sending: dict[Sending, Mailbox] = field(default_factory=dict)

    async def choose(self) -> AgentChosen | NoAgentChosen:
        """Return the first agent that issues a ticket."""
        for agent in self.request.agents:
            chosen = await self._request_ticket(agent)
            if chosen is not None:
                return chosen
        return NoAgentChosen()

    async def send(self, action: Send, remaining_ms: float) -> Event:
        """Send the call once and wait for its outcome.

        If there is no outcome within the service's timeout, or
        `limits.outcome_timeout_ms` before the caller's deadline, the ticket is
        revoked, which also asks the agent for the outcome.
        """
        mailbox = self.open_mailbox(action.sending)
        self.transport.send(action.sending.agent, self._build_dispatch(action))
        wait_ms = min(
            self.request.timeout_ms,
            max(0, remaining_ms - self.limits.outcome_timeout_ms),
        )
        event = await self._wait_outcome(mailbox, action.sending, wait_ms)
        if event is not None:
            return event
        revoke = Revoke(action.sending.owner, action.sending.ticket)
        self.transport.send(action.sending.agent, revoke)
        event = await self._wait_outcome(
            mailbox,
            action.sending,
            min(remaining_ms, self.limits.outcome_timeout_ms),
        )
        return event or GaveUp()

    async def ask(self, action: Ask) -> Event:
        """Ask an agent for the outcome of a call, at most twice."""
        mailbox = self.open_mailbox(action.sending)
        for _ in range(2):
            revoke = Revoke(action.sending.owner, action.sending.ticket)
            self.transport.send(action.sending.agent, revoke)
            event = await self._wait_outcome(
                mailbox,
                action.sending,
                self.limits.outcome_timeout_ms / 2,
            )
            if event is not None:
                return event
        return NoOutcome('no answer from the agent')

    async def wait_late_reply(self, wait_ms: float) -> Event | None:
        """Wait for a late answer to a call whose outcome is unknown.

        Wait up to `wait_ms` for each sending; return None if none is answered.
        """
        for sending, mailbox in self._mailbox_by_sending.items():
            event = await self._wait_outcome(mailbox, sending, wait_ms)
            if isinstance(event, Replied):
                return event
        return None

    def open_mailbox(self, sending: Sending) -> Mailbox:
        """Return the mailbox of a sending, open until `close`."""
        if sending not in self._mailbox_by_sending:
            mailbox = self.mailboxes.open(sending.owner, sending.ticket)
            self._mailbox_by_sending[sending] = mailbox
        return self._mailbox_by_sending[sending]

    def on_agent_lost(self, agent: str) -> None:
        """Report to waiting sendings that their agent's process has ended."""
        for sending, mailbox in self._mailbox_by_sending.items():
            if sending.agent != agent:
                continue
            reply = CallReply(
                sending.owner,
                sending.ticket,
                CallStatus.UNKNOWN,
                'agent lost',
            )
            mailbox.put_nowait(Envelope(agent, sending.incarnation, reply))

    def close(self) -> None:
        """Stop waiting for outcomes."""
        for sending, mailbox in self._mailbox_by_sending.items():
            self.mailboxes.close(sending.owner, sending.ticket, mailbox)
        self._mailbox_by_sending.clear()

    async def _request_ticket(self, agent: str) -> AgentChosen | None:
        with self.mailboxes.opened(self.owner, OFFER_TICKET) as mailbox:
            self.transport.send(agent, CallOffer(self.owner))
            try:
                async with asyncio.timeout(
                    self.limits.offer_timeout_ms / _MS_PER_S
                ):
                    return await self._wait_offer_reply(agent, mailbox)
            except TimeoutError:
                self.declined.append(f'{agent}: no answer')
                return None

    async def _wait_offer_reply(
        self, agent: str, mailbox: Mailbox
    ) -> AgentChosen | None:
        envelope = await mailbox.get()
        while envelope.sender != agent:
            envelope = await mailbox.get()
        match envelope.message:
            case CallOfferReply(accepted=True, ticket=ticket):
                return AgentChosen(
                    Sending(self.owner, agent, envelope.incarnation, ticket),
                )
            case CallOfferReply(reason=reason, retry_after_ms=retry_after_ms):
                self.declined.append(f'{agent}: {reason}')
                self.retry_after_ms = retry_after_ms
        return None

    async def _wait_outcome(
        self,
        mailbox: Mailbox,
        sending: Sending,
        wait_ms: float,
    ) -> Event | None:
        """Return the outcome of a sending, or None if none came in time."""
        try:
            async with asyncio.timeout(wait_ms / _MS_PER_S):
                return await self._next_outcome(mailbox, sending)
        except TimeoutError:
            return None

    async def _next_outcome(self, mailbox: Mailbox, sending: Sending) -> Event:
        while True:
            event = self._to_event(await mailbox.get(), sending)
            if event is not None:
                return event

    def _to_event(self, envelope: Envelope, sending: Sending) -> Event | None:
        if envelope.sender != sending.agent:
            return None
        same_process = envelope.incarnation == sending.incarnation
        match envelope.message:
            case CallReply(outcome=CallStatus.DONE) as reply:
                return Replied(self._build_done(reply, sending))
            case CallReply(outcome=CallStatus.NOT_DISPATCHED, reason=reason):
                return NeverSent(reason) if same_process else None
            case CallReply(reason=reason):
                return NoOutcome(reason)
            case Revoked(dispatched=False) if same_process:
                return NeverSent('revoked before dispatch')
            case Revoked() if not same_process:
                return NoOutcome('agent replaced')
        return None

    def _build_done(self, reply: CallReply, sending: Sending) -> Done:
        done = Done(sending, reply.status, reply.headers)
        return keep_body(done, reply.body, self.limits, self.bodies)

    def _build_dispatch(self, action: Send) -> CallDispatch:
        sending = action.sending
        return CallDispatch(
            sending.owner,
            sending.ticket,
            self.request.method,
            self.request.path,
            self.request.headers,
            self.request.body,
            self.request.timeout_ms,
            fence=action.fence,
            key=self.request.key,
            incarnation=sending.incarnation,
            team=self.request.team,
        )


def keep_body(
    done: Done,
    body: bytes,
    limits: CallLimits,
    bodies: HeldBodies,
) -> Done:
    """Return `done` with its body inline, as an object's name, or omitted.

    A body above `limits.inline_bytes` goes into an object. It is omitted if it
    exceeds `limits.result_bytes` or the budget of `bodies`.
    """
    if len(body) <= limits.inline_bytes:
        return structs.replace(done, body=body)
    name = result_name(done.sending)
    granted = bodies.hold(name, body)
    if len(body) > limits.result_bytes or not granted:
        return structs.replace(done, omitted=True)
    return structs.replace(done, stored_as=name)
