import asyncio

import msgspec
import pytest

from benchmarks.membership import Cluster
from bergamotthread.process.membership.member_table import (
    MEMBER_SUSPICION_TIMEOUT_MS,
)
from bergamotthread.process.membership.membership import (
    UNKNOWN_REACHABLE_FRACTION,
)
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.wire.messages import (
    Envelope,
    Member,
    MemberState,
    Probe,
)

SETTLE_MS = 20_000
DETECT_MS = 15_000


def _make(size: int, loss: float = 0) -> tuple[Cluster, list[str]]:
    cluster = Cluster(loss=loss)
    return cluster, [cluster.add(number) for number in range(size)]


async def _rejoin() -> None:
    cluster, addresses = _make(5)
    await cluster.clock.sleep_ms(SETTLE_MS)
    cluster.crash(addresses[0])
    gone_ms = await cluster.time_until_known(addresses[0], live=False)
    assert (
        MEMBER_SUSPICION_TIMEOUT_MS
        <= gone_ms
        <= MEMBER_SUSPICION_TIMEOUT_MS + DETECT_MS
    )
    cluster.add(0, incarnation=2)
    back_ms = await cluster.time_until_known(addresses[0], live=True)
    assert back_ms <= DETECT_MS
    cluster.close()


def test_crashed_member_is_removed_and_its_next_process_rejoins() -> None:
    run_virtual(_rejoin())


async def _partition() -> None:
    cluster, addresses = _make(3)
    await cluster.clock.sleep_ms(SETTLE_MS)
    near, far = addresses[:1], addresses[1:]
    for near_address in near:
        for far_address in far:
            cluster.network.cut_both(near_address, far_address)
    await cluster.clock.sleep_ms(3_600_000)
    for address in near:
        assert cluster.members_by_address[address].live_entries() == tuple(near)
    cluster.network.heal()
    for address in addresses:
        await cluster.time_until_known(address, live=True)
    for member in cluster.members_by_address.values():
        assert member.live_entries() == tuple(addresses)
    cluster.close()


def test_views_converge_after_an_hour_of_partition() -> None:
    run_virtual(_partition())


async def _one_link_cut() -> int:
    cluster, addresses = _make(6)
    cluster.network.cut_both(addresses[0], addresses[1])
    await cluster.clock.sleep_ms(120_000)
    cluster.close()
    return cluster.suspicions()


def test_one_cut_link_causes_no_suspicion() -> None:
    """Members without a direct link must be probed through others."""
    assert run_virtual(_one_link_cut()) == 0


async def _late_message() -> None:
    cluster, addresses = _make(3)
    await cluster.clock.sleep_ms(SETTLE_MS)
    cluster.crash(addresses[0])
    cluster.add(0, incarnation=2)
    await cluster.clock.sleep_ms(SETTLE_MS)
    member = cluster.members_by_address[addresses[1]]
    heard: list[str] = []
    member.add_version_listener(lambda address, version: heard.append(address))
    member.on_message(Envelope(addresses[0], 1, Probe(1)))
    assert not heard
    member.on_message(Envelope(addresses[0], 2, Probe(1)))
    assert heard == [addresses[0]]
    cluster.close()


def test_late_message_of_an_earlier_process_is_ignored() -> None:
    run_virtual(_late_message())


async def _paused_with_suspicion() -> int:
    cluster, addresses = _make(4)
    await cluster.clock.sleep_ms(SETTLE_MS)
    paused = cluster.members_by_address[addresses[0]]
    known = paused.table.get(addresses[1])
    assert known is not None
    suspected = msgspec.structs.replace(known, state=MemberState.SUSPECT)
    paused.on_message(Envelope(addresses[2], 1, Probe(1, (suspected,))))
    cluster.pause(addresses[0])
    await cluster.clock.sleep_ms(MEMBER_SUSPICION_TIMEOUT_MS + 5000)
    cluster.resume(addresses[0])
    await cluster.clock.sleep_ms(SETTLE_MS)
    cluster.close()
    return paused.counters.removals


def test_paused_process_removes_no_other_member() -> None:
    """Its timers must not run out during the pause."""
    assert run_virtual(_paused_with_suspicion()) == 0


async def _leave() -> None:
    cluster, addresses = _make(4)
    await cluster.clock.sleep_ms(SETTLE_MS)
    seen: list[Member] = []
    cluster.members_by_address[addresses[1]].add_listener(seen.append)
    cluster.members_by_address[addresses[0]].leave()
    await cluster.clock.sleep_ms(DETECT_MS)
    for address in addresses[1:]:
        member = cluster.members_by_address[address]
        assert addresses[0] not in member.responsive_entries()
        assert addresses[0] in member.live_entries()
    assert [member.state for member in seen] == [MemberState.LEAVING]
    cluster.close()


def test_leave_is_propagated_to_all_members() -> None:
    run_virtual(_leave())


async def _rate_under_flood() -> float:
    cluster, addresses = _make(12)
    await cluster.clock.sleep_ms(SETTLE_MS)
    bytes_at_start = dict(cluster.network.bytes_by_sender)
    members = list(cluster.members_by_address.values())
    for _ in range(1000):
        for member in members:
            member.on_message(Envelope(addresses[0], 1, Probe(1)))
        await cluster.clock.sleep_ms(10)
    cluster.close()
    return cluster.highest_rate(bytes_at_start, 10_000)


def test_byte_budget_is_kept_under_a_flood_of_probes() -> None:
    burst_rate = 8192 / 10
    assert run_virtual(_rate_under_flood()) <= 4096 + burst_rate


async def _reachable_share() -> None:
    cluster, addresses = _make(4)
    first = cluster.members_by_address[addresses[0]]
    assert first.reachable_fraction() == UNKNOWN_REACHABLE_FRACTION
    await cluster.clock.sleep_ms(SETTLE_MS)
    member = cluster.members_by_address[addresses[0]]
    assert member.reachable_fraction() == 1
    for other in addresses[1:]:
        cluster.network.cut_both(addresses[0], other)
    await cluster.clock.sleep_ms(DETECT_MS)
    assert member.reachable_fraction() == 1 / 4
    await cluster.clock.sleep_ms(3 * MEMBER_SUSPICION_TIMEOUT_MS)
    assert member.reachable_fraction() == 1 / 4
    cluster.close()


def test_reachable_fraction_counts_listed_entries_that_respond() -> None:
    run_virtual(_reachable_share())


async def _platform_down() -> tuple[str, ...]:
    cluster, addresses = _make(2)
    await cluster.clock.sleep_ms(SETTLE_MS)
    cluster.platform.faults.down = True
    await cluster.clock.sleep_ms(3_600_000)
    cluster.close()
    return cluster.members_by_address[addresses[0]].live_entries()


def test_membership_survives_an_hour_without_the_platform() -> None:
    assert len(run_virtual(_platform_down())) == 2


@pytest.mark.parametrize('version', [3, 9])
def test_probe_carries_the_version(version: int) -> None:
    async def run() -> set[int]:
        cluster, addresses = _make(2)
        seen: set[int] = set()
        first = cluster.members_by_address[addresses[0]]
        first.add_version_listener(lambda _, number: seen.add(number))
        other = cluster.members_by_address[addresses[1]]
        other._sender._config_version = lambda: version
        await asyncio.sleep(5)
        cluster.close()
        return seen

    assert run_virtual(run()) == {version}
