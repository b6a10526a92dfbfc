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
from itertools import islice

from bergamotthread.process.relay.upstreams import (
    Upstream,
    UpstreamDirectory,
)

# Prefill rate of an engine, from its data sheet.
PREFILL_TOKENS_PER_MS = 8.0
# Delay that each running request adds to the tokens of the others.
RUNNING_MS = 15.0
# Cost of a full KV cache; grows with the square of the fraction in use, and
# linearly for a copy holder.
MEMORY_FULL_MS = 2000.0
# Extra cost of another region, for the round trip and the paid traffic.
FAR_MS = 60.0
# Cost of an upstream all of whose recent requests failed.
FAILURE_MS = 4000.0
# Upstreams that are asked for their load before one is chosen.
CANDIDATES = 4
# Candidates from this region: traffic between regions is paid, and a loss in
# this region is noticed a round trip sooner.
NEAR_CANDIDATES = 3
# With fewer upstreams in the region, the choice among queues is too small and
# all regions are treated alike.
NEAR_POOL_MIN = 6
# Candidates from each region for a caller that reconnects.
RETURN_CANDIDATES = 3
# Upstreams considered as candidates, which bounds the time of a choice.
SEEN_MAX = 64
# Cost of a candidate for each one that the affinity prefers to it. A new prompt
# goes where the fewest tokens wait, unless the difference is small; the prompt
# of a caller that reconnects goes where it is cached, which saves a second of
# prefill.
RANK_MS = 200.0
RETURN_RANK_MS = 1500.0
# Expected delay by each request in flight at a plain upstream.
PLAIN_REQUEST_MS = 15.0


@dataclass(frozen=True, slots=True)
class Work:
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
    is_return
        Whether the caller reconnects, so that an upstream may cache its
        prompt.
    """

    service: str
    prompt_tokens: int = 0
    excluded: frozenset[str] = frozenset()
    affinity: bytes = b''
    is_return: bool = False


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

    def choose(self, work: Work) -> Upstream | None:
        """Return the cheapest upstream of all, or None if there is none."""
        eligible = [
            upstream
            for upstream in self.directory.of_service(work.service)
            if self._may_run(upstream, work)
        ]
        healthy = [
            upstream
            for upstream in eligible
            if not self.directory.is_doubtful(upstream)
        ]
        return self._cheapest(healthy or eligible, work)

    def choose_elsewhere(self, work: Work, domain: str) -> Upstream | None:
        """Return a copy holder outside a failure domain, or None."""
        outside = (
            upstream
            for upstream in self._in_order(work)
            if upstream.record.failure_domain != domain
        )
        return self.holder_among(list(islice(outside, CANDIDATES)))

    def holder_among(self, upstreams: Sequence[Upstream]) -> Upstream | None:
        """Return the best holder of a copy, or None if there is none.

        A full upstream refuses runs that resume from a copy, and after a loss
        all runs of the lost upstream resume at once. Copies are therefore
        placed by free KV cache. Queues do not count, because a resumed run is
        admitted before queued requests.
        """
        return min(upstreams, key=self._holder_cost_ms, default=None)

    def draw(self, work: Work) -> list[Upstream]:
        """Return a few candidates, from two failure domains if possible.

        Upstreams of this region come first, then those that the affinity
        prefers. Suspected upstreams are candidates only if there are no
        others. For a caller that reconnects, every entry of every region
        draws the same candidates.
        """
        considered = list(islice(self._in_order(work), SEEN_MAX))
        healthy = [
            upstream
            for upstream in considered
            if not self.directory.is_doubtful(upstream)
        ]
        ordered = healthy or considered
        if work.is_return:
            return self._first_of_regions(ordered)
        local = [upstream for upstream in ordered if not self._far_ms(upstream)]
        if len(local) >= NEAR_POOL_MIN:
            remote = [
                upstream for upstream in ordered if self._far_ms(upstream)
            ]
            candidates = [*local[:NEAR_CANDIDATES], *remote][:CANDIDATES]
        else:
            candidates = ordered[:CANDIDATES]
        return _with_second_domain(candidates, ordered)

    def rank_ms(self, rank: int, work: Work) -> float:
        """Return the cost in ms of a candidate at a rank by affinity."""
        if not work.affinity:
            return 0
        per_rank_ms = RETURN_RANK_MS if work.is_return else RANK_MS
        return rank * per_rank_ms

    def cost_ms(self, upstream: Upstream, work: Work) -> float:
        """Return the expected wait plus the delay to other requests, in ms.

        A random part below 1 ms breaks ties.
        """
        if work.prompt_tokens:
            cost_ms = _engine_cost_ms(upstream, work)
        else:
            cost_ms = upstream.in_flight * PLAIN_REQUEST_MS
        cost_ms += self.directory.failure_share(upstream) * FAILURE_MS
        return cost_ms + self._far_ms(upstream) + self.rng.random()

    def _holder_cost_ms(self, upstream: Upstream) -> float:
        kv_fraction = _memory_share(upstream, upstream.held_tokens)
        cost_ms = kv_fraction * MEMORY_FULL_MS + self._far_ms(upstream)
        return cost_ms + self.rng.random()

    def _first_of_regions(self, ordered: list[Upstream]) -> list[Upstream]:
        by_region: dict[str, list[Upstream]] = {}
        for upstream in ordered:
            region = self.region_by_domain.get(upstream.record.failure_domain)
            by_region.setdefault(region or '', []).append(upstream)
        return [
            member
            for members in by_region.values()
            for member in members[:RETURN_CANDIDATES]
        ]

    def _in_order(self, work: Work) -> Iterator[Upstream]:
        """Yield the eligible upstreams, by affinity or else at random."""
        directory = self.directory
        if work.affinity:
            ordered = directory.by_affinity(work.service, work.affinity)
        else:
            upstreams = list(directory.of_service(work.service))
            ordered = iter(self.rng.sample(upstreams, len(upstreams)))
        for upstream in ordered:
            if self._may_run(upstream, work):
                yield upstream

    def _may_run(self, upstream: Upstream, work: Work) -> bool:
        is_excluded = upstream.record.instance in work.excluded
        return not is_excluded and not self.directory.is_lost(upstream)

    def _cheapest(
        self,
        upstreams: Sequence[Upstream],
        work: Work,
    ) -> Upstream | None:
        return min(
            upstreams,
            key=lambda upstream: self.cost_ms(upstream, work),
            default=None,
        )

    def _far_ms(self, upstream: Upstream) -> float:
        region = self.region_by_domain.get(upstream.record.failure_domain)
        is_local = region == self.region_by_domain.get(self.own_domain)
        return 0 if is_local else FAR_MS


def _with_second_domain(
    drawn: list[Upstream],
    ordered: list[Upstream],
) -> list[Upstream]:
    domains = {upstream.record.failure_domain for upstream in drawn}
    if len(domains) != 1:
        return drawn
    others = (
        upstream
        for upstream in ordered
        if upstream.record.failure_domain not in domains
    )
    last = next(others, drawn[-1])
    return [*drawn[:-1], last]


def _engine_cost_ms(upstream: Upstream, work: Work) -> float:
    report = upstream.report
    unread = upstream.prefill_tokens
    running = upstream.in_flight
    if report is not None:
        reported = report.unread_tokens + upstream.sent_since_report
        unread = max(unread, reported)
        running = max(running, report.running)
    waiting = unread + work.prompt_tokens
    cost_ms = waiting / PREFILL_TOKENS_PER_MS + running * RUNNING_MS
    return cost_ms + _memory_share(upstream) ** 2 * MEMORY_FULL_MS


def _memory_share(upstream: Upstream, more_tokens: int = 0) -> float:
    """Return the fraction of the KV cache in use; 0 without a load report."""
    report = upstream.report
    if report is None:
        return 0
    return (report.kv_used + more_tokens) / max(report.kv_total, 1)
