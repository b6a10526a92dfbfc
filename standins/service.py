"""A plain service that counts the runs of each idempotency key.

`POST /control/faults` sets faults; `GET /counts` returns the counts.
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
from bergamotthread.wire.messages import (
    FENCING_TOKEN_HEADER,
    IDEMPOTENCY_KEY_HEADER,
)
from standins.serving import serve

_CONFLICT = 409
_EXIT_STATUS = 1


@dataclass
class ServiceFaults:
    """Faults in force; counts are of the coming calls that a fault affects.

    Parameters
    ----------
    delay_before_ms, delay_after_ms
        Delay of each call before and after its run.
    dropped_answers
        Number of calls that run but whose connection is closed before the
        answer is complete.
    deaths_before, deaths_after
        Number of calls before or after whose run the process exits.
    """

    delay_before_ms: float = 0
    delay_after_ms: float = 0
    dropped_answers: int = 0
    deaths_before: int = 0
    deaths_after: int = 0


@dataclass
class PlainService:
    """State of the service: number of runs and newest fencing token per key."""

    clock: Clock
    checks_fencing: bool = False
    faults: ServiceFaults = field(default_factory=ServiceFaults)
    runs_by_key: dict[str, int] = field(default_factory=dict)
    fence_by_key: dict[str, int] = field(default_factory=dict)

    def admits(self, key: str, fence: int) -> bool:
        """Return whether `fence` may run; remember it if tokens are checked.

        A fencing token older than one seen for the key may not run.
        """
        if not self.checks_fencing:
            return True
        if fence < self.fence_by_key.get(key, 0):
            return False
        self.fence_by_key[key] = fence
        return True

    async def run(self, key: str, fence: int) -> bool:
        """Count a run of `key`; return whether its fencing token allowed it."""
        await self.clock.sleep_ms(self.faults.delay_before_ms)
        if not self.admits(key, fence):
            return False
        self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        await self.clock.sleep_ms(self.faults.delay_after_ms)
        return True

    def strikes(self, fault: str) -> bool:
        """Return whether a counted fault affects this call, and count it."""
        remaining = getattr(self.faults, fault)
        if remaining > 0:
            setattr(self.faults, fault, remaining - 1)
        return bool(remaining > 0)


class _DroppedAnswer(Response):
    """Starts an answer of 1000 bytes, then closes the connection."""

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
        raise ConnectionAbortedError('answer dropped by fault dropped_answers')


def _json(value: object, status: int = 200) -> Response:
    body = msgspec.json.encode(value)
    return Response(body, status, media_type='application/json')


class ServiceEndpoints:
    """Request handlers of the service and of its control paths."""

    def __init__(self, service: PlainService) -> None:
        self._service = service

    async def call(self, request: Request) -> Response:
        """Run a call and answer with the number of runs of its key."""
        service = self._service
        await request.body()
        if service.strikes('deaths_before'):
            os._exit(_EXIT_STATUS)
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER, '')
        fence = int(request.headers.get(FENCING_TOKEN_HEADER, '0'))
        if not await service.run(key, fence):
            return _json({'error': 'old fencing token'}, _CONFLICT)
        if service.strikes('deaths_after'):
            os._exit(_EXIT_STATUS)
        if service.strikes('dropped_answers'):
            return _DroppedAnswer()
        return _json({'key': key, 'runs': service.runs_by_key[key]})

    async def counts(self, request: Request) -> Response:
        """Answer with the number of runs by key."""
        return _json(self._service.runs_by_key)

    async def set_faults(self, request: Request) -> Response:
        """Replace the faults in force by those in the body, as JSON."""
        self._service.faults = msgspec.json.decode(
            await request.body(),
            type=ServiceFaults,
        )
        return _json(self._service.faults)

    async def set_fencing(self, request: Request) -> Response:
        """Set whether fencing tokens are checked, by a JSON boolean."""
        self._service.checks_fencing = msgspec.json.decode(
            await request.body(),
            type=bool,
        )
        return _json(self._service.checks_fencing)


def create_app(service: PlainService) -> Starlette:
    """Return an application that serves `service` and its control paths."""
    endpoints = ServiceEndpoints(service)
    methods = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']
    return Starlette(
        routes=[
            Route('/counts', endpoints.counts, methods=['GET']),
            Route('/control/faults', endpoints.set_faults, methods=['POST']),
            Route('/control/fencing', endpoints.set_fencing, methods=['POST']),
            Route('/{path:path}', endpoints.call, methods=methods),
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
