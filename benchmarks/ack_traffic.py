"""Bytes of acknowledgements that an entry sends to its agents.

Run ``python -m benchmarks.ack_traffic``.
"""

from __future__ import annotations

import asyncio

import click

from bergamotthread.request.completion import CompletionRequest
from bergamotthread.request.live_generation import LiveGeneration
from bergamotthread.testing.virtual_loop import run_virtual
from standins.engine_core import EngineSpeed
from standins.small_deployment import SmallDeployment, entry_address

STREAMS = 240
AGENTS = 60
TOKEN_INTERVAL_MS = 37
WARM_UP_MS = 3000
WINDOW_MS = 10_000
_MS_PER_S = 1000


async def measure(streams: int, agents: int) -> float:
    """Return the bytes per second that an entry sends to agents."""
    deployment = SmallDeployment(
        agent_count=agents,
        speed=EngineSpeed(token_interval_ms=TOKEN_INTERVAL_MS),
    )
    readers = [
        asyncio.create_task(_read(_open(deployment, index)))
        for index in range(streams)
    ]
    await deployment.clock.sleep_ms(WARM_UP_MS)
    before = deployment.network.bytes_by_sender[entry_address(0)]
    await deployment.clock.sleep_ms(WINDOW_MS)
    sent = deployment.network.bytes_by_sender[entry_address(0)] - before
    for reader in readers:
        reader.cancel()
    return sent / WINDOW_MS * _MS_PER_S


def _open(deployment: SmallDeployment, index: int) -> LiveGeneration:
    request = CompletionRequest(
        'furnace',
        f'log {index}',
        max_tokens=100_000,
    )
    return deployment.entries[0].open(request)[0]


async def _read(live: LiveGeneration) -> None:
    while True:
        live.consumed_tokens = live.generation.offset
        await live.wait_change()


@click.command()
@click.option('--streams', default=STREAMS, show_default=True)
@click.option('--agents', default=AGENTS, show_default=True)
def main(streams: int, agents: int) -> None:
    """Print the bytes a second of acknowledgements."""
    sent = run_virtual(measure(streams, agents))
    click.echo(f'{streams} streams on {agents} agents: {sent:.0f} bytes/s')


if __name__ == '__main__':
    main()
