"""Limits on the size, arrival time and total memory of request bodies."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from starlette.responses import Response
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from bergamotthread.errors import Step
from bergamotthread.process.settings import LimitSettings
from bergamotthread.request.refusal import (
    Ran,
    ReasonCode,
    Refusal,
    RefusedError,
    problem_json,
)

BUSY_RETRY_AFTER_MS = 1000

_MS_PER_S = 1000


class _DisconnectedError(Exception):
    """The caller disconnected before the end of its body."""


@dataclass
class BodyLimit:
    """Reads the whole body within the limits before the application runs.

    Parameters
    ----------
    app
        Application that receives the body in one message.
    refuse
        Adds a request id to a refusal, records it and returns it.
    held_bytes
        Bytes of the bodies of all requests that are being read or served.
    """

    app: ASGIApp
    limits: LimitSettings
    refuse: Callable[[Refusal], Refusal]
    held_bytes: int = 0

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            await self.app(scope, receive, send)
            return
        body = _Body(receive)
        with contextlib.ExitStack() as stack:
            stack.callback(self._release, body)
            await self._serve(body, scope, send)

    def _release(self, body: _Body) -> None:
        self.held_bytes -= len(body.received)

    async def _serve(self, body: _Body, scope: Scope, send: Send) -> None:
        try:
            await self._read(body, scope)
        except _DisconnectedError:
            return
        except RefusedError as error:
            response = _problem_response(self.refuse(error.refusal))
            await response(scope, body.receive, send)
        else:
            await self.app(scope, body.replay, send)

    async def _read(self, body: _Body, scope: Scope) -> None:
        self._check_size(_content_length(scope))
        try:
            async with asyncio.timeout(
                self.limits.body_timeout_ms / _MS_PER_S,
            ):
                await self._read_parts(body)
        except TimeoutError as error:
            raise RefusedError(self._late_body_refusal()) from error

    async def _read_parts(self, body: _Body) -> None:
        has_more = True
        while has_more:
            message = await body.receive()
            if message['type'] == 'http.disconnect':
                raise _DisconnectedError
            part = message.get('body', b'')
            self._check_size(len(body.received) + len(part))
            self._check_held(len(part))
            body.received += part
            self.held_bytes += len(part)
            has_more = message.get('more_body', False)

    def _check_size(self, size: int) -> None:
        limit = self.limits.body_bytes
        if size > limit:
            raise RefusedError(
                Refusal(
                    reason=ReasonCode.TOO_LARGE,
                    detail=f'body of {size} bytes, expected at most {limit}',
                    step=Step.ADMIT,
                    ran=Ran.NOT_RUN,
                    decided_by='settings/limits.body_bytes',
                    figures={'body_bytes': size, 'limit_bytes': limit},
                ),
            )

    def _check_held(self, size: int) -> None:
        limit = self.limits.held_body_bytes
        held = self.held_bytes + size
        if held > limit:
            raise RefusedError(
                Refusal(
                    reason=ReasonCode.OVERLOADED,
                    detail=f'bodies of {held} bytes are being read at once, '
                    f'expected at most {limit}',
                    step=Step.ADMIT,
                    ran=Ran.NOT_RUN,
                    decided_by='settings/limits.held_body_bytes',
                    retry_after_ms=BUSY_RETRY_AFTER_MS,
                    figures={'held_bytes': held, 'limit_bytes': limit},
                ),
            )

    def _late_body_refusal(self) -> Refusal:
        limit_ms = self.limits.body_timeout_ms
        return Refusal(
            reason=ReasonCode.DEADLINE,
            detail=f'body not complete after {limit_ms} ms',
            step=Step.ADMIT,
            ran=Ran.NOT_RUN,
            decided_by='settings/limits.body_timeout_ms',
            figures={'limit_ms': limit_ms},
        )


class _Body:
    """Body of one request, with the bytes received so far."""

    def __init__(self, receive: Receive) -> None:
        self.receive = receive
        self.received = bytearray()
        self._is_replayed = False

    async def replay(self) -> Message:
        """Return the whole body on the first call, then later messages."""
        if self._is_replayed:
            return await self.receive()
        self._is_replayed = True
        return {
            'type': 'http.request',
            'body': bytes(self.received),
            'more_body': False,
        }


def _content_length(scope: Scope) -> int:
    for name, length in scope['headers']:
        if name == b'content-length' and length.isdigit():
            return int(length)
    return 0


def _problem_response(refusal: Refusal) -> Response:
    return Response(
        problem_json(refusal),
        status_code=refusal.status,
        media_type='application/problem+json',
    )
