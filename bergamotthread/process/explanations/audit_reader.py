"""Reading and verification of the audit trail."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

from bergamotthread.errors import BergamotError, DecodeError, Step
from bergamotthread.process.explanations.audit import (
    AUDIT_PREFIX,
    AuditRecord,
    hour_of,
)
from bergamotthread.process.store.platform import ObjectStore

MAX_OBJECTS_PER_HOUR = 10_000

_decoder = msgspec.json.Decoder(tuple[AuditRecord, ...])


class AuditChainError(BergamotError):
    """Records of one writer are not what it wrote."""


@dataclass(frozen=True)
class AuditFilter:
    """Which records are asked for; an empty field selects all."""

    kind: str = ''
    subject: str = ''
    who: str = ''

    def selects(self, record: AuditRecord) -> bool:
        """Return whether a record is asked for."""
        return (
            self.kind in {'', record.kind}
            and record.subject.startswith(self.subject)
            and self.who in {'', record.who}
        )


async def read_audit(
    object_store: ObjectStore,
    hours: Iterable[str],
) -> tuple[AuditRecord, ...]:
    """Return the records of some hours in the order of their times.

    Parameters
    ----------
    hours
        Hours in UTC, such as `2026-12-03T14`, or days, such as `2026-12-03`.

    Raises
    ------
    DecodeError
        If an object is not a batch of records.
    """
    records: list[AuditRecord] = []
    for hour in hours:
        prefix = f'{AUDIT_PREFIX}{hour}'
        names = await object_store.names(prefix, limit=MAX_OBJECTS_PER_HOUR)
        if len(names) == MAX_OBJECTS_PER_HOUR:
            raise BergamotError(
                f'{hour} holds {MAX_OBJECTS_PER_HOUR} objects or more; '
                'expected a shorter time',
                step=Step.RECORD,
            )
        for name in names:
            records.extend(await _read_batch(object_store, name))
    return tuple(sorted(records, key=_order_of))


def verify_chains(records: Iterable[AuditRecord]) -> tuple[str, ...]:
    """Check the chain of every writer, from its first record given.

    Returns
    -------
    tuple of str
        The writers whose first record is not number 1, so that what came
        before it was not checked.

    Raises
    ------
    ExceptionGroup
        With one `AuditChainError` for each writer whose records are not a
        chain.
    """
    by_writer: dict[str, list[AuditRecord]] = {}
    for record in records:
        by_writer.setdefault(record.writer, []).append(record)
    errors = [
        fault
        for writer, written in sorted(by_writer.items())
        for fault in _find_break(writer, written)
    ]
    if errors:
        raise ExceptionGroup('the audit trail was altered', errors)
    return tuple(
        writer
        for writer, written in sorted(by_writer.items())
        if min(one.sequence for one in written) != 1
    )


def hours_between(first_ms: int, last_ms: int) -> tuple[str, ...]:
    """Return the hours in UTC that hold two moments and all between."""
    ms_per_hour = 3_600_000
    numbers = range(first_ms // ms_per_hour, last_ms // ms_per_hour + 1)
    return tuple(hour_of(number * ms_per_hour) for number in numbers)


def _find_break(
    writer: str,
    written: list[AuditRecord],
) -> Iterator[AuditChainError]:
    ordered = sorted(written, key=_sequence_of)
    first = ordered[0]
    previous_digest = '' if first.sequence == 1 else None
    for expected, record in enumerate(ordered, first.sequence):
        fault = _fault_of(record, expected, previous_digest)
        if fault:
            message = f'{writer}: record {expected} {fault}'
            yield AuditChainError(message, step=Step.RECORD)
            return
        previous_digest = record.digest


def _fault_of(
    record: AuditRecord,
    expected: int,
    previous_digest: str | None,
) -> str:
    if record.sequence > expected:
        return 'is missing'
    if record.sequence < expected:
        return 'stands twice'
    if previous_digest is None:
        return ''
    is_whole = record.digest == record.digest_after(previous_digest)
    return '' if is_whole else 'was altered'


def _sequence_of(record: AuditRecord) -> int:
    return record.sequence


def _order_of(record: AuditRecord) -> tuple[int, str, int]:
    return (record.at_ms, record.writer, record.sequence)


async def _read_batch(
    object_store: ObjectStore,
    name: str,
) -> tuple[AuditRecord, ...]:
    body = await object_store.get(name)
    if body is None:
        return ()
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        message = f'{name} is not a batch of audit records: {error}'
        raise DecodeError(message, step=Step.RECORD) from error
