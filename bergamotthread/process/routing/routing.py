"""Placement by expected queueing, uncovered prefill and traffic cost."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from bergamotthread.clock import Clock
from bergamotthread.errors import Step
from bergamotthread.process.routing.availability import Availability
from bergamotthread.process.routing.load_view import LoadView
from bergamotthread.process.routing.placement import Placement, PlacementRequest
from bergamotthread.process.routing.placement_score import (
    AttemptSize,
    ScoreWeights,
    region_cost_ms,
    score_ms,
    uncovered_tokens,
)
from bergamotthread.process.routing.prefix_hash import PrefixView
from bergamotthread.process.routing.upstream_pool import (
    SubsetSelector,
    Target,
    UpstreamPool,
)
from bergamotthread.request.refusal import (
    Ran,
    ReasonCode,
    Refusal,
    RefusedError,
)
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import LoadReport, Pin

SAMPLED_CANDIDATES = 4
REMOTE_CANDIDATES = 1
RESUME_CANDIDATES_FACTOR = 2
PREFIX_CANDIDATES = 4
NO_UPSTREAM_RETRY_AFTER_MS = 1000
UTILISATION_INTERVAL_MS = 100
NO_DOMAINS: frozenset[str] = frozenset()


@dataclass
class ScoredPlacement(Placement):
    """Selects the cheapest of a few candidates.

    Candidates are a random sample of the own region, one upstream of another
    region (as many as usual of the own, if that has none), and some agents that
    cache the longest prefix of the prompt. Agents that are unavailable (see
    `Availability`) or excluded are never candidates. Failure domains
    with several recent losses are only used if no other is left; for resumed
    attempts one loss is enough. Resumed attempts sample twice as many
    candidates, so that several entries spread them over many of the remaining
    upstreams.
    """

    clock: Clock
    region: str
    pool: UpstreamPool
    load_view: LoadView
    prefix_view: PrefixView = field(default_factory=PrefixView)
    weights: ScoreWeights = ScoreWeights()
    subset: SubsetSelector | None = None
    seed: int = 0

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)
        self._availability = Availability(
            self.clock,
            self.pool,
            self.load_view,
        )
        self._utilisation_by_pin: dict[Pin, tuple[float, float]] = {}

    @classmethod
    def from_published(
        cls,
        published: PublishedVersion,
        region: str,
        clock: Clock,
        subset: SubsetSelector | None = None,
        *,
        seed: int = 0,
    ) -> ScoredPlacement:
        """Return a placement for the upstreams of a version."""
        return cls(
            clock=clock,
            region=region,
            pool=UpstreamPool.from_published(published, subset),
            load_view=LoadView(clock),
            subset=subset,
            seed=seed,
        )

    def publish(self, published: PublishedVersion) -> None:
        """Switch to a newer version; load estimates are kept."""
        self.pool = UpstreamPool.from_published(published, self.subset)
        self._availability.pool = self.pool

    def mark_leaving(self, agents: frozenset[str]) -> None:
        """Set the agents that the platform's host list shows as leaving."""
        self._availability.leaving = agents

    def choose(self, request: PlacementRequest) -> str:
        """Return the candidate with the lowest score."""
        losses_max = 0 if request.resume else 1
        avoided = self._availability.avoided_domains(losses_max)
        if request.avoid_domain_of:
            avoided |= {self.failure_domain(request.avoid_domain_of)}
        candidates = self._candidates(request, avoided)
        if not candidates and avoided:
            candidates = self._candidates(request, NO_DOMAINS)
        if not candidates:
            raise RefusedError(self._refusal(request))
        return min(
            candidates,
            key=lambda target: self.score_ms(request, target),
        ).agent

    def eligible_targets(
        self,
        request: PlacementRequest,
        avoided: frozenset[str] = NO_DOMAINS,
    ) -> tuple[Target, ...]:
        """Return all targets that may run an attempt now.

        Parameters
        ----------
        avoided
            Failure domains whose targets are left out.
        """
        return tuple(
            target
            for target in self.pool.targets_by_pin.get(request.pin, ())
            if self._is_eligible(request, target, avoided)
        )

    def score_ms(self, request: PlacementRequest, target: Target) -> float:
        """Return the cost of a target in milliseconds; lower is better."""
        load = self.load_view.estimate(target.agent)
        score = score_ms(
            self._attempt_size(target.agent, request),
            load,
            target,
            self.weights,
        )
        if target.region == self.region:
            return score
        price = self.pool.egress_price_by_region.get(self.region, 0)
        return score + region_cost_ms(request, price, self.weights)

    def accepts(self, agent: str) -> bool:
        """Return whether an agent is available for new work."""
        return self._availability.accepts(agent)

    def failure_domain(self, agent: str) -> str:
        """Return the failure domain of an agent, empty if unknown."""
        return self.pool.failure_domain_of(agent)

    def utilisation(self, pin: Pin) -> float:
        """Return the attempts per slot of the own region's live upstreams.

        Attempts that are running, queued, or sent and not yet reported are
        counted. If the own region has no live upstream, those of other regions
        are used. The value is cached for `UTILISATION_INTERVAL_MS`.
        """
        now_ms = self.clock.now_ms()
        measured_ms, utilisation = self._utilisation_by_pin.get(pin, (0, 0))
        if not measured_ms or now_ms - measured_ms >= UTILISATION_INTERVAL_MS:
            utilisation = self._measure_utilisation(pin)
            self._utilisation_by_pin[pin] = (now_ms, utilisation)
        return utilisation

    def record_load(self, agent: str, load: LoadReport) -> None:
        """Record a load report that has just arrived."""
        self._availability.record_heard(agent)
        self.load_view.record_report(agent, load)
        if load.kv_capacity:
            self.prefix_view.limit_to_cache(agent, load.kv_capacity)
        self.prefix_view.record(agent, load.cached_prefixes)

    def record_dispatch(self, agent: str, request: PlacementRequest) -> None:
        """Record that an attempt was sent to `agent`."""
        attempt = self._attempt_size(agent, request)
        self.load_view.record_dispatch(
            agent,
            request.generation,
            attempt.kv_tokens,
            attempt.uncovered_tokens,
        )
        self.prefix_view.record(agent, request.prefix_hashes)

    def record_end(self, agent: str, request: PlacementRequest) -> None:
        """Record that an attempt at `agent` has ended."""
        self.load_view.record_end(agent, request.generation)

    def record_loss(self, agent: str) -> None:
        """Exclude an agent until heard from; avoid its domain for a while."""
        self._availability.record_loss(agent)
        self.load_view.remove(agent)
        self.prefix_view.remove(agent)

    def _measure_utilisation(self, pin: Pin) -> float:
        live = [
            target
            for target in self.pool.targets_by_pin.get(pin, ())
            if self._availability.accepts(target.agent)
        ]
        local = [target for target in live if target.region == self.region]
        counted = local or live
        slots = sum(target.max_running for target in counted)
        attempts = sum(
            self.load_view.attempts(target.agent) for target in counted
        )
        return attempts / slots if slots else 0

    def _is_eligible(
        self,
        request: PlacementRequest,
        target: Target,
        avoided: frozenset[str],
    ) -> bool:
        return (
            target.failure_domain not in avoided
            and target.agent not in request.excluded
            and self._is_region_allowed(request, target)
            and self._availability.accepts(target.agent)
        )

    def _is_region_allowed(
        self, request: PlacementRequest, target: Target
    ) -> bool:
        if request.regions and target.region not in request.regions:
            return False
        return request.cross_region or target.region == self.region

    def _candidates(
        self,
        request: PlacementRequest,
        avoided: frozenset[str],
    ) -> tuple[Target, ...]:
        by_region = self.pool.split_by_region(request.pin, self.region)
        is_eligible = partial(self._is_eligible, request, avoided=avoided)
        factor = RESUME_CANDIDATES_FACTOR if request.resume else 1
        sampled = self._sample(
            by_region.local,
            factor * SAMPLED_CANDIDATES,
            is_eligible,
        )
        remote_count = REMOTE_CANDIDATES if sampled else SAMPLED_CANDIDATES
        sampled += self._sample(
            by_region.remote,
            factor * remote_count,
            is_eligible,
        )
        holders = self.prefix_view.longest_prefix_agents(request.prefix_hashes)
        prefix_targets = tuple(
            by_region.targets_by_agent[agent]
            for agent in sorted(holders)
            if agent in by_region.targets_by_agent
        )
        sampled += self._sample(prefix_targets, PREFIX_CANDIDATES, is_eligible)
        return tuple(sampled)

    def _sample(
        self,
        targets: tuple[Target, ...],
        count: int,
        is_eligible: Callable[[Target], bool],
    ) -> list[Target]:
        """Return up to `count` random eligible targets.

        Twice as many targets are drawn and checked, which is nearly always
        enough, so the cost does not grow with the number of targets. If too
        few of them are eligible, all targets are checked.
        """
        draw_count = min(2 * count, len(targets))
        drawn = self._random.sample(targets, draw_count)
        sampled = [target for target in drawn if is_eligible(target)]
        if len(sampled) < count < len(targets):
            sampled = [target for target in targets if is_eligible(target)]
            self._random.shuffle(sampled)
        return sampled[:count]

    def _attempt_size(
        self, agent: str, request: PlacementRequest
    ) -> AttemptSize:
        covered = self.prefix_view.covered_blocks(agent, request.prefix_hashes)
        return AttemptSize(
            kv_tokens=request.prompt_tokens + request.accepted_tokens,
            uncovered_tokens=uncovered_tokens(request, covered),
        )

    def _refusal(self, request: PlacementRequest) -> Refusal:
        targets = self.pool.targets_by_pin.get(request.pin, ())
        unavailable = [
            target
            for target in targets
            if not self._availability.accepts(target.agent)
        ]
        pin = request.pin
        return Refusal(
            reason=ReasonCode.NO_UPSTREAM,
            detail=(
                f'no upstream may run {pin.model}/{pin.version}/{pin.adapter}'
                f' now: {len(targets)} known, {len(unavailable)} lost or'
                f' draining, {len(request.excluded)} excluded'
            ),
            step=Step.ROUTE,
            ran=Ran.MAYBE if request.resume else Ran.NOT_RUN,
            config_version=self.pool.version,
            decided_by=f'models/{pin.model}',
            retry_after_ms=NO_UPSTREAM_RETRY_AFTER_MS,
            figures={
                'known': len(targets),
                'lost_or_draining': len(unavailable),
                'excluded': len(request.excluded),
            },
            team=request.team,
        )
