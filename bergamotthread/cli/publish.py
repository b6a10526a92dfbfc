"""Commands that check, publish and follow versions of the configuration."""

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
    help='Your credential; better given by the environment.',
)
_note = click.option('--note', default='', help='Why; kept with the version.')
_timeout_s = click.option(
    '--timeout-s',
    default=60,
    show_default=True,
    help='How long to wait until the version is in force; 0: do not wait.',
)
_base = click.option(
    '--base',
    type=click.IntRange(min=0),
    required=True,
    help='Version that the file was edited from; 0 for the first one.',
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
    help="What the file holds; the other forms are the platform's.",
)
def validate_command(path: Path, form: str) -> None:
    """Check the set of objects in the file PATH, without the platform.

    Prints every fault with its JSON path, the value found and what was
    expected, and exits with code 2 if there is one. With --form, checks a
    file that the platform gives to a process instead.
    """
    with _told_by_exit_code():
        check = _CHECK_BY_FORM.get(form)
        if check is not None:
            click.echo(f'{path}: valid, {check(path)}')
            return
        object_set = load_object_set(path)
    click.echo(f'{path}: valid, {_count(object_set)} objects')


@click.command('diff')
@_path
@click.pass_obj
def diff_command(context: OperatorContext, path: Path) -> None:
    """Show how the set in the file PATH differs from the newest version.

    The set is checked first. Lines start with + for added and - for removed
    objects and with ~ for changed fields.
    """
    with _told_by_exit_code():
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
    help='Keep what others published since the base, unless both changed '
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

    The whole set is checked first. If others published since the base, the
    command is refused and tells who changed what. It then waits until no
    process admits requests by an older version any more, and prints
    "accepted, in force everywhere", or "published, not yet in force in: ..."
    with the regions and processes that it waits for.

    Exit codes: 0 accepted, 1 failed, 2 not valid, 3 published but not yet in
    force, 4 conflict, 5 the platform did not say whether it was published.
    """
    with _told_by_exit_code():
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

    --base is the newest version that you know of. Nothing is undone: the
    versions between stay in the history. Exit codes are those of publish.
    """
    with _told_by_exit_code():
        context.run(_rollback(context, version, base, credential, timeout_s))


@click.command('export')
@click.option(
    '--version',
    type=click.IntRange(min=1),
    help='Version to print; the newest unless given.',
)
@click.pass_obj
def export_command(context: OperatorContext, version: int | None) -> None:
    """Print a published set as JSON, to edit it; its number goes to stderr.

    Give that number to publish as --base.
    """
    with _told_by_exit_code():
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
@click.option('--history', default=5, show_default=True, help='Versions shown.')
@_timeout_s
@click.pass_obj
def status_command(
    context: OperatorContext,
    version: int | None,
    history: int,
    timeout_s: int,
) -> None:
    """Show the newest version, who published it, and where it is in force.

    With --version the command waits as publish does and has its exit codes;
    a publisher whose command was cut off asks so whether it is accepted.
    """
    with _told_by_exit_code():
        context.run(_print_status(context, history))
        if version is not None:
            context.run(_wait(context, version, timeout_s))


@click.command('forget-host')
@click.argument('address')
@_credential
@click.pass_obj
def forget_host_command(
    context: OperatorContext,
    address: str,
    credential: str,
) -> None:
    """Tell that the process at ADDRESS (IP number and port) is gone for good.

    With an outage lease a lost process holds up acceptance until its lease
    has lapsed. Use this only where its host is destroyed or replaced: one that
    is merely paused could admit requests by an older version. The command is
    recorded in the audit trail.
    """
    with _told_by_exit_code():
        count = context.run(_forget_host(context, address, credential))
    click.echo(f'{address}: {count} registrations removed')


@click.command('schema')
def schema_command() -> None:
    """Print the JSON Schema of the set of objects, for editors.

    Save it beside the file and name it in the editor's settings; the editor
    then completes fields and marks unknown ones. References between objects
    are checked by validate alone. The schemas of settings files are printed
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
def _told_by_exit_code() -> Iterator[None]:
    try:
        yield
    except ObjectsError as group:
        lines = '\n'.join(one.message for one in group.exceptions)
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


def _count(object_set: ObjectSet) -> int:
    return sum(len(getattr(object_set, kind)) for kind in KINDS)


async def _publish(
    context: OperatorContext,
    draft: Draft,
    credential: str,
    timeout_s: int,
) -> None:
    publisher = _publisher(context)
    before = await publisher.newest()
    # The first set names the operators who may publish it.
    known = before.state.object_set if before.row else draft.object_set
    who = find_operator(known, credential or context.credential).name
    named = Draft(draft.object_set, who, draft.base, draft.note, draft.rebase)
    published = await publisher.publish(named)
    await _tell_published(context, before.state, published, timeout_s)


async def _rollback(
    context: OperatorContext,
    version: int,
    base: int,
    credential: str,
    timeout_s: int,
) -> None:
    publisher = _publisher(context)
    before = await publisher.newest()
    known = before.state.object_set
    who = find_operator(known, credential or context.credential).name
    published = await publisher.rollback(version, who=who, base=base)
    await _tell_published(context, before.state, published, timeout_s)


async def _tell_published(
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
        await _wait(context, published.state.version, timeout_s)


async def _forget_host(
    context: OperatorContext,
    address: str,
    credential: str,
) -> int:
    newest = await _publisher(context).newest()
    known = newest.state.object_set
    who = find_operator(known, credential or context.credential).name
    count = await delete_holders(context.table(), address)
    trail = AuditTrail(context.object_store(), context.clock, f'cli-{who}')
    detail = {'registrations': str(count)}
    await trail.append('forget_host', address, detail, who)
    await flush_audit(trail)
    return count


async def _wait(
    context: OperatorContext,
    version: int,
    timeout_s: int,
) -> None:
    watch = AcceptanceWatch(context.table(), context.clock)
    timeout_ms = timeout_s * _MS_PER_S
    acceptance: Acceptance = await watch.wait(version, timeout_ms=timeout_ms)
    click.echo(f'version {version}: {acceptance.describe()}')
    if not acceptance.is_accepted:
        message = f'waited {timeout_s} s; ask again by status'
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
        click.echo('nothing is published')
        return
    since = max(newest.state.version - history, 0)
    for one in await publisher.archive.publications(newest.row, since):
        moment = datetime.fromtimestamp(one.published_ms / _MS_PER_S, tz=UTC)
        click.echo(f'{moment:%Y-%m-%d %H:%M:%S} {describe_publication(one)}')
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
