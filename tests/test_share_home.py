import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotthread.process.shares.share_home import (
    LEASE_HOLD_MS,
    SHARE_LEASE_MS,
    ShareHome,
    home_of,
)
from bergamotthread.wire.messages import ShareDemand

TEAM = 't'
POOL_SHARE = 0.9
START_MS = LEASE_HOLD_MS


def _ask(
    home: ShareHome, entry: str, wanted: float, held: float, now_ms: float
) -> float:
    demand = ShareDemand(TEAM, wanted, held)
    return home.grant(entry, demand, POOL_SHARE, now_ms).share


def test_new_home_only_renews_at_first() -> None:
    home = ShareHome('e', 0)
    assert _ask(home, 'a', 0.5, 0.2, 0) == 0.2
    assert _ask(home, 'b', 0.5, 0, 0) == 0
    assert _ask(home, 'b', 0.5, 0, LEASE_HOLD_MS) > 0


def test_suspected_home_only_renews() -> None:
    home = ShareHome('e', 0)
    assert _ask(home, 'a', 0.1, 0, START_MS) > 0
    home.record_suspected(START_MS + 1)
    assert _ask(home, 'b', 0.1, 0, START_MS + 2) == 0
    assert _ask(home, 'b', 0.1, 0, START_MS + LEASE_HOLD_MS + 1) > 0


def test_reduced_share_counts_until_its_holder_releases_it() -> None:
    home = ShareHome('e', 0)
    _ask(home, 'a', 1, 0, START_MS)
    assert _ask(home, 'a', 0.2, 0.9, START_MS) == pytest.approx(0.25)
    assert _ask(home, 'b', 0.5, 0, START_MS) == 0
    _ask(home, 'a', 0.2, 0.25, START_MS)
    assert _ask(home, 'b', 0.5, 0, START_MS) > 0.5


def test_lease_that_is_not_renewed_stays_counted_for_the_hold_time() -> None:
    home = ShareHome('e', 0)
    _ask(home, 'a', 1, 0, START_MS)
    assert _ask(home, 'b', 1, 0, START_MS + LEASE_HOLD_MS - 1) == 0
    assert _ask(home, 'b', 1, 0, START_MS + LEASE_HOLD_MS) == POOL_SHARE


def test_only_the_home_grants() -> None:
    entries = ('a', 'b', 'c')
    shares = []
    for entry in entries:
        home = ShareHome(entry, 0)
        home.apply_view(entries, 0)
        granted = _ask(home, 'x', 1, 0, START_MS)
        shares.append((granted > 0, entry == home_of(TEAM, entries)))
    assert all(granted is is_home for granted, is_home in shares)


@given(
    st.lists(
        st.tuples(
            st.sampled_from('abcde'),
            st.floats(0, 3),
            st.integers(0, 5000),
            st.booleans(),
        ),
        max_size=60,
    )
)
def test_sum_of_what_entries_hold_never_passes_the_pool(
    steps: list[tuple[str, float, int, bool]],
) -> None:
    home = ShareHome('e', 0)
    lease_by_entry: dict[str, tuple[float, float]] = {}
    now_ms = float(START_MS)
    for entry, wanted, pause_ms, is_lost in steps:
        now_ms += pause_ms
        lease_by_entry = {
            holder: lease
            for holder, lease in lease_by_entry.items()
            if lease[1] > now_ms
        }
        held, _ = lease_by_entry.get(entry, (0, 0))
        share = _ask(home, entry, wanted, held, now_ms)
        if not is_lost:
            lease_by_entry[entry] = (share, now_ms + SHARE_LEASE_MS)
        held_by_all = sum(share for share, _ in lease_by_entry.values())
        assert held_by_all <= POOL_SHARE + 1e-9
