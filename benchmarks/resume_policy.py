"""Resume latency and resource overhead of resume policies after losses.

Runs the real entry and agents over an in-memory network in virtual time, and
writes a table to `docs/design/resume-figures.md`.
"""

from __future__ import annotations

import asyncio
import enum
import itertools
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from absl import logging

from benchmarks.figures import percentile
from bergamotthread.request.completion import CompletionRequest
from bergamotthread.request.live_generation import LiveGeneration
from bergamotthread.testing.memory_network import MemoryNetwork
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.version.objects import (
    FailureDomain,
    Model,
    ObjectSet,
    Region,
    ResumeMode,
    ResumePolicy,
    Route,
    Service,
    ServiceKind,
    Team,
    Upstream,
)
from standins.engine_core import EngineSpeed
from standins.small_deployment import (
    PIN,
    TEAM,
    AgentNode,
    SmallDeployment,
    agent_address,
    entry_address,
)
from standins.tokens import verify_answer

FIGURES_FILE = Path('docs/design/resume-figures.md')
OUTPUT_TOKENS = 400
PROMPT_TOKENS = 2000
GENERATIONS = 16
START_INTERVAL_MS = 200
FAULT_MS = 4500
FAULT_STEP_MS = 137
JITTER_MS = 1
PAUSE_MS = 30_000
SAMPLE_MS = 100
SEEDS = (1, 2, 3, 4)
SPEED = EngineSpeed(
    token_interval_ms=20,
    prefill_ms_per_token=0.2,
    stop_at=OUTPUT_TOKENS,
)
_MS_PER_S = 1000
_REGIONS = ('home', 'near', 'far')


@dataclass(frozen=True)
class Site:
    """One customer's deployment: agents and one-way delays in ms."""

    name: str
    agents: int
    domain_ms: float
    region_ms: float
    client_ms: float


SITES = (
    Site('Termolab', 21, 1, 30, 1),
    Site('Mwakyusa', 12, 1.2, 30, 3),
)


class Fault(enum.StrEnum):
    """Fault injected while generations run."""

    NONE = 'none'
    ENGINE_DEATH = 'engine death'
    HOST_DEATH = 'host death'
    ENGINE_PAUSE = 'engine pause 30 s'
    REGION_DEATH = 'region death'


@dataclass(frozen=True)
class ResumeStrategy:
    """One resume policy; a `naive` one lets the caller restart from zero."""

    name: str
    policy: ResumePolicy
    naive: bool = False


ON_DEMAND = ResumeStrategy('on demand', ResumePolicy(cross_region=False))
ON_DEMAND_CROSS = ResumeStrategy('on demand, cross-region', ResumePolicy())
WARM = ResumeStrategy(
    'warm standby',
    ResumePolicy(mode=ResumeMode.WARM_STANDBY, cross_region=False),
)
WARM_CROSS = ResumeStrategy(
    'warm standby, cross-region',
    ResumePolicy(mode=ResumeMode.WARM_STANDBY),
)
NAIVE = ResumeStrategy(
    'restart from zero',
    ResumePolicy(max_attempts=1, cross_region=False),
    naive=True,
)
STRATEGIES = (NAIVE, ON_DEMAND, ON_DEMAND_CROSS, WARM, WARM_CROSS)


@dataclass
class ResourceUse:
    """Outcomes and resources used, summed over the generations of runs.

    `resume_ms` holds the time from the fault to new output at the caller;
    `standby_token_s` is warmed tokens times the seconds that they are held.
    """

    resume_ms: list[float] = field(default_factory=list)
    complete: int = 0
    refused: int = 0
    prefill_tokens: int = 0
    decoded_tokens: int = 0
    cross_region_bytes: int = 0
    standby_token_s: float = 0


@dataclass(frozen=True)
class Row:
    """One row of the table; extra resources are per lost generation."""

    site: str
    fault: str
    way: str
    lost: int
    whole_share: float
    p50_ms: float
    p95_ms: float
    extra_prefill: float
    extra_decoded: float
    standby_token_s: float
    extra_cross_kb: float


def object_set(site: Site, policy: ResumePolicy) -> ObjectSet:
    """Return three regions of two failure domains with a site's upstreams."""
    domains = tuple(
        FailureDomain(f'{region}-{letter}', region)
        for region, letter in itertools.product(_REGIONS, 'ab')
    )
    return ObjectSet(
        regions=tuple(Region(name, 1) for name in _REGIONS),
        failure_domains=domains,
        teams=(Team(TEAM),),
        models=(Model(PIN.model, (PIN.version,)),),
        services=(Service('logs', ServiceKind.MODEL, policy),),
        routes=(Route('log', 'logs', PIN.model, PIN.version),),
        upstreams=tuple(
            Upstream(
                f'engine-{index}',
                agent_address(index),
                domains[index % len(domains)].name,
                models=(PIN,),
            )
            for index in range(site.agents)
        ),
    )


def _region_of(index: int) -> str:
    domains = list(itertools.product(_REGIONS, 'ab'))
    return domains[index % len(domains)][0]


def _network(site: Site, seed: int) -> MemoryNetwork:
    network = MemoryNetwork(
        delay_ms=site.domain_ms,
        jitter_ms=JITTER_MS,
        seed=seed,
    )
    entry = entry_address(0)
    for index in range(site.agents):
        if _region_of(index) != _REGIONS[0]:
            agent = agent_address(index)
            network.delay_ms_by_link[entry, agent] = site.region_ms
            network.delay_ms_by_link[agent, entry] = site.region_ms
    return network


class Run:
    """One deployment under load with at most one fault."""

    def __init__(
        self, site: Site, way: ResumeStrategy, fault: Fault, seed: int
    ) -> None:
        self.use = ResourceUse()
        self._site = site
        self._way = way
        self._fault = fault
        self._deployment = SmallDeployment(
            agent_count=site.agents,
            speed=SPEED,
            network=_network(site, seed),
            objects=object_set(site, way.policy),
            entry_region=_REGIONS[0],
        )
        self._seed = seed
        self._random = random.Random(seed)
        self._fault_ms = float(0)
        self._victims: set[str] = set()
        self._lives: list[LiveGeneration] = []

    async def run(self) -> ResourceUse:
        """Run until every answer has ended; return outcomes and resources."""
        sampling = asyncio.create_task(self._sample())
        tasks = []
        for index in range(GENERATIONS):
            tasks.append(asyncio.create_task(self._caller(index)))
            interval_ms = self._random.uniform(0, 2 * START_INTERVAL_MS)
            await self._deployment.clock.sleep_ms(interval_ms)
        await self._deployment.clock.sleep_ms(
            FAULT_MS
            + self._seed * FAULT_STEP_MS
            - self._deployment.clock.now_ms()
        )
        self._inject_fault()
        await asyncio.gather(*tasks)
        sampling.cancel()
        self._count()
        return self.use

    async def _caller(self, index: int) -> None:
        prompt = f'{self._seed}-{index} ' * PROMPT_TOKENS
        live = self._open(prompt)
        held_tokens = await self._read(live, 0)
        if self._way.naive and live.generation.refusal is not None:
            live = self._open(prompt)
            await self._read(live, held_tokens)
        if live.generation.refusal is not None:
            self.use.refused += 1
            return
        self.use.complete += 1
        verify_answer(prompt, ''.join(live.generation.tokens), OUTPUT_TOKENS)

    def _open(self, prompt: str) -> LiveGeneration:
        request = CompletionRequest(
            PIN.model, prompt, max_tokens=2 * OUTPUT_TOKENS
        )
        live, _ = self._deployment.entries[0].open(request)
        self._lives.append(live)
        return live

    async def _read(self, live: LiveGeneration, held: int) -> int:
        """Read to the end; record when output resumes after the fault.

        Returns the number of tokens; `held` is the number that the caller had
        from an earlier run.
        """
        generation = live.generation
        is_recorded = False
        while not generation.is_over:
            live.consumed_tokens = generation.offset
            await live.wait_change()
            if not is_recorded and self._has_resumed(live, held):
                is_recorded = True
                resumed_ms = self._deployment.clock.now_ms() - self._fault_ms
                self.use.resume_ms.append(resumed_ms + self._site.client_ms)
        return generation.offset

    def _has_resumed(self, live: LiveGeneration, held: int) -> bool:
        if held:
            return live.generation.offset > held
        is_resumed = live.attempts > 1 and live.resumed_offset > 0
        return is_resumed and live.generation.offset > live.resumed_offset

    def _inject_fault(self) -> None:
        self._fault_ms = self._deployment.clock.now_ms()
        match self._fault:
            case Fault.NONE:
                return
            case Fault.REGION_DEATH:
                nodes = [
                    node
                    for index, node in enumerate(self._deployment.agents)
                    if _region_of(index) == _REGIONS[0]
                ]
            case _:
                nodes = [self._busiest()]
        for node in nodes:
            self._inject_node_fault(node)

    def _busiest(self) -> AgentNode:
        return max(
            self._deployment.agents,
            key=lambda node: node.agent.attempts.running_count,
        )

    def _inject_node_fault(self, node: AgentNode) -> None:
        match self._fault:
            case Fault.ENGINE_DEATH:
                node.engine.die()
            case Fault.ENGINE_PAUSE:
                node.engine.pause(PAUSE_MS)
            case _:
                node.engine.die()
                node.kill()

    async def _sample(self) -> None:
        while True:
            await self._deployment.clock.sleep_ms(SAMPLE_MS)
            standby_tokens = sum(
                live.warmed_offset
                for live in self._lives
                if live.standby and not live.generation.is_over
            )
            self.use.standby_token_s += standby_tokens * SAMPLE_MS / _MS_PER_S

    def _count(self) -> None:
        use = self.use
        for node in self._deployment.agents:
            use.prefill_tokens += node.engine.counts.prefill_tokens
            use.decoded_tokens += node.engine.counts.decoded_tokens
        remote_agents = {
            agent_address(index)
            for index in range(self._site.agents)
            if _region_of(index) != _REGIONS[0]
        }
        for link, count in self._deployment.network.bytes_by_link.items():
            if remote_agents.intersection(link):
                use.cross_region_bytes += count


def measure_use(
    site: Site,
    way: ResumeStrategy,
    fault: Fault,
    seeds: Iterable[int] = SEEDS,
) -> ResourceUse:
    """Run once for each seed; return the summed outcomes and resources."""
    total = ResourceUse()
    for seed in seeds:
        use = run_virtual(_run(site, way, fault, seed))
        total.resume_ms += use.resume_ms
        total.complete += use.complete
        total.refused += use.refused
        total.prefill_tokens += use.prefill_tokens
        total.decoded_tokens += use.decoded_tokens
        total.cross_region_bytes += use.cross_region_bytes
        total.standby_token_s += use.standby_token_s
    return total


async def _run(
    site: Site, way: ResumeStrategy, fault: Fault, seed: int
) -> ResourceUse:
    return await Run(site, way, fault, seed).run()


def make_row(
    site: Site,
    way: ResumeStrategy,
    fault: Fault,
    clean: ResourceUse,
    seeds: Iterable[int] = SEEDS,
) -> Row:
    """Return one row; `clean` is a run without fault and without standby."""
    use = measure_use(site, way, fault, seeds)
    lost = max(1, len(use.resume_ms) + use.refused)
    decoded = use.decoded_tokens - clean.decoded_tokens
    cross_bytes = use.cross_region_bytes - clean.cross_region_bytes
    return Row(
        site=site.name,
        fault=fault,
        way=way.name,
        lost=lost,
        whole_share=use.complete / (use.complete + use.refused),
        p50_ms=percentile(use.resume_ms, 0.5),
        p95_ms=percentile(use.resume_ms, 0.95),
        extra_prefill=(use.prefill_tokens - clean.prefill_tokens) / lost,
        extra_decoded=decoded / lost,
        standby_token_s=use.standby_token_s / lost,
        extra_cross_kb=cross_bytes / _MS_PER_S / lost,
    )


def rows() -> Iterator[Row]:
    """Yield the rows of the table."""
    for site in SITES:
        clean = measure_use(site, ON_DEMAND, Fault.NONE)
        for fault in tuple(Fault)[1:]:
            for way in STRATEGIES:
                yield make_row(site, way, fault, clean)


_HEADER = (
    '| site | loss | way | lost | whole | p50 ms | p95 ms | extra prefill |'
    ' extra decoded | standby token s | extra cross-region kB |\n'
    '| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |'
    ' ---: |'
)


def _line(row: Row) -> str:
    return (
        f'| {row.site} | {row.fault} | {row.way} | {row.lost} |'
        f' {row.whole_share:.0%} | {row.p50_ms:.0f} | {row.p95_ms:.0f} |'
        f' {row.extra_prefill:.0f} | {row.extra_decoded:.0f} |'
        f' {row.standby_token_s:.0f} | {row.extra_cross_kb:.1f} |'
    )


def main() -> None:
    """Print the table and write it to `FIGURES_FILE`."""
    logging.set_verbosity(logging.FATAL)
    lines = [
        '# Resume latency against extra use',
        '',
        'Written by `python -m benchmarks.resume_policy`. Extra use is per',
        'lost generation, against the load with no fault and no standby.',
        '',
        _HEADER,
    ]
    for row in rows():
        lines.append(_line(row))
        print(lines[-1], flush=True)  # noqa: T201, WPS421
    FIGURES_FILE.write_text('\n'.join((*lines, '')))


if __name__ == '__main__':
    main()
