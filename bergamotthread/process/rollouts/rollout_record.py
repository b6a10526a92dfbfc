"""Which of two rows of a roll-out holds, and which may follow which."""

from __future__ import annotations

from dataclasses import replace

from bergamotthread.process.rollouts.order import RolloutState
from bergamotthread.process.rollouts.reports import (
    End,
    Reserve,
    RolloutRecord,
)


def merged_record(known: RolloutRecord, read: RolloutRecord) -> RolloutRecord:
    """Return what is known after a row was read.

    A store that comes back older shows an earlier row: a later order, an end
    that was seen and reserved places are kept, and the row is to be overwritten
    if it differs from what is returned.
    """
    if read.order.number != known.order.number:
        return max(known, read, key=lambda record: record.order.number)
    if known.state.is_end:
        return known
    if read.state.is_end:
        return read
    return replace(read, reserved=max(known.reserved, read.reserved))


def next_record(
    record: RolloutRecord, step: Reserve | End
) -> RolloutRecord | None:
    """Return the row after a step; None if the row doesn't allow the step.

    Raises
    ------
    ValueError
        If a step ends a roll-out as active.
    """
    if record.state.is_end:
        return None
    match step:
        case Reserve(reserved):
            if reserved <= record.reserved:
                return None
            return replace(record, reserved=reserved)
        case End(state, reason):
            if state is RolloutState.ACTIVE:
                raise ValueError(
                    f'end of {record.order.service} is {state.value}; expected'
                    ' completed or rolled_back'
                )
            return replace(record, state=state, reason=reason)
