"""Calls an ASGI application without a server, for tests."""

from __future__ import annotations

from dataclasses import dataclass, field

from starlette.types import ASGIApp, Message


@dataclass
class AsgiAnswer:
    """Answer of an ASGI application."""

    status: int = 0
    body: bytes = b''
    headers_by_name: dict[str, str] = field(default_factory=dict)

    async def receive(self, message: Message) -> None:
        """Add one message of the application to the answer."""
        if message['type'] == 'http.response.start':
            self.status = message['status']
            self.headers_by_name = {
                name.decode(): text.decode()
                for name, text in message['headers']
            }
        else:
            self.body += message.get('body', b'')


async def call_get(
    app: ASGIApp,
    path: str,
    headers_by_name: dict[str, str] | None = None,
) -> AsgiAnswer:
    """Return the answer of an application to a GET request."""
    answer = AsgiAnswer()
    headers = [
        (name.lower().encode(), text.encode())
        for name, text in (headers_by_name or {}).items()
    ]
    scope = {
        'type': 'http',
        'method': 'GET',
        'path': path,
        'raw_path': path.encode(),
        'query_string': b'',
        'headers': headers,
    }
    await app(scope, _receive_nothing, answer.receive)
    return answer


async def _receive_nothing() -> Message:
    return {'type': 'http.request', 'body': b'', 'more_body': False}
