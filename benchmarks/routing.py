"""Measure the routing scenarios; write docs/design/routing-figures.md.

Run `python -m benchmarks.routing` from the root of the repository.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Generic, TypeVar

import click
import matplotlib as mpl
from matplotlib import pyplot

from benchmarks.baselines import unbounded_gate
from benchmarks.engine_model import saturated_per_s
from benchmarks.scenarios import (
    GAPS,
    LAGGING,
    NORMAL_LOAD,
    PLACEMENTS,
    SLOW,
    FairnessCase,
    FairnessRow,
    LoadCase,
    LoadRow,
    LossCase,
    LossRow,
    OverloadCase,
    OverloadRow,
    PoisonCase,
    PoisonRow,
    PooledCase,
    run_fairness,
    run_load,
    run_loss,
    run_overload,
    run_poison,
    run_pooled,
    scored_unbounded,
)
from benchmarks.topology import ALL_AGENTS, DOMAINS

LOADS = (0.5, 0.8, 0.95, 1.1)
POOLED_LOADS = (0.8, 0.95)
FAIR_LOADS = (0.5, 0.6, 0.8)
GREEDY_FACTOR = 20
DIRECTORY = Path('docs/design')
FIGURES_FILE = 'routing-figures.md'
PLOT_FILE = 'routing-figures.svg'

_CONDITIONS = {
    'one engine three times slower': SLOW,
    'reports 2 s late': LAGGING,
    'half of the cache events missing': GAPS,
}
_OVERLOADS = {
    'product': OverloadCase(),
    'product, prefix view not bounded': OverloadCase(scored_unbounded),
    'round robin, unbounded queue': OverloadCase(
        PLACEMENTS['round robin'],
        unbounded_gate,
        guarded=False,
    ),
}
_LOSSES = {
    'one domain, told after 0.1 s': LossCase(detection_ms=100),
    'one domain, noticed after 1 s': LossCase(),
    'scattered, told after 0.1 s': LossCase(scattered=True, detection_ms=100),
    'scattered, noticed after 1 s': LossCase(scattered=True),
    'one domain, after 1 s, restart from zero': LossCase(naive=True),
}

_Case = TypeVar('_Case')
_Row = TypeVar('_Row')


@dataclass(frozen=True)
class _Batch(Generic[_Case, _Row]):
    """Cases of one kind and the function that measures one of them."""

    run: Callable[[_Case], _Row]
    cases: tuple[_Case, ...]

    def rows(self, pool: ProcessPoolExecutor) -> list[tuple[_Case, _Row]]:
        """Measure all cases; return each with its figures, in order."""
        return list(
            zip(self.cases, pool.map(self.run, self.cases), strict=True)
        )


def _table(head: Iterable[str], lines: Iterable[Iterable[str]]) -> str:
    titles = tuple(head)
    rule = tuple('---' for _ in titles)
    rows = [' | '.join(row) for row in (titles, rule, *lines)]
    return ''.join(f'| {row} |\n' for row in rows)


_LOAD_HEAD = (
    'placement',
    'load',
    'first token p50/p95/p99, ms',
    'between tokens p95, ms',
    'KV max/mean',
    'recomputed prefill',
    'cross-region, MB',
    'refused',
)


def _load_line(case: LoadCase, row: LoadRow) -> list[str]:
    return [
        case.placement,
        f'{case.load:.0%}',
        '/'.join(f'{value_ms:.0f}' for value_ms in row.first_token_ms),
        f'{row.between_p95_ms:.0f}',
        f'{row.imbalance:.2f}',
        f'{row.recomputed:.0%}',
        f'{row.cross_region_mb:.1f}',
        f'{row.refused:.1%}',
    ]


def _loads(pool: ProcessPoolExecutor) -> str:
    cases = tuple(
        LoadCase(name, load)
        for load, name in itertools.product(LOADS, PLACEMENTS)
    )
    rows = _Batch(run_load, cases).rows(pool)
    parts = [_table(_LOAD_HEAD, itertools.starmap(_load_line, rows))]
    for title, conditions in _CONDITIONS.items():
        batch = _Batch(
            run_load,
            tuple(
                LoadCase(name, NORMAL_LOAD, conditions) for name in PLACEMENTS
            ),
        )
        lines = itertools.starmap(_load_line, batch.rows(pool))
        parts.append(f'With {title}:\n\n{_table(_LOAD_HEAD, lines)}')
    return '\n'.join(parts)


def _pooled(pool: ProcessPoolExecutor) -> str:
    names = ('prefix-affine, bounded', 'scored, no size term', 'scored')
    cases = tuple(
        PooledCase(name, load)
        for load, name in itertools.product(POOLED_LOADS, names)
    )
    lines = [
        (
            case.placement,
            f'{case.load:.0%}',
            '/'.join(f'{value_ms:.0f}' for value_ms in row),
        )
        for case, row in _Batch(run_pooled, cases).rows(pool)
    ]
    return _table(_LOAD_HEAD[:3], lines)


def _overload_line(name: str, row: OverloadRow) -> list[str]:
    recovery = 'never' if row.recovery_s is None else f'{row.recovery_s}'
    return [
        name,
        f'{row.served_per_s:.1f}',
        f'{row.overload_p95_ms:.0f}',
        recovery,
        f'{row.after_p95_ms:.0f}',
    ]


def _overloads(rows: dict[str, OverloadRow]) -> str:
    head = (
        'way',
        'served at 150%, per s',
        'first token p95 at 150%, ms',
        'recovery, s',
        'first token p95 in the last 30 s, ms',
    )
    return _table(head, itertools.starmap(_overload_line, rows.items()))


def _loss_line(name: str, row: LossRow) -> list[str]:
    return [
        name,
        str(row.resumed),
        str(row.unresumed),
        '/'.join(f'{value_ms / 1000:.2f}' for value_ms in row.resume_ms),
        f'{row.between_p95_ms:.0f}',
        f'{row.first_token_p95_ms:.0f}',
        str(row.refused),
    ]


def _losses(pool: ProcessPoolExecutor) -> str:
    rows = _Batch(run_loss, tuple(_LOSSES.values())).rows(pool)
    head = (
        'loss',
        'resumed',
        'not resumed',
        'resumed p50/p95/all, s',
        'between tokens p95, ms',
        'first token p95, ms',
        'refused',
    )
    named = zip(_LOSSES, (row for _, row in rows), strict=True)
    return _table(head, itertools.starmap(_loss_line, named))


def _fairness_line(case: FairnessCase, row: FairnessRow) -> list[str]:
    return [
        f'{case.load:.0%}',
        f'{case.factor:g}',
        'yes' if case.guarded else 'no',
        f'{row.small_p95_ms:.0f}',
        f'{row.small_refused:.1%}',
        f'{row.large_served_per_s:.2f}',
    ]


def _fairness(pool: ProcessPoolExecutor) -> str:
    cases = (
        *(
            FairnessCase(load, factor)
            for load in FAIR_LOADS
            for factor in (1, GREEDY_FACTOR)
        ),
        FairnessCase(0.6, GREEDY_FACTOR, guarded=False),
    )
    rows = _Batch(run_fairness, cases).rows(pool)
    head = (
        'load without the excess',
        'large team, times its share',
        'guard',
        'other teams: first token p95, ms',
        'other teams: refused',
        'large team: served, per s',
    )
    return _table(head, itertools.starmap(_fairness_line, rows))


def _poison_line(case: PoisonCase, row: PoisonRow) -> list[str]:
    deaths = ', '.join(
        f'{name} {count}' for name, count in row.deaths_by_region.items()
    )
    return [
        'product' if case.guarded else 'no poison guard',
        str(row.sent),
        f'{sum(row.deaths_by_region.values())} ({deaths})',
        str(row.refused_poison),
        str(row.refused_innocent),
        str(row.lost),
        f'{row.first_token_p95_ms:.0f}',
    ]


def _poison(pool: ProcessPoolExecutor) -> str:
    cases = (PoisonCase(), PoisonCase(guarded=False))
    rows = _Batch(run_poison, cases).rows(pool)
    head = (
        'way',
        'poison requests',
        'engine deaths',
        'poison refused',
        'innocent refused by fingerprint',
        'innocent answers lost',
        'first token p95, ms',
    )
    return _table(head, itertools.starmap(_poison_line, rows))


def _plot(rows: dict[str, OverloadRow], target: Path) -> None:
    mpl.rcParams['svg.hashsalt'] = 'bergamotthread'
    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True, figsize=(8, 6))
    for name, row in rows.items():
        seconds = list(row.p95_ms_by_second)
        p95_s = [p95_ms / 1000 for p95_ms in row.p95_ms_by_second.values()]
        served_per_s = [count / 5 for count in row.served_by_second.values()]
        upper.plot(seconds, p95_s, label=name)
        lower.plot(seconds, served_per_s, label=name)
    upper.set_ylabel('first token p95, s')
    upper.set_yscale('log')
    upper.legend()
    lower.set_ylabel('answers finished, per s')
    lower.set_xlabel('time, s; 150% load from 40 s to 100 s, else 80%')
    figure.tight_layout()
    figure.savefig(target, metadata={'Date': None})
    pyplot.close(figure)


@click.command()
@click.option('--jobs', default=4, help='Runs at a time.')
def main(jobs: int) -> None:
    """Measure everything and write the page."""
    DIRECTORY.mkdir(parents=True, exist_ok=True)
    with ProcessPoolExecutor(jobs) as pool:
        batch = _Batch(run_overload, tuple(_OVERLOADS.values()))
        measured = [row for _, row in batch.rows(pool)]
        overloads = dict(zip(_OVERLOADS, measured, strict=True))
        page = _PAGE.format(
            engines=len(ALL_AGENTS),
            domains=len(DOMAINS),
            per_s=saturated_per_s(),
            loads=_loads(pool),
            pooled=_pooled(pool),
            overloads=_overloads(overloads),
            plot=PLOT_FILE,
            losses=_losses(pool),
            fairness=_fairness(pool),
            poison=_poison(pool),
        )
    (DIRECTORY / FIGURES_FILE).write_text(page)
    _plot(overloads, DIRECTORY / PLOT_FILE)


_PAGE = """# Figures of routing, overload, loss, fairness and poison

Written by `python -m benchmarks.routing`; do not edit. Virtual time, fixed
seeds: the same code gives the same figures. {engines} modelled engines in
{domains} failure domains of two regions, three entries, the product's
placement, gate, guards and budgets. 100% load is what the engines finish with
all slots busy and no cached prefix, {per_s:.2f} requests per second each.
Targets: first token 880 ms and 37 ms between tokens for 95 in 100, output again
within 3 s of a loss.

## Placement

All placements stand behind the same gate; only `scored` has the entry's
overload guard. `recomputed prefill` is what was computed beyond each prompt's
own part, in parts of that. `KV max/mean` is the fullest engine over the mean.

{loads}
The nearest three over three seeds, no entry guard:

{pooled}
## Overload and return

80% load, 60 s of 150%, then 80%. Callers give up after 10 s without a token and
send again up to three times. Recovery counts until every later 10 s meet the
target and begin 90% of what arrives.

{overloads}
![First token and answers over time]({plot})

## Loss of a fifth of the engines at 80% load

Three seeds pooled; the last three columns over 10 s from the loss on.

{losses}
## Fairness

Ten teams of equal weight, three seeds pooled. The load counts the large team
at its share.

{fairness}
## Poison

80% load; one team sends a request that kills each engine at its second token,
every 2 s on average, through all entries. Engines are back after 20 s.

{poison}"""

if __name__ == '__main__':
    main()
