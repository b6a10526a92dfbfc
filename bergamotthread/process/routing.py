"""Placement by expected queue, uncovered prefill and paid bytes."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.errors import Step
from bergamotthread.process.load_view import LoadView
from bergamotthread.process.placement import Placement, PlacementRequest
from bergamotthread.process.placement_score import (
    Attempted,
    ScoreWeights,
    region_cost_ms,
    score_ms,
    uncovered_tokens,
)
from bergamotthread.process.prefix_hash import PrefixView
from bergamotthread.process.upstream_pool import (
    DOMAIN_AVOIDANCE_MS,
    Subset,
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
PREFIX_CANDIDATES = 4
NO_UPSTREAM_RETRY_MS = 1000


@dataclass
class ScoredPlacement(Placement):
    """Takes the cheapest of a few candidates.

    Candidates are a sample of the own region, one of other regions and the
    agents that cache the longest prefix. Agents that are lost, draining or
    excluded are never candidates. Failure domains with several recent losses
    are candidates only where no other is left; to resumptions one loss is
    enough. Resumptions take no prefix candidates, so that several entries
    spread them over many survivors.
    """

    clock: Clock
    region: str
    pool: UpstreamPool
    load_view: LoadView
    prefix_view: PrefixView = field(default_factory=PrefixView)
    weights: ScoreWeights = ScoreWeights()
    seed: int = 0
    leaving: frozenset[str] = frozenset()
    _lost: set[str] = field(default_factory=set)
    _lost_ms_by_agent: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)

    @classmethod
    def from_published(
        cls,
        published: PublishedVersion,
        region: str,
        clock: Clock,
        subset: Subset | None = None,
        *,
        seed: int = 0,
    ) -> ScoredPlacement:
        """Return a placement over the upstreams of a version."""
        return cls(
            clock=clock,
            region=region,
            pool=UpstreamPool.from_published(published, subset),
            load_view=LoadView(clock),
            seed=seed,
        )

    def publish(
        self,
        published: PublishedVersion,
        subset: Subset | None = None,
    ) -> None:
        """Move on to a newer version and keep what is known of the load."""
        self.pool = UpstreamPool.from_published(published, subset)

    def mark_leaving(self, agents: frozenset[str]) -> None:
        """Replace the agents that the platform's list shows as leaving."""
        self.leaving = agents

    def choose(self, request: PlacementRequest) -> str:
        """Return the agent with the lowest score among a few candidates."""
        eligible = self.eligible(request)
        if not eligible:
            raise RefusedError(self._refusal(request))
        candidates = self._candidates(
            request, self._preferred(request, eligible)
        )
        return min(
            candidates,
            key=lambda target: self.score_ms(request, target),
        ).agent

    def eligible(self, request: PlacementRequest) -> tuple[Target, ...]:
        """Return the targets that may run an attempt now."""
        calendar_ms = self.clock.calendar_ms()
        return tuple(
            target
            for target in self.pool.targets_by_pin.get(request.pin, ())
            if self._in_reach(request, target)
            and target.agent not in request.excluded
            and self._accepts(target.agent, calendar_ms)
        )

    def score_ms(self, request: PlacementRequest, target: Target) -> float:
        """Return the cost of a target in milliseconds, lower is better."""
        load = self.load_view.estimate(target.agent)
        score = score_ms(
            self._attempted(target.agent, request),
            load,
            target,
            self.weights,
        )
        if target.region == self.region:
            return score
        price = self.pool.egress_price_by_region.get(self.region, 0)
        return score + region_cost_ms(request, price, self.weights)

    def failure_domain(self, agent: str) -> str:
        """Return the failure domain of an agent, empty if unknown."""
        return self.pool.domain_of(agent)

    def utilisation(self, pin: Pin) -> float:
        """Return attempts over slots of the own region's live upstreams.

        Attempts count as running, queued or sent and not yet reported. With
        no live upstream in the own region, those of other regions count.
        """
        calendar_ms = self.clock.calendar_ms()
        live = [
            target
            for target in self.pool.targets_by_pin.get(pin, ())
            if self._accepts(target.agent, calendar_ms)
        ]
        local = [one for one in live if one.region == self.region]
        slots = 0
        attempts = float(0)
        for target in local or live:
            load = self.load_view.estimate(target.agent)
            slots += target.max_running
            attempts += load.running + load.queued
        return attempts / slots if slots else 0

    def record_load(self, agent: str, load: LoadReport) -> None:
        """Take in a load report that arrived now."""
        self._lost.discard(agent)
        self.load_view.record_report(agent, load)
        if load.kv_capacity:
            self.prefix_view.bound(agent, load.kv_capacity)
        self.prefix_view.record(agent, load.cached_prefixes)

    def record_dispatch(self, agent: str, request: PlacementRequest) -> None:
        """Count an attempt that was sent to `agent`."""
        attempted = self._attempted(agent, request)
        self.load_view.record_dispatch(
            agent,
            request.generation,
            attempted.kv_tokens,
            attempted.uncovered_tokens,
        )
        self.prefix_view.record(agent, request.prefix_hashes)

    def record_end(self, agent: str, request: PlacementRequest) -> None:
        """Uncount an attempt that ended at `agent`."""
        self.load_view.record_end(agent, request.generation)

    def record_loss(self, agent: str) -> None:
        """Avoid an agent until heard from, and its failure domain a while."""
        self._lost.add(agent)
        self.load_view.forget(agent)
        self.prefix_view.forget(agent)
        self._lost_ms_by_agent[agent] = self.clock.now_ms()

    def _accepts(self, agent: str, calendar_ms: int) -> bool:
        return not (
            agent in self._lost
            or agent in self.leaving
            or self.load_view.is_draining(agent)
            or self.pool.is_stopping(agent, calendar_ms)
        )

    def _in_reach(self, request: PlacementRequest, target: Target) -> bool:
        if request.regions and target.region not in request.regions:
            return False
        return request.cross_region or target.region == self.region

    def _preferred(
        self,
        request: PlacementRequest,
        eligible: tuple[Target, ...],
    ) -> tuple[Target, ...]:
        tolerated = 0 if request.resume else 1
        avoided = {
            domain
            for domain, losses in self._losses_by_domain().items()
            if losses > tolerated
        }
        avoided.add(self.failure_domain(request.apart_from))
        preferred = tuple(
            one for one in eligible if one.failure_domain not in avoided
        )
        return preferred or eligible

    def _losses_by_domain(self) -> Counter[str]:
        since_ms = self.clock.now_ms() - DOMAIN_AVOIDANCE_MS
        self._lost_ms_by_agent = {
            agent: lost_ms
            for agent, lost_ms in self._lost_ms_by_agent.items()
            if lost_ms > since_ms
        }
        return Counter(map(self.pool.domain_of, self._lost_ms_by_agent))

    def _candidates(
        self,
        request: PlacementRequest,
        preferred: tuple[Target, ...],
    ) -> tuple[Target, ...]:
        local = [one for one in preferred if one.region == self.region]
        remote = [one for one in preferred if one.region != self.region]
        sampled = self._sample(local, SAMPLED_CANDIDATES)
        remote_count = REMOTE_CANDIDATES if local else SAMPLED_CANDIDATES
        sampled += self._sample(remote, remote_count)
        if not request.resume:
            sampled += self._prefix_candidates(request, preferred)
        return tuple(sampled)

    def _sample(self, targets: list[Target], count: int) -> list[Target]:
        return self._random.sample(targets, min(count, len(targets)))

    def _prefix_candidates(
        self,
        request: PlacementRequest,
        preferred: tuple[Target, ...],
    ) -> list[Target]:
        holders = self.prefix_view.holders(request.prefix_hashes)
        holding = [one for one in preferred if one.agent in holders]
        return self._sample(holding, PREFIX_CANDIDATES)

    def _attempted(self, agent: str, request: PlacementRequest) -> Attempted:
        covered = self.prefix_view.covered_blocks(agent, request.prefix_hashes)
        return Attempted(
            kv_tokens=request.prompt_tokens + request.accepted_tokens,
            uncovered_tokens=uncovered_tokens(request, covered),
        )

    def _refusal(self, request: PlacementRequest) -> Refusal:
        known = self.pool.targets_by_pin.get(request.pin, ())
        calendar_ms = self.clock.calendar_ms()
        stopped = [
            one for one in known if not self._accepts(one.agent, calendar_ms)
        ]
        pin = request.pin
        return Refusal(
            reason=ReasonCode.NO_UPSTREAM,
            detail=(
                f'no upstream may run {pin.model}/{pin.version}/{pin.adapter}'
                f' now: {len(known)} known, {len(stopped)} lost or draining,'
                f' {len(request.excluded)} excluded'
            ),
            step=Step.ROUTE,
            ran=Ran.MAYBE if request.resume else Ran.NOT_RUN,
            config_version=self.pool.version,
            decided_by=f'models/{pin.model}',
            retry_after_ms=NO_UPSTREAM_RETRY_MS,
            figures={
                'known': len(known),
                'lost_or_draining': len(stopped),
                'excluded': len(request.excluded),
            },
            team=request.team,
        )
