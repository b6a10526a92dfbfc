"""Publishing from a command, against a platform stand-in over sockets."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import pytest

from benchmarks.version_size import make_set
from bergamotthread.cli.operator_context import PlatformContext
from bergamotthread.clock import Clock
from bergamotthread.errors import BergamotError
from bergamotthread.process.explanations.audit_reader import (
    hours_between,
    read_audit,
)
from bergamotthread.version.checks import load_object_set
from bergamotthread.version.diff import diff_sets
from bergamotthread.version.objects import ObjectSet, Stop
from bergamotthread.version.publication import Draft, PublicationConflictError
from standins.platform_store import StoreStandIn, serving_store

EXAMPLE = Path(__file__).parent.parent / 'examples/termolab/objects.json'
CREDENTIAL = 'example-operator-day-shift-20'
Scenario = Callable[[PlatformContext], Awaitable[None]]


def _run(scenario: Scenario, credential: str = CREDENTIAL) -> None:
    async def _main() -> None:
        clock = Clock.from_system()
        async with serving_store(StoreStandIn(clock)) as address:
            context = PlatformContext(address, clock, credential=credential)
            publisher = context.publisher()
            first = Draft(load_object_set(EXAMPLE), 'day-shift', 0)
            await publisher.publish(first)
            await scenario(context)
            await context.close()

    asyncio.run(_main())


def _with_stop(object_set: ObjectSet) -> ObjectSet:
    stop = Stop('stop', '10.20.1.10:7100', 1, 2)
    return msgspec.structs.replace(object_set, stops=(stop,))


def test_publication_is_stored_and_in_the_audit_trail() -> None:
    async def _scenario(context: PlatformContext) -> None:
        version = await context.read_version()
        object_set = _with_stop(version.object_set)
        assert await context.publish(version.version, object_set) == 2
        assert (await context.read_version()).object_set == object_set
        with pytest.raises(PublicationConflictError):
            await context.publish(1, version.object_set)
        now_ms = context.clock.calendar_ms()
        hours = hours_between(now_ms - 60_000, now_ms)
        [record] = await read_audit(context.object_store(), hours)
        assert (record.who, record.version_after) == ('day-shift', 2)
        assert not await context.host_list().hosts()

    _run(_scenario)


def test_unknown_credential_publishes_nothing() -> None:
    async def _scenario(context: PlatformContext) -> None:
        version = await context.read_version()
        with pytest.raises(BergamotError, match='of no operator'):
            await context.publish(1, _with_stop(version.object_set))
        assert (await context.read_version()).version == 1

    _run(_scenario, credential='guess')


def test_set_of_the_design_size_can_be_published() -> None:
    async def _scenario(context: PlatformContext) -> None:
        version = await context.read_version()
        operators = version.object_set.operators
        large_set = msgspec.structs.replace(make_set(), operators=operators)
        assert await context.publish(1, large_set) == 2
        newest = await context.read_version()
        assert not diff_sets(newest.object_set, large_set).names()
        assert len(newest.upstreams_by_agent) == len(large_set.upstreams)

    _run(_scenario)
