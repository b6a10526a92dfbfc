"""Time until a published version is in force and accepted, and its cost.

Run ``python -m benchmarks.publication_time [HOLDERS]``, where HOLDERS is the
number of version holders in each of ten regions. Time is virtual.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
from dataclasses import dataclass

from bergamotthread.testing.memory_network import MemoryNetwork
from bergamotthread.testing.version_group import VersionGroup
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.version.objects import ObjectSet, Team
from bergamotthread.version.publication import Draft

REGIONS = 10
HOLDERS_PER_REGION = 4
WARM_UP_MS = 5000
IDLE_MS = 10_000
MS_PER_S = 1000
OUTAGE_LEASE_MS = 3_600_000


@dataclass(frozen=True)
class Link:
    """Delay and loss between processes, and delay to the store."""

    delay_ms: float
    loss: float
    store_delay_ms: float = 5
    holders_per_region: int = HOLDERS_PER_REGION


@dataclass(frozen=True)
class Measured:
    """Figures of one link; times are in ms after the version is written."""

    in_force_ms: tuple[float, ...]
    accepted_ms: tuple[float, ...]
    reads_per_s: float
    writes_per_version: float
    bytes_per_s: float
    refused_share: float


def measure(
    link: Link, publications: int, outage_lease_ms: int = 0
) -> Measured:
    """Publish versions one by one, each after the last is accepted."""
    return run_virtual(_measure(link, publications, outage_lease_ms))


async def _measure(
    link: Link,
    publications: int,
    outage_lease_ms: int,
) -> Measured:
    group = _start_group(link)
    await _publish(group, 1, outage_lease_ms)
    sampling = asyncio.ensure_future(group.sample_forever())
    await group.clock.sleep_ms(WARM_UP_MS)
    reads_per_s, bytes_per_s = await _idle_rates(group)
    writes_before = group.platform.writes
    in_force_ms: list[float] = []
    accepted_ms: list[float] = []
    for weight in range(2, publications + 2):
        version = await _publish(group, weight, outage_lease_ms)
        written_ms = group.clock.now_ms()
        await group.accept(version)
        accepted_ms.append(group.accepted_ms_by_version[version] - written_ms)
        in_force_ms.append(group.in_force_ms_by_version[version] - written_ms)
    writes = group.platform.writes - writes_before
    sampling.cancel()
    assert not group.violations()
    return Measured(
        tuple(in_force_ms),
        tuple(accepted_ms),
        reads_per_s,
        writes / publications,
        bytes_per_s,
        _refused_share(group),
    )


def _start_group(link: Link) -> VersionGroup:
    network = MemoryNetwork(
        delay_ms=link.delay_ms,
        jitter_ms=link.delay_ms / 4,
        loss=link.loss,
        seed=7,
    )
    group = VersionGroup.from_loop(network)
    group.platform.faults.delay_ms = link.store_delay_ms
    for region in range(REGIONS):
        for number in range(link.holders_per_region):
            group.add(f'region-{region}', f'10.{region}.0.{number + 1}:7000')
    return group


async def _publish(group: VersionGroup, weight: int, lease_ms: int) -> int:
    publisher = group.publisher()
    newest = await publisher.newest()
    object_set = ObjectSet(
        teams=(Team('foundry', weight=weight),),
        outage_lease_ms=lease_ms,
    )
    draft = Draft(object_set, 'ana', newest.state.version)
    return (await publisher.publish(draft)).state.version


async def _idle_rates(group: VersionGroup) -> tuple[float, float]:
    reads_before = group.platform.reads
    sent_before = sum(group.network.bytes_by_sender.values())
    await group.clock.sleep_ms(IDLE_MS)
    reads = group.platform.reads - reads_before
    sent = sum(group.network.bytes_by_sender.values()) - sent_before
    seconds = IDLE_MS / MS_PER_S
    holders = len(group.members_by_address)
    return reads / seconds, sent / seconds / holders


def _refused_share(group: VersionGroup) -> float:
    """Return the fraction of samples after the warm-up that are refused."""
    refused = sum(sample.at_ms >= WARM_UP_MS for sample in group.refusals)
    admitted = sum(sample.at_ms >= WARM_UP_MS for sample in group.admissions)
    return refused / (refused + admitted)


def main() -> None:
    """Measure all links, with and without an outage lease; print a table."""
    holders = int(sys.argv[1]) if len(sys.argv) > 1 else HOLDERS_PER_REGION
    for lease_ms in (0, OUTAGE_LEASE_MS):
        for delay_ms in (2, 80):
            for loss in (0, 0.05, 0.2):
                link = Link(delay_ms, loss, holders_per_region=holders)
                _print_row(link, lease_ms, measure(link, 20, lease_ms))


def _print_row(link: Link, lease_ms: int, measured: Measured) -> None:
    print(
        f'outage lease {lease_ms:>7} ms, link {link.delay_ms:>2} ms, '
        f'loss {link.loss:>4.0%}: in force p50 '
        f'{statistics.median(measured.in_force_ms):5.0f} max '
        f'{max(measured.in_force_ms):5.0f} ms, accepted p50 '
        f'{statistics.median(measured.accepted_ms):5.0f} max '
        f'{max(measured.accepted_ms):5.0f} ms, '
        f'{measured.reads_per_s:5.1f} reads/s, '
        f'{measured.writes_per_version:5.1f} writes/version, '
        f'{measured.bytes_per_s:5.0f} B/s a holder, '
        f'refused {measured.refused_share:.2%}',
    )


if __name__ == '__main__':
    main()
