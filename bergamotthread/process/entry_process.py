"""Entry process: assembles and runs the parts of one entry.

An entry accepts requests from callers and sends them to agents.
"""

from __future__ import annotations

import asyncio
import secrets

from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.connection.http_server import HttpServer
from bergamotthread.connection.transport import Transport
from bergamotthread.connection.zmq_transport import ZmqTransport
from bergamotthread.errors import StoreUnavailableError
from bergamotthread.platform.tables import open_store
from bergamotthread.process.calls.call_cleaner import CallCleaner
from bergamotthread.process.calls.call_runner import CallRunner
from bergamotthread.process.calls.kept_call_rows import KeptCallRows
from bergamotthread.process.drain.drain_report import DrainReporter
from bergamotthread.process.drain.drain_runner import DrainRunner
from bergamotthread.process.drain.drain_state import DrainState
from bergamotthread.process.entry_app import EntryApp, EntryParts
from bergamotthread.process.entry_control import (
    ControlSources,
    EntryControl,
)
from bergamotthread.process.entry_metrics import EntryMetrics
from bergamotthread.process.explanations.audit import AuditTrail
from bergamotthread.process.explanations.audit_sinks import (
    OrderAudit,
    QuarantineAudit,
)
from bergamotthread.process.explanations.decision_trace import DecisionTrace
from bergamotthread.process.explanations.explanation_batch import new_writer_id
from bergamotthread.process.explanations.explanation_metrics import (
    add_explanation_metrics,
)
from bergamotthread.process.explanations.explanations import Explanations
from bergamotthread.process.explanations.refusal_recorder import RefusalRecorder
from bergamotthread.process.generations.completions import Completions
from bergamotthread.process.generations.generation_guards import (
    GenerationGuards,
)
from bergamotthread.process.generations.generations import Generations
from bergamotthread.process.generations.quarantines import Quarantines
from bergamotthread.process.http_server import create_http_config
from bergamotthread.process.membership.observers import Observers
from bergamotthread.process.routing.pin_demand import PinDemand
from bergamotthread.process.routing.routing import ScoredPlacement
from bergamotthread.process.settings import EntrySettings
from bergamotthread.process.store.store_client import StoreClient, StoreUse
from bergamotthread.process.transport_metrics import add_transport_metrics
from bergamotthread.request.cursor import CursorSigner
from bergamotthread.version.distribution import VersionHolder
from bergamotthread.version.objects import ObjectSet, Upstream
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import DrainNotice, Envelope, Pin

ENTRY_VERSION_CHECK_INTERVAL_MS = 20
SUBSET_INTERVAL_MS = 1000
_CURSOR_KEY_BYTES = 32


class EntryProcess:
    """Serves callers until its task is cancelled or its drain has ended."""

    def __init__(
        self,
        settings: EntrySettings,
        transport: Transport,
        store: StoreClient,
        clock: Clock,
        publication_store: StoreClient | None = None,
    ) -> None:
        self.transport = transport
        self._publication_store = publication_store or store
        self._settings = settings
        self._store = store
        self._clock = clock
        self._subset_entries: tuple[str, ...] = ()
        self._create_recorders()
        self._create_control()
        self._create_generations()
        self.call_rows = KeptCallRows(
            store.table(StoreUse.CALLS), clock, store.returns
        )
        self.metrics.registry.gauge(
            'call_rows_rewritten',
            'Rows of calls that the store lost and that are written again.',
            lambda: self.call_rows.rewritten_count,
        )
        self.calls = CallRunner(
            self.call_rows,
            store.object_store(StoreUse.CALLS),
            transport,
            clock,
        )
        self._create_drain()
        self.cleaner = CallCleaner(store.table(StoreUse.AUDIT), clock)
        self.app = EntryApp(self._app_parts(), self._recorder, clock)
        self.server = HttpServer(
            create_http_config(
                self.app.starlette(),
                settings,
                clock,
                self._recorder.record_refusal,
            ),
        )

    @classmethod
    def from_settings(
        cls,
        settings: EntrySettings,
        clock: Clock,
    ) -> EntryProcess:
        """Return a process that is bound to its addresses.

        The process uses the platform that the settings name.
        """
        transport = ZmqTransport.from_settings(
            settings.place,
            settings.keys,
            clock,
        )
        store = open_store(settings.platform, clock)
        publication_store = open_store(settings.platform, clock)
        process = cls(settings, transport, store, clock, publication_store)
        add_transport_metrics(process.metrics.registry, transport)
        return process

    async def run(self) -> None:
        """Serve until cancelled."""
        self.transport.start(self.on_message)
        await self.server.start()
        try:
            async with asyncio.TaskGroup() as group:
                for work in (
                    self.versions.run(),
                    self.control.run(),
                    self.call_rows.run(),
                    self.cleaner.run(),
                    self.generations.run(),
                    self.explanations.run(),
                    self.audit.run(),
                    self.quarantines.run(),
                    self._drain.run(),
                    self._follow_versions(),
                    self._follow_membership(),
                ):
                    group.create_task(work)
        finally:
            await self._close()

    async def drain(self) -> None:
        """Refuse new requests and return when the open ones have ended.

        The readiness check of the load balancer fails from now on. Audit
        records and explanations that are still buffered are written.
        """
        self.membership.leave()
        await self._drain.drain_and_wait()
        await self.calls.finish()
        for step in (
            self.explanations.flush,
            self.audit.flush,
            self.versions.close,
        ):
            try:
                await step()
            except StoreUnavailableError as error:
                logging.warning(
                    'shutdown: write failed, store unavailable: %s', error
                )

    def on_message(self, envelope: Envelope) -> None:
        """Pass a message to the parts that handle its type."""
        if self.calls.on_message(envelope):
            return
        self.versions.on_message(envelope)
        self.control.on_message(envelope)
        if isinstance(envelope.message, DrainNotice):
            self.drain_state.apply_notice(envelope.message)
            self._refresh_drain()
        self.quarantines.on_message(envelope)
        self.generations.on_message(envelope)

    def apply_version(self, published: PublishedVersion) -> None:
        """Use a published version from now on, unless it is not newer."""
        if published.version <= self.generations.config_version:
            return
        self.control.apply_version(published)
        self.drain_state.apply_stops(published.object_set.stops)
        self.generations.apply_version(published)

    def _create_control(self) -> None:
        settings = self._settings
        self.demand = PinDemand(self._clock)
        self.control = EntryControl(
            self.transport,
            self._clock,
            settings.place,
            ControlSources(
                table=self._store.table(StoreUse.LEASES),
                hosts=self._store.hosts(),
                peers=settings.peers,
                config_version=self._version,
                demand=self.demand.requests_per_s,
                on_order=OrderAudit(
                    self.audit,
                    self.transport.address,
                    self._version,
                ).order_sent,
            ),
        )
        self.membership = self.control.membership
        self.versions = VersionHolder(
            self._publication_store.table(StoreUse.PUBLICATION),
            self._publication_store.object_store(StoreUse.PUBLICATION),
            self.transport,
            self._clock,
            self._peers,
            place=settings.place,
        )

    def _create_drain(self) -> None:
        self.drain_state = DrainState(self._clock, self.transport.address)
        reporter = DrainReporter(
            self._store.table(StoreUse.LEASES),
            self._clock,
            self.transport.address,
            self.transport.incarnation,
        )
        self._drain = DrainRunner(
            self.drain_state,
            reporter,
            self._remaining_work,
            self._refresh_drain,
            self._clock,
        )

    def _remaining_work(self) -> tuple[str, ...]:
        if self.app.open_requests:
            return (f'{self.app.open_requests} requests',)
        return ()

    def _refresh_drain(self) -> None:
        self.app.draining = not self.drain_state.may_dispatch()

    def _create_recorders(self) -> None:
        audit_store = self._store.object_store(StoreUse.AUDIT)
        self.explanations = Explanations(
            audit_store,
            self._clock,
            new_writer_id(),
        )
        self.metrics = EntryMetrics(self._clock)
        add_explanation_metrics(self.metrics.registry, self.explanations)
        self._recorder = RefusalRecorder(self.explanations, self.metrics)
        self.audit = AuditTrail(
            audit_store,
            self._clock,
            self.transport.address,
        )

    def _create_generations(self) -> None:
        self.quarantines = Quarantines(
            self.transport,
            self._store.table(StoreUse.CALLS),
            QuarantineAudit(self.audit, self._version),
            self._peers,
            self._clock,
        )
        guards = GenerationGuards(self._clock, self.quarantines.publisher)
        self.quarantines.guard = guards.poison
        empty = PublishedVersion.from_object_set(0, ObjectSet())
        self.placement = ScoredPlacement.from_published(
            empty,
            self._settings.place.region,
            self._clock,
            self._subset,
        )
        self.generations = Generations(
            self.transport,
            self.placement,
            self._clock,
            guards=guards,
            observers=Observers(
                self.metrics,
                self.demand,
                DecisionTrace(self._clock),
            ),
        )
        self.completions = Completions(
            self.generations,
            CursorSigner(_cursor_keys(self._settings)),
            self._clock,
            self._recorder.record_refusal,
        )

    def _app_parts(self) -> EntryParts:
        return EntryParts(
            completions=self.completions,
            generations=self.generations,
            versions=self.versions,
            calls=self.calls,
            teams=self.control.limits,
            explanations=self.explanations,
            metrics=self.metrics,
            region=self._settings.place.region,
            put_in_force=self.apply_version,
        )

    def _version(self) -> int:
        return self.versions.version

    def _peers(self) -> tuple[str, ...]:
        """Return the live entries, or the configured peers if none is known."""
        return self.membership.responsive_entries() or self._settings.peers

    def _subset(
        self,
        pin: Pin,
        upstreams: tuple[Upstream, ...],
    ) -> tuple[Upstream, ...]:
        """Return the upstreams that this entry sends requests to."""
        agents = frozenset(self.control.subset(pin.model))
        return tuple(
            upstream for upstream in upstreams if upstream.agent in agents
        )

    async def _follow_versions(self) -> None:
        """Apply each newer version, also while no request arrives."""
        while True:
            published = self.versions.current
            if published is not None:
                self.apply_version(published)
            self.completions.evict_released()
            await self._clock.sleep_ms(ENTRY_VERSION_CHECK_INTERVAL_MS)

    async def _follow_membership(self) -> None:
        """Choose the subset of upstreams again when the live entries change."""
        while True:
            await self._clock.sleep_ms(SUBSET_INTERVAL_MS)
            entries = self.membership.live_entries()
            published = self.versions.current
            if published is not None and entries != self._subset_entries:
                self._subset_entries = entries
                self.placement.publish(published)

    async def _close(self) -> None:
        await self.server.abort()
        self.transport.close()
        self._store.close()
        self._publication_store.close()


def _cursor_keys(settings: EntrySettings) -> tuple[bytes, ...]:
    """Return the configured cursor keys, or a random one if there are none.

    Cursors signed with a random key are valid at this process only.
    """
    keys = tuple(bytes.fromhex(key) for key in settings.keys.cursor_keys)
    return keys or (secrets.token_bytes(_CURSOR_KEY_BYTES),)
