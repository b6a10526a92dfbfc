"""Commands about calls whose outcome is unknown."""

from __future__ import annotations

from datetime import UTC, datetime

import click
import msgspec

from bergamotthread.cli.operator_context import OperatorContext, fail
from bergamotthread.errors import BergamotError
from bergamotthread.process.calls.call_operations import (
    CallName,
    CallRecord,
    Resolution,
    list_unknown,
    resolve_call,
    show_call,
    state_name,
)
from bergamotthread.process.explanations.audit import AuditTrail
from bergamotthread.version.operators import find_operator
from bergamotthread.version.publication import Publisher

EXIT_CODE_FAILED = 1
EXIT_CODE_NOT_FOUND = 2
_MS_PER_S = 1000
_RAN = 'ran'
_NOT_RUN = 'not-run'

_service = click.argument('service')
_team = click.argument('team')
_key = click.argument('key')
_as_json = click.option(
    '--json',
    'as_json',
    is_flag=True,
    help='Print one JSON object per line.',
)


@click.group('calls')
def calls_group() -> None:
    """List, show and resolve calls whose outcome is unknown.

    The outcome of a call that may run at most once is unknown if the call was
    sent and no answer arrived. Such a call is never sent again. Find out at
    the service whether it ran, then resolve it.
    """


@calls_group.command('list')
@click.option(
    '--limit',
    default=100,
    show_default=True,
    type=click.IntRange(min=1),
    help='Maximum number of calls to show.',
)
@_as_json
@click.pass_obj
def list_command(
    context: OperatorContext,
    limit: int,
    *,
    as_json: bool,
) -> None:
    """Print the calls whose outcome is unknown."""
    try:
        records = context.run(list_unknown(context.table(), limit=limit))
    except BergamotError as error:
        fail(str(error), EXIT_CODE_FAILED)
    for record in records:
        _echo(record, as_json=as_json)


@calls_group.command('show')
@_service
@_team
@_key
@_as_json
@click.pass_obj
def show_command(
    context: OperatorContext,
    service: str,
    team: str,
    key: str,
    *,
    as_json: bool,
) -> None:
    """Print the call identified by SERVICE, TEAM and KEY."""
    name = CallName(service, team, key)
    try:
        record = context.run(show_call(context.table(), name))
    except BergamotError as error:
        fail(str(error), EXIT_CODE_FAILED)
    if record is None:
        fail(f'no call {name} in the store', EXIT_CODE_NOT_FOUND)
    _echo(record, as_json=as_json)


@calls_group.command('resolve')
@_service
@_team
@_key
@click.option(
    '--outcome',
    required=True,
    type=click.Choice((_RAN, _NOT_RUN)),
    help='Whether the call ran, according to the service.',
)
@click.option(
    '--note',
    required=True,
    help='How the outcome was found out; kept in the audit trail.',
)
@click.option(
    '--credential',
    envvar='BERGAMOTTHREAD_CREDENTIAL',
    required=True,
    help='Credential of the operator; preferably set in the environment.',
)
@click.pass_obj
def resolve_command(
    context: OperatorContext,
    service: str,
    team: str,
    key: str,
    outcome: str,
    note: str,
    credential: str,
) -> None:
    """Record whether the call identified by SERVICE, TEAM and KEY ran.

    This closes the key: a caller that sends it again receives the recorded
    outcome. The resolution is written to the audit trail before it takes
    effect.
    """
    name = CallName(service, team, key)
    try:
        record = context.run(
            _resolve(context, name, credential, note, outcome == _RAN),
        )
    except BergamotError as error:
        fail(str(error), EXIT_CODE_FAILED)
    _echo(record, as_json=False)


COMMANDS: tuple[click.Command, ...] = (calls_group,)


async def _resolve(
    context: OperatorContext,
    name: CallName,
    credential: str,
    note: str,
    ran: bool,
) -> CallRecord:
    table = context.table()
    store = context.object_store()
    clock = context.clock
    publisher = Publisher.from_platform(table, store, clock)
    newest = await publisher.newest()
    who = find_operator(newest.state.object_set, credential).name
    audit = AuditTrail(store, clock, who)
    resolution = Resolution(ran, who, note)
    return await resolve_call(table, audit, clock, name, resolution)


def _echo(record: CallRecord, *, as_json: bool) -> None:
    if as_json:
        click.echo(msgspec.json.encode(record).decode())
        return
    at_s = record.row.changed_ms / _MS_PER_S
    moment = datetime.fromtimestamp(at_s, tz=UTC)
    click.echo(
        f'{moment:%Y-%m-%d %H:%M:%S}  {state_name(record.row):<10}  '
        f'{record.name}  {msgspec.json.encode(record.row.state).decode()}',
    )
