"""Scenarios: routing, overload, engine loss, fairness, poison requests."""

from __future__ import annotations

import functools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from benchmarks.baselines import (
    Baseline,
    LeastCount,
    PowerOfTwo,
    PrefixAffine,
    RandomChoice,
    RoundRobin,
    SizeAware,
    SizeAwareOfTwo,
    UnboundedPrefixView,
    unbounded_gate,
)
from benchmarks.engine_model import saturated_per_s
from benchmarks.figures import Figures, counted_percentile, percentile
from benchmarks.fleet import Fleet
from benchmarks.fleet_parts import (
    NOMINAL,
    PRODUCT,
    Behaviour,
    Conditions,
    GateFactory,
    Loss,
    bounded_gate,
)
from benchmarks.topology import (
    ALL_AGENTS,
    ENTRY_REGIONS,
    ENTRY_WEIGHTS,
    agents_of,
    published_fleet,
)
from benchmarks.workload import TEAMS, Phase, Workload
from bergamotthread.clock import Clock
from bergamotthread.process.routing.placement import Placement
from bergamotthread.process.routing.placement_score import ScoreWeights
from bergamotthread.process.routing.routing import ScoredPlacement

PlacementFactory = Callable[[Clock, int], Placement]

NORMAL_LOAD = 0.8
OVERLOAD = 1.5
WARM_UP_MS = 40_000
MEASURED_MS = 80_000
RECOVERY_WINDOW_S = 10
FIRST_TOKEN_TARGET_MS = 880
BETWEEN_TOKENS_TARGET_MS = 37
RESUME_TARGET_MS = 3000
POISON_PER_S = 0.5
RESTART_MS = 20_000

SLOW = Conditions(slow_agent='r0d0a0', slowdown=3)
LAGGING = Conditions(report_lag_ms=2000)
GAPS = Conditions(lost_event_fraction=0.5)
NAIVE = Behaviour(guarded=False, restarts_from_zero=True)


def scored(clock: Clock, entry: int) -> ScoredPlacement:
    """Return the product's placement."""
    return ScoredPlacement.from_published(
        published_fleet(),
        ENTRY_REGIONS[entry],
        clock,
        seed=entry,
    )


def scored_by_count(clock: Clock, entry: int) -> ScoredPlacement:
    """Return the product's placement without its cost for KV cache use."""
    placement = scored(clock, entry)
    placement.weights = ScoreWeights(kv_full_ms=0)
    return placement


def scored_unbounded(clock: Clock, entry: int) -> ScoredPlacement:
    """Return the product's placement with an unbounded prefix view."""
    placement = scored(clock, entry)
    placement.prefix_view = UnboundedPrefixView()
    return placement


def _baseline(
    kind: Callable[..., Baseline],
    clock: Clock,
    entry: int,
) -> Placement:
    return kind(clock, ALL_AGENTS, seed=entry)


PLACEMENTS: dict[str, PlacementFactory] = {
    'random': functools.partial(_baseline, RandomChoice),
    'round robin': functools.partial(_baseline, RoundRobin),
    'least count': functools.partial(_baseline, LeastCount),
    'power of two': functools.partial(_baseline, PowerOfTwo),
    'size-aware, all': functools.partial(_baseline, SizeAware),
    'size-aware, of two': functools.partial(_baseline, SizeAwareOfTwo),
    'prefix-affine, bounded': functools.partial(_baseline, PrefixAffine),
    'scored, no size term': scored_by_count,
    'scored': scored,
}


@functools.cache
def fleet_per_s() -> float:
    """Return the arrival rate that is 100% load of the fleet."""
    return saturated_per_s() * len(ALL_AGENTS)


def equal_teams(phases: tuple[Phase, ...], seed: int = 7) -> Workload:
    """Return a workload of ten teams with equal arrival rates."""
    return Workload(dict.fromkeys(TEAMS, 1), ENTRY_WEIGHTS, phases, seed)


def phase(duration_ms: float, load: float) -> Phase:
    """Return a phase at `load`, a fraction of the fleet's capacity."""
    return Phase(duration_ms, load * fleet_per_s())


@dataclass(frozen=True)
class LoadCase:
    """One placement at one load under one set of conditions."""

    placement: str
    load: float = NORMAL_LOAD
    conditions: Conditions = NOMINAL
    measured_ms: float = MEASURED_MS
    warm_up_ms: float = WARM_UP_MS


@dataclass(frozen=True)
class LoadRow:
    """Figures of a `LoadCase`.

    `recomputed` is the prefill beyond what is needed, over what is needed;
    `refused` is a fraction of the offered requests.
    """

    first_token_ms: tuple[float, float, float]
    between_p95_ms: float
    imbalance: float
    recomputed: float
    cross_region_mb: float
    refused: float


def run_load(case: LoadCase) -> LoadRow:
    """Measure one placement with the product's admission gate."""
    behaviour = replace(PRODUCT, guarded=case.placement == 'scored')
    fleet = Fleet(
        PLACEMENTS[case.placement],
        bounded_gate,
        case.conditions,
        behaviour,
        case.warm_up_ms,
    )
    until_ms = case.warm_up_ms + case.measured_ms
    workload = equal_teams((phase(until_ms, case.load),))
    figures = fleet.run(workload, until_ms=until_ms)
    return _load_row(figures)


def _load_row(figures: Figures) -> LoadRow:
    first_token_ms = figures.first_token_ms
    extra = figures.prefilled_tokens - figures.needed_tokens
    refused = sum(figures.refused_by_reason.values())
    return LoadRow(
        first_token_ms=(
            percentile(first_token_ms, 0.5),
            percentile(first_token_ms, 0.95),
            percentile(first_token_ms, 0.99),
        ),
        between_p95_ms=counted_percentile(figures.between_tokens_by_ms, 0.95),
        imbalance=sum(figures.imbalances) / len(figures.imbalances),
        recomputed=extra / figures.needed_tokens,
        cross_region_mb=figures.cross_region_bytes / 1e6,
        refused=refused / figures.offered,
    )


@dataclass(frozen=True)
class PooledCase:
    """One placement without overload guards, pooled over several seeds."""

    placement: str
    load: float
    seeds: tuple[int, ...] = (7, 8, 9)


def run_pooled(case: PooledCase) -> tuple[float, float, float]:
    """Return p50, p95 and p99 of the time to first token in ms."""
    until_ms = WARM_UP_MS + MEASURED_MS
    waits: list[float] = []
    for seed in case.seeds:
        fleet = Fleet(
            PLACEMENTS[case.placement],
            bounded_gate,
            NOMINAL,
            replace(PRODUCT, guarded=False),
            WARM_UP_MS,
        )
        workload = equal_teams((phase(until_ms, case.load),), seed)
        waits += fleet.run(workload, until_ms=until_ms).first_token_ms
    return (
        percentile(waits, 0.5),
        percentile(waits, 0.95),
        percentile(waits, 0.99),
    )


@dataclass(frozen=True)
class OverloadCase:
    """Load of 80%, then 150%, then 80%, with callers that retry."""

    placement: PlacementFactory = scored
    gate: GateFactory = bounded_gate
    guarded: bool = True
    before_ms: float = 40_000
    overload_ms: float = 60_000
    after_ms: float = 100_000


@dataclass(frozen=True)
class OverloadRow:
    """Figures of an `OverloadCase`.

    `recovery_s` is the time from the return to 80% load until every later
    window of `RECOVERY_WINDOW_S` meets the first token target and starts 90%
    of the arrivals; None if the fleet does not recover.
    """

    served_per_s: float
    overload_p95_ms: float
    after_p95_ms: float
    recovery_s: int | None
    p95_ms_by_second: dict[int, float]
    served_by_second: dict[int, int]


def run_overload(case: OverloadCase) -> OverloadRow:
    """Measure an overload and the recovery from it."""
    behaviour = Behaviour(guarded=case.guarded, impatient=True)
    fleet = Fleet(case.placement, case.gate, NOMINAL, behaviour)
    phases = (
        phase(case.before_ms, NORMAL_LOAD),
        phase(case.overload_ms, OVERLOAD),
        phase(case.after_ms, NORMAL_LOAD),
    )
    until_ms = sum(part.duration_ms for part in phases)
    figures = fleet.run(equal_teams(phases), until_ms=until_ms)
    start = int(case.before_ms // 1000)
    overload_end = start + int(case.overload_ms // 1000)
    end = int(until_ms // 1000)
    served = figures.served_by_second
    overloaded = sum(served[second] for second in range(start, overload_end))
    return OverloadRow(
        served_per_s=overloaded / (overload_end - start),
        overload_p95_ms=_first_token_p95(figures, start, overload_end),
        after_p95_ms=_first_token_p95(
            figures, end - 3 * RECOVERY_WINDOW_S, end
        ),
        recovery_s=_recovery_s(figures, overload_end, end),
        p95_ms_by_second={
            second: _first_token_p95(figures, second - 5, second)
            for second in range(5, end, 5)
        },
        served_by_second={
            second: sum(served[past] for past in range(second - 5, second))
            for second in range(5, end, 5)
        },
    )


def _first_token_p95(figures: Figures, start_s: int, end_s: int) -> float:
    by_second = figures.first_token_by_second
    waits = [
        wait_ms
        for second in range(start_s, end_s)
        for wait_ms in by_second.get(second, ())
    ]
    return percentile(waits, 0.95)


def _recovery_s(figures: Figures, back_s: int, end_s: int) -> int | None:
    recovered: int | None = None
    for start_s in range(end_s - RECOVERY_WINDOW_S, back_s - 1, -1):
        stop_s = start_s + RECOVERY_WINDOW_S
        started = sum(
            len(figures.first_token_by_second.get(second, ()))
            for second in range(start_s, stop_s)
        )
        offered = figures.offered_by_second
        needed = 0.9 * sum(offered[second] for second in range(start_s, stop_s))
        p95_ms = _first_token_p95(figures, start_s, stop_s)
        if started < needed or p95_ms > FIRST_TOKEN_TARGET_MS:
            return recovered
        recovered = start_s - back_s
    return recovered


@dataclass(frozen=True)
class LossCase:
    """Death of a fifth of the engines at 80% load.

    The dead engines are one failure domain, or every fifth if `scattered`.
    """

    scattered: bool = False
    detection_ms: float = 1000
    naive: bool = False
    seeds: tuple[int, ...] = (7, 8, 9)
    warm_up_ms: float = 60_000


@dataclass(frozen=True)
class LossRow:
    """Figures of a `LossCase`, pooled over its seeds.

    `resume_ms` holds p50, p95 and the maximum of the time from the loss to the
    first token that the caller did not have yet. Time between tokens and time
    to first token cover the `RECOVERY_WINDOW_S` that follow the loss.
    """

    resumed: int
    unresumed: int
    resume_ms: tuple[float, float, float]
    between_p95_ms: float
    first_token_p95_ms: float
    refused: int


def run_loss(case: LossCase) -> LossRow:
    """Measure the resumes after a loss of engines."""
    dead = ALL_AGENTS[::5] if case.scattered else agents_of('r0d1')
    loss = Loss(case.warm_up_ms, dead, case.detection_ms)
    until_ms = case.warm_up_ms + 3 * RECOVERY_WINDOW_S * 1000
    lost_s = int(case.warm_up_ms // 1000)
    resume_ms: list[float] = []
    waits: list[float] = []
    between_tokens: Counter[int] = Counter()
    refused = 0
    unresumed = 0
    for seed in case.seeds:
        fleet = _loss_fleet(case)
        workload = equal_teams((phase(until_ms, NORMAL_LOAD),), seed)
        figures = fleet.run(workload, (loss,), until_ms=until_ms)
        resume_ms += figures.resume_ms
        refused += sum(figures.refused_by_reason.values())
        unresumed += figures.lost + fleet.unresumed_count()
        for second in range(lost_s, lost_s + RECOVERY_WINDOW_S):
            waits += figures.first_token_by_second.get(second, [])
            between_tokens += figures.between_by_second.get(second, Counter())
    return LossRow(
        resumed=len(resume_ms),
        unresumed=unresumed,
        resume_ms=(
            percentile(resume_ms, 0.5),
            percentile(resume_ms, 0.95),
            max(resume_ms),
        ),
        between_p95_ms=counted_percentile(between_tokens, 0.95),
        first_token_p95_ms=percentile(waits, 0.95),
        refused=refused,
    )


def _loss_fleet(case: LossCase) -> Fleet:
    if case.naive:
        return Fleet(
            PLACEMENTS['round robin'],
            unbounded_gate,
            NOMINAL,
            NAIVE,
            case.warm_up_ms,
        )
    return Fleet(scored, bounded_gate, warm_up_ms=case.warm_up_ms)


@dataclass(frozen=True)
class FairnessCase:
    """One team that sends `factor` times its equal part of `load`."""

    load: float
    factor: float
    guarded: bool = True
    seeds: tuple[int, ...] = (7, 8, 9)
    measured_ms: float = MEASURED_MS


@dataclass(frozen=True)
class FairnessRow:
    """Figures of the nine other teams, and the rate served to the large one."""

    small_p95_ms: float
    small_refused: float
    large_served_per_s: float


def run_fairness(case: FairnessCase) -> FairnessRow:
    """Measure the effect of one team's excess load on the other teams."""
    weights = dict.fromkeys(TEAMS, float(1)) | {TEAMS[0]: case.factor}
    scale = sum(weights.values()) / len(TEAMS)
    until_ms = WARM_UP_MS + case.measured_ms
    small: list[float] = []
    large = 0
    offered = 0
    refused = 0
    for seed in case.seeds:
        behaviour = replace(PRODUCT, guarded=case.guarded)
        fleet = Fleet(scored, bounded_gate, NOMINAL, behaviour, WARM_UP_MS)
        phases = (phase(until_ms, case.load * scale),)
        workload = Workload(weights, ENTRY_WEIGHTS, phases, seed)
        figures = fleet.run(workload, until_ms=until_ms)
        by_team = figures.first_token_ms_by_team
        large += len(by_team.get(TEAMS[0], ()))
        for team in TEAMS[1:]:
            small += by_team.get(team, [])
            offered += figures.offered_by_team[team]
            refused += figures.refused_by_team[team]
    seconds = len(case.seeds) * case.measured_ms / 1000
    return FairnessRow(
        small_p95_ms=percentile(small, 0.95),
        small_refused=refused / offered,
        large_served_per_s=large / seconds,
    )


@dataclass(frozen=True)
class PoisonCase:
    """A team that repeats one request, which kills the engine that runs it."""

    guarded: bool = True
    measured_ms: float = MEASURED_MS
    warm_up_ms: float = WARM_UP_MS


@dataclass(frozen=True)
class PoisonRow:
    """Figures of a `PoisonCase`; `lost` counts answers of other teams."""

    deaths_by_region: dict[str, int]
    sent: int
    refused_poison: int
    refused_innocent: int
    lost: int
    resumed: int
    first_token_p95_ms: float


def run_poison(case: PoisonCase) -> PoisonRow:
    """Measure a poison request that is repeated under load at all entries."""
    weights = dict.fromkeys(TEAMS, float(1))
    normal_per_s = NORMAL_LOAD * fleet_per_s()
    weights['poison'] = POISON_PER_S / normal_per_s * len(TEAMS)
    until_ms = case.warm_up_ms + case.measured_ms
    behaviour = Behaviour(
        guarded=case.guarded,
        poison_team='poison',
        restart_ms=RESTART_MS,
    )
    fleet = Fleet(scored, bounded_gate, NOMINAL, behaviour, case.warm_up_ms)
    workload = Workload(
        weights,
        ENTRY_WEIGHTS,
        (phase(until_ms, NORMAL_LOAD),),
        start_ms_by_team={'poison': case.warm_up_ms},
    )
    figures = fleet.run(workload, until_ms=until_ms)
    quarantined = figures.quarantined_teams
    small = [
        wait_ms
        for team in TEAMS
        for wait_ms in figures.first_token_ms_by_team.get(team, ())
    ]
    return PoisonRow(
        deaths_by_region=dict(sorted(figures.deaths_by_region.items())),
        sent=figures.offered_by_team['poison'],
        refused_poison=quarantined['poison'],
        refused_innocent=quarantined.total() - quarantined['poison'],
        lost=figures.lost_innocent,
        resumed=len(figures.resume_ms),
        first_token_p95_ms=percentile(small, 0.95),
    )
