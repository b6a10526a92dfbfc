"""Reads from answers of all kinds that an upstream is leaving."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bergamotthread.connection.http.messages import Header
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.upstreams import Upstream, UpstreamDirectory
from bergamotthread.request.relay.dialect import RelayHeaderNames


@dataclass(frozen=True)
class LeavingNotices:
    """Records upstreams whose answers say that they are leaving."""

    directory: UpstreamDirectory
    header_names: RelayHeaderNames
    log: DecisionLog

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
        """
        if not self.header_names.says_leaving(headers):
            return
        if self.directory.record_leaving(upstream):
            record = upstream.record
            self.log.write(
                'upstream-leaving',
                upstream=record.instance,
                service=record.service,
                domain=record.failure_domain,
                said_by=said_by,
                status=status,
                state=record.state.value,
                in_flight=upstream.in_flight,
            )
