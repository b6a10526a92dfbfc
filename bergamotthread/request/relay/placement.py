"""Choice of the upstream and of the copy holder for an attempt of a stream."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from bergamotthread.process.overload.rank import Rank
from bergamotthread.process.relay.choice import (
    LEAST_LOADED_UPSTREAMS,
    RelayPlacementRequest,
)
from bergamotthread.process.relay.distance import SAMPLED_CANDIDATES
from bergamotthread.process.relay.engine_forecast import EngineForecast
from bergamotthread.process.relay.stream_gate import (
    EngineView,
    StreamDemand,
    StreamRefused,
)
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
class Candidate:
    """Upstream that an attempt may use.

    Parameters
    ----------
    rank
        Position in the order in which the candidates were drawn.
    """

    upstream: Upstream
    rank: int
    cost_ms: float


@dataclass
class StreamPlacer:
    """Chooses the upstreams for the attempts of one stream.

    Parameters
    ----------
    rank
        Rank as which the stream competes, from its first placement on.
    """

    call: RelayedCall
    parts: RelayParts
    rank: Rank = field(init=False)
    _is_offered: bool = field(default=False, init=False)
    _is_settled: bool = field(default=False, init=False)
    _judged_tokens: int = field(default=0, init=False)

    def __post_init__(self) -> None:
        """Begin with the rank of the call."""
        self.rank = self.call.rank

    @property
    def may_copy(self) -> bool:
        """Return whether the service's engines can copy their KV cache."""
        engine = self.call.service.engine
        return engine is not None and engine.copies_memory

    def placement_request(
        self,
        excluded: frozenset[str],
        build: str | None = None,
        *,
        is_first: bool,
    ) -> RelayPlacementRequest:
        """Return what an attempt requires of an upstream.

        Parameters
        ----------
        excluded
            Instances that must not be chosen.
        build
            The only build that may be chosen; None if any may.
        is_first
            Whether no attempt of this call was sent yet.
        """
        call = self.call
        service = call.service.name
        request = RelayPlacementRequest(
            service,
            prompt_tokens=call.prompt_tokens,
            excluded=excluded,
            affinity=call.affinity,
            is_reconnect=is_first and call.resume_after is not None,
            build=build,
            target_ms=call.route.first_event_target_ms if is_first else 0,
            output_tokens=self.parts.directory.expected_output(
                call.service.name,
                call.output_tokens_hint,
                call.output_tokens_max,
            ),
        )
        plan = self.parts.rollouts.plan(service, build)
        return self.parts.choice.planned(request, plan)

    def place_at_copy(
        self, copy: KvCacheCopy, request: RelayPlacementRequest
    ) -> AttemptPlacement:
        """Place an attempt at the holder of a copy."""
        domain = copy.holder.record.failure_domain
        copy_target = self.parts.choice.choose_copy_holder(request, domain)
        return AttemptPlacement(copy.holder, copy, copy_target)

    async def place(
        self, request: RelayPlacementRequest, *, in_time: bool = False
    ) -> AttemptPlacement | StreamRefused | None:
        """Place an attempt that resumes from no copy.

        Parameters
        ----------
        in_time
            Whether to refuse a stream whose first event would be too late.

        Returns
        -------
        AttemptPlacement or StreamRefused or None
            None if no upstream is available now.
        """
        candidates = self.parts.choice.draw_candidates(request)
        if not candidates:
            return None
        caching = await self._caching_candidates(candidates, request)
        usable = caching or await self._alive_candidates(candidates)
        if not usable:
            # No candidate answered its probe, so all are marked lost now, or
            # it said that it leaves. If the attempt fails as well or is not
            # sent, the next one is placed at others.
            return AttemptPlacement(candidates[0])
        if in_time:
            return await self._decide(usable, request)
        request = self.with_precedence(usable[0], request)
        ranked = self._rank(usable, request)
        return self._make_placement(ranked[0], ranked, request)

    def settle(self, *, is_admitted: bool) -> None:
        """Count a new stream as admitted or refused, at most once.

        A stream may be placed several times before it is sent or refused, as
        at a former build, or without room.
        """
        if self._is_settled or not self._is_offered:
            return
        self._is_settled = True
        own = self.call.rank
        self.parts.metrics.record_admission(own, admitted=is_admitted)
        if is_admitted:
            demand = replace(self._demand(), rank=self.rank)
            self.parts.stream_gate.record_admitted(
                demand, own, self.call.prompt_tokens
            )

    def forecast(
        self, upstream: Upstream, request: RelayPlacementRequest
    ) -> EngineForecast:
        """Return the forecast of the stream at an upstream."""
        request = self.with_precedence(upstream, request)
        return self.parts.choice.forecast(upstream, request)

    def with_precedence(
        self, upstream: Upstream, request: RelayPlacementRequest
    ) -> RelayPlacementRequest:
        """Return a request whose forecasts heed the ranks of others."""
        if not self.rank.matters:
            return request
        choice = self.parts.choice
        precedence = self.parts.stream_gate.precedence(
            request.service,
            self.rank,
            choice.count_engines(request),
            choice.forecast(upstream, request).occupancy_ms,
        )
        return replace(request, precedence=precedence)

    async def _decide(
        self, usable: list[Upstream], request: RelayPlacementRequest
    ) -> AttemptPlacement | StreamRefused:
        """Return the placement of a new stream, or its refusal.

        The first candidates may be the only engines with a backlog. All entries
        whose first candidates have one ask the least loaded upstreams.
        """
        gate = self.parts.stream_gate
        demand = self._demand()
        # A stream that is placed again, as without room, was offered before.
        is_again = self._is_offered
        if not is_again:
            self._is_offered = True
            self.rank = gate.offer(demand)
            self._judged_tokens = gate.judged_tokens(demand)
        demand = replace(
            demand, rank=self.rank, prompt_tokens=self._judged_tokens
        )
        request = self.with_precedence(usable[0], request)
        ranked = self._rank(usable, request)
        chosen = ranked[0]
        view = self._view(chosen.upstream, request)
        refused = gate.check(demand, view)
        if refused is not None or gate.preempts(demand, view):
            others = self.parts.choice.draw_least_loaded(request)
            alive = await self._alive_candidates(others)
            ranked = self._rank(alive, request) or ranked
            views = [self._view(one.upstream, request) for one in ranked]
            drawn = gate.draw(demand, views)
            if isinstance(drawn, StreamRefused):
                gate.check_team(demand, views[0], is_again=is_again)
                return drawn
            chosen = ranked[drawn]
            view = views[drawn]
        team_refused = gate.check_team(demand, view, is_again=is_again)
        if team_refused is not None:
            return team_refused
        return self._make_placement(chosen, ranked, request)

    def _demand(self) -> StreamDemand:
        call = self.call
        return StreamDemand(
            call.service.name,
            call.route.name,
            call.team,
            target_ms=call.route.first_event_target_ms,
            received_ms=call.request.received_ms,
            time_limit_ms=call.time_limit_ms,
            rank=call.rank,
            prompt_tokens=call.prompt_tokens,
        )

    def _view(
        self, upstream: Upstream, request: RelayPlacementRequest
    ) -> EngineView:
        choice = self.parts.choice
        shared = replace(request, plan=request.plan.for_capacity())
        engines = max(choice.count_engines(shared), 1)
        return EngineView(
            choice.forecast(upstream, request),
            report_age_ms=max(self._report_age_ms(upstream), 0),
            engines=engines,
            draw_fraction=min(SAMPLED_CANDIDATES / engines, 1),
            least_loaded_count=min(LEAST_LOADED_UPSTREAMS, engines),
        )

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
        return _accepting(
            upstream
            for upstream, tokens in zip(candidates, cached_tokens, strict=True)
            if tokens
        )

    async def _alive_candidates(
        self, candidates: list[Upstream]
    ) -> list[Upstream]:
        are_alive = await asyncio.gather(
            *(
                self.parts.liveness.refresh_report(upstream)
                for upstream in candidates
            ),
        )
        return _accepting(
            upstream
            for upstream, is_alive in zip(candidates, are_alive, strict=True)
            if is_alive
        )

    def _rank(
        self, alive: list[Upstream], request: RelayPlacementRequest
    ) -> list[Candidate]:
        """Return candidates in the order of their costs."""
        choice = self.parts.choice
        candidates = [
            Candidate(
                upstream,
                rank,
                choice.cost_ms(upstream, request)
                + choice.affinity_cost_ms(upstream, rank, request),
            )
            for rank, upstream in enumerate(alive)
        ]
        return sorted(candidates, key=_cost_ms)

    def _make_placement(
        self,
        chosen: Candidate,
        ranked: list[Candidate],
        request: RelayPlacementRequest,
    ) -> AttemptPlacement:
        """Return an attempt at a candidate, with a holder for its copy."""
        choice = self.parts.choice
        upstream = chosen.upstream
        domain = upstream.record.failure_domain
        copy_target = None
        if self.may_copy:
            others = [one.upstream for one in ranked if one is not chosen]
            copy_target = self._copy_holder(upstream, others, request)
        self.parts.log.write(
            'placed',
            request=self.call.request_label,
            upstream=upstream.record.instance,
            domain=domain,
            build=upstream.record.build,
            holder=copy_target.record.instance if copy_target else '',
            rank=chosen.rank,
            candidates=len(ranked),
            cost_ms=round(chosen.cost_ms),
            saved_ms=round(
                -choice.affinity_cost_ms(upstream, chosen.rank, request)
            ),
            expected_ms=round(
                choice.forecast(upstream, request).first_event_ms
            ),
            report_age_ms=round(self._report_age_ms(upstream)),
            is_return=request.is_reconnect,
            urgency=self.rank.urgency,
            is_promoted=self.rank != self.call.rank,
            prompt_tokens=request.prompt_tokens,
            judged_tokens=self._judged_tokens,
            time_limit_ms=round(self.call.time_limit_ms),
        )
        return AttemptPlacement(upstream, copy_target=copy_target)

    def _copy_holder(
        self,
        upstream: Upstream,
        others: list[Upstream],
        request: RelayPlacementRequest,
    ) -> Upstream | None:
        """Return a holder of the same build for the copy of an attempt."""
        choice = self.parts.choice
        domain = upstream.record.failure_domain
        build = upstream.record.build
        same_build = [one for one in others if one.record.build == build]
        other_domains = [
            one for one in same_build if one.record.failure_domain != domain
        ]
        if same_build:
            return choice.copy_holder_among(
                other_domains or same_build, request.prompt_tokens
            )
        return choice.choose_copy_holder(replace(request, build=build), domain)

    def _report_age_ms(self, upstream: Upstream) -> float:
        if upstream.report is None:
            return -1
        return self.parts.clock.now_ms() - upstream.report.at_ms


def _accepting(upstreams: Iterable[Upstream]) -> list[Upstream]:
    """Return the upstreams that did not say meanwhile that they leave."""
    return [upstream for upstream in upstreams if upstream.accepts_requests]


def _cost_ms(candidate: Candidate) -> float:
    return candidate.cost_ms
