"""CPU time of recording a refusal, and store writes for explanations."""

from __future__ import annotations

import asyncio
import time

import msgspec
from pytest_benchmark.fixture import BenchmarkFixture

from bergamotthread.clock import Clock
from bergamotthread.errors import Step
from bergamotthread.process.explanations.explanations import Explanations
from bergamotthread.request.refusal import Ran, ReasonCode, Refusal
from bergamotthread.testing.memory_platform import (
    MemoryObjectStore,
    MemoryPlatform,
)
from bergamotthread.testing.virtual_loop import run_virtual

ENTRIES = 320
REFUSALS_PER_S = 20
SECONDS = 120
STORE_WRITES_PER_S = 300
STORE_SHARE = 0.2

_REFUSAL = Refusal(
    reason=ReasonCode.OVER_LIMIT,
    detail='12 requests/s, expected at most 10',
    step=Step.ADMIT,
    ran=Ran.NOT_RUN,
    team='foundry',
    figures={'requests_per_s': 12, 'limit_per_s': 10},
)


async def _refuse_steadily() -> tuple[float, float]:
    """Return store writes per second and CPU microseconds per refusal."""
    clock = Clock.from_loop(asyncio.get_running_loop())
    platform = MemoryPlatform(clock)
    explanations = Explanations(MemoryObjectStore(platform), clock, 'writer')
    running = asyncio.ensure_future(explanations.run())
    started_s = time.process_time()
    for _ in range(SECONDS):
        for _ in range(REFUSALS_PER_S):
            explanations.record(_REFUSAL)
        await clock.sleep_ms(1000)
    spent_s = time.process_time() - started_s
    running.cancel()
    refusals = SECONDS * REFUSALS_PER_S
    return platform.writes / SECONDS, spent_s / refusals * 1_000_000


def test_writes_of_all_entries_fit_their_share(
    benchmark: BenchmarkFixture,
) -> None:
    """If all 320 entries refuse, a fifth of the store's writes suffices."""
    writes_per_s, cpu_us = run_virtual(_refuse_steadily())
    benchmark(msgspec.json.encode, _REFUSAL)
    benchmark.extra_info['writes_per_s_of_320'] = writes_per_s * ENTRIES
    benchmark.extra_info['cpu_us_per_refusal'] = cpu_us
    assert writes_per_s * ENTRIES <= STORE_WRITES_PER_S * STORE_SHARE
