"""Standby upstreams that keep the prefix of long generations warm."""

from __future__ import annotations

from dataclasses import replace

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.process.generations.generation_driver import make_dispatch
from bergamotthread.process.routing.placement import Placement
from bergamotthread.request.generation import AttemptPlace
from bergamotthread.request.live_generation import LiveGeneration
from bergamotthread.request.refusal import RefusedError
from bergamotthread.version.objects import ResumeMode

REWARM_TOKENS = 1024


class Standbys:
    """Keeps a warm standby for generations whose policy requires one.

    The standby is chosen in another failure domain than that of the current
    attempt, if one is left. Its prefix cache is warmed again every
    `REWARM_TOKENS`, so that a resume has little to prefill. Attempts that only
    warm it have negative numbers.
    """

    def __init__(
        self,
        transport: Transport,
        placement: Placement,
        clock: Clock,
    ) -> None:
        self.warmed = 0
        self._transport = transport
        self._placement = placement
        self._clock = clock

    def progressed(self, live: LiveGeneration) -> None:
        """Warm a standby if the policy and the progress require it."""
        policy = live.policy
        if policy.mode is not ResumeMode.WARM_STANDBY:
            return
        context_tokens = (
            live.placement_request.prompt_tokens + live.generation.offset
        )
        if context_tokens < policy.standby_after_tokens:
            return
        if (
            not live.standby
            or context_tokens - live.warmed_offset >= REWARM_TOKENS
        ):
            self._warm(live, context_tokens)

    def _warm(self, live: LiveGeneration, context_tokens: int) -> None:
        current = live.generation.place.agent
        live.warmed_offset = context_tokens
        request = replace(
            live.placement_request,
            accepted_tokens=live.generation.offset,
            excluded=live.excluded | {current},
            avoid_domain_of=current,
        )
        try:
            standby = live.standby or self._placement.choose(request)
        except RefusedError:
            return
        live.standby = standby
        self.warmed += 1
        live.warm_attempts += 1
        place = AttemptPlace(-live.warm_attempts, standby)
        now_ms = self._clock.now_ms()
        dispatch = make_dispatch(live, place, now_ms, warm_only=True)
        self._transport.send(standby, dispatch)
