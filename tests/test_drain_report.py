"""Drain reports: a host is reported safe to stop only if it is."""

import asyncio

import pytest

from bergamotthread.clock import Clock
from bergamotthread.process.drain.drain_report import (
    REPORT_INTERVAL_MS,
    REPORT_MAX_AGE_MS,
    DrainReport,
    DrainReporter,
    DrainVerdict,
    judge_report,
    read_verdicts,
)
from bergamotthread.process.drain.drain_state import DrainPhase
from bergamotthread.testing.memory_platform import (
    MemoryPlatform,
    MemoryTable,
)
from bergamotthread.testing.virtual_loop import run_virtual

ADDRESS = '10.0.0.1:1'


class _Bench:
    def __init__(self) -> None:
        self.clock = Clock.from_loop(asyncio.get_running_loop())
        self.platform = MemoryPlatform(self.clock)
        self.table = MemoryTable(self.platform)

    def reporter(self, incarnation: int = 1) -> DrainReporter:
        return DrainReporter(self.table, self.clock, ADDRESS, incarnation)

    async def verdict(self) -> DrainVerdict:
        now_ms = self.clock.calendar_ms()
        return (await read_verdicts(self.table, [ADDRESS], now_ms))[0]


async def _follow_drain() -> None:
    bench = _Bench()
    reporter = bench.reporter()
    assert not (await bench.verdict()).safe
    await reporter.report(DrainPhase.DRAINING, ('generations: 2',))
    reasons = (await bench.verdict()).reasons
    assert reasons == ('phase is draining', 'generations: 2')
    await reporter.report(DrainPhase.DRAINED, ())
    assert (await bench.verdict()).safe
    await bench.clock.sleep_ms(REPORT_MAX_AGE_MS + 1)
    assert not (await bench.verdict()).safe


def test_verdict_follows_the_phase_and_age_of_reports() -> None:
    run_virtual(_follow_drain())


async def _replaced() -> None:
    bench = _Bench()
    old_reporter = bench.reporter()
    await old_reporter.report(DrainPhase.DRAINED, ())
    await bench.reporter(2).report(DrainPhase.SERVING, ())
    assert not (await bench.verdict()).safe
    await bench.clock.sleep_ms(REPORT_INTERVAL_MS)
    await old_reporter.report(DrainPhase.DRAINED, ())
    assert not (await bench.verdict()).safe


def test_report_of_a_replaced_process_does_not_make_its_host_safe() -> None:
    """A new process serves at the address while the old one still reports."""
    run_virtual(_replaced())


async def _outage() -> None:
    bench = _Bench()
    reporter = bench.reporter()
    bench.platform.faults.down = True
    assert not await reporter.report(DrainPhase.DRAINED, ())
    assert 'not known' in (await bench.verdict()).reasons[0]
    bench.platform.faults.down = False
    bench.platform.faults.lost_answers = 1
    assert not await reporter.report(DrainPhase.DRAINED, ())
    assert await reporter.report(DrainPhase.DRAINED, ())
    assert (await bench.verdict()).safe


def test_report_is_retried_after_an_outage_or_a_lost_answer() -> None:
    run_virtual(_outage())


async def _count_writes() -> int:
    bench = _Bench()
    reporter = bench.reporter()
    for _ in range(600):
        await reporter.report(DrainPhase.DRAINING, ('generations: 1',))
        await bench.clock.sleep_ms(100)
    return bench.platform.writes


def test_unchanged_report_is_written_once_per_interval() -> None:
    assert run_virtual(_count_writes()) == 6


async def _serving() -> int:
    bench = _Bench()
    reporter = bench.reporter()
    for _ in range(100):
        await reporter.report(DrainPhase.SERVING, ())
    return bench.platform.reads + bench.platform.writes


def test_serving_process_costs_one_read() -> None:
    assert run_virtual(_serving()) == 1


@pytest.mark.parametrize('held_by', [(), ('outputs: 1',)])
def test_drained_host_with_remaining_work_is_not_safe(
    held_by: tuple[str, ...],
) -> None:
    report = DrainReport(ADDRESS, 1, DrainPhase.DRAINED, held_by, 0)
    assert judge_report(ADDRESS, report, 0).safe is (not held_by)
