"""Metrics of recorded and lost refusals."""

from __future__ import annotations

from bergamotthread.process.explanations.explanations import Explanations
from bergamotthread.process.metrics import Metrics


def add_explanation_metrics(
    metrics: Metrics,
    explanations: Explanations,
) -> None:
    """Add the gauges of `explanations` to the metrics of the process."""
    counters = explanations.counters
    metrics.gauge(
        'explanations_kept',
        'Refusals that wait to be written.',
        lambda: explanations.kept_count,
    )
    metrics.gauge(
        'explanations_lost',
        'Refusals that were not kept since the start.',
        lambda: counters.lost,
    )
    metrics.gauge(
        'explanations_written',
        'Refusals written since the start.',
        lambda: counters.written,
    )
    metrics.gauge(
        'explanations_failed_writes',
        'Writes of batches that failed since the start.',
        lambda: counters.failed_writes,
    )
