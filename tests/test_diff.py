"""Differences of two object sets: computed, applied and rendered."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from bergamotthread.version.diff import (
    ObjectName,
    apply_changes,
    diff_sets,
    render_diff,
)
from bergamotthread.version.objects import ObjectSet, Operator, Team

_TEAMS = st.lists(
    st.builds(
        Team,
        name=st.sampled_from('abcde'),
        weight=st.sampled_from([1, 2]),
    ),
    unique_by=lambda team: team.name,
).map(tuple)
_SETS = st.builds(
    ObjectSet,
    teams=_TEAMS,
    operators=st.lists(
        st.builds(Operator, name=st.sampled_from('xyz')),
        unique_by=lambda operator: operator.name,
    ).map(tuple),
    outage_lease_ms=st.sampled_from([0, 60_000]),
)


@given(_SETS, _SETS)
def test_change_set_turns_one_set_into_the_other(
    old: ObjectSet,
    new: ObjectSet,
) -> None:
    changes = diff_sets(old, new)
    reached = apply_changes(old, changes)
    assert set(reached.teams) == set(new.teams)
    assert set(reached.operators) == set(new.operators)
    assert reached.outage_lease_ms == new.outage_lease_ms
    assert not diff_sets(reached, new).names()


def test_change_set_holds_only_what_differs() -> None:
    """One changed team among 10 000 must not send the others again."""
    teams = tuple(Team(f'team-{number}') for number in range(10_000))
    changed = msgspec.structs.replace(teams[7], weight=3)
    new = ObjectSet(teams=(*teams[:7], changed, *teams[8:]))
    changes = diff_sets(ObjectSet(teams=teams), new)
    assert changes.names() == {ObjectName('teams', 'team-7')}
    assert len(msgspec.json.encode(changes)) < 200


def test_text_names_objects_and_fields() -> None:
    old = ObjectSet(teams=(Team('a'), Team('b')))
    new = ObjectSet(
        teams=(Team('a', weight=2), Team('c')),
        outage_lease_ms=60_000,
    )
    assert render_diff(old, new).splitlines() == [
        '- teams/b',
        '~ teams/a.weight: 1 -> 2',
        '+ teams/c',
        '~ outage_lease_ms: 0 -> 60000',
    ]
