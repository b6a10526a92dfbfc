"""Distance between an entry and the upstreams, weighed against the wait there.

Bytes between failure domains are dear at some deployments. An attempt
therefore stays in the entry's failure domain while the wait there is longer
than elsewhere by less than a part of the request's target; then it goes to the
next domain of the region, then to others.

The part is what keeps entries from moving in step: reports are late, and all
entries of a domain see the same ones. A difference within the part moves
nothing, and one beyond it moves only the requests that draw such candidates.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from bergamotthread.process.relay.upstreams import Upstream

# Part of its target by which a request may be served later in the own failure
# domain than in another one. It is well within the part of the target that is
# kept for errors of the forecast.
DOMAIN_WAIT_FRACTION = 0.1
# Extra cost of another region, for the round trip and the paid traffic.
CROSS_REGION_COST_MS = 60.0
# Upstreams that are asked for their load before one is chosen.
SAMPLED_CANDIDATES = 4
# Candidates taken from this region if it has enough upstreams: traffic between
# regions is paid, and a loss in this region is noticed a round trip sooner.
OWN_REGION_CANDIDATES = 3
# Those of them taken from the own failure domain if it has enough; the others
# are for the copy, and for a domain that is lost or over.
OWN_DOMAIN_CANDIDATES = 2
# With fewer upstreams in the region or the domain, the choice among queues is
# too small, and all regions or domains are treated alike.
NEAR_UPSTREAMS_MIN = 6


class Tier(enum.IntEnum):
    """How far an upstream is."""

    DOMAIN = 0
    REGION = 1
    ELSEWHERE = 2


@dataclass(frozen=True, slots=True)
class Distance:
    """Distances from one failure domain.

    Parameters
    ----------
    region_by_domain
        Region of each failure domain.
    """

    own_domain: str
    region_by_domain: dict[str, str]

    def tier(self, upstream: Upstream) -> Tier:
        """Return how far an upstream is."""
        domain = upstream.record.failure_domain
        if domain == self.own_domain:
            return Tier.DOMAIN
        region = self.region_by_domain.get(domain)
        is_near = region == self.region_by_domain.get(self.own_domain)
        return Tier.REGION if is_near else Tier.ELSEWHERE

    def region_cost_ms(self, upstream: Upstream) -> float:
        """Return the cost of another region."""
        is_far = self.tier(upstream) is Tier.ELSEWHERE
        return CROSS_REGION_COST_MS if is_far else 0

    def cost_ms(self, upstream: Upstream, target_ms: float) -> float:
        """Return the wait that the distance of an upstream outweighs.

        Parameters
        ----------
        target_ms
            Target of the request; 0 to weigh regions alone.
        """
        cost_ms = self.region_cost_ms(upstream)
        if self.tier(upstream) is Tier.DOMAIN:
            return cost_ms
        return cost_ms + target_ms * DOMAIN_WAIT_FRACTION

    def prefers_domain(self, upstreams: Iterable[Upstream]) -> bool:
        """Return whether the own domain has enough upstreams for a choice."""
        own = sum(self.tier(one) is Tier.DOMAIN for one in upstreams)
        return own >= NEAR_UPSTREAMS_MIN

    def draw(
        self, ordered: Sequence[Upstream], *, by_domain: bool
    ) -> list[Upstream]:
        """Return the first upstreams, mostly near ones.

        Parameters
        ----------
        by_domain
            Whether the own failure domain goes before the rest of its region.
        """
        near = [one for one in ordered if self.tier(one) < Tier.ELSEWHERE]
        if len(near) < NEAR_UPSTREAMS_MIN:
            return list(ordered[:SAMPLED_CANDIDATES])
        far = [one for one in ordered if self.tier(one) is Tier.ELSEWHERE]
        if by_domain and self.prefers_domain(near):
            near = self._own_domain_first(near)
        return [*near[:OWN_REGION_CANDIDATES], *far][:SAMPLED_CANDIDATES]

    def _own_domain_first(self, near: Sequence[Upstream]) -> list[Upstream]:
        """Return the candidates of the region, those of the domain first."""
        own = [one for one in near if self.tier(one) is Tier.DOMAIN]
        others = [one for one in near if self.tier(one) is Tier.REGION]
        rest = own[OWN_DOMAIN_CANDIDATES:]
        return [*own[:OWN_DOMAIN_CANDIDATES], *others, *rest]
