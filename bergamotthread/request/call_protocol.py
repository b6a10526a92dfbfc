"""Protocol that one request follows to run a call at most once.

`advance` takes the state of a request and an event and returns the next state
and the actions to carry out. It is pure: the runner drives it with a table and
messages, and the exhaustive search with every order of faults. Exactly one
action other than `Answer` is under way at a time.
"""

from __future__ import annotations

from dataclasses import replace

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
from bergamotthread.request.call_events import (
    Chosen,
    Event,
    Found,
    GaveUp,
    NeverSent,
    NoneChosen,
    NoOutcome,
    NotWritten,
    Replied,
    Written,
)
from bergamotthread.request.call_progress import Phase, Progress, Stored
from bergamotthread.request.call_row import (
    Claim,
    Dispatched,
    Refused,
    Reserved,
    Resolved,
    Sending,
    State,
    Unknown,
    dispatch,
    reserve,
    sending_of,
    settle,
)

Next = tuple[Progress, tuple[Action, ...]]


def begin(claim: Claim, now_ms: int) -> Next:
    """Return the first state of a request and its first write."""
    return _reserve(Progress(claim, Phase.RESERVING), None, now_ms)


def advance(progress: Progress, event: Event, now_ms: int) -> Next:
    """Return what follows from an event.

    Parameters
    ----------
    progress
        State of the request.
    event
        What happened; an event that its phase does not expect is ignored.
    now_ms
        Calendar time for the rows to be written.
    """
    if progress.phase is Phase.ENDED:
        return progress, ()
    if isinstance(event, GaveUp):
        return _give_up(progress, now_ms)
    match progress.phase:
        case Phase.RESERVING | Phase.LOOKING | Phase.POLLING | Phase.CHOOSING:
            return _advance_reserving(progress, event, now_ms)
        case Phase.DISPATCHING | Phase.VERIFYING | Phase.WAITING:
            return _advance_sending(progress, event, now_ms)
    return _advance_settling(progress, event, now_ms)


def _advance_reserving(progress: Progress, event: Event, now_ms: int) -> Next:
    match (progress.phase, event):
        case (Phase.RESERVING, Written(revision=revision)):
            return _choose(progress, _stored_pending(progress, revision))
        case (Phase.RESERVING, NotWritten()):
            return replace(progress, phase=Phase.LOOKING), (Read(),)
        case (Phase.LOOKING | Phase.POLLING, Found()):
            return _consider(progress, event, now_ms)
        case (Phase.CHOOSING, Chosen(sending=sending)):
            return _dispatch(progress, sending, now_ms)
        case (Phase.CHOOSING, NoneChosen()):
            return _give_up(progress, now_ms)
    return progress, ()


def _advance_sending(progress: Progress, event: Event, now_ms: int) -> Next:
    match (progress.phase, event):
        case (Phase.DISPATCHING, Written(revision=revision)):
            return _send(progress, _stored_pending(progress, revision))
        case (Phase.DISPATCHING, NotWritten()):
            return replace(progress, phase=Phase.VERIFYING), (Read(),)
        case (Phase.VERIFYING, Found()):
            return _verify(progress, event, now_ms)
        case (Phase.WAITING, Replied(done=done)):
            return _finish(progress, Verdict.RAN, done, now_ms)
        case (Phase.WAITING, NeverSent(reason=reason)):
            goal = Refused(progress.claim.owner, reason)
            return _finish(progress, Verdict.NOT_RUN, goal, now_ms)
        case (Phase.WAITING, NoOutcome(reason=reason)):
            return _lose(progress, reason, now_ms)
    return progress, ()


def _advance_settling(progress: Progress, event: Event, now_ms: int) -> Next:
    match (progress.phase, event):
        case (Phase.CLEARING, Written() | NotWritten()):
            return replace(progress, phase=Phase.LOOKING), (Read(),)
        case (Phase.SETTLING, Written(revision=revision)):
            return _rest(progress, _stored_pending(progress, revision)), ()
        case (Phase.SETTLING, NotWritten()):
            return replace(progress, phase=Phase.CHECKING), (Read(),)
        case (Phase.CHECKING, Found(stored=stored)):
            return _settle(progress, stored, now_ms)
        case (Phase.PARKED, Replied(done=done)):
            return _finish(progress, Verdict.RAN, done, now_ms)
        case (Phase.ASKING, Replied() | NeverSent() | NoOutcome()):
            return _recover(progress, event, now_ms)
    return progress, ()


def _stored_pending(progress: Progress, revision: int) -> Stored:
    if progress.pending is None:
        raise AssertionError('a write was answered that was never sent')
    return Stored(progress.pending, revision)


def _reserve(progress: Progress, stored: Stored | None, now_ms: int) -> Next:
    row = stored.row if stored else None
    pending = reserve(row, progress.claim, now_ms)
    reserving = replace(
        progress,
        phase=Phase.RESERVING,
        known=stored,
        pending=pending,
    )
    return reserving, (Write(pending, stored.revision if stored else 0),)


def _choose(progress: Progress, stored: Stored) -> Next:
    choosing = replace(
        progress,
        phase=Phase.CHOOSING,
        known=stored,
        unsent=True,
    )
    return choosing, (Choose(),)


def _consider(progress: Progress, found: Found, now_ms: int) -> Next:
    stored = found.stored
    if stored is None:
        return _reserve(replace(progress, unsent=True), None, now_ms)
    if stored.row.fingerprint != progress.claim.fingerprint:
        return _answer(progress, Verdict.KEY_REUSED, stored.row.state)
    if _is_pending(progress, stored):
        return _choose(progress, stored)
    seen = replace(progress, known=stored)
    match stored.row.state:
        case Reserved() if not found.lapsed:
            return replace(seen, phase=Phase.POLLING), (Poll(),)
        case Reserved() | Refused():
            return _reserve(replace(seen, unsent=True), stored, now_ms)
    return _consider_sent(replace(seen, unsent=False), stored, found.lapsed)


def _consider_sent(progress: Progress, stored: Stored, lapsed: bool) -> Next:
    row_state = stored.row.state
    match row_state:
        case Dispatched() if not lapsed:
            return replace(progress, phase=Phase.POLLING), (Poll(),)
        case Dispatched(sending=sending) | Unknown(sending=sending):
            return replace(progress, phase=Phase.ASKING), (Ask(sending),)
        case Resolved():
            return _answer(progress, Verdict.RESOLVED, row_state)
    return _answer(progress, Verdict.RAN, row_state)


def _is_pending(progress: Progress, stored: Stored) -> bool:
    pending = progress.pending
    return pending is not None and pending.write_id == stored.row.write_id


def _dispatch(progress: Progress, sending: Sending, now_ms: int) -> Next:
    known = progress.known
    if known is None:
        raise AssertionError('a call is dispatched without a reservation')
    pending = dispatch(known.row, progress.claim, sending, now_ms)
    dispatching = replace(
        progress,
        phase=Phase.DISPATCHING,
        pending=pending,
    )
    return dispatching, (Write(pending, known.revision),)


def _verify(progress: Progress, found: Found, now_ms: int) -> Next:
    stored = found.stored
    known = progress.known
    if stored is not None and _is_pending(progress, stored):
        return _send(progress, stored)
    if known is None or progress.pending is None or stored != known:
        return _consider(replace(progress, pending=None), found, now_ms)
    dispatching = replace(progress, phase=Phase.DISPATCHING)
    return dispatching, (Write(progress.pending, known.revision),)


def _send(progress: Progress, stored: Stored) -> Next:
    sending = sending_of(stored.row)
    if sending is None:
        raise AssertionError('a call is sent without its dispatched row')
    waiting = replace(progress, phase=Phase.WAITING, known=stored)
    return waiting, (Send(sending, stored.row.fence),)


def _finish(
    progress: Progress,
    verdict: Verdict,
    goal: State,
    now_ms: int,
) -> Next:
    """Answer the caller and leave the row in the state `goal`."""
    settling, actions = _settle(
        replace(progress, goal=goal, answered=True),
        progress.known,
        now_ms,
    )
    if progress.answered:
        return settling, actions
    return settling, (Answer(verdict, goal), *actions)


def _lose(progress: Progress, reason: str, now_ms: int) -> Next:
    known = progress.known
    sending = sending_of(known.row) if known else None
    if sending is None:
        return _answer(progress, Verdict.UNKNOWN, None)
    return _finish(
        progress,
        Verdict.UNKNOWN,
        Unknown(sending, reason),
        now_ms,
    )


def _recover(progress: Progress, event: Event, now_ms: int) -> Next:
    known = progress.known
    sending = sending_of(known.row) if known else None
    if known is None or sending is None:
        raise AssertionError('an outcome is asked of a row that has none')
    match event:
        case Replied(done=done):
            return _finish(progress, Verdict.RAN, done, now_ms)
        case NeverSent(reason=reason):
            goal = Refused(sending.owner, reason)
            cleared = settle(known.row, goal, progress.claim.owner, now_ms)
            if cleared is not None:
                clearing = replace(progress, phase=Phase.CLEARING)
                return clearing, (Write(cleared, known.revision),)
    return _lose(progress, 'no outcome from the agent', now_ms)


def _settle(progress: Progress, stored: Stored | None, now_ms: int) -> Next:
    goal = progress.goal
    row = None
    if stored is not None and goal is not None:
        row = settle(stored.row, goal, progress.claim.owner, now_ms)
    if stored is None or row is None:
        return _rest(progress, stored), ()
    settling = replace(
        progress,
        phase=Phase.SETTLING,
        known=stored,
        pending=row,
    )
    return settling, (Write(row, stored.revision),)


def _rest(progress: Progress, stored: Stored | None) -> Progress:
    is_open = isinstance(progress.goal, Unknown)
    phase = Phase.PARKED if is_open else Phase.ENDED
    return replace(progress, phase=phase, known=stored)


def _give_up(progress: Progress, now_ms: int) -> Next:
    match progress.phase:
        case Phase.CHOOSING:
            goal = Refused(progress.claim.owner, 'given up')
            return _finish(progress, Verdict.NOT_RUN, goal, now_ms)
        case Phase.DISPATCHING | Phase.VERIFYING:
            return _withdraw(progress)
        case Phase.WAITING:
            return _lose(progress, 'no answer in time', now_ms)
        case Phase.ASKING:
            return _answer(progress, Verdict.UNKNOWN, None)
        case Phase.POLLING:
            return _answer(progress, Verdict.IN_PROGRESS, None)
        case Phase.RESERVING | Phase.LOOKING | Phase.CLEARING:
            return _answer(progress, _verdict_unread(progress), None)
    return replace(progress, phase=Phase.ENDED), ()


def _withdraw(progress: Progress) -> Next:
    goal = Refused(progress.claim.owner, 'withdrawn before sending')
    checking = replace(
        progress,
        phase=Phase.CHECKING,
        goal=goal,
        answered=True,
    )
    return checking, (Answer(Verdict.NOT_RUN, goal), Read())


def _verdict_unread(progress: Progress) -> Verdict:
    if progress.unsent:
        return Verdict.NOT_RUN
    if progress.claim.first_send and progress.known is None:
        return Verdict.NOT_RUN
    return Verdict.UNCERTAIN


def _answer(
    progress: Progress,
    verdict: Verdict,
    row_state: State | None,
) -> Next:
    ended = replace(progress, phase=Phase.ENDED, answered=True)
    if progress.answered:
        return ended, ()
    return ended, (Answer(verdict, row_state),)
