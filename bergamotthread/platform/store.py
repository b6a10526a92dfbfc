"""Client of the platform's store, for its published calls."""

from __future__ import annotations

import base64
import binascii
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec

from bergamotthread.connection.http.fetch import FetchRequest, fetch
from bergamotthread.connection.http.upstream_pool import UpstreamPool
from bergamotthread.errors import BergamotError, Step
from bergamotthread.platform.store_version import (
    EraError,
    EraTracker,
    StoreVersion,
)

# Calls without a wait are answered within some milliseconds. While the store is
# slow, this can take up to a hundred times as long.
CALL_TIMEOUT_MS = 1200
# A long poll fails if there is no answer this long after the end of its wait.
POLL_TIMEOUT_MARGIN_MS = 700
# The same for a poll of another entry, which answers from memory.
FOLLOW_TIMEOUT_MARGIN_MS = 200
ROWS_PER_PAGE = 500
# Field of the query by which a follower asks for compressed rows.
PACKED_FIELD = 'packed'
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_PRECONDITION_FAILED = 412

_Told = TypeVar('_Told')
_WireFields = dict[str, str | int]


class StoreCallError(BergamotError):
    """The store, or an entry that relays it, did not answer as expected."""


class HistoryLostError(StoreCallError):
    """The requested changes are no longer kept.

    If the store raises this, the whole table must be read again; if another
    entry does, the changes are read from the store instead.
    """


class PreconditionFailedError(StoreCallError):
    """A precondition of a write did not hold; nothing was written."""


class NotFoundError(StoreCallError):
    """The store has no object with the requested name."""


class WireRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Row in the store's wire format; `encoded` is base64.

    An entry that relays rows compresses large ones with zlib before, for
    followers that ask for it, and sets `is_packed`.
    """

    key: str
    encoded: str = msgspec.field(name='value', default='')
    deleted: bool = False
    ver: int = 0
    is_packed: bool = False


class WireRows(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer to a read, a feed call or a transaction.

    An entry that relays rows adds how long ago the store confirmed them, how
    long the call waited at the entry, whether the entry read them from the
    store itself, the store's era, whether the rows are the whole table, and
    whether the confirmation proves that nothing acknowledged is missing from
    the rows.
    """

    rows: tuple[WireRow, ...] = ()
    ver: int = 0
    has_more: bool = False
    age_ms: float = 0
    waited_ms: float = 0
    is_direct: bool = True
    era: int = 0
    is_whole: bool = False
    is_settled: bool = True


@dataclass(frozen=True, slots=True)
class StoredRow:
    """One row of a table; `payload` is None if the row was removed."""

    key: str
    payload: bytes | None
    version: StoreVersion = StoreVersion()


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Rows, and the version of the store up to which they are complete.

    Parameters
    ----------
    age_ms
        Time since the store confirmed the rows, when the answer was sent; 0
        for an answer of the store itself.
    waited_ms
        Time for which the call waited before the answer was sent; 0 for an
        answer of the store itself.
    is_whole
        Whether the rows are the whole table and not only changes.
    is_settled
        False while rows that the store acknowledged before it came back older
        may not have been written again.
    """

    rows: tuple[StoredRow, ...]
    version: StoreVersion
    age_ms: float = 0
    waited_ms: float = 0
    is_whole: bool = False
    is_settled: bool = True


@dataclass(frozen=True, slots=True)
class RowChange:
    """Change of one row, made only if the row has the expected version.

    Parameters
    ----------
    payload
        New content; None removes the row.
    expected
        Version that the row must have; its number is 0 if the row must not
        exist. None for any.
    """

    table: str
    key: str
    payload: bytes | None
    expected: StoreVersion | None


class _WireNames(msgspec.Struct, frozen=True):
    names: tuple[str, ...] = ()
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class _FeedPoll:
    table: str
    after: StoreVersion
    wait_ms: int
    accepts_packed: bool = False


@dataclass(frozen=True, slots=True)
class _StoreAnswer:
    body: bytes
    era: int


@dataclass
class PlatformStoreClient:
    """Calls the store over pooled connections; no call is retried.

    Parameters
    ----------
    call_count
        Number of calls to the store so far.
    eras
        Follows the era of the store, which each of its answers states.
    """

    address: str
    pool: UpstreamPool
    call_count: int = 0
    eras: EraTracker = field(default_factory=EraTracker)

    async def read_rows(
        self,
        table: str,
        start: str = '',
        end: str = '',
        limit: int | None = None,
    ) -> ReadResult:
        """Return the rows of a table whose part is empty, sorted by key.

        Parameters
        ----------
        start, end
            First key, and the key to stop before; empty for no bound.
        limit
            Maximum number of rows; None for no limit.

        Raises
        ------
        StoreCallError
            If the store did not answer as expected, or came back older between
            two pages.
        """
        rows: list[StoredRow] = []
        version = StoreVersion()
        bounds = {'from': start, 'target': end}
        while True:
            remaining = ROWS_PER_PAGE if limit is None else limit - len(rows)
            query = {
                'table': table,
                'part': '',
                'limit': str(min(remaining, ROWS_PER_PAGE)),
                **{name: key for name, key in bounds.items() if key},
            }
            page = await self._request_rows(
                self.address,
                'rows-get',
                query,
                CALL_TIMEOUT_MS,
            )
            read_at = StoreVersion(page.era, page.ver)
            version = version if rows else read_at
            if version.era != page.era:
                raise StoreCallError(
                    f'{table}: pages of eras {version.era} and {page.era}',
                    step=Step.STORE,
                    peer=self.address,
                )
            rows.extend(_decode_rows(page))
            is_full = limit is not None and len(rows) >= limit
            if is_full or not page.has_more or not page.rows:
                return ReadResult(tuple(rows), version)
            bounds['from'] = f'{page.rows[-1].key}\0'

    async def change(self, change: RowChange) -> StoreVersion:
        """Change one row and return its new version.

        Raises
        ------
        PreconditionFailedError
            See `change_all`.
        StoreCallError
            See `change_all`.
        """
        return await self.change_all((change,))

    async def change_all(self, changes: Sequence[RowChange]) -> StoreVersion:
        """Change all of the rows or none; return their new version.

        Raises
        ------
        PreconditionFailedError
            If a row has another version, or the expected one is of an era
            before the known one; nothing was written.
        StoreCallError
            If the store did not confirm this, or came back older meanwhile and
            gave an expected number out again; the changes may have taken
            effect.
        """
        self._check_eras(changes, self.eras.known or 0)
        answer = await self._transact(
            expected=[
                {**_reference(one), 'ver': one.expected.number}
                for one in changes
                if one.expected is not None
            ],
            puts=[
                {**_reference(one), 'value': _encode_payload(one.payload)}
                for one in changes
                if one.payload is not None
            ],
            removed=[_reference(one) for one in changes if one.payload is None],
        )
        other_era = _first_of_other_era(changes, answer.era)
        if other_era is not None:
            raise StoreCallError(
                f'{other_era.key}: written in era {answer.era}, '
                f'expected {other_era.expected}',
                step=Step.STORE,
                peer=self.address,
            )
        written = _decode(answer.body, WireRows, self.address)
        return StoreVersion(answer.era, written.ver)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object under a new name.

        Raises
        ------
        PreconditionFailedError
            If the name is taken.
        StoreCallError
            If the store did not confirm this; the object may be stored.
        """
        await self._call(
            self.address,
            FetchRequest(
                b'PUT',
                _object_target('put', name),
                body,
                ((b'if-none-match', b'*'),),
            ),
            CALL_TIMEOUT_MS,
        )

    async def read_object(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist.

        Raises
        ------
        StoreCallError
            If the store did not answer as expected.
        """
        request = FetchRequest(b'GET', _object_target('get', name))
        try:
            answer = await self._call(self.address, request, CALL_TIMEOUT_MS)
        except NotFoundError:
            return None
        return answer.body

    async def list_objects(self, prefix: str, limit: int) -> tuple[str, ...]:
        """Return up to `limit` object names that start with a prefix, sorted.

        Raises
        ------
        StoreCallError
            If the store did not answer as expected.
        """
        names: list[str] = []
        query = {'path_prefix': prefix}
        while True:
            target = f'/api/blob-list?{urlencode(query)}'.encode()
            answer = await self._call(
                self.address,
                FetchRequest(b'GET', target),
                CALL_TIMEOUT_MS,
            )
            page = _decode(answer.body, _WireNames, self.address)
            names.extend(page.names)
            if not page.has_more or not page.names or len(names) >= limit:
                return tuple(names[:limit])
            query['after'] = names[-1]

    async def read_changes(
        self,
        table: str,
        after: StoreVersion,
        wait_ms: int,
    ) -> ReadResult:
        """Return the rows changed after a version.

        If there are none yet, the store waits up to `wait_ms` for a change.

        Raises
        ------
        HistoryLostError
            If the store no longer keeps changes as old as `after`, or came back
            older since then.
        StoreCallError
            If the store did not answer as expected.
        """
        page = await self._poll_feed(
            self.address,
            _FeedPoll(table, after, wait_ms),
            POLL_TIMEOUT_MARGIN_MS + wait_ms,
        )
        if page.era != after.era:
            raise HistoryLostError(
                f'{table}: era {page.era}, expected {after.era}',
                step=Step.STORE,
                peer=self.address,
            )
        return _read_result(page, after)

    async def read_relayed_changes(
        self,
        peer: str,
        table: str,
        after: StoreVersion,
        wait_ms: int,
        age_max_ms: float,
    ) -> ReadResult:
        """Return the changes that another entry read from the store.

        If the entry knows a newer era, the whole table is returned.

        Parameters
        ----------
        age_max_ms
            Maximum time since the store confirmed the entry's changes.

        Raises
        ------
        HistoryLostError
            If the entry does not keep changes as old as `after`.
        StoreCallError
            If the entry did not answer as expected, itself follows another
            entry, has no change and a confirmation older than `age_max_ms`, or
            its changes are of an older era than is known here.
        """
        page = await self._poll_feed(
            peer,
            _FeedPoll(table, after, wait_ms, accepts_packed=True),
            FOLLOW_TIMEOUT_MARGIN_MS + wait_ms,
        )
        # A change is news whatever its age.
        is_too_old = not page.rows and page.age_ms > age_max_ms
        if not page.is_direct or is_too_old:
            raise StoreCallError(
                f'{table} is {page.age_ms:.0f} ms old, '
                f'direct: {page.is_direct}, expected {age_max_ms} ms, direct',
                step=Step.STORE,
                peer=peer,
            )
        if page.era != after.era and not page.is_whole:
            raise HistoryLostError(
                f'{table}: changes of era {page.era}, expected {after.era}',
                step=Step.STORE,
                peer=peer,
            )
        return _read_result(page, after)

    async def put(self, table: str, key: str, payload: bytes) -> None:
        """Write one row without a precondition.

        Raises
        ------
        StoreCallError
            If the store did not confirm this; the row may be written.
        """
        row = _row_reference(table, key)
        await self._transact(puts=[{**row, 'value': _encode_payload(payload)}])

    def _check_eras(self, changes: Sequence[RowChange], era: int) -> None:
        other_era = _first_of_other_era(changes, era)
        if other_era is not None:
            raise PreconditionFailedError(
                f'{other_era.key}: expected {other_era.expected}, '
                f'the store is in era {era}',
                step=Step.STORE,
                peer=self.address,
            )

    async def _transact(
        self,
        expected: Sequence[_WireFields] = (),
        puts: Sequence[_WireFields] = (),
        removed: Sequence[_WireFields] = (),
    ) -> _StoreAnswer:
        """Change rows in one transaction and return the answer."""
        changes = {'expected_rev': expected, 'puts': puts, 'remove': removed}
        return await self._call(
            self.address,
            FetchRequest(
                b'POST', b'/api/rows-tx', msgspec.json.encode(changes)
            ),
            CALL_TIMEOUT_MS,
        )

    async def _poll_feed(
        self,
        address: str,
        feed: _FeedPoll,
        timeout_ms: float,
    ) -> WireRows:
        query = {
            'table': feed.table,
            'after': str(feed.after.number),
            'wait_ms': str(feed.wait_ms),
        }
        if feed.accepts_packed:
            query[PACKED_FIELD] = '1'
        if address != self.address:
            query['era'] = str(feed.after.era)
        return await self._request_rows(address, 'rows-feed', query, timeout_ms)

    async def _request_rows(
        self,
        address: str,
        call: str,
        query: dict[str, str],
        timeout_ms: float,
    ) -> WireRows:
        target = f'/api/{call}?{urlencode(query)}'.encode()
        answer = await self._call(
            address, FetchRequest(b'GET', target), timeout_ms
        )
        page = _decode(answer.body, WireRows, address)
        if address == self.address:
            return msgspec.structs.replace(page, era=answer.era)
        try:
            self.eras.observe(page.era)
        except EraError as error:
            raise StoreCallError(
                str(error), step=Step.STORE, peer=address
            ) from error
        return page

    async def _call(
        self,
        address: str,
        request: FetchRequest,
        timeout_ms: float,
    ) -> _StoreAnswer:
        if address == self.address:
            self.call_count += 1
        target = request.target.decode()
        try:
            fetched = await fetch(self.pool, address, request, timeout_ms)
            era = self.eras.read(fetched.headers)
        except (ConnectionError, EraError) as error:
            raise StoreCallError(
                str(error), step=Step.STORE, peer=address
            ) from error
        if fetched.status != _OK:
            error_type = _ERROR_BY_STATUS.get(fetched.status, StoreCallError)
            message = f'{target}: status {fetched.status}, expected {_OK}'
            raise error_type(message, step=Step.STORE, peer=address)
        return _StoreAnswer(fetched.body, era)


_ERROR_BY_STATUS: dict[int, type[StoreCallError]] = {
    _NOT_FOUND: NotFoundError,
    _GONE: HistoryLostError,
    _PRECONDITION_FAILED: PreconditionFailedError,
}


def _decode(body: bytes, kind: type[_Told], peer: str) -> _Told:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise StoreCallError(
            f'{kind.__name__}: {error}', step=Step.STORE, peer=peer
        ) from error


def _row_reference(table: str, key: str) -> _WireFields:
    return {'table': table, 'part': '', 'key': key}


def _reference(change: RowChange) -> _WireFields:
    return _row_reference(change.table, change.key)


def _first_of_other_era(
    changes: Sequence[RowChange], era: int
) -> RowChange | None:
    """Return the first change that expects a row version of another era."""
    return next(
        (
            change
            for change in changes
            if change.expected is not None
            and change.expected.number
            and change.expected.era != era
        ),
        None,
    )


def _unpack(key: str, packed: bytes) -> bytes:
    try:
        return zlib.decompress(packed)
    except zlib.error as error:
        raise StoreCallError(
            f'relayed row {key} is not compressed as stated: {error}',
            step=Step.STORE,
        ) from error


def _encode_payload(payload: bytes) -> str:
    return base64.b64encode(payload).decode()


def _object_target(call: str, name: str) -> bytes:
    return f'/api/blob-{call}/{quote(name, safe="")}'.encode()


def _read_result(page: WireRows, after: StoreVersion) -> ReadResult:
    return ReadResult(
        tuple(_decode_rows(page)),
        max(StoreVersion(page.era, page.ver), after),
        page.age_ms,
        page.waited_ms,
        page.is_whole,
        page.is_settled,
    )


def _decode_rows(page: WireRows) -> list[StoredRow]:
    return [_decode_row(wire_row, page.era) for wire_row in page.rows]


def _decode_row(wire_row: WireRow, era: int) -> StoredRow:
    version = StoreVersion(era, wire_row.ver)
    if wire_row.deleted:
        return StoredRow(wire_row.key, None, version)
    try:
        payload = base64.b64decode(wire_row.encoded)
    except (binascii.Error, ValueError):
        # Other writers may store anything; invalid base64 counts as empty.
        payload = b''
    if wire_row.is_packed:
        payload = _unpack(wire_row.key, payload)
    return StoredRow(wire_row.key, payload, version)
