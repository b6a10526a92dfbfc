"""Probes that distinguish lost upstreams from slow ones.

A silent upstream is asked for its load report. Requests that wait for the same
upstream share one probe.
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

# Silence within a stream after which its upstream is probed. It is several
# times the usual pause between events (40 ms), and short enough for the stream
# to resume elsewhere within the longest allowed pause (700 ms).
STREAM_SILENCE_MS = 120
# The same during prefill, where the target for the first event leaves more time
# than the allowed pause.
PREFILL_SILENCE_MS = 200
# The same for both while the upstream is paused, where few probes are allowed:
# longer than prefill of other prompts delays events, and short enough for the
# stream to resume elsewhere within the longest allowed pause.
PAUSED_SILENCE_MS = 400
# Opening a connection and one round trip between regions take 120 ms.
UPSTREAM_PROBE_TIMEOUT_MS = 190

# Age up to which a load report is reused without a new probe.
REPORT_AGE_MAX_MS = 150

Probe = Callable[[Upstream], Awaitable[LoadReport | None]]


@dataclass
class LivenessWatch:
    """Probes silent upstreams and marks those lost that do not respond.

    Parameters
    ----------
    probe
        Fetches the load report of an upstream; returns None on failure.
    probes_sent
        Number of probes sent.
    """

    clock: Clock
    directory: UpstreamDirectory
    probe: Probe
    probes_sent: int = 0
    _probe_by_instance: dict[str, asyncio.Task[bool]] = field(
        default_factory=dict
    )
    _background_checks: set[asyncio.Task[bool]] = field(default_factory=set)

    async def is_alive(
        self,
        upstream: Upstream,
        silence_ms: float = STREAM_SILENCE_MS,
    ) -> bool:
        """Return whether an upstream sent bytes recently or answers a probe."""
        if self.directory.is_paused(upstream):
            silence_ms = max(silence_ms, PAUSED_SILENCE_MS)
        if self.clock.now_ms() - upstream.heard_ms < silence_ms:
            return True
        return await self.check(upstream)

    async def check(self, upstream: Upstream) -> bool:
        """Probe an upstream, or wait for the probe under way.

        Returns
        -------
        bool
            Whether the upstream is alive, as far as known: while it is paused,
            few probes are allowed.
        """
        instance = upstream.record.instance
        task = self._probe_by_instance.get(instance)
        if task is None:
            if not self.directory.admit_probe(upstream):
                return True
            task = asyncio.create_task(self._probe(upstream))
            self._probe_by_instance[instance] = task
            task.add_done_callback(
                lambda _: self._probe_by_instance.pop(instance, None)
            )
        return await asyncio.shield(task)

    async def refresh_report(self, upstream: Upstream) -> bool:
        """Probe an upstream unless its load report is recent.

        An upstream that does not answer the probe is marked lost. One that is
        paused can't take a request and is not probed.

        Returns
        -------
        bool
            Whether the upstream is alive and not paused.
        """
        if self.directory.is_paused(upstream):
            return False
        report = upstream.report
        now_ms = self.clock.now_ms()
        if report is not None and now_ms - report.at_ms < REPORT_AGE_MAX_MS:
            return True
        is_alive = await self.check(upstream)
        return is_alive and not self.directory.is_paused(upstream)

    def check_in_background(self, upstream: Upstream) -> None:
        """Start a probe of an upstream and return at once."""
        task = asyncio.create_task(self.check(upstream))
        self._background_checks.add(task)
        task.add_done_callback(self._background_checks.discard)

    async def _probe(self, upstream: Upstream) -> bool:
        self.probes_sent += 1
        started_ms = self.clock.now_ms()
        report = None
        try:
            async with self.clock.timeout_ms(UPSTREAM_PROBE_TIMEOUT_MS):
                report = await self.probe(upstream)
        except TimeoutError:
            report = None
        if report is not None:
            upstream.apply_report(report)
            self.directory.record_heard(upstream)
            return True
        if upstream.heard_ms > started_ms:
            return True
        self.directory.record_lost(upstream)
        return False
