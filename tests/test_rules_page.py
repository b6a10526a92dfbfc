"""The page of rules names only modules, tests, days and checks that exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
CELLS = 5
_QUOTED = re.compile('`([^`]+)`')


def _rows() -> list[list[str]]:
    page = (ROOT / 'docs' / 'RULES.md').read_text()
    rows = [
        [cell.strip() for cell in line.strip('| ').split(' | ')]
        for line in page.splitlines()
        if line.startswith('| ')
    ]
    return [row for row in rows if row[0] not in {'rule', '---'}]


def _quoted(cell: str) -> list[str]:
    return _QUOTED.findall(cell)


def _missing(row: list[str]) -> list[str]:
    """Return what a row names that does not exist."""
    _, modules, tests, days, checks = row
    missing = [
        name
        for name in _quoted(modules)
        if not (ROOT / 'bergamotthread' / name).is_file()
    ]
    for name in _quoted(tests):
        file_name, _, function = name.partition('::')
        test_file = ROOT / 'tests' / file_name
        text = test_file.read_text() if test_file.is_file() else ''
        if not re.search(rf'^def {function}\(', text, re.MULTILINE):
            missing.append(name)
    missing += [
        name
        for name in _quoted(days)
        if not (ROOT / 'deploy' / 'days' / f'{name}.toml').is_file()
    ]
    for name in _quoted(checks):
        module, _, function = name.partition('.')
        text = (ROOT / 'soak' / f'{module}.py').read_text()
        if f'def {function}(' not in text:
            missing.append(name)
    return missing


@pytest.mark.parametrize('row', _rows(), ids=lambda row: row[0])
def test_what_a_rule_names_exists(row):
    assert len(row) == CELLS
    assert not _missing(row)
    # A rule without a test has a reason below the table.
    page = (ROOT / 'docs' / 'RULES.md').read_text()
    assert row[2] != '-' or page.partition('## Empty cells')[2]


@pytest.mark.parametrize(
    'changed',
    [
        (1, '`process/absent.py`'),
        (2, '`test_platform_entry.py::test_absent`'),
        (2, '`test_absent.py::test_absent`'),
        (3, '`absent`'),
        (4, '`answer_checks.check_absent`'),
    ],
)
def test_absent_names_are_found(changed):
    index, cell = changed
    row = list(_rows()[0])
    row[index] = cell
    assert _missing(row) == _quoted(cell)
