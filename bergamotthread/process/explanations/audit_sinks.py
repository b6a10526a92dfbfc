"""What parts of a process tell the audit trail."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bergamotthread.process.explanations.audit import AuditTrail
from bergamotthread.process.generations.quarantine_store import (
    QuarantineAuditSink,
    QuarantineRow,
)
from bergamotthread.wire.messages import Order


@dataclass(frozen=True)
class QuarantineAudit(QuarantineAuditSink):
    """Records quarantines.

    Parameters
    ----------
    version
        Returns the version of the configuration in force.
    """

    trail: AuditTrail
    version: Callable[[], int]

    def quarantine_recorded(self, row: QuarantineRow) -> None:
        """Take in a quarantine that this process confirmed."""
        version = self.version()
        self.trail.record(
            'quarantine',
            f'fingerprints/{row.fingerprint:016x}',
            {'deaths': str(row.deaths), 'until_ms': str(row.until_ms)},
            row.decided_by,
            version_before=version,
            version_after=version,
        )


@dataclass(frozen=True)
class OrderAudit:
    """Records orders to engines.

    Parameters
    ----------
    trail
        Where they are recorded.
    holder
        Address of the process that sends them.
    version
        Returns the version in force.
    """

    trail: AuditTrail
    holder: str
    version: Callable[[], int]

    def order_sent(self, agent: str, order: Order) -> None:
        """Take in an order that this process sends as holder of the lease."""
        version = self.version()
        self.trail.record(
            'order',
            f'agents/{agent}',
            {
                'order': order.order,
                'action': order.action,
                'model': order.pin.model,
                'version': order.pin.version,
                'adapter': order.pin.adapter,
            },
            self.holder,
            version_before=version,
            version_after=version,
        )
