"""Operations for operators on calls whose outcome is unknown."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from urllib.parse import unquote

from bergamotthread.clock import Clock
from bergamotthread.errors import (
    BergamotError,
    Step,
    StoreConflictError,
    StoreUnavailableError,
)
from bergamotthread.process.store.platform import Row, Table
from bergamotthread.request.call_row import (
    CALL_PREFIX,
    UNKNOWN_PREFIX,
    CallRow,
    Done,
    Refused,
    Resolved,
    Unknown,
    decode_row,
    encode_row,
    resolve,
    row_key,
    unknown_key,
)

RESOLVE_KIND = 'resolve_call'
WRITE_ATTEMPTS_MAX = 5


class ResolutionAuditSink(Protocol):
    """Receiver of records for the audit trail."""

    async def append(
        self,
        kind: str,
        subject: str,
        detail: dict[str, str],
        who: str,
    ) -> bool:
        """Queue a record; return False if it was dropped."""

    async def flush(self) -> None:
        """Wait until all queued records are stored."""


class ResolveError(BergamotError):
    """The call cannot be resolved."""


@dataclass(frozen=True)
class CallName:
    """Name of a call: service, team and idempotency key."""

    service: str
    team: str
    key: str

    @classmethod
    def from_row_key(cls, key: str) -> CallName:
        """Parse the name from the key of a row."""
        _, _, *parts = key.split('/')
        service, team, idempotency_key = [unquote(part) for part in parts]
        return cls(service, team, idempotency_key)

    @property
    def row_key(self) -> str:
        """Key of the row in the table."""
        return row_key(self.service, self.team, self.key)

    def __str__(self) -> str:
        return f'{self.service}/{self.team}/{self.key}'


@dataclass(frozen=True)
class CallRecord:
    """Call with the row and revision that the table holds."""

    name: CallName
    row: CallRow
    revision: int

    @classmethod
    def from_row(cls, row: Row) -> CallRecord:
        """Decode a row of the table."""
        name = CallName.from_row_key(row.key)
        return cls(name, decode_row(row.body), row.revision)


@dataclass(frozen=True)
class Resolution:
    """Outcome of a call as an operator determined it.

    `who` is the operator, `note` the evidence.
    """

    ran: bool
    who: str
    note: str


def state_name(row: CallRow) -> str:
    """Return the lower-case name of a row's state."""
    return type(row.state).__name__.lower()


async def list_unknown(table: Table, *, limit: int) -> tuple[CallRecord, ...]:
    """Return the calls with an unknown outcome, from up to `limit` index rows.

    Index rows of calls that are settled or no longer exist are deleted.
    """
    records: list[CallRecord] = []
    for index in await table.scan(UNKNOWN_PREFIX, limit=limit):
        key = CALL_PREFIX + index.key.removeprefix(UNKNOWN_PREFIX)
        row = await table.read(key)
        record = CallRecord.from_row(row) if row else None
        if record is not None and isinstance(record.row.state, Unknown):
            records.append(record)
        elif record is None or _is_settled(record):
            await _delete_if_unchanged(table, index)
    return tuple(records)


async def show_call(table: Table, name: CallName) -> CallRecord | None:
    """Return a call, None if the table has no row for its name."""
    row = await table.read(name.row_key)
    return CallRecord.from_row(row) if row else None


async def resolve_call(
    table: Table,
    audit: ResolutionAuditSink,
    clock: Clock,
    name: CallName,
    resolution: Resolution,
) -> CallRecord:
    """Resolve an unknown call with the outcome that an operator determined.

    From then on no request with its key runs the call. The audit record is
    stored first, so that every resolution has one; a record may therefore exist
    for a resolution that failed.

    Raises
    ------
    ResolveError
        If the call does not exist, its outcome is not unknown, or the audit
        trail is full.
    StoreUnavailableError
        If it is not certain whether the row was written.
    """
    record = await _read_existing(table, name)
    resolved = Resolved(resolution.ran, resolution.who, resolution.note)
    row = _resolved_row(record, resolved, clock)
    detail = {'ran': str(resolved.ran).lower(), 'note': resolved.note}
    is_queued = await audit.append(
        RESOLVE_KIND, str(name), detail, resolved.who
    )
    await audit.flush()
    if not is_queued:
        raise ResolveError(
            'the audit trail is full; nothing was resolved',
            step=Step.RECORD,
        )
    for _ in range(WRITE_ATTEMPTS_MAX):
        if await _write(table, name, row, record.revision):
            await _delete_index(table, name)
            return CallRecord(name, row, record.revision + 1)
        record = await _read_existing(table, name)
        if record.row == row:
            return record
        row = _resolved_row(record, resolved, clock)
    raise StoreUnavailableError(
        f'the store did not confirm that {name} is resolved; show the call'
        ' before retrying',
        step=Step.RECORD,
    )


def _is_settled(record: CallRecord) -> bool:
    return isinstance(record.row.state, Done | Refused | Resolved)


async def _read_existing(table: Table, name: CallName) -> CallRecord:
    record = await show_call(table, name)
    if record is None:
        raise ResolveError(f'{name} is not known', step=Step.RECORD)
    return record


def _resolved_row(
    record: CallRecord,
    resolved: Resolved,
    clock: Clock,
) -> CallRow:
    row = resolve(record.row, resolved, clock.calendar_ms())
    if row is None:
        raise ResolveError(
            f'{record.name} is {state_name(record.row)}; only unknown calls '
            'can be resolved',
            step=Step.RECORD,
        )
    return row


async def _write(
    table: Table,
    name: CallName,
    row: CallRow,
    revision: int,
) -> bool:
    try:
        await table.write(name.row_key, encode_row(row), expected=revision)
    except (StoreConflictError, StoreUnavailableError):
        return False
    return True


async def _delete_index(table: Table, name: CallName) -> None:
    index = await table.read(unknown_key(name.row_key))
    if index is not None:
        await _delete_if_unchanged(table, index)


async def _delete_if_unchanged(table: Table, row: Row) -> None:
    try:
        await table.delete(row.key, expected=row.revision)
    except (StoreConflictError, StoreUnavailableError):
        return
