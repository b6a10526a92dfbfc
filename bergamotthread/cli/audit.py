"""Command that shows and verifies the audit trail."""

from __future__ import annotations

from datetime import UTC, datetime

import click
import msgspec

from bergamotthread.cli.operator_context import OperatorContext, fail
from bergamotthread.errors import BergamotError
from bergamotthread.process.explanations.audit import AuditRecord
from bergamotthread.process.explanations.audit_reader import (
    AuditFilter,
    hours_between,
    read_audit,
    verify_chains,
)

EXIT_CODE_FAILED = 1
EXIT_CODE_ALTERED = 6
_MS_PER_S = 1000
_MS_PER_HOUR = 3_600_000


@click.command('audit')
@click.option(
    '--hours',
    default=24,
    show_default=True,
    type=click.IntRange(min=1),
    help='How far back to look.',
)
@click.option('--kind', default='', help='Only this kind, such as publish.')
@click.option('--subject', default='', help='Only subjects with this prefix.')
@click.option('--who', default='', help='Only changes by this operator.')
@click.option(
    '--json', 'as_json', is_flag=True, help='Print one JSON object per line.'
)
@click.option(
    '--verify',
    is_flag=True,
    help="Check each writer's chain of digests first; exit code 6 if broken.",
)
@click.pass_obj
def audit_command(
    context: OperatorContext,
    hours: int,
    kind: str,
    subject: str,
    who: str,
    *,
    as_json: bool,
    verify: bool,
) -> None:
    """Print the recorded changes of the last hours.

    Each line shows the time in UTC, the configuration versions before and
    after, the operator or process, the kind, the subject and the details.
    """
    try:
        records = context.run(_read(context, hours))
    except BergamotError as error:
        fail(str(error), EXIT_CODE_FAILED)
    if verify:
        _verify(records)
    audit_filter = AuditFilter(kind, subject, who)
    for record in records:
        if audit_filter.matches(record):
            click.echo(_as_json(record) if as_json else _as_line(record))


COMMANDS: tuple[click.Command, ...] = (audit_command,)


async def _read(
    context: OperatorContext,
    hours: int,
) -> tuple[AuditRecord, ...]:
    now_ms = context.clock.calendar_ms()
    first_ms = max(now_ms - hours * _MS_PER_HOUR, 0)
    # The calendar clocks of writers may be ahead of this one.
    hours_to_read = hours_between(first_ms, now_ms + _MS_PER_HOUR)
    return await read_audit(context.object_store(), hours_to_read)


def _verify(records: tuple[AuditRecord, ...]) -> None:
    try:
        partial_chains = verify_chains(records)
    except ExceptionGroup as group:
        lines = '\n'.join(str(error) for error in group.exceptions)
        fail(lines, EXIT_CODE_ALTERED)
    writers = len({record.writer for record in records})
    click.echo(
        f'{len(records)} records of {writers} writers verified, '
        f'{len(partial_chains)} from a later record than the first',
        err=True,
    )


def _as_json(record: AuditRecord) -> str:
    return msgspec.json.encode(record).decode()


def _as_line(record: AuditRecord) -> str:
    moment = datetime.fromtimestamp(record.at_ms / _MS_PER_S, tz=UTC)
    versions = f'{record.version_before}->{record.version_after}'
    detail = ' '.join(
        f'{name}={text}' for name, text in record.detail.items() if text
    )
    return (
        f'{moment:%Y-%m-%d %H:%M:%S}  {versions:>11}  {record.who:<16}  '
        f'{record.kind:<12}  {record.subject}  {detail}'
    ).rstrip()
