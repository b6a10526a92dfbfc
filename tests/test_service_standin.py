import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pytest
from aiosonic import HTTPClient
from aiosonic.exceptions import AiosonicError

from bergamotthread.clock import Clock
from standins.service import PlainService, ServiceFaults, create_app
from standins.serving import serving

_Caller = Callable[..., Awaitable[int]]


async def _run(
    scenario: Callable[[PlainService, _Caller], Awaitable[None]],
) -> None:
    service = PlainService(Clock.from_system())
    client = HTTPClient()
    async with serving(create_app(service)) as address:

        async def call(key: str, fence: int) -> int:
            response = await client.post(
                f'http://{address}/certificates',
                headers={'Idempotency-Key': key, 'Fencing-Token': str(fence)},
                data=b'{}',
            )
            return response.status_code

        await scenario(service, call)
        counts = await client.get(f'http://{address}/counts')
        assert msgspec.json.decode(await counts.content()) == (
            service.runs_by_key
        )
        await client.aclose()


async def _ignores_fencing(service: PlainService, call: _Caller) -> None:
    assert [await call('k', 2), await call('k', 1)] == [200, 200]
    assert service.runs_by_key == {'k': 2}


async def _honours_fencing(service: PlainService, call: _Caller) -> None:
    service.checks_fencing = True
    assert [await call('k', 2), await call('k', 1)] == [200, 409]
    assert service.runs_by_key == {'k': 1}


async def _drops_answer(service: PlainService, call: _Caller) -> None:
    service.faults = ServiceFaults(dropped_answers=1)
    with pytest.raises((AiosonicError, OSError, asyncio.IncompleteReadError)):
        await call('k', 1)
    assert service.runs_by_key == {'k': 1}
    assert await call('other', 1) == 200


@pytest.mark.parametrize(
    'scenario',
    [_ignores_fencing, _honours_fencing, _drops_answer],
)
def test_runs_are_counted_by_key(
    scenario: Callable[..., Awaitable[None]],
) -> None:
    asyncio.run(_run(scenario))
