"""Which upstreams are lost, told from slow ones by a probe.

An upstream from which nothing arrives is asked for its load report. One probe
serves all requests that wait for the same upstream.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.relay.upstreams import (
    LoadReport,
    Upstream,
    UpstreamDirectory,
)

# Silence in the middle of a stream after which its upstream is probed: several
# times the usual gap between events (40 ms), so that a resume still fits into
# the longest pause that is on time (700 ms).
SILENCE_MS = 120
# The same while a prompt is read, where a little more does no harm.
READING_SILENCE_MS = 200
# Time for the answer to a probe: a connection and a round trip between regions
# take 120 ms.
PROBE_TIMEOUT_MS = 190

# A report younger than this is used again for another choice.
REPORT_FRESH_MS = 150

Probe = Callable[[Upstream], Awaitable[LoadReport | None]]


@dataclass
class LivenessWatch:
    """Probes silent upstreams and suspects those that do not answer."""

    clock: Clock
    directory: UpstreamDirectory
    probe: Probe
    probes: int = 0
    _running: dict[str, asyncio.Task[bool]] = field(default_factory=dict)
    _waiting: set[asyncio.Task[bool]] = field(default_factory=set)

    async def is_alive(
        self,
        upstream: Upstream,
        silence_ms: float = SILENCE_MS,
    ) -> bool:
        """Return whether an upstream was heard of lately or answers now."""
        if self.clock.now_ms() - upstream.heard_ms < silence_ms:
            return True
        return await self.verify(upstream)

    async def verify(self, upstream: Upstream) -> bool:
        """Return whether an upstream answers a probe."""
        instance = upstream.record.instance
        task = self._running.get(instance)
        if task is None:
            task = asyncio.create_task(self._probe(upstream))
            self._running[instance] = task
            task.add_done_callback(lambda _: self._running.pop(instance, None))
        return await asyncio.shield(task)

    async def refresh(self, upstream: Upstream) -> bool:
        """Return whether an upstream lives, with a report of late.

        Raises nothing; an upstream that does not answer is taken for lost.
        """
        report = upstream.report
        now_ms = self.clock.now_ms()
        if report is not None and now_ms - report.at_ms < REPORT_FRESH_MS:
            return True
        return await self.verify(upstream)

    def verify_soon(self, upstream: Upstream) -> None:
        """Probe an upstream whose connection broke, without waiting."""
        task = asyncio.create_task(self.verify(upstream))
        self._waiting.add(task)
        task.add_done_callback(self._waiting.discard)

    async def _probe(self, upstream: Upstream) -> bool:
        self.probes += 1
        started_ms = self.clock.now_ms()
        report = None
        try:
            async with self.clock.timeout_ms(PROBE_TIMEOUT_MS):
                report = await self.probe(upstream)
        except TimeoutError:
            report = None
        if report is not None:
            upstream.report = report
            upstream.sent_since_report = 0
            self.directory.record_heard(upstream)
            return True
        if upstream.heard_ms > started_ms:
            return True
        self.directory.record_lost(upstream)
        return False
