"""The memory of engines: copies of runs, and prompts that are cached."""

from __future__ import annotations

from abc import ABC, abstractmethod

from bergamotthread.process.relay.upstreams import Upstream


class EngineMemory(ABC):
    """Back end that looks into and copies the memory of upstreams."""

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

    @abstractmethod
    async def cached_tokens(self, upstream: Upstream, part: bytes) -> int:
        """Return the tokens cached of one part of a prompt; 0 if none."""
