"""Rows of the store about roll-outs: orders, records and status.

The record of a roll-out is its authority: each step is a conditional change of
it, so that two entries that both decide can't reach two ends. The status, for
the operator, changes in the same transaction.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import msgspec
from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.platform.rollout_orders import (
    ROLLOUT_PREFIX,
    RolloutOrderError,
    decode_order,
    is_same_content,
    rollout_key,
)
from bergamotthread.platform.store import (
    PlatformStoreClient,
    PreconditionFailedError,
    RowChange,
    StoreCallError,
    StoredRow,
)
from bergamotthread.platform.store_version import StoreVersion
from bergamotthread.platform.tables import NUMBER_BITS
from bergamotthread.platform.watches import ENTRY_TABLE
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.rollouts.order import RolloutOrder, RolloutState
from bergamotthread.process.rollouts.participant import RolloutParticipant
from bergamotthread.process.rollouts.reports import RolloutRecord
from bergamotthread.process.rollouts.rollout_record import merged_record

STATUS_TABLE = 'status'
# Time after a failed call of the store without another one for the service.
STORE_RETRY_MS = 500.0
# An order that is seen this long after the first version was read was not there
# before the process.
LOADING_MS = 1000.0
# What the operator writes within this time after the store came back older may
# be what it wrote before.
REWRITTEN_MS = 5000.0
# Latest orders of a service that an entry remembers.
SIGHTS_MAX = 8


class _StatusRow(msgspec.Struct, frozen=True):
    state: str
    target: str


@dataclass(frozen=True, slots=True)
class _RecordRow:
    """Record as the store has it; None if the row doesn't exist."""

    record: RolloutRecord | None = None
    version: StoreVersion = StoreVersion()


@dataclass(frozen=True, slots=True)
class _Sight:
    """When this entry first saw an order, by both clocks."""

    order: RolloutOrder
    seen_ms: float
    calendar_ms: int


@dataclass
class RolloutRows:
    """Applies rows about roll-outs, and writes records with their status.

    Parameters
    ----------
    participant
        Follows the orders and ends that the rows state.
    knows_service
        Returns whether the version in force names a service; None before the
        first version.
    """

    clock: Clock
    store: PlatformStoreClient
    log: DecisionLog
    participant: RolloutParticipant
    knows_service: Callable[[str], bool | None]
    _known_by_service: dict[str, RolloutRecord] = field(default_factory=dict)
    _row_by_service: dict[str, _RecordRow] = field(default_factory=dict)
    _seen_by_service: dict[str, StoreVersion] = field(default_factory=dict)
    _waiting_by_service: dict[str, StoredRow] = field(default_factory=dict)
    _unsure: set[str] = field(default_factory=set)
    _retry_ms_by_service: dict[str, float] = field(default_factory=dict)
    _sights_by_service: dict[str, list[_Sight]] = field(default_factory=dict)
    _loaded_ms: float = math.inf
    _copy_version: StoreVersion = StoreVersion()
    _returned_ms: float = -math.inf

    def begin_era(self, version: StoreVersion) -> None:
        """Note that rows up to a version may be those of an older copy."""
        self._copy_version = version
        self._returned_ms = self.clock.now_ms()

    def apply_order(self, row: StoredRow) -> None:
        """Apply a row of the operator's table; others are ignored.

        An order that is removed or becomes invalid goes on.
        """
        if not row.key.startswith(ROLLOUT_PREFIX):
            return
        if row.payload is None:
            self.log.write('rollout-order-removed', order=row.key)
            return
        try:
            order = decode_order(row)
        except RolloutOrderError as error:
            self._refuse(row, error.message)
            return
        if self.knows_service(order.service):
            self._waiting_by_service.pop(order.service, None)
            self._apply_valid(order, row.version)
            return
        if self.knows_service(order.service) is not None:
            self._refuse(row, f'{order.service!r} is no service in force')
        self._waiting_by_service[order.service] = row

    def apply_waiting(self) -> None:
        """Apply the orders for services that were unknown and are known now.

        Called at short intervals; notes when the first version was read.
        """
        if self.knows_service('') is not None:
            self._loaded_ms = min(self._loaded_ms, self.clock.now_ms())
        for service, row in tuple(self._waiting_by_service.items()):
            if self.knows_service(service):
                self.apply_order(row)

    def apply_record(self, row: StoredRow) -> bool:
        """Apply a row of the entries' table; return whether it is a record."""
        if not row.key.startswith(ROLLOUT_PREFIX):
            return False
        service = row.key.removeprefix(ROLLOUT_PREFIX)
        former = self._row_by_service.get(service, _RecordRow())
        if former.version <= row.version:
            self._apply_row(service, row)
        return True

    def record(self, service: str) -> RolloutRecord | None:
        """Return what is known of the latest roll-out of a service."""
        return self._known_by_service.get(service)

    def records(self) -> tuple[RolloutRecord, ...]:
        """Return what is known of all services."""
        return tuple(self._known_by_service.values())

    def learn(self, record: RolloutRecord) -> None:
        """Apply a record that another entry wrote."""
        known = self._known_by_service.get(record.order.service)
        self._know(record if known is None else merged_record(known, record))

    def elapsed_ms(self, record: RolloutRecord) -> float:
        """Return the time since an order.

        The own monotonic clock counts if this entry has seen the order come,
        since calendars of machines differ, and are set.
        """
        sight = self._sight(record.order)
        known_ms = self.clock.now_ms() - sight.seen_ms
        calendar_ms = float(self.clock.calendar_ms() - record.started_ms)
        has_seen_it_come = sight.seen_ms - self._loaded_ms > LOADING_MS
        is_plausible = 0 <= calendar_ms <= 2 * record.order.duration_ms
        if has_seen_it_come or not is_plausible:
            return known_ms
        return max(known_ms, calendar_ms)

    def first_record(self, order: RolloutOrder) -> RolloutRecord:
        """Return the record with which an order is taken up."""
        return RolloutRecord(
            order,
            RolloutState.ACTIVE,
            self._sight(order).calendar_ms,
            rejected=self.participant.rejected(order),
        )

    def is_unsure(self, service: str) -> bool:
        """Return whether a record is read again before it is written next."""
        return service in self._unsure

    def expect_loss(self) -> None:
        """Read each record again before it is written next."""
        self._unsure.update(self._known_by_service)

    async def write(self, record: RolloutRecord) -> bool:
        """Write a record, and its status with it; return whether it is stored.

        If not, `record` returns what is known then; a row that was read again
        and says something new is to be decided on first. A write whose answer
        was lost is recognised when the row is read again.
        """
        service = record.order.service
        if self.clock.now_ms() < self._retry_ms_by_service.get(service, 0):
            return False
        try:
            is_news = await self._read_if_unsure(service)
            if self._may_follow(record) and not is_news:
                await self._change(record)
        except PreconditionFailedError:
            self._unsure.add(service)
        except StoreCallError as error:
            self._unsure.add(service)
            retry_ms = self.clock.now_ms() + STORE_RETRY_MS
            self._retry_ms_by_service[service] = retry_ms
            self.log.write(
                'rollout-not-saved', service=service, detail=str(error)
            )
        return self._row(service).record == record

    def _may_follow(self, record: RolloutRecord) -> bool:
        """Return whether a record is not stored and follows what is known."""
        service = record.order.service
        if self._row(service).record == record:
            return False
        known = self._known_by_service.get(service)
        return known is None or merged_record(known, record) == record

    def _sight(self, order: RolloutOrder) -> _Sight:
        """Return when an order was first seen; now if it wasn't."""
        sights = self._sights_by_service.setdefault(order.service, [])
        for earlier in sights:
            if earlier.order == order:
                return earlier
        sight = _Sight(order, self.clock.now_ms(), self.clock.calendar_ms())
        sights.append(sight)
        del sights[:-SIGHTS_MAX]
        return sight

    async def _change(self, record: RolloutRecord) -> None:
        service = record.order.service
        key = rollout_key(service)
        row = self._row(service)
        status = _status(record)
        payload = msgspec.json.encode(record)
        changes = [RowChange(ENTRY_TABLE, key, payload, row.version)]
        if row.record is None or _status(row.record) != status:
            changes.append(
                RowChange(STATUS_TABLE, key, msgspec.json.encode(status), None)
            )
        version = await self.store.change_all(changes)
        self._apply_row(service, StoredRow(key, payload, version))

    async def _read_if_unsure(self, service: str) -> bool:
        """Read a row again if needed; return whether it says something new."""
        if not self.is_unsure(service):
            return False
        former = self._known_by_service.get(service)
        await self._read_again(service)
        return self._known_by_service.get(service) != former

    async def _read_again(self, service: str) -> None:
        key = rollout_key(service)
        read = await self.store.read_rows(ENTRY_TABLE, key, f'{key}\0', 1)
        row = StoredRow(key, None, StoreVersion(read.version.era))
        self._apply_row(service, next(iter(read.rows), row))
        self._unsure.discard(service)

    def _row(self, service: str) -> _RecordRow:
        return self._row_by_service.get(service, _RecordRow())

    def _apply_row(self, service: str, row: StoredRow) -> None:
        record = _decode_record(row)
        version = row.version
        if row.payload is None:
            version = replace(version, number=0)
        self._row_by_service[service] = _RecordRow(record, version)
        if record is None:
            return
        known = self._known_by_service.get(service)
        self._know(record if known is None else merged_record(known, record))

    def _know(self, record: RolloutRecord) -> None:
        """Follow the roll-out of a record, with the number that it has."""
        service = record.order.service
        former = self._known_by_service.get(service)
        self._known_by_service[service] = record
        followed = self.participant.order_of(service)
        if former is None and _is_same_in_other_era(followed, record.order):
            self.participant.renumber(record.order)
        self.participant.begin(record.order)
        if former is None:
            self.participant.learn_rejected(record.order, record.rejected)
        self._sight(record.order)
        is_news = former is None or _status(former) != _status(record)
        if record.state.is_end and is_news:
            self.log.write(
                'rollout-ended',
                service=service,
                target=record.order.target,
                state=record.state.value,
                reason=record.reason,
            )
        if record.state.is_end:
            self.participant.end(
                record.order, record.state, self.elapsed_ms(record)
            )

    def _apply_valid(self, order: RolloutOrder, version: StoreVersion) -> None:
        service = order.service
        seen = self._seen_by_service.get(service, StoreVersion())
        self._seen_by_service[service] = version
        followed = self.participant.order_of(service)
        if followed is not None:
            since_ms = self.clock.now_ms() - self._returned_ms
            is_rewritten = version.era > seen.era or since_ms < REWRITTEN_MS
            if is_rewritten and is_same_content(followed, order):
                return
            is_known = any(
                is_same_content(sight.order, order)
                for sight in self._sights_by_service.get(service, ())
            )
            if is_known and version <= self._copy_version:
                self.log.write(
                    'rollout-order-kept-out',
                    service=service,
                    target=order.target,
                    in_force=followed.target,
                )
                return
        if followed is None or followed.number < order.number:
            self.participant.begin(order)
            self._sight(order)
            self.log.write(
                'rollout-ordered',
                service=service,
                target=order.target,
                duration_ms=order.duration_ms,
                number=order.number,
                former_target='' if followed is None else followed.target,
            )

    def _refuse(self, row: StoredRow, reason: str) -> None:
        quoted = (row.payload or b'')[:200].decode(errors='replace')
        self.log.write(
            'rollout-order-invalid',
            order=row.key,
            value=quoted,
            detail=reason,
        )


def _is_same_in_other_era(
    order: RolloutOrder | None, other: RolloutOrder
) -> bool:
    """Return whether two numbers are of one order, which was written again."""
    if order is None or not is_same_content(order, other):
        return False
    return order.number >> NUMBER_BITS != other.number >> NUMBER_BITS


def _status(record: RolloutRecord) -> _StatusRow:
    return _StatusRow(record.state.value, record.order.target)


def _decode_record(row: StoredRow) -> RolloutRecord | None:
    """Return the record in a row; None if there is none or it is invalid."""
    if row.payload is None:
        return None
    try:
        record = msgspec.json.decode(row.payload, type=RolloutRecord)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        logging.warning('row %s is no record; ignored: %s', row.key, error)
        return None
    if rollout_key(record.order.service) != row.key:
        logging.warning('row %s names %s', row.key, record.order.service)
        return None
    return record
