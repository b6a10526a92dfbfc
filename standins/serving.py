"""Serving of the stand-ins, alone or within another program."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import click
import uvicorn
from starlette.applications import Starlette

_LOOPBACK = '127.0.0.1'


def serve(app: Starlette, listen: str) -> None:
    """Serve an application at an IP number and port until interrupted."""
    host, _, port = listen.rpartition(':')
    if not port.isdecimal():
        raise click.BadParameter(f'{listen!r} is not IP:PORT')
    uvicorn.run(app, host=host, port=int(port), log_level='warning')


@contextlib.asynccontextmanager
async def serving(app: Starlette) -> AsyncIterator[str]:
    """Serve an application on a free loopback port; yield its address."""
    listener = socket.create_server((_LOOPBACK, 0))
    config = uvicorn.Config(app, log_level='critical', lifespan='off')
    server = uvicorn.Server(config)
    task = asyncio.ensure_future(server.serve([listener]))
    try:
        yield f'{_LOOPBACK}:{listener.getsockname()[1]}'
    finally:
        server.should_exit = True
        await task
