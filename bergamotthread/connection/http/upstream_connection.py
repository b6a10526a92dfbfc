"""Client side of HTTP/1.1: a connection to an upstream.

One request is sent at a time. Bytes after the complete answer make the
connection unusable for another request. An answer that echoes the identifier
of another request is skipped, or breaks the connection if only the close marks
its end. A second copy of an answer may arrive where the next one is expected,
so no request is sent twice on one connection, and an answer without identifier
may be a copy where one was received before.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import cast

import httptools

from bergamotthread.clock import Clock
from bergamotthread.connection.http.messages import (
    AnswerEnd,
    AnswerHead,
    AnswerItem,
    AnswerLost,
    AnswerPart,
    Framing,
    Header,
)

_MS_PER_S = 1000
_TRANSFER_ENCODING = b'transfer-encoding'
_CHUNKED = b'chunked'
# Bytes of an answer that are buffered before the socket is no longer read.
BUFFERED_BYTES_MAX = 65_536
# Bytes of an answer beside its body (heads, framing, other answers), added to
# half of those of its body. Upstreams may send other bytes, and tiny chunks,
# without end.
OVERHEAD_BYTES_MAX = 65_536
# Last requests of a connection that are not sent on it again. A copy of an
# earlier answer has arrived by then.
SENT_IDS_KEPT = 16
# Bytes that are read and parsed in one turn of the event loop, so that an
# answer in tiny pieces does not hold up the other connections.
READ_BYTES_MAX = 16_384
# Shared by all connections: what is read is parsed before the next read.
_READ_BUFFER = memoryview(bytearray(READ_BYTES_MAX))


class UpstreamConnection(asyncio.Protocol, asyncio.BufferedProtocol):
    """Sends requests to one address and queues the items of their answers.

    Parts of a body that arrive before they are read become one item, so that
    the work and the memory do not depend on how the upstream cuts them.

    Parameters
    ----------
    echo_header
        Field in lower case in which an answer repeats its request's
        identifier.
    """

    def __init__(self, address: str, clock: Clock, echo_header: bytes) -> None:
        self.address = address
        self.is_open = False
        self.idle_timeout_ms: float | None = None
        self.opening_ms: float = 0
        self.last_heard_ms = clock.now_ms()
        self._sent_ids: deque[bytes] = deque(maxlen=SENT_IDS_KEPT)
        self._has_sent_unnamed = False
        self._clock = clock
        self._echo_header = echo_header
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._reset()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Mark the connection as open."""
        self._transport = cast(asyncio.Transport, transport)
        self.is_open = True

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the event loop reads next."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read into the buffer."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, received: bytes) -> None:
        """Parse a part of an answer."""
        self.last_heard_ms = self._clock.now_ms()
        if not self._is_waiting:
            self._make_unusable()
            return
        self._received_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self._report_lost('the upstream changed the protocol')
        except httptools.HttpParserError as error:
            self._report_lost(f'bytes that are no answer: {error}')
        self._check_overhead()

    def eof_received(self) -> bool:
        """Complete an answer whose end is marked by the close."""
        ends_here = self._has_head and self._framing is Framing.CLOSE
        if self._is_waiting and ends_here and not self._is_skipping:
            self._complete_answer()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss of an incomplete answer to its reader."""
        self.is_open = False
        if self._is_waiting:
            self._report_lost(
                f'connection ended: {exc or "closed by the upstream"}'
            )

    # callbacks of the parser

    def on_message_begin(self) -> None:
        """Start an answer; without a request, make the connection unusable."""
        self._headers: list[Header] = []
        if not self._is_waiting:
            self._is_unusable = True

    def on_header(self, name: bytes, payload: bytes) -> None:
        """Append one header field."""
        self._headers.append((name.lower(), payload))

    def on_headers_complete(self) -> None:
        """Queue the head unless the answer belongs to another request."""
        status = self._parser.get_status_code()
        if not self._is_waiting or status < 200:
            return
        headers = dict(self._headers)
        echoed = headers.get(self._echo_header)
        if echoed is None and self._request_id and self._has_sent_unnamed:
            self._report_lost('an answer that names no request')
            return
        self._is_skipping = echoed not in {None, self._request_id}
        self._framing = _framing(headers)
        if self._is_skipping:
            if self._framing is Framing.CLOSE:
                self._report_lost('an answer to another request')
            return
        coding = headers.get(_TRANSFER_ENCODING, _CHUNKED).strip().lower()
        if coding != _CHUNKED:
            self._report_lost(
                f'transfer coding {coding!r}, expected {_CHUNKED!r}'
            )
            return
        self._read_keep_alive(headers)
        self._has_head = True
        self._queue_item(
            AnswerHead(status, tuple(self._headers), self._framing)
        )
        if self._has_no_body:
            self._complete_answer()

    def on_body(self, payload: bytes) -> None:
        """Queue a part of the body."""
        if not self._is_waiting or self._is_skipping or not self._has_head:
            return
        self._body_bytes += len(payload)
        self._arrived += payload
        if len(self._arrived) > BUFFERED_BYTES_MAX:
            self._pause_reading()
        self._wake()

    def on_message_complete(self) -> None:
        """Queue the end of the answer."""
        if self._is_skipping:
            self._is_skipping = False
            return
        if self._is_waiting and self._has_head:
            self._complete_answer()

    # for attempts

    def send(self, encoded: bytes, request_id: bytes) -> None:
        """Send a complete request and expect its answer.

        Parameters
        ----------
        request_id
            Identifier that the answer repeats; empty if the request has none.

        Raises
        ------
        ConnectionError
            If the connection is closed.
        """
        if self._transport is None or not self.is_open:
            raise ConnectionError(f'connection to {self.address} is closed')
        self._reset()
        self._is_waiting = True
        self._has_no_body = encoded.startswith(b'HEAD ')
        self._request_id = request_id
        if request_id:
            self._sent_ids.append(request_id)
        else:
            self._has_sent_unnamed = True
        self._transport.write(encoded)

    def has_sent(self, request_id: bytes) -> bool:
        """Return whether one of the last requests had this identifier."""
        return request_id in self._sent_ids

    async def receive(self, timeout_ms: float) -> AnswerItem | None:
        """Return the next item of the answer, or None after `timeout_ms`."""
        if not self._has_item:
            await self._wait(timeout_ms)
        return self._next_item() if self._has_item else None

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        return (
            self.is_open
            and not self._is_waiting
            and not self._is_unusable
            and not self._will_close
        )

    @property
    def is_receiving(self) -> bool:
        """Return whether more of the answer is still to arrive."""
        return self._is_waiting

    @property
    def is_writing(self) -> bool:
        """Return whether a part of the request is still buffered here."""
        return self.unsent_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of the request that the upstream hasn't taken."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def close(self) -> None:
        """Abort the connection; the upstream sees that the caller has left."""
        self._is_waiting = False
        if self._transport is not None:
            self._transport.abort()

    # private

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._pending_items: deque[AnswerItem] = deque()
        self._headers = []
        self._request_id = b''
        self._framing = Framing.LENGTH
        self._arrived = bytearray()
        self._is_full = False
        self._received_bytes = 0
        self._body_bytes = 0
        self._is_waiting = False
        self._is_skipping = False
        self._is_unusable = False
        self._has_head = False
        self._will_close = False
        self._has_no_body = False

    async def _wait(self, timeout_ms: float) -> None:
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = loop.call_later(max(timeout_ms, 0) / _MS_PER_S, self._wake)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None

    @property
    def _has_item(self) -> bool:
        return bool(self._pending_items or self._arrived)

    def _next_item(self) -> AnswerItem:
        if not self._pending_items:
            self._queue_arrived()
        answer_item = self._pending_items.popleft()
        if not self._arrived:
            self._resume_reading()
        return answer_item

    def _queue_arrived(self) -> None:
        """Queue what has arrived of the body as one part."""
        if self._arrived:
            self._pending_items.append(AnswerPart(bytes(self._arrived)))
            self._arrived.clear()

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._is_full:
            self._is_full = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_full and self.is_open and self._transport is not None:
            self._is_full = False
            self._transport.resume_reading()

    def _queue_item(self, answer_item: AnswerItem) -> None:
        self._queue_arrived()
        self._pending_items.append(answer_item)
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _complete_answer(self) -> None:
        self._is_waiting = False
        self._will_close = (
            self._framing is Framing.CLOSE
            or not self._parser.should_keep_alive()
        )
        self._queue_item(AnswerEnd())

    def _report_lost(self, reason: str) -> None:
        self._is_waiting = False
        self._make_unusable()
        self._queue_item(AnswerLost(reason))

    def _check_overhead(self) -> None:
        """Break the connection if too little of what arrives is an answer."""
        overhead = self._received_bytes - self._body_bytes
        limit = OVERHEAD_BYTES_MAX + self._body_bytes // 2
        if self._is_waiting and overhead > limit:
            self._report_lost(
                f'bytes that are no answer: {overhead} bytes beside the body, '
                f'expected at most {limit}'
            )

    def _make_unusable(self) -> None:
        self._is_unusable = True
        if self._transport is not None:
            self._transport.abort()

    def _read_keep_alive(self, headers: dict[bytes, bytes]) -> None:
        for part in headers.get(b'keep-alive', b'').split(b','):
            name, _, seconds = part.strip().lower().partition(b'=')
            if name == b'timeout' and seconds.isdigit():
                self.idle_timeout_ms = int(seconds) * _MS_PER_S


def _framing(headers: dict[bytes, bytes]) -> Framing:
    if _CHUNKED in headers.get(_TRANSFER_ENCODING, b'').lower():
        return Framing.CHUNKED
    if b'content-length' in headers:
        return Framing.LENGTH
    return Framing.CLOSE
