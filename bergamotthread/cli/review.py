"""Command that reviews a platform manifest before it is sent."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click

from bergamotthread.cli.operator_context import fail
from bergamotthread.clock import Clock
from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.errors import BergamotError, Step
from bergamotthread.platform.checks import (
    PlatformCheckError,
    load_manifest_file,
)
from bergamotthread.platform.manifest import read_manifest
from bergamotthread.platform.manifest_review import review_manifest
from bergamotthread.platform.store import PlatformStoreClient, StoreCallError
from bergamotthread.version.route_table import RouteTable

EXIT_CODE_FAILED = 1
EXIT_CODE_INVALID = 2
EXIT_CODE_DOUBTFUL = 6
# Where the operator writes manifests.
MANIFEST_TABLE = 'op'
MANIFEST_KEY = 'config'

_path_type = click.Path(path_type=Path)


@click.command('review')
@click.argument('path', type=_path_type)
@click.option(
    '--in-force',
    type=_path_type,
    help='File with the manifest in force, to compare with.',
)
@click.option(
    '--store',
    default='',
    help="Address HOST:PORT of the platform's store, to compare with the "
    'manifest that it holds.',
)
def review_command(path: Path, in_force: Path | None, store: str) -> None:
    """Review the platform manifest in the file PATH before it is sent.

    Prints errors; entries that can never match and limits that contradict
    each other, as lines that start with "doubt:"; and what differs from the
    version in force, with +, - and ~. Keys are counted and not shown.

    Exit codes: 0 neither, 1 the version in force can't be read, 2 errors,
    6 doubts.
    """
    try:
        table = load_manifest_file(path)
    except PlatformCheckError as error:
        fail(str(error), EXIT_CODE_INVALID)
    try:
        former = _read_in_force(in_force, store)
    except BergamotError as error:
        fail(f'version in force: {error}', EXIT_CODE_FAILED)
    review = review_manifest(table, former)
    for change in review.changes:
        click.echo(change)
    for doubt in review.doubts:
        click.echo(f'doubt: {doubt}')
    if review.doubts:
        raise click.exceptions.Exit(EXIT_CODE_DOUBTFUL)
    click.echo(f'{path}: no errors and no doubts', err=True)


def _read_in_force(path: Path | None, store: str) -> RouteTable | None:
    """Return the version in force; None if none is named.

    Raises
    ------
    BergamotError
        If it can't be read or decoded.
    """
    if path is not None:
        return load_manifest_file(path)
    if not store:
        return None
    return read_manifest(asyncio.run(_fetch_manifest(store)))[0]


async def _fetch_manifest(address: str) -> bytes:
    pool = UpstreamPool(Clock.from_system(), b'')
    try:
        read = await PlatformStoreClient(address, pool).read_rows(
            MANIFEST_TABLE, MANIFEST_KEY
        )
    except StoreCallError as error:
        raise BergamotError(str(error), step=Step.CHECK) from error
    finally:
        pool.close()
    for row in read.rows:
        if row.key == MANIFEST_KEY and row.payload is not None:
            return row.payload
    raise BergamotError(
        f'store {address} has no row {MANIFEST_TABLE}/{MANIFEST_KEY}',
        step=Step.CHECK,
    )


COMMANDS: tuple[click.Command, ...] = (review_command,)
