"""The platform's table, object store and host list over HTTP, with faults.

The protocol is described in docs/design/platform-protocol.md.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial

import click
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from bergamotthread.clock import Clock
from bergamotthread.errors import StoreConflictError, StoreUnavailableError
from bergamotthread.process.store.platform import HostEntry, Row
from bergamotthread.process.store.platform_http import REVISION_HEADER
from bergamotthread.testing.memory_platform import (
    MemoryHostList,
    MemoryObjectStore,
    MemoryPlatform,
    MemoryTable,
    PlatformFaults,
)
from standins.serving import serve

_Handler = Callable[[Request], Awaitable[Response]]
_NO_CONTENT = 204
_BAD_REQUEST = 400
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503
_DEFAULT_LIMIT = '100'


async def _guard(handler: _Handler, request: Request) -> Response:
    try:
        return await handler(request)
    except StoreConflictError as error:
        return Response(error.message, _CONFLICT)
    except StoreUnavailableError as error:
        return Response(error.message, _UNAVAILABLE)
    except (KeyError, ValueError, msgspec.MsgspecError) as error:
        return Response(str(error), _BAD_REQUEST)


def _json(value: object) -> Response:
    return Response(msgspec.json.encode(value), media_type='application/json')


def _row_response(row: Row | None) -> Response:
    if row is None:
        return Response(status_code=_NOT_FOUND)
    return Response(row.body, headers={REVISION_HEADER: str(row.revision)})


class PlatformEndpoints:
    """Handlers of the platform's requests and of the control calls."""

    def __init__(self, platform: MemoryPlatform) -> None:
        self.platform = platform
        self._table = MemoryTable(platform)
        self._objects = MemoryObjectStore(platform)
        self._hosts = MemoryHostList(platform)

    async def read(self, request: Request) -> Response:
        """Answer a row with its revision."""
        return _row_response(
            await self._table.read(request.query_params['key']),
        )

    async def write(self, request: Request) -> Response:
        """Write a row by compare-and-set."""
        key = request.query_params['key']
        expected = int(request.query_params['expected'])
        body = await request.body()
        return _row_response(
            await self._table.write(key, body, expected=expected),
        )

    async def delete(self, request: Request) -> Response:
        """Delete a row by compare-and-set."""
        expected = int(request.query_params['expected'])
        await self._table.delete(
            request.query_params['key'],
            expected=expected,
        )
        return Response(status_code=_NO_CONTENT)

    async def scan(self, request: Request) -> Response:
        """Answer the rows with a prefix."""
        limit = int(request.query_params.get('limit', _DEFAULT_LIMIT))
        prefix = request.query_params['prefix']
        return _json(await self._table.scan(prefix, limit=limit))

    async def put(self, request: Request) -> Response:
        """Store an object."""
        body = await request.body()
        await self._objects.put(request.query_params['name'], body)
        return Response(status_code=_NO_CONTENT)

    async def get(self, request: Request) -> Response:
        """Answer an object."""
        body = await self._objects.get(request.query_params['name'])
        if body is None:
            return Response(status_code=_NOT_FOUND)
        return Response(body)

    async def names(self, request: Request) -> Response:
        """Answer the names of objects with a prefix."""
        limit = int(request.query_params.get('limit', _DEFAULT_LIMIT))
        prefix = request.query_params['prefix']
        return _json(await self._objects.names(prefix, limit=limit))

    async def hosts(self, request: Request) -> Response:
        """Answer the list of hosts."""
        return _json(await self._hosts.hosts())

    async def set_faults(self, request: Request) -> Response:
        """Replace the faults in force by the JSON in the body."""
        self.platform.faults = msgspec.json.decode(
            await request.body(),
            type=PlatformFaults,
        )
        return _json(self.platform.faults)

    async def set_hosts(self, request: Request) -> Response:
        """Replace the list of hosts by the JSON in the body."""
        hosts = msgspec.json.decode(
            await request.body(),
            type=tuple[HostEntry, ...],
        )
        self.platform.hosts_by_address = {host.address: host for host in hosts}
        return _json(hosts)

    async def counts(self, request: Request) -> Response:
        """Answer the numbers of reads and writes so far."""
        return _json(
            {'reads': self.platform.reads, 'writes': self.platform.writes},
        )


def create_app(platform: MemoryPlatform) -> Starlette:
    """Return an application that serves `platform`."""
    at = PlatformEndpoints(platform)
    routes = (
        ('/v1/rows', 'GET', at.read),
        ('/v1/rows', 'POST', at.write),
        ('/v1/rows/delete', 'POST', at.delete),
        ('/v1/scan', 'GET', at.scan),
        ('/v1/objects', 'GET', at.get),
        ('/v1/objects', 'POST', at.put),
        ('/v1/object-names', 'GET', at.names),
        ('/v1/hosts', 'GET', at.hosts),
        ('/control/faults', 'POST', at.set_faults),
        ('/control/hosts', 'POST', at.set_hosts),
        ('/control/counts', 'GET', at.counts),
    )
    return Starlette(
        routes=[
            Route(path, partial(_guard, handler), methods=[method])
            for path, method, handler in routes
        ],
    )


@click.command()
@click.option('--listen', default='127.0.0.1:7300', show_default=True)
def main(listen: str) -> None:
    """Serve an empty platform in memory."""
    serve(create_app(MemoryPlatform(Clock.from_system())), listen)


if __name__ == '__main__':
    main()
