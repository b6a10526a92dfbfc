"""Execution of calls at the plain service next to an agent.

Only the executor sends calls to its upstream. It sends a guarded call only
with a ticket that this process issued, and at most once per ticket.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from bergamotthread.clock import Clock
from bergamotthread.connection.service_client import (
    ServiceClient,
    ServiceLostError,
    ServiceRequest,
    ServiceUnreachableError,
)
from bergamotthread.connection.transport import Transport
from bergamotthread.process.calls.ticket_book import TicketBook
from bergamotthread.wire.messages import (
    FENCING_TOKEN_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    CallDispatch,
    CallOffer,
    CallOfferReply,
    CallReply,
    CallStatus,
    Envelope,
    Revoke,
    Revoked,
)

DRAINING = 'draining'
BUSY = 'busy'
OTHER_PROCESS = 'ticket of another process'
CLOSED_TICKET = 'ticket closed'
OLD_FENCE = 'old fencing token'

_CallId = tuple[str, int]


@dataclass(frozen=True)
class ExecutorLimits:
    """Limits of an executor.

    Parameters
    ----------
    concurrent_max
        Maximum number of calls in flight; further ones are declined.
    ticket_lifetime_ms
        Time after which an unused ticket is closed.
    answer_timeout_ms
        Timeout for the upstream's answer to a guarded call. It also applies
        after the caller has disconnected.
    replies_max, reply_bytes_max
        Maximum number and total bytes of replies kept. A revocation of a call
        that was sent is answered with them.
    fences_max
        Number of keys whose highest fencing token is kept.
    retry_after_ms
        Time after which a declined call may be retried.
    """

    concurrent_max: int = 256
    ticket_lifetime_ms: float = 15_000
    answer_timeout_ms: float = 300_000
    replies_max: int = 1000
    reply_bytes_max: int = 16_777_216
    fences_max: int = 10_000
    retry_after_ms: int = 500


class ReplyCache:
    """Most recent replies by call, limited in number and total bytes."""

    def __init__(self, replies: int, reply_bytes: int) -> None:
        self._replies = replies
        self._reply_bytes = reply_bytes
        self._held_bytes = 0
        self._by_call: OrderedDict[_CallId, CallReply] = OrderedDict()

    def add(self, reply: CallReply) -> None:
        """Add a reply and evict the oldest ones above the limits."""
        self._by_call[(reply.call, reply.attempt)] = reply
        self._held_bytes += len(reply.body)
        while self._exceeds_limits():
            _, evicted = self._by_call.popitem(last=False)
            self._held_bytes -= len(evicted.body)

    def get(self, call: str, ticket: int) -> CallReply | None:
        """Return the reply to a call, None if it is not held."""
        return self._by_call.get((call, ticket))

    def _exceeds_limits(self) -> bool:
        too_many = len(self._by_call) > self._replies
        return too_many or self._held_bytes > self._reply_bytes


class CallExecutor:
    """Handles offers, dispatches and revocations of calls.

    Parameters
    ----------
    transport
        Transport of the agent. Its incarnation distinguishes this process from
        earlier ones at the same address.
    client
        Client of the plain service.
    clock
        Source of time.
    limits
        Limits of the executor; None for the defaults.
    checks_fencing
        Whether the service itself refuses old fencing tokens. If not, the
        executor refuses them.
    """

    def __init__(
        self,
        transport: Transport,
        client: ServiceClient,
        clock: Clock,
        limits: ExecutorLimits | None = None,
        *,
        checks_fencing: bool = False,
    ) -> None:
        self.limits = limits or ExecutorLimits()
        self.is_draining = False
        self._transport = transport
        self._client = client
        self._clock = clock
        self._checks_fencing = checks_fencing
        self._tickets = TicketBook()
        self._open_tickets: deque[tuple[float, str, int]] = deque()
        self._replies = ReplyCache(
            self.limits.replies_max,
            self.limits.reply_bytes_max,
        )
        self._listeners_by_call: dict[_CallId, list[str]] = {}
        self._fence_by_key: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def running(self) -> int:
        """Number of calls in flight."""
        return len(self._tasks)

    def set_draining(self, draining: bool) -> None:
        """Set whether new calls are declined because the agent drains."""
        self.is_draining = draining

    async def finish(self) -> None:
        """Wait until no call is in flight."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def close(self) -> None:
        """Cancel all calls in flight and close the client."""
        for task in tuple(self._tasks):
            task.cancel()
        await self._client.close()

    def on_message(self, envelope: Envelope) -> bool:
        """Handle a message; return whether it concerns calls."""
        match envelope.message:
            case CallOffer() as offer:
                self._answer_offer(envelope.sender, offer)
            case CallDispatch() as dispatch:
                self._handle_dispatch(envelope.sender, dispatch)
            case Revoke() as revoke:
                self._revoke(envelope.sender, revoke)
            case _:
                return False
        return True

    def _answer_offer(self, sender: str, offer: CallOffer) -> None:
        self._expire_tickets()
        reason = self._decline_reason()
        if reason:
            reply = CallOfferReply(
                offer.call,
                0,
                accepted=False,
                reason=reason,
                retry_after_ms=self.limits.retry_after_ms,
            )
            self._transport.send(sender, reply)
            return
        ticket = self._tickets.issue(offer.call)
        self._open_tickets.append((self._clock.now_ms(), offer.call, ticket))
        accepted = CallOfferReply(offer.call, ticket, accepted=True)
        self._transport.send(sender, accepted)

    def _decline_reason(self) -> str:
        if self.is_draining:
            return DRAINING
        return BUSY if self.running >= self.limits.concurrent_max else ''

    def _expire_tickets(self) -> None:
        oldest_ms = self._clock.now_ms() - self.limits.ticket_lifetime_ms
        while self._open_tickets and self._open_tickets[0][0] < oldest_ms:
            _, call, ticket = self._open_tickets.popleft()
            self._tickets.close(call, ticket)

    def _handle_dispatch(self, sender: str, dispatch: CallDispatch) -> None:
        self._expire_tickets()
        if dispatch.incarnation:
            self._handle_guarded_dispatch(sender, dispatch)
            return
        reason = self._decline_reason()
        if reason:
            self._transport.send(sender, _not_dispatched(dispatch, reason))
            return
        self._start(sender, dispatch)

    def _handle_guarded_dispatch(
        self, sender: str, dispatch: CallDispatch
    ) -> None:
        if dispatch.incarnation != self._transport.incarnation:
            reply = _unknown(dispatch, OTHER_PROCESS)
            self._transport.send(sender, reply)
            return
        reason = self._decline_reason() or self._check_fence(dispatch)
        if reason:
            self._tickets.close(dispatch.call, dispatch.attempt)
        if self._tickets.use(dispatch.call, dispatch.attempt):
            self._start(sender, dispatch)
        elif self._tickets.close(dispatch.call, dispatch.attempt):
            reply = _not_dispatched(dispatch, reason or CLOSED_TICKET)
            self._transport.send(sender, reply)

    def _check_fence(self, dispatch: CallDispatch) -> str:
        if self._checks_fencing:
            return ''
        key = (dispatch.team, dispatch.key)
        if dispatch.fence < self._fence_by_key.get(key, 0):
            return OLD_FENCE
        self._fence_by_key[key] = dispatch.fence
        self._fence_by_key.move_to_end(key)
        if len(self._fence_by_key) > self.limits.fences_max:
            self._fence_by_key.popitem(last=False)
        return ''

    def _revoke(self, sender: str, revoke: Revoke) -> None:
        call_id = (revoke.generation, revoke.attempt)
        is_unsent = self._tickets.close(*call_id)
        reply = self._replies.get(*call_id)
        if not is_unsent and reply is not None:
            self._transport.send(sender, reply)
            return
        listeners = self._listeners_by_call.get(call_id)
        if listeners is not None and sender not in listeners:
            listeners.append(sender)
        self._transport.send(
            sender,
            Revoked(*call_id, dispatched=not is_unsent),
        )

    def _start(self, sender: str, dispatch: CallDispatch) -> None:
        call_id = (dispatch.call, dispatch.attempt)
        self._listeners_by_call[call_id] = [sender]
        self._spawn(self._run(dispatch))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, dispatch: CallDispatch) -> None:
        reply = await self._send(dispatch)
        if dispatch.incarnation:
            self._replies.add(reply)
        call_id = (dispatch.call, dispatch.attempt)
        for listener in self._listeners_by_call.pop(call_id, ()):
            self._transport.send(listener, reply)

    async def _send(self, dispatch: CallDispatch) -> CallReply:
        try:
            answer = await self._client.call(self._service_request(dispatch))
        except ServiceUnreachableError as error:
            self._tickets.close_unsent(dispatch.call, dispatch.attempt)
            return _not_dispatched(dispatch, error.message)
        except ServiceLostError as error:
            return _unknown(dispatch, error.message)
        return CallReply(
            dispatch.call,
            dispatch.attempt,
            CallStatus.DONE,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
        )

    def _service_request(self, dispatch: CallDispatch) -> ServiceRequest:
        added = [(IDEMPOTENCY_KEY_HEADER, dispatch.key)] if dispatch.key else []
        if dispatch.fence:
            added.append((FENCING_TOKEN_HEADER, str(dispatch.fence)))
        replaced_names = {
            IDEMPOTENCY_KEY_HEADER.lower(),
            FENCING_TOKEN_HEADER.lower(),
        }
        forwarded = [
            (name, header_value)
            for name, header_value in dispatch.headers
            if name.lower() not in replaced_names
        ]
        timeout_ms = dispatch.remaining_ms
        if dispatch.incarnation:
            timeout_ms = self.limits.answer_timeout_ms
        return ServiceRequest(
            dispatch.method,
            dispatch.path,
            (*forwarded, *added),
            dispatch.body,
            timeout_ms,
        )


def _not_dispatched(dispatch: CallDispatch, reason: str) -> CallReply:
    return CallReply(
        dispatch.call,
        dispatch.attempt,
        CallStatus.NOT_DISPATCHED,
        reason,
    )


def _unknown(dispatch: CallDispatch, reason: str) -> CallReply:
    return CallReply(
        dispatch.call,
        dispatch.attempt,
        CallStatus.UNKNOWN,
        reason,
    )
