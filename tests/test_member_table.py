import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotthread.process.membership.member_table import (
    MEMBER_SUSPICION_TIMEOUT_MS,
    TOMBSTONE_RETENTION_MS,
    MemberTable,
    member_incarnation,
)
from bergamotthread.wire.messages import Member, MemberState

ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT
LEAVING = MemberState.LEAVING
DEAD = MemberState.DEAD


def _member(
    address: str, incarnation: int, state: MemberState = ALIVE
) -> Member:
    return Member(address, incarnation, state, 'entry', 'r0', 'd0')


def _table() -> MemberTable:
    return MemberTable(_member('own', member_incarnation(1)))


@pytest.mark.parametrize(
    ('known', 'told', 'replaces'),
    [
        ((5, ALIVE), (5, SUSPECT), True),
        ((5, SUSPECT), (5, ALIVE), False),
        ((5, SUSPECT), (6, ALIVE), True),
        ((5, DEAD), (5, SUSPECT), False),
        ((5, DEAD), (6, ALIVE), True),
        ((6, ALIVE), (5, DEAD), False),
        ((5, LEAVING), (5, SUSPECT), False),
    ],
)
def test_merge_keeps_the_record_that_supersedes(
    known: tuple[int, MemberState],
    told: tuple[int, MemberState],
    replaces: bool,
) -> None:
    table = _table()
    table.merge(_member('a', 1), 0)
    table.merge(_member('a', *known), 0)
    assert (table.merge(_member('a', *told), 0) is not None) is replaces


@given(
    st.lists(
        st.tuples(st.integers(1, 3), st.sampled_from(tuple(MemberState))),
        max_size=8,
    ).flatmap(lambda told: st.tuples(st.just(told), st.permutations(told)))
)
def test_order_of_records_does_not_matter(
    orders: tuple[list[tuple[int, MemberState]], list[tuple[int, MemberState]]],
) -> None:
    seen = []
    for order in orders:
        table = _table()
        table.merge(_member('a', 0), 0)
        for told in order:
            table.merge(_member('a', *told), 0)
        seen.append(table.get('a'))
    assert seen[0] == seen[1]


def test_process_refutes_suspicions_of_itself_but_not_of_a_newer_one() -> None:
    table = _table()
    start = member_incarnation(1)
    refuted = table.merge(_member('own', start, DEAD), 0)
    assert refuted == _member('own', start + 1)
    assert table.merge(_member('own', start, SUSPECT), 0) is None
    newer = _member('own', member_incarnation(2), SUSPECT)
    assert table.merge(newer, 0) is None


def test_restarted_process_supersedes_all_refutations() -> None:
    table = _table()
    table.merge(_member('a', member_incarnation(1) + 40), 0)
    assert table.merge(_member('a', member_incarnation(2)), 0) is not None


def test_suspect_is_removed_only_after_the_suspicion_time() -> None:
    table = _table()
    table.merge(_member('a', 5), 0)
    assert table.suspect('a', 100) == _member('a', 5, SUSPECT)
    assert table.suspect('a', 200) is None
    table.record_heard('a', 5000)
    assert not table.expire(MEMBER_SUSPICION_TIMEOUT_MS + 4999)
    assert table.expire(MEMBER_SUSPICION_TIMEOUT_MS + 5000) == (
        _member('a', 5, DEAD),
    )


def test_leaving_member_that_is_silent_is_removed() -> None:
    table = _table()
    table.merge(_member('a', 5, LEAVING), 0)
    table.suspect('a', 0)
    assert table.expire(MEMBER_SUSPICION_TIMEOUT_MS) == (_member('a', 5, DEAD),)


def test_own_pause_extends_the_suspicion_of_others() -> None:
    table = _table()
    table.merge(_member('a', 5), 0)
    table.suspect('a', 0)
    table.extend_timers(30_000)
    assert not table.expire(MEMBER_SUSPICION_TIMEOUT_MS + 29_999)
    assert table.expire(MEMBER_SUSPICION_TIMEOUT_MS + 30_000)


def test_removed_member_stays_removed_until_its_tombstone_expires() -> None:
    table = _table()
    table.merge(_member('a', 5), 0)
    table.merge(_member('a', 5, DEAD), 0)
    assert not table.add_listed(_member('a', 0), 1000)
    table.expire(TOMBSTONE_RETENTION_MS + 999)
    assert table.get('a') == _member('a', 5, DEAD)
    table.expire(TOMBSTONE_RETENTION_MS + 1000)
    assert table.get('a') is None
    assert table.add_listed(_member('a', 0), 0)


def test_unknown_dead_member_is_not_added() -> None:
    table = _table()
    assert table.merge(_member('a', 5, DEAD), 0) is None
    assert table.others() == ()


def test_leaving_process_refutes_its_death_and_stays_leaving() -> None:
    table = _table()
    table.leave()
    told = msgspec.structs.replace(table.own, state=DEAD)
    refuted = table.merge(told, 0)
    assert refuted is not None
    assert refuted.state is LEAVING
