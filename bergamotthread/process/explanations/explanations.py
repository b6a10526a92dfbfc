"""Records refusals so that they can be explained later.

Refusals are written in batches, at most one object per
`MIN_WRITE_INTERVAL_MS`. A request id contains the writer and the batch, so that
any process finds the refusal with one read. While the store is unavailable, a
limited number of refusals is kept, the oldest ones, and the others are counted
as lost.
"""

from __future__ import annotations

import asyncio
import collections
import random
from dataclasses import dataclass, field

import msgspec
from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.errors import StoreConflictError, StoreUnavailableError
from bergamotthread.process.explanations.explanation_batch import (
    ExplanationBatch,
    RequestId,
    decode_batch,
)
from bergamotthread.process.store.platform import ObjectStore
from bergamotthread.request.refusal import Refusal

BATCH_DELAY_MS = 1000
MIN_WRITE_INTERVAL_MS = 10_000
CATCH_UP_INTERVAL_MS = 500
INITIAL_RETRY_DELAY_MS = 1000
MAX_RETRY_DELAY_MS = 30_000
MAX_DELAY_DOUBLINGS = 8
MAX_BATCH_REFUSALS = 1000
MAX_KEPT_REFUSALS = 10_000
MAX_KEPT_BYTES = 4_194_304


@dataclass
class ExplanationCounters:
    """Counts since the start of the process."""

    recorded: int = 0
    lost: int = 0
    written: int = 0
    batches: int = 0
    failed_writes: int = 0


@dataclass(frozen=True)
class _ClosedBatch:
    """Batch that waits to be written; retries send the same bytes."""

    name: str
    encoded: bytes
    refusals_by_id: dict[str, Refusal]
    size: int


@dataclass
class _OpenBatch:
    """Batch to which refusals are still added."""

    number: int = 0
    next_index: int = 0
    size: int = 0
    refusals_by_id: dict[str, Refusal] = field(default_factory=dict)
    lost_by_reason: dict[str, int] = field(default_factory=dict)


class Explanations:
    """Records refusals and finds them by request id.

    Parameters
    ----------
    store
        Object store; failed writes are retried.
    writer_id
        Unique id of this run of the process, in lower-case letters and digits;
        see `new_writer_id`.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        writer_id: str,
    ) -> None:
        self.counters = ExplanationCounters()
        self._store = store
        self._clock = clock
        self._writer_id = writer_id
        self._random = random.Random(writer_id)
        self._open = _OpenBatch()
        self._waiting: collections.deque[_ClosedBatch] = collections.deque()
        self._wake = asyncio.Event()

    @property
    def kept_count(self) -> int:
        """Return the number of refusals that wait to be written."""
        waiting = sum(len(batch.refusals_by_id) for batch in self._waiting)
        return waiting + len(self._open.refusals_by_id)

    def new_request_id(self) -> str:
        """Return an id for a refusal that will be recorded soon."""
        index = self._open.next_index
        self._open.next_index += 1
        return str(RequestId(self._writer_id, self._open.number, index))

    def record(self, refusal: Refusal) -> Refusal:
        """Record a refusal and return it with the id under which it is found.

        The id is replaced by a new one if it is empty, already used or of a
        closed batch, and by one that ends in ``lost`` if the refusal is not
        kept. Callers must therefore be given the returned id.
        """
        if self._is_full(refusal):
            return self._record_lost(refusal)
        if not self._is_id_usable(refusal.request_id):
            request_id = self.new_request_id()
            refusal = msgspec.structs.replace(refusal, request_id=request_id)
        self._open.refusals_by_id[refusal.request_id] = refusal
        self._open.size += _size(refusal)
        self.counters.recorded += 1
        self._wake.set()
        if len(self._open.refusals_by_id) >= MAX_BATCH_REFUSALS:
            self._close_batch()
        return refusal

    async def find(self, request_id: str, team: str) -> Refusal | None:
        """Return a refusal that belongs to `team`, or None.

        Raises
        ------
        StoreUnavailableError
            If the store did not answer.
        DecodeError
            If the object in the store is damaged.
        """
        refusal = await self.find_for_operator(request_id)
        if refusal is None or not team or refusal.team != team:
            return None
        return refusal

    async def find_for_operator(self, request_id: str) -> Refusal | None:
        """Return a refusal of any team, or None."""
        parsed_id = RequestId.from_text(request_id)
        if parsed_id is None or parsed_id.index is None:
            return None
        refusal = self._find_kept(request_id)
        if refusal is not None:
            return refusal
        encoded = await self._store.get(parsed_id.object_name)
        if encoded is None:
            return None
        batch = decode_batch(encoded, parsed_id.object_name)
        return batch.refusals_by_id.get(request_id)

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            await self._wake.wait()
            await self._clock.sleep_ms(BATCH_DELAY_MS)
            self._wake.clear()
            self._close_batch()
            await self._write_waiting()
            await self._clock.sleep_ms(MIN_WRITE_INTERVAL_MS - BATCH_DELAY_MS)

    async def flush(self) -> None:
        """Write all waiting refusals before the process ends, without retries.

        Raises
        ------
        StoreUnavailableError
            If the store did not answer; unwritten refusals are still kept.
        """
        self._close_batch()
        while self._waiting:
            await self._write(self._waiting[0])

    def _is_full(self, refusal: Refusal) -> bool:
        if self.kept_count >= MAX_KEPT_REFUSALS:
            return True
        kept_bytes = self._open.size + sum(
            batch.size for batch in self._waiting
        )
        return kept_bytes + _size(refusal) > MAX_KEPT_BYTES

    def _is_id_usable(self, request_id: str) -> bool:
        parsed_id = RequestId.from_text(request_id)
        if parsed_id is None or parsed_id.index is None:
            return False
        if request_id in self._open.refusals_by_id:
            return False
        return (parsed_id.writer, parsed_id.batch) == (
            self._writer_id,
            self._open.number,
        )

    def _record_lost(self, refusal: Refusal) -> Refusal:
        self.counters.lost += 1
        counts = self._open.lost_by_reason
        counts[refusal.reason] = counts.get(refusal.reason, 0) + 1
        lost_id = RequestId(self._writer_id, self._open.number, None)
        return msgspec.structs.replace(refusal, request_id=str(lost_id))

    def _find_kept(self, request_id: str) -> Refusal | None:
        for refusals_by_id in (
            self._open.refusals_by_id,
            *(batch.refusals_by_id for batch in self._waiting),
        ):
            refusal = refusals_by_id.get(request_id)
            if refusal is not None:
                return refusal
        return None

    def _close_batch(self) -> None:
        closing = self._open
        if not closing.refusals_by_id:
            return
        batch = ExplanationBatch(
            writer=self._writer_id,
            batch=closing.number,
            written_ms=self._clock.calendar_ms(),
            refusals_by_id=closing.refusals_by_id,
            lost_by_reason=closing.lost_by_reason,
        )
        batch_id = RequestId(self._writer_id, closing.number, None)
        self._waiting.append(
            _ClosedBatch(
                name=batch_id.object_name,
                encoded=msgspec.json.encode(batch),
                refusals_by_id=closing.refusals_by_id,
                size=closing.size,
            ),
        )
        self._open = _OpenBatch(number=closing.number + 1)

    async def _write_waiting(self) -> None:
        failures = 0
        while self._waiting:
            try:
                await self._write(self._waiting[0])
            except StoreUnavailableError:
                self.counters.failed_writes += 1
                await self._clock.sleep_ms(self._retry_ms(failures))
                failures += 1
            else:
                failures = 0
                await self._pause_between_batches()

    async def _pause_between_batches(self) -> None:
        if self._waiting:
            await self._clock.sleep_ms(CATCH_UP_INTERVAL_MS)

    async def _write(self, batch: _ClosedBatch) -> None:
        try:
            await self._store.put(batch.name, batch.encoded)
        except StoreConflictError as error:
            self.counters.lost += len(batch.refusals_by_id)
            count = len(batch.refusals_by_id)
            logging.error(
                '%s refusals lost, object name is taken: %s', count, error
            )
        else:
            self.counters.batches += 1
            self.counters.written += len(batch.refusals_by_id)
        self._waiting.popleft()

    def _retry_ms(self, failures: int) -> float:
        backoff_ms = INITIAL_RETRY_DELAY_MS * 2 ** min(
            failures, MAX_DELAY_DOUBLINGS
        )
        max_delay_ms = float(min(MAX_RETRY_DELAY_MS, backoff_ms))
        return max_delay_ms * (0.5 + self._random.random() / 2)


def describe_missing(request_id: str) -> str:
    """Return the reasons why an id may not be found, as text for a caller."""
    parsed_id = RequestId.from_text(request_id)
    if parsed_id is None:
        return (
            f'{request_id[:80]!r} is no request id, '
            'expected the one that came with a refusal, such as req-1f-0-1'
        )
    if parsed_id.index is None:
        return (
            'the refusal was true but is not kept: the store was away and '
            'the buffer of its process was full'
        )
    return (
        'no refusal of this team has the id, or it is not written yet '
        f'(up to {MIN_WRITE_INTERVAL_MS} ms, longer while the store is away), '
        'or its process was lost before it was written'
    )


def _size(refusal: Refusal) -> int:
    return len(msgspec.json.encode(refusal))
