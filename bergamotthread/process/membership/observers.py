"""Observers of an entry's generations, which take no part in decisions."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.process.entry_metrics import EntryMetrics
from bergamotthread.process.explanations.decision_trace import DecisionTrace
from bergamotthread.process.routing.pin_demand import PinDemand


@dataclass(frozen=True)
class Observers:
    """Metrics, demand for pins, and the decision trace."""

    metrics: EntryMetrics
    demand: PinDemand
    trace: DecisionTrace

    @classmethod
    def from_clock(cls, clock: Clock) -> Observers:
        """Return observers that record nothing outside the process."""
        return cls(
            EntryMetrics(clock),
            PinDemand(clock),
            DecisionTrace(clock),
        )
