"""Commands that run a process of the system."""

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
    help='JSON file; `bergamotthread settings-schema` prints its form.',
)


@click.command('entry')
@_settings
def entry(path: Path) -> None:
    """Serve callers in front of the agents.

    The process stops admitting and fails the balancer's check on SIGTERM, and
    ends once its streams have.
    """
    settings = load_settings_or_exit(path, EntrySettings)
    configure_log(settings.log)
    asyncio.run(_run_entry(settings))


@click.command('agent')
@_settings
def agent(path: Path) -> None:
    """Guard the upstream beside this process.

    On SIGTERM the process takes no new work and ends when the running work
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
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    serving = asyncio.create_task(process.run())
    waiting = asyncio.create_task(ended.wait())
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
