"""Copy of a stream's KV cache at another upstream, renewed during the stream.

An upstream sends its growing KV cache to the copy holder that the request
names. If that holder is lost, the entry has the cache copied to another one,
and again every `RECOPY_INTERVAL_MS`, since holders drop a copy that is not
renewed. Where prompts wait, such a copy isn't renewed and is freed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bergamotthread.process.relay.choice import RelayPlacementRequest
from bergamotthread.process.relay.copy_room import gives_way
from bergamotthread.process.relay.upstreams import Upstream
from bergamotthread.request.relay.parts import RelayParts

# Interval between copies; holders drop a copy 4 s after its last part.
RECOPY_INTERVAL_MS = 2000
# Pause after a failed copy.
COPY_RETRY_MS = 500


@dataclass(frozen=True)
class KvCacheCopy:
    """Copy of a run's KV cache at another upstream.

    Parameters
    ----------
    holder
        Upstream that holds the copy.
    copy_id
        Identifier by which a request tells the holder to resume from the copy.
    """

    holder: Upstream
    copy_id: str


class CopyManager:
    """Maintains one usable copy of the KV cache of one run."""

    def __init__(
        self,
        parts: RelayParts,
        request_label: str,
        prompt_tokens: int = 0,
    ) -> None:
        self._parts = parts
        self._label = request_label
        self._prompt_tokens = prompt_tokens
        self._counted_holder: Upstream | None = None
        self._copy: KvCacheCopy | None = None
        self._upstream: Upstream | None = None
        self._task: asyncio.Task[None] | None = None
        self._next_copy_ms: float = 0
        self._is_sent_by_upstream = False

    def start_attempt(
        self, upstream: Upstream, copy_target: Upstream | None
    ) -> None:
        """Start an attempt, whose upstream copies to `copy_target`."""
        self.cancel()
        self._upstream = upstream
        self._copy = None
        self._is_sent_by_upstream = True
        self._count_at(copy_target)
        if copy_target is not None:
            copy_id = f'{copy_target.address}/{self._label}'
            self._copy = KvCacheCopy(copy_target, copy_id)

    def renew(self, make_request: Callable[[], RelayPlacementRequest]) -> None:
        """Replace or renew the copy if needed; called as events arrive.

        Parameters
        ----------
        make_request
            Returns what the run requires of a holder; called only if a copy is
            due.
        """
        now_ms = self._parts.clock.now_ms()
        if self._task is not None or now_ms < self._next_copy_ms:
            return
        is_unusable = self._copy is None or self._must_replace(self._copy)
        if self._is_sent_by_upstream and not is_unusable:
            return
        source = self._upstream
        if source is None or self._parts.directory.is_paused(source):
            return
        if self._give_way(source):
            return
        target = self._choose_holder(make_request())
        if target is not None:
            self._task = asyncio.create_task(
                self._copy_to(source, target),
            )

    def pop(self) -> KvCacheCopy | None:
        """Remove and return the usable copy, or None if there is none."""
        self.cancel()
        self._count_at(None)
        copy = self._copy
        self._copy = None
        if copy is None:
            return None
        reason = self._unusable_reason(copy)
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

    def discard(self) -> None:
        """Discard the record of the copy, without a call to its holder."""
        self.cancel()
        self._count_at(None)
        self._copy = None

    async def release(self) -> None:
        """Free a copy that the entry had made and that is no longer needed.

        Memory held by a copy is charged by duration.
        """
        copy = self._copy
        self.discard()
        if (
            copy is not None
            and not self._is_sent_by_upstream
            and self._upstream
        ):
            await self._parts.kv_cache.drop(self._upstream, copy.copy_id)

    def cancel(self) -> None:
        """Cancel a copy that is under way."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _count_at(self, holder: Upstream | None) -> None:
        """Count the prompt at `holder` instead of the former holder."""
        if self._counted_holder is not None:
            self._counted_holder.held_tokens -= self._prompt_tokens
        if holder is not None:
            holder.held_tokens += self._prompt_tokens
        self._counted_holder = holder

    def _give_way(self, source: Upstream) -> bool:
        """Free a copy at a holder where prompts wait; return whether it is.

        Only the entry's own copies can be: one that the upstream sends lasts
        while the run goes on.
        """
        copy = self._copy
        if copy is None or self._is_sent_by_upstream:
            return False
        since_ms = self._parts.clock.now_ms() - RECOPY_INTERVAL_MS
        if not gives_way(copy.holder, since_ms):
            return False
        self._parts.log.write(
            'copy-gives-way',
            request=self._label,
            holder=copy.holder.record.instance,
        )
        self._count_at(None)
        self._copy = None
        self._task = asyncio.create_task(self._free(source, copy))
        return True

    async def _free(self, source: Upstream, copy: KvCacheCopy) -> None:
        await self._parts.kv_cache.drop(source, copy.copy_id)
        self._task = None

    def _must_replace(self, copy: KvCacheCopy) -> bool:
        """Return whether another copy is worth its transfer.

        All streams with a copy at a paused holder would be copied at once, so
        a pause that ends before a renewal would be due is waited for.
        """
        if self._loss_reason(copy):
            return True
        soon_ms = self._parts.clock.now_ms() + RECOPY_INTERVAL_MS
        return self._parts.directory.is_held_past(copy.holder, soon_ms)

    def _unusable_reason(self, copy: KvCacheCopy) -> str:
        """Return why a copy can't be used; empty if it is usable."""
        if self._parts.directory.is_held(copy.holder):
            return 'its holder takes no request now'
        return self._loss_reason(copy)

    def _loss_reason(self, copy: KvCacheCopy) -> str:
        directory = self._parts.directory
        if directory.get(copy.holder.record.instance) is not copy.holder:
            return 'its holder has gone'
        if directory.is_lost(copy.holder):
            return 'its holder is lost'
        if not copy.holder.accepts_requests:
            return 'its holder is leaving'
        return ''

    def _choose_holder(self, request: RelayPlacementRequest) -> Upstream | None:
        """Return the current holder, or a new one if the copy is unusable."""
        copy = self._copy
        if copy is not None and not self._unusable_reason(copy):
            return copy.holder
        if self._upstream is None:
            return None
        domain = self._upstream.record.failure_domain
        return self._parts.choice.choose_copy_holder(request, domain)

    async def _copy_to(self, upstream: Upstream, target: Upstream) -> None:
        copy_id = await self._parts.kv_cache.copy(upstream, self._label, target)
        self._task = None
        pause_ms = RECOPY_INTERVAL_MS if copy_id else COPY_RETRY_MS
        self._next_copy_ms = self._parts.clock.now_ms() + pause_ms
        if copy_id:
            self._count_at(target)
            self._copy = KvCacheCopy(target, copy_id)
            self._is_sent_by_upstream = False
        self._parts.log.write(
            'memory-copied',
            request=self._label,
            upstream=upstream.record.instance,
            holder=target.record.instance,
            done=bool(copy_id),
        )
