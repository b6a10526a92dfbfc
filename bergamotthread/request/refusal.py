"""Refusals: answers with a reason to requests that are not served."""

from __future__ import annotations

import enum

import msgspec

from bergamotthread.errors import BergamotError, Step


class Ran(enum.StrEnum):
    """Whether any part of the request may have run."""

    NOT_RUN = 'no'
    MAYBE = 'maybe'


class ReasonCode(enum.StrEnum):
    """Reason of a refusal; the values are a stable interface for callers."""

    BAD_REQUEST = 'bad_request'
    TOO_LARGE = 'too_large'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not_found'
    BAD_CURSOR = 'bad_cursor'
    KEY_REUSED = 'key_reused'
    IN_PROGRESS = 'in_progress'
    OVER_LIMIT = 'over_limit'
    OVERLOADED = 'overloaded'
    NO_UPSTREAM = 'no_upstream'
    NO_CONFIGURATION = 'no_configuration'
    DRAINING = 'draining'
    DEADLINE = 'deadline'
    RETRIES_EXHAUSTED = 'retries_exhausted'
    QUARANTINED = 'quarantined'
    OUTPUT_LOST = 'output_lost'
    STORE_UNAVAILABLE = 'store_unavailable'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    INTERNAL = 'internal'


_STATUS_BY_REASON = {
    ReasonCode.BAD_REQUEST: 400,
    ReasonCode.BAD_CURSOR: 400,
    ReasonCode.UNAUTHENTICATED: 401,
    ReasonCode.FORBIDDEN: 403,
    ReasonCode.NOT_FOUND: 404,
    ReasonCode.IN_PROGRESS: 409,
    ReasonCode.KEY_REUSED: 422,
    ReasonCode.QUARANTINED: 422,
    ReasonCode.TOO_LARGE: 413,
    ReasonCode.OVER_LIMIT: 429,
    ReasonCode.OUTCOME_UNKNOWN: 502,
    ReasonCode.OUTPUT_LOST: 502,
    ReasonCode.RETRIES_EXHAUSTED: 502,
    ReasonCode.DEADLINE: 504,
    ReasonCode.INTERNAL: 500,
}
_DEFAULT_STATUS = 503


class Refusal(msgspec.Struct, frozen=True, omit_defaults=True):
    """Refusal of a request, sent to the caller and shown by `explain`.

    `decided_by` names the configuration object that caused the refusal, such
    as `teams/foundry`; `figures` are the numbers behind the decision, by name
    with unit.
    """

    reason: ReasonCode
    detail: str
    step: Step
    ran: Ran
    request_id: str = ''
    peer: str = ''
    config_version: int = 0
    decided_by: str = ''
    retry_after_ms: int = 0
    figures: dict[str, float] = {}
    team: str = ''

    @property
    def status(self) -> int:
        """Return the HTTP status of the refusal."""
        return _STATUS_BY_REASON.get(self.reason, _DEFAULT_STATUS)


class RefusedError(BergamotError):
    """Error that carries a refusal to the code that answers the caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail, step=refusal.step, peer=refusal.peer)
        self.refusal = refusal


def problem_json(refusal: Refusal) -> bytes:
    """Return the refusal as RFC 9457 problem JSON."""
    fields = msgspec.to_builtins(refusal)
    fields.update(
        type=f'urn:bergamotthread:refusal:{refusal.reason}',
        title=refusal.reason.replace('_', ' '),
        status=refusal.status,
        config_version=refusal.config_version,
        retry_after_ms=refusal.retry_after_ms,
    )
    return msgspec.json.encode(fields)


def not_run(
    reason: ReasonCode,
    detail: str,
    step: Step,
    *,
    config_version: int = 0,
    decided_by: str = '',
) -> RefusedError:
    """Return the error that refuses a request of which nothing has run."""
    return RefusedError(
        Refusal(
            reason=reason,
            detail=detail,
            step=step,
            ran=Ran.NOT_RUN,
            config_version=config_version,
            decided_by=decided_by,
        ),
    )
