"""Copy of a stream's KV cache at another upstream, renewed during the stream.

An upstream sends its growing KV cache to the copy holder that the request
names. If that holder is lost, the entry has the cache copied to another one,
and again every `RECOPY_MS`, since holders drop a copy that is not renewed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bergamotthread.process.relay.choice import Work
from bergamotthread.process.relay.upstreams import Upstream
from bergamotthread.request.relay.parts import RelayParts

# Interval between copies; holders drop a copy 4 s after its last part.
RECOPY_MS = 2000
# Pause after a failed copy.
COPY_RETRY_MS = 500


@dataclass(frozen=True)
class MemoryCopy:
    """Copy of a run's KV cache at another upstream.

    Parameters
    ----------
    holder
        Upstream that holds the copy.
    source
        Identifier by which a request tells the holder to resume from the copy.
    """

    holder: Upstream
    source: str


class CopyKeeper:
    """Maintains one usable copy of the KV cache of one run."""

    def __init__(
        self,
        parts: RelayParts,
        request_label: str,
        tokens: int = 0,
    ) -> None:
        self._parts = parts
        self._label = request_label
        self._tokens = tokens
        self._counted: Upstream | None = None
        self._copy: MemoryCopy | None = None
        self._upstream: Upstream | None = None
        self._task: asyncio.Task[None] | None = None
        self._due_ms: float = 0
        self._is_streamed = False

    def begin(self, upstream: Upstream, target: Upstream | None) -> None:
        """Start an attempt, whose upstream sends a copy to `target`."""
        self.stop()
        self._upstream = upstream
        self._copy = None
        self._is_streamed = True
        self._count(target)
        if target is not None:
            source = f'{target.address}/{self._label}'
            self._copy = MemoryCopy(target, source)

    def keep(self, work: Callable[[], Work]) -> None:
        """Replace or renew the copy if needed; called as events arrive.

        Parameters
        ----------
        work
            Returns what the run requires of a holder; called only if a copy is
            due.
        """
        now_ms = self._parts.clock.now_ms()
        if self._task is not None or now_ms < self._due_ms:
            return
        is_unusable = self._copy is None or bool(self._fault(self._copy))
        if self._is_streamed and not is_unusable:
            return
        target = self._target(work())
        if target is not None and self._upstream is not None:
            self._task = asyncio.create_task(
                self._renew(self._upstream, target),
            )

    def take(self) -> MemoryCopy | None:
        """Remove and return the usable copy, or None if there is none."""
        self.stop()
        self._count(None)
        copy = self._copy
        self._copy = None
        if copy is None:
            return None
        reason = self._fault(copy)
        if not reason:
            return copy
        self._parts.log.write(
            'copy-unusable',
            request=self._label,
            holder=copy.holder.record.instance,
            domain=copy.holder.record.failure_domain,
            reason=reason,
        )
        return None

    def drop(self) -> None:
        """Discard the record of the copy, without a call to its holder."""
        self.stop()
        self._count(None)
        self._copy = None

    async def free(self) -> None:
        """Free a copy that the entry had made and that is no longer needed.

        The memory of a copy is paid for by time.
        """
        copy = self._copy
        self.drop()
        if copy is not None and not self._is_streamed and self._upstream:
            await self._parts.memory.drop(self._upstream, copy.source)

    def stop(self) -> None:
        """Cancel a copy that is under way."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _count(self, holder: Upstream | None) -> None:
        """Count this run's tokens at `holder` instead of the former holder."""
        if self._counted is not None:
            self._counted.held_tokens -= self._tokens
        if holder is not None:
            holder.held_tokens += self._tokens
        self._counted = holder

    def _fault(self, copy: MemoryCopy) -> str:
        """Return why a copy can't be used; empty if it is usable."""
        directory = self._parts.directory
        if directory.get(copy.holder.record.instance) is not copy.holder:
            return 'its holder is no longer listed or was replaced'
        if directory.is_lost(copy.holder):
            return 'its holder is marked lost'
        return ''

    def _target(self, work: Work) -> Upstream | None:
        """Return the current holder, or a new one if the copy is unusable."""
        copy = self._copy
        if copy is not None and not self._fault(copy):
            return copy.holder
        if self._upstream is None:
            return None
        domain = self._upstream.record.failure_domain
        return self._parts.choice.choose_elsewhere(work, domain)

    async def _renew(self, upstream: Upstream, target: Upstream) -> None:
        source = await self._parts.memory.copy(upstream, self._label, target)
        self._task = None
        pause_ms = RECOPY_MS if source else COPY_RETRY_MS
        self._due_ms = self._parts.clock.now_ms() + pause_ms
        if source:
            self._count(target)
            self._copy = MemoryCopy(target, source)
            self._is_streamed = False
        self._parts.log.write(
            'memory-copied',
            request=self._label,
            upstream=upstream.record.instance,
            holder=target.record.instance,
            done=bool(source),
        )
