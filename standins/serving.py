"""Serves a stand-in's application on one address until ended."""

from __future__ import annotations

import uvicorn
from starlette.types import ASGIApp

from bergamotthread.connection.http_server import HttpServer


def server(app: ASGIApp, listen: str) -> HttpServer:
    """Return a server of `app` on `listen` (`IP:PORT`, port 0 for any)."""
    host, _, port = listen.rpartition(':')
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        log_level='critical',
        access_log=False,
        lifespan='off',
    )
    return HttpServer(config)
