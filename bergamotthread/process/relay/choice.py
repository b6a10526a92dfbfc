"""Choice of the upstream that runs an attempt.

Engines are compared by the tokens that wait for prefill and by the KV cache in
use, plain upstreams by the requests in flight. The process counts its own
requests at once. Load reports are late and all entries see the same ones, so
each choice is among a few candidates, drawn at random or by the prompt's
affinity; this keeps all entries from choosing the same upstream.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field, replace
from heapq import nsmallest
from itertools import islice

from bergamotthread.process.overload.rank_use import (
    ARRIVAL_ORDER,
    Precedence,
)
from bergamotthread.process.relay.copy_room import (
    has_room_for_copy,
    mean_prompt_tokens,
)
from bergamotthread.process.relay.distance import (
    SAMPLED_CANDIDATES,
    Distance,
)
from bergamotthread.process.relay.engine_forecast import (
    EngineForecast,
    forecast_engine,
)
from bergamotthread.process.relay.kept_prompts import KeptPrompts
from bergamotthread.process.relay.upstreams import (
    Upstream,
    UpstreamDirectory,
)
from bergamotthread.process.rollouts.build_plan import ANY_BUILD, BuildPlan

# Delay that each running request adds to the tokens of the others.
RUNNING_REQUEST_COST_MS = 15.0
# Cost of a full KV cache; grows with the square of the fraction in use, and
# linearly for a copy holder.
KV_FULL_COST_MS = 2000.0
# Age up to which reports show how many prompts engines hold: the time of a run.
PROMPT_MEMORY_AGE_MS = 10_000
# Cost of an upstream all of whose recent requests failed.
FAILURE_COST_MS = 4000.0
# Upstreams that are asked before a stream is refused, drawn from so many that
# are least loaded by known reports.
SECOND_CANDIDATES = 8
LEAST_LOADED_UPSTREAMS = 16
# Candidates from each region for a caller that reconnects.
RECONNECT_CANDIDATES_PER_REGION = 3
# Upstreams considered as candidates, which bounds the time of a choice.
CONSIDERED_UPSTREAMS_MAX = 64
# Cost of a candidate for each one that the affinity prefers to it, for the
# prompt of a caller that reconnects. It goes where it is cached, which saves a
# second of prefill.
RECONNECT_RANK_COST_MS = 1500.0
# Expected delay by each request in flight at a plain upstream.
PLAIN_REQUEST_COST_MS = 15.0


@dataclass(frozen=True, slots=True)
class RelayPlacementRequest:
    """What the choice of an upstream for an attempt depends on.

    Parameters
    ----------
    prompt_tokens
        Tokens to prefill; 0 for plain services.
    excluded
        Instances that must not be chosen.
    affinity
        Key of the prompt. All entries rank the upstreams for a key alike, so
        the upstreams that it prefers are likely to cache the prompt.
    is_reconnect
        Whether the caller reconnects, so that an upstream may cache its
        prompt.
    build
        The only build that may be chosen; None if any may.
    target_ms
        Target for the first event or the answer. The part of it by which a
        wait may be longer in this failure domain than in another one; 0 for
        an attempt that has to go where it is served first.
    output_tokens
        Expected output; 0 for the usual one of the service.
    plan
        Where the roll-out under way allows the request to run.
    precedence
        How requests of other ranks change the wait.
    """

    service: str
    prompt_tokens: int = 0
    excluded: frozenset[str] = frozenset()
    affinity: bytes = b''
    is_reconnect: bool = False
    build: str | None = None
    target_ms: float = 0
    output_tokens: float = 0
    plan: BuildPlan = ANY_BUILD
    precedence: Precedence = ARRIVAL_ORDER

    @property
    def prefers_target(self) -> bool:
        """Return whether the target of a roll-out is preferred to others."""
        return self.build is None and self.plan.only is not None

    def without_target(self) -> RelayPlacementRequest:
        """Return a request for the former builds alone."""
        return replace(self, plan=self.plan.without_target())


@dataclass
class UpstreamChoice:
    """Chooses among the upstreams of a directory by expected cost.

    Parameters
    ----------
    region_by_domain
        Region of each failure domain.
    own_domain
        Failure domain of this process.
    kept
        Where prompts of own callers are likely to be cached.
    """

    directory: UpstreamDirectory
    own_domain: str
    region_by_domain: dict[str, str]
    rng: random.Random = field(default_factory=random.Random)
    kept: KeptPrompts = field(init=False)

    def __post_init__(self) -> None:
        self.kept = KeptPrompts(self.directory.clock)

    def planned(
        self, request: RelayPlacementRequest, plan: BuildPlan
    ) -> RelayPlacementRequest:
        """Return a request that follows a plan.

        The only build of a plan is a preference for a request that is bound to
        no build: it goes to others if that one has no eligible upstream. An
        avoided build stays avoided.
        """
        planned = replace(request, plan=plan)
        if not planned.prefers_target:
            return planned
        if any(
            self._is_eligible(upstream, planned)
            for upstream in self.directory.of_service(request.service)
        ):
            return planned
        return planned.without_target()

    def choose(self, request: RelayPlacementRequest) -> Upstream | None:
        """Return the cheapest eligible upstream, or None if there is none.

        Cheaper ones that their limits hold count the request as wanted there.
        """
        directory = self.directory
        eligible = [
            upstream
            for upstream in directory.accepting(request.service)
            if self._is_eligible(upstream, request)
        ]
        ordered = sorted(
            eligible,
            key=lambda upstream: (
                directory.is_suspected(upstream),
                self.cost_ms(upstream, request),
            ),
        )
        for upstream in ordered:
            directory.record_demand(upstream)
            if not directory.is_held(upstream):
                return upstream
        return None

    def choose_copy_holder(
        self, request: RelayPlacementRequest, domain: str
    ) -> Upstream | None:
        """Return a copy holder outside a failure domain, or None."""
        outside = (
            upstream
            for upstream in self._eligible_in_order(request)
            if upstream.record.failure_domain != domain
        )
        return self.copy_holder_among(
            list(islice(outside, SAMPLED_CANDIDATES)), request.prompt_tokens
        )

    def copy_holder_among(
        self, upstreams: Sequence[Upstream], copy_tokens: int
    ) -> Upstream | None:
        """Return the best holder of a copy, or None if none has room.

        A full upstream refuses runs that resume from a copy, and after a loss
        all runs of the lost upstream resume at once. Copies are therefore
        placed by free KV cache. Queues do not count, because a resumed run is
        admitted before queued requests.

        A copy takes memory from prompts, so no prompt may wait at a holder, and
        it keeps room for those that are expected. Copies are not counted among
        the requests that return in steps after a pause, so they wait until the
        steps are over.

        A limited upstream holds a copy only if no other one has room.
        """
        if not upstreams:
            return None
        directory = self.directory
        service = upstreams[0].record.service
        outputs = directory.outputs(service)
        expected_tokens = mean_prompt_tokens(
            directory.of_service(service),
            outputs,
            directory.clock.now_ms() - PROMPT_MEMORY_AGE_MS,
        )
        with_room = [
            upstream
            for upstream in upstreams
            if has_room_for_copy(
                upstream, copy_tokens, outputs, expected_tokens
            )
            and not directory.is_returning(upstream)
        ]
        unlimited = [
            upstream
            for upstream in with_room
            if not directory.is_limited(upstream)
        ]
        return min(
            unlimited or with_room,
            key=self._copy_holder_cost_ms,
            default=None,
        )

    def draw_candidates(self, request: RelayPlacementRequest) -> list[Upstream]:
        """Return a few candidates, from two failure domains if possible.

        Those of the own failure domain and region come first if they are
        enough (`Distance`), then those that the affinity prefers. Suspected
        upstreams are candidates only if there are no others. For a caller that
        reconnects, entries of all regions draw the same candidates as long as
        they agree on which upstreams are lost or suspected. Streams that begin
        avoid builds that are being replaced, unless a plan names their build.
        """
        self._record_demand(request)
        directory = self.directory
        service = request.service
        avoided = directory.sparse_builds(service)
        avoided |= directory.shrinking_builds(service)
        considered = self._considered(request, avoided)
        healthy = [
            upstream
            for upstream in considered
            if not self.directory.is_suspected(upstream)
        ]
        ordered = healthy or considered
        if request.is_reconnect:
            return self._first_of_each_region(ordered)
        candidates = self._distance.draw(
            ordered, by_domain=request.target_ms > 0
        )
        return _with_second_domain(candidates, ordered)

    def draw_least_loaded(
        self, request: RelayPlacementRequest
    ) -> list[Upstream]:
        """Return some of the least loaded upstreams, by known load reports.

        They are drawn at random, as all entries know about the same reports.
        """
        avoided = self.directory.sparse_builds(request.service)
        considered = self._considered(request, avoided)
        healthy = (
            upstream
            for upstream in considered
            if not self.directory.is_suspected(upstream)
        )
        least_loaded = nsmallest(
            LEAST_LOADED_UPSTREAMS,
            healthy,
            key=lambda upstream: (
                self.forecast(upstream, request).first_event_ms
            ),
        )
        count = min(len(least_loaded), SECOND_CANDIDATES)
        return self.rng.sample(least_loaded, count)

    def count_engines(self, request: RelayPlacementRequest) -> int:
        """Return the number of engines that may run a request."""
        return sum(
            _has_build(upstream, request.build)
            and _follows_plan(upstream, request.plan)
            and not self.directory.is_lost(upstream)
            for upstream in self.directory.of_service(request.service)
        )

    def affinity_cost_ms(
        self, upstream: Upstream, rank: int, request: RelayPlacementRequest
    ) -> float:
        """Return the cost in ms of a candidate for what it doesn't cache.

        Parameters
        ----------
        rank
            Position of the candidate by affinity, from 0.

        Returns
        -------
        float
            Negative for the prefill that a cached beginning is expected to
            save; never more than the prefill of the prompt.
        """
        if not request.affinity:
            return 0
        if request.is_reconnect:
            return rank * RECONNECT_RANK_COST_MS
        outputs = self.directory.outputs(request.service)
        cached_tokens = self.kept.cached_tokens(
            upstream, request.affinity, outputs
        )
        if not rank:
            cached_tokens += request.prompt_tokens * self.kept.expected_share(
                upstream, request.affinity, outputs
            )
        prompt_ms = self.forecast(upstream, request).prompt_ms
        share = cached_tokens / max(request.prompt_tokens, 1)
        return -prompt_ms * min(share, 1)

    def cost_ms(
        self, upstream: Upstream, request: RelayPlacementRequest
    ) -> float:
        """Return the expected wait plus the delay to other requests, in ms.

        A random part below 1 ms breaks ties.
        """
        if request.prompt_tokens:
            cost_ms = self._engine_cost_ms(upstream, request)
        else:
            cost_ms = upstream.in_flight * PLAIN_REQUEST_COST_MS
        cost_ms += (
            self.directory.decayed_failure_share(upstream) * FAILURE_COST_MS
        )
        return (
            cost_ms
            + self._distance_cost_ms(upstream, request)
            + self.rng.random()
        )

    def forecast(
        self, upstream: Upstream, request: RelayPlacementRequest
    ) -> EngineForecast:
        """Return the expected first event of a prompt at an engine."""
        outputs = self.directory.outputs(request.service)
        return forecast_engine(
            upstream,
            request.prompt_tokens,
            outputs,
            request.precedence,
            output_tokens=request.output_tokens,
        )

    def _engine_cost_ms(
        self, upstream: Upstream, request: RelayPlacementRequest
    ) -> float:
        running = upstream.in_flight
        if upstream.report is not None:
            running = max(running, upstream.report.running)
        cost_ms = self.forecast(upstream, request).first_event_ms
        cost_ms += running * RUNNING_REQUEST_COST_MS
        return cost_ms + _kv_fraction(upstream) ** 2 * KV_FULL_COST_MS

    def _copy_holder_cost_ms(self, upstream: Upstream) -> float:
        kv_fraction = _kv_fraction(upstream, upstream.held_tokens)
        cost_ms = kv_fraction * KV_FULL_COST_MS
        cost_ms += self._distance.region_cost_ms(upstream)
        return cost_ms + self.rng.random()

    def _record_demand(self, request: RelayPlacementRequest) -> None:
        """Count an equal part of a request at each limited engine."""
        directory = self.directory
        if not directory.limits:
            return
        eligible = [
            upstream
            for upstream in directory.accepting(request.service)
            if self._is_eligible(upstream, request)
        ]
        for upstream in eligible:
            directory.record_demand(upstream, 1 / len(eligible))

    def _first_of_each_region(self, ordered: list[Upstream]) -> list[Upstream]:
        by_region: dict[str, list[Upstream]] = {}
        for upstream in ordered:
            region = self.region_by_domain.get(upstream.record.failure_domain)
            by_region.setdefault(region or '', []).append(upstream)
        return [
            member
            for members in by_region.values()
            for member in members[:RECONNECT_CANDIDATES_PER_REGION]
        ]

    def _eligible_in_order(
        self, request: RelayPlacementRequest
    ) -> Iterator[Upstream]:
        """Yield the eligible upstreams, by affinity or else at random."""
        directory = self.directory
        if request.affinity:
            ordered = directory.by_affinity(request.service, request.affinity)
        else:
            upstreams = list(directory.of_service(request.service))
            ordered = iter(self.rng.sample(upstreams, len(upstreams)))
        for upstream in ordered:
            if self._is_eligible(upstream, request):
                yield upstream

    def _considered(
        self, request: RelayPlacementRequest, avoided: frozenset[str]
    ) -> list[Upstream]:
        """Return the first eligible upstreams.

        Those of avoided builds are considered only for a stream that is bound
        to a build, or if there are no others.
        """
        if request.build is None and request.plan.only is None:
            preferred = (
                upstream
                for upstream in self._eligible_in_order(request)
                if upstream.record.build not in avoided
            )
            considered = list(islice(preferred, CONSIDERED_UPSTREAMS_MAX))
            if considered:
                return considered
        eligible = self._eligible_in_order(request)
        return list(islice(eligible, CONSIDERED_UPSTREAMS_MAX))

    def _is_eligible(
        self, upstream: Upstream, request: RelayPlacementRequest
    ) -> bool:
        is_excluded = upstream.record.instance in request.excluded
        if is_excluded or not _has_build(upstream, request.build):
            return False
        if not _follows_plan(upstream, request.plan):
            return False
        return not self.directory.is_lost(upstream)

    @property
    def _distance(self) -> Distance:
        return Distance(self.own_domain, self.region_by_domain)

    def _distance_cost_ms(
        self, upstream: Upstream, request: RelayPlacementRequest
    ) -> float:
        """Return the cost of the distance to an upstream.

        Streams weigh failure domains only where the own one has enough engines
        to choose among; a plain request queues for milliseconds. Engines that
        are lost or suspected are no candidates.
        """
        distance = self._distance
        target_ms = request.target_ms
        if target_ms and request.prompt_tokens:
            directory = self.directory
            usable = (
                one
                for one in directory.accepting(request.service)
                if not directory.is_lost(one)
                and not directory.is_suspected(one)
            )
            target_ms *= distance.prefers_domain(usable)
        return distance.cost_ms(upstream, target_ms)


def _with_second_domain(
    candidates: list[Upstream],
    ordered: list[Upstream],
) -> list[Upstream]:
    domains = {upstream.record.failure_domain for upstream in candidates}
    if len(domains) != 1:
        return candidates
    others = (
        upstream
        for upstream in ordered
        if upstream.record.failure_domain not in domains
    )
    last = next(others, candidates[-1])
    return [*candidates[:-1], last]


def _has_build(upstream: Upstream, build: str | None) -> bool:
    return build is None or upstream.record.build == build


def _follows_plan(upstream: Upstream, plan: BuildPlan) -> bool:
    return plan.admits(upstream.record.instance, upstream.record.build)


def _kv_fraction(upstream: Upstream, more_tokens: int = 0) -> float:
    """Return the fraction of the KV cache in use; 0 without a load report."""
    report = upstream.report
    if report is None:
        return 0
    return (report.kv_used + more_tokens) / max(report.kv_total, 1)
