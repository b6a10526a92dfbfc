import pytest

from benchmarks.capacity import format_tables, replace_tables
from benchmarks.capacity_rows import (
    Budget,
    ComputedRow,
    Fit,
    MeasuredRow,
    Role,
    UnmeasuredRow,
)

ROWS = (
    MeasuredRow(
        Role.ENTRY,
        'probes',
        Budget.MESSAGES,
        'member',
        100,
        ((1, 12), (2, 14), (3, 16), (4, 18)),
        'gossip',
        'command',
        factor=2,
    ),
    ComputedRow(Role.TABLE, 'leases', Budget.READS, 500, 'inputs', 'budget'),
    UnmeasuredRow(Role.DATA_PATH, 'tokens'),
)


def test_fit_is_exact_for_points_on_a_line() -> None:
    fit = Fit.from_points(((1, 12), (2, 14), (3, 16), (4, 18)))
    assert fit.slope == pytest.approx(2)
    assert fit.intercept == pytest.approx(10)
    assert fit.deviation == pytest.approx(0)


def test_deviation_is_worst_residual_over_mean() -> None:
    fit = Fit.from_points(((0, 0), (1, 1), (2, 0), (3, 1)))
    assert fit.deviation == pytest.approx(120)


def test_tables_show_value_limit_and_unmeasured_rows() -> None:
    tables = format_tables(ROWS)
    assert '| probes | control, bytes/s | 420 | 10 + 2 per member' in tables
    assert '39 times' in tables
    assert '| 4 times |' in tables
    assert '| tokens |  | not measured |' in tables
    assert tables.index('| 4 | leases') < tables.index('| 39 | probes')


def test_replace_tables_keeps_text_outside_markers() -> None:
    page = 'a\n<!-- tables: begin -->\nold\n<!-- tables: end -->\nb\n'
    new = replace_tables(page, 'T')
    assert 'old' not in new
    assert new.startswith('a\n')
    assert new.endswith('b\n')
    assert replace_tables(new, 'T') == new
