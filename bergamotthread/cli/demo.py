"""Command that runs the demonstration."""

from __future__ import annotations

import asyncio

import click

from standins.demo import DemoError, run_demo
from standins.tokens import BrokenAnswerError


@click.command('demo')
def demo() -> None:
    """Run small versions of both users' deployments on loopback.

    Streams a reading, kills the engine that produces it, and publishes a
    change. The exit code is 1 if one of the checks fails.
    """
    try:
        asyncio.run(run_demo(click.echo))
    except (DemoError, BrokenAnswerError) as error:
        raise click.ClickException(str(error)) from error
    click.echo('all of it held')


COMMANDS: tuple[click.Command, ...] = (demo,)
