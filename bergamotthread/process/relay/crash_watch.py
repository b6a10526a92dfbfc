"""Finds out whether an upstream crashed when its answers break off.

A broken answer alone does not show it: upstreams also spoil single answers, and
connections are reset on the way. Nothing listens at the address of a process
that has ended, so a new connection is refused. A process that falls silent, or
something before it, may go on to accept connections; it has crashed if it is
not heard again before another incarnation replaces it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import xxhash

from bergamotthread.connection.http.upstream_pool import Reachability
from bergamotthread.process.background_tasks import BackgroundTasks
from bergamotthread.process.poison.death_log import DeathNotice, RequestHashes
from bergamotthread.process.poison.fingerprints import RequestFingerprints
from bergamotthread.process.poison.guard import PoisonGuard, QuarantineSink
from bergamotthread.process.poison.limits import (
    PoisonLimits,
    SimultaneousDeaths,
)
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.liveness import STREAM_SILENCE_MS
from bergamotthread.process.relay.relay_metrics import RelayMetrics
from bergamotthread.process.relay.upstreams import (
    Upstream,
    UpstreamDirectory,
    UpstreamRecord,
)

# Deaths closer than this count once against a request. Links delay the end of a
# connection by up to 60 ms; another entry tells of it 50 ms and a round trip
# between regions later.
SIMULTANEOUS_MS = 250
# Time for which a new connection stays open if its upstream has not ended.
STAYS_OPEN_MS = 40
# Time for which an upstream that has fallen silent is watched, and the pause
# between two looks.
SILENT_WATCH_MS = 10_000
SILENT_LOOK_MS = 100
# Time from the first event on for which an attempt must run to count as sound;
# crashes follow the first event within a tenth of a second.
PROGRESS_MIN_MS = 500
# Deaths of any kind, at all entries together, after which a request is
# quarantined that has not been completed.
RELAYED_CHARGED_MAX = 4
# Time after which a quarantined request is tried again, and the factor by which
# it grows each time the trial fails.
RELAYED_QUARANTINE_MS = 120_000
RELAYED_QUARANTINE_GROWTH = 4
RELAYED_LIMITS = PoisonLimits(
    charged_deaths_max=RELAYED_CHARGED_MAX,
    progress_min=PROGRESS_MIN_MS,
    quarantine_ms=RELAYED_QUARANTINE_MS,
    quarantine_growth=RELAYED_QUARANTINE_GROWTH,
    counts_progressed=False,
    correlation=SimultaneousDeaths(SIMULTANEOUS_MS),
)


REFUSES = 'its answers broke off and it refuses connections'
REPLACED = 'it fell silent and another incarnation has replaced it'


class CrashListener(QuarantineSink):
    """Receiver of what this process learns of crashes."""

    def upstream_crashed(self, notice: DeathNotice) -> None:
        """Tell other processes of the crash of an upstream."""

    def request_cleared(self, fingerprint: int, *, completed: bool) -> None:
        """Tell other processes that a suspect content or part is sound.

        Parameters
        ----------
        completed
            Whether an attempt of it was completed, beyond mere progress.
        """


@dataclass
class CrashWatch:
    """Reports attempts to the poison guard, and crashes once they are certain.

    Parameters
    ----------
    connect
        Opens a connection to an address to see whether something listens, and
        whether it stays open for so many milliseconds.
    """

    guard: PoisonGuard
    connect: Callable[[str, float], Awaitable[Reachability]]
    listener: CrashListener
    log: DecisionLog
    metrics: RelayMetrics
    directory: UpstreamDirectory
    _broken_runs_by_instance: dict[str, set[str]] = field(default_factory=dict)
    _tasks: BackgroundTasks = field(default_factory=BackgroundTasks)

    def record_start(
        self,
        upstream: Upstream,
        run: str,
        fingerprints: RequestFingerprints,
        *,
        is_stream: bool,
    ) -> None:
        """Record that an attempt was sent.

        The head of a stream shows that the upstream has begun to run it; a
        plain request shows nothing before its answer.
        """
        instance = upstream.record.instance
        self.guard.record_start(
            instance,
            run,
            fingerprints.content_hash,
            fingerprints.part_hashes,
            has_begun=not is_stream,
        )

    def record_progress(
        self, upstream: Upstream, run: str, progress_ms: float
    ) -> None:
        """Record for how long an attempt has sent events."""
        instance = upstream.record.instance
        cleared = self.guard.record_progress(instance, run, progress_ms)
        self._record_cleared(cleared, run, completed=False)

    def record_end(
        self,
        upstream: Upstream,
        run: str,
        *,
        completed: bool,
        is_whole: bool = True,
    ) -> None:
        """Record that an attempt ended while its upstream was alive.

        Parameters
        ----------
        is_whole
            Whether the attempt began at the start of its request.
        """
        cleared = self.guard.record_end(
            upstream.record.instance,
            run,
            completed=completed,
            is_whole=is_whole,
        )
        self._record_cleared(cleared, run, completed=is_whole)

    def record_broken(self, upstream: Upstream, run: str) -> None:
        """Find out whether the upstream of a broken attempt crashed.

        Until then the attempt counts as running.
        """
        instance = upstream.record.instance
        runs = self._broken_runs_by_instance.get(instance)
        if runs is not None:
            runs.add(run)
            return
        self._broken_runs_by_instance[instance] = {run}
        self._tasks.start(self._check(upstream))

    async def is_listening(self, upstream: Upstream) -> bool:
        """Return whether something listens at the address of an upstream."""
        reachability = await self.connect(upstream.address, STAYS_OPEN_MS)
        return reachability is Reachability.LISTENING

    async def _check(self, upstream: Upstream) -> None:
        record = upstream.record
        heard_ms = upstream.heard_ms
        try:
            reason = await self._crash_reason(upstream, heard_ms)
        finally:
            runs = self._broken_runs_by_instance.pop(record.instance)
        if reason:
            self._record_crash(upstream, heard_ms, reason)
            return
        for run in runs:
            self.guard.record_end(record.instance, run, completed=False)

    async def _crash_reason(self, upstream: Upstream, heard_ms: float) -> str:
        """Return how it is known that an upstream crashed; empty if it is not.

        One that was heard lately is alive if it accepts a connection.

        Parameters
        ----------
        heard_ms
            Monotonic time at which it was last heard before its answer broke.
        """
        record = upstream.record
        runs = self._broken_runs_by_instance[record.instance]
        runs_seen = 0
        end_ms = self.guard.clock.now_ms() + SILENT_WATCH_MS
        while self.guard.clock.now_ms() < end_ms:
            if len(runs) > runs_seen:
                runs_seen = len(runs)
                reachability = await self.connect(record.address, 0)
                if reachability is Reachability.REFUSED:
                    return REFUSES
            silent_ms = self.guard.clock.now_ms() - heard_ms
            if silent_ms < STREAM_SILENCE_MS:
                return ''
            is_replaced = self.directory.is_replaced(record)
            if is_replaced or upstream.is_restarted:
                return REPLACED
            if upstream.heard_ms > heard_ms:
                return ''
            await self.guard.clock.sleep_ms(SILENT_LOOK_MS)
        return ''

    def _record_crash(
        self, upstream: Upstream, heard_ms: float, reason: str
    ) -> None:
        """Record a crash; a silent upstream crashed when it was last heard."""
        record = upstream.record
        now_ms = self.guard.clock.now_ms()
        notice = self.guard.record_death(
            record.instance,
            record.failure_domain,
            _death_id(record),
            heard_ms if reason == REPLACED else now_ms,
        )
        self.metrics.upstream_crashes.increment()
        self.log.write(
            'upstream-crashed',
            upstream=record.instance,
            domain=record.failure_domain,
            service=record.service,
            running=_labels(notice.running),
            waiting=_labels(notice.waiting),
            progressed=_labels(notice.progressed),
            detail=reason,
        )
        if not notice.is_empty:
            self.listener.upstream_crashed(notice)

    def _record_cleared(
        self, cleared: tuple[int, ...], run: str, *, completed: bool
    ) -> None:
        for fingerprint in cleared:
            self.log.write(
                'suspect-cleared',
                fingerprint=f'{fingerprint:016x}',
                run=run,
                detail='completion' if completed else 'progress',
            )
            self.listener.request_cleared(fingerprint, completed=completed)


def _death_id(record: UpstreamRecord) -> int:
    """Return the identifier of an incarnation's death, alike in all entries."""
    name = f'{record.instance}@{record.started_ms}@{record.address}'
    return xxhash.xxh3_64_intdigest(name.encode())


def _labels(requests: Iterable[RequestHashes]) -> str:
    """Return fingerprints as text, those of one request joined by commas."""
    return ' '.join(
        ','.join(f'{one:016x}' for one in hashes) for hashes in sorted(requests)
    )
