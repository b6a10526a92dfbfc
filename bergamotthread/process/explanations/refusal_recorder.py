"""Gives each refusal the id that explains it, and records it."""

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

    def stamp(self, refusal: Refusal) -> Refusal:
        """Record a refusal and return it with the id that explains it."""
        unnamed = msgspec.structs.replace(refusal, request_id='')
        stamped = self._explanations.record(unnamed)
        self._metrics.count_refusal(stamped.reason)
        logging.info(
            'refused %s: %s',
            stamped.reason,
            stamped.detail,
            extra={
                'request_id': stamped.request_id,
                'step': str(stamped.step),
                'peer': stamped.peer,
            },
        )
        return stamped
