"""HTTP server protocol with limits on the size and time of headers."""

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
    """Configuration of the HTTP server with the limits of its protocol."""

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
    """Problem JSON for headers that are too large to be read."""

    detail: str
    type: str = f'urn:bergamotthread:refusal:{ReasonCode.TOO_LARGE}'
    title: str = 'too large'
    status: int = HEADER_TOO_LARGE_STATUS
    ran: Ran = Ran.NOT_RUN


class LimitedHttpProtocol(HttpToolsProtocol):
    """Refuses large headers and closes connections that are slow with them.

    `data_received` reads at most one chunk of the event loop beyond the
    limit, so that the memory of a connection is bounded. What a caller still
    sends of a body that was already answered is discarded, up to a limit, so
    that the answer reaches callers that read only after they have sent all.
    """

    def __init__(self, config: HttpConfig, **options: Any) -> None:
        super().__init__(config, **options)
        self._limits = config.limits
        self._clock = config.clock
        self._reads_header = True
        self._is_refused = False
        self._raw_bytes = 0
        self._header_bytes = 0
        self._discarded_bytes = 0
        self._timer: asyncio.Task[None] | None = None

    def connection_made(  # type: ignore[override]
        self,
        transport: asyncio.Transport,
    ) -> None:
        """Start to wait for the first header."""
        super().connection_made(transport)
        self._start_timer(self._limits.header_timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop to wait."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, chunk: bytes) -> None:
        """Parse a chunk unless the header has grown too large."""
        if self._is_refused:
            return
        self._raw_bytes += len(chunk)
        super().data_received(chunk)
        if not self._reads_header or self.transport.is_closing():
            return
        if self._raw_bytes > self._limits.header_bytes:
            self._refuse()
        else:
            self._start_timer(self._limits.header_timeout_ms)

    def on_message_begin(self) -> None:
        """Start to count the header of a request."""
        super().on_message_begin()
        self._reads_header = True
        self._raw_bytes = 0
        self._header_bytes = 0
        self._discarded_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Count and take a part of the URL."""
        self._count(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Count and take one header field."""
        self._count(len(name) + len(text) + _HEADER_OVERHEAD_BYTES)
        super().on_header(name, text)

    def on_headers_complete(self) -> None:
        """Hand the request on unless its header is too large."""
        self._reads_header = False
        self._stop_timer()
        if not self._is_refused:
            super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body unless the request is answered."""
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

    def _count(self, size: int) -> None:
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
            self._timer = self.loop.create_task(self._close_late(limit_ms))

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    async def _close_late(self, limit_ms: float) -> None:
        await self._clock.sleep_ms(limit_ms)
        self.transport.close()
