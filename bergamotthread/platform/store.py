"""The published calls of the platform's store."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec

from bergamotthread.connection.http.fetch import Asked, fetch
from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.errors import BergamotError, Step

# A call that waits for nothing answers in some milliseconds; slow spells of
# the store stretch this up to a hundredfold.
CALL_TIMEOUT_MS = 1200
# Time beyond its own wait after which a long poll is taken for lost.
POLL_MARGIN_MS = 700
# The same for another entry, which answers from memory.
FOLLOW_TIMEOUT_MARGIN_MS = 200
PAGE_ROWS = 500
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_NOT_AS_EXPECTED = 412

_Told = TypeVar('_Told')
_WireFields = dict[str, str | int]


class StoreCallError(BergamotError):
    """The store did not answer as expected."""


class HistoryLostError(StoreCallError):
    """The changes asked for are no longer kept; read all rows anew."""


class NotAsExpectedError(StoreCallError):
    """A condition of a write did not hold; nothing was written."""


class NotFoundError(StoreCallError):
    """The store has no object of that name."""


class WireRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Row as the store sends it; `encoded` is base64."""

    key: str
    encoded: str = msgspec.field(name='value', default='')
    deleted: bool = False
    ver: int = 0


class WireRows(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer about rows.

    Entries that pass rows on add the age of their proof, and whether it came
    from the store itself.
    """

    rows: tuple[WireRow, ...] = ()
    ver: int = 0
    has_more: bool = False
    age_ms: float = 0
    is_direct: bool = True


@dataclass(frozen=True, slots=True)
class StoredRow:
    """One row of a table; `payload` is none where it was removed."""

    key: str
    payload: bytes | None
    version: int = 0


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Rows, and the version of the store up to which they are complete.

    Parameters
    ----------
    age_ms
        How long before the question was asked this was current; 0 from the
        store itself.
    """

    rows: tuple[StoredRow, ...]
    version: int
    age_ms: float = 0


@dataclass(frozen=True, slots=True)
class RowChange:
    """Change of one row on the condition of its version.

    Parameters
    ----------
    payload
        New content; none to remove the row.
    expected
        Version that the row must have; 0 if there must be none.
    """

    table: str
    key: str
    payload: bytes | None
    expected: int


class _WireNames(msgspec.Struct, frozen=True):
    names: tuple[str, ...] = ()
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class _Feed:
    table: str
    after: int
    wait_ms: int


@dataclass
class StoreCalls:
    """Calls the store over kept connections; nothing is repeated."""

    address: str
    pool: UpstreamPool
    calls: int = 0

    async def read_rows(
        self,
        table: str,
        start: str = '',
        end: str = '',
        limit: int | None = None,
    ) -> RowsRead:
        """Return the rows of a table's empty part, in order of their keys.

        Parameters
        ----------
        start, end
            First key, and the key before which to stop; empty for no bound.
        limit
            Most rows to return.

        Raises
        ------
        StoreCallError
            If the store did not answer.
        """
        rows: list[StoredRow] = []
        version = 0
        bounds = {'from': start, 'target': end}
        while True:
            left = PAGE_ROWS if limit is None else limit - len(rows)
            query = {
                'table': table,
                'part': '',
                'limit': str(min(left, PAGE_ROWS)),
                **{name: key for name, key in bounds.items() if key},
            }
            page = await self._rows(
                self.address,
                'rows-get',
                query,
                CALL_TIMEOUT_MS,
            )
            version = version or page.ver
            rows.extend(_rows(page.rows))
            is_full = limit is not None and len(rows) >= limit
            if is_full or not page.has_more or not page.rows:
                return RowsRead(tuple(rows), version)
            bounds['from'] = f'{page.rows[-1].key}\0'

    async def change(self, change: RowChange) -> int:
        """Change one row and return the version that it got.

        Raises
        ------
        NotAsExpectedError
            If the row has another version; nothing was written.
        StoreCallError
            If the store did not answer; the change may have taken effect.
        """
        row = _row_name(change.table, change.key)
        condition = {**row, 'ver': change.expected}
        if change.payload is None:
            body = await self._transact(expected=[condition], removed=[row])
        else:
            put = {**row, 'value': _encoded(change.payload)}
            body = await self._transact(expected=[condition], puts=[put])
        return self._decoded(body, WireRows).ver

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object under a name that is not taken.

        Raises
        ------
        NotAsExpectedError
            If the name is taken.
        StoreCallError
            If the store did not answer; the object may be stored.
        """
        await self._call(
            self.address,
            Asked(
                b'PUT',
                _object_target('put', name),
                body,
                ((b'if-none-match', b'*'),),
            ),
            CALL_TIMEOUT_MS,
        )

    async def read_object(self, name: str) -> bytes | None:
        """Return an object, or none if there is no such name."""
        asked = Asked(b'GET', _object_target('get', name))
        try:
            return await self._call(self.address, asked, CALL_TIMEOUT_MS)
        except NotFoundError:
            return None

    async def object_names(self, prefix: str, limit: int) -> tuple[str, ...]:
        """Return up to `limit` names that start with a prefix, in order."""
        names: list[str] = []
        query = {'path_prefix': prefix}
        while True:
            target = f'/api/blob-list?{urlencode(query)}'.encode()
            body = await self._call(
                self.address,
                Asked(b'GET', target),
                CALL_TIMEOUT_MS,
            )
            page = self._decoded(body, _WireNames)
            names.extend(page.names)
            if not page.has_more or not page.names or len(names) >= limit:
                return tuple(names[:limit])
            query['after'] = names[-1]

    async def read_changes(
        self,
        table: str,
        after: int,
        wait_ms: int,
    ) -> RowsRead:
        """Return the rows changed after a version, at once or when there are.

        Raises
        ------
        HistoryLostError
            If the store no longer keeps changes as old as `after`.
        StoreCallError
            If it did not answer.
        """
        page = await self._feed(
            self.address,
            _Feed(table, after, wait_ms),
            POLL_MARGIN_MS + wait_ms,
        )
        return _read(page, after)

    async def follow(
        self,
        peer: str,
        table: str,
        after: int,
        wait_ms: int,
        age_max_ms: float,
    ) -> RowsRead:
        """Return the changes that another entry read from the store.

        Parameters
        ----------
        age_max_ms
            Age of the entry's proof beyond which it is not followed.

        Raises
        ------
        HistoryLostError
            If the entry does not know changes as old as `after`.
        StoreCallError
            If it did not answer, follows another one itself, or has heard
            nothing of late.
        """
        page = await self._feed(
            peer,
            _Feed(table, after, wait_ms),
            FOLLOW_TIMEOUT_MARGIN_MS + wait_ms,
        )
        if not page.is_direct or page.age_ms > age_max_ms:
            raise StoreCallError(
                f'{table} is {page.age_ms:.0f} ms old, '
                f'direct: {page.is_direct}, expected {age_max_ms} ms, direct',
                step=Step.STORE,
                peer=peer,
            )
        return _read(page, after)

    async def put(self, table: str, key: str, payload: bytes) -> None:
        """Write one row whatever it held.

        Raises
        ------
        StoreCallError
            If the store did not say that it was written.
        """
        row = _row_name(table, key)
        await self._transact(puts=[{**row, 'value': _encoded(payload)}])

    async def _transact(
        self,
        expected: Sequence[_WireFields] = (),
        puts: Sequence[_WireFields] = (),
        removed: Sequence[_WireFields] = (),
    ) -> bytes:
        """Change rows together and return the answer."""
        changes = {'expected_rev': expected, 'puts': puts, 'remove': removed}
        return await self._call(
            self.address,
            Asked(b'POST', b'/api/rows-tx', msgspec.json.encode(changes)),
            CALL_TIMEOUT_MS,
        )

    async def _feed(
        self,
        address: str,
        feed: _Feed,
        timeout_ms: float,
    ) -> WireRows:
        query = {
            'table': feed.table,
            'after': str(feed.after),
            'wait_ms': str(feed.wait_ms),
        }
        return await self._rows(address, 'rows-feed', query, timeout_ms)

    async def _rows(
        self,
        address: str,
        call: str,
        query: dict[str, str],
        timeout_ms: float,
    ) -> WireRows:
        target = f'/api/{call}?{urlencode(query)}'.encode()
        body = await self._call(address, Asked(b'GET', target), timeout_ms)
        return self._decoded(body, WireRows)

    def _decoded(self, body: bytes, kind: type[_Told]) -> _Told:
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError as error:
            raise self._error(f'{kind.__name__}: {error}') from error

    async def _call(
        self,
        address: str,
        asked: Asked,
        timeout_ms: float,
    ) -> bytes:
        if address == self.address:
            self.calls += 1
        target = asked.target.decode()
        try:
            fetched = await fetch(self.pool, address, asked, timeout_ms)
        except ConnectionError as error:
            raise self._error(str(error)) from error
        if fetched.status != _OK:
            kind = _ERROR_BY_STATUS.get(fetched.status, StoreCallError)
            told = f'{target}: status {fetched.status}, expected {_OK}'
            raise kind(told, step=Step.STORE, peer=address)
        return fetched.body

    def _error(self, message: str) -> StoreCallError:
        return StoreCallError(message, step=Step.STORE, peer=self.address)


_ERROR_BY_STATUS: dict[int, type[StoreCallError]] = {
    _NOT_FOUND: NotFoundError,
    _GONE: HistoryLostError,
    _NOT_AS_EXPECTED: NotAsExpectedError,
}


def _row_name(table: str, key: str) -> _WireFields:
    return {'table': table, 'part': '', 'key': key}


def _encoded(payload: bytes) -> str:
    return base64.b64encode(payload).decode()


def _object_target(call: str, name: str) -> bytes:
    return f'/api/blob-{call}/{quote(name, safe="")}'.encode()


def _read(page: WireRows, after: int) -> RowsRead:
    rows = tuple(_rows(page.rows))
    return RowsRead(rows, max(page.ver, after), page.age_ms)


def _rows(told: Sequence[WireRow]) -> list[StoredRow]:
    return [_row(row) for row in told]


def _row(told: WireRow) -> StoredRow:
    if told.deleted:
        return StoredRow(told.key, None, told.ver)
    try:
        payload = base64.b64decode(told.encoded)
    except (binascii.Error, ValueError):
        # Rows of other writers may hold anything; this one names nothing.
        payload = b''
    return StoredRow(told.key, payload, told.ver)
