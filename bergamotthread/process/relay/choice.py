"""Choice of the upstream that runs an attempt.

Engines are compared by the tokens that wait to be read and by the memory in
use, plain upstreams by the requests in flight. Own dispatches count at once;
reports of load are late and shared by all entries, so the choice is among a
few candidates drawn at random.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from bergamotthread.process.relay.upstreams import (
    Upstream,
    UpstreamDirectory,
    without,
)

# Prompt tokens that an engine reads in a millisecond, until it is measured.
PREFILL_TOKENS_PER_MS = 8.0
# Time that each running answer adds to the tokens of the others.
RUNNING_MS = 15.0
# Extra cost of another region: a round trip and paid traffic.
FAR_MS = 60.0
# Cost of an upstream all of whose recent answers failed.
FAILURE_MS = 4000.0
# Cost of an upstream that is left alone, used only where nothing else is.
SUSPECT_MS = 60_000.0
# Candidates that are compared for one choice.
CANDIDATES = 4
# Time that a request in flight at a plain upstream adds.
PLAIN_REQUEST_MS = 15.0


@dataclass(frozen=True, slots=True)
class Work:
    """What an attempt asks of an upstream.

    Parameters
    ----------
    prompt_tokens
        Tokens to read; 0 for plain services.
    avoided_domain
        Failure domain that is used only where no other has an upstream.
    """

    service: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    excluded: frozenset[str] = frozenset()
    avoided_domain: str = ''


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
        """Return the cheapest of a few candidates, or none."""
        candidates = without(
            self.directory.of_service(work.service),
            work.excluded,
        )
        usable = self._usable(candidates, work)
        if not usable:
            return None
        drawn = usable
        if work.prompt_tokens and len(usable) > CANDIDATES:
            drawn = self.rng.sample(usable, CANDIDATES)
        return min(drawn, key=lambda one: self._cost_ms(one, work))

    def _usable(
        self,
        candidates: Sequence[Upstream],
        work: Work,
    ) -> list[Upstream]:
        sound = [
            one for one in candidates if not self.directory.is_suspect(one)
        ]
        elsewhere = [
            one
            for one in sound
            if one.record.failure_domain != work.avoided_domain
        ]
        return elsewhere or sound

    def _cost_ms(self, upstream: Upstream, work: Work) -> float:
        if work.prompt_tokens:
            cost_ms = self._engine_cost_ms(upstream, work)
        else:
            cost_ms = upstream.in_flight * PLAIN_REQUEST_MS
        cost_ms += self.directory.failure_share(upstream) * FAILURE_MS
        return cost_ms + self._far_ms(upstream) + self.rng.random()

    def _engine_cost_ms(self, upstream: Upstream, work: Work) -> float:
        waiting = upstream.prefill_tokens + work.prompt_tokens
        per_token = upstream.prefill_ms_per_token or 1 / PREFILL_TOKENS_PER_MS
        return waiting * per_token + upstream.in_flight * RUNNING_MS

    def _far_ms(self, upstream: Upstream) -> float:
        region = self.region_by_domain.get(upstream.record.failure_domain)
        is_near = region == self.region_by_domain.get(self.own_domain)
        return 0 if is_near else FAR_MS
