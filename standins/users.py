"""Small object sets in the form of the two users' deployments."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from bergamotthread.version.objects import (
    CallRule,
    FailureDomain,
    Model,
    ObjectSet,
    Operator,
    Region,
    ResumeMode,
    ResumePolicy,
    Route,
    Service,
    ServiceKind,
    Team,
    Upstream,
)
from bergamotthread.wire.messages import Pin


@dataclass(frozen=True)
class User:
    """A user: its regions, teams, model, plain service and resume policy.

    Parameters
    ----------
    guarded_path
        Path of the plain service whose calls are not idempotent.
    """

    name: str
    regions: tuple[str, ...]
    model: str
    teams: tuple[str, ...]
    plain_service: str
    guarded_path: str
    prompt: str
    resume: ResumePolicy = ResumePolicy()

    @property
    def pin(self) -> Pin:
        """Return the model version that the user's engines have loaded."""
        return Pin(self.model, 'v1')

    def credential(self, team: str) -> str:
        """Return the bearer credential of a team; for stand-ins only."""
        return f'{self.name}-{team}-credential'


TERMOLAB = User(
    name='termolab',
    regions=('cuyo', 'litoral', 'pampa'),
    model='furnace-reading',
    teams=('shop-mendoza', 'shop-rosario'),
    plain_service='portal',
    guarded_path='/certificates',
    prompt='batch 17 quench curve 860C 320C 60C soak 42 min atmosphere 0.8',
    resume=ResumePolicy(
        mode=ResumeMode.WARM_STANDBY,
        standby_after_tokens=64,
    ),
)
MWAKYUSA = User(
    name='mwakyusa',
    regions=('dar', 'arusha', 'mwanza'),
    model='defect-report',
    teams=('inspectors-dar', 'inspectors-arusha'),
    plain_service='office',
    guarded_path='/sign-offs',
    prompt='trench 204 reinstated, photo notes 1 to 9, surface settled 12 mm',
    resume=ResumePolicy(cross_region=False),
)
USERS = (TERMOLAB, MWAKYUSA)


def domain_name(region: str, index: int) -> str:
    """Return the name of one of the two failure domains of a region."""
    return f'{region}-{"ab"[index % 2]}'


def user_set(
    user: User,
    engine_agents: Sequence[str],
    service_agents: Sequence[str] = (),
) -> ObjectSet:
    """Return the user's objects, with an upstream for each agent.

    Agents are assigned to the regions in turn.
    """
    return ObjectSet(
        regions=tuple(
            Region(region, egress_price_per_gb=0.09) for region in user.regions
        ),
        failure_domains=tuple(
            FailureDomain(domain_name(region, index), region)
            for region in user.regions
            for index in range(2)
        ),
        teams=tuple(
            Team(team, credential_hashes=(_hash(user.credential(team)),))
            for team in user.teams
        ),
        operators=(Operator('operator', (_hash(f'{user.name}-operator'),)),),
        models=(Model(user.model, ('v1',)),),
        services=_services(user, has_plain=bool(service_agents)),
        routes=_routes(user, has_plain=bool(service_agents)),
        upstreams=(
            *_engines(user, engine_agents),
            *_plain_upstreams(user, service_agents),
        ),
    )


def _routes(user: User, *, has_plain: bool) -> tuple[Route, ...]:
    readings = Route('readings', 'readings', user.model, 'v1')
    if has_plain:
        return (readings, Route('plain', user.plain_service))
    return (readings,)


def _services(user: User, *, has_plain: bool) -> tuple[Service, ...]:
    readings = Service('readings', ServiceKind.MODEL, resume=user.resume)
    if has_plain:
        return (readings, _plain_service(user))
    return (readings,)


def _plain_service(user: User) -> Service:
    return Service(
        user.plain_service,
        ServiceKind.PLAIN,
        calls=(
            CallRule('POST', user.guarded_path, idempotent=False),
            CallRule('GET', '/', idempotent=True),
        ),
    )


def _engines(user: User, agents: Sequence[str]) -> tuple[Upstream, ...]:
    count = len(user.regions)
    return tuple(
        Upstream(
            f'engine-{index}',
            agent,
            domain_name(user.regions[index % count], index // count),
            models=(user.pin,),
        )
        for index, agent in enumerate(agents)
    )


def _plain_upstreams(user: User, agents: Sequence[str]) -> tuple[Upstream, ...]:
    count = len(user.regions)
    return tuple(
        Upstream(
            f'{user.plain_service}-{index}',
            agent,
            domain_name(user.regions[index % count], index),
            service=user.plain_service,
        )
        for index, agent in enumerate(agents)
    )


def _hash(credential: str) -> str:
    return hashlib.sha256(credential.encode()).hexdigest()
