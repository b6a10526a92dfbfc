"""Audit trail of changes, stored in objects that belong to one writer each.

Each writer has a unique id and numbers its records. A record's digest covers
the digest of the previous record, so that altered, removed and reordered
records are detected. Objects are named by hour, writer and the sequence number
of their first record.
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
AUDIT_FLUSH_INTERVAL_MS = 1000
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
    """One change: its kind, the changed object, the author and the time.

    Parameters
    ----------
    sequence
        Number of the record among those of its writer, from 1.
    kind
        Kind of change, such as `publish`, `drain` or `quarantine`.
    at_ms
        Milliseconds since the Unix epoch on the writer's calendar clock.
    version_before, version_after
        Configuration versions before and after the change; 0 if there is none.
    digest
        SHA-256 in hex of the previous record's digest followed by this record
        without its digest.
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
        """Return the digest of this record, chained to `previous_digest`."""
        without_digest = msgspec.structs.replace(self, digest='')
        encoded = previous_digest.encode() + msgspec.json.encode(without_digest)
        return hashlib.sha256(encoded).hexdigest()


@dataclass(frozen=True)
class _Batch:
    name: str
    body: bytes
    count: int


class AuditTrail:
    """Appends records of one writer and buffers them during store outages.

    At most `MAX_BUFFERED_RECORDS` are buffered. While the buffer is full, new
    records are dropped and counted: the earliest records are kept, since they
    are closest to the cause. The count is recorded once the store is available
    again.
    """

    def __init__(
        self,
        object_store: ObjectStore,
        clock: Clock,
        writer: str,
    ) -> None:
        self._store = object_store
        self._clock = clock
        self._writer_prefix = writer
        self._buffer: deque[AuditRecord] = deque()
        self._batch_in_flight: _Batch | None = None
        self._unreported_count = 0
        self._lock = asyncio.Lock()
        self._sequence = 0
        self._digest = ''
        self._writer = _unique_id(writer)
        self.lost = 0

    @property
    def writer(self) -> str:
        """Return the unique id of this writer."""
        return self._writer

    @property
    def buffered_count(self) -> int:
        """Return the number of records that wait for the store."""
        return len(self._buffer)

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
        """Append a record, see `record`."""
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
        """Append a record to the buffer.

        Nothing is awaited: `run` or `flush` writes the buffered records.

        Returns
        -------
        bool
            False if the buffer was full and the record was dropped.
        """
        if len(self._buffer) >= MAX_BUFFERED_RECORDS:
            self.lost += 1
            self._unreported_count += 1
            logging.error(
                'audit buffer full, dropped record: %s %s by %s',
                kind,
                subject,
                who,
            )
            return False
        self._record_lost_count()
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
        """Write all buffered records.

        Raises
        ------
        StoreUnavailableError
            If the store did not answer; the records stay in the buffer.
        """
        async with self._lock:
            self._record_lost_count()
            while self._buffer:
                await self._send_batch()

    async def run(self) -> None:
        """Flush every `AUDIT_FLUSH_INTERVAL_MS` until cancelled."""
        while True:
            try:
                await self.flush()
            except StoreUnavailableError as error:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    'audit store unavailable, %d records buffered, %d lost: %s',
                    LOG_INTERVAL_S,
                    len(self._buffer),
                    self.lost,
                    error,
                )
            await self._clock.sleep_ms(AUDIT_FLUSH_INTERVAL_MS)

    async def _send_batch(self) -> None:
        # The same body is sent until the store confirms it, since the answer to
        # a successful write may be lost.
        batch = self._batch_in_flight or self._make_batch()
        self._batch_in_flight = batch
        try:
            await self._store.put(batch.name, batch.body)
        except StoreConflictError:
            self._use_new_writer_id()
            return
        self._batch_in_flight = None
        for _ in range(batch.count):
            self._buffer.popleft()

    def _record_lost_count(self) -> None:
        has_room = len(self._buffer) < MAX_BUFFERED_RECORDS - 1
        if not (self._unreported_count and has_room):
            return
        detail = {'count': str(self._unreported_count)}
        self._unreported_count = 0
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
        self._buffer.append(
            msgspec.structs.replace(numbered, digest=self._digest),
        )

    def _make_batch(self) -> _Batch:
        count = min(len(self._buffer), MAX_BATCH_RECORDS)
        records = tuple(self._buffer)[:count]
        first = records[0]
        hour = hour_of(first.at_ms)
        name = f'{AUDIT_PREFIX}{hour}/{first.writer}/{first.sequence:010d}'
        return _Batch(name, msgspec.json.encode(records), count)

    def _use_new_writer_id(self) -> None:
        """Chain the buffered records under a new id, as the name is taken."""
        logging.error(
            'audit object name of writer %s is taken; using a new writer id',
            self._writer,
        )
        waiting = tuple(self._buffer)
        self._buffer.clear()
        self._batch_in_flight = None
        self._writer = _unique_id(self._writer_prefix)
        self._sequence = 0
        self._digest = ''
        for record in waiting:
            self._chain(msgspec.structs.replace(record, digest=''))


def _unique_id(prefix: str) -> str:
    return f'{prefix}-{secrets.token_hex(_WRITER_ID_BYTES)}'


def hour_of(at_ms: int) -> str:
    """Return the hour in UTC as used in object names."""
    moment = datetime.fromtimestamp(at_ms / _MS_PER_S, tz=UTC)
    return moment.strftime(_HOUR_FORMAT)
