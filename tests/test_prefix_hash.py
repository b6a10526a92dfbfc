import pytest

from bergamotthread.process.routing.prefix_hash import (
    PREFIX_BLOCK_CHARS,
    PREFIX_BLOCK_TOKENS,
    PrefixView,
    block_hashes,
)

_BLOCK = 'x' * PREFIX_BLOCK_CHARS


def test_equal_prefixes_share_leading_hashes_only() -> None:
    hashes = block_hashes(f'{_BLOCK}{_BLOCK}a{_BLOCK}')
    other_hashes = block_hashes(f'{_BLOCK}{_BLOCK}b{_BLOCK}')
    assert hashes[:2] == other_hashes[:2]
    assert hashes[2] != other_hashes[2]
    assert len(set(hashes)) == 3


def test_hash_depends_on_the_pin_and_on_earlier_blocks() -> None:
    assert block_hashes(_BLOCK, 'm/1') != block_hashes(_BLOCK, 'm/2')
    assert (
        block_hashes(f'y{_BLOCK[1:]}{_BLOCK}')[1] != block_hashes(2 * _BLOCK)[1]
    )


@pytest.mark.parametrize(
    ('known', 'covered'),
    [((), 0), ((1,), 1), ((3,), 3), ((1, 3), 3), ((9,), 0)],
)
def test_missed_events_do_not_hide_a_longer_prefix(known, covered) -> None:
    view = PrefixView()
    view.record('a', known)
    assert view.covered_blocks('a', (1, 2, 3, 4)) == covered
    assert view.longest_prefix_agents((1, 2, 3, 4)) == (
        {'a'} if covered else set()
    )


def test_least_recently_used_hashes_are_evicted_first() -> None:
    view = PrefixView(hashes_max=3)
    view.record('a', (1, 2, 3))
    view.record('a', (1,))
    view.record('a', (4,))
    assert view.covered_blocks('a', (2,)) == 0
    assert view.covered_blocks('a', (1,)) == 1
    assert view.longest_prefix_agents((2,)) == set()


def test_removed_agent_has_no_cached_prefix() -> None:
    view = PrefixView()
    view.record('a', (1, 2))
    view.record('b', (1,))
    view.remove('a')
    assert view.covered_blocks('a', (1, 2)) == 0
    assert view.longest_prefix_agents((1, 2)) == {'b'}


def test_hashes_are_limited_to_what_the_engine_caches() -> None:
    view = PrefixView()
    view.limit_to_cache('a', 3 * PREFIX_BLOCK_TOKENS + 1)
    view.record('a', (1, 2, 3, 4))
    assert view.covered_blocks('a', (1,)) == 0
    assert view.covered_blocks('a', (2, 3, 4)) == 3
