"""Goodput against offered load, on the users' bench.

``python -m benchmarks.goodput play`` plays the quiet day of a site, without its
faults, with its traffic times each of several factors from second 6 to 22.
``python -m benchmarks.goodput curve`` reads the journal of these runs, and
writes a table and a plot.
"""

from __future__ import annotations

import pathlib
import re
import subprocess
import tempfile
import tomllib
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

import click
import msgspec
from matplotlib import rc_context
from matplotlib.figure import Figure

BURST_AT_S = 6.0
BURST_FOR_S = 16.0
DARK_SHARE = 0.667
DARK_FOR_S = 20.0
STREAM_KIND = 'stream'
_WHY = re.compile(
    r'goodput (?P<label>\S+): (?P<site>\S+) times (?P<times>[\d.]+)'
    r'(?P<dark> dark)?, seed (?P<seed>\d+)'
)
_TRAFFIC = re.compile(r'^traffic = \[.*?^\]', re.DOTALL | re.MULTILINE)
_MARK = re.compile(r'^(?:one|zero) = .*$', re.MULTILINE)
_Point = tuple[float, float]


@dataclass(frozen=True)
class Site:
    """A site file: its name, its quiet day and its kinds of request."""

    path: pathlib.Path
    name: str
    traffic: str
    marks: str
    streams: frozenset[str]
    engine: str

    @classmethod
    def from_file(cls, path: pathlib.Path) -> Site:
        """Read a site file."""
        text = path.read_text()
        content = tomllib.loads(text)
        quiet = next(
            block
            for block in text.split('[[day]]')
            if re.search('slot = "quiet"', block)
        )
        traffic = _TRAFFIC.search(quiet)
        if traffic is None:
            raise click.ClickException(f'{path}: no traffic of a quiet day')
        classes = content['classes']
        return cls(
            path,
            content['name'],
            traffic.group(),
            '\n'.join(_MARK.findall(quiet)),
            frozenset(
                kind['name'] for kind in classes if kind['kind'] == STREAM_KIND
            ),
            content['services'][0]['name'],
        )

    def day(self, times: float, *, dark: bool) -> str:
        """Return a day with the traffic of the quiet day times a factor."""
        faults = []
        if times != 1:
            faults.append(
                f'{{ kind = "burst", x = {times:g}, at = {BURST_AT_S}, '
                f'for_s = {BURST_FOR_S} }}'
            )
        if dark:
            faults.append(
                f'{{ kind = "srv_crash", service = "{self.engine}", '
                f'share = {DARK_SHARE}, at = {BURST_AT_S}, '
                f'for_s = {DARK_FOR_S}, how = "dark across" }}'
            )
        return '\n'.join(
            (
                f'name = "traffic-times-{times:g}"',
                'slot = "quiet"',
                self.marks,
                'goal = { floor = 0.0 }',
                'plan = [\n]',
                f'faults = [{", ".join(faults)}]',
                self.traffic,
            )
        )


@dataclass(frozen=True)
class Load:
    """Load of a run."""

    site: str
    times: float
    dark: bool


@dataclass(frozen=True)
class Counts:
    """Requests of a kind, by what became of them."""

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0

    def __add__(self, other: Counts) -> Counts:
        """Return the sums."""
        return Counts(
            self.asked + other.asked,
            self.in_aim + other.in_aim,
            self.late + other.late,
            self.refused + other.refused,
            self.failed + other.failed,
        )


@dataclass(frozen=True)
class Result:
    """Result of a run: requests, worth, and tokens prefilled in vain."""

    streams: Counts
    plain: Counts
    worth: float
    tokens_in_vain: float


def read_results(
    journal: pathlib.Path, sites: Sequence[Site]
) -> dict[tuple[str, Load], list[Result]]:
    """Return the results in a journal, by label and load."""
    streams_by_site = {site.name: site.streams for site in sites}
    results: dict[tuple[str, Load], list[Result]] = defaultdict(list)
    for path in sorted(journal.glob('*.json')):
        entry = msgspec.json.decode(path.read_bytes())
        why = _WHY.search(entry.get('why') or '')
        if why is None or why['site'] not in streams_by_site:
            continue
        if not entry['days']:
            continue
        load = Load(why['site'], float(why['times']), bool(why['dark']))
        result = _result(entry, streams_by_site[load.site])
        results[why['label'], load].append(result)
    return results


def _result(entry: dict[str, Any], streams: frozenset[str]) -> Result:
    day = entry['days'][0]
    counts = {True: Counts(), False: Counts()}
    for name, row in _rows(entry['digest']):
        counts[name in streams] += row
    in_vain = sum(
        amount for text, amount, _ in day['prices'] if 'for nothing' in text
    )
    return Result(counts[True], counts[False], day['G'], in_vain)


def _rows(digest: str) -> Iterator[tuple[str, Counts]]:
    """Yield the requests of each kind, from the table that a run prints."""
    in_table = False
    for line in digest.splitlines():
        if line.startswith('class '):
            in_table = True
        elif in_table and not line.strip():
            return
        elif in_table:
            name, *numbers = line.split()
            yield name, Counts(*map(int, numbers[:5]))


def _mean(rows: Sequence[Counts]) -> tuple[float, ...]:
    total = sum(rows, Counts())
    fields = (
        total.asked,
        total.in_aim,
        total.late,
        total.refused,
        total.failed,
    )
    return tuple(field / len(rows) for field in fields)


def table(results: dict[tuple[str, Load], list[Result]]) -> str:
    """Return a table with a row for each label and load."""
    lines = [
        '| site | traffic | version | runs | streams: asked, in aim, late, '
        'refused, failed | plain: the same | worth | 1,000 tokens in vain |',
        '| --- | --- | --- | --- | --- | --- | --- | --- |',
    ]
    ordered = sorted(
        results.items(),
        key=lambda item: (
            item[0][1].site,
            item[0][1].dark,
            item[0][1].times,
            item[0][0],
        ),
    )
    for (label, load), runs in ordered:
        streams = _mean([run.streams for run in runs])
        plain = _mean([run.plain for run in runs])
        worth = sum(run.worth for run in runs) / len(runs)
        in_vain = sum(run.tokens_in_vain for run in runs) / len(runs)
        dark = ', two thirds dark' if load.dark else ''
        lines.append(
            f'| {load.site} | {load.times:g}{dark} | {label} | {len(runs)} | '
            f'{_listed(streams)} | {_listed(plain)} | {worth:.3f} | '
            f'{in_vain:.0f} |'
        )
    return '\n'.join(lines)


def _listed(numbers: Sequence[float]) -> str:
    return ', '.join(f'{number:.0f}' for number in numbers)


def plot(
    results: dict[tuple[str, Load], list[Result]], target: pathlib.Path
) -> None:
    """Write a plot of streams in aim against streams asked for, by site."""
    sites = sorted({load.site for _, load in results})
    figure = Figure(figsize=(5 * len(sites), 4), layout='tight')
    axes = figure.subplots(1, len(sites), squeeze=False)
    for site, axis in zip(sites, axes[0], strict=True):
        points_by_label: dict[str, list[_Point]] = {}
        for (label, load), runs in results.items():
            if load.site == site and not load.dark:
                asked, in_aim, *_ = _mean([run.streams for run in runs])
                points = points_by_label.setdefault(label, [])
                points.append((asked, in_aim))
        for label, points in sorted(points_by_label.items()):
            points.sort()
            axis.plot(*zip(*points, strict=True), marker='o', label=label)
        axis.set_title(site)
        axis.set_xlabel('streams asked for')
        axis.set_ylabel('streams in aim')
        axis.set_ylim(bottom=0)
        axis.legend()
    with rc_context({'svg.hashsalt': 'goodput'}):
        figure.savefig(target, format='svg', metadata={'Date': None})


@click.group()
def main() -> None:
    """Measure goodput against offered load."""


_SITES = click.option(
    '--site', 'paths', required=True, multiple=True, type=pathlib.Path
)


@main.command()
@_SITES
@click.option('--bench', required=True, type=pathlib.Path)
@click.option('--label', required=True, help='Name of the version.')
@click.option('--times', default='1,1.5,2,3,4,8', show_default=True)
@click.option('--seeds', default='1,2,3', show_default=True)
@click.option('--dark', is_flag=True, help='Two thirds of the engines fail.')
def play(
    paths: tuple[pathlib.Path, ...],
    bench: pathlib.Path,
    label: str,
    times: str,
    seeds: str,
    *,
    dark: bool,
) -> None:
    """Play the quiet day of each site under each load and seed."""
    for path in paths:
        site = Site.from_file(path)
        for factor in map(float, times.split(',')):
            for seed in seeds.split(','):
                _play(site, bench, label, factor, seed, dark=dark)


def _play(
    site: Site,
    bench: pathlib.Path,
    label: str,
    factor: float,
    seed: str,
    *,
    dark: bool,
) -> None:
    load = f'{site.name} times {factor:g}{" dark" if dark else ""}'
    with tempfile.NamedTemporaryFile('w', suffix='.toml') as day:
        day.write(site.day(factor, dark=dark))
        day.flush()
        subprocess.run(
            (
                str(bench),
                'run',
                str(site.path),
                day.name,
                '--seed',
                seed,
                '--no-cpu',
                '--jobs',
                '1',
                '--why',
                f'goodput {label}: {load}, seed {seed}',
            ),
            check=True,
            stdout=subprocess.DEVNULL,
        )


@main.command()
@_SITES
@click.option('--journal', default='journal', type=pathlib.Path)
@click.option('--svg', type=pathlib.Path, help='Plot to write.')
def curve(
    paths: tuple[pathlib.Path, ...],
    journal: pathlib.Path,
    svg: pathlib.Path | None,
) -> None:
    """Print a table of the runs in the journal, and plot them."""
    sites = [Site.from_file(path) for path in paths]
    results = read_results(journal, sites)
    click.echo(table(results))
    if svg is not None:
        plot(results, svg)


if __name__ == '__main__':
    main()
