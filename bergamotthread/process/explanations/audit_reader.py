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
    """The records of one writer are not those that it wrote."""


@dataclass(frozen=True)
class AuditFilter:
    """Selects records; an empty field matches every record.

    Parameters
    ----------
    kind, who
        Value of the field.
    subject
        Prefix of the field.
    """

    kind: str = ''
    subject: str = ''
    who: str = ''

    def matches(self, record: AuditRecord) -> bool:
        """Return whether a record matches all fields."""
        return (
            self.kind in {'', record.kind}
            and record.subject.startswith(self.subject)
            and self.who in {'', record.who}
        )


async def read_audit(
    object_store: ObjectStore,
    hours: Iterable[str],
) -> tuple[AuditRecord, ...]:
    """Return the records of the given hours, ordered by time.

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
                'expected fewer, choose a shorter time range',
                step=Step.RECORD,
            )
        for name in names:
            records.extend(await _read_batch(object_store, name))
    return tuple(sorted(records, key=_sort_key))


def verify_chains(records: Iterable[AuditRecord]) -> tuple[str, ...]:
    """Check the chain of every writer from its first given record on.

    Returns
    -------
    tuple of str
        The writers whose first given record is not number 1, so that earlier
        records were not checked.

    Raises
    ------
    ExceptionGroup
        With one `AuditChainError` for each writer whose records do not form
        a chain.
    """
    by_writer: dict[str, list[AuditRecord]] = {}
    for record in records:
        by_writer.setdefault(record.writer, []).append(record)
    errors = [
        error
        for writer, written in sorted(by_writer.items())
        for error in _find_break(writer, written)
    ]
    if errors:
        raise ExceptionGroup('the audit trail was altered', errors)
    return tuple(
        writer
        for writer, written in sorted(by_writer.items())
        if min(chained.sequence for chained in written) != 1
    )


def hours_between(first_ms: int, last_ms: int) -> tuple[str, ...]:
    """Return all hours in UTC from the first to the last time, inclusive."""
    ms_per_hour = 3_600_000
    indices = range(first_ms // ms_per_hour, last_ms // ms_per_hour + 1)
    return tuple(hour_of(index * ms_per_hour) for index in indices)


def _find_break(
    writer: str,
    written: list[AuditRecord],
) -> Iterator[AuditChainError]:
    ordered = sorted(written, key=_sequence_of)
    first = ordered[0]
    previous_digest = '' if first.sequence == 1 else None
    for expected, record in enumerate(ordered, first.sequence):
        fault = _find_fault(record, expected, previous_digest)
        if fault:
            message = f'{writer}: record {expected} {fault}'
            yield AuditChainError(message, step=Step.RECORD)
            return
        previous_digest = record.digest


def _find_fault(
    record: AuditRecord,
    expected: int,
    previous_digest: str | None,
) -> str:
    if record.sequence > expected:
        return 'is missing'
    if record.sequence < expected:
        return 'occurs twice'
    if previous_digest is None:
        return ''
    is_unaltered = record.digest == record.digest_after(previous_digest)
    return '' if is_unaltered else 'was altered'


def _sequence_of(record: AuditRecord) -> int:
    return record.sequence


def _sort_key(record: AuditRecord) -> tuple[int, str, int]:
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
