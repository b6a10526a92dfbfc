"""Stand-in of the platform's store, for the calls that PROTOCOL.md names."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from urllib.parse import parse_qsl, urlsplit

from wire import encode, read_body, read_head


class Store:
    """Rows with a version each, and a feed of their changes."""

    def __init__(self) -> None:
        self.ver = 0
        self.rows: dict[tuple[str, str, str], dict[str, object]] = {}
        self.changes: list[dict[str, object]] = []
        self.news = asyncio.Event()

    async def listen(self, host: str, port: int) -> None:
        """Accept connections."""
        self.server = await asyncio.start_server(self.serve, host, port)

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row as the operator or a runner does."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self.ver += 1
        self.change({'table': table, 'part': '', 'key': key, 'value': value})

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.ver += 1
        self.change({'table': table, 'part': '', 'key': key, 'deleted': True})

    def change(self, row: dict[str, object]) -> None:
        """Apply a change with the newest version."""
        row['ver'] = self.ver
        name = (str(row['table']), str(row['part']), str(row['key']))
        if row.get('deleted'):
            self.rows.pop(name, None)
        else:
            self.rows[name] = row
        self.changes.append(row)
        self.news.set()
        self.news = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                status, content = await self.answer(first, body)
                content.setdefault('ver', self.ver)
                content.setdefault('now_ms', int(time.monotonic() * 1000))
                await asyncio.sleep(0.004)
                payload = json.dumps(content).encode()
                writer.write(encode(f'HTTP/1.1 {status} Answer', {}, payload))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(
        self, first: str, body: bytes
    ) -> tuple[int, dict[str, object]]:
        """Return the status and the content of an answer."""
        _, target, _ = first.split(' ')
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        if url.path == '/api/rows-get':
            return 200, self.read(query)
        if url.path == '/api/rows-feed':
            return 200, await self.feed(query)
        if url.path == '/api/rows-tx':
            return self.transact(json.loads(body))
        return 404, {}

    def read(self, query: dict[str, str]) -> dict[str, object]:
        """Return the rows of a part of a table."""
        start, end = query.get('from', ''), query.get('target', '')
        limit = min(int(query.get('limit', '500')), 500)
        found = sorted(
            (
                row
                for (table, part, key), row in self.rows.items()
                if table == query['table']
                and part == query.get('part', '')
                and key >= start
                and (not end or key < end)
            ),
            key=lambda row: str(row['key']).encode(),
        )
        return {'rows': found[:limit], 'has_more': len(found) > limit}

    async def feed(self, query: dict[str, str]) -> dict[str, object]:
        """Return the changes after a version, as soon as there are any."""
        after = int(query['after'])
        wait_s = min(int(query.get('wait_ms', '0')), 30_000) / 1000
        end_s = time.monotonic() + wait_s
        while True:
            news = self.news
            rows = [
                row
                for row in self.changes
                if row['table'] == query['table'] and int(row['ver']) > after
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return {'rows': rows, 'ver': self.ver}
            try:
                await asyncio.wait_for(news.wait(), left_s)
            except TimeoutError:
                continue

    def transact(
        self, wanted: dict[str, list[dict[str, object]]]
    ) -> tuple[int, dict[str, object]]:
        """Apply all changes of a call, or none."""
        for expected in wanted.get('expected_rev') or ():
            row = self.rows.get(_name(expected))
            if (row['ver'] if row else 0) != expected['ver']:
                return 412, {'rows': [row] if row else []}
        self.ver += 1
        for row in wanted.get('puts') or ():
            self.change(dict(row, part=row.get('part', '')))
        for row in wanted.get('remove') or ():
            self.change(
                {
                    **dict(
                        zip(('table', 'part', 'key'), _name(row), strict=True)
                    ),
                    'deleted': True,
                }
            )
        return 200, {}


def _name(row: dict[str, object]) -> tuple[str, str, str]:
    return str(row['table']), str(row.get('part', '')), str(row['key'])
