import pytest

from bergamotthread.process.routing.subset import SubsetSizes, select_upstreams
from bergamotthread.process.settings import PlaceSettings

SIZES = SubsetSizes(entries_per_upstream=2, upstreams_per_entry=8)


def _places(net: int, regions: int, per_region: int) -> list[PlaceSettings]:
    return [
        PlaceSettings(
            f'10.{net}.{region}.{number}:1',
            f'r{region}',
            f'd{region}{number % 3}',
        )
        for region in range(regions)
        for number in range(per_region)
    ]


def test_all_entries_of_a_small_region_use_all_upstreams() -> None:
    entries = _places(1, 1, 2)
    upstreams = _places(2, 1, 7)
    agents = tuple(sorted(place.address for place in upstreams))
    for entry in entries:
        assert select_upstreams(entry, entries, upstreams, SIZES) == agents


def test_upstreams_of_the_own_region_are_preferred() -> None:
    entries = _places(1, 3, 8)
    upstreams = _places(2, 3, 40)
    for entry in entries:
        prefix = f'10.2.{entry.region[1:]}.'
        chosen = select_upstreams(entry, entries, upstreams, SIZES)
        assert all(agent.startswith(prefix) for agent in chosen)


def test_every_upstream_is_selected_by_enough_entries() -> None:
    entries = _places(1, 2, 10)
    upstreams = _places(2, 2, 60)
    count_by_agent = dict.fromkeys(
        (upstream.address for upstream in upstreams), 0
    )
    for entry in entries:
        for agent in select_upstreams(entry, entries, upstreams, SIZES):
            count_by_agent[agent] += 1
    assert min(count_by_agent.values()) >= SIZES.entries_per_upstream


@pytest.mark.parametrize('domains', [1, 2, 3])
def test_subset_spans_two_failure_domains(domains: int) -> None:
    entries = _places(1, 1, 6)
    local = [
        PlaceSettings(f'10.2.0.{number}:1', 'r0', f'd{number % domains}')
        for number in range(50)
    ]
    remote = [PlaceSettings('10.3.0.1:1', 'r9', 'd9')]
    for entry in entries:
        chosen = set(select_upstreams(entry, entries, local + remote, SIZES))
        seen = {
            place.failure_domain
            for place in local + remote
            if place.address in chosen
        }
        assert len(seen) >= 2
        assert (remote[0].address in chosen) is (domains == 1)


def test_subset_is_independent_of_argument_order_and_listed_own() -> None:
    entries = _places(1, 1, 9)
    upstreams = _places(2, 1, 50)
    own = entries[3]
    others = [entry for entry in entries if entry is not own]
    expected = select_upstreams(own, entries, upstreams, SIZES)
    assert expected == select_upstreams(
        own, others[::-1], upstreams[::-1], SIZES
    )


def test_region_without_the_model_uses_other_regions() -> None:
    own = PlaceSettings('10.1.9.1:1', 'r9', 'd9')
    chosen = select_upstreams(own, [own], _places(2, 2, 20), SIZES)
    assert len(chosen) == SIZES.upstreams_per_entry // 2
    assert select_upstreams(own, [own], [], SIZES) == ()
