"""Configuration of the HTTP server that callers connect to."""

from __future__ import annotations

from collections.abc import Callable

import uvicorn
from starlette.types import ASGIApp

from bergamotthread.clock import Clock
from bergamotthread.connection.address import Address
from bergamotthread.connection.body_limit import BodyLimit
from bergamotthread.connection.http_limits import HttpConfig
from bergamotthread.process.settings import EntrySettings
from bergamotthread.request.refusal import Refusal

KEEP_ALIVE_TIMEOUT_S = 75


def create_http_config(
    app: ASGIApp,
    settings: EntrySettings,
    clock: Clock,
    refuse: Callable[[Refusal], Refusal],
) -> uvicorn.Config:
    """Return the server configuration given by the settings.

    Parameters
    ----------
    app
        ASGI application; it receives each request body in one message.
    settings
        Settings of the entry: address, limits and TLS files.
    clock
        Clock of the process.
    refuse
        Records a refusal and returns it with its request id.
    """
    address = Address.from_text(settings.listen)
    return HttpConfig(
        BodyLimit(app, settings.limits, refuse),
        settings.limits,
        clock,
        host=str(address.ip),
        port=address.port,
        loop='asyncio',
        ws='none',
        lifespan='off',
        interface='asgi3',
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        ssl_certfile=settings.keys.tls_certificate_file or None,
        ssl_keyfile=settings.keys.tls_key_file or None,
    )
