"""Stand-in of a runner, as a process of its own.

Usage: ``python3 runner.py ADDRESS INSTANCE JSON``. It does what PROTOCOL.md
says of runners: slots and a queue, one request at a time on a connection,
`Bergamotthread-Expect-Instance`, load reports, receipts, echoed ids. The
faults that it can play are fields of `Faults`. It writes a JSON line for each
event of a run.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
from dataclasses import dataclass, field
from urllib.parse import urlsplit

from wire import Headers, encode, read_body, read_head

REQUEST_ID = 'bergamotthread-request-id'
SEAL = 'bergamotthread-response-seal'
NOT_RUN = 'bergamotthread-not-executed'


@dataclass
class Faults:
    """What the runner does wrong; nothing by default.

    Parameters
    ----------
    spoiled_stream
        Number of the stream (from 1) whose answer is an event without an end:
        after the head, `spoiled_bytes` bytes in pieces of `piece_bytes`.
    extra_share
        Part of the plain answers of which a second copy arrives late: where
        the next response on the connection is expected.
    crash_mark
        A stream whose path holds it ends this process `crash_ms` after the
        stream's first event.
    falls_silent
        Whether it then only stops (SIGSTOP to itself), in place of an end.
    """

    spoiled_stream: int = 0
    spoiled_bytes: int = 1_000_000
    piece_bytes: int = 45
    extra_share: float = 0
    crash_mark: str = ''
    crash_ms: float = 1000
    falls_silent: bool = False


@dataclass
class Options:
    """Speed and size of the runner.

    Parameters
    ----------
    unframed
        Whether plain answers have no length and end with their connection.
    pieces
        Parts in which a plain answer is written, spread over its work.
    copies
        Whether it has room for copies of other runners' runs. What it runs
        from a copy reads no prompt.
    """

    slots: int = 64
    queue: int = 64
    work_ms: float = 30
    body_bytes: int = 800
    prefill_ms: float = 300
    event_ms: float = 40
    events: int = 60
    unframed: bool = False
    pieces: int = 1
    copies: bool = False
    seed: int = 0
    faults: Faults = field(default_factory=Faults)


def plain_body(request_id: str, size: int) -> bytes:
    """Return the whole answer to a plain request."""
    text = f'certificate of {request_id};'.encode()
    return (text * (size // len(text) + 1))[: size - 4] + b'END.'


def event(request_id: str, number: int) -> bytes:
    """Return an event of a stream."""
    return f'id: {number}\ndata: token {number} of {request_id}\n\n'.encode()


class Runner:
    """Serves requests of entries."""

    def __init__(self, instance: str, options: Options) -> None:
        self.instance = instance
        self.options = options
        self.born = int(time.time() * 1000)
        self.rng = random.Random(options.seed)
        self.running = 0
        self.waiting = 0
        self.streams = 0
        self.free = asyncio.Semaphore(options.slots)

    def tell(self, what: str, request_id: str, **more: object) -> None:
        """Write what happened."""
        line = {
            'at': time.monotonic(),
            'runner': self.instance,
            'what': what,
            'id': request_id,
            **more,
        }
        sys.stdout.write(json.dumps(line) + '\n')
        sys.stdout.flush()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, a request at a time."""
        late_copy = b''
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if late_copy:
                    # The extra response arrives where the next is expected.
                    self.tell('extra', headers.get(REQUEST_ID, ''))
                    writer.write(late_copy)
                    await writer.drain()
                late_copy = await self.answer(
                    first, headers, body, reader, writer
                )
                if writer.is_closing():
                    return
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(
        self,
        first: str,
        headers: Headers,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        """Answer one request; return the copy that is to arrive late."""
        _, target, _ = first.split(' ')
        path = urlsplit(target).path
        request_id = headers.get(REQUEST_ID, '')
        if path.startswith('/api/') or path == '/health':
            writer.write(self.control(path))
            await writer.drain()
            return b''
        expected = headers.get('bergamotthread-expect-instance')
        if expected not in (None, self.instance):
            return await self.reject(writer, 421, request_id)
        if not request_id:
            return await self.reject(writer, 400, request_id)
        if 'kv-from' in headers and not self.options.copies:
            # No room for copies here, so none exists.
            return await self.reject(writer, 503, request_id)
        if self.waiting >= self.options.queue and self.free.locked():
            return await self.reject(writer, 503, request_id)
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        gone = asyncio.ensure_future(_end_of(reader))
        is_stream = 'bergamotthread-token-counts' in headers
        work = self.stream if is_stream else self.plain
        run = asyncio.ensure_future(work(path, headers, request_id, writer))
        self.tell('run', request_id, target=target, length=len(body))
        try:
            # The request is dropped when its connection closes.
            await asyncio.wait((run, gone), return_when='FIRST_COMPLETED')
            if run.done():
                return run.result()
            run.cancel()
            self.tell('dropped', request_id)
            raise ConnectionError
        finally:
            gone.cancel()
            self.running -= 1
            self.free.release()

    def control(self, path: str) -> bytes:
        """Return the answer to a call of the system itself."""
        if path == '/health':
            return encode(
                'HTTP/1.1 200 OK',
                {'Bergamotthread-Instance-Id': self.instance},
            )
        if path == '/api/report':
            report = {
                'stage': 'both',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False,
                'seq': 0,
                'queue_depth': self.waiting,
                'in_flight': self.running,
                'kv_used': 8200 * self.running,
                'kv_total': 88_000,
                'handles': 0,
                'pinned': 0,
                'held': 0,
                'state': 'ready',
                'runs': [],
                'born': self.born,
            }
            return self.json(200, report)
        if path == '/api/kv-list':
            return self.json(200, {'epoch': 1, 'next': 1, 'held': []})
        if path.startswith('/api/kv-handle'):
            return self.json(200, {})
        if path == '/api/kv-move':
            return self.json(503, {})
        return self.json(404, {})

    def json(self, status: int, content: object) -> bytes:
        """Return an answer with a JSON body."""
        return encode(
            f'HTTP/1.1 {status} Answer',
            {'Content-Type': 'application/json'},
            json.dumps(content).encode(),
        )

    async def reject(
        self, writer: asyncio.StreamWriter, status: int, request_id: str
    ) -> bytes:
        """Say that a request is not run."""
        self.tell('rejected', request_id, status=status)
        payload = encode(
            f'HTTP/1.1 {status} Rejected',
            {REQUEST_ID: request_id, NOT_RUN: '1'},
        )
        writer.write(payload)
        await writer.drain()
        return self.copy_late(payload)

    def copy_late(self, payload: bytes) -> bytes:
        """Return the copy of an answer that is to arrive late, if any."""
        is_copied = self.rng.random() < self.options.faults.extra_share
        return payload if is_copied else b''

    async def plain(
        self,
        path: str,
        headers: Headers,
        request_id: str,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        """Run a plain request."""
        options = self.options
        body = plain_body(request_id, options.body_bytes)
        fields = {
            REQUEST_ID: request_id,
            SEAL: f'{self.instance}.{request_id}',
        }
        pause_s = options.work_ms / 1000 / options.pieces
        if not options.unframed:
            await asyncio.sleep(options.work_ms / 1000)
            payload = encode('HTTP/1.1 200 OK', fields, body)
            writer.write(payload)
            await writer.drain()
            self.tell('done', request_id)
            return self.copy_late(payload)
        fields['Connection'] = 'close'
        writer.write(encode('HTTP/1.1 200 OK', fields, None))
        size = -(-len(body) // options.pieces)
        for start in range(0, len(body), size):
            await asyncio.sleep(pause_s)
            writer.write(body[start : start + size])
            await writer.drain()
        self.tell('done', request_id)
        writer.close()
        return b''

    async def stream(
        self,
        path: str,
        headers: Headers,
        request_id: str,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        """Run a stream."""
        options = self.options
        faults = options.faults
        self.streams += 1
        is_spoiled = self.streams == faults.spoiled_stream
        start = int(headers.get('last-event-id', '0'))
        if 'kv-from' not in headers:
            await asyncio.sleep(options.prefill_ms / 1000)
        fields = {
            REQUEST_ID: request_id,
            SEAL: f'{self.instance}.{request_id}',
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        writer.write(encode('HTTP/1.1 200 OK', fields, None))
        if is_spoiled:
            await self.spoil(request_id, writer)
        deadly = faults.crash_mark and faults.crash_mark in path
        if deadly:
            self.tell('will-crash', request_id)
            loop = asyncio.get_running_loop()
            loop.call_later(faults.crash_ms / 1000, self.crash)
        for number in range(start + 1, options.events + 1):
            self.chunk(writer, event(request_id, number))
            await writer.drain()
            await asyncio.sleep(options.event_ms / 1000)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.tell('done', request_id)
        return b''

    def crash(self) -> None:
        """End, or fall silent until whoever started this process ends it."""
        if self.options.faults.falls_silent:
            os.kill(os.getpid(), signal.SIGSTOP)
        else:
            os._exit(1)

    async def spoil(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Send bytes that are no event, in pieces like those of events."""
        self.tell('spoiled', request_id)
        size = self.options.faults.piece_bytes
        for _ in range(self.options.faults.spoiled_bytes // size):
            self.chunk(writer, b'x' * size)
            await writer.drain()

    def chunk(self, writer: asyncio.StreamWriter, payload: bytes) -> None:
        """Write a chunk."""
        writer.write(b'%x\r\n%b\r\n' % (len(payload), payload))


async def _end_of(reader: asyncio.StreamReader) -> None:
    """Wait until the other side has closed or reset a connection."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


async def main() -> None:
    """Serve until killed."""
    address, instance, encoded = sys.argv[1:]
    given = json.loads(encoded)
    faults = Faults(**given.pop('faults', {}))
    runner = Runner(instance, Options(**given, faults=faults))
    host, _, port = address.rpartition(':')
    await asyncio.start_server(runner.serve, host, int(port))
    runner.tell('listening', '')
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main())
