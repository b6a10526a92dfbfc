"""Requests like those of the two deployments, drawn with a fixed seed."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

BLOCK_TOKENS = 256
LONG_OUTPUT_FRACTION = 0.04
SHORT_OUTPUT_TOKENS = 180
LONG_OUTPUT_TOKENS = (1000, 3000)
PREFIX_BLOCKS = (2, 14)
SUFFIX_BLOCKS = (1, 4)
TEMPLATES_PER_TEAM = 6
TEAMS = tuple(f't{index}' for index in range(10))


@dataclass(frozen=True)
class Job:
    """One request.

    The first blocks of the prompt belong to a template that requests of the
    team share; the hashes of the other blocks are unique to this request.
    """

    generation: str
    team: str
    prompt_tokens: int
    shared_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]


@dataclass(frozen=True)
class Arrival:
    """Request with its arrival time and the index of its entry."""

    at_ms: float
    entry: int
    job: Job


@dataclass(frozen=True)
class Phase:
    """Period with a constant arrival rate, summed over all teams."""

    duration_ms: float
    per_s: float


@dataclass(frozen=True)
class Workload:
    """Arrivals of several teams at several entries.

    Parameters
    ----------
    weight_by_team
        Relative arrival rate of each team; they need not sum to one.
    entry_weights
        Relative arrival rate of each entry.
    phases
        Periods of constant load, one after the other.
    seed
        Seed of all random draws.
    start_ms_by_team
        Time before which a team sends nothing; 0 for teams not listed.
    """

    weight_by_team: dict[str, float]
    entry_weights: tuple[float, ...]
    phases: tuple[Phase, ...]
    seed: int = 7
    start_ms_by_team: dict[str, float] = field(default_factory=dict)

    def arrivals(self) -> Iterator[Arrival]:
        """Yield all arrivals in order of their time."""
        draw = random.Random(self.seed)
        teams = sorted(self.weight_by_team)
        weights = [self.weight_by_team[team] for team in teams]
        entries = range(len(self.entry_weights))
        phase_start_ms = float(0)
        serial = 0
        for phase in self.phases:
            at_ms = phase_start_ms
            phase_start_ms += phase.duration_ms
            while True:
                at_ms += draw.expovariate(phase.per_s / 1000)
                if at_ms >= phase_start_ms:
                    break
                serial += 1
                team = draw.choices(teams, weights)[0]
                entry = draw.choices(entries, self.entry_weights)[0]
                job = draw_job(draw, team, serial)
                if at_ms >= self.start_ms_by_team.get(team, 0):
                    yield Arrival(at_ms, entry, job)


def draw_job(draw: random.Random, team: str, serial: int) -> Job:
    """Return a random request of a team that uses one of its templates."""
    template = draw.randrange(TEMPLATES_PER_TEAM)
    shape = random.Random(f'{team}/{template}')
    shared_blocks = shape.randint(*PREFIX_BLOCKS)
    unique_blocks = draw.randint(*SUFFIX_BLOCKS)
    output_tokens = int(draw.expovariate(1 / SHORT_OUTPUT_TOKENS)) + 8
    if draw.random() < LONG_OUTPUT_FRACTION:
        output_tokens = draw.randint(*LONG_OUTPUT_TOKENS)
    shared = [shape.getrandbits(62) for _ in range(shared_blocks)]
    unique = [(serial << 8) + index for index in range(unique_blocks)]
    return Job(
        generation=f'g{serial}',
        team=team,
        prompt_tokens=(shared_blocks + unique_blocks) * BLOCK_TOKENS,
        shared_tokens=shared_blocks * BLOCK_TOKENS,
        output_tokens=output_tokens,
        prefix_hashes=tuple(shared + unique),
    )
