"""HTTP server of the engine stand-in.

Usage: `python -m standins.engine --listen IP:PORT`.

`POST /generate` streams server-sent events, `GET /load` reports the load,
`GET /running` counts sequences, `POST /orders` takes orders, and
`POST /control` sets faults:
`{"fault": "die" | "revive" | "pause" | "late" | "slow" | "mute" |
"die_after_tokens" | "die_on_prompt", "amount": 5, "text": ""}`.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import click
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from bergamotthread.clock import Clock
from bergamotthread.connection.engine_client import (
    EngineLostError,
    EngineRefusedError,
    GenerateRequest,
)
from bergamotthread.connection.http_engine import OrderRequest
from bergamotthread.errors import Step
from standins.engine_core import Engine, EngineSpeed
from standins.serving import server


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `POST /control`; `amount` is in ms, tokens or a factor."""

    fault: str
    amount: float = 0
    text: str = ''


def apply_fault(engine: Engine, fault: Fault) -> None:
    """Set a fault of the engine.

    Raises
    ------
    ValueError
        If the fault is unknown.
    """
    match fault.fault:
        case 'die':
            engine.die()
        case 'revive':
            engine.revive()
        case 'pause':
            engine.pause(fault.amount)
        case 'slow':
            engine.faults.slow_factor = fault.amount
        case 'late':
            engine.faults.deliver_late_ms = fault.amount
        case 'mute':
            engine.faults.mute = bool(fault.amount)
        case 'die_after_tokens':
            engine.faults.die_after_tokens = int(fault.amount)
        case 'die_on_prompt':
            engine.faults.die_on_prompt = fault.text
        case _:
            raise ValueError(f'unknown fault {fault.fault!r}')


def create_app(engine: Engine) -> Starlette:
    """Return an ASGI application that serves an engine."""

    async def generate(request: Request) -> Response:
        decoded = msgspec.json.decode(
            await request.body(),
            type=GenerateRequest,
        )
        if engine.faults.dead:
            raise EngineLostError('dead', step=Step.GENERATE)
        try:
            # The body is generated after the status was sent.
            engine.check_loaded(decoded.pin)
        except EngineRefusedError as error:
            return Response(str(error), status_code=409)
        return StreamingResponse(
            _events(engine, decoded),
            media_type='text/event-stream',
        )

    async def load(_: Request) -> Response:
        return Response(msgspec.json.encode(await engine.load()))

    async def running(_: Request) -> Response:
        return Response(str(engine.running))

    async def orders(request: Request) -> Response:
        order = msgspec.json.decode(await request.body(), type=OrderRequest)
        accepted = await engine.order(order.action, order.pin, order.fence)
        return Response(status_code=200 if accepted else 409)

    async def control(request: Request) -> Response:
        try:
            fault = msgspec.json.decode(await request.body(), type=Fault)
            apply_fault(engine, fault)
        except (msgspec.DecodeError, ValueError) as error:
            return Response(str(error), status_code=400)
        return Response()

    return Starlette(
        routes=[
            Route('/generate', generate, methods=['POST']),
            Route('/load', load),
            Route('/running', running),
            Route('/orders', orders, methods=['POST']),
            Route('/control', control, methods=['POST']),
        ],
    )


async def _events(
    engine: Engine,
    request: GenerateRequest,
) -> AsyncIterator[bytes]:
    async for output in engine.generate(request):
        yield b'data: %b\n\n' % msgspec.json.encode(output)


@click.command()
@click.option('--listen', required=True, help='IP number and port.')
@click.option('--token-interval-ms', default=10.0, show_default=True)
def main(listen: str, token_interval_ms: float) -> None:
    """Serve an engine without a model."""

    async def serve() -> None:
        speed = EngineSpeed(token_interval_ms=token_interval_ms)
        engine = Engine(Clock.from_system(), speed)
        await server(create_app(engine), listen).serve()

    asyncio.run(serve())


if __name__ == '__main__':
    main()
