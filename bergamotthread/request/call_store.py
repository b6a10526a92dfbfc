"""Access of a request to the row of its call."""

from __future__ import annotations

import random
from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.errors import StoreConflictError, StoreUnavailableError
from bergamotthread.process.calls.call_limits import CallLimits
from bergamotthread.process.store.platform import ObjectStore, Row, Table
from bergamotthread.request.call_actions import Write
from bergamotthread.request.call_events import Found, NotWritten, Written
from bergamotthread.request.call_progress import Stored
from bergamotthread.request.call_row import (
    CallRow,
    Done,
    Unknown,
    decode_row,
    encode_row,
    lease_until_ms,
    result_name,
    unknown_key,
)
from bergamotthread.request.held_bodies import HeldBodies

_INITIAL_BACKOFF_MS = 20
_BACKOFF_FACTOR = 2
_MIN_JITTER_FACTOR = 0.5
_MAX_DOUBLINGS = 6


@dataclass
class _Backoff:
    """Exponential backoff while accesses fail, for at most `max_failure_ms`."""

    clock: Clock
    rng: random.Random
    max_failure_ms: float
    _failures: int = 0
    _first_failure_ms: float = 0

    def record_success(self) -> None:
        """Record that an access succeeded."""
        self._failures = 0

    async def back_off(self, error: StoreUnavailableError) -> None:
        """Wait, or raise `error` if accesses have failed for too long."""
        now_ms = self.clock.now_ms()
        if self._failures == 0:
            self._first_failure_ms = now_ms
        self._failures += 1
        if now_ms - self._first_failure_ms > self.max_failure_ms:
            raise error
        doublings = min(self._failures, _MAX_DOUBLINGS)
        pause_ms = _INITIAL_BACKOFF_MS * _BACKOFF_FACTOR**doublings
        await self.clock.sleep_ms(pause_ms * self.rng.random())


@dataclass
class CallStore:
    """Row of one call, with retries while the store fails for a short time.

    Parameters
    ----------
    table, object_store
        Storage of the row and of a large answer.
    clock
        Source of time.
    rng
        Source of jitter.
    limits
        Limits of calls.
    key
        Key of the row.
    bodies
        Answers that go to the object store once their row is written.
    """

    table: Table
    object_store: ObjectStore
    clock: Clock
    rng: random.Random
    limits: CallLimits
    key: str
    bodies: HeldBodies
    _polls: int = 0

    def __post_init__(self) -> None:
        max_failure_ms = self.limits.store_timeout_ms
        self._reads = _Backoff(self.clock, self.rng, max_failure_ms)
        self._writes = _Backoff(self.clock, self.rng, max_failure_ms)

    def set_max_failure(self, limit_ms: float) -> None:
        """Set how long the store may fail before an access is given up."""
        self._reads.max_failure_ms = limit_ms
        self._writes.max_failure_ms = limit_ms

    async def write(self, action: Write) -> Written | NotWritten:
        """Write the row, after the objects and rows that it depends on.

        Return `NotWritten` on a conflict, or after a pause if the store did not
        answer.

        Raises
        ------
        StoreUnavailableError
            If the store has failed for too long.
        """
        try:
            written = await self._write(action)
        except StoreConflictError:
            self._writes.record_success()
            return NotWritten()
        except StoreUnavailableError as error:
            await self._writes.back_off(error)
            return NotWritten()
        self._writes.record_success()
        return written

    async def read(self) -> Found:
        """Read the row, with retries while the store fails for a short time.

        Raises
        ------
        StoreUnavailableError
            If the store has failed for too long.
        """
        while True:
            try:
                return self._to_found(await self.table.read(self.key))
            except StoreUnavailableError as error:
                await self._reads.back_off(error)

    async def poll(self) -> Found:
        """Read the row after a pause that doubles with each poll.

        The pause is at most `limits.poll_interval_max_ms`.
        """
        doublings = min(self._polls, _MAX_DOUBLINGS)
        self._polls += 1
        grown_ms = self.limits.poll_interval_ms * _BACKOFF_FACTOR**doublings
        pause_ms = min(self.limits.poll_interval_max_ms, grown_ms)
        jitter = self.rng.uniform(_MIN_JITTER_FACTOR, 1)
        await self.clock.sleep_ms(pause_ms * jitter)
        return await self.read()

    async def read_body(self, done: Done) -> bytes | None:
        """Return the body of an answer, or None if it is not held or stored."""
        held = self.bodies.get(result_name(done.sending))
        if held is not None:
            return held
        if done.stored_as:
            return await self.object_store.get(done.stored_as)
        return None if done.omitted else done.body

    def _to_found(self, row: Row | None) -> Found:
        self._reads.record_success()
        if row is None:
            return Found(None)
        call_row = decode_row(row.body)
        is_lease_expired = self.clock.calendar_ms() > lease_until_ms(call_row)
        return Found(Stored(call_row, row.revision), is_lease_expired)

    async def _write(self, action: Write) -> Written:
        await self._write_dependencies(action.row)
        row = await self.table.write(
            self.key,
            encode_row(action.row),
            expected=action.expected,
        )
        return Written(row.revision)

    async def _write_dependencies(self, row: CallRow) -> None:
        if isinstance(row.state, Unknown):
            await write_unknown_index(self.table, self.key)
        if not isinstance(row.state, Done):
            return
        body = self.bodies.get(row.state.stored_as)
        if body is not None:
            await self.object_store.put(row.state.stored_as, body)


async def write_unknown_index(table: Table, key: str) -> None:
    """Write the index row that lists a call with unknown outcome."""
    try:
        await table.write(unknown_key(key), key.encode(), expected=0)
    except StoreConflictError:
        return
