"""Refusal of a generation whose content is quarantined."""

from __future__ import annotations

from bergamotthread.errors import Step
from bergamotthread.process.poison.limits import (
    CORRELATION_WINDOW_MS,
    COUNTED_DEATHS_MAX,
)
from bergamotthread.process.poison.verdicts import Quarantined
from bergamotthread.request.refusal import Ran, ReasonCode, Refusal


def quarantine_refusal(verdict: Quarantined, *, ran: Ran) -> Refusal:
    """Return the refusal of a quarantined request."""
    return Refusal(
        reason=ReasonCode.QUARANTINED,
        detail=(
            f'{verdict.deaths} upstreams died while they ran a request of this'
            ' content; it is not sent to another one'
        ),
        step=Step.ADMIT,
        ran=ran,
        decided_by='quarantine',
        retry_after_ms=int(verdict.remaining_ms),
        figures={
            'deaths': verdict.deaths,
            'counted_deaths_max': COUNTED_DEATHS_MAX,
            'correlation_ms': CORRELATION_WINDOW_MS,
        },
    )
