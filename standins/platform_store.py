"""Stand-in for the platform's store, with its published protocol.

It can refuse calls, delay or lose answers and drop its history. `python -m
standins.platform_store ADDRESS` serves an empty store.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, unquote

from bergamotthread.clock import Clock
from bergamotthread.connection.http.caller_connection import Exchange
from bergamotthread.connection.http.messages import Header
from bergamotthread.testing.loopback import free_address
from standins.platform_server import StandInServer

QueryFields = dict[str, str]
JsonObject = dict[str, object]
TransactionBody = dict[str, list[dict[str, Any]]]

# Most rows and names in one answer.
ROWS_MAX = 500
NAMES_MAX = 1000
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_NOT_AS_EXPECTED = 412
_AFTER_ALL = '\U0010ffff' * 2


@dataclass(frozen=True)
class Row:
    """A version of a row; no payload if the row was removed."""

    table: str
    key: str
    payload: bytes | None
    ver: int

    def to_json_object(self) -> JsonObject:
        """Return the row in the form of the protocol."""
        fields: JsonObject = {
            'table': self.table,
            'part': '',
            'key': self.key,
            'ver': self.ver,
        }
        if self.payload is None:
            fields['deleted'] = True
        else:
            fields['value'] = base64.b64encode(self.payload).decode()
        return fields


class StoreStandIn(StandInServer):
    """Stores versioned rows and objects, with a feed of changes and faults.

    Parameters
    ----------
    status
        Status of all answers; 0 for no fault.
    late_ms
        Delay of each answer.
    loses_answers
        Whether to carry out calls but reset the connection before the answer.
    lost_writes
        Number of coming writes that are carried out but whose answer is lost.
    era
        Sent as `store-era` in every answer; rises with each `restore`.
    states_era
        Whether the header is sent; stores of earlier releases do not.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.ver = 0
        self.kept_from = 0
        self.status = 0
        self.late_ms = float(0)
        self.loses_answers = False
        self.lost_writes = 0
        self.era = 0
        self.states_era = True
        self.calls: list[str] = []
        self._row_by_key: dict[tuple[str, str], Row] = {}
        self._changes: list[Row] = []
        self._all_changes: list[Row] = []
        self._object_by_name: dict[str, bytes] = {}
        self._news = asyncio.Event()

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row; content other than bytes is encoded as JSON."""
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        self._change(Row(table, key, content, self.ver + 1))

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._change(Row(table, key, None, self.ver + 1))

    def forget_history(self) -> None:
        """Drop the history; feeds that start before now get status 410."""
        self._changes.clear()
        self.kept_from = self.ver

    def restore(self, ver: int) -> None:
        """Return to the state as of version `ver`, in the next era.

        Later versions are given out again. Objects stay.
        """
        self._all_changes = [row for row in self._all_changes if row.ver <= ver]
        self._changes = [row for row in self._changes if row.ver <= ver]
        self._row_by_key = {}
        for row in self._all_changes:
            self._apply(row)
        self.kept_from = min(self.kept_from, ver)
        self.ver = ver
        self.era += 1
        self._wake()

    async def answer(self, exchange: Exchange) -> None:
        """Answer one call."""
        headers = self._era_headers()
        path, _, query = exchange.request.target.decode().partition('?')
        query_fields = dict(parse_qsl(query, keep_blank_values=True))
        self.calls.append(path)
        if self.status:
            exchange.respond(self.status, headers)
            return
        body = exchange.request.body
        if path.startswith('/api/blob-'):
            status, payload = self._answer_object(path, query_fields, body)
        else:
            status, rows = await self._answer_rows(path, query_fields, body)
            payload = json.dumps(rows).encode()
        headers = self._era_headers()
        if self.late_ms:
            await self.clock.sleep_ms(self.late_ms)
        if self.loses_answers or self._loses(exchange.request.method):
            exchange.abort()
        else:
            exchange.respond(status, headers, payload)

    def _era_headers(self) -> tuple[Header, ...]:
        if not self.states_era:
            return ()
        return ((b'store-era', b'%d' % self.era),)

    def _loses(self, method: bytes) -> bool:
        is_lost = method != b'GET' and self.lost_writes > 0
        self.lost_writes -= is_lost
        return is_lost

    async def _answer_rows(
        self,
        path: str,
        query_fields: QueryFields,
        body: bytes,
    ) -> tuple[int, JsonObject]:
        if path == '/api/rows-get':
            return _OK, self._get(query_fields)
        if path == '/api/rows-feed':
            changes = await self._feed(query_fields)
            return _OK if changes else _GONE, changes or {}
        return self._transact(json.loads(body))

    def _transact(self, body: TransactionBody) -> tuple[int, JsonObject]:
        """Write and remove rows if all expected versions match."""
        for expected in body['expected_rev']:
            stored = self._row_by_key.get((expected['table'], expected['key']))
            ver = stored.ver if stored else 0
            if expected['ver'] != ver:
                rows = [stored.to_json_object()] if stored else []
                return _NOT_AS_EXPECTED, {'rows': rows, 'ver': self.ver}
        ver = self.ver + 1
        for row in body['puts']:
            payload = base64.b64decode(row['value'])
            self._change(Row(row['table'], row['key'], payload, ver))
        for row in body['remove']:
            self._change(Row(row['table'], row['key'], None, ver))
        return _OK, {'ver': self.ver, 'now_ms': 1}

    def _answer_object(
        self,
        path: str,
        query_fields: QueryFields,
        body: bytes,
    ) -> tuple[int, bytes]:
        operation, _, quoted = path.removeprefix('/api/blob-').partition('/')
        name = unquote(quoted)
        stored = self._object_by_name.get(name)
        match operation:
            case 'list':
                return _OK, json.dumps(self._names(query_fields)).encode()
            case 'get' if stored is None:
                return _NOT_FOUND, b''
            case 'get':
                return _OK, stored or b''
            case _ if stored is not None:
                return _NOT_AS_EXPECTED, b''
            case _:
                self._object_by_name[name] = body
                return _OK, b''

    def _names(self, query_fields: QueryFields) -> JsonObject:
        names = sorted(
            name
            for name in self._object_by_name
            if name.startswith(query_fields['path_prefix'])
            and name > query_fields.get('after', '')
        )
        return {
            'names': names[:NAMES_MAX],
            'has_more': len(names) > NAMES_MAX,
        }

    def _get(self, query_fields: QueryFields) -> JsonObject:
        start = query_fields.get('from', '')
        end = query_fields.get('target', _AFTER_ALL)
        rows = sorted(
            (
                row
                for row in self._row_by_key.values()
                if row.table == query_fields['table'] and start <= row.key < end
            ),
            key=lambda row: row.key,
        )
        limit = int(query_fields.get('limit', ROWS_MAX))
        return {
            'rows': [row.to_json_object() for row in rows[:limit]],
            'has_more': len(rows) > limit,
            'ver': self.ver,
            'now_ms': 1,
        }

    async def _feed(self, query_fields: QueryFields) -> JsonObject | None:
        after = int(query_fields['after'])
        table = query_fields['table']
        end_ms = self.clock.now_ms() + int(query_fields['wait_ms'])
        while True:
            if not self.kept_from <= after <= self.ver:
                return None
            rows = [
                row
                for row in self._changes
                if row.table == table and row.ver > after
            ]
            remaining_ms = end_ms - self.clock.now_ms()
            if rows or remaining_ms <= 0:
                return {
                    'rows': [row.to_json_object() for row in rows],
                    'ver': self.ver,
                }
            with contextlib.suppress(TimeoutError):
                async with self.clock.timeout_ms(remaining_ms):
                    await self._news.wait()

    def _change(self, row: Row) -> None:
        self.ver = row.ver
        self._changes.append(row)
        self._all_changes.append(row)
        self._apply(row)
        self._wake()

    def _apply(self, row: Row) -> None:
        if row.payload is None:
            self._row_by_key.pop((row.table, row.key), None)
        else:
            self._row_by_key[row.table, row.key] = row

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()


@contextlib.asynccontextmanager
async def serving_store(store: StoreStandIn) -> AsyncIterator[str]:
    """Serve a store on a free loopback address; yield the address."""
    server = await store.listen(free_address())
    try:
        yield store.address
    finally:
        server.close()


async def _serve(address: str) -> None:
    await StoreStandIn(Clock.from_system()).listen(address)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(_serve(sys.argv[1]))
