"""Transitions of the call protocol.

Each function takes the progress of a request and returns the next progress
with the actions to carry out. All are pure.
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
    """Return the pending row with the revision it has in the table."""
    if progress.pending is None:
        raise AssertionError('a write was answered but no row is pending')
    return Stored(progress.pending, revision)


def reserve_row(progress: Progress, stored: Stored | None, now_ms: int) -> Next:
    """Reserve a call that has no row, or whose row may be taken over."""
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
    """Choose an agent for a call whose row is reserved."""
    choosing = replace(progress, phase=Phase.CHOOSING, known=stored)
    return choosing, (Choose(),)


def consider(progress: Progress, found: Found, now_ms: int) -> Next:
    """Handle a row that was read and that another request may hold."""
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
    """Return whether a stored row is the one of the last write attempt."""
    pending = progress.pending
    return pending is not None and pending.write_id == stored.row.write_id


def dispatch_row(progress: Progress, sending: Sending, now_ms: int) -> Next:
    """Write the reserved row as dispatched."""
    known = progress.known
    if known is None:
        raise AssertionError('a call is dispatched without a reserved row')
    pending = dispatch(known.row, progress.claim, sending, now_ms)
    dispatching = replace(
        progress,
        phase=Phase.DISPATCHING,
        pending=pending,
    )
    return dispatching, (Write(pending, known.revision),)


def verify(progress: Progress, found: Found, now_ms: int) -> Next:
    """Send the call only if the row read was dispatched by this request."""
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
    """Answer the caller and move the row to the state `goal`."""
    settling, actions = settle_row(
        replace(progress, goal=goal, answered=True),
        progress.known,
        now_ms,
    )
    if progress.answered:
        return settling, actions
    return settling, (Answer(verdict, goal), *actions)


def lose(progress: Progress, reason: str, now_ms: int) -> Next:
    """Answer that the outcome is unknown, and record it in the row."""
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
    """Handle an agent's reply about another request's sending."""
    known = progress.known
    sending = sending_of(known.row) if known else None
    if known is None or sending is None:
        raise AssertionError('an outcome arrived for a row without a sending')
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
    """Write the row in the state `goal`, if that is still allowed."""
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
    """Wait for a late answer if the outcome is unknown, otherwise end."""
    is_open = isinstance(progress.goal, Unknown)
    phase = Phase.PARKED if is_open else Phase.ENDED
    return replace(progress, phase=phase, known=stored)


def release(progress: Progress, reason: str, now_ms: int) -> Next:
    """Write the row as refused; once confirmed, refuse the request."""
    known = progress.known
    goal = Refused(progress.claim.owner, reason)
    row = settle(known.row, goal, goal.owner, now_ms) if known else None
    if known is None or row is None:
        raise AssertionError(
            'a row is released that this request does not hold'
        )
    return write_release(replace(progress, goal=goal, pending=row), known)


def write_release(progress: Progress, stored: Stored) -> Next:
    """Write the pending refused row over the one that this request holds."""
    if progress.pending is None:
        raise AssertionError('a row is released but no row is pending')
    releasing = replace(progress, phase=Phase.RELEASING)
    return releasing, (Write(progress.pending, stored.revision),)


def give_up(progress: Progress, lapsed: bool, now_ms: int) -> Next:
    """Answer at once, with what is certain in the current phase."""
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

    No other request moves the row before the lease expires, so until then
    the call certainly did not run; later, another request may have run it.
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
