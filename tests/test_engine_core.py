import asyncio

from bergamotthread.clock import Clock
from bergamotthread.connection.engine_client import GenerateRequest
from bergamotthread.testing.virtual_loop import run_virtual
from standins.engine_core import Engine, EngineSpeed
from standins.small_deployment import PIN


def test_load_and_cache_events_lag() -> None:
    async def scenario() -> None:
        clock = Clock.from_loop(asyncio.get_running_loop())
        engine = Engine(clock, EngineSpeed(report_lag_ms=500), seed=3)
        await engine.load()
        request = GenerateRequest('a', PIN, 'x' * 1024, (), 1000)
        outputs = engine.generate(request)
        await anext(outputs)
        early = await engine.load()
        assert (early.running, early.cached_prefixes) == (0, ())
        await clock.sleep_ms(600)
        late = await engine.load()
        assert late.running == 1
        reports = [await engine.load() for _ in range(5)]
        assert min(len(one.cached_prefixes) for one in reports) < 16
        assert max(len(one.cached_prefixes) for one in reports) > 8
        assert late.age_ms >= 500

    run_virtual(scenario())
