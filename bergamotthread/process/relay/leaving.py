"""Incarnations of upstreams that said that they are leaving.

What an upstream says of itself holds until its process ends. The record
outlives its row, which may lapse and return, or come back as it was before.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# Incarnations that are remembered, the newest of each instance.
LEAVING_KEPT_MAX = 4096


@dataclass
class LeavingIncarnations:
    """Remembers up to `LEAVING_KEPT_MAX` incarnations that are leaving."""

    _started_ms_by_instance: dict[str, int] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._started_ms_by_instance)

    def add(self, instance: str, started_ms: int) -> bool:
        """Add an incarnation; return whether it was not known to leave.

        Parameters
        ----------
        started_ms
            Calendar time of its start; 0 if unknown.
        """
        if self.includes(instance, started_ms):
            return False
        by_instance = self._started_ms_by_instance
        by_instance.pop(instance, None)
        by_instance[instance] = started_ms
        if len(by_instance) > LEAVING_KEPT_MAX:
            by_instance.pop(next(iter(by_instance)))
        return True

    def includes(self, instance: str, started_ms: int) -> bool:
        """Return whether an incarnation, or a later one, said so."""
        leaving_ms = self._started_ms_by_instance.get(instance)
        return leaving_ms is not None and started_ms <= leaving_ms
