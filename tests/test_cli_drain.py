"""Drain commands publish only what is asked and report unsafe hosts."""

from dataclasses import dataclass

import msgspec
import pytest
from click.testing import CliRunner, Result

from bergamotthread.cli.drain import drain
from bergamotthread.clock import Clock
from bergamotthread.process.drain.drain_report import (
    REPORT_KEY_PREFIX,
    DrainReport,
)
from bergamotthread.process.drain.drain_state import DrainPhase
from bergamotthread.process.store.platform import Row
from bergamotthread.testing.memory_platform import (
    MemoryHostList,
    MemoryPlatform,
    MemoryTable,
)
from bergamotthread.version.objects import (
    FailureDomain,
    ObjectSet,
    Region,
    Stop,
    Upstream,
)
from bergamotthread.version.published import PublishedVersion

NOW_MS = 1_700_000_000_000
OLD_STOP = Stop('old', 'a1', 0, NOW_MS - 1)


@dataclass
class _Context:
    object_set: ObjectSet
    platform: MemoryPlatform
    clock: Clock
    version: int = 7

    def table(self) -> MemoryTable:
        return MemoryTable(self.platform)

    def host_list(self) -> MemoryHostList:
        return MemoryHostList(self.platform)

    async def read_version(self) -> PublishedVersion:
        return PublishedVersion.from_object_set(self.version, self.object_set)

    async def publish(self, base_version: int, object_set: ObjectSet) -> int:
        assert base_version == self.version
        self.object_set = object_set
        self.version += 1
        return self.version


@pytest.fixture
def context() -> _Context:
    clock = Clock(lambda: 0, lambda: NOW_MS / 1000)
    object_set = ObjectSet(
        regions=(Region('r0'),),
        failure_domains=(FailureDomain('d0', 'r0'),),
        upstreams=(Upstream('u1', 'a1', 'd0'), Upstream('u2', 'a2', 'd0')),
        stops=(OLD_STOP,),
    )
    return _Context(object_set, MemoryPlatform(clock), clock)


def _invoke(context: _Context, *arguments: str) -> Result:
    return CliRunner().invoke(drain, arguments, obj=context)


def test_plan_prints_consecutive_stops_and_publishes_nothing(
    context: _Context,
) -> None:
    result = _invoke(context, 'plan', 'a1', 'a2', '--per-failure-domain', '1')
    stops = [
        msgspec.json.decode(line, type=Stop)
        for line in result.output.splitlines()
    ]
    assert [stop.address for stop in stops] == ['a1', 'a2']
    assert stops[0].deadline_ms == stops[1].start_ms
    assert context.version == 7


def test_start_publishes_new_stops_without_the_expired_ones(
    context: _Context,
) -> None:
    result = _invoke(context, 'start', 'a1', '--reason', 'kernel')
    assert 'version 8' in result.output
    assert [stop.reason for stop in context.object_set.stops] == ['kernel']


def test_start_with_an_unknown_address_fails(context: _Context) -> None:
    result = _invoke(context, 'start', 'a9')
    assert result.exit_code == 1
    assert "'a9'" in result.output


@pytest.mark.parametrize('phase', [DrainPhase.DRAINED, DrainPhase.DRAINING])
def test_status_fails_unless_the_host_is_drained(
    context: _Context, phase: DrainPhase
) -> None:
    report = DrainReport('a1', 1, phase, (), NOW_MS)
    key = f'{REPORT_KEY_PREFIX}a1'
    context.platform.rows_by_key[key] = Row(key, msgspec.json.encode(report), 1)
    result = _invoke(context, 'status')
    is_drained = phase is DrainPhase.DRAINED
    assert result.exit_code == (0 if is_drained else 1)
    assert ('not safe' in result.output) is (not is_drained)
