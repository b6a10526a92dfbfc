"""Model of engines and entries under more load than they can serve.

Engines prefill prompts in order of urgency and arrival, and hold a limited KV
cache. Each entry has a directory, a choice and a gate of its own, sees the
engines by late reports, and places or refuses streams as `StreamPlacer` does.

``python -m benchmarks.overload_model`` prints what becomes of streams with 6,
24 and 68 entries under growing load.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial

import click

from bergamotthread.clock import Clock
from bergamotthread.process.overload.rank import SINGLE_RANK, Rank
from bergamotthread.process.relay.choice import (
    LEAST_LOADED_UPSTREAMS,
    RelayPlacementRequest,
    UpstreamChoice,
)
from bergamotthread.process.relay.distance import SAMPLED_CANDIDATES
from bergamotthread.process.relay.stream_gate import (
    EngineView,
    StreamDemand,
    StreamGate,
    StreamRefused,
)
from bergamotthread.process.relay.upstreams import (
    LoadReport,
    RunProgress,
    Upstream,
    UpstreamDirectory,
    UpstreamRecord,
    UpstreamState,
)

SERVICE = 'model'
PROMPT_TOKENS = 8000
TARGET_MS = 4500.0
TIME_LIMIT_MS = 25_000.0
EVENTS = 120
EVENT_MS = 60.0
KV_TOKENS = 88_000
SLOTS = 64
REPORT_LAG_MS = 100.0
REPORT_REUSE_MS = 150.0
DEFAULT_RATE_PER_MS = 8.0

_Action = Callable[[], None]
_Timer = tuple[float, int, _Action]


def _do_nothing() -> None:
    pass


@dataclass(frozen=True)
class Kind:
    """Kind of stream that is offered."""

    target_ms: float = TARGET_MS
    rank: Rank = SINGLE_RANK
    weight: float = 1
    worth: float = 1


ONE_KIND = Kind()


@dataclass
class Stream:
    """A stream at an engine; times are 0 until they are known.

    Parameters
    ----------
    run_ms
        Time of the first event since its prompt was last prefilled; 0 while it
        waits, also after it was preempted.
    made
        Events before that.
    """

    name: str
    sent_ms: float
    tokens: int = PROMPT_TOKENS
    target_ms: float = TARGET_MS
    rank: Rank = SINGLE_RANK
    urgency: int = 0
    wait_ms: float = 0
    first_ms: float = 0
    run_ms: float = 0
    end_ms: float = 0
    made: int = 0
    preemptions: int = 0
    on_first: _Action = _do_nothing
    on_end: _Action = _do_nothing

    @property
    def is_in_time(self) -> bool:
        """Return whether it began within the target and had no pause."""
        first_ms = self.first_ms - self.sent_ms
        is_begun = bool(self.first_ms) and first_ms <= self.target_ms
        return is_begun and not self.preemptions

    def events_at(self, now_ms: float) -> int:
        """Return the events produced by a time."""
        if not self.is_running(now_ms):
            return self.made
        return self.made + int((now_ms - self.run_ms) / EVENT_MS) + 1

    def is_running(self, now_ms: float) -> bool:
        """Return whether its prompt was prefilled by a time."""
        return bool(self.run_ms) and self.run_ms <= now_ms


@dataclass
class ModelEngine:
    """Engine that prefills the most urgent first, within its KV cache.

    It preempts the newest of the least urgent runs for a more urgent prompt.

    Parameters
    ----------
    rate_per_ms
        Prefill rate, in tokens.
    """

    model: OverloadModel
    rate_per_ms: float = DEFAULT_RATE_PER_MS
    streams: list[Stream] = field(default_factory=list)
    _waiting: list[Stream] = field(default_factory=list)
    _held_tokens: int = 0
    _is_prefilling: bool = False

    def send(self, stream: Stream) -> None:
        """Accept a stream."""
        self.streams = [
            other
            for other in self.streams
            if not other.end_ms or other.end_ms > stream.sent_ms - REPORT_LAG_MS
        ]
        self.streams.append(stream)
        bisect.insort(self._waiting, stream, key=_urgency)
        self._start_next()

    def report(self, now_ms: float) -> LoadReport:
        """Return the load as it was `REPORT_LAG_MS` ago."""
        at_ms = now_ms - REPORT_LAG_MS
        active = [
            stream
            for stream in self.streams
            if stream.sent_ms <= at_ms < (stream.end_ms or math.inf)
        ]
        running = [stream for stream in active if stream.is_running(at_ms)]
        waiting = [stream for stream in active if not stream.is_running(at_ms)]
        waiting.sort(key=_start_ms)
        reading = waiting[:1]
        queued_tokens = sum(stream.tokens for stream in waiting[1:])
        return LoadReport(
            queued=max(len(waiting) - 1, 0),
            running=len(running) + len(reading),
            kv_used=sum(stream.tokens for stream in running + reading),
            kv_total=KV_TOKENS,
            at_ms=now_ms,
            unread_tokens=sum(stream.tokens for stream in waiting),
            waiting_tokens=queued_tokens,
            runs=tuple(
                RunProgress(
                    stream.name,
                    stream.tokens,
                    stream.events_at(at_ms),
                    stream.urgency,
                )
                for stream in running
            ),
        )

    def _start_next(self) -> None:
        """Start the prefill of the next stream, if there is room for it."""
        if self._is_prefilling or not self._waiting:
            return
        stream = self._waiting[0]
        missing = self._held_tokens + stream.tokens - KV_TOKENS
        if missing > 0 and not self._preempt(stream, missing):
            return
        now_ms = self.model.now_ms
        self._waiting.remove(stream)
        self._is_prefilling = True
        self._held_tokens += stream.tokens
        stream.run_ms = now_ms + stream.tokens / self.rate_per_ms
        if not stream.first_ms:
            stream.wait_ms = now_ms - stream.sent_ms
            stream.first_ms = stream.run_ms
        left = max(EVENTS - stream.made, 1)
        stream.end_ms = stream.run_ms + left * EVENT_MS
        self.model.at(stream.run_ms, lambda: self._first_event(stream))
        preemptions = stream.preemptions
        self.model.at(stream.end_ms, lambda: self._end(stream, preemptions))

    def _preempt(self, urgent: Stream, missing: int) -> bool:
        """Preempt less urgent runs; return whether there were enough."""
        now_ms = self.model.now_ms
        runs = [
            stream
            for stream in self.streams
            if stream.urgency > urgent.urgency
            and stream.is_running(now_ms)
            and stream.end_ms > now_ms
        ]
        if sum(stream.tokens for stream in runs) < missing:
            return False
        runs.sort(key=lambda one: (one.urgency, one.sent_ms))
        while missing > 0:
            stream = runs.pop()
            missing -= stream.tokens
            self._held_tokens -= stream.tokens
            stream.made = stream.events_at(now_ms)
            stream.run_ms = 0
            stream.end_ms = 0
            stream.preemptions += 1
            bisect.insort_left(self._waiting, stream, key=_urgency)
        return True

    def _first_event(self, stream: Stream) -> None:
        self._is_prefilling = False
        if not stream.preemptions:
            stream.on_first()
        self._start_next()

    def _end(self, stream: Stream, preemptions: int) -> None:
        if stream.preemptions != preemptions:
            return
        self._held_tokens -= stream.tokens
        stream.on_end()
        self._start_next()


def _urgency(stream: Stream) -> int:
    return stream.urgency


def _start_ms(stream: Stream) -> float:
    return stream.run_ms or math.inf


@dataclass
class ModelEntry:
    """Entry that places streams by late reports."""

    model: OverloadModel
    directory: UpstreamDirectory
    choice: UpstreamChoice
    gate: StreamGate

    @classmethod
    def create(cls, model: OverloadModel, seed: int) -> ModelEntry:
        """Return an entry that knows all engines of a model."""
        directory = UpstreamDirectory(model.clock)
        for name in model.engine_by_name:
            directory.update(
                UpstreamRecord(
                    name,
                    SERVICE,
                    address=f'{name}:80',
                    failure_domain=f'd{len(name) % 2}',
                    state=UpstreamState.READY,
                    slots=SLOTS,
                    started_ms=1,
                )
            )
        rng = random.Random(seed)
        choice = UpstreamChoice(directory, 'd0', {'d0': 'r', 'd1': 'r'}, rng)
        gate = StreamGate(model.clock, rng, lambda: model.entry_count)
        return cls(model, directory, choice, gate)

    def offer(self, stream: Stream, team: str = 't') -> StreamRefused | None:
        """Place a stream or return its refusal."""
        gate = self.gate
        demand = StreamDemand(
            SERVICE,
            'route',
            team,
            stream.target_ms,
            self.model.now_ms,
            TIME_LIMIT_MS,
            stream.rank,
            stream.tokens,
        )
        request = RelayPlacementRequest(SERVICE, stream.tokens)
        demand = replace(
            demand,
            rank=gate.offer(demand),
            prompt_tokens=gate.judged_tokens(demand),
        )
        stream.urgency = demand.rank.urgency or 0
        request = self._with_precedence(demand.rank, request)
        candidates = self.choice.draw_candidates(request)
        chosen = self._rank(candidates, request)[0]
        view = self._view(chosen, request)
        refused = gate.check(demand, view)
        if refused is not None or gate.preempts(demand, view):
            ranked = self._rank(self.choice.draw_least_loaded(request), request)
            views = [self._view(upstream, request) for upstream in ranked]
            drawn = gate.draw(demand, views)
            if isinstance(drawn, StreamRefused):
                gate.check_team(demand, views[0])
                return drawn
            chosen, view = ranked[drawn], views[drawn]
        refused = gate.check_team(demand, view)
        if refused is None:
            gate.record_admitted(demand, stream.rank, stream.tokens)
            self._send(chosen, stream, demand, view)
        return refused

    def _with_precedence(
        self, rank: Rank, request: RelayPlacementRequest
    ) -> RelayPlacementRequest:
        first = next(iter(self.directory.of_service(SERVICE)))
        precedence = self.gate.precedence(
            SERVICE,
            rank,
            self.choice.count_engines(request),
            self.choice.forecast(first, request).occupancy_ms,
        )
        return replace(request, precedence=precedence)

    def _send(
        self,
        chosen: Upstream,
        stream: Stream,
        demand: StreamDemand,
        view: EngineView,
    ) -> None:
        chosen.record_send(stream.tokens, self.model.now_ms)
        chosen.in_flight += 1
        chosen.prefill_tokens += stream.tokens
        self.gate.record_start(SERVICE, demand.team)
        engine = self.model.engine_by_name[chosen.record.instance]
        stream.on_first = partial(
            self._first_event, chosen, stream, demand, view
        )
        stream.on_end = partial(self._end, chosen, stream, demand.team)
        engine.send(stream)

    def _first_event(
        self,
        chosen: Upstream,
        stream: Stream,
        demand: StreamDemand,
        view: EngineView,
    ) -> None:
        chosen.prefill_tokens -= stream.tokens
        work = view.forecast.work
        self.gate.record_wait(SERVICE, demand.rank, stream.wait_ms)
        if view.forecast.shows_speed:
            self.directory.record_prefill(
                chosen,
                work.prefill_tokens + stream.tokens,
                stream.first_ms - stream.sent_ms,
            )

    def _end(self, chosen: Upstream, stream: Stream, team: str) -> None:
        chosen.in_flight -= 1
        span_ms = EVENTS * EVENT_MS
        first_ms = stream.first_ms - stream.sent_ms
        self.directory.record_stream(chosen, EVENTS, span_ms)
        self.gate.record_end(SERVICE, team, first_ms + span_ms)

    def _rank(
        self, upstreams: list[Upstream], request: RelayPlacementRequest
    ) -> list[Upstream]:
        now_ms = self.model.now_ms
        for candidate in upstreams:
            report = candidate.report
            if report is None or now_ms - report.at_ms >= REPORT_REUSE_MS:
                engine = self.model.engine_by_name[candidate.record.instance]
                candidate.apply_report(engine.report(now_ms))
        return sorted(
            upstreams,
            key=lambda upstream: self.choice.cost_ms(upstream, request),
        )

    def _view(
        self, upstream: Upstream, request: RelayPlacementRequest
    ) -> EngineView:
        assert upstream.report is not None
        engines = self.choice.count_engines(request)
        return EngineView(
            self.choice.forecast(upstream, request),
            self.model.now_ms - upstream.report.at_ms,
            engines,
            min(SAMPLED_CANDIDATES / engines, 1),
            min(LEAST_LOADED_UPSTREAMS, engines),
        )


def _start_none(streams: Sequence[Stream]) -> None:
    del streams


@dataclass
class Outcomes:
    """What became of the streams that were offered.

    Parameters
    ----------
    start_all
        Runs the model on until given streams have begun; called before results
        are read.
    """

    start_all: Callable[[Sequence[Stream]], None] = _start_none
    offered: list[Stream] = field(default_factory=list)
    refusals: list[StreamRefused] = field(default_factory=list)
    _placed: list[tuple[Stream, str]] = field(default_factory=list)

    def record(
        self, stream: Stream, refused: StreamRefused | None, team: str
    ) -> None:
        """Count a stream that was placed or refused."""
        self.offered.append(stream)
        if refused is not None:
            self.refusals.append(refused)
            return
        self._placed.append((stream, team))

    @property
    def refused(self) -> int:
        """Return the streams that were refused."""
        return len(self.refusals)

    @property
    def placed_streams(self) -> list[Stream]:
        """Return the streams that were placed, in order."""
        streams = [stream for stream, _ in self._placed]
        self.start_all(streams)
        return streams

    @property
    def in_time(self) -> int:
        """Return the streams whose first event came within the target."""
        return self.in_time_by_team.total()

    @property
    def in_time_by_team(self) -> Counter[str]:
        """Return the same by team."""
        self.start_all(self.placed_streams)
        return Counter(
            team for stream, team in self._placed if stream.is_in_time
        )

    @property
    def late(self) -> int:
        """Return the other streams that were placed."""
        return self.placed - self.in_time

    @property
    def waits_ms(self) -> list[float]:
        """Return the waits before the prefill of placed streams, sorted."""
        return sorted(stream.wait_ms for stream in self.placed_streams)

    @property
    def placed(self) -> int:
        """Return the streams that were placed."""
        return len(self._placed)


class OverloadModel:
    """Engines and entries on one clock that the model advances."""

    def __init__(
        self, rates_per_ms: tuple[float, ...], entries: int, seed: int = 1
    ) -> None:
        self.now_ms: float = 1000
        self.clock = Clock(
            monotonic_s=lambda: self.now_ms / 1000,
            calendar_s=lambda: self.now_ms / 1000,
        )
        self.rng = random.Random(seed)
        # Largest difference of a prompt's length from the mean, by that mean.
        self.spread = 0.4
        self.entry_count = entries
        self.engine_by_name = {
            f'e{number}{"x" * (number % 2)}': ModelEngine(self, rate)
            for number, rate in enumerate(rates_per_ms)
        }
        self.entries = [
            ModelEntry.create(self, seed + number) for number in range(entries)
        ]
        self._timers: list[_Timer] = []
        self._order = itertools.count()

    def at(self, due_ms: float, action: _Action) -> None:
        """Call an action at a time."""
        heapq.heappush(self._timers, (due_ms, next(self._order), action))

    def offer(
        self,
        per_s: float,
        seconds: float,
        team_weights: dict[str, float] | None = None,
        kinds: Sequence[Kind] = (ONE_KIND,),
    ) -> Outcomes:
        """Offer streams at random times to random entries."""
        outcomes = Outcomes(self._start_all)
        end_ms = self.now_ms + seconds * 1000
        teams = team_weights or {'t': 1}
        while True:
            due_ms = self.now_ms + self.rng.expovariate(per_s / 1000)
            if due_ms > end_ms:
                self.advance(end_ms)
                return outcomes
            self.advance(due_ms)
            team = self.rng.choices(list(teams), list(teams.values()))[0]
            self.offer_one(outcomes, team, self._draw_kind(kinds))

    def _start_all(self, streams: Sequence[Stream]) -> None:
        """Advance the clock until some streams have begun."""
        while any(not stream.first_ms for stream in streams):
            self.advance(self._timers[0][0])

    def _draw_kind(self, kinds: Sequence[Kind]) -> Kind:
        if len(kinds) == 1:
            return kinds[0]
        return self.rng.choices(kinds, [kind.weight for kind in kinds])[0]

    def advance(self, until_ms: float) -> None:
        """Advance the clock and call the actions that are due."""
        while self._timers and self._timers[0][0] <= until_ms:
            due_ms, _, action = heapq.heappop(self._timers)
            self.now_ms = max(self.now_ms, due_ms)
            action()
        self.now_ms = until_ms

    def offer_one(
        self, outcomes: Outcomes, team: str, kind: Kind = ONE_KIND
    ) -> None:
        """Offer one stream now to a random entry."""
        part = self.rng.uniform(1 - self.spread, 1 + self.spread)
        tokens = int(PROMPT_TOKENS * part)
        stream = Stream(
            f's{next(self._order)}',
            self.now_ms,
            tokens,
            kind.target_ms,
            kind.rank,
        )
        refused = self.rng.choice(self.entries).offer(stream, team)
        outcomes.record(stream, refused, team)


@click.command()
@click.option('--seconds', default=10.0, show_default=True)
def main(seconds: float) -> None:
    """Print streams in time, late and refused, by entries and load."""
    for entries, engines in ((6, 9), (24, 44), (68, 78)):
        for times in (0.5, 1, 2, 4):
            model = OverloadModel((DEFAULT_RATE_PER_MS,) * engines, entries)
            outcomes = model.offer(engines * times, seconds)
            click.echo(
                f'{entries} entries, {engines} engines, {times:g} streams a '
                f'second and engine: {outcomes.in_time} in time, '
                f'{outcomes.late} late, {outcomes.refused} refused'
            )


if __name__ == '__main__':
    main()
