"""ASGI response that streams events and stops if the caller disconnects."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine

from starlette.responses import Response
from starlette.types import Receive, Scope, Send


class EventStreamResponse(Response):
    """Streams server-sent events.

    Parameters
    ----------
    events
        Encoded events.
    on_close
        Called once, when the stream has ended or the caller has disconnected.
    """

    media_type = 'text/event-stream'

    def __init__(
        self,
        events: AsyncIterator[bytes],
        on_close: Callable[[], None],
        headers: dict[str, str],
    ) -> None:
        super().__init__(headers={'cache-control': 'no-store', **headers})
        self.raw_headers = [
            (name, text)
            for name, text in self.raw_headers
            if name != b'content-length'
        ]
        self._events = events
        self._on_close = on_close

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Send the events until they end or the caller disconnects."""
        try:
            await first_completed(
                self._send_all(send),
                wait_for_disconnect(receive),
            )
        finally:
            self._on_close()

    async def _send_all(self, send: Send) -> None:
        await send(
            {
                'type': 'http.response.start',
                'status': self.status_code,
                'headers': self.raw_headers,
            },
        )
        async for event in self._events:
            await send(
                {
                    'type': 'http.response.body',
                    'body': event,
                    'more_body': True,
                },
            )
        await send({'type': 'http.response.body', 'body': b''})


async def first_completed(*coroutines: Coroutine[None, None, None]) -> None:
    """Run coroutines until one completes, then cancel the others.

    An exception raised by a completed coroutine is propagated.
    """
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    try:
        done, _ = await asyncio.wait(
            tasks,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        for task in tasks:
            task.cancel()
    for task in done:
        task.result()


async def wait_for_disconnect(receive: Receive) -> None:
    """Wait until the caller has closed the connection."""
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return
