"""Reports about drains in the platform's table, for operators."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from bergamotthread.clock import Clock
from bergamotthread.errors import (
    BergamotError,
    StoreConflictError,
    StoreUnavailableError,
)
from bergamotthread.process.drain.drain_state import DrainPhase
from bergamotthread.process.store.platform import Row, Table

REPORT_KEY_PREFIX = 'drain/'
REPORT_INTERVAL_MS = 10_000
REPORT_MAX_AGE_MS = 30_000


class DrainReport(msgspec.Struct, frozen=True):
    """Latest report of a process about its drain.

    `held_by` names the work that must end before the host can be stopped, for
    example ``generations: 3``; `updated_ms` is in milliseconds since the Unix
    epoch.
    """

    address: str
    incarnation: int
    phase: DrainPhase
    held_by: tuple[str, ...]
    updated_ms: int


class DrainVerdict(msgspec.Struct, frozen=True):
    """Whether a host is safe to stop, and the reasons if it is not."""

    address: str
    safe: bool
    reasons: tuple[str, ...]


class DrainReporter:
    """Writes the drain report of one process.

    A report is written when the phase changes and, during a drain, every
    `REPORT_INTERVAL_MS`. Without a drain, one is written only to replace a
    report that exists.

    Parameters
    ----------
    table
        The platform's table.
    clock
        Clock of the process.
    address, incarnation
        Identity of the process.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        address: str,
        incarnation: int,
    ) -> None:
        self._table = table
        self._clock = clock
        self._address = address
        self._incarnation = incarnation
        self._last_report: DrainReport | None = None

    async def report(
        self,
        phase: DrainPhase,
        held_by: tuple[str, ...],
    ) -> bool:
        """Write a report if one is due; return whether it was accepted.

        If the store is unavailable or another process wrote at the same time,
        the report remains due for the next call. A process that starts replaces
        the report of an earlier process at its address.
        """
        report = DrainReport(
            address=self._address,
            incarnation=self._incarnation,
            phase=phase,
            held_by=held_by,
            updated_ms=self._clock.calendar_ms(),
        )
        if not self._is_due(report):
            return False
        try:
            written = await self._write(report)
        except StoreUnavailableError:
            return False
        if written:
            self._last_report = report
        return written

    def _is_due(self, report: DrainReport) -> bool:
        last = self._last_report
        if last is None or report.phase is not last.phase:
            return True
        if report.phase is DrainPhase.SERVING:
            return False
        return report.updated_ms - last.updated_ms >= REPORT_INTERVAL_MS

    async def _write(self, report: DrainReport) -> bool:
        key = REPORT_KEY_PREFIX + self._address
        row = await self._table.read(key)
        existing = decode_report(row) if row else None
        if existing is None and report.phase is DrainPhase.SERVING:
            return True
        if existing is not None and existing.incarnation > self._incarnation:
            return False
        revision = row.revision if row else 0
        body = msgspec.json.encode(report)
        try:
            await self._table.write(key, body, expected=revision)
        except StoreConflictError:
            return False
        return True


def decode_report(row: Row) -> DrainReport | None:
    """Return the report in a row, None if it can't be decoded."""
    try:
        return msgspec.json.decode(row.body, type=DrainReport)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


async def read_verdicts(
    table: Table,
    addresses: Sequence[str],
    calendar_ms: int,
) -> tuple[DrainVerdict, ...]:
    """Return for each address whether its host is safe to stop."""
    verdicts = []
    for address in addresses:
        try:
            row = await table.read(REPORT_KEY_PREFIX + address)
        except BergamotError as error:
            reasons = (f'not known, report could not be read: {error}',)
            verdicts.append(DrainVerdict(address, safe=False, reasons=reasons))
            continue
        report = decode_report(row) if row else None
        verdicts.append(judge_report(address, report, calendar_ms))
    return tuple(verdicts)


def judge_report(
    address: str,
    report: DrainReport | None,
    calendar_ms: int,
) -> DrainVerdict:
    """Return whether a report shows that its host is safe to stop.

    It has to be at most `REPORT_MAX_AGE_MS` old and of a drained process that
    holds no work.
    """
    if report is None:
        return DrainVerdict(address, safe=False, reasons=('no drain report',))
    age_ms = calendar_ms - report.updated_ms
    reasons = []
    if abs(age_ms) > REPORT_MAX_AGE_MS:
        reasons.append(f'last report is {age_ms} ms old')
    if report.phase is not DrainPhase.DRAINED:
        reasons.append(f'phase is {report.phase}')
    reasons.extend(report.held_by)
    return DrainVerdict(address, safe=not reasons, reasons=tuple(reasons))
