"""Commands that check, publish and show versions of the configuration."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from datetime import UTC, datetime
from pathlib import Path

import click
import msgspec

from bergamotthread.cli.operator_context import (
    OperatorContext,
    fail,
    flush_audit,
    record_publication,
)
from bergamotthread.errors import BergamotError
from bergamotthread.platform.checks import (
    PlatformCheckError,
    check_manifest_file,
    check_settings_file,
)
from bergamotthread.platform.settings import PlatformSettingsError
from bergamotthread.process.explanations.audit import AuditTrail
from bergamotthread.version.acceptance import Acceptance, AcceptanceWatch
from bergamotthread.version.checks import ObjectsError, load_object_set
from bergamotthread.version.diff import render_diff
from bergamotthread.version.objects import KINDS, ObjectSet
from bergamotthread.version.operators import find_operator
from bergamotthread.version.publication import (
    Draft,
    NewestVersion,
    PublicationConflictError,
    Publisher,
    describe_publication,
)
from bergamotthread.version.publication_write import PublicationUnknownError
from bergamotthread.version.record import VersionState
from bergamotthread.version.registration import delete_holders, read_holders
from bergamotthread.version.schema import object_set_schema

EXIT_CODE_FAILED = 1
EXIT_CODE_INVALID = 2
EXIT_CODE_NOT_IN_FORCE = 3
EXIT_CODE_CONFLICT = 4
EXIT_CODE_UNKNOWN = 5
_MS_PER_S = 1000

_path = click.argument('path', type=click.Path(path_type=Path))
_credential = click.option(
    '--credential',
    envvar='BERGAMOTTHREAD_CREDENTIAL',
    default='',
    help='Credential of the operator; preferably set in the environment.',
)
_note = click.option(
    '--note', default='', help='Reason for the change; kept with the version.'
)
_timeout_s = click.option(
    '--timeout-s',
    default=60,
    show_default=True,
    help='Maximum wait until the version is in force; 0: do not wait.',
)
_base = click.option(
    '--base',
    type=click.IntRange(min=0),
    required=True,
    help='Version that the file was edited from; 0 if none is published.',
)


_CHECK_BY_FORM: dict[str, Callable[[Path], str]] = {
    'platform-settings': check_settings_file,
    'platform-manifest': check_manifest_file,
}


@click.command('validate')
@_path
@click.option(
    '--form',
    type=click.Choice(('objects', *_CHECK_BY_FORM)),
    default='objects',
    show_default=True,
    help="Kind of file; the platform provides all but 'objects'.",
)
def validate_command(path: Path, form: str) -> None:
    """Check the set of objects in the file PATH; the platform is not used.

    Prints every problem with its JSON path, the value found and what was
    expected, and exits with code 2 if there is one. With --form, checks a
    file that the platform provides to a process instead.
    """
    with _exit_on_error():
        check = _CHECK_BY_FORM.get(form)
        if check is not None:
            click.echo(f'{path}: valid, {check(path)}')
            return
        object_set = load_object_set(path)
    click.echo(f'{path}: valid, {_count_objects(object_set)} objects')


@click.command('diff')
@_path
@click.pass_obj
def diff_command(context: OperatorContext, path: Path) -> None:
    """Show how the set in the file PATH differs from the newest version.

    The set is checked first. Lines start with + for added objects, - for
    removed objects and ~ for changed fields.
    """
    with _exit_on_error():
        object_set = load_object_set(path)
        state = context.run(_read_state(context, None))
    click.echo(f'version {state.version}', err=True)
    _echo_changes(state.object_set, object_set)


@click.command('publish')
@_path
@_base
@_credential
@_note
@click.option(
    '--rebase',
    is_flag=True,
    help='Keep changes published since the base; refuse if both changed '
    'the same object.',
)
@_timeout_s
@click.pass_obj
def publish_command(
    context: OperatorContext,
    path: Path,
    base: int,
    credential: str,
    note: str,
    timeout_s: int,
    *,
    rebase: bool,
) -> None:
    """Publish the set of objects in the file PATH as the next version.

    The whole set is checked first. If another version was published since the
    base, the command fails and shows who changed what. After publishing, it
    waits until no process admits requests by an older version, and prints
    "accepted, in force everywhere", or "published, not yet in force in: ..."
    with the regions and processes that it still waits for.

    Exit codes: 0 accepted, 1 failed, 2 not valid, 3 published but not yet in
    force, 4 conflict, 5 unknown whether the version was published.
    """
    with _exit_on_error():
        object_set = load_object_set(path)
        draft = Draft(object_set, '', base, note, rebase)
        context.run(_publish(context, draft, credential, timeout_s))


@click.command('rollback')
@click.argument('version', type=click.IntRange(min=1))
@_base
@_credential
@_timeout_s
@click.pass_obj
def rollback_command(
    context: OperatorContext,
    version: int,
    base: int,
    credential: str,
    timeout_s: int,
) -> None:
    """Publish the set of an earlier VERSION again, as a new version.

    --base is the newest version that you know of. The versions in between
    stay in the history. The exit codes are those of publish.
    """
    with _exit_on_error():
        context.run(_rollback(context, version, base, credential, timeout_s))


@click.command('export')
@click.option(
    '--version',
    type=click.IntRange(min=1),
    help='Version to print; by default the newest.',
)
@click.pass_obj
def export_command(context: OperatorContext, version: int | None) -> None:
    """Print a published set as JSON; its version is printed to stderr.

    After editing the set, give that version to publish as --base.
    """
    with _exit_on_error():
        state = context.run(_read_state(context, version))
    click.echo(f'version {state.version}', err=True)
    encoded = msgspec.json.encode(state.object_set)
    click.echo(msgspec.json.format(encoded))


@click.command('status')
@click.option(
    '--version',
    type=click.IntRange(min=1),
    help='Wait until this version is in force everywhere.',
)
@click.option(
    '--history', default=5, show_default=True, help='Number of versions shown.'
)
@_timeout_s
@click.pass_obj
def status_command(
    context: OperatorContext,
    version: int | None,
    history: int,
    timeout_s: int,
) -> None:
    """Show the newest version, who published it, and where it is in force.

    With --version the command waits and exits as publish does. Use it after
    an interrupted publish to see whether the version is accepted.
    """
    with _exit_on_error():
        context.run(_print_status(context, history))
        if version is not None:
            context.run(_wait_until_accepted(context, version, timeout_s))


@click.command('forget-host')
@click.argument('address')
@_credential
@click.pass_obj
def forget_host_command(
    context: OperatorContext,
    address: str,
    credential: str,
) -> None:
    """Remove the registrations of the lost process at ADDRESS (IP:PORT).

    With an outage lease, a lost process delays acceptance until its lease has
    expired. Use this only if its host was destroyed or replaced: a process
    that is merely paused could admit requests by an older version. The
    command is recorded in the audit trail.
    """
    with _exit_on_error():
        count = context.run(_forget_host(context, address, credential))
    click.echo(f'{address}: {count} registrations removed')


@click.command('schema')
def schema_command() -> None:
    """Print the JSON Schema of the set of objects, for editors.

    Save it beside the file and select it in the settings of the editor, which
    then completes fields and marks unknown ones. References between objects
    are checked by validate only. The schemas of settings files are printed
    by settings-schema.
    """
    click.echo(object_set_schema())


COMMANDS: tuple[click.Command, ...] = (
    validate_command,
    diff_command,
    publish_command,
    rollback_command,
    export_command,
    status_command,
    forget_host_command,
    schema_command,
)


@contextlib.contextmanager
def _exit_on_error() -> Iterator[None]:
    try:
        yield
    except ObjectsError as group:
        lines = '\n'.join(error.message for error in group.exceptions)
        fail(lines, EXIT_CODE_INVALID)
    except BergamotError as error:
        fail(str(error), _exit_code_of(error))


def _exit_code_of(error: BergamotError) -> int:
    match error:
        case PublicationConflictError():
            return EXIT_CODE_CONFLICT
        case PublicationUnknownError():
            return EXIT_CODE_UNKNOWN
        case PlatformCheckError() | PlatformSettingsError():
            return EXIT_CODE_INVALID
        case _:
            return EXIT_CODE_FAILED


def _publisher(context: OperatorContext) -> Publisher:
    return Publisher.from_platform(
        context.table(),
        context.object_store(),
        context.clock,
    )


def _count_objects(object_set: ObjectSet) -> int:
    return sum(len(getattr(object_set, kind)) for kind in KINDS)


async def _publish(
    context: OperatorContext,
    draft: Draft,
    credential: str,
    timeout_s: int,
) -> None:
    publisher = _publisher(context)
    before = await publisher.newest()
    # Nothing is published before the first set: it names its own operators.
    operators = before.state.object_set if before.row else draft.object_set
    who = find_operator(operators, credential or context.credential).name
    attributed = Draft(
        draft.object_set, who, draft.base, draft.note, draft.rebase
    )
    published = await publisher.publish(attributed)
    await _report_publication(context, before.state, published, timeout_s)


async def _rollback(
    context: OperatorContext,
    version: int,
    base: int,
    credential: str,
    timeout_s: int,
) -> None:
    publisher = _publisher(context)
    before = await publisher.newest()
    object_set = before.state.object_set
    who = find_operator(object_set, credential or context.credential).name
    published = await publisher.rollback(version, who=who, base=base)
    await _report_publication(context, before.state, published, timeout_s)


async def _report_publication(
    context: OperatorContext,
    before: VersionState,
    published: NewestVersion,
    timeout_s: int,
) -> None:
    if published.state.version == before.version:
        click.echo(f'no changes; version {before.version} stays')
        return
    _echo_changes(before.object_set, published.state.object_set)
    click.echo(f'published as version {published.state.version}')
    await record_publication(context, published)
    if timeout_s:
        await _wait_until_accepted(context, published.state.version, timeout_s)


async def _forget_host(
    context: OperatorContext,
    address: str,
    credential: str,
) -> int:
    newest = await _publisher(context).newest()
    object_set = newest.state.object_set
    who = find_operator(object_set, credential or context.credential).name
    count = await delete_holders(context.table(), address)
    trail = AuditTrail(context.object_store(), context.clock, f'cli-{who}')
    detail = {'registrations': str(count)}
    await trail.append('forget_host', address, detail, who)
    await flush_audit(trail)
    return count


async def _wait_until_accepted(
    context: OperatorContext,
    version: int,
    timeout_s: int,
) -> None:
    watch = AcceptanceWatch(context.table(), context.clock)
    timeout_ms = timeout_s * _MS_PER_S
    acceptance: Acceptance = await watch.wait(version, timeout_ms=timeout_ms)
    click.echo(f'version {version}: {acceptance.describe()}')
    if not acceptance.is_accepted:
        message = f'waited {timeout_s} s; run status --version to wait longer'
        fail(message, EXIT_CODE_NOT_IN_FORCE)


async def _read_state(
    context: OperatorContext,
    version: int | None,
) -> VersionState:
    publisher = _publisher(context)
    newest = await publisher.newest()
    if version is None or newest.row is None:
        return newest.state
    return await publisher.archive.version(newest.row, version)


async def _print_status(context: OperatorContext, history: int) -> None:
    publisher = _publisher(context)
    newest = await publisher.newest()
    if newest.row is None:
        click.echo('no version is published')
        return
    since = max(newest.state.version - history, 0)
    for row in await publisher.archive.publications(newest.row, since):
        moment = datetime.fromtimestamp(row.published_ms / _MS_PER_S, tz=UTC)
        click.echo(f'{moment:%Y-%m-%d %H:%M:%S} {describe_publication(row)}')
    await _print_regions(context)


async def _print_regions(context: OperatorContext) -> None:
    versions_by_region: dict[str, list[int]] = {}
    for stored in await read_holders(context.table()):
        holder = stored.holder
        versions = versions_by_region.setdefault(holder.region, [])
        versions.append(holder.version)
    for region, versions in sorted(versions_by_region.items()):
        lowest, highest = min(versions), max(versions)
        in_force = str(lowest) if lowest == highest else f'{lowest}-{highest}'
        processes = f'{len(versions)} registered processes'
        click.echo(f'region {region}: version {in_force} at {processes}')


def _echo_changes(old: ObjectSet, new: ObjectSet) -> None:
    click.echo(render_diff(old, new) or 'no changes')
