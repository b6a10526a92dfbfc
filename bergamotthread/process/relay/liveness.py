"""Probes that distinguish lost upstreams from slow ones.

A silent upstream is asked for its load report. Requests that wait for the same
upstream share one probe. An upstream counts as lost only if another one answers
at that time: if all are silent, the cause is the process's own link or
processor, such as a link that is busy with a large version.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.relay_metrics import RelayMetrics
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
# Upstreams that are asked whether the own path works, each in another failure
# domain if possible.
WITNESSES = 3
# Wait before witnesses are asked; two round trips between regions.
WITNESS_DELAY_MS = 120
# Time after the answer of a witness in which the silent upstream may still
# answer; round trips differ by up to 60 ms.
ANSWER_GRACE_MS = 70
# A probe stays open until the witnesses' answers are in.
PROBE_ANSWER_MAX_MS = (
    WITNESS_DELAY_MS + UPSTREAM_PROBE_TIMEOUT_MS + ANSWER_GRACE_MS
)
# Time after which a doubt about the own path ends unless it is renewed.
OWN_PATH_DOUBT_MS = 500

_MS_PER_S = 1000

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
    doubted_ms
        Monotonic time at which all upstreams asked were last found silent.
    """

    clock: Clock
    directory: UpstreamDirectory
    probe: Probe
    log: DecisionLog
    metrics: RelayMetrics
    probes_sent: int = 0
    doubted_ms: float = -math.inf
    _probe_by_instance: dict[str, asyncio.Task[bool]] = field(
        default_factory=dict
    )
    _check_by_instance: dict[str, asyncio.Task[bool]] = field(
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
        task = self._check_by_instance.get(instance)
        if task is None:
            if not self.directory.admit_probe(upstream):
                return True
            task = asyncio.create_task(self._check(upstream))
            self._check_by_instance[instance] = task
            task.add_done_callback(
                lambda _: self._check_by_instance.pop(instance, None)
            )
        return await asyncio.shield(task)

    @property
    def is_own_path_doubted(self) -> bool:
        """Return whether all upstreams asked lately were silent."""
        return self.clock.now_ms() - self.doubted_ms < OWN_PATH_DOUBT_MS

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

    async def _check(self, upstream: Upstream) -> bool:
        started_ms = self.clock.now_ms()
        probe = self._start_probe(upstream)
        await asyncio.wait((probe,), timeout=WITNESS_DELAY_MS / _MS_PER_S)
        if upstream.heard_ms > started_ms:
            return True
        path = asyncio.create_task(self._is_path_working(upstream, started_ms))
        await asyncio.wait((probe, path), return_when=asyncio.FIRST_COMPLETED)
        if upstream.heard_ms > started_ms:
            path.cancel()
            return True
        if not await path:
            self._record_doubt(upstream)
            return True
        # After a stall, its answer may come a little later than the others'.
        await asyncio.wait((probe,), timeout=ANSWER_GRACE_MS / _MS_PER_S)
        if upstream.heard_ms > started_ms:
            return True
        self.directory.record_lost(upstream)
        return False

    async def _is_path_working(
        self, upstream: Upstream, started_ms: float
    ) -> bool:
        """Return whether the own path works, as far as others can tell.

        Bytes of any upstream show it, one round trip after the silent one was
        asked. It counts as working too if there is no other upstream to ask, or
        if the silent one is no longer listed.
        """
        heard_from_ms = started_ms + WITNESS_DELAY_MS / 2
        if self.directory.heard_ms > heard_from_ms:
            return True
        instance = upstream.record.instance
        witnesses = self.directory.witnesses(upstream, WITNESSES)
        if not witnesses or self.directory.get(instance) is not upstream:
            return True
        if await self._does_any_answer(witnesses):
            return True
        return self.directory.heard_ms > heard_from_ms

    async def _does_any_answer(self, witnesses: Iterable[Upstream]) -> bool:
        """Return whether a witness answers in time, once the first one does."""
        pending = {self._probe_under_way(witness) for witness in witnesses}
        end_ms = self.clock.now_ms() + UPSTREAM_PROBE_TIMEOUT_MS
        while pending:
            answered, pending = await asyncio.wait(
                pending,
                timeout=max(end_ms - self.clock.now_ms(), 0) / _MS_PER_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if any(probe.result() for probe in answered):
                return True
            if not answered:
                break
        return False

    def _record_doubt(self, upstream: Upstream) -> None:
        self.metrics.own_path_doubts.increment()
        if not self.is_own_path_doubted:
            self.log.write(
                'own-path-doubted',
                upstream=upstream.record.instance,
                domain=upstream.record.failure_domain,
                detail='neither it nor upstreams of other domains answer; '
                'none is marked lost',
            )
        self.doubted_ms = self.clock.now_ms()

    def _probe_under_way(self, upstream: Upstream) -> asyncio.Task[bool]:
        """Return the probe of an upstream that is under way, or start one."""
        under_way = self._probe_by_instance.get(upstream.record.instance)
        return under_way or self._start_probe(upstream)

    def _start_probe(self, upstream: Upstream) -> asyncio.Task[bool]:
        instance = upstream.record.instance
        probe = asyncio.create_task(self._probe(upstream))
        self._probe_by_instance[instance] = probe
        probe.add_done_callback(lambda _: self._forget_probe(instance, probe))
        return probe

    def _forget_probe(self, instance: str, probe: asyncio.Task[bool]) -> None:
        if self._probe_by_instance.get(instance) is probe:
            self._probe_by_instance.pop(instance)

    async def _probe(self, upstream: Upstream) -> bool:
        self.probes_sent += 1
        started_ms = self.clock.now_ms()
        report = None
        try:
            async with self.clock.timeout_ms(PROBE_ANSWER_MAX_MS):
                report = await self.probe(upstream)
        except TimeoutError:
            report = None
        if report is None:
            # One that asks for a pause was heard, but has no report.
            if upstream.heard_ms < started_ms:
                upstream.unanswered_ms = self.clock.now_ms()
            return False
        upstream.apply_report(report)
        self.directory.record_restarted(upstream, report.started_ms)
        self.directory.record_heard(upstream)
        return True
