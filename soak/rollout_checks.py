"""Checks of roll-outs: one end, the bound on exposure, the time limit."""

from __future__ import annotations

from collections.abc import Iterable

from soak.deployment import EXPOSURE_SHARE, EXPOSURE_SLACK
from soak.findings import BUSY_MS, SETTLE_MS, Finding
from soak.plan import FaultKind
from soak.records import Kind, Records, Rollout

COMPLETED = 'completed'
ROLLED_BACK = 'rolled_back'
# Kinds of request for the service of the soak's roll-outs.
_KINDS = frozenset((Kind.ONCE, Kind.LOOKUP))


def check_rollouts(records: Records) -> Iterable[Finding]:
    """Find roll-outs with several ends, too much exposure or none in time."""
    for rollout in records.rollouts:
        yield from _check_ends(records, rollout)
        yield from _check_exposure(records, rollout)
        yield from _check_duty(records, rollout)


def _check_ends(records: Records, rollout: Rollout) -> Iterable[Finding]:
    """Find ends that are taken back; a store that returns shows old rows."""
    ends = {state for state, _ in rollout.states} - {'active'}
    if len(ends) > 1:
        yield Finding('rollouts', f'{rollout.target} has the ends {ends}')
    has_returned = any(
        fault.kind == FaultKind.RESTORE_STORE for fault in records.played_faults
    )
    states = [state for state, _ in rollout.states]
    if not has_returned and 'active' in states[1:]:
        yield Finding('rollouts', f'{rollout.target} has states {states}')


def _check_exposure(records: Records, rollout: Rollout) -> Iterable[Finding]:
    """Find bad targets that get more than their bound."""
    if not rollout.is_bad:
        return
    limit_ms = rollout.ordered_ms + rollout.duration_ms
    runs = [
        run
        for run in records.runs
        if run.runner in rollout.runners and run.at_ms <= limit_ms
    ]
    requests = sum(
        call.kind in _KINDS and rollout.ordered_ms <= call.sent_ms <= limit_ms
        for call in records.calls
    )
    allowed = EXPOSURE_SHARE * requests + EXPOSURE_SLACK
    if len(runs) > allowed:
        detail = (
            f'{rollout.target} got {len(runs)} requests of {requests}, '
            f'allowed {allowed:.0f}'
        )
        yield Finding('exposure', detail, runs[-1].request)


def _check_duty(records: Records, rollout: Rollout) -> Iterable[Finding]:
    """Find undisturbed roll-outs without their end in time."""
    limit_ms = rollout.ordered_ms + rollout.duration_ms + BUSY_MS
    if not records.is_undisturbed(rollout.ordered_ms - SETTLE_MS, limit_ms):
        return
    end = ROLLED_BACK if rollout.is_bad else COMPLETED
    if not any(
        state == end and at_ms <= limit_ms for state, at_ms in rollout.states
    ):
        detail = f'{rollout.target} is not {end}: {rollout.states}'
        yield Finding('rollouts', detail)
