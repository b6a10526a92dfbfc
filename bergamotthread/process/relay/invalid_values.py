"""Log of invalid header fields of upstreams, at a bounded rate."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.relay.decision_log import DecisionLog, LogField

# Shortest time between two log lines on invalid values of one upstream.
INVALID_LOG_INTERVAL_MS = 10_000.0


@dataclass
class InvalidValueLog:
    """Logs the invalid values of one field of upstreams' answers."""

    clock: Clock
    log: DecisionLog
    _logged_ms: dict[str, float] = field(default_factory=dict)

    def write(
        self,
        event: str,
        instance: str,
        found: Sequence[str],
        **fields: LogField,
    ) -> None:
        """Log invalid values, unless the upstream's were logged lately."""
        now_ms = self.clock.now_ms()
        logged_ms = self._logged_ms.get(instance, -math.inf)
        if now_ms < logged_ms + INVALID_LOG_INTERVAL_MS:
            return
        self._logged_ms = {
            other: at_ms
            for other, at_ms in self._logged_ms.items()
            if now_ms < at_ms + INVALID_LOG_INTERVAL_MS
        }
        self._logged_ms[instance] = now_ms
        self.log.write(
            event, upstream=instance, found=', '.join(found), **fields
        )
