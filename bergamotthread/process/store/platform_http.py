"""The platform's table, object store and host list over HTTP.

The protocol is described in docs/design/platform-protocol.md. Writes are sent
by POST, since the HTTP library repeats requests of idempotent methods on its
own, which would turn a write that took effect into a conflict.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec
from aiosonic import HTTPClient, HttpResponse, Timeouts
from aiosonic.exceptions import AiosonicError

from bergamotthread.errors import (
    Step,
    StoreConflictError,
    StoreUnavailableError,
)
from bergamotthread.process.store.platform import (
    HostEntry,
    HostList,
    ObjectStore,
    Row,
    Table,
)

REVISION_HEADER = 'Row-Revision'
_OK = 200
_NO_CONTENT = 204
_NOT_FOUND = 404
_CONFLICT = 409
_MS_PER_S = 1000
_GET = 'GET'
_POST = 'POST'


@dataclass(frozen=True)
class _Answer:
    status: int
    body: bytes
    revision: int


class PlatformConnection:
    """Sends requests to the platform at one address.

    Parameters
    ----------
    address
        IP number and port.
    timeout_ms
        Limit on each request, after which it counts as unanswered.
    """

    def __init__(self, address: str, timeout_ms: float) -> None:
        self._address = address
        timeout_s = timeout_ms / _MS_PER_S
        self._timeouts = Timeouts(
            sock_connect=timeout_s,
            sock_read=timeout_s,
            pool_acquire=timeout_s,
            request_timeout=timeout_s,
        )
        self._client = HTTPClient()

    async def request(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        body: bytes = b'',
    ) -> _Answer:
        """Return the answer to one request.

        Raises
        ------
        StoreConflictError
            If the platform answers that nothing was written.
        StoreUnavailableError
            If there is no answer or an unexpected one.
        """
        url = f'http://{self._address}{path}?{urlencode(query)}'
        try:
            answer = await self._exchange(method, url, body)
        except (AiosonicError, OSError, asyncio.IncompleteReadError) as error:
            raise self._unavailable(repr(error)) from error
        if answer.status == _CONFLICT:
            raise StoreConflictError(
                answer.body.decode(errors='replace'),
                step=Step.STORE,
                peer=self._address,
            )
        if answer.status not in {_OK, _NO_CONTENT, _NOT_FOUND}:
            raise self._unavailable(f'status {answer.status}')
        return answer

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def _exchange(self, method: str, url: str, body: bytes) -> _Answer:
        response: HttpResponse = await self._client.request(
            url,
            method,
            data=body if method == _POST else None,
            timeouts=self._timeouts,
        )
        return _Answer(
            response.status_code,
            await response.content(),
            int(response.headers.get(REVISION_HEADER, '0')),
        )

    def _unavailable(self, cause: str) -> StoreUnavailableError:
        return StoreUnavailableError(
            f'no answer from the platform: {cause}',
            step=Step.STORE,
            peer=self._address,
        )


class HttpTable(Table):
    """Table of the platform over HTTP."""

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    async def read(self, key: str) -> Row | None:
        """Return the row, or None where there is none."""
        answer = await self._connection.request(_GET, '/v1/rows', {'key': key})
        if answer.status == _NOT_FOUND:
            return None
        return Row(key, answer.body, answer.revision)

    async def write(self, key: str, body: bytes, *, expected: int) -> Row:
        """Write a row whose revision is `expected`."""
        query: dict[str, str | int] = {'key': key, 'expected': expected}
        answer = await self._connection.request(
            _POST,
            '/v1/rows',
            query,
            body,
        )
        return Row(key, body, answer.revision)

    async def delete(self, key: str, *, expected: int) -> None:
        """Delete a row whose revision is `expected`."""
        query: dict[str, str | int] = {'key': key, 'expected': expected}
        await self._connection.request(_POST, '/v1/rows/delete', query)

    async def scan(self, prefix: str, *, limit: int) -> tuple[Row, ...]:
        """Return up to `limit` rows whose keys start with `prefix`."""
        query: dict[str, str | int] = {'prefix': prefix, 'limit': limit}
        answer = await self._connection.request(_GET, '/v1/scan', query)
        return msgspec.json.decode(answer.body, type=tuple[Row, ...])


class HttpObjectStore(ObjectStore):
    """Object store of the platform over HTTP."""

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    async def put(self, name: str, body: bytes) -> None:
        """Store an object; the same name and body again is no error."""
        await self._connection.request(
            _POST,
            '/v1/objects',
            {'name': name},
            body,
        )

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None where there is none."""
        answer = await self._connection.request(
            _GET,
            '/v1/objects',
            {'name': name},
        )
        return None if answer.status == _NOT_FOUND else answer.body

    async def names(self, prefix: str, *, limit: int) -> tuple[str, ...]:
        """Return up to `limit` names that start with `prefix`, sorted."""
        answer = await self._connection.request(
            _GET,
            '/v1/object-names',
            {'prefix': prefix, 'limit': limit},
        )
        return msgspec.json.decode(answer.body, type=tuple[str, ...])


class HttpHostList(HostList):
    """Host list of the platform over HTTP."""

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return all hosts that the platform lists."""
        answer = await self._connection.request(_GET, '/v1/hosts', {})
        return msgspec.json.decode(answer.body, type=tuple[HostEntry, ...])
