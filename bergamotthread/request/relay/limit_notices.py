"""Reads from answers of all kinds the rate of requests that upstreams take."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotthread.connection.http.decimal_field import DecimalField
from bergamotthread.connection.http.messages import Header
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.invalid_values import InvalidValueLog
from bergamotthread.process.relay.relay_metrics import RelayMetrics
from bergamotthread.process.relay.upstreams import Upstream, UpstreamDirectory
from bergamotthread.request.relay.dialect import RelayHeaderNames


@dataclass
class LimitNotices:
    """Records the limits that answers state, and their end."""

    directory: UpstreamDirectory
    header_names: RelayHeaderNames
    log: DecisionLog
    metrics: RelayMetrics
    _invalid_log: InvalidValueLog = field(init=False)

    def __post_init__(self) -> None:
        self._invalid_log = InvalidValueLog(self.directory.clock, self.log)

    def read(
        self,
        upstream: Upstream,
        headers: Iterable[Header],
        said_by: str,
        sent_ms: float,
    ) -> None:
        """Read one answer of an upstream.

        Of several valid values the smallest counts. An answer whose values
        are all invalid changes nothing.

        Parameters
        ----------
        said_by
            Kind of call that was answered.
        sent_ms
            Monotonic time at which the request was sent.
        """
        stated = DecimalField.from_headers(
            headers, self.header_names.request_limit
        )
        if stated.invalid:
            self._invalid_log.write(
                'request-limit-invalid',
                upstream.record.instance,
                stated.invalid,
                expected='requests per second',
            )
        if stated.valid:
            self._record(upstream, min(stated.valid), said_by)
        elif not stated.invalid:
            self._record_unstated(upstream, said_by, sent_ms)

    def _record(
        self, upstream: Upstream, stated_per_s: float, said_by: str
    ) -> None:
        directory = self.directory
        record = upstream.record
        if not directory.limits.record(
            record.incarnation, stated_per_s, directory.clock.now_ms()
        ):
            return
        self.metrics.request_limits.increment(record.service)
        self.log.write(
            'upstream-limited',
            upstream=record.instance,
            service=record.service,
            domain=record.failure_domain,
            said_by=said_by,
            stated_per_s=stated_per_s,
            in_flight=upstream.in_flight,
        )

    def _record_unstated(
        self, upstream: Upstream, said_by: str, sent_ms: float
    ) -> None:
        record = upstream.record
        limits = self.directory.limits
        ended = limits.record_unstated(record.incarnation, sent_ms)
        if ended is None:
            return
        now_ms = self.directory.clock.now_ms()
        self.log.write(
            'upstream-limit-ended',
            upstream=record.instance,
            service=record.service,
            said_by=said_by,
            former_per_s=ended.per_s,
            stated_ago_ms=round(now_ms - ended.stated_ms),
        )
