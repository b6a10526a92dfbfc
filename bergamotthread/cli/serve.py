"""Commands that run an entry or an agent process."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import click

from bergamotthread.cli.settings import load_settings_or_exit
from bergamotthread.clock import Clock
from bergamotthread.process.agent_process import AgentProcess
from bergamotthread.process.entry_process import EntryProcess
from bergamotthread.process.log import configure_log
from bergamotthread.process.settings import AgentSettings, EntrySettings

_settings = click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(path_type=Path),
    help='JSON file; `bergamotthread settings-schema` prints its schema.',
)


@click.command('entry')
@_settings
def entry(path: Path) -> None:
    """Run an entry, which serves callers through the agents.

    On SIGTERM the process stops admitting requests, fails the readiness check
    of the load balancer and exits when its streams have ended.
    """
    settings = load_settings_or_exit(path, EntrySettings)
    configure_log(settings.log)
    asyncio.run(_run_entry(settings))


@click.command('agent')
@_settings
def agent(path: Path) -> None:
    """Run an agent, which dispatches requests to the upstream beside it.

    On SIGTERM the process declines new work and exits when the running work
    has ended or was handed over.
    """
    settings = load_settings_or_exit(path, AgentSettings)
    configure_log(settings.log)
    asyncio.run(_run_agent(settings))


COMMANDS: tuple[click.Command, ...] = (entry, agent)


async def _run_entry(settings: EntrySettings) -> None:
    process = EntryProcess.from_settings(settings, Clock.from_system())
    await _until_drained(process)


async def _run_agent(settings: AgentSettings) -> None:
    process = AgentProcess.from_settings(settings, Clock.from_system())
    await _until_drained(process)


async def _until_drained(process: EntryProcess | AgentProcess) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    serving = asyncio.create_task(process.run())
    waiting = asyncio.create_task(stop_requested.wait())
    await asyncio.wait(
        (serving, waiting),
        return_when=asyncio.FIRST_COMPLETED,
    )
    if not serving.done():
        await process.drain()
        serving.cancel()
    await asyncio.gather(serving, return_exceptions=True)
    if serving.done() and not serving.cancelled():
        serving.result()
