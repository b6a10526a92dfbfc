"""HTTP servers for the stand-ins, as a program or within another one."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import click
import uvicorn
from starlette.types import ASGIApp

from bergamotthread.connection.http_server import HttpServer

_ANY_LOOPBACK_PORT = '127.0.0.1:0'


def server(app: ASGIApp, listen: str) -> HttpServer:
    """Return a server of `app` on `listen`.

    `listen` is `IP:PORT`; port 0 takes any free port.
    """
    host, _, port = listen.rpartition(':')
    if not port.isdecimal():
        raise click.BadParameter(f'{listen!r} is not IP:PORT')
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        log_config=None,
        access_log=False,
        lifespan='off',
    )
    return HttpServer(config)


def serve(app: ASGIApp, listen: str) -> None:
    """Serve an application at an IP number and port until interrupted."""
    asyncio.run(server(app, listen).serve())


@contextlib.asynccontextmanager
async def serving(app: ASGIApp) -> AsyncIterator[str]:
    """Serve an application on a free loopback port; yield its address."""
    http_server = server(app, _ANY_LOOPBACK_PORT)
    await http_server.start()
    try:
        yield f'127.0.0.1:{http_server.port}'
    finally:
        await http_server.abort()
