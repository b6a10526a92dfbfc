"""Protocol that one request follows to run a call at most once.

`advance` takes the progress of a request and an event, and returns the next
progress and the actions to carry out. It is pure: `GuardedCall` drives it with
a table and messages, and the exhaustive search in the tests drives it with
every order of faults. At most one action other than `Answer` is in progress at
a time.
"""

from __future__ import annotations

from dataclasses import replace

from bergamotthread.request.call_actions import (
    Read,
    Verdict,
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
from bergamotthread.request.call_moves import (
    Transition,
    choose_agent,
    confirm_pending,
    dispatch_row,
    finish,
    give_answer,
    give_up,
    handle_agent_reply,
    handle_row,
    is_pending,
    park_or_end,
    record_unknown,
    release,
    reserve_row,
    send_call,
    settle_row,
    verify_dispatched,
    write_release,
)
from bergamotthread.request.call_progress import Phase, Progress
from bergamotthread.request.call_row import (
    Claim,
)


def begin(claim: Claim, now_ms: int) -> Transition:
    """Return the initial progress of a request and its first write."""
    return reserve_row(Progress(claim, Phase.RESERVING), None, now_ms)


def advance(progress: Progress, event: Event, now_ms: int) -> Transition:
    """Return the next progress and actions after an event.

    Parameters
    ----------
    progress
        Progress of the request.
    event
        Event that occurred; ignored if the current phase does not expect it.
    now_ms
        Calendar time for the rows to be written.
    """
    if progress.phase is Phase.ENDED:
        return progress, ()
    if isinstance(event, GaveUp):
        return give_up(progress, event.may_have_lost_lease, now_ms)
    match progress.phase:
        case Phase.RESERVING | Phase.LOOKING | Phase.POLLING | Phase.CHOOSING:
            return _advance_reserving(progress, event, now_ms)
        case Phase.DISPATCHING | Phase.VERIFYING | Phase.WAITING:
            return _advance_sending(progress, event, now_ms)
        case Phase.RELEASING | Phase.CONFIRMING:
            return _advance_releasing(progress, event, now_ms)
    return _advance_settling(progress, event, now_ms)


def _advance_reserving(
    progress: Progress, event: Event, now_ms: int
) -> Transition:
    match (progress.phase, event):
        case (Phase.RESERVING, Written(revision=revision)):
            return choose_agent(progress, confirm_pending(progress, revision))
        case (Phase.RESERVING, NotWritten()):
            return replace(progress, phase=Phase.LOOKING), (Read(),)
        case (Phase.LOOKING | Phase.POLLING, Found()):
            return handle_row(progress, event, now_ms)
        case (Phase.CHOOSING, AgentChosen(sending=sending)):
            return dispatch_row(progress, sending, now_ms)
        case (Phase.CHOOSING, NoAgentChosen()):
            return release(progress, 'no agent takes the call', now_ms)
    return progress, ()


def _advance_sending(
    progress: Progress, event: Event, now_ms: int
) -> Transition:
    match (progress.phase, event):
        case (Phase.DISPATCHING, Written(revision=revision)):
            return send_call(progress, confirm_pending(progress, revision))
        case (Phase.DISPATCHING, NotWritten()):
            return replace(progress, phase=Phase.VERIFYING), (Read(),)
        case (Phase.VERIFYING, Found()):
            return verify_dispatched(progress, event, now_ms)
        case (Phase.WAITING, Replied(done=done)):
            return finish(progress, Verdict.RAN, done, now_ms)
        case (Phase.WAITING, NeverSent(reason=reason)):
            return release(progress, reason, now_ms)
        case (Phase.WAITING, NoOutcome(reason=reason)):
            return record_unknown(progress, reason, now_ms)
    return progress, ()


def _advance_releasing(
    progress: Progress, event: Event, now_ms: int
) -> Transition:
    match (progress.phase, event):
        case (Phase.RELEASING, Written()):
            return give_answer(progress, Verdict.NOT_RUN, progress.target_state)
        case (Phase.RELEASING, NotWritten()):
            return replace(progress, phase=Phase.CONFIRMING), (Read(),)
        case (Phase.CONFIRMING, Found(stored=stored)):
            if stored is not None and is_pending(progress, stored):
                return give_answer(
                    progress, Verdict.NOT_RUN, progress.target_state
                )
            if stored is not None and stored == progress.last_stored:
                return write_release(progress, stored)
            released = replace(progress, pending=None, target_state=None)
            return handle_row(released, event, now_ms)
    return progress, ()


def _advance_settling(
    progress: Progress, event: Event, now_ms: int
) -> Transition:
    match (progress.phase, event):
        case (Phase.CLEARING, Written() | NotWritten()):
            return replace(progress, phase=Phase.LOOKING), (Read(),)
        case (Phase.SETTLING, Written(revision=revision)):
            return park_or_end(
                progress, confirm_pending(progress, revision)
            ), ()
        case (Phase.SETTLING, NotWritten()):
            return replace(progress, phase=Phase.CHECKING), (Read(),)
        case (Phase.CHECKING, Found(stored=stored)):
            return settle_row(progress, stored, now_ms)
        case (Phase.PARKED, Replied(done=done)):
            return finish(progress, Verdict.RAN, done, now_ms)
        case (Phase.ASKING, Replied() | NeverSent() | NoOutcome()):
            return handle_agent_reply(progress, event, now_ms)
    return progress, ()
