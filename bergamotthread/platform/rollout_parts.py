"""Components that carry out the operator's roll-outs, put together."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from bergamotthread.platform.lease_relay import PeerView
from bergamotthread.platform.peer_messages import PeerMessages
from bergamotthread.platform.region_messages import RegionMessages
from bergamotthread.platform.rollout_home import RolloutHome
from bergamotthread.platform.rollout_relay import RolloutRelay
from bergamotthread.platform.rollout_rows import RolloutRows
from bergamotthread.platform.store import PlatformStoreClient, StoredRow
from bergamotthread.process.metrics import Metrics
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.upstreams import UpstreamDirectory
from bergamotthread.process.relay.version_holder import RouteTableHolder
from bergamotthread.process.rollouts.decider import RolloutFigures
from bergamotthread.process.rollouts.order import ExposureBound
from bergamotthread.process.rollouts.participant import RolloutParticipant

_ReadFigure = Callable[[RolloutFigures], float]
_Gauge = tuple[str, str, _ReadFigure]


@dataclass(frozen=True)
class RolloutParts:
    """Gate of the relays, rows and messages of roll-outs at one entry."""

    gate: RolloutParticipant
    rows: RolloutRows
    relay: RolloutRelay
    home: RolloutHome

    @classmethod
    def from_connections(
        cls,
        bound: ExposureBound,
        store: PlatformStoreClient,
        view: PeerView,
        directory: UpstreamDirectory,
        holder: RouteTableHolder,
        log: DecisionLog,
        rng: random.Random,
    ) -> RolloutParts:
        """Return components that use the connections of an entry."""
        clock = directory.clock
        feeds = view.feeds
        gate = RolloutParticipant(
            feeds.own_host,
            clock,
            lambda service: directory.accepting_by_build(service).keys(),
        )
        rows = RolloutRows(clock, store, log, gate, _KnownServices(holder))
        relay = RolloutRelay(
            RegionMessages(PeerMessages(store.pool), feeds, rng),
            view,
            gate,
            rows,
            rng,
            clock,
        )
        home = RolloutHome(clock, bound, rows, directory, view, relay.tell)
        relay.home = home
        store.eras.listeners.append(relay.handle_new_era)
        return cls(gate, rows, relay, home)

    def add_gauges(self, registry: Metrics) -> None:
        """Add what the entry that decides knows of each roll-out."""
        registry.labelled_gauge(
            'relay_rollout_active',
            'Roll-outs that this entry follows.',
            'service',
            lambda: {order.service: 1 for order in self.gate.active_orders},
        )
        registry.labelled_gauge(
            'relay_rollout_used_again',
            'Services whose target was rolled back and is used again.',
            'service',
            lambda: {order.service: 1 for order in self.gate.used_again},
        )
        for name, description, read in _GAUGES:
            registry.labelled_gauge(
                f'relay_rollout_{name}',
                f'{description} Known to the entry that decides.',
                'service',
                partial(self._read, read),
            )
        registry.labelled_gauge(
            'relay_rollout_verdict',
            'Phase, and why the roll-out has not ended or how.',
            'verdict',
            lambda: {
                f'{service} {figures.phase.value}: {figures.waits_for}': 1
                for service, figures in self.home.figures().items()
            },
        )

    def apply_row_after(
        self, apply_other: Callable[[StoredRow], bool]
    ) -> Callable[[StoredRow], bool]:
        """Return what applies records, and other rows as `apply_other` does."""
        return lambda row: self.rows.apply_record(row) or apply_other(row)

    def _read(self, read: _ReadFigure) -> dict[str, float]:
        figures = self.home.figures()
        return {service: read(one) for service, one in figures.items()}


_GAUGES: tuple[_Gauge, ...] = (
    ('requests', 'Requests since the order.', lambda one: one.requests),
    ('sent', 'Attempts at the target.', lambda one: one.sent),
    (
        'share',
        'Attempts at the target for each request.',
        lambda one: one.sent / max(one.requests, 1),
    ),
    (
        'counted',
        'Requests that the target may have got.',
        lambda one: one.counted,
    ),
    ('limit', 'Requests that it may have got by now.', lambda one: one.limit),
    (
        'answered',
        'Answers of the target.',
        lambda one: one.target_answered,
    ),
    (
        'excess_bad',
        'Bad answers beyond what the former builds explain.',
        lambda one: one.excess_bad,
    ),
    (
        'log_factor',
        'Logarithm of the largest factor against the target.',
        lambda one: one.log_factor,
    ),
    (
        'former_running',
        'Attempts that run at the former builds.',
        lambda one: one.former_running,
    ),
)


@dataclass(frozen=True)
class _KnownServices:
    """Services of the version in force."""

    holder: RouteTableHolder

    def __call__(self, service: str) -> bool | None:
        """Return whether there is such a service; None without a version."""
        table = self.holder.table
        return None if table is None else service in table.service_by_name
