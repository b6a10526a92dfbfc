"""Stand-in of the platform's store, on its published calls.

It can be away, late, stale in its history or lose answers. `python -m
standins.platform_store ADDRESS` serves an empty one.
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
from bergamotthread.testing.loopback import free_address
from standins.platform_server import StandInServer

Asked = dict[str, str]
Told = dict[str, object]
Sent = dict[str, list[dict[str, Any]]]

# Most that one answer holds.
ROWS_MAX = 500
NAMES_MAX = 1000
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_NOT_AS_EXPECTED = 412
_AFTER_ALL = '\U0010ffff' * 2


@dataclass(frozen=True)
class Row:
    """A row; without a payload it was removed."""

    table: str
    key: str
    payload: bytes | None
    ver: int

    def told(self) -> Told:
        """Return what the store tells of it."""
        told: Told = {
            'table': self.table,
            'part': '',
            'key': self.key,
            'ver': self.ver,
        }
        if self.payload is None:
            told['deleted'] = True
        else:
            told['value'] = base64.b64encode(self.payload).decode()
        return told


class StoreStandIn(StandInServer):
    """Rows with versions, a feed with a bounded history, and faults.

    Parameters
    ----------
    status
        Answers with this status, if not 0.
    late_ms
        Time by which answers are late.
    loses_answers
        Does what is asked and breaks the connection off.
    lost_writes
        Number of next writes of which the answer is lost.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.ver = 0
        self.kept_from = 0
        self.status = 0
        self.late_ms = float(0)
        self.loses_answers = False
        self.lost_writes = 0
        self.calls: list[str] = []
        self._row_by_key: dict[tuple[str, str], Row] = {}
        self._changes: list[Row] = []
        self._object_by_name: dict[str, bytes] = {}
        self._news = asyncio.Event()

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row; bytes as they are, all else as JSON."""
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        self._change(Row(table, key, content, self.ver + 1))

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._change(Row(table, key, None, self.ver + 1))

    def forget_history(self) -> None:
        """Drop the changes so far; feeds from before them get 410."""
        self._changes.clear()
        self.kept_from = self.ver

    async def answer(self, exchange: Exchange) -> None:
        """Answer one call."""
        path, _, query = exchange.request.target.decode().partition('?')
        asked = dict(parse_qsl(query, keep_blank_values=True))
        self.calls.append(path)
        if self.status:
            exchange.respond(self.status, ())
            return
        body = exchange.request.body
        if path.startswith('/api/blob-'):
            status, told = self._answer_object(path, asked, body)
        else:
            status, rows = await self._answer_rows(path, asked, body)
            told = json.dumps(rows).encode()
        if self.late_ms:
            await self.clock.sleep_ms(self.late_ms)
        if self.loses_answers or self._loses(exchange.request.method):
            exchange.abort()
        else:
            exchange.respond(status, (), told)

    def _loses(self, method: bytes) -> bool:
        is_lost = method != b'GET' and self.lost_writes > 0
        self.lost_writes -= is_lost
        return is_lost

    async def _answer_rows(
        self,
        path: str,
        asked: Asked,
        sent: bytes,
    ) -> tuple[int, Told]:
        if path == '/api/rows-get':
            return _OK, self._get(asked)
        if path == '/api/rows-feed':
            changes = await self._feed(asked)
            return _OK if changes else _GONE, changes or {}
        return self._transact(json.loads(sent))

    def _transact(self, sent: Sent) -> tuple[int, Told]:
        """Change rows if all have the versions that are expected."""
        for expected in sent['expected_rev']:
            known = self._row_by_key.get((expected['table'], expected['key']))
            ver = known.ver if known else 0
            if expected['ver'] != ver:
                rows = [known.told()] if known else []
                return _NOT_AS_EXPECTED, {'rows': rows, 'ver': self.ver}
        for row in sent['puts']:
            self.put(row['table'], row['key'], base64.b64decode(row['value']))
        for row in sent['remove']:
            self.remove(row['table'], row['key'])
        return _OK, {'ver': self.ver, 'now_ms': 1}

    def _answer_object(
        self,
        path: str,
        asked: Asked,
        sent: bytes,
    ) -> tuple[int, bytes]:
        call, _, quoted = path.removeprefix('/api/blob-').partition('/')
        name = unquote(quoted)
        known = self._object_by_name.get(name)
        match call:
            case 'list':
                return _OK, json.dumps(self._names(asked)).encode()
            case 'get' if known is None:
                return _NOT_FOUND, b''
            case 'get':
                return _OK, known or b''
            case _ if known is not None:
                return _NOT_AS_EXPECTED, b''
            case _:
                self._object_by_name[name] = sent
                return _OK, b''

    def _names(self, asked: Asked) -> Told:
        names = sorted(
            name
            for name in self._object_by_name
            if name.startswith(asked['path_prefix'])
            and name > asked.get('after', '')
        )
        return {
            'names': names[:NAMES_MAX],
            'has_more': len(names) > NAMES_MAX,
        }

    def _get(self, asked: Asked) -> Told:
        start = asked.get('from', '')
        end = asked.get('target', _AFTER_ALL)
        rows = sorted(
            (
                row
                for row in self._row_by_key.values()
                if row.table == asked['table'] and start <= row.key < end
            ),
            key=lambda row: row.key,
        )
        limit = int(asked.get('limit', ROWS_MAX))
        return {
            'rows': [row.told() for row in rows[:limit]],
            'has_more': len(rows) > limit,
            'ver': self.ver,
            'now_ms': 1,
        }

    async def _feed(self, asked: Asked) -> Told | None:
        after = int(asked['after'])
        table = asked['table']
        end_ms = self.clock.now_ms() + int(asked['wait_ms'])
        while True:
            if after < self.kept_from:
                return None
            rows = [
                row
                for row in self._changes
                if row.table == table and row.ver > after
            ]
            left_ms = end_ms - self.clock.now_ms()
            if rows or left_ms <= 0:
                return {
                    'rows': [row.told() for row in rows],
                    'ver': self.ver,
                }
            with contextlib.suppress(TimeoutError):
                async with self.clock.timeout_ms(left_ms):
                    await self._news.wait()

    def _change(self, row: Row) -> None:
        self.ver = row.ver
        self._changes.append(row)
        if row.payload is None:
            self._row_by_key.pop((row.table, row.key), None)
        else:
            self._row_by_key[row.table, row.key] = row
        self._news.set()
        self._news = asyncio.Event()


@contextlib.asynccontextmanager
async def serving_store(store: StoreStandIn) -> AsyncIterator[str]:
    """Serve a store on loopback; yield its address."""
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
