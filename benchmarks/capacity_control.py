"""Capacity rows of the control mechanisms, for docs/CAPACITY.md."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from benchmarks.capacity_rows import (
    CHANGES_PER_DAY,
    ENTRIES,
    FAILURE_DOMAINS,
    LOSSES_PER_DAY,
    MODELS,
    REGIONS,
    REQUESTS_PER_S,
    RESTARTS_PER_DAY,
    S_PER_DAY,
    TEAMS,
    TOKEN_INTERVAL_MS,
    TOKENS_PER_S,
    UPSTREAMS,
    Budget,
    CapacityRow,
    ComputedRow,
    MeasuredRow,
    Role,
    register_rows,
)
from benchmarks.drain_day import make_version, plan_day
from benchmarks.membership import Cluster, make_place
from benchmarks.shares import StaticView
from benchmarks.shares import measure as measure_shares
from benchmarks.subsets import make_places
from bergamotthread.clock import Clock
from bergamotthread.process.membership.member_table import MemberTable
from bergamotthread.process.orders.orders import plan_orders
from bergamotthread.process.routing.agent_roster import AgentRoster
from bergamotthread.process.routing.subset import select_upstreams
from bergamotthread.process.shares.share_usage import ShareUsage
from bergamotthread.process.shares.shares import TeamLimits
from bergamotthread.testing.memory_network import MemoryNetwork
from bergamotthread.testing.virtual_loop import run_virtual
from bergamotthread.version.objects import ObjectSet, Team
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Member, MemberState, Order, Pin

COMMAND = 'python -m benchmarks.capacity'
MEMBER_SIZES = (8, 16, 32, 64, 96)
SHARE_SIZES = (8, 16, 32, 64)
SUBSET_SIZES = (60, 120, 240, 480)
VERSION_SIZES = (1500, 3000, 6000, 12_000)
TEAM_SIZES = (1250, 2500, 5000, 10_000)
ORDER_SIZES = (300, 600, 1200, 2400)
STOP_SIZES = (425, 850, 1700, 3400)
SETTLE_MS = 60_000
STEADY_MS = 60_000
REPEATS = 5
STATE_CHANGES_PER_S = 2 * (LOSSES_PER_DAY + RESTARTS_PER_DAY) / S_PER_DAY
VERSIONS_PER_S = CHANGES_PER_DAY / S_PER_DAY
DRAIN_MINUTES = 30
REPORTS_PER_MINUTE = 6
HOST_READERS_PER_REGION = 3
LEASE_CANDIDATES = 3
LEASE_STEPS_PER_S = 0.2
PROMPT_TOKENS = 4000
PREFILL_TOKENS_PER_S = 20_000

Points = tuple[tuple[float, float], ...]


def cpu_us(action: Callable[[], Any]) -> float:
    """Return the least CPU time of `REPEATS` runs, in microseconds."""
    least = float('inf')
    for _ in range(REPEATS):
        began_s = time.process_time()
        action()
        least = min(least, time.process_time() - began_s)
    return least * 1_000_000


def memory_bytes(make: Callable[[], Any]) -> float:
    """Return the memory held by the object that `make` returns."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del made
    return held


def _measure_sizes(
    sizes: Sequence[int], measure: Callable[[int], float]
) -> tuple[tuple[float, float], ...]:
    return tuple((size, measure(size)) for size in sizes)


async def _steady(size: int) -> tuple[float, float]:
    cluster = Cluster()
    for number in range(size):
        cluster.add(number)
    await cluster.clock.sleep_ms(SETTLE_MS)
    sent_before = sum(cluster.network.bytes_by_sender.values())
    began_s = time.process_time()
    await cluster.clock.sleep_ms(STEADY_MS)
    spent_us = (time.process_time() - began_s) * 1_000_000
    sent = sum(cluster.network.bytes_by_sender.values()) - sent_before
    cluster.close()
    member_s = size * STEADY_MS / 1000
    return sent / member_s, spent_us / member_s


@register_rows
def membership_rows() -> Sequence[CapacityRow]:
    """Return bytes, CPU time and memory of the membership protocol."""
    steady = {size: run_virtual(_steady(size)) for size in MEMBER_SIZES}
    byte_points = tuple((size, figures[0]) for size, figures in steady.items())
    cpu_points = tuple((size, figures[1]) for size, figures in steady.items())
    name = 'membership, 10% loss'
    carried_by = 'probes and piggybacked changes within a byte budget'
    return [
        _entry(
            name, Budget.MESSAGES, 'member', ENTRIES, byte_points, carried_by
        ),
        _entry(name, Budget.CPU, 'member', ENTRIES, cpu_points, carried_by),
        _entry(
            'membership table',
            Budget.MEMORY,
            'member',
            ENTRIES,
            _measure_sizes((100, 200, 400, 800), _member_memory),
            'one record per entry, no records of agents',
        ),
    ]


def _entry(
    figure: str,
    budget: Budget,
    per: str,
    at_count: float,
    points: Points,
    carried_by: str,
) -> MeasuredRow:
    return MeasuredRow(
        Role.ENTRY, figure, budget, per, at_count, points, carried_by, COMMAND
    )


def _make_member(number: int) -> Member:
    place = make_place(number)
    return Member(
        place.address,
        number + 1,
        MemberState.ALIVE,
        'entry',
        place.region,
        place.failure_domain,
    )


def _member_memory(size: int) -> float:
    return memory_bytes(lambda: _make_table(size))


def _make_table(size: int) -> MemberTable:
    table = MemberTable(_make_member(0))
    for number in range(1, size):
        table.merge(_make_member(number), 0)
    return table


@register_rows
def subset_rows() -> Sequence[CapacityRow]:
    """Return the CPU time of subset selection at one entry."""
    return [
        MeasuredRow(
            role=Role.ENTRY,
            figure='subsets of 5 models, at each change of state or version',
            budget=Budget.CPU,
            per='upstream of one model in the region',
            at_count=UPSTREAMS / MODELS / REGIONS,
            points=_measure_sizes(SUBSET_SIZES, _subset_cpu),
            carried_by='rendezvous hash from the side of the upstreams',
            command=COMMAND,
            factor=MODELS * (STATE_CHANGES_PER_S + VERSIONS_PER_S),
            factor_note=', 5 models, 0.16 changes/s',
        )
    ]


def _subset_cpu(size: int) -> float:
    entries = make_places('1', ENTRIES)
    region = entries[0].region
    upstreams = [
        msgspec.structs.replace(place, region=region)
        for place in make_places('2', size)
    ]
    return cpu_us(lambda: select_upstreams(entries[0], entries, upstreams))


@register_rows
def share_rows() -> Sequence[CapacityRow]:
    """Return bytes, CPU time and memory of the teams' limits."""
    figures = {size: measure_shares(size, 1000) for size in SHARE_SIZES}
    byte_points = tuple((size, row.mean_rate) for size, row in figures.items())
    cpu_points = tuple(
        (size, row.cpu_us_per_entry_s) for size, row in figures.items()
    )
    name = 'shares of teams, 20 large ones over their limits'
    carried_by = 'leased shares, coalesced by home entry, byte budget'
    return [
        _entry(
            name, Budget.MESSAGES, 'entry', ENTRIES, byte_points, carried_by
        ),
        _entry(name, Budget.CPU, 'entry', ENTRIES, cpu_points, carried_by),
        _entry(
            'use of teams with requests at the entry',
            Budget.MEMORY,
            'team',
            TEAMS,
            _measure_sizes(TEAM_SIZES, _usage_memory),
            'idle teams are forgotten',
        ),
        MeasuredRow(
            role=Role.ENTRY,
            figure='admission against the limits, one per request',
            budget=Budget.CPU,
            per='team',
            at_count=TEAMS,
            points=_measure_sizes(TEAM_SIZES, _admission_cpu),
            carried_by='token bucket in memory',
            command=COMMAND,
            factor=REQUESTS_PER_S / ENTRIES,
            factor_note=', 19.4 requests/s',
        ),
    ]


def _usage_memory(size: int) -> float:
    return memory_bytes(
        lambda: {
            name: ShareUsage(Team(name), ENTRIES, 0)
            for name in map(str, range(size))
        }
    )


def _admission_cpu(size: int) -> float:
    clock = Clock.from_system()
    teams = tuple(Team(str(number)) for number in range(size))
    transport = MemoryNetwork().transport('10.1.0.1:7000')
    limits = TeamLimits(transport, clock, StaticView((transport.address,)))
    limits.apply_version(
        PublishedVersion.from_object_set(1, ObjectSet(teams=teams))
    )
    return cpu_us(lambda: _admit_once(limits, size)) / size


def _admit_once(limits: TeamLimits, size: int) -> None:
    for number in range(size):
        name = str(number)
        limits.try_admit(name)
        limits.release(name)


def _full_set(upstream_count: int) -> ObjectSet:
    teams = tuple(
        Team(f'team-{number}', ('0' * 64,))
        for number in range(upstream_count * TEAMS // UPSTREAMS)
    )
    object_set = make_version(upstream_count).object_set
    return msgspec.structs.replace(object_set, teams=teams)


@register_rows
def version_rows() -> Sequence[CapacityRow]:
    """Return the costs of one published version at an entry."""
    carried_by = 'whole set indexed once for each version'
    return [
        _entry(
            'published version with its indexes',
            Budget.MEMORY,
            'upstream, with 5/6 of a team',
            UPSTREAMS,
            _measure_sizes(VERSION_SIZES, _version_memory),
            carried_by,
        ),
        MeasuredRow(
            role=Role.ENTRY,
            figure='index a version and its agents',
            budget=Budget.CPU,
            per='upstream, with 5/6 of a team',
            at_count=UPSTREAMS,
            points=_measure_sizes(VERSION_SIZES, _version_cpu),
            carried_by=carried_by,
            command=COMMAND,
            factor=VERSIONS_PER_S,
            factor_note=', 10,000 versions a day, one by one',
        ),
        MeasuredRow(
            role=Role.ENTRY,
            figure='whole set as JSON, if each version were sent whole',
            budget=Budget.MESSAGES,
            per='upstream, with 5/6 of a team',
            at_count=UPSTREAMS,
            points=_measure_sizes(VERSION_SIZES, _document_bytes),
            carried_by='not this way: changes of a version, see publication',
            command=COMMAND,
            factor=VERSIONS_PER_S,
            factor_note=', 10,000 versions a day, received once',
        ),
    ]


def _version_memory(size: int) -> float:
    body = msgspec.json.encode(_full_set(size))
    return memory_bytes(lambda: _decode_version(body))


def _decode_version(body: bytes) -> PublishedVersion:
    object_set = msgspec.json.decode(body, type=ObjectSet)
    return PublishedVersion.from_object_set(1, object_set)


def _version_cpu(size: int) -> float:
    object_set = _full_set(size)
    roster = AgentRoster(Clock(float, float))
    return cpu_us(
        lambda: roster.apply_version(
            PublishedVersion.from_object_set(1, object_set)
        )
    )


def _document_bytes(size: int) -> float:
    return len(msgspec.json.encode(_full_set(size)))


@register_rows
def order_rows() -> Sequence[CapacityRow]:
    """Return the costs of orders at the lease holder of a region."""
    order = Order('r0/1/1', 1, 'load', Pin('model', '1'), 'r0', 1)
    order_bytes = len(msgspec.msgpack.encode(order))
    return [
        MeasuredRow(
            role=Role.LEASE_HOLDER,
            figure='plan of orders each 2 s',
            budget=Budget.CPU,
            per='upstream of the region',
            at_count=UPSTREAMS / REGIONS,
            points=_measure_sizes(ORDER_SIZES, _plan_cpu),
            carried_by='pure function of the version and confirmed pins',
            command=COMMAND,
            factor=0.5,
            factor_note=', one plan each 2 s',
        ),
        ComputedRow(
            Role.LEASE_HOLDER,
            'orders sent at the limit of 10/s',
            Budget.MESSAGES,
            10 * (order_bytes + 60),
            f'{order_bytes} bytes an order and 60 of TCP/IP; 20 orders per 2 s',
            'orders per tick and weight store rate',
        ),
    ]


def _plan_cpu(size: int) -> float:
    version = make_version(size)
    upstreams = version.object_set.upstreams
    models = version.models_by_name
    return cpu_us(lambda: plan_orders(upstreams, models, {}, {}, frozenset()))


@register_rows
def cli_rows() -> Sequence[CapacityRow]:
    """Return the CPU time of a drain command."""
    points = _measure_sizes(STOP_SIZES, _stops_cpu)
    return [
        MeasuredRow(
            role=Role.CLI,
            figure='drain plan, us of processor time for one command',
            budget=Budget.NONE,
            per='stop',
            at_count=RESTARTS_PER_DAY,
            points=points,
            carried_by='first free slot by failure domain and model',
            command=COMMAND,
        )
    ]


def _stops_cpu(size: int) -> float:
    return cpu_us(lambda: plan_day(UPSTREAMS, size))


@register_rows
def agent_rows() -> Sequence[CapacityRow]:
    """Return the costs of orders and drains at the agents."""
    return [
        ComputedRow(
            Role.AGENT,
            'rereads of the fence, one per order',
            Budget.READS,
            RESTARTS_PER_DAY * MODELS / S_PER_DAY,
            '1,700 restarts a day of 5 pins each, all agents together',
            'order gate',
        ),
        ComputedRow(
            Role.AGENT,
            'drain reports, all agents together',
            Budget.WRITES,
            _drain_writes_per_s(),
            '1,700 stops a day, 30 min each, a report each 10 s',
            'drain reporter',
        ),
    ]


def _drain_writes_per_s() -> float:
    reports = DRAIN_MINUTES * REPORTS_PER_MINUTE
    return RESTARTS_PER_DAY * reports / S_PER_DAY


@register_rows
def store_rows() -> Sequence[CapacityRow]:
    """Return the reads and writes of the platform's services by purpose."""
    readers = HOST_READERS_PER_REGION * REGIONS
    others = (ENTRIES - readers) / 10
    lease_reads = LEASE_CANDIDATES * REGIONS * LEASE_STEPS_PER_S
    return [
        _store(
            'host list, reads',
            Budget.READS,
            readers + others,
            '3 entries of a region each second, the others each 10 s',
        ),
        _store(
            'region leases, reads',
            Budget.READS,
            lease_reads,
            '3 candidates of 10 regions each 5 s',
        ),
        _store(
            'region leases, writes',
            Budget.WRITES,
            REGIONS * LEASE_STEPS_PER_S,
            '10 holders each 5 s',
        ),
        _store(
            'drain reports, reads',
            Budget.READS,
            _drain_writes_per_s(),
            'one read before each write',
        ),
        _store(
            'drain reports, writes',
            Budget.WRITES,
            _drain_writes_per_s(),
            '1,700 stops a day, 30 min each, a report each 10 s',
        ),
        _store(
            'orders, reads at the limit',
            Budget.READS,
            10 * REGIONS,
            '20 orders each 2 s in each of 10 regions',
        ),
    ]


def _store(
    figure: str, budget: Budget, value: float, inputs: str
) -> ComputedRow:
    return ComputedRow(
        Role.TABLE, figure, budget, value, inputs, 'budget of each source'
    )


@register_rows
def fault_rows() -> Sequence[CapacityRow]:
    """Return the effects of losses, computed from the full size."""
    streams = TOKENS_PER_S * TOKEN_INTERVAL_MS / 1000
    per_upstream = streams / UPSTREAMS
    domain_upstreams = UPSTREAMS / FAILURE_DOMAINS
    resumed = domain_upstreams * per_upstream
    domains_per_region = FAILURE_DOMAINS / REGIONS
    survivors = UPSTREAMS / REGIONS * (1 - 1 / domains_per_region)
    prefill_s = (PROMPT_TOKENS + 170) / PREFILL_TOKENS_PER_S
    inputs = (
        f'{TOKENS_PER_S:,} tokens/s, {TOKEN_INTERVAL_MS} ms between tokens, '
        f'{FAILURE_DOMAINS} failure domains'
    )
    assumed = (
        f'{inputs}; assumed: prompts of {PROMPT_TOKENS:,} tokens, 170 '
        f'accepted, {PREFILL_TOKENS_PER_S:,} prefill tokens/s an upstream'
    )
    return [
        _fault('generations at the peak', streams, inputs),
        _fault('generations an upstream', per_upstream, inputs),
        _fault('failure domain lost: generations to resume', resumed, inputs),
        _fault(
            'failure domain lost: prefill tokens',
            resumed * (PROMPT_TOKENS + 170),
            assumed,
        ),
        _fault(
            'failure domain lost: s of prefill on each survivor of the region',
            resumed / survivors * prefill_s,
            assumed,
        ),
        _fault(
            'losses a day: generations to resume',
            LOSSES_PER_DAY * per_upstream,
            f'{inputs}; {LOSSES_PER_DAY} losses, all at the peak',
        ),
        _fault(
            'restarts a day: hours that the stops take',
            plan_day(UPSTREAMS, RESTARTS_PER_DAY).end_ms / 3_600_000,
            'python -m benchmarks.drain_day, default limits',
        ),
    ]


def _fault(figure: str, value: float, inputs: str) -> ComputedRow:
    return ComputedRow(
        Role.FAULTS, figure, Budget.NONE, value, inputs, 'resume, drain plan'
    )
