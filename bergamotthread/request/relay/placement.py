"""Choice of the upstream and of the copy holder for an attempt of a stream."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from bergamotthread.process.relay.choice import RelayPlacementRequest
from bergamotthread.process.relay.upstreams import Upstream
from bergamotthread.request.relay.call import RelayedCall
from bergamotthread.request.relay.copies import KvCacheCopy
from bergamotthread.request.relay.parts import RelayParts


@dataclass(frozen=True)
class AttemptPlacement:
    """Upstream of an attempt, with its copies of the KV cache.

    Parameters
    ----------
    copy
        Copy from which the attempt resumes, held by `upstream`.
    copy_target
        Upstream to which the KV cache of the attempt is copied.
    """

    upstream: Upstream
    copy: KvCacheCopy | None = None
    copy_target: Upstream | None = None


@dataclass(frozen=True)
class StreamPlacer:
    """Chooses the upstreams for the attempts of one stream."""

    call: RelayedCall
    parts: RelayParts

    @property
    def may_copy(self) -> bool:
        """Return whether the service's engines can copy their KV cache."""
        engine = self.call.service.engine
        return engine is not None and engine.copies_memory

    def placement_request(
        self, excluded: frozenset[str], *, is_first: bool
    ) -> RelayPlacementRequest:
        """Return what an attempt requires of an upstream.

        Parameters
        ----------
        excluded
            Instances that must not be chosen.
        is_first
            Whether no attempt of this call was sent yet.
        """
        call = self.call
        return RelayPlacementRequest(
            call.service.name,
            prompt_tokens=call.prompt_tokens,
            excluded=excluded,
            affinity=call.affinity,
            is_reconnect=is_first and call.resume_after is not None,
        )

    def place_at_copy(
        self, copy: KvCacheCopy, request: RelayPlacementRequest
    ) -> AttemptPlacement:
        """Place an attempt at the holder of a copy."""
        domain = copy.holder.record.failure_domain
        copy_target = self.parts.choice.choose_copy_holder(request, domain)
        return AttemptPlacement(copy.holder, copy, copy_target)

    async def place(
        self, request: RelayPlacementRequest
    ) -> AttemptPlacement | None:
        """Place an attempt that resumes from no copy.

        Returns
        -------
        AttemptPlacement or None
            None if no upstream is available now.
        """
        candidates = self.parts.choice.draw_candidates(request)
        if not candidates:
            return None
        caching = await self._caching_candidates(candidates, request)
        usable = caching or await self._alive_candidates(candidates)
        if not usable:
            # No candidate answered its probe, so all are marked lost now. If
            # the attempt fails as well, the next one is placed at others.
            return AttemptPlacement(candidates[0])
        return self._cheapest(usable, request)

    async def _caching_candidates(
        self,
        candidates: list[Upstream],
        request: RelayPlacementRequest,
    ) -> list[Upstream]:
        """Return candidates that cache the prompt of a reconnecting caller.

        The stream was cut at another entry, and only that entry knew which
        upstream ran it.
        """
        if not request.is_reconnect or not request.affinity:
            return []
        cached_tokens = await asyncio.gather(
            *(
                self.parts.kv_cache.cached_tokens(upstream, request.affinity)
                for upstream in candidates
            ),
        )
        self.parts.log.write(
            'cache-found',
            request=self.call.request_label,
            tokens=max(cached_tokens),
            candidates=len(candidates),
        )
        return [
            upstream
            for upstream, tokens in zip(candidates, cached_tokens, strict=True)
            if tokens
        ]

    async def _alive_candidates(
        self, candidates: list[Upstream]
    ) -> list[Upstream]:
        are_alive = await asyncio.gather(
            *(
                self.parts.liveness.refresh_report(upstream)
                for upstream in candidates
            ),
        )
        return [
            upstream
            for upstream, is_alive in zip(candidates, are_alive, strict=True)
            if is_alive
        ]

    def _cheapest(
        self, alive: list[Upstream], request: RelayPlacementRequest
    ) -> AttemptPlacement:
        choice = self.parts.choice
        costs = {
            upstream.record.instance: choice.cost_ms(upstream, request)
            + choice.rank_cost_ms(rank, request)
            for rank, upstream in enumerate(alive)
        }
        ranked = sorted(
            alive,
            key=lambda upstream: costs[upstream.record.instance],
        )
        chosen = ranked[0]
        domain = chosen.record.failure_domain
        other_domains = [
            upstream
            for upstream in ranked
            if upstream.record.failure_domain != domain
        ]
        copy_target = choice.copy_holder_among(other_domains or ranked[1:])
        if not self.may_copy:
            copy_target = None
        self.parts.log.write(
            'placed',
            request=self.call.request_label,
            upstream=chosen.record.instance,
            domain=domain,
            holder=copy_target.record.instance if copy_target else '',
            rank=alive.index(chosen),
            candidates=len(alive),
            cost_ms=round(costs[chosen.record.instance]),
            report_age_ms=round(self._report_age_ms(chosen)),
            is_return=request.is_reconnect,
            prompt_tokens=request.prompt_tokens,
        )
        return AttemptPlacement(chosen, copy_target=copy_target)

    def _report_age_ms(self, upstream: Upstream) -> float:
        if upstream.report is None:
            return -1
        return self.parts.clock.now_ms() - upstream.report.at_ms
