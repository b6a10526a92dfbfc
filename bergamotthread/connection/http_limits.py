"""HTTP server protocol that limits the size and arrival time of headers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from bergamotthread.clock import Clock
from bergamotthread.process.settings import LimitSettings
from bergamotthread.request.refusal import Ran, ReasonCode

if TYPE_CHECKING:
    from starlette.types import ASGIApp

HEADER_TOO_LARGE_STATUS = 431
MAX_DISCARDED_BYTES = 33_554_432

_HEADER_OVERHEAD_BYTES = 4


class HttpConfig(uvicorn.Config):
    """Server configuration that carries the limits for the protocol."""

    def __init__(
        self,
        app: ASGIApp,
        limits: LimitSettings,
        clock: Clock,
        **options: Any,
    ) -> None:
        super().__init__(app, http=LimitedHttpProtocol, **options)
        self.limits = limits
        self.clock = clock


class _HeaderProblem(msgspec.Struct, frozen=True):
    """Problem JSON for a request whose header is too large."""

    detail: str
    type: str = f'urn:bergamotthread:refusal:{ReasonCode.TOO_LARGE}'
    title: str = 'too large'
    status: int = HEADER_TOO_LARGE_STATUS
    ran: Ran = Ran.NOT_RUN


class LimitedHttpProtocol(HttpToolsProtocol):
    """Refuses large headers and closes connections whose headers are slow.

    At most one chunk of the event loop is read beyond the size limit, which
    bounds the memory of a connection. If a request is answered before the end
    of its body, the rest of the body is discarded, up to a limit, so that the
    answer reaches callers that read only after they have sent everything.
    """

    def __init__(self, config: HttpConfig, **options: Any) -> None:
        super().__init__(config, **options)
        self._limits = config.limits
        self._clock = config.clock
        self._is_reading_header = True
        self._is_refused = False
        self._received_bytes = 0
        self._header_bytes = 0
        self._discarded_bytes = 0
        self._timer: asyncio.Task[None] | None = None

    def connection_made(  # type: ignore[override]
        self,
        transport: asyncio.Transport,
    ) -> None:
        """Start the time limit for the first header."""
        super().connection_made(transport)
        self._start_timer(self._limits.header_timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the time limit."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, chunk: bytes) -> None:
        """Parse a chunk unless the request was refused."""
        if self._is_refused:
            return
        self._received_bytes += len(chunk)
        super().data_received(chunk)
        if not self._is_reading_header or self.transport.is_closing():
            return
        if self._received_bytes > self._limits.header_bytes:
            self._refuse()
        else:
            self._start_timer(self._limits.header_timeout_ms)

    def on_message_begin(self) -> None:
        """Start counting the header bytes of a request."""
        super().on_message_begin()
        self._is_reading_header = True
        self._received_bytes = 0
        self._header_bytes = 0
        self._discarded_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Count and process a part of the URL."""
        self._count_header_bytes(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Count and process one header field."""
        self._count_header_bytes(len(name) + len(text) + _HEADER_OVERHEAD_BYTES)
        super().on_header(name, text)

    def on_headers_complete(self) -> None:
        """Start the request unless its header is too large."""
        self._is_reading_header = False
        self._stop_timer()
        if not self._is_refused:
            super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Process a part of the body; discard it after the answer."""
        if self._is_refused:
            return
        if self.cycle.response_complete:
            self._discard(len(body))
        else:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """End the body unless the request is refused."""
        self._stop_timer()
        if not self._is_refused:
            super().on_message_complete()

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._limits.header_bytes:
            self._refuse()

    def _discard(self, size: int) -> None:
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.transport.close()
        else:
            self._start_timer(self._limits.body_timeout_ms)

    def _refuse(self) -> None:
        if self._is_refused:
            return
        self._is_refused = True
        problem = _HeaderProblem(
            f'expected a header of at most {self._limits.header_bytes} bytes',
        )
        encoded = msgspec.json.encode(problem)
        head = (
            f'HTTP/1.1 {HEADER_TOO_LARGE_STATUS} Header Fields Too Large\r\n'
            'content-type: application/problem+json\r\n'
            f'content-length: {len(encoded)}\r\n'
            'connection: close\r\n\r\n'
        )
        self.transport.write(head.encode() + encoded)
        self.transport.close()

    def _start_timer(self, limit_ms: float) -> None:
        if self._timer is None:
            self._timer = self.loop.create_task(self._close_after(limit_ms))

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    async def _close_after(self, limit_ms: float) -> None:
        await self._clock.sleep_ms(limit_ms)
        self.transport.close()
