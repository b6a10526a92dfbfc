"""Exhaustive search of the protocol of guarded calls.

Fails if a call runs twice, or if a request that ran is answered `ran: no`. Two
requests with one key run at two holders, with one table and one agent that may
be replaced. All orders of these faults are covered: pause, lost answer, delayed
write, expired lease, delayed or lost message, deadline. A crash of a holder is
a pause without end: it keeps no state, and messages that it sent may still
arrive. Holders run `advance` and agents run `TicketBook`, as in production.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, ClassVar, Generic, NamedTuple, TypeVar

import pytest
from msgspec import structs

from bergamotthread.process.calls.ticket_book import TicketBook
from bergamotthread.request.call_actions import (
    Answer,
    Ask,
    Choose,
    Poll,
    Read,
    Send,
    Verdict,
    Write,
)
from bergamotthread.request.call_events import (
    AgentChosen,
    Event,
    Found,
    GaveUp,
    NeverSent,
    NoAgentChosen,
    NoOutcome,
    NotWritten,
    Replied,
    Written,
)
from bergamotthread.request.call_progress import Phase, Progress, Stored
from bergamotthread.request.call_protocol import advance, begin
from bergamotthread.request.call_row import (
    CallRow,
    Claim,
    Dispatched,
    Done,
    Refused,
    Reserved,
    Resolved,
    Sending,
    Unknown,
    open_sending,
    resolve,
)

_Value = TypeVar('_Value')
_Advance = Callable[[Progress, Event, int], Any]
_CLAIMS = (Claim('a', 'same'), Claim('b', 'same'))


class Ref(Generic[_Value]):
    """Reference shared by all equal values, cheap to hash and compare."""

    __slots__ = ('value',)
    by_value: ClassVar[dict[Any, Any]] = {}

    def __init__(self, value: _Value) -> None:
        self.value = value

    @classmethod
    def to(cls, value: _Value) -> Ref[_Value]:
        key = (type(value), value)
        if key not in cls.by_value:
            cls.by_value[key] = cls(value)
        return cls.by_value[key]


class Letter(NamedTuple):
    """Message from a request to an agent: a call, or a query of its outcome."""

    index: int
    sending: Sending
    is_call: bool


class Reply(NamedTuple):
    index: int
    sending: Sending
    event: Event


class Agent(NamedTuple):
    incarnation: int = 1
    issued: int = 0
    tickets: tuple[Any, ...] = ()
    results: frozenset[Sending] = frozenset()


class Holder(NamedTuple):
    """One request; `earlier` are the sendings that began before its answer."""

    progress: Ref[Progress] | None = None
    action: Ref[Any] | None = None
    verdict: Verdict | None = None
    earlier: frozenset[Ref[Sending]] = frozenset()
    ended: bool = False


class World(NamedTuple):
    holders: tuple[Holder, Holder] = (Holder(), Holder())
    stored: Ref[Stored | None] = Ref.to(None)
    writes: frozenset[Ref[Write]] = frozenset()
    agent: Ref[Agent] = Ref.to(Agent())
    mail: frozenset[Ref[Letter]] = frozenset()
    replies: frozenset[Ref[Reply]] = frozenset()
    runs: tuple[Ref[Sending], ...] = ()


@dataclass
class Search:
    """Search of all worlds that are reachable by faults."""

    advance: _Advance = advance
    book: type[TicketBook] = TicketBook
    max_fence: int = 1
    restarts: int = 0
    check: Callable[[World], None] = lambda world: _check(world)
    duplicates: bool = False
    memory: dict[Any, Any] = field(default_factory=dict)

    def run(self) -> set[World]:
        start = World()
        seen = {start}
        frontier = [start]
        while frontier:
            for following in self.successors(frontier.pop()):
                if following not in seen:
                    self.check(following)
                    seen.add(following)
                    frontier.append(following)
        return seen

    def successors(self, world: World) -> Iterator[World]:
        for index, holder in enumerate(world.holders):
            if holder.ended:
                continue
            if holder.progress is None:
                yield self.begin(world, index, holder)
                break
            yield from self.moves(world, index, holder)
        for write in world.writes:
            landed, _ = self.apply(world, write)
            yield landed._replace(writes=landed.writes - {write})
        for letter in world.mail:
            yield self.deliver(world, letter)
            if self.duplicates:
                yield self.deliver(world, letter)._replace(mail=world.mail)
        incarnation = world.agent.value.incarnation
        if incarnation <= self.restarts:
            yield world._replace(agent=Ref.to(Agent(incarnation + 1)))

    def begin(self, world: World, index: int, holder: Holder) -> World:
        return self.enter(world, index, holder, *begin(_CLAIMS[index], 0))

    def moves(
        self, world: World, index: int, holder: Holder
    ) -> Iterator[World]:
        if not holder.progress.value.answered:
            abandoned = self.abandon(world, holder)
            yield self.tell(abandoned, index, GaveUp(may_have_lost_lease=True))
            if _holds(world, index):
                yield self.tell(
                    abandoned, index, GaveUp(may_have_lost_lease=False)
                )
        for changed, event in self.events(world, index, holder):
            yield self.tell(changed, index, event)

    def events(
        self, world: World, index: int, holder: Holder
    ) -> Iterator[tuple[World, Event]]:
        match holder.action and holder.action.value:
            case Write(row=row) if row.fence <= self.max_fence:
                yield self.abandon(world, holder), NotWritten()
                changed, revision = self.apply(world, holder.action)
                if revision:
                    yield changed, Written(revision)
            case Read() | Poll():
                stored = world.stored.value
                for lapsed in _possible_lapses(stored):
                    yield world, Found(stored, lapsed)
            case Choose():
                yield world, NoAgentChosen()
                yield self.choose(world, index)
            case Send(sending=sending) | Ask(sending=sending):
                yield world, NoOutcome()
                yield from _arrived(world, index, sending)
        if holder.progress.value.phase is Phase.PARKED:
            yield from _arrived(world, index, None)

    def choose(self, world: World, index: int) -> tuple[World, Event]:
        agent = world.agent.value
        book = self.open_book(agent)
        owner = _CLAIMS[index].owner
        ticket = book.issue(owner)
        sending = Sending(owner, 'agent', agent.incarnation, ticket)
        return _close_book(world, book), AgentChosen(sending)

    def tell(self, world: World, index: int, event: Event) -> World:
        holder = world.holders[index]
        key = (holder.progress, event)
        if key not in self.memory:
            result = self.advance(holder.progress.value, event, 0)
            self.memory[key] = result
        return self.enter(world, index, holder, *self.memory[key])

    def enter(
        self,
        world: World,
        index: int,
        holder: Holder,
        progress: Progress,
        actions: tuple[Any, ...],
    ) -> World:
        holder = holder._replace(progress=Ref.to(progress), action=None)
        for action in actions:
            if isinstance(action, Answer):
                assert holder.verdict is None, 'answered twice'
                holder = holder._replace(verdict=Verdict.UNKNOWN)
                if action.verdict is Verdict.NOT_RUN:
                    holder = holder._replace(
                        verdict=Verdict.NOT_RUN, earlier=_sendings(world)
                    )
            else:
                holder = holder._replace(action=Ref.to(action))
            if isinstance(action, Send | Ask):
                is_call = isinstance(action, Send)
                letter = Ref.to(Letter(index, action.sending, is_call))
                world = world._replace(mail=world.mail | {letter})
        if progress.phase is Phase.ENDED:
            return _end(world, index, holder)
        return _put(world, index, holder)

    def deliver(self, world: World, letter: Ref[Letter]) -> World:
        world = world._replace(mail=world.mail - {letter})
        index, sending, is_call = letter.value
        agent = world.agent.value
        if sending.incarnation != agent.incarnation:
            return world
        book = self.open_book(agent)
        if is_call and book.use(sending.owner, sending.ticket):
            world = _close_book(world, book, sending)
            world = world._replace(runs=(*world.runs, Ref.to(sending)))
            return _reply(world, index, sending, Replied(Done(sending, 200)))
        never = book.close(sending.owner, sending.ticket)
        world = _close_book(world, book)
        if never:
            return _reply(world, index, sending, NeverSent())
        if sending in agent.results:
            return _reply(world, index, sending, Replied(Done(sending, 200)))
        return world

    def open_book(self, agent: Agent) -> TicketBook:
        book = self.book(issued=agent.issued)
        book.restore(agent.tickets)
        return book

    def abandon(self, world: World, holder: Holder) -> World:
        action = holder.action
        if action is None or not isinstance(action.value, Write):
            return world
        return _prune(world._replace(writes=world.writes | {action}))

    def apply(self, world: World, write: Ref[Write]) -> tuple[World, int]:
        revision = _revision(world)
        if revision != write.value.expected:
            return world, 0
        stored = Ref.to(Stored(write.value.row, revision + 1))
        return _prune(world._replace(stored=stored)), revision + 1


def _check_runs(world: World) -> None:
    assert len(world.runs) <= 1, 'doubled run'


def _check(world: World) -> None:
    _check_runs(world)
    for claim, holder in zip(_CLAIMS, world.holders, strict=True):
        if holder.verdict is Verdict.NOT_RUN:
            owners = {run.value.owner for run in world.runs}
            assert claim.owner not in owners, 'false ran: no'
            assert holder.earlier.isdisjoint(world.runs), (
                'false ran: no of the key'
            )


def _prune(world: World) -> World:
    """Drop writes that can't take effect, since revisions only increase."""
    revision = _revision(world)
    kept = [write for write in world.writes if write.value.expected >= revision]
    return world._replace(writes=frozenset(kept))


def _revision(world: World) -> int:
    return world.stored.value.revision if world.stored.value else 0


def _sendings(world: World) -> frozenset[Ref[Sending]]:
    """Return all sendings that have run or may run."""
    stored = world.stored.value
    sending = open_sending(stored.row) if stored else None
    return frozenset({*world.runs, *((Ref.to(sending),) if sending else ())})


def _holds(world: World, index: int) -> bool:
    """Return whether no other request has taken the row over."""
    stored = world.stored.value
    match stored and stored.row.state:
        case Reserved(owner=owner) | Refused(owner=owner):
            return owner == _CLAIMS[index].owner
        case Dispatched(sending=sending):
            return sending.owner == _CLAIMS[index].owner
    return False


def _possible_lapses(stored: Stored | None) -> tuple[bool, ...]:
    if stored and isinstance(stored.row.state, Reserved | Dispatched):
        return (False, True)
    return (False,)


def _arrived(
    world: World, index: int, sending: Sending | None
) -> Iterator[tuple[World, Event]]:
    for reply in world.replies:
        if reply.value.index != index:
            continue
        late = sending is None and isinstance(reply.value.event, Replied)
        if late or reply.value.sending == sending:
            yield world, reply.value.event


def _close_book(
    world: World, book: TicketBook, sending: Sending | None = None
) -> World:
    agent = world.agent.value
    results = agent.results | ({sending} if sending else set())
    agent = Agent(agent.incarnation, book.issued, book.snapshot(), results)
    return world._replace(agent=Ref.to(agent))


def _reply(world: World, index: int, sending: Sending, event: Event) -> World:
    if world.holders[index].ended:
        return world
    reply = Ref.to(Reply(index, sending, event))
    return world._replace(replies=world.replies | {reply})


def _end(world: World, index: int, holder: Holder) -> World:
    """End a request, and drop state that no longer matters."""
    not_run = holder.verdict is Verdict.NOT_RUN
    ended = Holder(
        verdict=Verdict.NOT_RUN if not_run else None,
        earlier=holder.earlier if not_run else frozenset(),
        ended=True,
    )
    kept = [reply for reply in world.replies if reply.value.index != index]
    return _put(world._replace(replies=frozenset(kept)), index, ended)


def _put(world: World, index: int, holder: Holder) -> World:
    holders = list(world.holders)
    holders[index] = holder
    return world._replace(holders=(holders[0], holders[1]))


def _run_one_request(stored: Stored) -> Stored:
    """Return the row after one more request, whose peers are all gone."""
    claim = Claim('c', 'same')
    progress, actions = begin(claim, 0)
    current: Stored | None = stored
    for _ in range(20):
        event: Event | None = None
        for action in actions:
            match action:
                case Write(row=row, expected=expected):
                    event = NotWritten()
                    if current and current.revision == expected:
                        current = Stored(row, expected + 1)
                        event = Written(current.revision)
                case Read() | Poll():
                    event = Found(current, is_lease_expired=True)
                case Choose():
                    event = AgentChosen(Sending('c', 'agent', 9, 1))
                case Send() | Ask():
                    event = NoOutcome()
        if event is None:
            break
        progress, actions = advance(progress, event, 0)
    return current


@pytest.mark.parametrize(
    ('limits', 'most'),
    [
        ({'restarts': 1}, 100_000),
        ({'duplicates': True}, 100_000),
        ({'max_fence': 2}, 300_000),
    ],
)
def test_no_order_of_faults_breaks_the_protocol(
    limits: dict[str, Any], most: int
) -> None:
    worlds = Search(**limits).run()
    print(f'{limits}: {len(worlds)} states')
    assert 1000 < len(worlds) < most
    phases = {
        holder.progress.value.phase
        for world in worlds
        for holder in world.holders
        if holder.progress
    }
    assert phases == set(Phase) - {Phase.ENDED}
    rows = {world.stored for world in worlds} - {Ref.to(None)}
    assert {type(row.value.row.state) for row in rows} == {
        Reserved,
        Dispatched,
        Done,
        Unknown,
        Refused,
    }
    for row in rows:
        left = _run_one_request(row.value).row
        assert isinstance(left.state, Done | Unknown)
        if isinstance(left.state, Unknown):
            assert resolve(left, Resolved(True, 'operator'), 0) is not None


def _trusts_lost_answer(progress: Progress, event: Event, now_ms: int) -> Any:
    if progress.phase is Phase.DISPATCHING and event == NotWritten():
        event = Written(progress.last_stored.revision + 1)
    return advance(progress, event, now_ms)


def _reclaims_dispatched(progress: Progress, event: Event, now_ms: int) -> Any:
    match event:
        case Found(
            stored=Stored(row=CallRow(state=Dispatched())),
            is_lease_expired=True,
        ):
            if progress.phase is Phase.LOOKING:
                refused = structs.replace(event.stored.row, state=Refused('x'))
                stored = Stored(refused, event.stored.revision)
                event = Found(stored, is_lease_expired=True)
    return advance(progress, event, now_ms)


def _denies_unanswered(progress: Progress, event: Event, now_ms: int) -> Any:
    following, actions = advance(progress, event, now_ms)
    return following, tuple(
        Answer(Verdict.NOT_RUN)
        if isinstance(action, Answer) and action.verdict is Verdict.UNKNOWN
        else action
        for action in actions
    )


def _denies_unread(progress: Progress, event: Event, now_ms: int) -> Any:
    following, actions = advance(progress, event, now_ms)
    return following, tuple(
        Answer(Verdict.NOT_RUN)
        if action == Answer(Verdict.UNCERTAIN)
        else action
        for action in actions
    )


class _ForgetsUse(TicketBook):
    def close(self, call: str, ticket: int) -> bool:
        super().close(call, ticket)
        return True


class _ReopensTicket(TicketBook):
    def use(self, call: str, ticket: int) -> bool:
        super().use(call, ticket)
        return True


@pytest.mark.parametrize(
    ('mutant', 'fault'),
    [
        ({'advance': _trusts_lost_answer, 'check': _check_runs}, 'doubled'),
        ({'advance': _reclaims_dispatched, 'check': _check_runs}, 'doubled'),
        ({'advance': _denies_unanswered}, 'false ran: no'),
        ({'advance': _denies_unread}, 'false ran: no of the key'),
        ({'book': _ForgetsUse, 'check': _check_runs}, 'doubled'),
        ({'book': _ReopensTicket, 'check': _check_runs}, 'doubled'),
    ],
)
def test_search_detects_a_missing_guard(
    mutant: dict[str, Any], fault: str
) -> None:
    with pytest.raises(AssertionError, match=fault):
        Search(max_fence=2, **mutant).run()
