"""Caller process: reads event streams over raw sockets, measures latencies.

Run by `benchmarks.data_path`. It prints `ready` when all streams have received
tokens, reads a window `start_s end_s` (monotonic clock) from standard input,
and prints the figures of that window.
"""

from __future__ import annotations

import asyncio
import re
import sys
import time
from dataclasses import dataclass, field
from functools import partial

import click
import msgspec

from benchmarks.data_path_load import STAMP_MODULUS_US, stamp_us

UNIT_US = 10
OPEN_TIMEOUT_S = 30
OPENED_AT_ONCE = 8
RETRY_S = 0.1
_TEXT = re.compile(rb'"text":"([0-9 ]*)"')
_REFUSED = b'HTTP/1.1 503'


class CallerFigures(msgspec.Struct):
    """Figures of all callers of this process in the window.

    `latencies` counts, in units of 10 microseconds, the time from a token's
    step at the engine to its arrival. `added` counts by how much the time
    between two tokens at the caller exceeds that at the engine, 0 if it is
    shorter. `disorder` counts tokens whose time stamp is not later than that
    of the previous token.
    """

    tokens: int = 0
    events: int = 0
    received_bytes: int = 0
    disorder: int = 0
    latencies: dict[int, int] = msgspec.field(default_factory=dict)
    added: dict[int, int] = msgspec.field(default_factory=dict)


@dataclass
class Measures:
    """Figures, and the window in which they are counted."""

    start_s: float = float('inf')
    end_s: float = float('inf')
    figures: CallerFigures = field(default_factory=CallerFigures)


class StreamReader(asyncio.Protocol):
    """One caller: sends a request and measures the events of the response."""

    def __init__(self, request: bytes, measures: Measures) -> None:
        loop = asyncio.get_running_loop()
        self.opened: asyncio.Future[bool] = loop.create_future()
        self._request = request
        self._measures = measures
        self._pending = b''
        self._stamp_us = 0
        self._latency_us = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        assert isinstance(transport, asyncio.Transport)
        transport.write(self._request)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the opening of a stream that has received no token."""
        if not self.opened.done():
            self.opened.set_exception(ConnectionError(repr(self._pending)))

    def data_received(self, chunk: bytes) -> None:
        """Measure all complete events received so far."""
        now_us = stamp_us()
        if chunk.startswith(_REFUSED) and not self.opened.done():
            self.opened.set_result(False)
        measures = self._measures
        figures = measures.figures
        is_counted = measures.start_s <= time.monotonic() < measures.end_s
        if is_counted:
            figures.received_bytes += len(chunk)
        events = (self._pending + chunk).split(b'\n\n')
        self._pending = events.pop()
        for event in events:
            match = _TEXT.search(event)
            if match is not None:
                self._take(match[1].split(), now_us, counts=is_counted)

    def _take(
        self,
        tokens: list[bytes],
        now_us: int,
        *,
        counts: bool,
    ) -> None:
        if not self.opened.done():
            self.opened.set_result(True)
        if counts:
            self._measures.figures.events += 1
        for token in tokens:
            self._take_token(int(token), now_us, counts=counts)

    def _take_token(self, stamp: int, now_us: int, *, counts: bool) -> None:
        latency_us = (now_us - stamp) % STAMP_MODULUS_US
        if counts:
            measures = self._measures.figures
            measures.tokens += 1
            later_us = (stamp - self._stamp_us) % STAMP_MODULUS_US
            measures.disorder += not 0 < later_us < STAMP_MODULUS_US // 2
            _count(measures.latencies, latency_us // UNIT_US)
            added_us = latency_us - self._latency_us
            _count(measures.added, max(0, added_us // UNIT_US))
        self._stamp_us = stamp
        self._latency_us = latency_us


def _count(counts: dict[int, int], unit: int) -> None:
    counts[unit] = counts.get(unit, 0) + 1


def _request(index: int, model: str, credential: str) -> bytes:
    body = msgspec.json.encode(
        {
            'model': model,
            'prompt': f'stream {index} of the benchmark',
            'max_tokens': 131_072,
            'stream': True,
        },
    )
    head = (
        'POST /v1/completions HTTP/1.1\r\nhost: entry\r\n'
        f'authorization: Bearer {credential}\r\n'
        f'content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def _open(
    port: int,
    request: bytes,
    measures: Measures,
) -> asyncio.Transport:
    """Open a stream; retry after a refusal, as callers do."""
    loop = asyncio.get_running_loop()
    while True:
        transport, reader = await loop.create_connection(
            partial(StreamReader, request, measures),
            '127.0.0.1',
            port,
        )
        async with asyncio.timeout(OPEN_TIMEOUT_S):
            if await reader.opened:
                return transport
        transport.abort()
        await asyncio.sleep(RETRY_S)


async def _run(port: int, streams: int, model: str, credential: str) -> None:
    measures = Measures()
    transports: list[asyncio.Transport] = []
    for start in range(0, streams, OPENED_AT_ONCE):
        indices = range(start, min(streams, start + OPENED_AT_ONCE))
        requests = [_request(index, model, credential) for index in indices]
        transports += await asyncio.gather(
            *(_open(port, request, measures) for request in requests),
        )
    print('ready', flush=True)
    start_text, _, end_text = sys.stdin.readline().partition(' ')
    measures.start_s = float(start_text)
    measures.end_s = float(end_text)
    await asyncio.sleep(measures.end_s - time.monotonic() + 0.05)
    figures = msgspec.json.encode(measures.figures)
    print(figures.decode(), flush=True)
    for transport in transports:
        transport.abort()


@click.command()
@click.option('--port', required=True, type=int)
@click.option('--streams', required=True, type=int)
@click.option('--model', required=True)
@click.option('--credential', required=True)
def main(port: int, streams: int, model: str, credential: str) -> None:
    """Read streams until the window has ended."""
    asyncio.run(_run(port, streams, model, credential))


if __name__ == '__main__':
    main()
