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
from dataclasses import dataclass, field
from heapq import nsmallest
from itertools import islice

from bergamotthread.process.overload.rank_use import (
    ARRIVAL_ORDER,
    Precedence,
)
from bergamotthread.process.relay.engine_forecast import (
    EngineForecast,
    forecast_engine,
)
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
# Largest fraction of a holder's KV cache in use with the copy.
COPY_KV_FRACTION_MAX = 0.9
# Extra cost of another region, for the round trip and the paid traffic.
CROSS_REGION_COST_MS = 60.0
# Cost of an upstream all of whose recent requests failed.
FAILURE_COST_MS = 4000.0
# Upstreams that are asked for their load before one is chosen.
SAMPLED_CANDIDATES = 4
# Upstreams that are asked before a stream is refused, drawn from so many that
# are least loaded by known reports.
SECOND_CANDIDATES = 8
LEAST_LOADED_UPSTREAMS = 16
# Candidates taken from this region if it has enough upstreams: traffic between
# regions is paid, and a loss in this region is noticed a round trip sooner.
OWN_REGION_CANDIDATES = 3
# With fewer upstreams in the region, the choice among queues is too small and
# all regions are treated alike.
OWN_REGION_UPSTREAMS_MIN = 6
# Candidates from each region for a caller that reconnects.
RECONNECT_CANDIDATES_PER_REGION = 3
# Upstreams considered as candidates, which bounds the time of a choice.
CONSIDERED_UPSTREAMS_MAX = 64
# Cost of a candidate for each one that the affinity prefers to it. A new prompt
# goes where the fewest tokens wait, unless the difference is small; the prompt
# of a caller that reconnects goes where it is cached, which saves a second of
# prefill.
AFFINITY_RANK_COST_MS = 200.0
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
    plan: BuildPlan = ANY_BUILD
    precedence: Precedence = ARRIVAL_ORDER


@dataclass
class UpstreamChoice:
    """Chooses among the upstreams of a directory by expected cost.

    Parameters
    ----------
    region_by_domain
        Region of each failure domain.
    own_domain
        Failure domain of this process.
    """

    directory: UpstreamDirectory
    own_domain: str
    region_by_domain: dict[str, str]
    rng: random.Random = field(default_factory=random.Random)

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

        A copy takes memory from prompts that wait, so no prompt may wait at a
        holder, and `COPY_KV_FRACTION_MAX` of its KV cache may be in use. Copies
        are not counted among the requests that return in steps after a pause,
        so they wait until the steps are over.

        A limited upstream holds a copy only if no other one has room.
        """
        directory = self.directory
        with_room = [
            upstream
            for upstream in upstreams
            if _has_room_for_copy(upstream, copy_tokens)
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

        With at least `OWN_REGION_UPSTREAMS_MIN` upstreams in this region, its
        upstreams come first, then those that the affinity prefers. Suspected
        upstreams are candidates only if there are no others. For a caller that
        reconnects, entries of all regions draw the same candidates as long as
        they agree on which upstreams are lost or suspected. Streams that begin
        avoid builds that are being replaced.
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
        local = [
            upstream
            for upstream in ordered
            if not self._region_cost_ms(upstream)
        ]
        if len(local) >= OWN_REGION_UPSTREAMS_MIN:
            remote = [
                upstream
                for upstream in ordered
                if self._region_cost_ms(upstream)
            ]
            candidates = [*local[:OWN_REGION_CANDIDATES], *remote][
                :SAMPLED_CANDIDATES
            ]
        else:
            candidates = ordered[:SAMPLED_CANDIDATES]
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
            and not self.directory.is_lost(upstream)
            for upstream in self.directory.of_service(request.service)
        )

    def rank_cost_ms(self, rank: int, request: RelayPlacementRequest) -> float:
        """Return the cost in ms of a candidate at a rank by affinity."""
        if not request.affinity:
            return 0
        per_rank_ms = (
            RECONNECT_RANK_COST_MS
            if request.is_reconnect
            else AFFINITY_RANK_COST_MS
        )
        return rank * per_rank_ms

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
        return cost_ms + self._region_cost_ms(upstream) + self.rng.random()

    def forecast(
        self, upstream: Upstream, request: RelayPlacementRequest
    ) -> EngineForecast:
        """Return the expected first event of a prompt at an engine."""
        outputs = self.directory.outputs(request.service)
        return forecast_engine(
            upstream, request.prompt_tokens, outputs, request.precedence
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
        cost_ms = kv_fraction * KV_FULL_COST_MS + self._region_cost_ms(upstream)
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
        record = upstream.record
        if not request.plan.admits(record.instance, record.build):
            return False
        return not self.directory.is_lost(upstream)

    def _region_cost_ms(self, upstream: Upstream) -> float:
        region = self.region_by_domain.get(upstream.record.failure_domain)
        is_local = region == self.region_by_domain.get(self.own_domain)
        return 0 if is_local else CROSS_REGION_COST_MS


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


def _kv_fraction(upstream: Upstream, more_tokens: int = 0) -> float:
    """Return the fraction of the KV cache in use; 0 without a load report."""
    report = upstream.report
    if report is None:
        return 0
    return (report.kv_used + more_tokens) / max(report.kv_total, 1)


def _has_room_for_copy(upstream: Upstream, copy_tokens: int) -> bool:
    report = upstream.report
    if report is None:
        return True
    more_tokens = upstream.held_tokens + upstream.sent_since_report
    kv_fraction = _kv_fraction(upstream, more_tokens + copy_tokens)
    return not report.waiting_tokens and kv_fraction <= COPY_KV_FRACTION_MAX
