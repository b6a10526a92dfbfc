"""What each generation has to pass: overload, retry budgets and quarantine."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import msgspec

from bergamotthread.clock import Clock
from bergamotthread.process.generations.poison import (
    DEFAULT_DOMAIN_SIZE,
    PoisonGuard,
    Quarantined,
    QuarantineSink,
    Suspect,
    Undecided,
    quarantine_refusal,
)
from bergamotthread.process.overload.overload import (
    Overloaded,
    OverloadGuard,
    overload_refusal,
)
from bergamotthread.process.overload.retry_budget import Denied, RetryBudget
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

DEATH_REPEAT_MS = 1000
DOUBT_MS = 10_000


@dataclass(frozen=True)
class Go:
    """The next attempt may be sent; a suspect one is marked."""

    suspect: bool = False
    avoided: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Wait:
    """The next attempt has to wait."""

    wait_ms: float


@dataclass
class _Doubt:
    """Attempts given up at an agent that is silent."""

    failure_domain: str
    since_ms: float
    generations: set[str] = field(default_factory=set)


class _NoSink(QuarantineSink):
    """Tells nobody."""

    def quarantined(self, notice: Quarantine) -> None:
        """Drop the notice."""


class GenerationGuards:
    """Guards of one entry, fed by the course of its generations."""

    def __init__(
        self,
        clock: Clock,
        sink: QuarantineSink | None = None,
    ) -> None:
        self.poison = PoisonGuard(clock, sink or _NoSink(), self._domain_size)
        self.retries = RetryBudget(clock)
        self.overload = OverloadGuard(clock, weight_of=self._weight_of)
        self._clock = clock
        self._death_ms_by_agent: dict[str, float] = {}
        self._doubts_by_agent: dict[str, _Doubt] = {}
        self._teams_by_name: dict[str, Team] = {}
        self._size_by_domain: Counter[str] = Counter()

    def apply_version(self, published: PublishedVersion) -> None:
        """Take the weights of teams and the sizes of failure domains."""
        self._teams_by_name = published.teams_by_name
        self._size_by_domain = Counter(
            upstream.failure_domain
            for upstream in published.object_set.upstreams
        )

    def admit(self, live: LiveGeneration, utilisation: float) -> None:
        """Count a new generation in.

        Parameters
        ----------
        utilisation
            Attempts running and queued over slots, in the subset.

        Raises
        ------
        RefusedError
            If its content is quarantined, or the subset is overloaded.
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

    def over(self, live: LiveGeneration, run_ms: float) -> None:
        """Count a generation out that `admit` or `adopt` counted in."""
        team = live.generation.spec.team
        completed = live.generation.end is not None
        self.overload.record_end(team, run_ms if completed else 0)
        self.retries.record_end(team, succeeded=completed)

    def adopt(self, live: LiveGeneration) -> None:
        """Count in a generation that another entry had admitted."""
        team = live.generation.spec.team
        self.overload.record_start(team)
        self.retries.record_start(team)

    def before_attempt(self, live: LiveGeneration) -> Go | Wait | Refusal:
        """Decide on the next attempt of a generation."""
        content_hash = live.generation.spec.fingerprint
        match self.poison.check(content_hash):
            case Quarantined() as verdict:
                return self._quarantined(live, verdict)
            case Undecided(wait_ms=wait_ms):
                return Wait(wait_ms)
            case Suspect():
                avoided = self.poison.avoided_agents(content_hash)
                return self._spend_retry(live, Go(True, avoided))
            case _:
                return self._spend_retry(live, Go())

    def attempt_started(self, live: LiveGeneration, agent: str) -> None:
        """Take in that an agent confirmed an attempt."""
        spec = live.generation.spec
        self.poison.record_start(agent, spec.generation, spec.fingerprint)

    def progressed(self, live: LiveGeneration, agent: str) -> None:
        """Take in that the current attempt has produced tokens."""
        produced = live.generation.offset - live.resumed_at
        identity = live.generation.spec.generation
        self.poison.record_progress(agent, identity, produced)

    def attempt_ended(self, live: LiveGeneration, agent: str) -> None:
        """Take in that an attempt ended while its upstream lived."""
        self.poison.record_end(
            agent,
            live.generation.spec.generation,
            completed=live.generation.end is not None,
        )

    def doubt(
        self,
        live: LiveGeneration,
        agent: str,
        failure_domain: str,
    ) -> None:
        """Take in that an attempt was given up because its agent is silent.

        Silence is no death: whether the upstream died shows when the agent is
        heard again, or after `DOUBT_MS`.
        """
        now_ms = self._clock.now_ms()
        doubt = self._doubts_by_agent.setdefault(
            agent,
            _Doubt(failure_domain, now_ms),
        )
        doubt.generations.add(live.generation.spec.generation)

    def heard(self, agent: str, *, is_new: bool) -> None:
        """Take in a sign of life; `is_new` if it is of a newer process."""
        doubt = self._doubts_by_agent.pop(agent, None)
        if doubt is None:
            return
        if is_new:
            self.upstream_died(agent, doubt.failure_domain)
            return
        for generation in doubt.generations:
            self.poison.record_end(agent, generation, completed=False)

    def settle_doubts(self) -> None:
        """Take agents that were silent for `DOUBT_MS` as dead."""
        before_ms = self._clock.now_ms() - DOUBT_MS
        for agent, doubt in tuple(self._doubts_by_agent.items()):
            if doubt.since_ms <= before_ms:
                self._doubts_by_agent.pop(agent)
                self.upstream_died(agent, doubt.failure_domain)

    def upstream_died(self, agent: str, failure_domain: str) -> None:
        """Charge the death of an upstream, once for all that ran on it."""
        now_ms = self._clock.now_ms()
        since_ms = now_ms - self._death_ms_by_agent.get(agent, -DEATH_REPEAT_MS)
        self._death_ms_by_agent[agent] = now_ms
        if since_ms >= DEATH_REPEAT_MS:
            self.poison.record_death(agent, failure_domain)

    def _weight_of(self, team: str) -> float:
        known = self._teams_by_name.get(team)
        return known.weight if known else 1

    def _domain_size(self, failure_domain: str) -> int:
        return self._size_by_domain[failure_domain] or DEFAULT_DOMAIN_SIZE

    def _quarantined(
        self,
        live: LiveGeneration,
        verdict: Quarantined,
    ) -> Refusal:
        ran = Ran.MAYBE if live.may_have_run else Ran.NOT_RUN
        return quarantine_refusal(verdict, ran=ran)

    def _spend_retry(self, live: LiveGeneration, go: Go) -> Go | Refusal:
        if not live.must_spend_retry:
            return go
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
        return go
