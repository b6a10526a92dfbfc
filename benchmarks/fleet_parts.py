"""What a fleet of the benchmarks is made of."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from benchmarks.engine_model import KV_CAPACITY, MAX_RUNNING, Engine
from benchmarks.workload import Job
from bergamotthread.clock import Clock
from bergamotthread.process.generations.poison import (
    PoisonGuard,
    QuarantineSink,
)
from bergamotthread.process.overload.admission import (
    AdmissionGate,
    GateLimits,
    GateRules,
)
from bergamotthread.process.routing.placement import PlacementRequest
from bergamotthread.wire.messages import Quarantine

LOCAL_DELAY_MS = 1
REMOTE_DELAY_MS = 30

GateFactory = Callable[[Clock, GateRules], AdmissionGate]


@dataclass(frozen=True)
class Conditions:
    """What is wrong with the fleet.

    Parameters
    ----------
    report_lag_ms
        Age of a load report when it arrives.
    lost_event_share
        Part of the cache events that never arrive.
    slow_agent, slowdown
        One engine whose steps take `slowdown` times as long.
    """

    report_lag_ms: float = 50
    lost_event_share: float = 0
    slow_agent: str = ''
    slowdown: float = 1


@dataclass(frozen=True)
class Behaviour:
    """What the fleet and its callers do.

    Parameters
    ----------
    guarded
        Whether the entries use overload guard, retry budget and poison guard,
        and withdraw what a caller has given up.
    impatient
        Whether callers give up after `patience_ms` without a token and send
        again what was given up or refused.
    from_zero
        Whether a lost generation starts again without its tokens.
    restart_ms
        Time after which a dead engine is back; 0 for never.
    """

    guarded: bool = True
    impatient: bool = False
    from_zero: bool = False
    restart_ms: float = 0
    poison_team: str = ''
    patience_ms: float = 10_000
    resends_max: int = 3
    resend_delay_ms: float = 1000


NOMINAL = Conditions()
PRODUCT = Behaviour()


@dataclass(frozen=True)
class Loss:
    """Death of engines, noticed by all entries after `detection_ms`."""

    at_ms: float
    agents: tuple[str, ...]
    detection_ms: float


@dataclass
class Generation:
    """One request with its current attempt and the caller's tokens."""

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
    over: bool = False
    poisonous: bool = False
    sent: int = 0
    needed: int = 0

    @property
    def content(self) -> int:
        """Return the fingerprint: poisonous requests share their team's."""
        text = self.job.team if self.poisonous else self.job.generation
        return hash_text(text)


def hash_text(text: str) -> int:
    """Return a number for a text, the same in every run."""
    return int.from_bytes(text.encode(), 'big')


class Agent:
    """Engine with its gate."""

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
        self.alive = True
        self.stepping = False


def bounded_gate(clock: Clock, rules: GateRules) -> AdmissionGate:
    """Return the product's gate with the engine's capacity."""
    limits = GateLimits(max_running=MAX_RUNNING, kv_capacity=KV_CAPACITY)
    return AdmissionGate(clock=clock, limits=limits, rules=rules)


@dataclass
class PeerSink(QuarantineSink):
    """Carries quarantine notices between entries with a delay."""

    entry: int
    after: Callable[[float, Callable[[], None]], None]
    peers: list[PoisonGuard] = field(default_factory=list)

    def quarantined(self, notice: Quarantine) -> None:
        """Tell peers at once."""
        self.send(notice)

    def send(self, notice: Quarantine) -> None:
        """Carry a notice to all peers."""
        for index, peer in enumerate(self.peers):
            if index != self.entry:
                merge = partial(peer.merge, f'entry{self.entry}', notice)
                self.after(REMOTE_DELAY_MS, merge)
