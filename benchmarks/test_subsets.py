"""Bounds of docs/design/subsets.md for the product's subset selection."""

from __future__ import annotations

from benchmarks.subsets import (
    MODELS,
    by_upstream,
    make_places,
    measure,
)

MAX_LOAD_OVER_MEAN = 1.5
MAX_CHURN = 3


def test_load_and_churn_at_full_size() -> None:
    """All upstreams are used, load is balanced and churn stays bounded."""
    entries = make_places('1', 320)
    upstreams = make_places('2', 12_000 // MODELS)
    figures = measure(by_upstream, 'by upstream', entries, upstreams)
    assert figures.unused_upstreams == 0
    assert figures.max_load <= MAX_LOAD_OVER_MEAN
    assert figures.upstream_lost_churn <= MAX_CHURN
    assert figures.entry_lost_churn <= MAX_CHURN
    assert figures.entry_added_churn <= MAX_CHURN
