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
    open_sending,
    reserve,
    settle,
)

Transition = tuple[Progress, tuple[Action, ...]]


def confirm_pending(progress: Progress, revision: int) -> Stored:
    """Return the pending row with the revision it has in the table."""
    if progress.pending is None:
        raise AssertionError('a write was answered but no row is pending')
    return Stored(progress.pending, revision)


def reserve_row(
    progress: Progress, stored: Stored | None, now_ms: int
) -> Transition:
    """Reserve a call that has no row, or whose row may be taken over."""
    row = stored.row if stored else None
    pending = reserve(row, progress.claim, now_ms)
    reserving = replace(
        progress,
        phase=Phase.RESERVING,
        last_stored=stored,
        pending=pending,
    )
    return reserving, (Write(pending, stored.revision if stored else 0),)


def choose_agent(progress: Progress, stored: Stored) -> Transition:
    """Choose an agent for a call whose row is reserved."""
    choosing = replace(progress, phase=Phase.CHOOSING, last_stored=stored)
    return choosing, (Choose(),)


def handle_row(progress: Progress, found: Found, now_ms: int) -> Transition:
    """Handle a row that was read and that another request may hold."""
    stored = found.stored
    if stored is None:
        return reserve_row(progress, None, now_ms)
    if stored.row.fingerprint != progress.claim.fingerprint:
        return give_answer(progress, Verdict.KEY_REUSED, stored.row.state)
    if is_pending(progress, stored):
        return choose_agent(progress, stored)
    seen = replace(progress, last_stored=stored)
    match stored.row.state:
        case Reserved() if not found.is_lease_expired:
            return replace(seen, phase=Phase.POLLING), (Poll(),)
        case Reserved() | Refused():
            return reserve_row(seen, stored, now_ms)
    return _handle_sent_row(seen, stored, found.is_lease_expired)


def _handle_sent_row(
    progress: Progress, stored: Stored, is_lease_expired: bool
) -> Transition:
    row_state = stored.row.state
    match row_state:
        case Dispatched() if not is_lease_expired:
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


def dispatch_row(
    progress: Progress, sending: Sending, now_ms: int
) -> Transition:
    """Write the reserved row as dispatched."""
    last_stored = progress.last_stored
    if last_stored is None:
        raise AssertionError('a call is dispatched without a reserved row')
    pending = dispatch(last_stored.row, progress.claim, sending, now_ms)
    dispatching = replace(
        progress,
        phase=Phase.DISPATCHING,
        pending=pending,
    )
    return dispatching, (Write(pending, last_stored.revision),)


def verify_dispatched(
    progress: Progress, found: Found, now_ms: int
) -> Transition:
    """Send the call only if the row read was dispatched by this request.

    The write is repeated if the row is unchanged. Otherwise the row is handled
    as one that another request may hold.
    """
    stored = found.stored
    last_stored = progress.last_stored
    if stored is not None and is_pending(progress, stored):
        return send_call(progress, stored)
    if last_stored is None or progress.pending is None or stored != last_stored:
        return handle_row(replace(progress, pending=None), found, now_ms)
    dispatching = replace(progress, phase=Phase.DISPATCHING)
    return dispatching, (Write(progress.pending, last_stored.revision),)


def send_call(progress: Progress, stored: Stored) -> Transition:
    """Send the call of a row that is dispatched by this request."""
    sending = open_sending(stored.row)
    if sending is None:
        raise AssertionError('a call is sent without its dispatched row')
    waiting = replace(progress, phase=Phase.WAITING, last_stored=stored)
    return waiting, (Send(sending, stored.row.fence),)


def finish(
    progress: Progress,
    verdict: Verdict,
    target_state: State,
    now_ms: int,
) -> Transition:
    """Move the row to `target_state`, and answer the caller if not yet done."""
    settling, actions = settle_row(
        replace(progress, target_state=target_state, answered=True),
        progress.last_stored,
        now_ms,
    )
    if progress.answered:
        return settling, actions
    return settling, (Answer(verdict, target_state), *actions)


def record_unknown(progress: Progress, reason: str, now_ms: int) -> Transition:
    """Answer that the outcome is unknown, and record it in the row."""
    last_stored = progress.last_stored
    sending = open_sending(last_stored.row) if last_stored else None
    if sending is None:
        return give_answer(progress, Verdict.UNKNOWN, None)
    return finish(
        progress,
        Verdict.UNKNOWN,
        Unknown(sending, reason),
        now_ms,
    )


def handle_agent_reply(
    progress: Progress, event: Event, now_ms: int
) -> Transition:
    """Handle an agent's reply about another request's sending."""
    last_stored = progress.last_stored
    sending = open_sending(last_stored.row) if last_stored else None
    if last_stored is None or sending is None:
        raise AssertionError('an outcome arrived for a row without a sending')
    match event:
        case Replied(done=done):
            return finish(progress, Verdict.RAN, done, now_ms)
        case NeverSent(reason=reason):
            refused = Refused(sending.owner, reason)
            cleared = settle(
                last_stored.row, refused, progress.claim.owner, now_ms
            )
            if cleared is not None:
                clearing = replace(progress, phase=Phase.CLEARING)
                return clearing, (Write(cleared, last_stored.revision),)
    return record_unknown(progress, 'no outcome from the agent', now_ms)


def settle_row(
    progress: Progress, stored: Stored | None, now_ms: int
) -> Transition:
    """Write the row in the state `target_state`, if that is still allowed."""
    target_state = progress.target_state
    row = None
    if stored is not None and target_state is not None:
        row = settle(stored.row, target_state, progress.claim.owner, now_ms)
    if stored is None or row is None:
        return park_or_end(progress, stored), ()
    settling = replace(
        progress,
        phase=Phase.SETTLING,
        last_stored=stored,
        pending=row,
    )
    return settling, (Write(row, stored.revision),)


def park_or_end(progress: Progress, stored: Stored | None) -> Progress:
    """Wait for a late answer if the outcome is unknown, otherwise end."""
    is_open = isinstance(progress.target_state, Unknown)
    phase = Phase.PARKED if is_open else Phase.ENDED
    return replace(progress, phase=phase, last_stored=stored)


def release(progress: Progress, reason: str, now_ms: int) -> Transition:
    """Write the row as refused; once confirmed, refuse the request."""
    last_stored = progress.last_stored
    refused = Refused(progress.claim.owner, reason)
    row = (
        settle(last_stored.row, refused, refused.owner, now_ms)
        if last_stored
        else None
    )
    if last_stored is None or row is None:
        raise AssertionError(
            'a row is released that this request does not hold'
        )
    return write_release(
        replace(progress, target_state=refused, pending=row), last_stored
    )


def write_release(progress: Progress, stored: Stored) -> Transition:
    """Write the pending refused row over the one that this request holds."""
    if progress.pending is None:
        raise AssertionError('a row is released but no row is pending')
    releasing = replace(progress, phase=Phase.RELEASING)
    return releasing, (Write(progress.pending, stored.revision),)


def give_up(
    progress: Progress, may_have_lost_lease: bool, now_ms: int
) -> Transition:
    """Answer at once with the verdict that is certain in the current phase.

    Only end in phases that come after the answer.
    """
    match progress.phase:
        case Phase.CHOOSING | Phase.DISPATCHING | Phase.VERIFYING:
            return _withdraw(progress, may_have_lost_lease)
        case Phase.RELEASING | Phase.CONFIRMING:
            return _withdraw(progress, may_have_lost_lease)
        case Phase.WAITING:
            return record_unknown(progress, 'no answer in time', now_ms)
        case Phase.ASKING:
            return give_answer(progress, Verdict.UNKNOWN, None)
        case Phase.POLLING:
            return give_answer(progress, Verdict.IN_PROGRESS, None)
        case Phase.RESERVING | Phase.LOOKING | Phase.CLEARING:
            return give_answer(progress, _verdict_without_row(progress), None)
    return replace(progress, phase=Phase.ENDED), ()


def _withdraw(progress: Progress, may_have_lost_lease: bool) -> Transition:
    """Answer at once, and refuse the row once the table answers again.

    No other request moves the row before the lease expires, so until then
    the call certainly did not run; later, another request may have run it.
    """
    verdict = Verdict.UNCERTAIN if may_have_lost_lease else Verdict.NOT_RUN
    refused = Refused(progress.claim.owner, 'withdrawn before sending')
    checking = replace(
        progress,
        phase=Phase.CHECKING,
        target_state=refused,
        answered=True,
    )
    return checking, (Answer(verdict, refused), Read())


def _verdict_without_row(progress: Progress) -> Verdict:
    if progress.claim.first_send and progress.last_stored is None:
        return Verdict.NOT_RUN
    return Verdict.UNCERTAIN


def give_answer(
    progress: Progress,
    verdict: Verdict,
    row_state: State | None,
) -> Transition:
    """Give the final answer, unless it was given before, and end."""
    ended = replace(progress, phase=Phase.ENDED, answered=True)
    if progress.answered:
        return ended, ()
    return ended, (Answer(verdict, row_state),)
