"""Reads from answers of all kinds the rate of requests that upstreams take."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bergamotthread.connection.http.decimal_field import DecimalField
from bergamotthread.connection.http.messages import Header
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.invalid_values import InvalidValueLog
from bergamotthread.process.relay.relay_metrics import RelayMetrics
from bergamotthread.process.relay.request_limits import RequestLimit
from bergamotthread.process.relay.upstreams import Upstream, UpstreamDirectory
from bergamotthread.request.relay.dialect import RelayHeaderNames


@dataclass(frozen=True)
class LimitChange:
    """A limit that an upstream states newly, or its end.

    Parameters
    ----------
    per_s
        Requests per second as stated; None at the end of the limit.
    at_ms
        Monotonic time of the answer that said so.
    """

    instance: str
    started_ms: int
    per_s: float | None
    at_ms: float


@dataclass
class LimitNotices:
    """Records the limits that answers state, and their end.

    Parameters
    ----------
    listeners
        Called with each change that the entry itself learned of.
    """

    directory: UpstreamDirectory
    header_names: RelayHeaderNames
    log: DecisionLog
    metrics: RelayMetrics
    listeners: list[Callable[[LimitChange], None]] = field(default_factory=list)
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

    def apply_told(self, change: LimitChange, host: str) -> None:
        """Apply what another entry learned.

        Parameters
        ----------
        host
            Name of the host of that entry.
        """
        upstream = self.directory.get(change.instance)
        if upstream is None:
            return
        record = upstream.record
        limits = self.directory.limits
        if record.started_ms != change.started_ms:
            return
        if change.per_s is not None:
            if limits.record(record.incarnation, change.per_s, change.at_ms):
                self._log_limited(upstream, change.per_s, host)
            return
        ended = limits.end_before(record.incarnation, change.at_ms)
        if ended is not None:
            self._log_ended(upstream, ended, host)

    def _record(
        self, upstream: Upstream, stated_per_s: float, said_by: str
    ) -> None:
        now_ms = self.directory.clock.now_ms()
        incarnation = upstream.record.incarnation
        if self.directory.limits.record(incarnation, stated_per_s, now_ms):
            self._log_limited(upstream, stated_per_s, said_by)
            self._tell(upstream, stated_per_s)

    def _record_unstated(
        self, upstream: Upstream, said_by: str, sent_ms: float
    ) -> None:
        incarnation = upstream.record.incarnation
        ended = self.directory.limits.record_unstated(incarnation, sent_ms)
        if ended is not None:
            self._log_ended(upstream, ended, said_by)
            self._tell(upstream, None)

    def _tell(self, upstream: Upstream, per_s: float | None) -> None:
        record = upstream.record
        change = LimitChange(
            record.instance,
            record.started_ms,
            per_s,
            self.directory.clock.now_ms(),
        )
        for listener in self.listeners:
            listener(change)

    def _log_limited(
        self, upstream: Upstream, stated_per_s: float, said_by: str
    ) -> None:
        record = upstream.record
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

    def _log_ended(
        self, upstream: Upstream, ended: RequestLimit, said_by: str
    ) -> None:
        now_ms = self.directory.clock.now_ms()
        record = upstream.record
        self.log.write(
            'upstream-limit-ended',
            upstream=record.instance,
            service=record.service,
            said_by=said_by,
            former_per_s=ended.per_s,
            stated_ago_ms=round(now_ms - ended.stated_ms),
        )
