"""KV caches of engines: copies of runs and cached prompts."""

from __future__ import annotations

from abc import ABC, abstractmethod

from bergamotthread.process.relay.upstreams import Upstream


class EngineKvCache(ABC):
    """Back end that queries and copies the KV caches of upstreams."""

    @abstractmethod
    async def copy(
        self,
        source: Upstream,
        request_id: str,
        target: Upstream,
    ) -> str:
        """Copy the KV cache of a running request.

        Returns
        -------
        str
            Identifier by which the target finds the copy when it resumes the
            run, as ``ADDRESS/NAME`` with the address of the source; empty if
            no copy was made.
        """

    @abstractmethod
    async def drop(self, source: Upstream, copy_id: str) -> None:
        """Free a copy that `copy` made, at the source and the target."""

    @abstractmethod
    async def cached_tokens(self, upstream: Upstream, part: bytes) -> int:
        """Return how many tokens of a prompt part are cached; 0 if none."""
