"""A generation continues while the platform's store is down for an hour.

Guards against a running generation that depends on the store: it must go on
in one attempt while new requests are refused for want of a configuration.
"""

import asyncio

import msgspec
import pytest

from bergamotthread.clock import Clock
from bergamotthread.process.entry_process import EntryProcess
from bergamotthread.process.generations.completions import Caller
from bergamotthread.process.settings import (
    EntrySettings,
    PlaceSettings,
    PlatformSettings,
)
from bergamotthread.process.store.store_client import (
    StoreClient,
    StoreGuard,
    StoreLimits,
    StoreUse,
)
from bergamotthread.request.completion import CompletionRequest
from bergamotthread.request.refusal import ReasonCode, RefusedError
from bergamotthread.testing.memory_network import MemoryNetwork
from bergamotthread.testing.memory_platform import (
    MemoryHostList,
    MemoryObjectStore,
    MemoryPlatform,
    MemoryTable,
)
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.version.objects import ObjectSet
from bergamotthread.version.publication import Draft, Publisher
from standins.engine_core import EngineSpeed
from standins.small_deployment import (
    TEAM,
    SmallDeployment,
    entry_address,
    small_set,
)
from standins.tokens import verify_answer

PROMPT = 'site diary of trench 204'
OUTAGE_MS = 3_600_000
TOKEN_INTERVAL_MS = 1000
MAX_TOKENS = 3700


def _make_entry(network: MemoryNetwork, platform: MemoryPlatform, clock: Clock):
    store = StoreClient(
        MemoryTable(platform),
        MemoryObjectStore(platform),
        MemoryHostList(platform),
        StoreGuard(StoreLimits(reads_per_s=10, writes_per_s=10), clock),
    )
    settings = EntrySettings(
        PlaceSettings(entry_address(0), 'cuyo', 'cuyo-a'),
        '127.0.0.1:0',
        PlatformSettings('127.0.0.1:1'),
    )
    transport = network.transport(entry_address(0), 1)
    entry = EntryProcess(settings, transport, store, clock)
    transport.start(entry.on_message)
    publisher = Publisher.from_platform(
        store.table(StoreUse.PUBLICATION),
        store.object_store(StoreUse.PUBLICATION),
        clock,
    )
    return entry, publisher


def _set_with_long_deadline() -> ObjectSet:
    objects = small_set(2)
    service = msgspec.structs.replace(
        objects.services[0],
        deadline_ms=2 * OUTAGE_MS,
    )
    return msgspec.structs.replace(objects, services=(service,))


def test_generation_continues_for_an_hour_without_the_store() -> None:
    async def scenario() -> None:
        network = MemoryNetwork()
        deployment = SmallDeployment(
            agent_count=2,
            entry_count=0,
            network=network,
            speed=EngineSpeed(token_interval_ms=TOKEN_INTERVAL_MS),
        )
        clock = deployment.clock
        platform = MemoryPlatform(clock)
        entry, publisher = _make_entry(network, platform, clock)
        draft = Draft(_set_with_long_deadline(), who='operator', base=0)
        await publisher.publish(draft)
        entry_loops = (
            entry.versions.run(),
            entry.control.run(),
            entry.generations.run(),
            entry.explanations.run(),
            entry.audit.run(),
            entry.quarantines.run(),
        )
        tasks = [asyncio.create_task(loop) for loop in entry_loops]
        await entry.versions.wait_serving()
        published = entry.versions.admit()
        entry.apply_version(published)
        request = CompletionRequest('furnace', PROMPT, max_tokens=MAX_TOKENS)
        live, _ = entry.completions.open(request, Caller(TEAM), published)
        live.readers += 1
        platform.faults.down = True
        end_ms = clock.now_ms() + OUTAGE_MS
        while not live.generation.is_over and clock.now_ms() < end_ms:
            live.consumed_tokens = live.generation.offset
            await live.wait_change()
        assert live.generation.offset > MAX_TOKENS / 2
        assert live.attempts == 1
        with pytest.raises(RefusedError) as refused:
            entry.versions.admit()
        assert refused.value.refusal.reason is ReasonCode.NO_CONFIGURATION
        platform.faults.down = False
        while not live.generation.is_over:
            live.consumed_tokens = live.generation.offset
            await live.wait_change()
        verify_answer(PROMPT, ''.join(live.generation.tokens), MAX_TOKENS)
        await entry.versions.wait_serving()
        for task in tasks:
            task.cancel()

    run_virtual(scenario())
