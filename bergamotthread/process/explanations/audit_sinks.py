"""Records quarantines and orders in the audit trail."""

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
    """Records quarantines in the audit trail.

    Parameters
    ----------
    trail
        Audit trail to which they are appended.
    version
        Returns the configuration version in force.
    """

    trail: AuditTrail
    version: Callable[[], int]

    def quarantine_recorded(self, row: QuarantineRow) -> None:
        """Record a quarantine that this process confirmed."""
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
    """Records orders to engines in the audit trail.

    Parameters
    ----------
    trail
        Audit trail to which they are appended.
    holder
        Address of the process that sends the orders.
    version
        Returns the configuration version in force.
    """

    trail: AuditTrail
    holder: str
    version: Callable[[], int]

    def order_sent(self, agent: str, order: Order) -> None:
        """Record an order that this process sends as holder of the lease."""
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
