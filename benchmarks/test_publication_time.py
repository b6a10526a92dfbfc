"""Bounds on publication, from the targets, in virtual time."""

from __future__ import annotations

import pytest

from benchmarks.publication_time import Link, measure
from benchmarks.version_size import (
    CHANGES_PER_DAY,
    MS_PER_S,
    S_PER_DAY,
    change_one_team,
    make_publication,
    make_set,
    processor_ms,
)
from bergamotthread.version.published import PublishedVersion
from bergamotthread.version.record import (
    Publication,
    VersionState,
    encode_record,
)

IN_FORCE_TARGET_MS = 5000
CONTROL_BYTES_PER_S = 16_384
CONTROL_CORE_SHARE = 0.015
STORE_READS_PER_S = 2000
CHANGE_BYTES = 1000


@pytest.mark.parametrize('delay_ms', [2, 80])
@pytest.mark.parametrize('loss', [0, 0.2])
def test_in_force_within_target(delay_ms: float, loss: float) -> None:
    """Versions are accepted within 5 s and no holder refuses meanwhile."""
    measured = measure(Link(delay_ms, loss), publications=4)
    assert max(measured.in_force_ms) <= IN_FORCE_TARGET_MS
    assert max(measured.accepted_ms) <= IN_FORCE_TARGET_MS
    assert measured.bytes_per_s <= CONTROL_BYTES_PER_S
    assert not measured.refused_share


def test_reads_leave_the_store_to_others() -> None:
    """Reads that renew all processes' leases use a tenth of the store's."""
    measured = measure(Link(2, 0, holders_per_region=8), publications=1)
    assert measured.reads_per_s <= STORE_READS_PER_S / 10


def test_changes_fit_the_control_budget() -> None:
    """10,000 changes a day take at most 1.5% of a core, and few bytes each."""
    state = VersionState(1, 'a' * 24, 'd' * 64, make_set())
    changed = change_one_team(state.object_set)
    publication = make_publication(state, changed)
    assert len(encode_record(publication)) <= CHANGE_BYTES
    cost_ms, _ = processor_ms(lambda: _adopt(state, publication))
    per_day_s = CHANGES_PER_DAY * cost_ms / MS_PER_S
    assert per_day_s <= CONTROL_CORE_SHARE * S_PER_DAY


def _adopt(state: VersionState, publication: Publication) -> int:
    after = state.apply(publication)
    return PublishedVersion.from_object_set(2, after.object_set).version
