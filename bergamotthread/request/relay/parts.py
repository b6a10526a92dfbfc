"""Objects shared by the relays of one process."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.process.relay.choice import UpstreamChoice
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.liveness import LivenessWatch
from bergamotthread.process.relay.relay_metrics import RelayMetrics
from bergamotthread.process.relay.repeat_budget import RepeatBudget
from bergamotthread.process.relay.upstreams import UpstreamDirectory
from bergamotthread.request.relay.dialect import RelayDialect
from bergamotthread.request.relay.engine_memory import EngineMemory


@dataclass(frozen=True)
class RelayParts:
    """Dependencies of all relays, created once for each process."""

    clock: Clock
    pool: UpstreamPool
    directory: UpstreamDirectory
    choice: UpstreamChoice
    budget: RepeatBudget
    liveness: LivenessWatch
    memory: EngineMemory
    dialect: RelayDialect
    log: DecisionLog
    metrics: RelayMetrics
