"""A plain service that counts how often each idempotency key ran.

Faults are set by `POST /control/faults`; `GET /counts` answers the counts.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, field

import click
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from bergamotthread.clock import Clock
from bergamotthread.wire.messages import FENCE_HEADER, KEY_HEADER
from standins.serving import serve

_CONFLICT = 409
_EXIT_STATUS = 1


@dataclass
class ServiceFaults:
    """Faults in force; numbers count the next calls that they strike.

    Parameters
    ----------
    delay_before_ms, delay_after_ms
        Time that each call takes before and after it runs.
    dropped_answers
        Calls that run, after which the connection is cut with no answer.
    deaths_before, deaths_after
        Calls before or after whose run the process ends.
    """

    delay_before_ms: float = 0
    delay_after_ms: float = 0
    dropped_answers: int = 0
    deaths_before: int = 0
    deaths_after: int = 0


@dataclass
class PlainService:
    """State of the service: runs per key and the highest fencing tokens."""

    clock: Clock
    checks_fencing: bool = False
    faults: ServiceFaults = field(default_factory=ServiceFaults)
    runs_by_key: dict[str, int] = field(default_factory=dict)
    fence_by_key: dict[str, int] = field(default_factory=dict)

    def admits(self, key: str, fence: int) -> bool:
        """Return whether the fencing token is not older than one seen."""
        if not self.checks_fencing:
            return True
        if fence < self.fence_by_key.get(key, 0):
            return False
        self.fence_by_key[key] = fence
        return True

    async def run(self, key: str, fence: int) -> bool:
        """Count one run of `key`, unless its fencing token is too old."""
        await self.clock.sleep_ms(self.faults.delay_before_ms)
        if not self.admits(key, fence):
            return False
        self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        await self.clock.sleep_ms(self.faults.delay_after_ms)
        return True

    def strikes(self, fault: str) -> bool:
        """Return whether a counted fault strikes this call."""
        left = getattr(self.faults, fault)
        if left > 0:
            setattr(self.faults, fault, left - 1)
        return bool(left > 0)


class _DroppedAnswer(Response):
    """Starts an answer that promises more bytes than it sends."""

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        headers = [(b'content-length', b'1000')]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers},
        )
        raise ConnectionAbortedError('answer dropped by a control call')


def _json(value: object, status: int = 200) -> Response:
    body = msgspec.json.encode(value)
    return Response(body, status, media_type='application/json')


class ServiceEndpoints:
    """Handlers of the service's calls and of the control calls."""

    def __init__(self, service: PlainService) -> None:
        self._service = service

    async def call(self, request: Request) -> Response:
        """Run a call once for its key and answer how often the key ran."""
        service = self._service
        await request.body()
        if service.strikes('deaths_before'):
            os._exit(_EXIT_STATUS)
        key = request.headers.get(KEY_HEADER, '')
        fence = int(request.headers.get(FENCE_HEADER, '0'))
        if not await service.run(key, fence):
            return _json({'error': 'old fencing token'}, _CONFLICT)
        if service.strikes('deaths_after'):
            os._exit(_EXIT_STATUS)
        if service.strikes('dropped_answers'):
            return _DroppedAnswer()
        return _json({'key': key, 'runs': service.runs_by_key[key]})

    async def counts(self, request: Request) -> Response:
        """Answer the number of runs by key."""
        return _json(self._service.runs_by_key)

    async def set_faults(self, request: Request) -> Response:
        """Replace the faults in force by the JSON in the body."""
        self._service.faults = msgspec.json.decode(
            await request.body(),
            type=ServiceFaults,
        )
        return _json(self._service.faults)

    async def set_fencing(self, request: Request) -> Response:
        """Honour fencing tokens or not, by a JSON boolean in the body."""
        self._service.checks_fencing = msgspec.json.decode(
            await request.body(),
            type=bool,
        )
        return _json(self._service.checks_fencing)


def create_app(service: PlainService) -> Starlette:
    """Return an application that serves `service` on every other path."""
    at = ServiceEndpoints(service)
    methods = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']
    return Starlette(
        routes=[
            Route('/counts', at.counts, methods=['GET']),
            Route('/control/faults', at.set_faults, methods=['POST']),
            Route('/control/fencing', at.set_fencing, methods=['POST']),
            Route('/{path:path}', at.call, methods=methods),
        ],
    )


@click.command()
@click.option('--listen', default='127.0.0.1:7200', show_default=True)
@click.option('--checks-fencing', is_flag=True)
def main(listen: str, checks_fencing: bool) -> None:
    """Serve a plain service that counts the runs of each key."""
    service = PlainService(Clock.from_system(), checks_fencing)
    serve(create_app(service), listen)


if __name__ == '__main__':
    main()
