import asyncio

from bergamotthread.clock import Clock
from bergamotthread.connection.engine_client import GenerateRequest
from bergamotthread.testing.virtual_loop import run_virtual
from standins.engine_core import Engine, EngineSpeed
from standins.small_deployment import PIN


def test_load_report_is_late_and_lacks_some_cache_events() -> None:
    async def scenario() -> None:
        clock = Clock.from_loop(asyncio.get_running_loop())
        engine = Engine(clock, EngineSpeed(report_lag_ms=500), seed=3)
        await engine.load()
        request = GenerateRequest('a', PIN, 'x' * 1024, (), 1000)
        outputs = engine.generate(request)
        await anext(outputs)
        early_report = await engine.load()
        assert (early_report.running, early_report.cached_prefixes) == (0, ())
        await clock.sleep_ms(600)
        late_report = await engine.load()
        assert late_report.running == 1
        reports = [await engine.load() for _ in range(5)]
        assert min(len(report.cached_prefixes) for report in reports) < 16
        assert max(len(report.cached_prefixes) for report in reports) > 8
        assert late_report.age_ms >= 500

    run_virtual(scenario())
