"""Discrete-event simulation of a fleet that runs the product's decision code.

Placements, admission gates, guards and budgets are the real ones. Entries,
agents and links are modelled only as far as they influence decisions: delays,
late load reports, missing cache events and engine deaths.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import partial

import msgspec

from benchmarks.engine_model import Engine, Sequence
from benchmarks.figures import Figures
from benchmarks.fleet_parts import (
    LOCAL_DELAY_MS,
    NOMINAL,
    PRODUCT,
    REMOTE_DELAY_MS,
    Agent,
    Behaviour,
    Conditions,
    GateFactory,
    Generation,
    Loss,
    PeerSink,
    bounded_gate,
)
from benchmarks.topology import (
    AGENTS_PER_DOMAIN,
    ALL_AGENTS,
    ENTRY_REGIONS,
    PIN,
)
from benchmarks.workload import Arrival, Job, Workload
from bergamotthread.clock import Clock
from bergamotthread.process.overload.admission import GateRules, Refused, Run
from bergamotthread.process.overload.overload import Overloaded, OverloadGuard
from bergamotthread.process.overload.retry_budget import Denied, RetryBudget
from bergamotthread.process.poison.guard import PoisonGuard
from bergamotthread.process.poison.verdicts import (
    Quarantined,
    Suspect,
    Undecided,
)
from bergamotthread.process.routing.placement import Placement, PlacementRequest
from bergamotthread.process.routing.routing import ScoredPlacement
from bergamotthread.request.refusal import RefusedError
from bergamotthread.wire.messages import Dispatch, LoadReport

_SEED = 3
CHARGE_INTERVAL_MS = 1000
REPORT_INTERVAL_MS = 100
SAMPLE_INTERVAL_MS = 250
DECLINES_MAX = 2
DEADLINE_MS = 300_000
BYTES_PER_TOKEN = 4

_Event = tuple[float, int, Callable[[], None]]


def _domain_size(failure_domain: str) -> int:
    return AGENTS_PER_DOMAIN


class Fleet:
    """Simulate a workload on all agents in virtual time.

    Parameters
    ----------
    make_placement
        Makes the placement of an entry from the clock and the entry's index.
    make_gate
        Makes the admission gate of an agent.
    conditions, behaviour
        Faults of the fleet, and how entries and callers react.
    warm_up_ms
        Start of the measurement; earlier events are not counted.
    """

    def __init__(
        self,
        make_placement: Callable[[Clock, int], Placement],
        make_gate: GateFactory = bounded_gate,
        conditions: Conditions = NOMINAL,
        behaviour: Behaviour = PRODUCT,
        warm_up_ms: float = 0,
    ) -> None:
        self.now_ms = float(0)
        self.clock = Clock(
            lambda: self.now_ms / 1000, lambda: self.now_ms / 1000
        )
        self.figures = Figures(warm_up_ms)
        self.conditions = conditions
        self._behaviour = behaviour
        self._make_gate = make_gate
        self._draw = random.Random(_SEED)
        self._events: list[_Event] = []
        self._serial = itertools.count()
        self._by_generation: dict[str, Generation] = {}
        self._job_by_generation: dict[str, Job] = {}
        self.placements = [
            make_placement(self.clock, index)
            for index, _ in enumerate(ENTRY_REGIONS)
        ]
        self.guards = [OverloadGuard(self.clock) for _ in ENTRY_REGIONS]
        self.budgets = [RetryBudget(self.clock) for _ in ENTRY_REGIONS]
        self._sinks = [
            PeerSink(index, self.after) for index, _ in enumerate(ENTRY_REGIONS)
        ]
        self.poison_guards = [
            PoisonGuard(self.clock, sink, _domain_size) for sink in self._sinks
        ]
        for sink in self._sinks:
            sink.peers = self.poison_guards
        self.agents = {name: self._agent(name) for name in ALL_AGENTS}

    def _now_s(self) -> float:
        return self.now_ms / 1000

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action `delay_ms` from now."""
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._events, (due_ms, next(self._serial), action))

    def run(
        self,
        workload: Workload,
        losses: tuple[Loss, ...] = (),
        *,
        until_ms: float,
    ) -> Figures:
        """Run a workload until `until_ms`; return the measured figures."""
        arrivals = workload.arrivals()
        self._next_arrival(arrivals)
        self._report_all()
        self._sample()
        self._propagate_charges()
        for loss in losses:
            self.after(loss.at_ms, partial(self.kill_agents, loss))
        while self._events and self._events[0][0] <= until_ms:
            event = heapq.heappop(self._events)
            self.now_ms = event[0]
            event[2]()
        return self.figures

    def unresumed_count(self) -> int:
        """Return the number of lost generations that have not resumed yet."""
        return sum(
            generation.lost_ms > 0
            for generation in self._by_generation.values()
        )

    def kill_agents(self, loss: Loss) -> None:
        """Kill engines now; entries are notified after `detection_ms`."""
        for name in loss.agents:
            agent = self.agents[name]
            if agent.is_alive:
                self._kill(agent, loss.detection_ms)

    def _agent(self, name: str) -> Agent:
        slow = name == self.conditions.slow_agent
        engine = Engine(self.conditions.slowdown if slow else 1)
        rules = GateRules(
            count_tokens=int,
            covered_tokens=lambda dispatch: engine.covered_tokens(
                self._job_by_generation[dispatch.generation],
            ),
        )
        return Agent(name, engine, self._make_gate(self.clock, rules))

    # Entry side.

    def _next_arrival(self, arrivals: Iterator[Arrival]) -> None:
        arrival = next(arrivals, None)
        if arrival is None:
            return

        self.after(
            arrival.at_ms - self.now_ms,
            partial(self._arrive_and_schedule_next, arrival, arrivals),
        )

    def _arrive_and_schedule_next(
        self,
        arrival: Arrival,
        arrivals: Iterator[Arrival],
    ) -> None:
        self._arrive(arrival.job, arrival.entry)
        self._next_arrival(arrivals)

    def _arrive(self, job: Job, entry: int, sent: int = 0) -> None:
        generation = Generation(
            job,
            entry,
            self.now_ms,
            retries=sent,
            is_poisonous=job.team == self._behaviour.poison_team,
        )
        self._by_generation[job.generation] = generation
        self._job_by_generation[job.generation] = job
        if self.now_ms >= self.figures.since_ms:
            self.figures.offered += 1
            self.figures.offered_by_second[int(self.now_ms // 1000)] += 1
            self.figures.offered_by_team[job.team] += 1
        placement = self.placements[entry]
        guard = self.guards[entry]
        if self._behaviour.guarded and isinstance(placement, ScoredPlacement):
            verdict = guard.check(job.team, placement.utilisation(PIN))
            if isinstance(verdict, Overloaded):
                self._refuse(generation, f'entry {verdict.decided_by[:5]}')
                self._schedule_retry(generation, verdict.retry_after_ms)
                return
        guard.record_start(job.team)
        self.budgets[entry].record_start(job.team)
        self._place(generation)
        if self._behaviour.impatient:
            self.after(
                self._behaviour.first_token_timeout_ms,
                partial(self._give_up, generation),
            )

    def _give_up(self, generation: Generation) -> None:
        if generation.is_over or generation.produced:
            return
        if self._behaviour.guarded:
            agent = self.agents[generation.agent]
            key = (generation.job.generation, generation.attempt)
            self._cancel(agent, key)
        self._record_attempt_end(generation)
        self._end(generation, 'caller gave up')
        self._schedule_retry(generation, self._behaviour.retry_delay_ms)

    def _cancel(self, agent: Agent, key: tuple[str, int]) -> None:
        agent.gate.revoke(*key)
        agent.gate.record_end(*key)
        agent.engine.by_key.pop(key, None)

    def _schedule_retry(self, generation: Generation, delay_ms: float) -> None:
        """Schedule a retry by an impatient caller, as a new generation."""
        if (
            not self._behaviour.impatient
            or generation.retries >= self._behaviour.retries_max
        ):
            return
        name = generation.job.generation.partition('/')[0]
        job = replace(
            generation.job,
            generation=f'{name}/{generation.retries}',
        )
        resend = partial(
            self._arrive, job, generation.entry, generation.retries + 1
        )
        self.after(max(delay_ms, self._behaviour.retry_delay_ms), resend)

    def _place(self, generation: Generation) -> None:
        if generation.is_over:
            return
        if not self._behaviour.guarded:
            self._choose(generation, suspect=False)
            return
        match self.poison_guards[generation.entry].check(
            generation.fingerprint
        ):
            case Quarantined():
                self.figures.quarantined_teams[generation.job.team] += 1
                self._end(generation, 'quarantined')
            case Undecided(wait_ms=wait_ms):
                self.after(wait_ms + 1, partial(self._place, generation))
            case Suspect():
                self._choose(generation, suspect=True)
            case _:
                self._choose(generation, suspect=False)

    def _choose(self, generation: Generation, *, suspect: bool) -> None:
        request = self._placement_request(generation, suspect=suspect)
        placement = self.placements[generation.entry]
        try:
            name = placement.choose(request)
        except RefusedError:
            self._end(generation, 'no upstream')
            return
        placement.record_dispatch(name, request)
        generation.attempt += 1
        generation.agent = name
        generation.request = request
        agent = self.agents[name]
        self._count_bytes(generation, agent, generation.job.prompt_tokens)
        dispatch = self._dispatch(generation, suspect=suspect)
        self.after(
            self._delay_ms(generation, agent),
            partial(self._deliver, agent, dispatch),
        )

    def _placement_request(
        self,
        generation: Generation,
        *,
        suspect: bool,
    ) -> PlacementRequest:
        job = generation.job
        avoided: frozenset[str] = frozenset()
        if suspect:
            guard = self.poison_guards[generation.entry]
            avoided = guard.agents_with_other_suspects(generation.fingerprint)
        return PlacementRequest(
            generation=job.generation,
            team=job.team,
            pin=PIN,
            prompt_tokens=job.prompt_tokens,
            accepted_tokens=generation.produced,
            prefix_hashes=job.prefix_hashes,
            excluded=generation.excluded | avoided,
            resume=generation.attempt > generation.declines,
        )

    def _dispatch(self, generation: Generation, *, suspect: bool) -> Dispatch:
        job = generation.job
        return Dispatch(
            generation=job.generation,
            attempt=generation.attempt,
            pin=PIN,
            prompt=str(job.prompt_tokens),
            accepted=('',) * generation.produced,
            max_tokens=job.output_tokens - generation.produced,
            remaining_ms=DEADLINE_MS - (self.now_ms - generation.arrived_ms),
            team=job.team,
            suspect=suspect,
        )

    def _on_declined(self, refused: Refused) -> None:
        generation = self._by_generation.get(refused.generation)
        if generation is None or generation.attempt != refused.attempt:
            return
        self._record_attempt_end(generation)
        generation.declines += 1
        generation.excluded |= {generation.agent}
        outcome = self.budgets[generation.entry].spend(
            generation.job.team, resume=False
        )
        if generation.declines > DECLINES_MAX or isinstance(outcome, Denied):
            self._end(generation, f'agent {refused.reason}')
            self._schedule_retry(generation, refused.retry_after_ms)
            return
        self._place(generation)

    def _on_loss_detected(self, entry: int, agent: Agent) -> None:
        placement = self.placements[entry]
        placement.record_loss(agent.name)
        self.poison_guards[entry].record_death(agent.name, agent.domain)
        for generation in tuple(self._by_generation.values()):
            if generation.is_over or generation.entry != entry:
                continue
            if generation.agent == agent.name:
                self._resume(generation)

    def _resume(self, generation: Generation) -> None:
        request = generation.request
        if request is not None:
            self.placements[generation.entry].record_end(
                generation.agent,
                request,
            )
        generation.delivered_tokens = max(
            generation.delivered_tokens, generation.produced
        )
        if self._behaviour.restarts_from_zero:
            generation.produced = 0
        generation.excluded |= {generation.agent}
        outcome = self.budgets[generation.entry].spend(
            generation.job.team, resume=True
        )
        if self._behaviour.guarded and isinstance(outcome, Denied):
            self._end(generation, 'retries exhausted')
            return
        self._place(generation)

    def _record_attempt_end(self, generation: Generation) -> None:
        request = generation.request
        if request is not None:
            self.placements[generation.entry].record_end(
                generation.agent,
                request,
            )
        self.poison_guards[generation.entry].record_end(
            generation.agent,
            generation.job.generation,
            completed=False,
        )

    def _refuse(self, generation: Generation, reason: str) -> None:
        generation.is_over = True
        if self.now_ms >= self.figures.since_ms:
            self.figures.refused_by_reason[reason] += 1
            self.figures.refused_by_team[generation.job.team] += 1
            self.figures.refused_by_second[int(self.now_ms // 1000)] += 1
            if generation.produced:
                self.figures.lost += 1
                self.figures.lost_innocent += not generation.is_poisonous
        self._by_generation.pop(generation.job.generation, None)

    def _end(self, generation: Generation, reason: str) -> None:
        entry = generation.entry
        self.guards[entry].record_end(generation.job.team, 0)
        self.budgets[entry].record_end(generation.job.team, succeeded=False)
        self._refuse(generation, reason)

    def _finish(self, generation: Generation) -> None:
        generation.is_over = True
        entry = generation.entry
        if generation.request is not None:
            self.placements[entry].record_end(
                generation.agent,
                generation.request,
            )
        self.poison_guards[entry].record_end(
            generation.agent,
            generation.job.generation,
            completed=True,
        )
        run_ms = self.now_ms - generation.arrived_ms
        self.guards[entry].record_end(generation.job.team, run_ms)
        self.budgets[entry].record_end(generation.job.team, succeeded=True)
        if self.now_ms >= self.figures.since_ms:
            self.figures.finished += 1
            self.figures.served_by_second[int(self.now_ms // 1000)] += 1
        self._by_generation.pop(generation.job.generation, None)

    # Agent side.

    def _deliver(self, agent: Agent, dispatch: Dispatch) -> None:
        if not agent.is_alive:
            return
        match agent.gate.offer(dispatch):
            case Run():
                self._start(agent, dispatch)
            case Refused() as refused:
                self.after(LOCAL_DELAY_MS, partial(self._on_declined, refused))
            case _:
                pass
        self._advance(agent)

    def _advance(self, agent: Agent) -> None:
        for dispatch in agent.gate.next_ready():
            self._start(agent, dispatch)
        for refused in agent.gate.take_refused():
            self.after(LOCAL_DELAY_MS, partial(self._on_declined, refused))
        if not agent.is_stepping and agent.engine.by_key:
            self._step(agent)

    def _start(self, agent: Agent, dispatch: Dispatch) -> None:
        job = self._job_by_generation[dispatch.generation]
        sequence = agent.engine.add(
            dispatch.attempt,
            job,
            len(dispatch.accepted),
        )
        generation = self._by_generation.get(dispatch.generation)
        if generation is not None:
            admitted = partial(self._admitted, generation, dispatch, agent)
            self.after(self._delay_ms(generation, agent), admitted)
        if self.now_ms >= self.figures.since_ms:
            self.figures.prefilled_tokens += sequence.prefill_left
            self.figures.needed_tokens += job.prompt_tokens - job.shared_tokens

    def _admitted(
        self,
        generation: Generation,
        dispatch: Dispatch,
        agent: Agent,
    ) -> None:
        if generation.attempt == dispatch.attempt and not generation.is_over:
            self.poison_guards[generation.entry].record_start(
                agent.name,
                dispatch.generation,
                generation.fingerprint,
            )

    def _step(self, agent: Agent) -> None:
        agent.is_stepping = True
        duration_ms, decoded = agent.engine.step()
        self.after(duration_ms, partial(self._on_step_end, agent, decoded))

    def _on_step_end(self, agent: Agent, made: tuple[Sequence, ...]) -> None:
        agent.is_stepping = False
        if not agent.is_alive:
            return
        for sequence in made:
            self._on_token(agent, sequence)
        self._advance(agent)

    def _on_token(self, agent: Agent, sequence: Sequence) -> None:
        job = sequence.job
        generation = self._by_generation.get(job.generation)
        if generation is None or generation.agent != agent.name:
            self._release_abandoned(agent, sequence)
            return
        key = (job.generation, generation.attempt)
        agent.gate.record_progress(*key, sequence.produced)
        if generation.is_poisonous and sequence.produced >= 2:
            self._kill(agent, 50)
            return
        if agent.is_alive:
            self._record_output(generation, agent, sequence)
        if sequence.is_done:
            agent.engine.by_key.pop(key)
            agent.gate.record_end(*key)
            self._finish(generation)

    def _release_abandoned(self, agent: Agent, sequence: Sequence) -> None:
        """Free the slot of an abandoned sequence once the engine ends it."""
        if sequence.is_done:
            key = (sequence.job.generation, sequence.attempt)
            agent.engine.by_key.pop(key, None)
            agent.gate.record_end(*key)

    def _record_output(
        self,
        generation: Generation,
        agent: Agent,
        sequence: Sequence,
    ) -> None:
        generation.produced = sequence.accepted + sequence.produced
        poison_guard = self.poison_guards[generation.entry]
        if sequence.produced in {1, 16}:
            poison_guard.record_progress(
                agent.name,
                generation.job.generation,
                sequence.produced,
            )
        self._count_bytes(generation, agent, 1)
        if self.now_ms >= self.figures.since_ms:
            self._measure(generation, agent, sequence)
        if generation.produced > generation.delivered_tokens:
            generation.lost_ms = 0
        generation.last_token_ms = self.now_ms

    def _measure(
        self,
        generation: Generation,
        agent: Agent,
        sequence: Sequence,
    ) -> None:
        second = int(self.now_ms // 1000)
        received_ms = self.now_ms + self._delay_ms(generation, agent)
        if generation.lost_ms:
            if generation.produced > generation.delivered_tokens:
                resumed_ms = received_ms - generation.lost_ms
                self.figures.resume_ms.append(resumed_ms)
        elif generation.produced == 1:
            waited_ms = received_ms - generation.arrived_ms
            team = generation.job.team
            self.figures.record_first_token(team, second, waited_ms)
        elif sequence.produced > 1:
            between_ms = round(self.now_ms - generation.last_token_ms)
            self.figures.record_between(second, between_ms)

    def _kill(self, agent: Agent, detection_ms: float) -> None:
        agent.is_alive = False
        self.figures.deaths_by_region[agent.region] += 1
        for generation in self._by_generation.values():
            if generation.agent == agent.name and not generation.is_over:
                generation.lost_ms = generation.lost_ms or self.now_ms
        restart_ms = self._behaviour.restart_ms
        if restart_ms:
            self.after(restart_ms, partial(self._restart, agent.name))
        for entry, _ in enumerate(ENTRY_REGIONS):
            self.after(
                detection_ms, partial(self._on_loss_detected, entry, agent)
            )

    def _propagate_charges(self) -> None:
        pairs = zip(self.poison_guards, self._sinks, strict=True)
        for guard, sink in pairs:
            for notice in guard.pop_changed_charges():
                sink.send(notice)
        self.after(CHARGE_INTERVAL_MS, self._propagate_charges)

    def _restart(self, name: str) -> None:
        self.agents[name] = self._agent(name)

    # Reports and samples.

    def _report_all(self) -> None:
        for agent in self.agents.values():
            if agent.is_alive:
                self._report(agent)
        self.after(REPORT_INTERVAL_MS, self._report_all)

    def _report(self, agent: Agent) -> None:
        lag_ms = self.conditions.report_lag_ms
        arriving_fraction = 1 - self.conditions.lost_event_fraction
        cached = tuple(
            prefix_hash
            for prefix_hash in agent.engine.cache_events
            if arriving_fraction == 1 or self._draw.random() < arriving_fraction
        )
        agent.engine.cache_events.clear()
        report = msgspec.structs.replace(
            agent.gate.load_report(),
            age_ms=lag_ms,
            cached_prefixes=cached,
        )
        self.after(lag_ms, partial(self._reported, agent, report))

    def _reported(self, agent: Agent, report: LoadReport) -> None:
        if agent.is_alive:
            for placement in self.placements:
                placement.record_load(agent.name, report)

    def _sample(self) -> None:
        if self.now_ms >= self.figures.since_ms:
            loads = [
                agent.engine.kv_tokens
                for agent in self.agents.values()
                if agent.is_alive
            ]
            mean = sum(loads) / max(len(loads), 1)
            if mean:
                self.figures.imbalances.append(max(loads) / mean)
        self.after(SAMPLE_INTERVAL_MS, self._sample)

    def _delay_ms(self, generation: Generation, agent: Agent) -> float:
        local = ENTRY_REGIONS[generation.entry] == agent.region
        return LOCAL_DELAY_MS if local else REMOTE_DELAY_MS

    def _count_bytes(
        self,
        generation: Generation,
        agent: Agent,
        tokens: int,
    ) -> None:
        if ENTRY_REGIONS[generation.entry] == agent.region:
            return
        if self.now_ms >= self.figures.since_ms:
            self.figures.cross_region_bytes += tokens * BYTES_PER_TOKEN
