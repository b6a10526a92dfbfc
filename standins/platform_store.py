"""Stand-in of the platform's store, on its published calls.

It can be away, late, stale in its history or lose answers.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
from dataclasses import dataclass
from urllib.parse import parse_qsl

from bergamotthread.clock import Clock
from bergamotthread.connection.http.caller_connection import Exchange
from standins.platform_server import StandInServer

Asked = dict[str, str]
Told = dict[str, object]


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
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.ver = 0
        self.kept_from = 0
        self.status = 0
        self.late_ms = float(0)
        self.loses_answers = False
        self.calls: list[str] = []
        self._row_by_key: dict[tuple[str, str], Row] = {}
        self._changes: list[Row] = []
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
        told = await self._answer(path, asked, exchange.request.body)
        if self.late_ms:
            await self.clock.sleep_ms(self.late_ms)
        if self.loses_answers:
            exchange.abort()
        elif told is None:
            exchange.respond(410, ())
        else:
            exchange.respond(200, (), json.dumps(told).encode())

    async def _answer(
        self,
        path: str,
        asked: Asked,
        sent: bytes,
    ) -> Told | None:
        if path == '/api/rows-get':
            return self._get(asked)
        if path == '/api/rows-feed':
            return await self._feed(asked)
        for row in json.loads(sent)['puts']:
            self.put(row['table'], row['key'], base64.b64decode(row['value']))
        return {'ver': self.ver, 'now_ms': 1}

    def _get(self, asked: Asked) -> Told:
        rows = sorted(
            (
                row
                for row in self._row_by_key.values()
                if row.table == asked['table']
                and row.key >= asked.get('from', '')
            ),
            key=lambda row: row.key,
        )
        limit = int(asked.get('limit', 500))
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
