"""Choice of the upstream and of the copy holder for an attempt of a stream."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from bergamotthread.process.relay.choice import Work
from bergamotthread.process.relay.upstreams import Upstream
from bergamotthread.request.relay.call import RelayedCall
from bergamotthread.request.relay.copies import MemoryCopy
from bergamotthread.request.relay.parts import RelayParts


@dataclass(frozen=True)
class Placement:
    """Upstream of an attempt, with its copies of the KV cache.

    Parameters
    ----------
    copy
        Copy from which the attempt resumes, held by `upstream`.
    target
        Upstream to which the KV cache of the attempt is copied.
    """

    upstream: Upstream
    copy: MemoryCopy | None = None
    target: Upstream | None = None


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

    def work(self, excluded: frozenset[str], *, is_first: bool) -> Work:
        """Return what an attempt requires of an upstream.

        Parameters
        ----------
        excluded
            Instances that must not be chosen.
        is_first
            Whether no attempt of this call was sent yet.
        """
        call = self.call
        return Work(
            call.service.name,
            prompt_tokens=call.prompt_tokens,
            excluded=excluded,
            affinity=call.affinity,
            is_return=is_first and call.resume_after is not None,
        )

    def from_copy(self, copy: MemoryCopy, work: Work) -> Placement:
        """Place an attempt at the holder of a copy."""
        domain = copy.holder.record.failure_domain
        target = self.parts.choice.choose_elsewhere(work, domain)
        return Placement(copy.holder, copy, target)

    async def place(self, work: Work) -> Placement | None:
        """Place an attempt that resumes from no copy.

        Returns
        -------
        Placement or None
            None if no upstream is available now.
        """
        candidates = self.parts.choice.draw(work)
        if not candidates:
            return None
        cached = await self._with_cache(candidates, work)
        alive = cached or await self._alive(candidates)
        if not alive:
            return Placement(candidates[0])
        return self._cheapest(alive, work)

    async def _with_cache(
        self,
        candidates: list[Upstream],
        work: Work,
    ) -> list[Upstream]:
        """Return candidates that cache the prompt of a reconnecting caller.

        The stream was cut at another entry, and only that entry knew which
        upstream ran it.
        """
        if not work.is_return or not work.affinity:
            return []
        cached = await asyncio.gather(
            *(
                self.parts.memory.cached_tokens(upstream, work.affinity)
                for upstream in candidates
            ),
        )
        self.parts.log.write(
            'cache-found',
            request=self.call.label,
            tokens=max(cached),
            candidates=len(candidates),
        )
        return [
            upstream
            for upstream, tokens in zip(candidates, cached, strict=True)
            if tokens
        ]

    async def _alive(self, candidates: list[Upstream]) -> list[Upstream]:
        answers = await asyncio.gather(
            *(self.parts.liveness.refresh(upstream) for upstream in candidates),
        )
        return [
            upstream
            for upstream, is_alive in zip(candidates, answers, strict=True)
            if is_alive
        ]

    def _cheapest(self, alive: list[Upstream], work: Work) -> Placement:
        choice = self.parts.choice
        costs = {
            upstream.record.instance: choice.cost_ms(upstream, work)
            + choice.rank_ms(rank, work)
            for rank, upstream in enumerate(alive)
        }
        ranked = sorted(
            alive,
            key=lambda upstream: costs[upstream.record.instance],
        )
        chosen = ranked[0]
        domain = chosen.record.failure_domain
        elsewhere = [
            upstream
            for upstream in ranked
            if upstream.record.failure_domain != domain
        ]
        target = choice.holder_among(elsewhere or ranked[1:])
        if not self.may_copy:
            target = None
        self.parts.log.write(
            'placed',
            request=self.call.label,
            upstream=chosen.record.instance,
            domain=domain,
            holder=target.record.instance if target else '',
            rank=alive.index(chosen),
            candidates=len(alive),
            cost_ms=round(costs[chosen.record.instance]),
            report_age_ms=round(self._report_age_ms(chosen)),
            is_return=work.is_return,
            prompt_tokens=work.prompt_tokens,
        )
        return Placement(chosen, target=target)

    def _report_age_ms(self, upstream: Upstream) -> float:
        if upstream.report is None:
            return -1
        return self.parts.clock.now_ms() - upstream.report.at_ms
