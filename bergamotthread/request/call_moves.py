"""Moves that the protocol of a call is made of.

Each takes the state of a request and returns the next one with the actions to
carry out; all are pure.
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
    Event,
    Found,
    NeverSent,
    Replied,
)
from bergamotthread.request.call_progress import Phase, Progress, Stored
from bergamotthread.request.call_row import (
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


def confirm_pending(progress: Progress, revision: int) -> Stored:
    """Return the pending row as the table now has it."""
    if progress.pending is None:
        raise AssertionError('a write was answered that was never sent')
    return Stored(progress.pending, revision)


def reserve_row(progress: Progress, stored: Stored | None, now_ms: int) -> Next:
    """Write the row as reserved, after no row or a free one."""
    row = stored.row if stored else None
    pending = reserve(row, progress.claim, now_ms)
    reserving = replace(
        progress,
        phase=Phase.RESERVING,
        known=stored,
        pending=pending,
    )
    return reserving, (Write(pending, stored.revision if stored else 0),)


def choose(progress: Progress, stored: Stored) -> Next:
    """Get a ticket for a row that is reserved."""
    choosing = replace(progress, phase=Phase.CHOOSING, known=stored)
    return choosing, (Choose(),)


def consider(progress: Progress, found: Found, now_ms: int) -> Next:
    """Act on a row that another request may hold."""
    stored = found.stored
    if stored is None:
        return reserve_row(progress, None, now_ms)
    if stored.row.fingerprint != progress.claim.fingerprint:
        return give_answer(progress, Verdict.KEY_REUSED, stored.row.state)
    if is_pending(progress, stored):
        return choose(progress, stored)
    seen = replace(progress, known=stored)
    match stored.row.state:
        case Reserved() if not found.lapsed:
            return replace(seen, phase=Phase.POLLING), (Poll(),)
        case Reserved() | Refused():
            return reserve_row(seen, stored, now_ms)
    return _consider_sent(seen, stored, found.lapsed)


def _consider_sent(progress: Progress, stored: Stored, lapsed: bool) -> Next:
    row_state = stored.row.state
    match row_state:
        case Dispatched() if not lapsed:
            return replace(progress, phase=Phase.POLLING), (Poll(),)
        case Dispatched(sending=sending) | Unknown(sending=sending):
            return replace(progress, phase=Phase.ASKING), (Ask(sending),)
        case Resolved():
            return give_answer(progress, Verdict.RESOLVED, row_state)
    return give_answer(progress, Verdict.RAN, row_state)


def is_pending(progress: Progress, stored: Stored) -> bool:
    """Return whether a row is the one that was last tried to write."""
    pending = progress.pending
    return pending is not None and pending.write_id == stored.row.write_id


def dispatch_row(progress: Progress, sending: Sending, now_ms: int) -> Next:
    """Write the reserved row as dispatched."""
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


def verify(progress: Progress, found: Found, now_ms: int) -> Next:
    """Send only if the row proves to be dispatched by this request."""
    stored = found.stored
    known = progress.known
    if stored is not None and is_pending(progress, stored):
        return send_call(progress, stored)
    if known is None or progress.pending is None or stored != known:
        return consider(replace(progress, pending=None), found, now_ms)
    dispatching = replace(progress, phase=Phase.DISPATCHING)
    return dispatching, (Write(progress.pending, known.revision),)


def send_call(progress: Progress, stored: Stored) -> Next:
    """Send the call of a row that is dispatched by this request."""
    sending = sending_of(stored.row)
    if sending is None:
        raise AssertionError('a call is sent without its dispatched row')
    waiting = replace(progress, phase=Phase.WAITING, known=stored)
    return waiting, (Send(sending, stored.row.fence),)


def finish(
    progress: Progress,
    verdict: Verdict,
    goal: State,
    now_ms: int,
) -> Next:
    """Answer the caller and leave the row in the state `goal`."""
    settling, actions = settle_row(
        replace(progress, goal=goal, answered=True),
        progress.known,
        now_ms,
    )
    if progress.answered:
        return settling, actions
    return settling, (Answer(verdict, goal), *actions)


def lose(progress: Progress, reason: str, now_ms: int) -> Next:
    """Answer that the outcome is unknown, and record that."""
    known = progress.known
    sending = sending_of(known.row) if known else None
    if sending is None:
        return give_answer(progress, Verdict.UNKNOWN, None)
    return finish(
        progress,
        Verdict.UNKNOWN,
        Unknown(sending, reason),
        now_ms,
    )


def recover(progress: Progress, event: Event, now_ms: int) -> Next:
    """Act on what an agent tells of another request's sending."""
    known = progress.known
    sending = sending_of(known.row) if known else None
    if known is None or sending is None:
        raise AssertionError('an outcome is asked of a row that has none')
    match event:
        case Replied(done=done):
            return finish(progress, Verdict.RAN, done, now_ms)
        case NeverSent(reason=reason):
            goal = Refused(sending.owner, reason)
            cleared = settle(known.row, goal, progress.claim.owner, now_ms)
            if cleared is not None:
                clearing = replace(progress, phase=Phase.CLEARING)
                return clearing, (Write(cleared, known.revision),)
    return lose(progress, 'no outcome from the agent', now_ms)


def settle_row(progress: Progress, stored: Stored | None, now_ms: int) -> Next:
    """Move the row to the goal, if it may still be moved there."""
    goal = progress.goal
    row = None
    if stored is not None and goal is not None:
        row = settle(stored.row, goal, progress.claim.owner, now_ms)
    if stored is None or row is None:
        return rest(progress, stored), ()
    settling = replace(
        progress,
        phase=Phase.SETTLING,
        known=stored,
        pending=row,
    )
    return settling, (Write(row, stored.revision),)


def rest(progress: Progress, stored: Stored | None) -> Progress:
    """Wait for a late answer if the outcome is unknown, else end."""
    is_open = isinstance(progress.goal, Unknown)
    phase = Phase.PARKED if is_open else Phase.ENDED
    return replace(progress, phase=phase, known=stored)


def release(progress: Progress, reason: str, now_ms: int) -> Next:
    """Refuse the row, and the request once the table has confirmed that."""
    known = progress.known
    goal = Refused(progress.claim.owner, reason)
    row = settle(known.row, goal, goal.owner, now_ms) if known else None
    if known is None or row is None:
        raise AssertionError('a row is released that is not held')
    return write_release(replace(progress, goal=goal, pending=row), known)


def write_release(progress: Progress, stored: Stored) -> Next:
    """Write the pending refusal over the row that is held."""
    if progress.pending is None:
        raise AssertionError('a row is released without a row to write')
    releasing = replace(progress, phase=Phase.RELEASING)
    return releasing, (Write(progress.pending, stored.revision),)


def give_up(progress: Progress, lapsed: bool, now_ms: int) -> Next:
    """Answer at once, as far as the phase allows it truly."""
    match progress.phase:
        case Phase.CHOOSING | Phase.DISPATCHING | Phase.VERIFYING:
            return _withdraw(progress, lapsed)
        case Phase.RELEASING | Phase.CONFIRMING:
            return _withdraw(progress, lapsed)
        case Phase.WAITING:
            return lose(progress, 'no answer in time', now_ms)
        case Phase.ASKING:
            return give_answer(progress, Verdict.UNKNOWN, None)
        case Phase.POLLING:
            return give_answer(progress, Verdict.IN_PROGRESS, None)
        case Phase.RESERVING | Phase.LOOKING | Phase.CLEARING:
            return give_answer(progress, _verdict_unread(progress), None)
    return replace(progress, phase=Phase.ENDED), ()


def _withdraw(progress: Progress, lapsed: bool) -> Next:
    """Answer at once, and refuse the row once the table answers again.

    No other request moves the row before the lease has passed, so until then
    the key did not run at all; later, another request may have run it.
    """
    verdict = Verdict.UNCERTAIN if lapsed else Verdict.NOT_RUN
    goal = Refused(progress.claim.owner, 'withdrawn before sending')
    checking = replace(
        progress,
        phase=Phase.CHECKING,
        goal=goal,
        answered=True,
    )
    return checking, (Answer(verdict, goal), Read())


def _verdict_unread(progress: Progress) -> Verdict:
    if progress.claim.first_send and progress.known is None:
        return Verdict.NOT_RUN
    return Verdict.UNCERTAIN


def give_answer(
    progress: Progress,
    verdict: Verdict,
    row_state: State | None,
) -> Next:
    """Give the final answer and end."""
    ended = replace(progress, phase=Phase.ENDED, answered=True)
    if progress.answered:
        return ended, ()
    return ended, (Answer(verdict, row_state),)
