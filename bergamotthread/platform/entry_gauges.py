"""Gauges of the state of an entry, among its metrics."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bergamotthread.connection.held_bytes import HeldBytes
from bergamotthread.platform.store import PlatformStoreClient
from bergamotthread.platform.watches import EntryWatch
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.freshness import VersionFreshness
from bergamotthread.process.relay.own_load import OwnLoad
from bergamotthread.process.relay.servers import RelayServer
from bergamotthread.request.relay.parts import RelayParts

_Gauge = tuple[str, str, Callable[[], float]]


@dataclass(frozen=True)
class EntryState:
    """Parts of an entry whose state its metrics show."""

    server: RelayServer
    parts: RelayParts
    freshness: VersionFreshness
    store: PlatformStoreClient
    entries: EntryWatch
    log: DecisionLog
    held: HeldBytes
    load: OwnLoad

    def add_gauges(self) -> None:
        """Add a gauge of each value to the metrics of the entry."""
        registry = self.parts.metrics.registry
        gauges: tuple[_Gauge, ...] = (
            (
                'relay_in_flight',
                'Requests that are being answered.',
                lambda: self.server.in_flight,
            ),
            (
                'relay_held_bytes',
                'Bytes that are held for callers.',
                lambda: self.held.total_bytes,
            ),
            (
                'relay_callers_dropped',
                'Callers that lost what was held for them, for its bound.',
                lambda: self.held.dropped,
            ),
            (
                'relay_own_processor_share',
                'Use of the processor that the settings name.',
                lambda: self.load.processor_share,
            ),
            (
                'relay_own_link_late_ms',
                'Time that the link needs for what was sent.',
                lambda: self.load.link_late_ms,
            ),
            (
                'relay_own_room',
                'Fraction of new work that is taken.',
                lambda: self.load.room,
            ),
            (
                'relay_version_age_ms',
                'Age of the proof of the version.',
                lambda: self.freshness.age_ms,
            ),
            (
                'relay_upstreams',
                'Upstreams that the store lists.',
                lambda: len(self.parts.directory),
            ),
            (
                'relay_upstreams_leaving',
                'Listed upstreams that said that they are leaving.',
                lambda: self.parts.directory.leaving_count,
            ),
            (
                'relay_upstreams_paused',
                'Upstreams that asked for a pause that has not ended.',
                self.parts.directory.paused_count,
            ),
            (
                'relay_upstreams_limited',
                'Upstreams that state a limit on requests.',
                lambda: len(self.parts.directory.limits),
            ),
            (
                'relay_quarantined',
                'Requests that are refused because upstreams crashed.',
                lambda: self.parts.crashes.guard.quarantined_count,
            ),
            (
                'relay_suspects',
                'Requests under which upstreams crashed, not cleared yet.',
                lambda: self.parts.crashes.guard.suspect_count,
            ),
            (
                'relay_queued',
                'Requests that wait for a plain service.',
                self.parts.plain_gate.queued,
            ),
            (
                'store_calls',
                'Calls to the store since the start.',
                lambda: self.store.call_count,
            ),
            (
                'store_era',
                'Era of the store; it rises when the store comes back older.',
                lambda: self.store.eras.known or 0,
            ),
            (
                'store_rows_rewritten',
                'Own rows that the store lost and that are written again.',
                lambda: self.entries.rewritten_count,
            ),
            (
                'upstream_connections_opened',
                'Connections to upstreams, other entries and the store.',
                lambda: self.parts.pool.opened,
            ),
            (
                'upstream_probes',
                'Load reports that were asked for.',
                lambda: self.parts.liveness.probes_sent,
            ),
            (
                'log_lines_waiting_dropped',
                'Lines of the log dropped and not reported yet.',
                lambda: self.log.dropped,
            ),
        )
        for name, description, read_gauge in gauges:
            registry.gauge(name, description, read_gauge)
