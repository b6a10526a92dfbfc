import asyncio

import pytest

from bergamotthread.clock import Clock
from bergamotthread.connection.engine_client import (
    EngineRefusedError,
    GenerateRequest,
)
from bergamotthread.connection.http_engine import HttpEngineClient
from bergamotthread.wire.messages import Pin
from standins.engine import create_app
from standins.engine_core import Engine, EngineSpeed
from standins.serving import server
from standins.small_deployment import PIN
from standins.tokens import verify_answer

COUNT = 5


async def _generate(client: HttpEngineClient, name: str) -> str:
    request = GenerateRequest(name, PIN, 'prompt', (), COUNT)
    tokens: list[str] = []
    async for output in client.generate(request):
        tokens.extend(output.tokens)
    return ''.join(tokens)


def test_engine_is_reached_after_a_restart() -> None:
    """A kept connection would lead to the earlier process of the engine."""

    async def scenario() -> None:
        engine = Engine(Clock.from_system(), EngineSpeed(token_interval_ms=1))
        first = server(create_app(engine), '127.0.0.1:0')
        await first.start()
        address = f'127.0.0.1:{first.port}'
        client = HttpEngineClient(address)
        await asyncio.gather(*(_generate(client, f'a{n}') for n in range(4)))
        await first.abort()
        second = server(create_app(engine), address)
        await second.start()
        for index in range(4):
            answer = await _generate(client, f'b{index}')
            verify_answer('prompt', answer, COUNT)
        await second.abort()

    asyncio.run(scenario())


def test_unreachable_engine_refuses_the_attempt() -> None:
    client = HttpEngineClient('127.0.0.1:1')
    with pytest.raises(EngineRefusedError):
        asyncio.run(_generate(client, 'a'))


def test_engine_without_the_pin_refuses_with_its_status() -> None:
    async def scenario() -> None:
        engine = Engine(Clock.from_system(), EngineSpeed(token_interval_ms=1))
        engine.loaded = {Pin('other', '1')}
        serving = server(create_app(engine), '127.0.0.1:0')
        await serving.start()
        client = HttpEngineClient(f'127.0.0.1:{serving.port}')
        with pytest.raises(EngineRefusedError, match='answered 409'):
            await _generate(client, 'a')
        await serving.abort()

    asyncio.run(scenario())
