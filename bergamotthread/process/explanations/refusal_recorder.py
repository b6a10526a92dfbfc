"""Assigns request ids to refusals and records them."""

from __future__ import annotations

import msgspec
from absl import logging

from bergamotthread.process.entry_metrics import EntryMetrics
from bergamotthread.process.explanations.explanations import Explanations
from bergamotthread.request.refusal import Refusal


class RefusalRecorder:
    """Records refusals for `explain`, the metrics and the log."""

    def __init__(
        self,
        explanations: Explanations,
        metrics: EntryMetrics,
    ) -> None:
        self._explanations = explanations
        self._metrics = metrics

    def record_refusal(self, refusal: Refusal) -> Refusal:
        """Record a refusal and return it with its request id."""
        without_id = msgspec.structs.replace(refusal, request_id='')
        recorded = self._explanations.record(without_id)
        self._metrics.count_refusal(recorded.reason)
        logging.info(
            'refused %s: %s',
            recorded.reason,
            recorded.detail,
            extra={
                'request_id': recorded.request_id,
                'step': str(recorded.step),
                'peer': recorded.peer,
            },
        )
        return recorded
