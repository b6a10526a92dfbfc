"""Objects shared by the relays of one process."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.process.relay.choice import UpstreamChoice
from bergamotthread.process.relay.crash_watch import CrashWatch
from bergamotthread.process.relay.decision_log import DecisionLog
from bergamotthread.process.relay.liveness import LivenessWatch
from bergamotthread.process.relay.pause_recorder import PauseRecorder
from bergamotthread.process.relay.plain_gate import PlainGate
from bergamotthread.process.relay.relay_metrics import RelayMetrics
from bergamotthread.process.relay.repeat_budget import ServiceRetryBudget
from bergamotthread.process.relay.stream_gate import StreamGate
from bergamotthread.process.relay.upstreams import UpstreamDirectory
from bergamotthread.process.rollouts.gate import NoRollouts, RolloutGate
from bergamotthread.request.relay.build_source import BuildSource
from bergamotthread.request.relay.dialect import RelayHeaderNames
from bergamotthread.request.relay.engine_memory import EngineKvCache
from bergamotthread.request.relay.leaving_notices import LeavingNotices
from bergamotthread.request.relay.limit_notices import LimitNotices


@dataclass(frozen=True)
class RelayParts:
    """Dependencies of all relays, created once for each process."""

    clock: Clock
    pool: UpstreamPool
    directory: UpstreamDirectory
    choice: UpstreamChoice
    retry_budget: ServiceRetryBudget
    stream_gate: StreamGate
    plain_gate: PlainGate
    liveness: LivenessWatch
    pauses: PauseRecorder
    crashes: CrashWatch
    kv_cache: EngineKvCache
    header_names: RelayHeaderNames
    leaving: LeavingNotices
    limits: LimitNotices
    builds: BuildSource
    log: DecisionLog
    metrics: RelayMetrics
    rollouts: RolloutGate = field(default_factory=NoRollouts)
