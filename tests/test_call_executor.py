"""Executor of calls: each ticket permits at most one sending."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from bergamotthread.clock import Clock
from bergamotthread.process.calls.call_executor import (
    CallExecutor,
    ExecutorLimits,
    ReplyCache,
)
from bergamotthread.process.calls.ticket_book import TicketBook
from bergamotthread.testing.memory_network import MemoryNetwork
from bergamotthread.testing.memory_service import MemoryService
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.wire.messages import (
    CallDispatch,
    CallOffer,
    CallOfferReply,
    CallReply,
    CallStatus,
    Cancel,
    Envelope,
    Message,
    Revoke,
    Revoked,
)


class _Bench:
    """Executor under test and an entry that records received messages."""

    def __init__(self, **limits: Any) -> None:
        self.clock = Clock.from_loop(asyncio.get_running_loop())
        network = MemoryNetwork(delay_ms=1)
        self.service = MemoryService(self.clock, delay_ms=50)
        agent = network.transport('agent', 7)
        self.executor = CallExecutor(
            agent, self.service, self.clock, ExecutorLimits(**limits)
        )
        agent.start(lambda envelope: self._handle(envelope))
        self._entry = network.transport('entry')
        self._entry.start(lambda envelope: self.received.put_nowait(envelope))
        self.received: asyncio.Queue[Envelope] = asyncio.Queue()

    def _handle(self, envelope: Envelope) -> None:
        self.executor.on_message(envelope)

    async def ask(self, message: Message) -> Message:
        self._entry.send('agent', message)
        return (await self.received.get()).message

    async def ticket(self, call: str = 'c') -> int:
        reply = await self.ask(CallOffer(call))
        assert isinstance(reply, CallOfferReply)
        assert reply.accepted
        return reply.ticket

    async def dispatch(self, ticket: int, **changes: Any) -> Message:
        fields = {'call': 'c', 'incarnation': 7, 'fence': 1, 'key': 'k'}
        fields.update(changes)
        return await self.ask(
            CallDispatch(
                attempt=ticket,
                method='POST',
                path='/',
                headers=(('idempotency-key', 'forged'),),
                body=b'',
                remaining_ms=1000,
                **fields,
            )
        )


async def _ticket_permits_one_sending() -> None:
    """A dispatch that arrives twice is sent once."""
    bench = _Bench()
    ticket = await bench.ticket()
    reply = await bench.dispatch(ticket)
    assert (reply.outcome, reply.body) == (CallStatus.DONE, b'k ran 1')
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(bench.dispatch(ticket), 10)
    assert bench.service.runs_by_key == {'k': 1}


async def _nothing_is_sent_without_an_open_ticket() -> None:
    """The ticket is of another process, or was revoked first."""
    bench = _Bench()
    ticket = await bench.ticket()
    other_process = await bench.dispatch(ticket, incarnation=6)
    assert other_process.outcome is CallStatus.UNKNOWN
    assert await bench.ask(Revoke('c', ticket)) == Revoked('c', ticket, False)
    closed = await bench.dispatch(ticket)
    assert closed.outcome is CallStatus.NOT_DISPATCHED
    assert bench.service.runs_by_key == {}


async def _expired_ticket_permits_no_sending() -> None:
    bench = _Bench(ticket_lifetime_ms=100)
    ticket = await bench.ticket()
    await bench.clock.sleep_ms(200)
    reply = await bench.dispatch(ticket)
    assert (reply.outcome, reply.reason) == (
        CallStatus.NOT_DISPATCHED,
        'ticket closed',
    )


async def _revoke_returns_the_outcome() -> None:
    bench = _Bench()
    ticket = await bench.ticket()
    running = asyncio.ensure_future(bench.dispatch(ticket))
    await bench.clock.sleep_ms(10)
    bench._entry.send('agent', Revoke('c', ticket))
    assert await running == Revoked('c', ticket, True)
    first = (await bench.received.get()).message
    assert first.outcome is CallStatus.DONE
    assert await bench.ask(Revoke('c', ticket)) == first
    unknown = await bench.ask(Revoke('d', ticket))
    assert unknown == Revoked('d', ticket, True)


async def _draining_agent_declines_calls() -> None:
    bench = _Bench()
    ticket = await bench.ticket()
    bench.executor.set_draining(True)
    offer = await bench.ask(CallOffer('d'))
    assert (offer.accepted, offer.reason) == (False, 'draining')
    assert offer.retry_after_ms > 0
    reply = await bench.dispatch(ticket)
    assert reply.outcome is CallStatus.NOT_DISPATCHED
    bench.executor.set_draining(False)
    again = await bench.dispatch(ticket)
    assert again.outcome is CallStatus.NOT_DISPATCHED
    assert bench.service.runs_by_key == {}


async def _drain_waits_for_running_calls() -> None:
    bench = _Bench()
    ticket = await bench.ticket()
    running = asyncio.ensure_future(bench.dispatch(ticket))
    await bench.clock.sleep_ms(10)
    bench.executor.set_draining(True)
    assert bench.executor.running == 1
    await bench.executor.finish()
    assert bench.executor.running == 0
    assert (await running).outcome is CallStatus.DONE


async def _busy_agent_declines_offers() -> None:
    bench = _Bench(concurrent_max=1)
    tickets = [await bench.ticket(), await bench.ticket()]
    running = asyncio.ensure_future(bench.dispatch(tickets[0]))
    await bench.clock.sleep_ms(10)
    bench._entry.send('agent', CallOffer('e'))
    declined = await running
    assert (declined.accepted, declined.reason) == (False, 'busy')
    await bench.received.get()


async def _old_fencing_token_is_refused_per_team() -> None:
    bench = _Bench()
    tickets = [await bench.ticket() for _ in range(3)]
    assert (await bench.dispatch(tickets[0], fence=2)).status == 200
    old = await bench.dispatch(tickets[1], fence=1)
    assert (old.outcome, old.reason) == (
        CallStatus.NOT_DISPATCHED,
        'old fencing token',
    )
    other_team = await bench.dispatch(tickets[2], fence=1, team='other')
    assert other_team.status == 200


async def _unreachable_service_counts_as_not_dispatched() -> None:
    """The ticket is closed, so a second dispatch is not sent either."""
    bench = _Bench()
    bench.service.is_down = True
    ticket = await bench.ticket()
    reply = await bench.dispatch(ticket)
    assert reply.outcome is CallStatus.NOT_DISPATCHED
    bench.service.is_down = False
    again = await bench.dispatch(ticket)
    assert again.outcome is CallStatus.NOT_DISPATCHED


async def _other_messages_are_not_handled() -> None:
    bench = _Bench()
    envelope = Envelope('entry', 1, Cancel('g', 1))
    assert not bench.executor.on_message(envelope)


@pytest.mark.parametrize(
    'scenario',
    [
        _ticket_permits_one_sending,
        _nothing_is_sent_without_an_open_ticket,
        _expired_ticket_permits_no_sending,
        _revoke_returns_the_outcome,
        _draining_agent_declines_calls,
        _drain_waits_for_running_calls,
        _busy_agent_declines_offers,
        _old_fencing_token_is_refused_per_team,
        _unreachable_service_counts_as_not_dispatched,
        _other_messages_are_not_handled,
    ],
)
def test_executor(scenario: Callable[[], Awaitable[None]]) -> None:
    run_virtual(scenario())


def test_evicted_ticket_permits_no_sending_and_is_not_reported_unsent() -> None:
    """The call of an evicted ticket may have been sent."""
    book = TicketBook(capacity=2)
    first = book.issue('c')
    book.use('c', first)
    for _ in range(2):
        book.issue('d')
    assert not book.use('c', first)
    assert not book.close('c', first)


def test_reply_cache_stays_within_its_size_limits() -> None:
    cache = ReplyCache(replies=3, reply_bytes=100)
    for ticket in range(5):
        cache.add(CallReply('c', ticket, CallStatus.DONE, body=b'x' * 40))
    held = [ticket for ticket in range(5) if cache.get('c', ticket)]
    assert held == [3, 4]
