"""Table and plot of goodput, from journal entries."""

from __future__ import annotations

import json
import pathlib

from benchmarks.goodput import Load, Site, plot, read_results, table

_SITE = """name = "small"
services = [{ name = "engines" }]
classes = [
  { name = "review", kind = "stream" },
  { name = "read", kind = "safe" },
]
[[day]]
name = "quiet-1"
slot = "quiet"
one = 0.9
zero = 0.4
traffic = [
  { zone = "a", per_s = 2.0 },
]
"""
_DIGEST = """day
class                asked  in aim   late refused failed not owed  worth
review                  40      30      4       5      1        0  0.750
read                   100      90      6       0      4        0  0.900

clients' zone        asked  in aim
a                      140     120      0       0      0
"""


def _site(folder: pathlib.Path) -> Site:
    path = folder / 'small.toml'
    path.write_text(_SITE)
    return Site.from_file(path)


def _entry(folder: pathlib.Path, name: str, why: str) -> None:
    day = {'G': 0.5, 'prices': [['1,000 tokens read for nothing', 12.0, 0.1]]}
    entry = {'why': why, 'days': [day], 'digest': _DIGEST}
    (folder / f'{name}.json').write_text(json.dumps(entry))


def test_results_are_read_by_label_and_load(tmp_path):
    site = _site(tmp_path)
    _entry(tmp_path, '1', 'goodput before: small times 4, seed 1')
    _entry(tmp_path, '2', 'goodput before: small times 4, seed 2')
    _entry(tmp_path, '3', 'goodput after: small times 4 dark, seed 1')
    _entry(tmp_path, '4', 'another run')
    results = read_results(tmp_path, [site])
    assert {key: len(runs) for key, runs in results.items()} == {
        ('before', Load('small', 4, dark=False)): 2,
        ('after', Load('small', 4, dark=True)): 1,
    }
    assert (
        '| small | 4 | before | 2 | 40, 30, 4, 5, 1 | 100, 90, 6, 0, 4 | '
        '0.500 | 12 |'
    ) in table(results)


def test_plot_is_the_same_for_the_same_results(tmp_path):
    site = _site(tmp_path)
    _entry(tmp_path, '1', 'goodput before: small times 4, seed 1')
    results = read_results(tmp_path, [site])
    for name in ('a.svg', 'b.svg'):
        plot(results, tmp_path / name)
    first, second = (tmp_path / name for name in ('a.svg', 'b.svg'))
    assert first.read_text() == second.read_text()


def test_day_has_the_traffic_of_the_quiet_day_and_no_faults_but_the_load(
    tmp_path,
):
    site = _site(tmp_path)
    assert 'faults = []' in site.day(1, dark=False)
    day = site.day(3, dark=True)
    assert 'per_s = 2.0' in day
    assert 'kind = "burst", x = 3' in day
    assert 'service = "engines"' in day
