"""Admission of streams by the expected time to their first event.

Where more is asked than the engines can serve, prompts wait in the engines'
queues until all of them are late, and engines prefill prompts whose callers
have left. A stream is therefore placed only while its first event is expected
within a limit, and refused at once otherwise.

All entries see the same engines, by reports that are some hundred milliseconds
old. Those that see room for one prompt would all place one. An entry therefore
estimates how many streams the others place meanwhile, and takes its share of
the room at random.

Where streams of several ranks compete, the wait of each counts only the prompts
that go before it, and is longer by the more urgent ones that still arrive. So a
less urgent stream is refused while a more urgent one still fits.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.overload.length_use import LengthUse
from bergamotthread.process.overload.overload import (
    Admitted,
    OverloadGuard,
    OverloadLimits,
)
from bergamotthread.process.overload.rank import SINGLE_RANK, Rank
from bergamotthread.process.overload.rank_use import (
    DecayedSum,
    Precedence,
    RankUse,
    kept_prompts,
    stretch_of,
)
from bergamotthread.process.overload.retry_after import RetryAfterRange
from bergamotthread.process.relay.engine_forecast import EngineForecast

# Fraction of the first-event target within which the first event must be
# expected. The rest covers errors of the forecast.
LIMIT_FRACTION = 0.75
# Longest wait of a stream that will be late in any case, as a fraction of the
# target. Only engines with almost no backlog take it, so that it delays none
# that can be in time.
LATE_WAIT_FRACTION = 0.2
# Streams may be shorter than their mean by so much.
SHORTEST_RUN_FRACTION = 0.7
# Number of requests, and quantile of the time limits that they bring, that give
# the longest time limit of first requests. Those of other callers may be
# shorter by a fifth. They are kept for so many routes.
TIME_LIMITS_KEPT = 128
ROUTES_KEPT = 256
TIME_LIMIT_QUANTILE = 0.9
TIME_LIMIT_SPREAD = 0.2
# Time between a placement and the first load report that shows it, beside the
# age of the report at hand.
REPORT_DELAY_MS = 150.0
# Time constant of the rate at which streams are offered.
RATE_SMOOTHING_MS = 1500.0
# Time constant of the parts of the ranks in that rate.
PARTS_SMOOTHING_MS = 5000.0
# Streams whose first candidates have a backlog come in bursts, and all turn to
# the same few engines; so many times the mean rate is expected of them.
BACKLOGGED_BURST = 2.0
# Utilisation is the expected time to the first event over its limit. Teams
# share the engines by weight only once these are almost full.
TEAM_LIMITS = OverloadLimits(utilisation_max=math.inf, fair_utilisation=0.7)
RETRY_AFTER_MIN_MS = 500.0
_PROMPT_MS_MIN = 1.0


@dataclass(frozen=True, slots=True)
class StreamDemand:
    """A new stream that asks to be placed.

    Parameters
    ----------
    target_ms
        Target for the first event, from the caller's first request.
    received_ms
        Monotonic time at which the request arrived.
    time_limit_ms
        Time that the request had when it arrived.
    rank
        Rank of the request, or that as which it competes.
    prompt_tokens
        Tokens of its prompt, or those as which it is judged.
    """

    service: str
    route: str
    team: str
    target_ms: float
    received_ms: float
    time_limit_ms: float
    rank: Rank = SINGLE_RANK
    prompt_tokens: int = 0


@dataclass(frozen=True, slots=True)
class StreamTimes:
    """Times that decide on a stream, in milliseconds.

    Parameters
    ----------
    spent_ms
        Time since the caller's first request.
    remaining_ms
        Time until the caller's deadline.
    """

    target_ms: float
    spent_ms: float
    remaining_ms: float

    def is_late(self, prompt_ms: float) -> bool:
        """Return whether the target is missed also without a wait."""
        return self._in_time_ms < prompt_ms

    def allow_end(self, forecast: EngineForecast) -> bool:
        """Return whether the stream is expected to end by the deadline."""
        run_ms = forecast.run_ms * SHORTEST_RUN_FRACTION
        return forecast.first_event_ms + run_ms <= self.remaining_ms

    def limit_ms(self, prompt_ms: float) -> float:
        """Return the longest expected time to the first event from now."""
        if self.is_late(prompt_ms):
            return prompt_ms + self.target_ms * LATE_WAIT_FRACTION
        return self._in_time_ms

    @property
    def _in_time_ms(self) -> float:
        return self.target_ms * LIMIT_FRACTION - self.spent_ms


@dataclass(frozen=True, slots=True)
class EngineView:
    """What an entry knows of an engine when it decides on a stream.

    Parameters
    ----------
    forecast
        Forecast of the stream at the engine.
    report_age_ms
        Age of the load report that the forecast is based on.
    engines
        Engines of the service.
    draw_fraction
        Fraction of all streams for which the engine is among the candidates.
    least_loaded_count
        Number of the least loaded engines, among which streams are drawn whose
        first candidates have a backlog.
    """

    forecast: EngineForecast
    report_age_ms: float
    engines: int
    draw_fraction: float
    least_loaded_count: int


@dataclass(frozen=True, slots=True)
class StreamRefused:
    """No engine is expected to send the first event in time.

    Parameters
    ----------
    decided_by
        `engines`, or the team that uses more than its share of them.
    backlog_ms
        Expected wait before the prefill of the prompt.
    report_age_ms
        Age of the load report that the expectation is based on.
    rivals
        Streams that others are expected to place at the engine meanwhile.
    """

    decided_by: str
    expected_ms: float
    limit_ms: float
    backlog_ms: float
    report_age_ms: float
    rivals: float
    retry_after_ms: int


@dataclass
class OfferedRates:
    """Smoothed rate of requests for a service, and its parts by rank.

    One entry gets few requests of each rank, so the parts are those of a
    longer time than the rate.
    """

    _total: DecayedSum = field(
        default_factory=lambda: DecayedSum(RATE_SMOOTHING_MS)
    )
    _by_position: dict[int, DecayedSum] = field(default_factory=dict)

    def record(self, rank: Rank, now_ms: float) -> None:
        """Count a request."""
        self._total.add(1 / RATE_SMOOTHING_MS, now_ms)
        part = self._by_position.get(rank.position)
        if part is None:
            part = DecayedSum(PARTS_SMOOTHING_MS)
            self._by_position[rank.position] = part
        part.add(1, now_ms)

    def per_ms(self, rank: Rank, now_ms: float, counted: int = 0) -> float:
        """Return the rate of a rank and all more urgent ones.

        Parameters
        ----------
        counted
            Requests counted just now that are to be left out.
        """
        per_ms = self._total.at(now_ms) - counted / RATE_SMOOTHING_MS
        parts = {
            position: part.at(now_ms)
            for position, part in self._by_position.items()
        }
        if per_ms <= 0 or not parts:
            return 0
        before = sum(
            part
            for position, part in parts.items()
            if position <= rank.position
        )
        return per_ms * before / sum(parts.values())


@dataclass
class StreamGate:
    """Decides on new streams, as one of several entries.

    Parameters
    ----------
    count_entries
        Returns the number of entries that place streams at the same engines.
    """

    clock: Clock
    rng: random.Random
    count_entries: Callable[[], int]
    _rates_by_service: dict[str, OfferedRates] = field(default_factory=dict)
    _backlogged_rates_by_service: dict[str, OfferedRates] = field(
        default_factory=dict
    )
    _guard_by_service: dict[str, OverloadGuard] = field(default_factory=dict)
    _time_limits_by_route: dict[str, deque[float]] = field(default_factory=dict)
    _ranks_by_service: dict[str, RankUse] = field(default_factory=dict)
    _lengths_by_route: dict[str, LengthUse] = field(default_factory=dict)

    def offer(self, demand: StreamDemand) -> Rank:
        """Count a stream before it is decided on.

        Returns
        -------
        Rank
            Rank as which it competes.
        """
        rank = self._ranks(demand.service).offer(demand.rank)
        rates = self._rates_by_service
        service_rates = rates.setdefault(demand.service, OfferedRates())
        service_rates.record(rank, self.clock.now_ms())
        self._record_time_limit(demand)
        return rank

    def judged_tokens(self, demand: StreamDemand) -> int:
        """Count the prompt of a stream, once, before it is decided on.

        Where ranks decide, the most urgent streams don't make room for long
        ones of their route, since less urgent ones would take it.

        Returns
        -------
        int
            Tokens as which it is judged.
        """
        by_route = self._lengths_by_route
        lengths = by_route.pop(demand.route, None)
        if lengths is None:
            lengths = LengthUse(self.clock, self.rng)
        by_route[demand.route] = lengths
        if len(by_route) > ROUTES_KEPT:
            by_route.pop(next(iter(by_route)))
        judged_tokens = lengths.offer(demand.prompt_tokens)
        is_most_urgent = demand.rank.matters and not demand.rank.position
        return demand.prompt_tokens if is_most_urgent else judged_tokens

    def precedence(
        self, service: str, rank: Rank, engines: int, occupancy_ms: float
    ) -> Precedence:
        """Return how streams of other ranks change the wait of a stream.

        Parameters
        ----------
        occupancy_ms
            Time of an engine that a stream takes.
        """
        if not rank.matters:
            return Precedence()
        ranks = self._ranks(service)
        before = ranks.before(rank)
        per_ms = before.per_ms * self.count_entries()
        utilisation = per_ms * occupancy_ms / max(engines, 1)
        return Precedence(
            ranks.ahead_share(rank),
            stretch_of(utilisation),
            kept_prompts(utilisation) * before.mean_tokens,
            rank.urgency,
        )

    def check(
        self, demand: StreamDemand, view: EngineView
    ) -> StreamRefused | None:
        """Return a refusal if an engine is not expected to be in time."""
        times = self._times(demand)
        if times.is_late(view.forecast.prompt_ms):
            has_room = self._has_spare_time(demand, view)
        else:
            rivals = self._expected_rivals(demand, view)
            has_room = self._may_use(_room(view, times, demand), rivals)
        if has_room and times.allow_end(view.forecast):
            return None
        return self._refuse('engines', demand, view)

    def preempts(self, demand: StreamDemand, view: EngineView) -> bool:
        """Return whether an engine would preempt a run for the stream."""
        return demand.rank.matters and view.forecast.lacks_memory

    def draw(
        self, demand: StreamDemand, views: Sequence[EngineView]
    ) -> int | StreamRefused:
        """Draw one of the least loaded engines, or return a refusal.

        All entries whose first candidates have a backlog turn to these engines,
        so they are drawn by the room that they have. Those that would preempt
        a run are drawn only if there are no others.

        Parameters
        ----------
        views
            The engines, the cheapest in front.

        Returns
        -------
        int or StreamRefused
            Index of the engine.
        """
        self._record_backlogged(demand)
        best = views[0]
        times = self._times(demand)
        if times.is_late(best.forecast.prompt_ms):
            refused = self.check(demand, best)
            return 0 if refused is None else refused
        rooms = [_room(view, times, demand) for view in views]
        if demand.rank.matters:
            rooms = _without_preemption(views, rooms)
        rivals = self._expected_backlogged(demand, best)
        if not self._may_use(sum(rooms), rivals):
            return self._refuse('engines', demand, best)
        return self.rng.choices(range(len(views)), rooms)[0]

    def check_team(
        self, demand: StreamDemand, view: EngineView, *, is_again: bool = False
    ) -> StreamRefused | None:
        """Return a refusal if a team uses more than its share of busy engines.

        Called also if the engines decided before, since the share depends on
        what each team asks for.

        Parameters
        ----------
        is_again
            Whether this was called for the stream before; it counts once.
        """
        forecast = view.forecast
        limit_ms = self._times(demand).limit_ms(forecast.prompt_ms)
        verdict = self._guard(demand.service).check(
            demand.team,
            forecast.first_event_ms / limit_ms,
            is_again=is_again,
        )
        if isinstance(verdict, Admitted):
            return None
        return self._refuse(verdict.decided_by, demand, view)

    def record_admitted(
        self, demand: StreamDemand, own: Rank, tokens: int
    ) -> None:
        """Record that a new stream was placed.

        Parameters
        ----------
        own
            Rank of the stream, whatever it competes as.
        tokens
            Tokens of its prompt.
        """
        self._ranks(demand.service).admit(own, demand.rank, tokens)
        lengths = self._lengths_by_route.get(demand.route)
        if lengths is not None:
            lengths.admit(tokens)

    def record_wait(self, service: str, rank: Rank, wait_ms: float) -> None:
        """Record how long a new stream waited for its prefill."""
        self._ranks(service).record_wait(rank, wait_ms)

    def record_start(self, service: str, team: str) -> None:
        """Record the start of a stream."""
        self._guard(service).record_start(team)

    def record_end(self, service: str, team: str, run_ms: float) -> None:
        """Record the end of a stream; `run_ms` is 0 if it did not complete."""
        self._guard(service).record_end(team, run_ms)

    def _refuse(
        self, decided_by: str, demand: StreamDemand, view: EngineView
    ) -> StreamRefused:
        times = self._times(demand)
        expected_ms = view.forecast.first_event_ms
        limit_ms = times.limit_ms(view.forecast.prompt_ms)
        bounds = RetryAfterRange.from_remaining(
            RETRY_AFTER_MIN_MS, times.remaining_ms
        )
        # The waits of less urgent streams are longer, so they return later.
        retry_after_ms = bounds.spread(
            max(expected_ms - limit_ms, 0),
            view.forecast.wait_ms,
            self.rng,
        )
        return StreamRefused(
            decided_by,
            expected_ms,
            limit_ms,
            view.forecast.wait_ms,
            view.report_age_ms,
            self._expected_rivals(demand, view),
            retry_after_ms,
        )

    def _record_time_limit(self, demand: StreamDemand) -> None:
        """Keep the time limit, for the routes that were used last."""
        by_route = self._time_limits_by_route
        limits = by_route.pop(demand.route, None)
        if limits is None:
            limits = deque(maxlen=TIME_LIMITS_KEPT)
        limits.append(demand.time_limit_ms)
        by_route[demand.route] = limits
        if len(by_route) > ROUTES_KEPT:
            by_route.pop(next(iter(by_route)))

    def _times(self, demand: StreamDemand) -> StreamTimes:
        """Return the times of a stream.

        A caller that returns brings the rest of its time limit, which tells at
        least how long ago its first request was. First requests are more than
        a tenth of all, and bring the longest limits.
        """
        waited_ms = self.clock.now_ms() - demand.received_ms
        spent_ms = waited_ms
        limits = sorted(self._time_limits_by_route.get(demand.route, ()))
        if limits:
            longest_ms = limits[int(len(limits) * TIME_LIMIT_QUANTILE)]
            first_ms = longest_ms * (1 - TIME_LIMIT_SPREAD)
            spent_ms += max(first_ms - demand.time_limit_ms, 0)
        return StreamTimes(
            demand.target_ms, spent_ms, demand.time_limit_ms - waited_ms
        )

    def _may_use(self, room: float, rivals: float) -> bool:
        """Return whether a stream may use room that others compete for."""
        return self.rng.random() * (1 + rivals) < room

    def _has_spare_time(self, demand: StreamDemand, view: EngineView) -> bool:
        """Return whether a late stream delays none that can be in time.

        Engines with work ahead take it only in the time that they have left
        beside all streams that are offered.
        """
        wait_ms = view.forecast.wait_ms
        if wait_ms <= 0:
            return True
        if view.forecast.free_prompts < 1:
            return False
        if wait_ms > demand.target_ms * LATE_WAIT_FRACTION:
            return False
        rates = self._rates_by_service.get(demand.service, OfferedRates())
        own_per_ms = rates.per_ms(demand.rank, self.clock.now_ms())
        offered_per_ms = own_per_ms * self.count_entries()
        taken_per_ms = max(view.engines, 1) / view.forecast.occupancy_ms
        return self.rng.random() > offered_per_ms / taken_per_ms

    def _expected_rivals(self, demand: StreamDemand, view: EngineView) -> float:
        """Return the streams that others place before a report shows them.

        Others draw the engine as a first candidate, or as one of the least
        loaded. Less urgent ones go behind the stream and are no rivals.
        """
        rates = self._rates_by_service.get(demand.service, OfferedRates())
        unseen = self._unseen(rates, demand.rank, view)
        first = unseen * view.draw_fraction
        backlogged = self._expected_backlogged(demand, view)
        return first + backlogged / view.least_loaded_count

    def _expected_backlogged(
        self, demand: StreamDemand, view: EngineView
    ) -> float:
        """Return the same for all of the least loaded engines."""
        rates = self._backlogged_rates_by_service.get(
            demand.service, OfferedRates()
        )
        return self._unseen(rates, demand.rank, view) * BACKLOGGED_BURST

    def _unseen(
        self, rates: OfferedRates, rank: Rank, view: EngineView
    ) -> float:
        others = max(self.count_entries() - 1, 0)
        # The stream has been counted, and says nothing of the others.
        per_ms = rates.per_ms(rank, self.clock.now_ms(), counted=1)
        unseen_ms = view.report_age_ms + REPORT_DELAY_MS
        return per_ms * others * unseen_ms

    def _record_backlogged(self, demand: StreamDemand) -> None:
        rates = self._backlogged_rates_by_service
        service_rates = rates.setdefault(demand.service, OfferedRates())
        service_rates.record(demand.rank, self.clock.now_ms())

    def _ranks(self, service: str) -> RankUse:
        ranks = self._ranks_by_service.get(service)
        if ranks is None:
            ranks = RankUse(self.clock, self.rng)
            self._ranks_by_service[service] = ranks
        return ranks

    def _guard(self, service: str) -> OverloadGuard:
        guard = self._guard_by_service.get(service)
        if guard is None:
            guard = OverloadGuard(self.clock, TEAM_LIMITS)
            self._guard_by_service[service] = guard
        return guard


def _without_preemption(
    views: Sequence[EngineView], rooms: list[float]
) -> list[float]:
    """Return the room of the engines that would preempt no run, if any."""
    free = [
        0 if view.forecast.lacks_memory else room
        for view, room in zip(views, rooms, strict=True)
    ]
    return free if sum(free) else rooms


def _room(view: EngineView, times: StreamTimes, demand: StreamDemand) -> float:
    """Return how many such prompts an engine can take in time; 0 if none.

    A prompt that is judged as a longer one must leave the time for that one,
    if it could be in time at all.
    """
    forecast = view.forecast
    prompt_ms = max(forecast.prompt_ms, _PROMPT_MS_MIN)
    limit_ms = times.limit_ms(prompt_ms)
    spare_ms = limit_ms - forecast.first_event_ms
    longer_tokens = demand.prompt_tokens - forecast.prompt_tokens
    if forecast.prompt_tokens and longer_tokens > 0:
        longer_ms = prompt_ms * longer_tokens / forecast.prompt_tokens
        if prompt_ms + longer_ms <= limit_ms:
            spare_ms -= longer_ms
    if spare_ms < 0 or not times.allow_end(forecast):
        return 0
    return min(1 + spare_ms / prompt_ms, forecast.free_prompts)
