"""Exhaustive search of the row of a roll-out with two that decide.

All orders of these are covered: writes that fail, answers that are lost, a
decider that ends between any two steps and one that takes over, directives that
are lost or come late, and a store that comes back older. The row follows
`next_record`, deciders `merged_record` and `TrialPlaces`, as in production; the
judgement is left out: each may want either end at any time.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import NamedTuple

import pytest

from bergamotthread.process.rollouts.exposure import TrialPlaces
from bergamotthread.process.rollouts.order import RolloutOrder, RolloutState
from bergamotthread.process.rollouts.reports import (
    End,
    EntryReport,
    Reserve,
    RolloutPhase,
    RolloutRecord,
)
from bergamotthread.process.rollouts.rollout_record import (
    merged_record,
    next_record,
)

ORDER = RolloutOrder('chat', 1, 'new', 12_000)
BEGUN = RolloutRecord(ORDER, RolloutState.ACTIVE, 0)
ENDS = (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)


class Scope(NamedTuple):
    """What a search covers; all at once are too many states."""

    reserves: bool = False
    ends: bool = False
    falls_back: bool = False
    take_overs: int = 1
    most_places: int = 2
    grants_again: bool = False
    ends_unheard: bool = False


class Row(NamedTuple):
    era: int
    number: int
    record: RolloutRecord


class Node(NamedTuple):
    """One that decides: what it knows, and the step that it writes."""

    row: Row
    record: RolloutRecord
    free: int = 0
    step: Reserve | End | None = None
    heard: frozenset[int] = frozenset()


class Entry(NamedTuple):
    granted: int = 0
    sent_directive: int = 0
    seen: RolloutState = RolloutState.ACTIVE


class World(NamedTuple):
    row: Row
    older: Row
    nodes: tuple[Node, Node]
    entries: tuple[Entry, Entry] = (Entry(), Entry())
    reserved: int = 0
    take_overs: int = 0


def changed(items, index, item):
    return (*items[:index], item, *items[index + 1 :])


def taken_over(row, *, grants_again=False):
    """Return a decider that begins from a row."""
    free = row.record.reserved if grants_again else 0
    return Node(row, row.record, free)


def steps_of(node: Node, scope: Scope) -> Iterator[Reserve | End]:
    if scope.reserves and node.record.reserved < scope.most_places:
        yield Reserve(node.record.reserved + 1)
    if scope.ends and (scope.ends_unheard or len(node.heard) == 2):
        seen = node.record.state
        yield from (End(end, '') for end in ENDS if seen in {end, BEGUN.state})


def after_write(world: World, index: int) -> Iterator[World]:
    """Yield what follows a write: told or lost, by an equal version or not."""
    node = world.nodes[index]
    written = next_record(world.row.record, node.step)
    is_equal = node.row[:2] == world.row[:2]
    if not (is_equal and written):
        yield reread(world, index)
        return
    row = Row(world.row.era, world.row.number + 1, written)
    gained = written.reserved - world.row.record.reserved
    world = world._replace(row=row, reserved=world.reserved + gained)
    places = TrialPlaces(node.record.reserved, node.free)
    if isinstance(node.step, Reserve):
        places.record_reserved(node.step.reserved)
    told = node._replace(
        row=row,
        record=merged_record(node.record, written),
        free=places.free,
        step=None,
    )
    yield world._replace(nodes=changed(world.nodes, index, told))
    yield reread(world, index)


def reread(world: World, index: int) -> World:
    node = world.nodes[index]
    if node.row.era != world.row.era:
        fresh = taken_over(world.row)
        return world._replace(nodes=changed(world.nodes, index, fresh))
    known = merged_record(node.record, world.row.record)
    read = node._replace(row=world.row, record=known, step=None)
    return world._replace(nodes=changed(world.nodes, index, read))


def after_report(world: World, index: int, host: int) -> World:
    """Return what follows a report and its directive, which is on its way."""
    node, entry = world.nodes[index], world.entries[host]
    record = node.record
    if entry.seen.is_end and not record.state.is_end:
        record = replace(record, state=entry.seen)
    places = TrialPlaces(max(record.reserved, entry.granted), node.free)
    report = EntryReport(
        str(host), 1, 9, entry.granted, entry.granted, 1, 0,
        RolloutPhase.TRIAL, (),
    )  # fmt: skip
    directive = places.grant(report, 2)
    heard = node._replace(
        record=replace(record, reserved=places.reserved),
        free=places.free,
        heard=node.heard | {host},
    )
    told = entry._replace(sent_directive=directive)
    return world._replace(
        nodes=changed(world.nodes, index, heard),
        entries=changed(world.entries, host, told),
    )


def successors(world: World, scope: Scope) -> Iterator[World]:
    for index, node in enumerate(world.nodes):
        if node.step is None:
            if not node.record.state.is_end:
                for step in steps_of(node, scope):
                    busy = node._replace(step=step)
                    yield world._replace(
                        nodes=changed(world.nodes, index, busy)
                    )
            yield reread(world, index)
            for host in range(2):
                yield after_report(world, index, host)
        else:
            yield from after_write(world, index)
        if world.take_overs < scope.take_overs:
            fresh = taken_over(world.row, grants_again=scope.grants_again)
            yield world._replace(
                nodes=changed(world.nodes, index, fresh),
                take_overs=world.take_overs + 1,
            )
    for host, entry in enumerate(world.entries):
        arrived = entry._replace(
            granted=max(entry.granted, entry.sent_directive)
        )
        seen = entry.seen if entry.seen.is_end else world.row.record.state
        for after in (arrived, entry._replace(seen=seen)):
            yield world._replace(entries=changed(world.entries, host, after))
    if scope.falls_back and world.row.era == 0:
        yield world._replace(row=world.older._replace(era=1))


def fault_of(before: World, after: World) -> str:
    """Return which rule a step breaks; empty if none."""
    old, new = before.row, after.row
    is_taken_back = old.record.state.is_end and old.record != new.record
    if is_taken_back and old.era == new.era:
        return 'an end was taken back'
    seen = {entry.seen for entry in after.entries if entry.seen.is_end}
    written = new.record.state
    if written.is_end and seen - {written}:
        return 'an end differs from one that was seen'
    if len(seen) > 1:
        return 'two ends were seen'
    granted = sum(entry.granted for entry in after.entries)
    if granted > after.reserved:
        return 'more was granted than reserved'
    return ''


def search(scope: Scope) -> tuple[str, int]:
    row = Row(0, 0, BEGUN)
    first = World(row, row, (taken_over(row), taken_over(row)))
    known, waiting = {first}, [first]
    while waiting:
        world = waiting.pop()
        for after in successors(world, scope):
            fault = fault_of(world, after)
            if fault:
                return fault, len(known)
            if after not in known:
                known.add(after)
                waiting.append(after)
    return '', len(known)


@pytest.mark.parametrize('falls_back', [False, True])
def test_row_has_one_end(falls_back):
    fault, count = search(Scope(ends=True, falls_back=falls_back))
    assert not fault
    assert count > 500


@pytest.mark.parametrize(
    'scope',
    [
        Scope(reserves=True),
        Scope(reserves=True, falls_back=True, most_places=1),
    ],
)
def test_no_place_is_granted_twice(scope):
    fault, count = search(scope)
    assert not fault
    assert count > 500


def test_search_finds_places_of_a_former_decider_that_are_granted_again():
    fault, _ = search(Scope(reserves=True, grants_again=True))
    assert fault == 'more was granted than reserved'


def test_search_finds_an_end_by_a_decider_that_has_heard_nobody():
    fault, _ = search(Scope(ends=True, falls_back=True, ends_unheard=True))
    assert fault == 'an end differs from one that was seen'


@pytest.mark.parametrize('end', ENDS)
def test_later_order_replaces_a_row_whatever_its_state(end):
    later = replace(BEGUN, order=replace(ORDER, number=2))
    ended = replace(BEGUN, state=end)
    assert merged_record(ended, later) == later
    assert merged_record(later, ended) == later


@pytest.mark.parametrize('end', ENDS)
def test_end_that_is_known_outlives_an_older_row(end):
    ended = replace(BEGUN, state=end, reserved=7)
    assert merged_record(ended, replace(BEGUN, reserved=3)) == ended
    assert merged_record(replace(BEGUN, reserved=9), ended) == ended
    assert next_record(ended, Reserve(9)) is None
    assert next_record(ended, End(RolloutState.COMPLETED, '')) is None


def test_places_that_were_reserved_are_not_forgotten():
    known = replace(BEGUN, reserved=7)
    assert merged_record(known, BEGUN).reserved == 7
    assert next_record(known, Reserve(7)) is None


def test_roll_out_does_not_end_as_active():
    with pytest.raises(ValueError, match='expected completed or rolled_back'):
        next_record(BEGUN, End(RolloutState.ACTIVE, ''))
