"""Table, object store and host list, kept in the platform's store."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import msgspec
from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.errors import (
    Step,
    StoreConflictError,
    StoreUnavailableError,
)
from bergamotthread.platform.store import (
    PlatformStoreClient,
    PreconditionFailedError,
    RowChange,
    StoreCallError,
    StoredRow,
)
from bergamotthread.platform.store_version import StoreVersion
from bergamotthread.process.settings import PlatformSettings
from bergamotthread.process.store.platform import (
    HostEntry,
    HostList,
    ObjectStore,
    Row,
    StoreReturns,
    Table,
)
from bergamotthread.process.store.store_client import (
    StoreClient,
    StoreGuard,
    StoreLimits,
)

# Holds all rows of the product; the prefix of a key gives the row's kind.
ROWS_TABLE = 'bergamotthread'
# One row for each machine, keyed by address and kept by whoever starts the
# machines.
HOSTS_TABLE = 'hosts'
# A revision is the number of a version, with the era above these bits, so that
# revisions grow with each write and no revision of one era occurs in another.
NUMBER_BITS = 48
# Last code point; a prefix followed by it sorts after all keys with the prefix.
_LAST_CODE_POINT = '\U0010ffff'


class PlatformTable(Table):
    """The product's rows, in one table of the platform's store."""

    def __init__(self, calls: PlatformStoreClient) -> None:
        self._calls = calls

    async def read(self, key: str) -> Row | None:
        """Return the row, or None if there is none."""
        with _translate_errors():
            read = await self._calls.read_rows(
                ROWS_TABLE,
                key,
                f'{key}\0',
                1,
            )
        rows = _rows(read.rows)
        return rows[0] if rows else None

    async def write(self, key: str, body: bytes, *, expected: int) -> Row:
        """Write a row whose revision is `expected`."""
        change = RowChange(ROWS_TABLE, key, body, _version(expected))
        with _translate_errors():
            version = await self._calls.change(change)
        return Row(key, body, _revision(version))

    async def delete(self, key: str, *, expected: int) -> None:
        """Delete a row whose revision is `expected`."""
        change = RowChange(ROWS_TABLE, key, None, _version(expected))
        with _translate_errors():
            await self._calls.change(change)

    async def scan(self, prefix: str, *, limit: int) -> tuple[Row, ...]:
        """Return up to `limit` rows whose keys start with `prefix`."""
        with _translate_errors():
            read = await self._calls.read_rows(
                ROWS_TABLE,
                prefix,
                f'{prefix}{_LAST_CODE_POINT}',
                limit,
            )
        return _rows(read.rows)


class PlatformObjectStore(ObjectStore):
    """The product's objects, in the platform's store."""

    def __init__(self, calls: PlatformStoreClient) -> None:
        self._calls = calls

    async def put(self, name: str, body: bytes) -> None:
        """Store an object; storing the same name and body again is allowed.

        Raises
        ------
        StoreConflictError
            If the name is taken by an object with another body.
        """
        try:
            with _translate_errors():
                await self._calls.put_object(name, body)
        except StoreConflictError:
            if await self.get(name) != body:
                raise

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if there is none."""
        with _translate_errors():
            return await self._calls.read_object(name)

    async def names(self, prefix: str, *, limit: int) -> tuple[str, ...]:
        """Return up to `limit` names that start with `prefix`, sorted."""
        with _translate_errors():
            return await self._calls.list_objects(prefix, limit)


class PlatformHostList(HostList):
    """Host list, read from a table of the platform's store."""

    def __init__(self, calls: PlatformStoreClient) -> None:
        self._calls = calls

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return all hosts that the platform lists."""
        with _translate_errors():
            read = await self._calls.read_rows(HOSTS_TABLE)
        decoded = (_decode_host(row) for row in read.rows)
        return tuple(host for host in decoded if host is not None)


def open_store(settings: PlatformSettings, clock: Clock) -> StoreClient:
    """Return a client of the platform's store, limited by the settings."""
    connections = UpstreamPool(clock, b'')
    calls = PlatformStoreClient(settings.address, connections)
    returns = StoreReturns()
    calls.eras.listeners.append(lambda *_: returns.notify())
    return StoreClient(
        PlatformTable(calls),
        PlatformObjectStore(calls),
        PlatformHostList(calls),
        StoreGuard(StoreLimits.from_settings(settings), clock),
        connections,
        returns,
    )


@contextmanager
def _translate_errors() -> Iterator[None]:
    """Translate errors of the client to those that the interfaces declare."""
    try:
        yield
    except PreconditionFailedError as error:
        raise StoreConflictError(
            error.message,
            step=Step.STORE,
            peer=error.peer,
        ) from error
    except StoreCallError as error:
        raise StoreUnavailableError(
            f'no answer from the platform: {error}',
            step=Step.STORE,
        ) from error


def _rows(stored: tuple[StoredRow, ...]) -> tuple[Row, ...]:
    return tuple(
        Row(row.key, row.payload or b'', _revision(row.version))
        for row in stored
    )


def _revision(version: StoreVersion) -> int:
    return version.era << NUMBER_BITS | version.number


def _version(revision: int) -> StoreVersion:
    era = revision >> NUMBER_BITS
    return StoreVersion(era, revision - (era << NUMBER_BITS))


def _decode_host(row: StoredRow) -> HostEntry | None:
    """Decode a host; return None for a row that holds something else."""
    try:
        return msgspec.json.decode(row.payload or b'', type=HostEntry)
    except msgspec.MsgspecError as error:
        logging.warning(
            'row %s of table %s is not a host; ignored: %s',
            row.key,
            HOSTS_TABLE,
            error,
        )
        return None
