"""Search of all interleavings of two holders, a publisher and the table.

Fails if a holder may admit requests by the old version after the new one was
accepted. Time advances in ticks of half a lease. Each message, read and write
may be delayed by any number of ticks, and a holder acts only when the search
selects it, which covers pauses. The first holder reads the table; the second
asks the first and registers.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import pytest

from bergamotthread.version.lease import (
    CLOCK_DRIFT_RATIO,
    VERSION_LEASE_MS,
    VersionLease,
    lease_expiry_ms,
)

TICK_MS = VERSION_LEASE_MS // 2
LAST_TICK = 4
LAST_PUBLICATION_TICK = 1
OUTAGE_LEASE_MS = 3 * TICK_MS
OLD, NEW = 1, 2


@dataclass(frozen=True)
class Rules:
    """Rules to search; the defaults are those of production."""

    proof_from_answer: bool = False
    ignores_age: bool = False
    early_registration: bool = False
    ignores_rows: bool = False
    outage_lease_ms: int = OUTAGE_LEASE_MS


class Holder(NamedTuple):
    """One process.

    A pending read has the tick at which it was sent in `read_sent` and, once it
    was carried out, the version in `read_found`.
    """

    version: int = 0
    proven: float = -math.inf
    registered: float = math.inf
    row: int = 0
    read_sent: int = -1
    read_found: int = 0
    write_sent: int = 0
    write_made: bool = False

    def remaining_ms(self, now: int, rules: Rules) -> float:
        lease = VersionLease(self.proven * TICK_MS, self.registered * TICK_MS)
        lease.outage_lease_ms = rules.outage_lease_ms
        if rules.early_registration and self.registered < math.inf:
            lease.registered_ms = -math.inf
        return lease.remaining_ms(now * TICK_MS)

    def adopt(self, version: int) -> Holder:
        if version <= self.version:
            return self
        return self._replace(version=version, registered=math.inf)

    def prove(self, moment: float) -> Holder:
        return self._replace(proven=max(self.proven, moment))


class World(NamedTuple):
    """State of the search; the second holder asks the first."""

    now: int = 0
    published: int = OLD
    written: int = -1
    accepted: bool = False
    holders: tuple[Holder, Holder] = (Holder(), Holder())
    asked: int = -1
    answer: tuple[int, float] | None = None

    def with_holder(self, at: int, holder: Holder) -> World:
        holders = list(self.holders)
        holders[at] = holder
        return self._replace(holders=tuple(holders))


def _next_worlds(world: World, rules: Rules) -> Iterator[World]:
    if world.now < LAST_TICK:
        yield world._replace(now=world.now + 1)
    yield from _publisher_steps(world, rules)
    for after in _read_steps(world, world.holders[0], rules):
        yield world.with_holder(0, after)
    for after in _write_steps(world, world.holders[1], rules):
        yield world.with_holder(1, after)
    yield from _request_steps(world, rules)


def _publisher_steps(world: World, rules: Rules) -> Iterator[World]:
    if world.published == OLD and world.now > LAST_PUBLICATION_TICK:
        return
    if world.published == OLD:
        yield world._replace(published=NEW, written=world.now)
        return
    # All clocks of the search run at one rate, so the margin for drift in
    # `lease_expiry_ms` is cancelled here.
    waited_ms = (world.now - world.written) * TICK_MS * (1 + CLOCK_DRIFT_RATIO)
    rows_waited_for = [
        holder.row
        for holder in world.holders
        if 0 < holder.row < NEW
        and waited_ms < lease_expiry_ms(rules.outage_lease_ms)
    ]
    if world.accepted:
        return
    is_lapsed = waited_ms >= lease_expiry_ms(0)
    if is_lapsed and (rules.ignores_rows or not rows_waited_for):
        yield world._replace(accepted=True)


def _read_steps(
    world: World,
    holder: Holder,
    rules: Rules,
) -> Iterator[Holder]:
    if holder.read_sent < 0:
        yield holder._replace(read_sent=world.now)
    elif not holder.read_found:
        yield holder._replace(read_found=world.published)
    else:
        moment = world.now if rules.proof_from_answer else holder.read_sent
        done = holder._replace(read_sent=-1, read_found=0)
        yield done.adopt(holder.read_found).prove(moment)


def _write_steps(
    world: World,
    holder: Holder,
    rules: Rules,
) -> Iterator[Holder]:
    if not rules.outage_lease_ms or not holder.version:
        return
    if not holder.write_sent and holder.row != holder.version:
        yield holder._replace(write_sent=holder.version)
    elif holder.write_sent and not holder.write_made:
        yield holder._replace(row=holder.write_sent, write_made=True)
    elif holder.write_sent:
        done = holder._replace(write_sent=0, write_made=False)
        if holder.write_sent == holder.version:
            done = done._replace(registered=world.now)
        yield done


def _request_steps(world: World, rules: Rules) -> Iterator[World]:
    asked, asker = world.holders
    if world.asked < 0:
        yield world._replace(asked=world.now)
    elif world.answer is None:
        if asked.version and asked.remaining_ms(world.now, rules) > 0:
            age = world.now - asked.proven
            yield world._replace(answer=(asked.version, age))
    else:
        version, age = world.answer
        age = 0 if rules.ignores_age else age
        updated = asker.adopt(version)
        if updated.version >= version:
            updated = updated.prove(world.asked - age)
        after = world.with_holder(1, updated)
        yield after._replace(asked=-1, answer=None)


def _violates_lease(world: World, rules: Rules) -> bool:
    return world.accepted and any(
        holder.version == OLD and holder.remaining_ms(world.now, rules) > 0
        for holder in world.holders
    )


def search(rules: Rules) -> tuple[int, World | None]:
    """Return the number of states, and one that violates the lease or None."""
    seen = {World()}
    waiting = [World()]
    while waiting:
        world = waiting.pop()
        if _violates_lease(world, rules):
            return len(seen), world
        for after in _next_worlds(world, rules):
            if after not in seen:
                seen.add(after)
                waiting.append(after)
    return len(seen), None


@pytest.mark.parametrize('outage_lease_ms', [0, OUTAGE_LEASE_MS])
def test_no_interleaving_admits_by_the_old_version(
    outage_lease_ms: int,
) -> None:
    states, broken = search(Rules(outage_lease_ms=outage_lease_ms))
    assert broken is None
    assert states > 10_000


@pytest.mark.parametrize(
    'rules',
    [
        Rules(proof_from_answer=True, outage_lease_ms=0),
        Rules(ignores_age=True, outage_lease_ms=0),
        Rules(early_registration=True),
        Rules(ignores_rows=True),
    ],
    ids=str,
)
def test_search_detects_each_weakened_rule(rules: Rules) -> None:
    assert search(rules)[1] is not None
