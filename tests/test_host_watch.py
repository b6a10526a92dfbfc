import asyncio

from bergamotthread.clock import Clock
from bergamotthread.process.drain.drain_state import DrainState
from bergamotthread.process.membership.host_watch import HostWatch
from bergamotthread.process.store.platform import HostEntry
from bergamotthread.testing.memory_network import MemoryNetwork
from bergamotthread.testing.memory_platform import (
    MemoryHostList,
    MemoryPlatform,
)
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.wire.messages import DrainNotice, Envelope

AGENT = '10.0.0.9:1'
ENTRIES = tuple(f'10.0.0.{number}:1' for number in range(5))
MAX_NOTICE_MS = 2000


def _entry_watch(
    network: MemoryNetwork, platform: MemoryPlatform, address: str
) -> HostWatch:
    return HostWatch(
        network.transport(address),
        platform.clock,
        'r0',
        MemoryHostList(platform),
        lambda: ENTRIES,
    )


async def _time_to_drain(cut_off: int, loss: float) -> float:
    clock = Clock.from_loop(asyncio.get_running_loop())
    network = MemoryNetwork(loss=loss, seed=3)
    platform = MemoryPlatform(clock)
    drain = DrainState(clock, AGENT)

    def receive(envelope: Envelope) -> None:
        if isinstance(envelope.message, DrainNotice):
            drain.apply_notice(envelope.message)

    network.transport(AGENT).start(receive)
    for entry in ENTRIES[:cut_off]:
        network.cut_both(entry, AGENT)
    watches = [_entry_watch(network, platform, address) for address in ENTRIES]
    tasks = [asyncio.create_task(watch.run()) for watch in watches]
    await clock.sleep_ms(4321)
    host = HostEntry(AGENT, 'agent', 'r0', 'd0', leaving=True)
    platform.hosts_by_address[AGENT] = host
    start_ms = clock.now_ms()
    while drain.may_dispatch() and clock.now_ms() - start_ms < 60_000:
        await clock.sleep_ms(10)
    for task in tasks:
        task.cancel()
    return clock.now_ms() - start_ms


def test_leaving_host_is_notified_within_two_seconds() -> None:
    assert run_virtual(_time_to_drain(0, 0)) <= MAX_NOTICE_MS


def test_leaving_host_is_notified_despite_message_loss() -> None:
    assert run_virtual(_time_to_drain(0, 0.1)) <= MAX_NOTICE_MS


def test_leaving_host_cut_off_from_two_entries_is_notified() -> None:
    assert run_virtual(_time_to_drain(2, 0)) <= MAX_NOTICE_MS


async def _reads_per_minute() -> int:
    clock = Clock.from_loop(asyncio.get_running_loop())
    platform = MemoryPlatform(clock)
    network = MemoryNetwork()
    watches = [_entry_watch(network, platform, address) for address in ENTRIES]
    tasks = [asyncio.create_task(watch.run()) for watch in watches]
    await clock.sleep_ms(60_000 - 1)
    for task in tasks:
        task.cancel()
    return platform.reads


def test_only_three_entries_poll_every_second() -> None:
    assert run_virtual(_reads_per_minute()) == 3 * 60 + 2 * 6


async def _outage() -> int:
    clock = Clock.from_loop(asyncio.get_running_loop())
    platform = MemoryPlatform(clock)
    platform.faults.down = True
    watch = _entry_watch(MemoryNetwork(), platform, ENTRIES[0])
    seen: list[int] = []
    watch.add_listener(lambda hosts: seen.append(len(hosts)))
    await watch.read_once()
    return len(seen)


def test_outage_is_not_reported_as_an_empty_list() -> None:
    assert run_virtual(_outage()) == 0
