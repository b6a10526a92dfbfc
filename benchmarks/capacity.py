"""Measure slopes and write the tables of docs/CAPACITY.md.

Run ``python -m benchmarks.capacity [--write]``. The modules in
`ROW_MODULES` are imported; they add rows by
`benchmarks.capacity_rows.register_rows`.
"""

from __future__ import annotations

import importlib
import pathlib
import sys
from collections.abc import Sequence

from benchmarks.capacity_rows import (
    ROW_SOURCES,
    Budget,
    CapacityRow,
    ComputedRow,
    MeasuredRow,
    Role,
    UnmeasuredRow,
    limit_of,
)

ROW_MODULES = (
    'benchmarks.capacity_control',
    'benchmarks.capacity_data_path',
    'benchmarks.capacity_store',
)
PAGE = pathlib.Path('docs/CAPACITY.md')
BEGIN = '<!-- tables: begin -->'
END = '<!-- tables: end -->'
UNUSED = 'not this way'
SHOWN_FIRST = 8
OPEN_ROWS = (
    UnmeasuredRow(Role.ENTRY, 'memory of a process without load'),
    UnmeasuredRow(Role.AGENT, 'memory of a process without load'),
    UnmeasuredRow(Role.DATA_PATH, 'tokens/s relayed per core of an entry'),
    UnmeasuredRow(Role.DATA_PATH, 'streams an entry'),
    UnmeasuredRow(Role.DATA_PATH, 'bytes a token, agent to entry'),
    UnmeasuredRow(Role.DATA_PATH, 'bytes a token, entry to caller'),
    UnmeasuredRow(Role.DATA_PATH, 'memory of one stream at an entry'),
    UnmeasuredRow(Role.DATA_PATH, 'memory of one stream at an agent'),
    UnmeasuredRow(
        Role.FAULTS, 'change of configuration: ms until in force everywhere'
    ),
    UnmeasuredRow(Role.TABLE, 'audit trail, objects'),
)


def load_rows() -> list[CapacityRow]:
    """Return the rows of all modules, and the rows not measured yet.

    Modules of `ROW_MODULES` that do not exist are skipped.
    """
    for name in ROW_MODULES:
        try:
            importlib.import_module(name)
        except ModuleNotFoundError as error:
            if error.name != name:
                raise
    rows = [row for source in ROW_SOURCES for row in source()]
    measured = {(row.role, row.figure) for row in rows}
    rows.extend(
        row for row in OPEN_ROWS if (row.role, row.figure) not in measured
    )
    return rows


def format_tables(rows: Sequence[CapacityRow]) -> str:
    """Return all tables as Markdown: roles, sums and points of the fits."""
    parts = [_format_role(role, rows) for role in Role]
    parts.append(_format_first(rows))
    parts.append(_format_sums(rows))
    parts.append(_format_points(rows))
    return '\n'.join(part for part in parts if part)


def _format_role(role: Role, rows: Sequence[CapacityRow]) -> str:
    role_rows = [row for row in rows if row.role is role]
    if not role_rows:
        return ''
    lines = [
        f'### {role.value[0].upper()}{role.value[1:]}',
        '',
        '| figure | unit | at full size | how | limit reached at '
        '| carried by |',
        '| --- | --- | --- | --- | --- | --- |',
        *(_format_row(row) for row in role_rows),
        '',
    ]
    return '\n'.join(lines)


def _format_row(row: CapacityRow) -> str:
    match row:
        case MeasuredRow():
            fit = row.fit
            how = (
                f'{_number(fit.intercept)} + {_number(fit.slope)} per '
                f'{row.per} x {_number(row.at_count)}{row.factor_note}'
            )
            cells = _cells(row, how)
        case ComputedRow():
            cells = _cells(row, f'computed: {row.inputs}')
        case UnmeasuredRow():
            cells = [row.figure, '', 'not measured', '', '', '']
    return f'| {" | ".join(cells)} |'


def _cells(row: MeasuredRow | ComputedRow, how: str) -> list[str]:
    return [
        row.figure,
        _unit(row.budget),
        _number(row.value),
        how,
        _multiple(row.budget, row.value),
        row.carried_by,
    ]


def _unit(budget: Budget) -> str:
    return '' if budget is Budget.NONE else budget.value


def _multiple(budget: Budget, value: float) -> str:
    limit = limit_of(budget)
    if limit is None or value <= 0:
        return ''
    return f'{_number(limit / value)} times'


def _number(value: float) -> str:
    if abs(value) >= 100:
        return f'{value:,.0f}'
    return f'{value:.3g}'


def _format_first(rows: Sequence[CapacityRow]) -> str:
    limited = [
        (limit / row.value, row)
        for row in rows
        if not isinstance(row, UnmeasuredRow)
        and (limit := limit_of(row.budget))
        and row.value > 0
        and not row.carried_by.startswith(UNUSED)
    ]
    limited.sort(key=lambda pair: pair[0])
    lines = [
        '### What breaks first',
        '',
        '| multiple of the size | figure | role | budget |',
        '| --- | --- | --- | --- |',
        *(
            f'| {_number(multiple)} | {row.figure} | {row.role} '
            f'| {row.budget.value} |'
            for multiple, row in limited[:SHOWN_FIRST]
        ),
        '',
    ]
    return '\n'.join(lines)


def _format_sums(rows: Sequence[CapacityRow]) -> str:
    lines = [
        '### Sums held against the limits',
        '',
        '| budget | roles | sum | limit | largest part |',
        '| --- | --- | --- | --- | --- |',
    ]
    groups = (
        (Budget.CPU, (Role.ENTRY, Role.LEASE_HOLDER)),
        (Budget.MEMORY, (Role.ENTRY, Role.LEASE_HOLDER)),
        (Budget.MESSAGES, (Role.ENTRY, Role.LEASE_HOLDER)),
        (Budget.READS, (Role.TABLE,)),
        (Budget.WRITES, (Role.TABLE,)),
    )
    for budget, roles in groups:
        line = _format_sum(budget, roles, rows)
        if line:
            lines.append(line)
    return '\n'.join([*lines, ''])


def _format_sum(
    budget: Budget, roles: tuple[Role, ...], rows: Sequence[CapacityRow]
) -> str:
    parts = [
        row
        for row in rows
        if not isinstance(row, UnmeasuredRow)
        and row.role in roles
        and row.budget is budget
        and not row.carried_by.startswith(UNUSED)
    ]
    if not parts:
        return ''
    largest = max(parts, key=lambda row: row.value)
    total = sum(row.value for row in parts)
    names = ' and '.join(role.value for role in roles)
    limit = limit_of(budget) or 0
    return (
        f'| {budget.value} | {names} | {_number(total)} | {_number(limit)} '
        f'| {largest.figure}: {_number(largest.value)} |'
    )


def _format_points(rows: Sequence[CapacityRow]) -> str:
    lines = [
        '### Points of the fits',
        '',
        '| figure | unit | points (count: value) | worst residual |',
        '| --- | --- | --- | --- |',
    ]
    for row in rows:
        if isinstance(row, MeasuredRow):
            points = ', '.join(
                f'{_number(count)}: {_number(value)}'
                for count, value in row.points
            )
            unit = _unit(row.budget) or 'us'
            lines.append(
                f'| {row.figure} | {unit} | {points} '
                f'| {row.fit.deviation:.0f}% |'
            )
    return '\n'.join([*lines, ''])


def replace_tables(page: str, tables: str) -> str:
    """Return the page with the text between the markers replaced."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f'{before}{BEGIN}\n\n{tables}\n{END}{after}'


def main() -> None:
    """Print the tables; with `--write`, also write them into the page."""
    tables = format_tables(load_rows())
    if '--write' in sys.argv[1:]:
        PAGE.write_text(replace_tables(PAGE.read_text(), tables))
    print(tables)


if __name__ == '__main__':
    main()
