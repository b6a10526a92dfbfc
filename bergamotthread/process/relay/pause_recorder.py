"""Pauses that upstreams ask for in their answers, with a log line for each."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotthread.connection.http.messages import Header
from bergamotthread.connection.http.retry_after import RetryAfter
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.invalid_values import InvalidValueLog
from bergamotthread.process.relay.pauses import PROLONGED_LOG_MS
from bergamotthread.process.relay.relay_metrics import RelayMetrics
from bergamotthread.process.relay.upstreams import Upstream, UpstreamDirectory

# Only this status turns a request away until a later time (RFC 9110, section
# 10.2.3).
UNAVAILABLE = 503
_MS_PER_S = 1000


@dataclass
class PauseRecorder:
    """Reads the pauses that answers ask for."""

    directory: UpstreamDirectory
    log: DecisionLog
    metrics: RelayMetrics
    _invalid_log: InvalidValueLog = field(init=False)

    def __post_init__(self) -> None:
        self._invalid_log = InvalidValueLog(self.directory.clock, self.log)

    def record_answer(
        self, upstream: Upstream, status: int, headers: Iterable[Header]
    ) -> float:
        """Record the pause that an answer asks for.

        Returns
        -------
        float
            Remaining length of the pause in ms; 0 if none was asked for.
        """
        if status != UNAVAILABLE:
            return 0
        asked = RetryAfter.from_headers(headers)
        if asked.invalid:
            self._log_invalid(upstream, asked)
        if asked.seconds is None:
            return 0
        return self._apply(upstream, asked.seconds)

    def _apply(self, upstream: Upstream, seconds: float) -> float:
        pause = self.directory.record_pause(upstream, seconds * _MS_PER_S)
        if pause is None:
            return 0
        applied_ms = pause.until_ms - self.directory.clock.now_ms()
        self.metrics.pauses.increment(upstream.record.service)
        if pause.until_ms >= pause.logged_until_ms + PROLONGED_LOG_MS:
            pause.logged_until_ms = pause.until_ms
            self.log.write(
                'upstream-paused',
                upstream=upstream.record.instance,
                service=upstream.record.service,
                domain=upstream.record.failure_domain,
                status=UNAVAILABLE,
                asked_s=round(seconds, 3),
                applied_s=round(applied_ms / _MS_PER_S, 3),
                in_flight=upstream.in_flight,
            )
        return applied_ms

    def _log_invalid(self, upstream: Upstream, asked: RetryAfter) -> None:
        self._invalid_log.write(
            'retry-after-invalid',
            upstream.record.instance,
            asked.invalid,
            expected='seconds',
            used_s=asked.seconds,
        )
