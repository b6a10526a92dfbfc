"""Entry process on the users' platform, built from its components."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.platform.build_relay import BuildRelay
from bergamotthread.platform.crash_parts import CrashParts
from bergamotthread.platform.entry_gauges import EntryState
from bergamotthread.platform.headers import PLATFORM_DIALECT
from bergamotthread.platform.leaving_relay import LeavingRelay
from bergamotthread.platform.limit_parts import LimitParts
from bergamotthread.platform.limit_relay import LimitRelay
from bergamotthread.platform.machine_use import MachineUse
from bergamotthread.platform.peer_messages import PeerMessages
from bergamotthread.platform.relayed_feed import RelayedFeedServer
from bergamotthread.platform.rollout_parts import RolloutParts
from bergamotthread.platform.runner_calls import RunnerClient
from bergamotthread.platform.runner_watch import RunnerWatch
from bergamotthread.platform.settings import (
    PlatformSettings,
    PlatformSettingsError,
    load_settings,
)
from bergamotthread.platform.store import PlatformStoreClient
from bergamotthread.platform.table_watch import WatchContext
from bergamotthread.platform.watches import EntryWatch, VersionWatch
from bergamotthread.process.relay.choice import UpstreamChoice
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.feed_sources import FeedSources
from bergamotthread.process.relay.freshness import VersionFreshness
from bergamotthread.process.relay.lasting_tasks import LastingTasks
from bergamotthread.process.relay.life_cycle import LifeCycle
from bergamotthread.process.relay.liveness import LivenessWatch
from bergamotthread.process.relay.pause_recorder import PauseRecorder
from bergamotthread.process.relay.pauses import UpstreamPauses
from bergamotthread.process.relay.plain_gate import PlainGate
from bergamotthread.process.relay.relay_metrics import RelayMetrics
from bergamotthread.process.relay.repeat_budget import ServiceRetryBudget
from bergamotthread.process.relay.servers import (
    RelayServer,
    StatusServer,
    listen,
)
from bergamotthread.process.relay.stream_gate import StreamGate
from bergamotthread.process.relay.upstreams import UpstreamDirectory
from bergamotthread.process.relay.version_holder import RouteTableHolder
from bergamotthread.process.rollouts.gate import NoRollouts
from bergamotthread.request.relay.admission import Admission
from bergamotthread.request.relay.leaving_notices import LeavingNotices
from bergamotthread.request.relay.limit_notices import LimitNotices
from bergamotthread.request.relay.parts import RelayParts

READY_PATH = b'/api/ready'
METRICS_PATH = b'/metrics'
HOUSEKEEPING_INTERVAL_MS = 200
# Time for the final answers to requests in flight; the margin before the kill
# covers it and the housekeeping interval.
FINAL_ANSWERS_MS = 20
# The slack of the retry budget is divided by at least this many entries, which
# allows for entries that have not registered yet.
ENTRIES_MIN = 8


@dataclass(frozen=True)
class _Watches:
    version: VersionWatch
    runners: RunnerWatch
    entries: EntryWatch


class PlatformEntry:
    """One entry process: servers, watches on the store, and shared state."""

    def __init__(
        self,
        settings: PlatformSettings,
        clock: Clock,
        log: DecisionLog | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._log = log or DecisionLog(clock, settings.host)
        self._rng = rng or random.Random()
        self._holder = RouteTableHolder()
        self._life_cycle = LifeCycle(clock, settings.stop_grace_ms)
        self._freshness = VersionFreshness(clock, settings.revoke_bound_ms)
        self._pool = UpstreamPool(clock, PLATFORM_DIALECT.request_id)
        self._use = MachineUse.from_limits(
            clock, settings.machine, self._pool, self._log
        )
        self._feeds = FeedSources(clock, settings.host, settings.region)
        self._limit_parts = LimitParts.from_connections(
            self._pool,
            self._feeds,
            f'{settings.ip}:{settings.peer_port}',
            self._rng,
        )
        self._directory = UpstreamDirectory(
            clock,
            pauses=UpstreamPauses(self._rng, lambda: len(self._feeds)),
            limits=self._limit_parts.limits,
        )
        self._store = PlatformStoreClient(settings.store_address, self._pool)
        self._rollouts = self._make_rollouts()
        self._parts = self._make_relay_parts()
        self._server = RelayServer(
            clock,
            self._holder,
            Admission(
                clock,
                PLATFORM_DIALECT,
                self._freshness,
                self._rng,
            ),
            self._parts,
            self._life_cycle,
            self._use.held,
            self._use.load,
        )
        self._store.eras.listeners.append(self._handle_new_era)
        self._watches = self._make_watches()
        self._add_gauges()

    def handle_signals(self) -> None:
        """Start the drain on SIGTERM and reload the settings on SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    async def run(self) -> None:
        """Serve until the process is asked to stop and has drained."""
        self._log.write('start', domain=self._settings.failure_domain)
        await self._listen()
        watches = self._watches
        tasks = LastingTasks(self._clock, self._log)
        for name, run in (
            ('version', watches.version.run),
            ('upstreams', watches.runners.run),
            ('entries', watches.entries.run),
            ('registration', watches.entries.register),
            ('leaving', self._leaving_relay.run),
            ('crashes', self._crashes.run),
            ('limits', self._limit_parts.run),
            ('builds', self._build_relay.run),
            ('limit-notices', self._limit_relay.run),
        ):
            tasks.start(name, run)
        if self._rollouts is not None:
            tasks.start('rollouts', self._rollouts.relay.run)
        while not self._is_finished():
            await tasks.step_after(
                'housekeeping', HOUSEKEEPING_INTERVAL_MS, self._keep_house
            )
        self._server.end_requests()
        await self._clock.sleep_ms(FINAL_ANSWERS_MS)
        tasks.cancel()
        self._log.write('stop', in_flight=self._server.in_flight)
        self._log.flush()

    def stop(self) -> None:
        """Start the drain."""
        self._life_cycle.stop()
        self._log.write('drain', in_flight=self._server.in_flight)

    def reload(self) -> None:
        """Read the settings file again and apply what may change at run time.

        Names and addresses of the process stay until its next start. Settings
        that can't be used change nothing.
        """
        try:
            settings = load_settings()
        except PlatformSettingsError as error:
            self._log.write('reload-failed', detail=str(error))
            return
        changed = self._settings.changed_names(settings)
        fixed = self._settings.fixed_names(changed)
        self._log.write(
            'reload',
            changed=' '.join(sorted(changed)),
            from_next_start=' '.join(sorted(fixed)),
        )
        self._apply_settings(settings)

    def _apply_settings(self, settings: PlatformSettings) -> None:
        self._settings = settings.keep_fixed(self._settings)
        self._life_cycle.grace_ms = settings.stop_grace_ms
        self._freshness.revoke_bound_ms = settings.revoke_bound_ms
        self._store.address = settings.store_address
        self._parts.retry_budget.limits = settings.retry_limits
        self._parts.choice.region_by_domain = settings.region_by_domain
        if self._rollouts is not None and settings.exposure is not None:
            self._rollouts.home.bound = settings.exposure

    def _handle_new_era(self, former: int, era: int) -> None:
        """Log that the store came back older, and end backoffs."""
        self._feeds.forget_failures()
        self._crashes.rows.save_all_again()
        table = self._holder.table
        self._log.write(
            'store-era',
            former=former,
            era=era,
            version_in_force=None if table is None else table.version,
            version_age_ms=self._freshness.age_ms,
        )

    def _keep_house(self, late_ms: float) -> None:
        self._parts.metrics.loop_stall_ms.record(late_ms)
        self._use.measure(late_ms)
        self._pool.close_stale()
        if self._life_cycle.is_out_of_rotation:
            self._server.close_idle()

    def _is_finished(self) -> bool:
        if self._life_cycle.must_end:
            return True
        return (
            self._life_cycle.is_out_of_rotation and not self._server.connections
        )

    async def _listen(self) -> None:
        settings = self._settings
        status_server = StatusServer(
            self._clock,
            {
                READY_PATH: self._readiness_response,
                METRICS_PATH: self._metrics_response,
            },
        )
        await listen(self._server, settings.front, self._use.held)
        await listen(status_server, settings.ready)
        await listen(status_server, f'{settings.ip}:{settings.metrics_port}')
        feed_server = RelayedFeedServer(
            self._clock,
            {
                watch.table: watch.history
                for watch in (
                    self._watches.version,
                    self._watches.runners,
                    self._watches.entries,
                )
            },
            answer_by_path={
                **self._leaving_relay.answer_by_path,
                **self._crashes.answer_by_path,
                **self._limit_parts.answer_by_path,
                **self._build_relay.answer_by_path,
                **self._limit_relay.answer_by_path,
                **(
                    self._rollouts.relay.answer_by_path
                    if self._rollouts
                    else {}
                ),
            },
        )
        await listen(
            feed_server, f'{settings.ip}:{settings.peer_port}', self._use.held
        )

    def _readiness_response(self) -> tuple[int, str]:
        is_ready = (
            self._life_cycle.is_ready
            and self._freshness.is_ready
            and self._use.load.is_ready
        )
        return (200 if is_ready else 503), ''

    def _metrics_response(self) -> tuple[int, str]:
        return 200, self._parts.metrics.registry.expose()

    def _add_gauges(self) -> None:
        state = EntryState(
            self._server,
            self._parts,
            self._freshness,
            self._store,
            self._watches.entries,
            self._log,
            self._use.held,
            self._use.load,
        )
        state.add_gauges()
        if self._rollouts is not None:
            self._rollouts.add_gauges(self._parts.metrics.registry)

    def _entry_count(self) -> int:
        return max(len(self._feeds), ENTRIES_MIN)

    def _make_relay_parts(self) -> RelayParts:
        settings = self._settings
        metrics = RelayMetrics.from_clock(self._clock)
        leaving = LeavingNotices(self._directory, PLATFORM_DIALECT, self._log)
        peers = PeerMessages(self._pool)
        self._leaving_relay = LeavingRelay(
            self._clock, peers, self._feeds, leaving, self._log
        )
        leaving.listeners.append(self._leaving_relay.add)
        self._crashes = CrashParts.from_connections(
            self._pool,
            self._store,
            self._feeds,
            self._log,
            metrics,
            self._rng,
            self._directory,
        )
        pauses = PauseRecorder(self._directory, self._log, metrics)
        limits = LimitNotices(
            self._directory, PLATFORM_DIALECT, self._log, metrics
        )
        self._limit_relay = LimitRelay.from_peers(
            peers, self._feeds, self._rng, limits
        )
        runners = RunnerClient(self._pool, self._clock, leaving, limits, pauses)
        self._build_relay = BuildRelay.from_directory(
            peers, self._feeds, self._directory, self._store, self._log
        )
        return RelayParts(
            clock=self._clock,
            pool=self._pool,
            directory=self._directory,
            choice=UpstreamChoice(
                self._directory,
                settings.failure_domain,
                settings.region_by_domain,
                self._rng,
            ),
            retry_budget=ServiceRetryBudget(
                self._clock, settings.retry_limits, self._entry_count
            ),
            stream_gate=StreamGate(
                self._clock, self._rng, lambda: len(self._feeds)
            ),
            plain_gate=PlainGate(
                self._clock, self._rng, lambda: len(self._feeds)
            ),
            liveness=LivenessWatch(
                self._clock,
                self._directory,
                runners.report,
                self._log,
                metrics,
            ),
            pauses=pauses,
            crashes=self._crashes.watch,
            kv_cache=runners,
            header_names=PLATFORM_DIALECT,
            leaving=leaving,
            limits=limits,
            builds=self._build_relay,
            log=self._log,
            metrics=metrics,
            rollouts=self._rollouts.gate if self._rollouts else NoRollouts(),
        )

    def _make_rollouts(self) -> RolloutParts | None:
        """Return what carries out roll-outs, where the deployment has them."""
        if self._settings.exposure is None:
            return None
        parts = RolloutParts.from_connections(
            self._settings.exposure,
            self._store,
            self._limit_parts.relay.view,
            self._directory,
            self._holder,
            self._log,
            self._rng,
        )
        self._limit_parts.activities.append(parts.relay.is_active)
        return parts

    def _make_watches(self) -> _Watches:
        sources = WatchContext(
            self._store,
            self._feeds,
            self._clock,
            self._log,
            self._rng,
        )
        settings = self._settings
        own_address = f'{settings.ip}:{settings.peer_port}'
        own_record = self._feeds.own_record(own_address)
        rollouts = self._rollouts
        apply_crashes = self._crashes.rows.apply
        apply_row = (
            rollouts.apply_row_after(apply_crashes)
            if rollouts
            else apply_crashes
        )
        return _Watches(
            VersionWatch(
                sources,
                self._holder,
                self._freshness,
                self._life_cycle,
                rollouts.rows if rollouts else None,
            ),
            RunnerWatch(sources, self._directory, self._pool),
            EntryWatch(sources, own_record, apply_row),
        )
