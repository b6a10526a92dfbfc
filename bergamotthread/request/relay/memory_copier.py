"""What copies the memory of a run to another upstream."""

from __future__ import annotations

from abc import ABC, abstractmethod

from bergamotthread.process.relay.upstreams import Upstream


class MemoryCopier(ABC):
    """Back end that copies memory between upstreams."""

    @abstractmethod
    async def copy(
        self,
        source: Upstream,
        request_id: str,
        target: Upstream,
    ) -> str:
        """Copy a run's memory while it goes on.

        Returns
        -------
        str
            What names the copy to the upstream that goes on from it; empty if
            there is none.
        """

    @abstractmethod
    async def drop(self, source: Upstream, name: str) -> None:
        """Free a copy that `copy` named, at both ends."""
