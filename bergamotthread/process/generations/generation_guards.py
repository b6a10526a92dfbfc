"""Guards of each generation: overload, retry budgets and quarantine."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import msgspec

from bergamotthread.clock import Clock
from bergamotthread.process.generations.quarantine_refusal import (
    quarantine_refusal,
)
from bergamotthread.process.overload.overload import (
    Overloaded,
    OverloadGuard,
    overload_refusal,
)
from bergamotthread.process.overload.retry_budget import Denied, RetryBudget
from bergamotthread.process.poison.guard import (
    DEFAULT_DOMAIN_SIZE,
    PoisonGuard,
    QuarantineSink,
)
from bergamotthread.process.poison.verdicts import (
    Quarantined,
    Suspect,
    Undecided,
)
from bergamotthread.request.generation_refusal import generation_refusal
from bergamotthread.request.live_generation import LiveGeneration
from bergamotthread.request.refusal import (
    Ran,
    ReasonCode,
    Refusal,
    RefusedError,
)
from bergamotthread.version.objects import Team
from bergamotthread.version.published import PublishedVersion
from bergamotthread.wire.messages import Quarantine

DEATH_REPORT_WINDOW_MS = 1000
AGENT_SUSPICION_TIMEOUT_MS = 10_000


@dataclass(frozen=True)
class Proceed:
    """The next attempt may be sent, but not to `excluded_agents`.

    `is_suspect` is True if upstreams have died while running the request.
    """

    is_suspect: bool = False
    excluded_agents: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Wait:
    """The next attempt has to wait for `wait_ms`."""

    wait_ms: float


@dataclass
class _Suspicion:
    """Generations whose attempts were given up at a suspected agent."""

    failure_domain: str
    since_ms: float
    generations: set[str] = field(default_factory=set)


class _DiscardingSink(QuarantineSink):
    """Sink that discards quarantines."""

    def quarantined(self, notice: Quarantine) -> None:
        """Discard the notice."""


class GenerationGuards:
    """Guards of one entry, updated with the progress of its generations."""

    def __init__(
        self,
        clock: Clock,
        sink: QuarantineSink | None = None,
    ) -> None:
        self.poison = PoisonGuard(
            clock, sink or _DiscardingSink(), self._domain_size
        )
        self.retries = RetryBudget(clock)
        self.overload = OverloadGuard(clock, weight_of=self._weight_of)
        self._clock = clock
        self._death_ms_by_agent: dict[str, float] = {}
        self._suspicion_by_agent: dict[str, _Suspicion] = {}
        self._teams_by_name: dict[str, Team] = {}
        self._size_by_domain: Counter[str] = Counter()

    def apply_version(self, published: PublishedVersion) -> None:
        """Update the weights of teams and the sizes of failure domains."""
        self._teams_by_name = published.teams_by_name
        self._size_by_domain = Counter(
            upstream.failure_domain
            for upstream in published.object_set.upstreams
        )

    def admit(self, live: LiveGeneration, utilisation: float) -> None:
        """Admit a new generation and count it as started.

        Parameters
        ----------
        utilisation
            Running and queued attempts divided by slots, over the subset of
            upstreams that this entry uses.

        Raises
        ------
        RefusedError
            If the content is quarantined or the subset is overloaded.
        """
        spec = live.generation.spec
        verdict = self.poison.check(spec.fingerprint)
        if isinstance(verdict, Quarantined):
            raise RefusedError(quarantine_refusal(verdict, ran=Ran.NOT_RUN))
        decision = self.overload.check(spec.team, utilisation)
        if isinstance(decision, Overloaded):
            raise RefusedError(overload_refusal(decision, spec.team))
        self.overload.record_start(spec.team)
        self.retries.record_start(spec.team)

    def generation_ended(self, live: LiveGeneration, run_ms: float) -> None:
        """Count a generation from `admit` or `adopt` as ended."""
        team = live.generation.spec.team
        is_completed = live.generation.end is not None
        self.overload.record_end(team, run_ms if is_completed else 0)
        self.retries.record_end(team, succeeded=is_completed)

    def adopt(self, live: LiveGeneration) -> None:
        """Count a generation that another entry admitted as started."""
        team = live.generation.spec.team
        self.overload.record_start(team)
        self.retries.record_start(team)

    def before_attempt(self, live: LiveGeneration) -> Proceed | Wait | Refusal:
        """Decide whether the next attempt of a generation may be sent."""
        content_hash = live.generation.spec.fingerprint
        match self.poison.check(content_hash):
            case Quarantined() as verdict:
                return self._refuse_quarantined(live, verdict)
            case Undecided(wait_ms=wait_ms):
                return Wait(wait_ms)
            case Suspect():
                avoided = self.poison.agents_with_other_suspects(content_hash)
                return self._spend_retry(live, Proceed(True, avoided))
            case _:
                return self._spend_retry(live, Proceed())

    def attempt_started(self, live: LiveGeneration, agent: str) -> None:
        """Record that an agent confirmed an attempt."""
        spec = live.generation.spec
        self.poison.record_start(agent, spec.generation, spec.fingerprint)

    def attempt_progressed(self, live: LiveGeneration, agent: str) -> None:
        """Record that the current attempt has produced tokens."""
        produced = live.generation.offset - live.resumed_offset
        generation_id = live.generation.spec.generation
        self.poison.record_progress(agent, generation_id, produced)

    def attempt_ended(self, live: LiveGeneration, agent: str) -> None:
        """Record that an attempt ended without the death of its upstream."""
        self.poison.record_end(
            agent,
            live.generation.spec.generation,
            completed=live.generation.end is not None,
        )

    def agent_suspected(
        self,
        live: LiveGeneration,
        agent: str,
        failure_domain: str,
    ) -> None:
        """Record that an attempt was given up because its agent is suspected.

        A silent agent need not be dead. Whether the upstream died is known
        when the agent sends a message again, or is assumed after
        `AGENT_SUSPICION_TIMEOUT_MS`.
        """
        now_ms = self._clock.now_ms()
        suspicion = self._suspicion_by_agent.setdefault(
            agent,
            _Suspicion(failure_domain, now_ms),
        )
        suspicion.generations.add(live.generation.spec.generation)

    def agent_responded(self, agent: str, *, is_new: bool) -> None:
        """Record that an agent sent a message.

        With `is_new` the message came from a newer process at the agent's
        address; if the agent was suspected, the earlier one is counted as dead.
        """
        suspicion = self._suspicion_by_agent.pop(agent, None)
        if suspicion is None:
            return
        if is_new:
            self.upstream_died(agent, suspicion.failure_domain)
            return
        for generation in suspicion.generations:
            self.poison.record_end(agent, generation, completed=False)

    def expire_suspicions(self) -> None:
        """Count upstreams of agents suspected for too long as dead.

        The limit is `AGENT_SUSPICION_TIMEOUT_MS`.
        """
        before_ms = self._clock.now_ms() - AGENT_SUSPICION_TIMEOUT_MS
        for agent, suspicion in tuple(self._suspicion_by_agent.items()):
            if suspicion.since_ms <= before_ms:
                self._suspicion_by_agent.pop(agent)
                self.upstream_died(agent, suspicion.failure_domain)

    def upstream_died(self, agent: str, failure_domain: str) -> None:
        """Record the death of an upstream for all requests that ran on it.

        A report within `DEATH_REPORT_WINDOW_MS` of the previous one for the
        agent concerns the same death and is ignored.
        """
        now_ms = self._clock.now_ms()
        since_ms = now_ms - self._death_ms_by_agent.get(
            agent, -DEATH_REPORT_WINDOW_MS
        )
        self._death_ms_by_agent[agent] = now_ms
        if since_ms >= DEATH_REPORT_WINDOW_MS:
            self.poison.record_death(agent, failure_domain)

    def _weight_of(self, team: str) -> float:
        configured = self._teams_by_name.get(team)
        return configured.weight if configured else 1

    def _domain_size(self, failure_domain: str) -> int:
        return self._size_by_domain[failure_domain] or DEFAULT_DOMAIN_SIZE

    def _refuse_quarantined(
        self,
        live: LiveGeneration,
        verdict: Quarantined,
    ) -> Refusal:
        ran = Ran.MAYBE if live.may_have_run else Ran.NOT_RUN
        return quarantine_refusal(verdict, ran=ran)

    def _spend_retry(
        self, live: LiveGeneration, proceed: Proceed
    ) -> Proceed | Refusal:
        if not live.must_spend_retry:
            return proceed
        decision = self.retries.spend(
            live.generation.spec.team,
            resume=live.may_have_run,
        )
        if isinstance(decision, Denied):
            refusal = generation_refusal(
                live,
                ReasonCode.RETRIES_EXHAUSTED,
                f'the retry budget of {decision.decided_by} is spent',
            )
            return msgspec.structs.replace(
                refusal,
                decided_by=decision.decided_by,
                retry_after_ms=decision.retry_after_ms,
            )
        live.must_spend_retry = False
        return proceed
