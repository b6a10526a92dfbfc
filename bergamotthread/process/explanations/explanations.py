"""Keeps every refusal so that it can be explained later.

Refusals are written in batches, at most one object in `MIN_INTERVAL_MS`. A
request id names the writer and the batch, so that any process finds the
refusal by one read. While the store is away, a bounded number is kept, the
oldest first, and the rest is counted as lost.
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

LINGER_MS = 1000
MIN_INTERVAL_MS = 10_000
CATCH_UP_INTERVAL_MS = 500
RETRY_MS = 1000
RETRY_MAX_MS = 30_000
MAX_DOUBLINGS = 8
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
    """Batch that waits to be written; its bytes never change."""

    name: str
    encoded: bytes
    refusals_by_id: dict[str, Refusal]
    size: int


@dataclass
class _OpenBatch:
    """Batch that still takes refusals."""

    number: int = 0
    next_index: int = 0
    size: int = 0
    refusals_by_id: dict[str, Refusal] = field(default_factory=dict)
    lost_by_reason: dict[str, int] = field(default_factory=dict)


class Explanations:
    """Records refusals and finds them again.

    Parameters
    ----------
    store
        Object store; its errors are retried here.
    writer_id
        Unique to this process start, lower-case letters and digits; see
        `new_writer_id`.
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
    def kept(self) -> int:
        """Return the number of refusals that wait to be written."""
        waiting = sum(len(one.refusals_by_id) for one in self._waiting)
        return waiting + len(self._open.refusals_by_id)

    def new_request_id(self) -> str:
        """Return an id for a refusal that is recorded soon."""
        index = self._open.next_index
        self._open.next_index += 1
        return str(RequestId(self._writer_id, self._open.number, index))

    def record(self, refusal: Refusal) -> Refusal:
        """Keep a refusal and return it with the id that finds it.

        The id is replaced by a new one where it is empty or its batch was
        closed meanwhile, and by one that ends in ``lost`` where the refusal
        is not kept; so the caller is to be told the id that is returned.
        """
        if self._is_full(refusal):
            return self._lose(refusal)
        if not self._is_open(refusal.request_id):
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
        """Return a refusal of a team's own request, or None.

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
        """Return a refusal whoever it belongs to, or None."""
        identity = RequestId.from_text(request_id)
        if identity is None or identity.index is None:
            return None
        refusal = self._find_kept(request_id)
        if refusal is not None:
            return refusal
        encoded = await self._store.get(identity.object_name)
        if encoded is None:
            return None
        batch = decode_batch(encoded, identity.object_name)
        return batch.refusals_by_id.get(request_id)

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            await self._wake.wait()
            await self._clock.sleep_ms(LINGER_MS)
            self._wake.clear()
            self._close_batch()
            await self._write_waiting()
            await self._clock.sleep_ms(MIN_INTERVAL_MS - LINGER_MS)

    async def flush(self) -> None:
        """Write what waits, once, before the process ends.

        Raises
        ------
        StoreUnavailableError
            If the store did not answer; what was not written is still kept.
        """
        self._close_batch()
        while self._waiting:
            await self._write(self._waiting[0])

    def _is_full(self, refusal: Refusal) -> bool:
        if self.kept >= MAX_KEPT_REFUSALS:
            return True
        held = self._open.size + sum(one.size for one in self._waiting)
        return held + _size(refusal) > MAX_KEPT_BYTES

    def _is_open(self, request_id: str) -> bool:
        identity = RequestId.from_text(request_id)
        if identity is None or identity.index is None:
            return False
        if request_id in self._open.refusals_by_id:
            return False
        return (identity.writer, identity.batch) == (
            self._writer_id,
            self._open.number,
        )

    def _lose(self, refusal: Refusal) -> Refusal:
        self.counters.lost += 1
        lost = self._open.lost_by_reason
        lost[refusal.reason] = lost.get(refusal.reason, 0) + 1
        identity = RequestId(self._writer_id, self._open.number, None)
        return msgspec.structs.replace(refusal, request_id=str(identity))

    def _find_kept(self, request_id: str) -> Refusal | None:
        for refusals_by_id in (
            self._open.refusals_by_id,
            *(one.refusals_by_id for one in self._waiting),
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
        identity = RequestId(self._writer_id, closing.number, None)
        self._waiting.append(
            _ClosedBatch(
                name=identity.object_name,
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
            logging.error('%s refusals lost: %s', count, error)
        else:
            self.counters.batches += 1
            self.counters.written += len(batch.refusals_by_id)
        self._waiting.popleft()

    def _retry_ms(self, failures: int) -> float:
        doubled_ms = RETRY_MS * 2 ** min(failures, MAX_DOUBLINGS)
        limit_ms = float(min(RETRY_MAX_MS, doubled_ms))
        return limit_ms * (0.5 + self._random.random() / 2)


def describe_missing(request_id: str) -> str:
    """Return why an id may not be found, for a caller to read."""
    identity = RequestId.from_text(request_id)
    if identity is None:
        return (
            f'{request_id[:80]!r} is no request id, '
            'expected the one that came with a refusal, such as req-1f-0-1'
        )
    if identity.index is None:
        return (
            'the refusal was true but is not kept: the store was away and '
            'the buffer of its process was full'
        )
    return (
        'no refusal of this team has the id, or it is not written yet '
        f'(up to {MIN_INTERVAL_MS} ms, longer while the store is away), '
        'or its process was lost before it was written'
    )


def _size(refusal: Refusal) -> int:
    return len(msgspec.json.encode(refusal))
