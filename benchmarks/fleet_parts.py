"""Parts of the simulated fleet: conditions, agents and generations."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from benchmarks.engine_model import KV_CAPACITY, MAX_RUNNING, Engine
from benchmarks.workload import Job
from bergamotthread.clock import Clock
from bergamotthread.process.overload.admission import (
    AdmissionGate,
    GateLimits,
    GateRules,
)
from bergamotthread.process.poison.guard import PoisonGuard, QuarantineSink
from bergamotthread.process.routing.placement import PlacementRequest
from bergamotthread.wire.messages import Quarantine

LOCAL_DELAY_MS = 1
REMOTE_DELAY_MS = 30

GateFactory = Callable[[Clock, GateRules], AdmissionGate]


@dataclass(frozen=True)
class Conditions:
    """Faults of the simulated fleet.

    Parameters
    ----------
    report_lag_ms
        Age of a load report when it arrives.
    lost_event_fraction
        Fraction of the cache events that never arrive.
    slow_agent, slowdown
        Name of an engine whose steps take `slowdown` times as long.
    """

    report_lag_ms: float = 50
    lost_event_fraction: float = 0
    slow_agent: str = ''
    slowdown: float = 1


@dataclass(frozen=True)
class Behaviour:
    """Protections of the fleet and reactions of its callers.

    Parameters
    ----------
    guarded
        Whether entries use the overload guard, the retry budget and the poison
        guard, and cancel attempts whose caller has given up.
    impatient
        Whether callers give up after `first_token_timeout_ms` without a token,
        and retry requests that they gave up or that were refused.
    restarts_from_zero
        Whether a lost generation restarts without the tokens that it had.
    restart_ms
        Time until a dead engine restarts; 0 for never.
    poison_team
        Team whose requests kill an engine; empty for none.
    first_token_timeout_ms
        Time without a first token after which an impatient caller gives up.
    retries_max, retry_delay_ms
        Retries of an impatient caller, and the least delay before each.
    """

    guarded: bool = True
    impatient: bool = False
    restarts_from_zero: bool = False
    restart_ms: float = 0
    poison_team: str = ''
    first_token_timeout_ms: float = 10_000
    retries_max: int = 3
    retry_delay_ms: float = 1000


NOMINAL = Conditions()
PRODUCT = Behaviour()


@dataclass(frozen=True)
class Loss:
    """Death of engines, detected by all entries after `detection_ms`."""

    at_ms: float
    agents: tuple[str, ...]
    detection_ms: float


@dataclass
class Generation:
    """One request, its current attempt and the tokens its caller has.

    `retries` counts those of the caller, `delivered_tokens` the tokens that
    the caller had at a loss; `lost_ms` is the time of the loss or 0.
    """

    job: Job
    entry: int
    arrived_ms: float
    attempt: int = 0
    agent: str = ''
    produced: int = 0
    declines: int = 0
    excluded: frozenset[str] = frozenset()
    lost_ms: float = 0
    last_token_ms: float = 0
    request: PlacementRequest | None = None
    is_over: bool = False
    is_poisonous: bool = False
    retries: int = 0
    delivered_tokens: int = 0

    @property
    def fingerprint(self) -> int:
        """Return the fingerprint; poison requests of one team share it."""
        text = self.job.team if self.is_poisonous else self.job.generation
        return hash_text(text)


def hash_text(text: str) -> int:
    """Return an integer that is unique to a text, in every process."""
    return int.from_bytes(text.encode(), 'big')


class Agent:
    """Simulated agent: an engine and its admission gate."""

    def __init__(
        self,
        name: str,
        engine: Engine,
        gate: AdmissionGate,
    ) -> None:
        self.name = name
        self.region = name[:2]
        self.domain = name[:4]
        self.engine = engine
        self.gate = gate
        self.is_alive = True
        self.is_stepping = False


def bounded_gate(clock: Clock, rules: GateRules) -> AdmissionGate:
    """Return the product's gate with the limits of the modelled engine."""
    limits = GateLimits(max_running=MAX_RUNNING, kv_capacity=KV_CAPACITY)
    return AdmissionGate(clock=clock, limits=limits, rules=rules)


@dataclass
class PeerSink(QuarantineSink):
    """Propagates quarantine notices to other entries after a delay."""

    entry: int
    after: Callable[[float, Callable[[], None]], None]
    peers: list[PoisonGuard] = field(default_factory=list)

    def quarantined(self, notice: Quarantine) -> None:
        """Propagate a new quarantine to all peers."""
        self.send(notice)

    def send(self, notice: Quarantine) -> None:
        """Send a notice to all peers."""
        for index, peer in enumerate(self.peers):
            if index != self.entry:
                merge = partial(peer.merge, f'entry{self.entry}', notice)
                self.after(REMOTE_DELAY_MS, merge)
