"""Reads from answers of all kinds that an upstream is leaving."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bergamotthread.connection.http.messages import Header
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.upstreams import (
    Upstream,
    UpstreamDirectory,
    UpstreamRecord,
)
from bergamotthread.request.relay.dialect import RelayHeaderNames


@dataclass(frozen=True)
class LeavingNotices:
    """Records upstreams whose answers say that they are leaving.

    Parameters
    ----------
    listeners
        Called with each upstream that the entry itself learned of.
    """

    directory: UpstreamDirectory
    header_names: RelayHeaderNames
    log: DecisionLog
    listeners: list[Callable[[UpstreamRecord], None]] = field(
        default_factory=list
    )

    def read(
        self,
        upstream: Upstream,
        headers: Iterable[Header],
        said_by: str,
        status: int,
    ) -> None:
        """Read one answer of an upstream; it is logged once.

        Parameters
        ----------
        said_by
            Kind of call that was answered.
        status
            Status of the answer.
        """
        if not self.header_names.says_leaving(headers):
            return
        record = upstream.record
        if self._record(record.instance, record.started_ms, said_by, status):
            for listener in self.listeners:
                listener(record)

    def apply_told(self, instance: str, started_ms: int, host: str) -> None:
        """Apply what another entry learned.

        Parameters
        ----------
        host
            Name of the host of that entry.
        """
        self._record(instance, started_ms, host, 0)

    def _record(
        self, instance: str, started_ms: int, said_by: str, status: int
    ) -> bool:
        """Record and log an incarnation; return whether it was not known."""
        if not self.directory.record_leaving(instance, started_ms):
            return False
        listed = self.directory.get(instance)
        record = listed and listed.record
        self.log.write(
            'upstream-leaving',
            upstream=instance,
            started_ms=started_ms,
            said_by=said_by,
            status=status,
            service=record.service if record else '',
            domain=record.failure_domain if record else '',
            state=record.state.value if record else '',
            in_flight=listed.in_flight if listed else 0,
        )
        return True
