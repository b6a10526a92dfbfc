"""Audit trail of changes, in objects that no two writers can share.

Each writer has an id of its own and numbers its records. A record's digest
covers the record before it, so that an altered, removed or reordered record
shows. Objects are named by hour, writer and the number of their first record.
"""

from __future__ import annotations

import asyncio
import hashlib
import secrets
from collections import deque
from dataclasses import dataclass
from datetime import UTC, datetime

import msgspec
from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.errors import StoreConflictError, StoreUnavailableError
from bergamotthread.process.store.platform import ObjectStore

AUDIT_PREFIX = 'audit/'
FLUSH_INTERVAL_MS = 1000
LOG_INTERVAL_S = 60
MAX_BUFFERED_RECORDS = 1000
MAX_BATCH_RECORDS = 100
LOST_KIND = 'audit_lost'

_HOUR_FORMAT = '%Y-%m-%dT%H'
_MS_PER_S = 1000
_WRITER_ID_BYTES = 8


class AuditRecord(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """One change: what, of which object, by whom and when.

    Parameters
    ----------
    sequence
        Number of the record within its writer's, from 1.
    kind
        What was done, such as `publish`, `drain` or `quarantine`.
    at_ms
        Milliseconds since the Unix epoch by the writer's calendar clock.
    version_before, version_after
        Configuration versions around the change; 0 where there is none.
    digest
        SHA-256 in hex of the digest before and of this record without it.
    """

    writer: str
    sequence: int
    kind: str
    subject: str
    who: str
    at_ms: int
    detail: dict[str, str] = {}
    version_before: int = 0
    version_after: int = 0
    digest: str = ''

    def digest_after(self, previous_digest: str) -> str:
        """Return the digest that this record has after `previous_digest`."""
        bare = msgspec.structs.replace(self, digest='')
        encoded = previous_digest.encode() + msgspec.json.encode(bare)
        return hashlib.sha256(encoded).hexdigest()


@dataclass(frozen=True)
class _Batch:
    name: str
    body: bytes
    count: int


class AuditTrail:
    """Appends records of one writer; the store may be away meanwhile.

    Up to `MAX_BUFFERED_RECORDS` wait for the store. When there is no room the
    newest record is dropped and counted: what came first is kept, since it is
    closest to the cause. The count is recorded once the store is back.
    """

    def __init__(
        self,
        object_store: ObjectStore,
        clock: Clock,
        writer: str,
    ) -> None:
        self._store = object_store
        self._clock = clock
        self._prefix = writer
        self._waiting: deque[AuditRecord] = deque()
        self._sending: _Batch | None = None
        self._unreported = 0
        self._lock = asyncio.Lock()
        self._sequence = 0
        self._digest = ''
        self._writer = _unique_id(writer)
        self.lost = 0

    @property
    def writer(self) -> str:
        """Return the id of this writer, which no other has."""
        return self._writer

    @property
    def buffered(self) -> int:
        """Return how many records wait for the store."""
        return len(self._waiting)

    async def append(
        self,
        kind: str,
        subject: str,
        detail: dict[str, str],
        who: str,
        *,
        version_before: int = 0,
        version_after: int = 0,
    ) -> bool:
        """Take in a record as `record` does."""
        return self.record(
            kind,
            subject,
            detail,
            who,
            version_before=version_before,
            version_after=version_after,
        )

    def record(
        self,
        kind: str,
        subject: str,
        detail: dict[str, str],
        who: str,
        *,
        version_before: int = 0,
        version_after: int = 0,
    ) -> bool:
        """Take in a record; False where it was dropped for lack of room.

        Nothing is awaited: `run` or `flush` writes what was taken in.
        """
        if len(self._waiting) >= MAX_BUFFERED_RECORDS:
            self.lost += 1
            self._unreported += 1
            logging.error('audit record lost: %s %s by %s', kind, subject, who)
            return False
        self._report_lost()
        record = AuditRecord(
            writer=self._writer,
            sequence=0,
            kind=kind,
            subject=subject,
            who=who,
            at_ms=self._clock.calendar_ms(),
            detail=detail,
            version_before=version_before,
            version_after=version_after,
        )
        self._chain(record)
        return True

    async def flush(self) -> None:
        """Write all records that wait.

        Raises
        ------
        StoreUnavailableError
            If the store gave no answer; the records are kept.
        """
        async with self._lock:
            self._report_lost()
            while self._waiting:
                await self._send_batch()

    async def run(self) -> None:
        """Flush at an interval until cancelled."""
        while True:
            try:
                await self.flush()
            except StoreUnavailableError as error:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    'audit trail waits, %d records, %d lost: %s',
                    LOG_INTERVAL_S,
                    len(self._waiting),
                    self.lost,
                    error,
                )
            await self._clock.sleep_ms(FLUSH_INTERVAL_MS)

    async def _send_batch(self) -> None:
        # The same body is sent until the store has it: an answer may be lost.
        batch = self._sending or self._make_batch()
        self._sending = batch
        try:
            await self._store.put(batch.name, batch.body)
        except StoreConflictError:
            self._start_anew()
            return
        self._sending = None
        for _ in range(batch.count):
            self._waiting.popleft()

    def _report_lost(self) -> None:
        has_room = len(self._waiting) < MAX_BUFFERED_RECORDS - 1
        if not (self._unreported and has_room):
            return
        detail = {'count': str(self._unreported)}
        self._unreported = 0
        self._chain(
            AuditRecord(
                writer=self._writer,
                sequence=0,
                kind=LOST_KIND,
                subject=self._writer,
                who=self._writer,
                at_ms=self._clock.calendar_ms(),
                detail=detail,
            ),
        )

    def _chain(self, record: AuditRecord) -> None:
        self._sequence += 1
        numbered = msgspec.structs.replace(
            record,
            writer=self._writer,
            sequence=self._sequence,
        )
        self._digest = numbered.digest_after(self._digest)
        self._waiting.append(
            msgspec.structs.replace(numbered, digest=self._digest),
        )

    def _make_batch(self) -> _Batch:
        count = min(len(self._waiting), MAX_BATCH_RECORDS)
        records = tuple(self._waiting)[:count]
        first = records[0]
        hour = hour_of(first.at_ms)
        name = f'{AUDIT_PREFIX}{hour}/{first.writer}/{first.sequence:010d}'
        return _Batch(name, msgspec.json.encode(records), count)

    def _start_anew(self) -> None:
        """Chain what waits under a new id, as another body has the name."""
        logging.error('audit writer %s exists already', self._writer)
        waiting = tuple(self._waiting)
        self._waiting.clear()
        self._sending = None
        self._writer = _unique_id(self._prefix)
        self._sequence = 0
        self._digest = ''
        for record in waiting:
            self._chain(msgspec.structs.replace(record, digest=''))


def _unique_id(prefix: str) -> str:
    return f'{prefix}-{secrets.token_hex(_WRITER_ID_BYTES)}'


def hour_of(at_ms: int) -> str:
    """Return the hour in UTC by which objects are named."""
    moment = datetime.fromtimestamp(at_ms / _MS_PER_S, tz=UTC)
    return moment.strftime(_HOUR_FORMAT)
