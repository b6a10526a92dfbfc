"""Command line of bergamotthread."""

from __future__ import annotations

import click

from bergamotthread.cli import demo, drain, keygen, serve, settings


@click.group()
@click.version_option(package_name='bergamotthread')
def main() -> None:
    """Serve long model generations on engines that fail."""


_COMMANDS = (
    *serve.COMMANDS,
    *settings.COMMANDS,
    *keygen.COMMANDS,
    *drain.COMMANDS,
    *demo.COMMANDS,
)
main.commands.update({command.name or '': command for command in _COMMANDS})
