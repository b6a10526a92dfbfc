"""Refusals of calls."""

from __future__ import annotations

from bergamotthread.errors import Step
from bergamotthread.request.call_actions import Answer, Verdict
from bergamotthread.request.call_request import CallRequest
from bergamotthread.request.call_row import Resolved
from bergamotthread.request.refusal import (
    Ran,
    ReasonCode,
    Refusal,
    RefusedError,
)

CALL_RETRY_AFTER_MS = 1000


def refuse_call(
    request: CallRequest,
    reason: ReasonCode,
    detail: str,
    *,
    step: Step,
    ran: Ran,
    peer: str = '',
    retry_after_ms: int = CALL_RETRY_AFTER_MS,
) -> RefusedError:
    """Return the error that refuses `request`."""
    return RefusedError(
        Refusal(
            reason=reason,
            detail=detail,
            step=step,
            ran=ran,
            request_id=request.request_id,
            peer=peer,
            config_version=request.config_version,
            decided_by=f'services/{request.service}',
            retry_after_ms=retry_after_ms,
            figures={
                'timeout_ms': request.timeout_ms,
                'key_lifetime_ms': request.key_lifetime_ms,
            },
            team=request.team,
        ),
    )


def refuse_verdict(
    request: CallRequest,
    answer: Answer,
    cause: tuple[ReasonCode, str],
) -> RefusedError:
    """Return the refusal for a verdict other than `Verdict.RAN`.

    Parameters
    ----------
    request
        The refused request.
    answer
        Verdict and the row's state that it is based on.
    cause
        Reason and detail, used where the verdict does not imply them.
    """
    reason, detail = cause
    match answer:
        case Answer(verdict=Verdict.NOT_RUN):
            return refuse_call(
                request,
                reason,
                f'this request did not run and never will: {detail}',
                step=Step.RESERVE,
                ran=Ran.NOT_RUN,
            )
        case Answer(verdict=Verdict.RESOLVED, state=Resolved() as resolved):
            return _refuse_resolved(request, resolved)
        case Answer(verdict=Verdict.UNCERTAIN):
            return refuse_call(
                request,
                reason,
                'this request did not run, but an earlier one with its key '
                f'may have: {detail}; send it again with the same key',
                step=Step.RESERVE,
                ran=Ran.MAYBE,
            )
    return _refuse_used(request, answer.verdict)


def _refuse_used(request: CallRequest, verdict: Verdict) -> RefusedError:
    match verdict:
        case Verdict.KEY_REUSED:
            return refuse_call(
                request,
                ReasonCode.KEY_REUSED,
                f'key {request.key!r} was used for another call; a key '
                'belongs to one method, path and body',
                step=Step.RESERVE,
                ran=Ran.NOT_RUN,
                retry_after_ms=0,
            )
        case Verdict.IN_PROGRESS:
            return refuse_call(
                request,
                ReasonCode.IN_PROGRESS,
                f'another request with key {request.key!r} is running; send '
                'it again with the same key',
                step=Step.RESERVE,
                ran=Ran.MAYBE,
            )
    return refuse_call(
        request,
        ReasonCode.OUTCOME_UNKNOWN,
        f'the call with key {request.key!r} may have run; its outcome is '
        'unknown; send it again with the same key to learn it',
        step=Step.DISPATCH,
        ran=Ran.MAYBE,
    )


def _refuse_resolved(request: CallRequest, resolved: Resolved) -> RefusedError:
    finding = 'ran' if resolved.ran else 'did not run'
    return refuse_call(
        request,
        ReasonCode.OUTCOME_UNKNOWN,
        f'operator {resolved.who} found that the call {finding}: '
        f'{resolved.note}; the key is closed',
        step=Step.RECORD,
        ran=Ran.MAYBE if resolved.ran else Ran.NOT_RUN,
        retry_after_ms=0,
    )
