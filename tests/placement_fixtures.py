from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.process.routing.placement import PlacementRequest
from bergamotthread.version.objects import (
    FailureDomain,
    ObjectSet,
    Region,
    Stop,
    Upstream,
)
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Dispatch, Pin

PIN = Pin('quench', '1')


@dataclass
class ManualClock:
    """Clock in seconds that a test advances."""

    elapsed_s: float = 1000

    def __call__(self) -> float:
        return self.elapsed_s

    def advance_ms(self, duration_ms: float) -> None:
        self.elapsed_s += duration_ms / 1000

    @property
    def clock(self) -> Clock:
        return Clock(monotonic_s=self, calendar_s=self)


def published(
    upstreams: int = 6,
    stops: tuple[Stop, ...] = (),
    regions: int = 2,
) -> PublishedVersion:
    """Return a version with upstreams a0, a1, ... in r0d0, r1d0, r0d1, ..."""
    region_names = [f'r{index}' for index in range(regions)]
    domains = [
        f'{name}d{domain}' for domain in range(2) for name in region_names
    ]
    object_set = ObjectSet(
        regions=tuple(Region(name, 20) for name in region_names),
        failure_domains=tuple(
            FailureDomain(domain, domain[:2]) for domain in domains
        ),
        upstreams=tuple(
            Upstream(
                name=f'u{index}',
                agent=f'a{index}',
                failure_domain=domains[index % len(domains)],
                models=(PIN,),
                max_running=8,
            )
            for index in range(upstreams)
        ),
        stops=stops,
    )
    return PublishedVersion.from_object_set(3, object_set)


def placement_request(generation: str = 'g', **fields) -> PlacementRequest:
    defaults = {'team': 'foundry', 'pin': PIN, 'prompt_tokens': 2000}
    return PlacementRequest(generation=generation, **(defaults | fields))


def dispatch(generation: str = 'g', **fields) -> Dispatch:
    """Return a dispatch whose prompt text is its length in tokens."""
    defaults = {
        'attempt': 1,
        'pin': PIN,
        'prompt': '1000',
        'accepted': (),
        'max_tokens': 100,
        'remaining_ms': 60_000,
        'team': 'foundry',
    }
    return Dispatch(generation=generation, **(defaults | fields))
