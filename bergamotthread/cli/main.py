"""Command line of bergamotthread."""

from __future__ import annotations

import click

from bergamotthread.cli import (
    audit,
    calls,
    demo,
    drain,
    explain,
    keygen,
    publish,
    replay,
    review,
    serve,
    settings,
)
from bergamotthread.cli.operator_context import PlatformContext
from bergamotthread.clock import Clock


@click.group()
@click.version_option(package_name='bergamotthread')
@click.option(
    '--platform',
    default='127.0.0.1:8100',
    show_default=True,
    envvar='BERGAMOTTHREAD_PLATFORM',
    help="IP number and port of the platform's table and object store.",
)
@click.option(
    '--credential',
    default='',
    envvar='BERGAMOTTHREAD_CREDENTIAL',
    help='Credential of the operator; preferably set as '
    'BERGAMOTTHREAD_CREDENTIAL.',
)
@click.pass_context
def main(context: click.Context, platform: str, credential: str) -> None:
    """Serve long model generations on engines that may fail.

    `entry` and `agent` run the processes. All other commands are for
    operators; they use the platform or any entry.
    """
    if context.obj is None:
        clock = Clock.from_system()
        context.obj = PlatformContext(
            platform,
            clock,
            credential=credential,
        )


_COMMANDS = (
    *serve.COMMANDS,
    *settings.COMMANDS,
    *keygen.COMMANDS,
    *publish.COMMANDS,
    *review.COMMANDS,
    *drain.COMMANDS,
    *calls.COMMANDS,
    *explain.COMMANDS,
    *audit.COMMANDS,
    *replay.COMMANDS,
    *demo.COMMANDS,
)
main.commands.update({command.name or '': command for command in _COMMANDS})
