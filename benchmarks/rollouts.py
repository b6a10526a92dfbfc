"""Errors of the judgement of roll-outs, and what bad builds get.

Plays drawn roll-outs with the real decisions against a model of entries and
upstreams, and writes a table to `docs/design/rollout-figures.md`.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path

import click

from benchmarks.figures import percentile
from benchmarks.rollout_model import (
    BOUND,
    Case,
    Deciding,
    FaultKind,
    Model,
    Outcome,
    Trouble,
    kinds_of_bad,
)
from bergamotthread.process.rollouts.order import RolloutState

FIGURES_FILE = Path('docs/design/rollout-figures.md')
PARTS = (0.02, 0.05, 0.2, 1.0)
LARGE_PER_S = 200
STREAM_PART = 0.25

Selected = Callable[[Case], bool]


def draw(seed: int) -> Case:
    """Return a sound build's roll-out without trouble."""
    drawn = random.Random(seed)
    is_stream = drawn.random() < STREAM_PART
    return Case(
        seed=seed,
        entries=drawn.choices((1, 3, 47, 324), (3, 4, 2, 0.3))[0],
        uneven=drawn.choice((False, True)),
        per_s=drawn.choice((10, 40) if is_stream else (10, 40, 100, 400)),
        routes=drawn.randint(1, 4),
        domains=drawn.randint(2, 6),
        per_domain=drawn.randint(1, 7),
        mean_ms=drawn.choice((20, 50) if is_stream else (10, 50, 200)),
        events=drawn.randint(20, 60) if is_stream else 0,
        base_failed=drawn.choice((0, 0.001, 0.02)),
        deciding=drawn.choice((Deciding.ONE, Deciding.REPLACED, Deciding.TWO)),
        lost_reports=drawn.choice((0, 0, 0.2)),
    )


def good_cases(count: int) -> Iterator[Case]:
    """Yield roll-outs of sound builds beside each kind of trouble."""
    troubles = tuple(Trouble)
    for seed in range(count):
        yield replace(draw(seed), trouble=troubles[seed % len(troubles)])


def bad_cases(kind: FaultKind, part: float, count: int) -> Iterator[Case]:
    """Yield roll-outs of bad builds."""
    for seed in range(count):
        case = draw(10_000 + seed)
        yield replace(case, fault=kind, part=part, trouble=Trouble.NONE)


def play(cases: Iterator[Case]) -> list[tuple[Case, Outcome]]:
    """Return the outcome of each case."""
    return [(case, Model(case).run()) for case in cases]


def good_line(
    label: str, played: list[tuple[Case, Outcome]], selected: Selected
) -> str:
    """Return a row about sound builds."""
    chosen = [(case, outcome) for case, outcome in played if selected(case)]
    rolled_back = sum(
        RolloutState.ROLLED_BACK in outcome.ends for _, outcome in chosen
    )
    completed = [
        (case, outcome)
        for case, outcome in chosen
        if RolloutState.COMPLETED in outcome.ends
    ]
    in_time = sum(
        outcome.ended_ms <= case.duration_ms for case, outcome in completed
    )
    ended_s = [outcome.ended_ms / 1000 for _, outcome in completed] or [0]
    cut = sum(outcome.cut for _, outcome in chosen)
    return (
        f'| {label} | {len(chosen)} | {rolled_back} | {in_time} |'
        f' {statistics.median(ended_s):.1f} | {percentile(ended_s, 0.95):.1f} |'
        f' {cut} |'
    )


def bad_line(
    kind: FaultKind, part: float, played: list[tuple[Case, Outcome]]
) -> str:
    """Return a row about bad builds."""
    back = [
        outcome
        for _, outcome in played
        if RolloutState.ROLLED_BACK in outcome.ends
    ]
    large = [outcome for case, outcome in played if case.per_s >= LARGE_PER_S]
    large_back = [
        outcome for outcome in large if RolloutState.ROLLED_BACK in outcome.ends
    ]
    exposed = [outcome.exposed for outcome in back] or [0]
    used = [
        outcome.exposed / (BOUND.share * outcome.reached + BOUND.slack)
        for _, outcome in played
    ]
    ended_s = [outcome.ended_ms / 1000 for outcome in back] or [0]
    bad = [len(outcome.bad_ms) for outcome in back] or [0]
    return (
        f'| {kind.value} | {part:.0%} | {len(played)} |'
        f' {len(played) - len(back)} | {len(large) - len(large_back)} of'
        f' {len(large)} | {statistics.median(exposed):.0f}, {max(exposed)} |'
        f' {max(used):.2f} | {statistics.median(bad):.0f}, {max(bad)} |'
        f' {statistics.median(ended_s):.1f}, {max(ended_s):.1f} |'
        f' {max(outcome.late_ms for _, outcome in played) / 1000:.1f} |'
    )


_GOOD_HEADER = (
    '| sound builds beside | cases | rolled back | completed in time |'
    ' median s | 95 % s | cut |\n'
    '| --- | ---: | ---: | ---: | ---: | ---: | ---: |'
)
_BAD_HEADER = (
    '| bad builds | part | cases | missed | missed at 400/s |'
    ' exposed: median, max | of the bound, max | bad answers: median, max |'
    ' rolled back at s: median, max | last after the 50th, s, max |\n'
    '| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |'
)


def _is_calm(case: Case) -> bool:
    """Return whether one entry decides and all reports arrive."""
    return case.deciding is Deciding.ONE and not case.lost_reports


def good_lines(played: list[tuple[Case, Outcome]]) -> Iterator[str]:
    """Yield the table of sound builds."""
    yield _GOOD_HEADER
    yield good_line('all', played, lambda _: True)
    for trouble in Trouble:
        chosen = [pair for pair in played if pair[0].trouble is trouble]
        yield good_line(trouble.value, chosen, lambda _: True)
    yield good_line('plain services', played, lambda case: not case.events)
    yield good_line(
        'plain, one decides, no report lost, up to 47 entries',
        played,
        lambda case: not case.events and _is_calm(case) and case.entries <= 47,
    )
    yield good_line('streams', played, lambda case: case.events > 0)
    yield good_line('324 entries', played, lambda case: case.entries == 324)


def lines(good: int, bad: int) -> Iterator[str]:
    """Yield the page."""
    yield '# Errors of the judgement of roll-outs\n'
    yield (
        f'Written by `python -m benchmarks.rollouts --good {good} --bad {bad}`,'
        '\nin model time; `benchmarks/rollout_model.py` has the model. A'
        ' roll-out lasts 12 s,\nits bound is 0.1 of the requests and 50. A'
        ' build that fails under load does so\nwhere an upstream gets over 0.6'
        " of a former one's usual requests. Cut are\nattempts at former builds"
        ' when the roll-out was completed. One entry, one that is\nreplaced'
        ' each 3 s, or two at once decide; in a third of the cases a fifth of'
        ' the\nreports is lost, and of the answers.\n'
    )
    played = play(good_cases(good))
    outcomes = [outcome for _, outcome in played]
    yield from good_lines(played)
    yield ''
    yield _BAD_HEADER
    for kind in tuple(FaultKind)[1:]:
        for part in PARTS:
            bad_played = play(bad_cases(kind, part, bad))
            outcomes.extend(outcome for _, outcome in bad_played)
            yield bad_line(kind, part, bad_played)
    yield ''
    broken = kinds_of_bad(outcomes)
    words = ', '.join(f'{name}: {times}' for name, times in broken.items())
    yield f'Rules broken in all {len(outcomes)} cases: {words}.'


@click.command()
@click.option('--good', default=1000, help='Cases of sound builds.')
@click.option('--bad', default=40, help='Cases of each kind of bad build.')
@click.option('--write/--no-write', default=True, help='Write the page.')
def main(good: int, bad: int, write: bool) -> None:
    """Print the tables and write them to `FIGURES_FILE`."""
    page = []
    for line in lines(good, bad):
        page.append(line)
        click.echo(line)
    if write:
        FIGURES_FILE.write_text('\n'.join((*page, '')))


if __name__ == '__main__':
    main()
