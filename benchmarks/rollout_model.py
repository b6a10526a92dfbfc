"""Model of a roll-out: entries, upstreams, the row, and those that decide."""

from __future__ import annotations

import enum
import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.rollouts.decider import RolloutDecider
from bergamotthread.process.rollouts.exposure import ServiceView
from bergamotthread.process.rollouts.gate import AnswerSample, UpstreamBuild
from bergamotthread.process.rollouts.order import (
    ExposureBound,
    RolloutOrder,
    RolloutState,
)
from bergamotthread.process.rollouts.participant import RolloutParticipant
from bergamotthread.process.rollouts.reports import (
    End,
    Reserve,
    RolloutRecord,
)
from bergamotthread.process.rollouts.rollout_record import next_record

SERVICE = 'chat'
NEW = 'new'
BOUND = ExposureBound(0.1, 50, 5000)
STEP_MS = 100
REPLACED_MS = 3000
WRITE_MS = 15
LONGEST_MS = 30_000
# Parts of the answers that fail at a grey upstream and under a burst, and how
# soon a failure comes.
GREY_PART = 0.5
BURST_FAILED = 0.1
FAILED_FACTOR = 0.2

_Event = tuple[float, int, Callable[[], None]]


class FaultKind(enum.Enum):
    """How a build is bad."""

    NONE = 'none'
    FAILS = 'fails at once'
    SLOW = 'slow at once'
    LATER = 'fails later'
    LOAD = 'fails under load'
    ROUTE = 'fails on one route'


class Trouble(enum.Enum):
    """What else happens, to both builds unless it says otherwise."""

    NONE = 'none'
    BURST = 'burst'
    LOST_DOMAIN = 'lost domain'
    SLOW_ZONE = 'slow zone'
    GREY_TARGET = 'grey upstream of the target'
    GREY_FORMER = 'grey upstream of a former build'


class Deciding(enum.Enum):
    """Who decides."""

    ONE = 'one'
    REPLACED = 'replaced each 3 s'
    REPLACED_AT_STEPS = 'replaced at each step'
    TWO = 'two at once'


@dataclass(frozen=True)
class Case:
    """One drawn roll-out."""

    seed: int
    entries: int = 3
    uneven: bool = False
    per_s: float = 100
    routes: int = 2
    domains: int = 3
    per_domain: int = 3
    mean_ms: float = 50
    events: int = 0
    base_failed: float = 0
    fault: FaultKind = FaultKind.NONE
    part: float = 1
    trouble: Trouble = Trouble.NONE
    deciding: Deciding = Deciding.ONE
    lost_reports: float = 0
    duration_ms: float = 12_000


@dataclass
class Outcome:
    """What a roll-out came to."""

    ends: list[RolloutState] = field(default_factory=list)
    reason: str = ''
    ended_ms: float = math.inf
    exposed: int = 0
    reached: int = 0
    bad_ms: list[float] = field(default_factory=list)
    last_sent_ms: float = 0
    cut: int = 0
    granted: int = 0
    reserved: int = 0

    @property
    def is_over(self) -> bool:
        """Whether the target got more than the bound."""
        return self.exposed > BOUND.share * self.reached + BOUND.slack

    @property
    def late_ms(self) -> float:
        """Time from the 50th bad answer to the last request."""
        if len(self.bad_ms) < 50:
            return 0
        return max(0, self.last_sent_ms - self.bad_ms[49])


@dataclass
class _Entry:
    gate: RolloutParticipant
    report_ms: float = 500
    is_ended: bool = False


@dataclass
class _Node:
    """One process that decides."""

    decider: RolloutDecider
    revision: int
    busy: bool = False


class Model:
    """Plays one case."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.random = random.Random(case.seed)
        self.now_ms: float = 0
        self.outcome = Outcome()
        self.order = RolloutOrder(SERVICE, 1, NEW, case.duration_ms)
        self.row = RolloutRecord(self.order, RolloutState.ACTIVE, 0)
        self.revision = 1
        self._events: list[_Event] = []
        self._numbers = itertools.count()
        clock = Clock(lambda: self.now_ms / 1000, lambda: self.now_ms / 1000)
        self.entries = [
            _Entry(RolloutParticipant(f'e{number}', clock, self._builds))
            for number in range(case.entries)
        ]
        self.weights = [
            1 / (number + 1) ** 1.2 if case.uneven else 1
            for number in range(case.entries)
        ]
        self.route_weights = [1 / (number + 1) for number in range(case.routes)]
        self.upstreams = [
            UpstreamBuild(
                f'{build}-{domain}-{number}', SERVICE, build, f'd{domain}'
            )
            for build, domain, number in itertools.product(
                ('old', NEW), range(case.domains), range(case.per_domain)
            )
        ]
        self.trouble_ms = self.random.uniform(1000, case.duration_ms - 1000)
        self.later_ms = self.random.uniform(2000, 6000)
        self._starts: dict[str, list[float]] = {}
        self.nodes: list[_Node] = []

    def run(self) -> Outcome:
        """Play until a second after the end."""
        for entry in self.entries:
            entry.gate.begin(self.order)
            self._at(self.random.uniform(0, 500), self._reporting(entry))
        self._warm_up()
        for _ in range(2 if self.case.deciding is Deciding.TWO else 1):
            self._start_node()
        self._at(STEP_MS, self._step)
        if self.case.deciding is Deciding.REPLACED:
            self._at(self.random.uniform(0, REPLACED_MS), self._replace)
        self._at(0, self._request)
        until_ms = self.case.duration_ms + LONGEST_MS + 5000
        while self._events:
            event_ms, _, action = heapq.heappop(self._events)
            self.now_ms = event_ms
            if self.now_ms > min(until_ms, self.outcome.ended_ms + 1000):
                break
            action()
        for asked in self.entries:
            report = asked.gate.report(SERVICE, self.now_ms)
            self.outcome.granted += report.granted if report else 0
        self.outcome.reserved = self.row.reserved
        return self.outcome

    def _at(self, delay_ms: float, action: Callable[[], None]) -> None:
        event = (self.now_ms + delay_ms, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def _warm_up(self) -> None:
        """Send what runs at the former builds when the order comes."""
        running = self.case.per_s * self._duration_ms() / 1000
        for _ in range(int(running)):
            entry = self.random.choices(self.entries, self.weights)[0]
            old = self._choose(lambda upstream: upstream.build == 'old')
            if old and entry.gate.admit(old, is_bound=False):
                self._start(entry, old, 'r0', self.random.random())

    def _duration_ms(self) -> float:
        return self.case.mean_ms * max(1, self.case.events)

    # Upstreams.

    def _troubled(self, length_ms: float = 3000) -> bool:
        return 0 <= self.now_ms - self.trouble_ms < length_ms

    def _is_listed(self, upstream: UpstreamBuild) -> bool:
        """Lost upstreams are listed for a second more."""
        if self.case.trouble is not Trouble.LOST_DOMAIN:
            return True
        is_gone = self.now_ms - self.trouble_ms >= 1000
        return not (is_gone and upstream.failure_domain == 'd0')

    def _builds(self, service: str) -> set[str]:
        return {
            upstream.build
            for upstream in self.upstreams
            if self._is_listed(upstream)
        }

    def _choose(
        self, admits: Callable[[UpstreamBuild], bool]
    ) -> UpstreamBuild | None:
        for _ in range(20):
            upstream = self.random.choice(self.upstreams)
            if self._is_listed(upstream) and admits(upstream):
                return upstream
        fitting = [
            upstream
            for upstream in self.upstreams
            if self._is_listed(upstream) and admits(upstream)
        ]
        return self.random.choice(fitting) if fitting else None

    def _is_loaded(self, upstream: UpstreamBuild) -> bool:
        """Whether it got over 0.6 of a former one's usual requests."""
        starts = self._starts.setdefault(upstream.instance, [])
        starts.append(self.now_ms)
        while starts[0] < self.now_ms - 1000:
            starts.pop(0)
        count = self.case.domains * self.case.per_domain
        return len(starts) > max(1, 0.6 * self.case.per_s / count)

    def _fault(self, upstream: UpstreamBuild, route: str) -> FaultKind:
        """Return how this answer is bad, by the build's fault."""
        kind = self.case.fault
        is_loaded = self._is_loaded(upstream)
        if upstream.build != NEW or self.random.random() >= self.case.part:
            return FaultKind.NONE
        applies = {
            FaultKind.LATER: self.now_ms >= self.later_ms,
            FaultKind.LOAD: is_loaded,
            FaultKind.ROUTE: route == f'r{self.case.routes - 1}',
        }.get(kind, True)
        return kind if applies else FaultKind.NONE

    def _is_grey(self, upstream: UpstreamBuild) -> bool:
        instance = {
            Trouble.GREY_TARGET: 'new-0-0',
            Trouble.GREY_FORMER: 'old-0-0',
        }.get(self.case.trouble)
        return (
            upstream.instance == instance and self.random.random() < GREY_PART
        )

    # Requests.

    def _request(self) -> None:
        rate = self.case.per_s / 1000
        if self.case.trouble is Trouble.BURST and self._troubled():
            rate *= 3
        self._at(self.random.expovariate(rate), self._request)
        entry = self.random.choices(self.entries, self.weights)[0]
        routes = range(self.case.routes)
        route = f'r{self.random.choices(routes, self.route_weights)[0]}'
        entry.gate.record_request(SERVICE)
        if self._send(entry, route) and self.now_ms <= self.case.duration_ms:
            self.outcome.reached += 1

    def _send(self, entry: _Entry, route: str, tries: int = 3) -> bool:
        plan = entry.gate.plan(SERVICE)
        upstream = self._choose(
            lambda upstream: plan.admits(upstream.instance, upstream.build)
        )
        if upstream is None or not tries:
            return False
        if not entry.gate.admit(upstream, is_bound=False):
            return self._send(entry, route, tries - 1)
        if upstream.build == NEW and self.row.state is RolloutState.ACTIVE:
            self.outcome.last_sent_ms = self.now_ms
        if upstream.build == NEW and self.now_ms <= self.case.duration_ms:
            self.outcome.exposed += 1
        self._start(entry, upstream, route, 1)
        return True

    def _start(
        self, entry: _Entry, upstream: UpstreamBuild, route: str, left: float
    ) -> None:
        fault = self._fault(upstream, route)
        factor = self.random.lognormvariate(0, 0.35)
        failed = self.random.random() < self.case.base_failed
        failed = failed or self._is_grey(upstream)
        trouble = self.case.trouble
        in_zone = upstream.failure_domain == 'd0'
        if trouble is Trouble.SLOW_ZONE and self._troubled() and in_zone:
            factor *= 5
        if trouble is Trouble.BURST and self._troubled():
            factor *= 3
            failed = failed or self.random.random() < BURST_FAILED
        if fault is FaultKind.SLOW:
            factor *= 4
        elif fault is not FaultKind.NONE:
            failed = True
        pace_ms = self.case.mean_ms * factor if self.case.events else 0
        mean_ms = self._duration_ms() * left
        length = FAILED_FACTOR if failed else factor
        duration_ms = mean_ms * length
        sample = AnswerSample(
            upstream=upstream,
            route=route,
            failed=failed,
            latency_ms=self.case.mean_ms * factor,
            pace_ms=0 if failed else pace_ms,
        )
        bad = fault is not FaultKind.NONE
        self._at(duration_ms, lambda: self._finish(entry, sample, bad))

    def _finish(self, entry: _Entry, sample: AnswerSample, bad: bool) -> None:
        upstream = sample.upstream
        entry.gate.record_ended(upstream)
        lost = (
            self.case.trouble is Trouble.LOST_DOMAIN
            and self.now_ms >= self.trouble_ms
            and upstream.failure_domain == 'd0'
        )
        if lost:
            self._send(entry, sample.route)
            return
        if upstream.build == 'old' and self.row.state is RolloutState.COMPLETED:
            self.outcome.cut += 1
        if bad:
            self.outcome.bad_ms.append(self.now_ms)
        entry.gate.record_answer(sample)

    # Reports.

    def _reporting(self, entry: _Entry) -> Callable[[], None]:
        def report() -> None:
            self._report(entry)
            if not entry.is_ended:
                self._at(entry.report_ms, report)

        return report

    def _report(self, entry: _Entry) -> None:
        sent_ms = self.now_ms
        sent = entry.gate.report(SERVICE, sent_ms)
        if sent is None or self.random.random() < self.case.lost_reports:
            return
        node = self.random.choice(self.nodes)

        def arrive() -> None:
            directive = node.decider.apply(sent, self.now_ms)
            if self.random.random() >= self.case.lost_reports:
                entry.report_ms = directive.report_ms
                self._at(
                    self.random.uniform(1, 30),
                    lambda: entry.gate.apply(SERVICE, directive, sent_ms),
                )

        self._at(self.random.uniform(1, 30), arrive)

    # Those that decide.

    def _start_node(self) -> None:
        decider = RolloutDecider.from_record(
            self.row, BOUND, self.now_ms, self.now_ms, LONGEST_MS
        )
        self.nodes.append(_Node(decider, self.revision))

    def _replace(self) -> None:
        """Start another decider; a write of the former one may be under way."""
        self.nodes.clear()
        self._start_node()
        self._at(REPLACED_MS, self._replace)

    def _view(self) -> ServiceView:
        return ServiceView(
            {
                upstream.instance: upstream.failure_domain
                for upstream in self.upstreams
                if upstream.build == NEW and self._is_listed(upstream)
            },
            sum(upstream.build == 'old' for upstream in self.upstreams),
            frozenset(f'e{number}' for number in range(self.case.entries)),
        )

    def _step(self) -> None:
        self._at(STEP_MS, self._step)
        view = self._view()
        for node in tuple(self.nodes):
            if node.busy:
                continue
            step = node.decider.next_step(self.now_ms, view)
            if step is not None:
                node.busy = True
                self._at(WRITE_MS, self._writing(node, step))

    def _writing(self, node: _Node, step: Reserve | End) -> Callable[[], None]:
        def write() -> None:
            written = next_record(node.decider.record, step)
            succeeds = written is not None and node.revision == self.revision
            if succeeds and written is not None:
                self.row = written
                self.revision += 1
                self._note(step)
            if self.case.deciding is Deciding.REPLACED_AT_STEPS:
                self.nodes.remove(node)
                self._start_node()
                return
            if succeeds:
                node.decider.record_written(step, self.row)
            else:
                node.decider.apply_record(self.row)
            node.revision = self.revision
            node.busy = False

        return write

    def _note(self, step: Reserve | End) -> None:
        if not isinstance(step, End):
            return
        self.outcome.ends.append(step.state)
        self.outcome.reason = step.reason
        self.outcome.ended_ms = self.now_ms
        for entry in self.entries:
            self._at(self.random.uniform(20, 200), self._ending(entry))

    def _ending(self, entry: _Entry) -> Callable[[], None]:
        def end() -> None:
            entry.gate.end(self.order, self.row.state)
            entry.is_ended = True

        return end


def kinds_of_bad(outcomes: list[Outcome]) -> Counter[str]:
    """Return how often each rule was broken."""
    broken: Counter[str] = Counter()
    for outcome in outcomes:
        broken['over the bound'] += outcome.is_over
        broken['two ends'] += len(outcome.ends) > 1
        broken['late'] += outcome.late_ms > BOUND.rollback_ms
        broken['more granted'] += outcome.granted > outcome.reserved
    return broken
