"""Choice of the upstream that runs an attempt.

Engines are compared by the tokens that wait to be read and by the memory in
use, plain upstreams by the requests in flight. Own dispatches count at once;
reports of load are late and shared by all entries, so the choice is among a
few candidates drawn at random.
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

# Prompt tokens that an engine reads in a millisecond (the sheets).
PREFILL_TOKENS_PER_MS = 8.0
# Time that each running answer adds to the tokens of the others.
RUNNING_MS = 15.0
# Cost of a full memory; grows with the square of the share in use.
MEMORY_FULL_MS = 2000.0
# Extra cost of another region: a round trip and paid traffic.
FAR_MS = 60.0
# Cost of an upstream all of whose recent answers failed.
FAILURE_MS = 4000.0
# Candidates that are asked for their load before one is chosen.
CANDIDATES = 4
# Most of them are of this region: traffic between regions is paid, and a loss
# is noticed a round trip sooner.
NEAR_CANDIDATES = 3
# Fewer upstreams in the region leave too little choice among queues.
NEAR_POOL_MIN = 6
# Of each region, for a caller that comes back.
RETURN_CANDIDATES = 3
# Upstreams that are looked at to draw them, which bounds a choice among many.
SEEN_MAX = 64
# Cost of a candidate for each better one by affinity: a new prompt goes where
# fewest tokens wait, unless the difference is small; one that comes back goes
# where it was read, which saves a second of reading.
RANK_MS = 200.0
RETURN_RANK_MS = 1500.0
# Time that a request in flight at a plain upstream adds.
PLAIN_REQUEST_MS = 15.0


@dataclass(frozen=True, slots=True)
class Work:
    """What an attempt asks of an upstream.

    Parameters
    ----------
    prompt_tokens
        Tokens to read; 0 for plain services.
    affinity
        What names the prompt; its cache is likely where the same affinity
        led before, also from another entry.
    is_return
        Whether the caller was served before, so that there is a cache.
    """

    service: str
    prompt_tokens: int = 0
    excluded: frozenset[str] = frozenset()
    affinity: bytes = b''
    is_return: bool = False


@dataclass
class UpstreamChoice:
    """Chooses among the upstreams of a directory.

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
        """Return the cheapest upstream, or none."""
        known = [
            one
            for one in self.directory.of_service(work.service)
            if self._may_run(one, work)
        ]
        sound = [one for one in known if not self.directory.is_doubtful(one)]
        return self._cheapest(sound or known, work)

    def choose_elsewhere(self, work: Work, domain: str) -> Upstream | None:
        """Return a cheap upstream outside a failure domain, or none."""
        outside = (
            one
            for one in self._in_order(work)
            if one.record.failure_domain != domain
        )
        return self.holder_among(list(islice(outside, CANDIDATES)))

    def holder_among(self, upstreams: Sequence[Upstream]) -> Upstream | None:
        """Return which one should keep a copy, or none.

        One that is full refuses what comes to go on from a copy, and after the
        loss of an upstream all its runs come at once; so copies are spread by
        room. What comes is admitted first, so a queue does not matter.
        """
        return min(upstreams, key=self._holder_cost_ms, default=None)

    def draw(self, work: Work) -> list[Upstream]:
        """Return a few candidates, of two failure domains if there are.

        Those of this region come first, then those that the work's affinity
        prefers. Upstreams in doubt are drawn only where there is no other.
        For a caller that comes back, perhaps from another region, they are
        the same wherever it does.
        """
        seen = list(islice(self._in_order(work), SEEN_MAX))
        sound = [one for one in seen if not self.directory.is_doubtful(one)]
        ordered = sound or seen
        if work.is_return:
            return self._first_of_regions(ordered)
        near = [one for one in ordered if not self._far_ms(one)]
        if len(near) >= NEAR_POOL_MIN:
            far = [one for one in ordered if self._far_ms(one)]
            drawn = [*near[:NEAR_CANDIDATES], *far][:CANDIDATES]
        else:
            drawn = ordered[:CANDIDATES]
        return _with_second_domain(drawn, ordered)

    def rank_ms(self, rank: int, work: Work) -> float:
        """Return the cost of leaving the candidates of a better rank."""
        if not work.affinity:
            return 0
        each_ms = RETURN_RANK_MS if work.is_return else RANK_MS
        return rank * each_ms

    def cost_ms(self, upstream: Upstream, work: Work) -> float:
        """Return the expected wait, and the harm to others, in ms."""
        if work.prompt_tokens:
            cost_ms = _engine_cost_ms(upstream, work)
        else:
            cost_ms = upstream.in_flight * PLAIN_REQUEST_MS
        cost_ms += self.directory.failure_share(upstream) * FAILURE_MS
        return cost_ms + self._far_ms(upstream) + self.rng.random()

    def _holder_cost_ms(self, upstream: Upstream) -> float:
        share = _memory_share(upstream, upstream.held_tokens)
        cost_ms = share * MEMORY_FULL_MS + self._far_ms(upstream)
        return cost_ms + self.rng.random()

    def _first_of_regions(self, ordered: list[Upstream]) -> list[Upstream]:
        by_region: dict[str, list[Upstream]] = {}
        for upstream in ordered:
            region = self.region_by_domain.get(upstream.record.failure_domain)
            by_region.setdefault(region or '', []).append(upstream)
        return [
            one
            for members in by_region.values()
            for one in members[:RETURN_CANDIDATES]
        ]

    def _in_order(self, work: Work) -> Iterator[Upstream]:
        """Yield what may run the work: by affinity, else at random."""
        directory = self.directory
        if work.affinity:
            ordered = directory.by_affinity(work.service, work.affinity)
        else:
            there = list(directory.of_service(work.service))
            ordered = iter(self.rng.sample(there, len(there)))
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
            key=lambda one: self.cost_ms(one, work),
            default=None,
        )

    def _far_ms(self, upstream: Upstream) -> float:
        region = self.region_by_domain.get(upstream.record.failure_domain)
        is_near = region == self.region_by_domain.get(self.own_domain)
        return 0 if is_near else FAR_MS


def _with_second_domain(
    drawn: list[Upstream],
    ordered: list[Upstream],
) -> list[Upstream]:
    domains = {one.record.failure_domain for one in drawn}
    if len(domains) != 1:
        return drawn
    others = (
        one for one in ordered if one.record.failure_domain not in domains
    )
    last = next(others, drawn[-1])
    return [*drawn[:-1], last]


def _engine_cost_ms(upstream: Upstream, work: Work) -> float:
    report = upstream.report
    unread = upstream.prefill_tokens
    running = upstream.in_flight
    if report is not None:
        told = report.unread_tokens + upstream.sent_since_report
        unread = max(unread, told)
        running = max(running, report.running)
    waiting = unread + work.prompt_tokens
    cost_ms = waiting / PREFILL_TOKENS_PER_MS + running * RUNNING_MS
    return cost_ms + _memory_share(upstream) ** 2 * MEMORY_FULL_MS


def _memory_share(upstream: Upstream, more_tokens: int = 0) -> float:
    """Return the share of its memory in use; 0 where nothing was reported."""
    report = upstream.report
    if report is None:
        return 0
    return (report.kv_used + more_tokens) / max(report.kv_total, 1)
