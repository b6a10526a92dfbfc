"""Directory of the upstreams of all services, with their load and health."""

from __future__ import annotations

import enum
import math
from collections import Counter, defaultdict, deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace

from bergamotthread.clock import Clock
from bergamotthread.process.overload.output_length import OutputLengths
from bergamotthread.process.overload.rank import Rank
from bergamotthread.process.overload.run_statistics import RunStatistics
from bergamotthread.process.relay.build_history import (
    BuildHistory,
    count_accepting,
    shrinking_builds,
    sparse_builds,
)
from bergamotthread.process.relay.hash_ring import HashRing
from bergamotthread.process.relay.leaving import LeavingIncarnations
from bergamotthread.process.relay.pauses import (
    Incarnation,
    Pause,
    UpstreamPauses,
)
from bergamotthread.process.relay.request_limits import RequestLimits
from bergamotthread.process.rollouts.build_plan import ANY_BUILD, BuildPlan
from bergamotthread.process.rollouts.gate import UpstreamBuild

# Urgency of a run whose request names none.
DEFAULT_URGENCY = 5
# Time after which a lost upstream is tried again even if it stayed silent. The
# store row of an upstream that has ended expires within three intervals of
# 1.2 s, so by then only live upstreams are listed.
LOST_RETRY_MS = 4000
# With this many losses in one failure domain within `DOMAIN_LOSS_WINDOW_MS`,
# the other upstreams of the domain are suspected until they send something or
# the losses are older than that.
DOMAIN_LOSSES_MIN = 2
DOMAIN_LOSS_WINDOW_MS = 1500
# Time within which a removed upstream may be replaced or listed again. Rows
# that lapsed in an outage of the store are back two seconds after its return.
REPLACEMENT_MS = 2000
# Age that the values of a load report may have when it arrives.
REPORT_LAG_MS = 150
# Shortest time between two load reports that give the pace of the runs, and the
# weight of that pace, which changes with each prompt that is prefilled beside
# the runs.
EVENT_INTERVAL_SPAN_MS = 100
EVENT_INTERVAL_WEIGHT = 0.5
# Weight of one complete stream in the output length of its service.
_OUTPUT_WEIGHT = 0.05
# Weight of the newest outcome in the average of failures.
_OUTCOME_WEIGHT = 0.25
# Failures decay with this half-life, so that a failing upstream is tried again.
FAILURE_HALF_LIFE_MS = 4000


class UpstreamState(enum.Enum):
    """State that an upstream registers in the store."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """One upstream as the store lists it.

    Parameters
    ----------
    instance
        Identifier of this incarnation of the upstream.
    started_ms
        Calendar time of its start; 0 if unknown.
    build
        Version of its software; empty if its row names none. Builds have no
        order.
    """

    instance: str
    service: str
    address: str
    failure_domain: str
    state: UpstreamState
    slots: int = 0
    started_ms: int = 0
    build: str = ''

    @property
    def incarnation(self) -> Incarnation:
        """Return what tells this start of the upstream from others."""
        return Incarnation(self.instance, self.address, self.started_ms)

    @property
    def upstream_build(self) -> UpstreamBuild:
        """Return what roll-outs know of this upstream."""
        return UpstreamBuild(
            self.instance, self.service, self.build, self.failure_domain
        )


@dataclass(frozen=True, slots=True)
class RunProgress:
    """Tokens that a run holds in the KV cache, and events it has produced.

    Parameters
    ----------
    urgency
        0 for the most urgent; the upstream takes memory back from the least
        urgent run first.
    """

    run: str
    tokens: int
    events: int
    urgency: int = DEFAULT_URGENCY


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an upstream reported.

    Parameters
    ----------
    kv_used, kv_total
        Tokens of the KV cache that can't be evicted, and its capacity.
    unread_tokens
        Accepted prompt tokens that wait for prefill.
    waiting_tokens
        Those of them that hold no memory yet.
    runs
        Runs that have produced an event.
    copies
        Copies of other upstreams' runs that it holds.
    at_ms
        Monotonic time at which the report arrived.
    started_ms
        Calendar time of the upstream's start; 0 if it says none.
    """

    queued: int
    running: int
    kv_used: int
    kv_total: int
    at_ms: float
    unread_tokens: int = 0
    waiting_tokens: int = 0
    runs: tuple[RunProgress, ...] = ()
    copies: int = 0
    started_ms: int = 0


@dataclass(frozen=True, eq=False, slots=True)
class RoomClaim:
    """Claim of one stream to the next room in an upstream's KV cache."""

    rank: Rank


@dataclass(slots=True)
class Upstream:
    """Listed upstream with what this process observed of it.

    Parameters
    ----------
    prefill_tokens
        Prompt tokens of this process's attempts that have no event yet.
    sent_since_report
        Prompt tokens of attempts that this process sent and that the report
        can't show yet.
    statistics
        Speed of the upstream, learned from reports and own streams.
    has_prefilled
        Whether a prefill of an own stream is among them.
    request_bytes
        Bodies of this process's requests that it holds.
    held_tokens
        Prompt tokens of this process's streams whose copies the upstream holds.
    room_claim
        Claim of the stream of this process that waits for room in its KV cache;
        None if none does.
    is_unlisted
        Whether its row disappeared in an outage of the store and may return.
    is_leaving
        Whether it said in an answer that it is leaving.
    is_restarted
        Whether it said that it started later than its row says. What the row
        says of its build may be wrong then.
    listed_ms, heard_ms, lost_ms
        Monotonic times at which it was first listed, last sent bytes and was
        marked lost; 0 before. `lost_ms` is reset when it sends something.
    unanswered_ms
        Monotonic time at which a probe of it last failed; 0 if none did since
        it sent something.
    failure_share, outcome_ms
        Average of failures after the last outcome, and the monotonic time of
        that outcome, from which the average decays.
    """

    record: UpstreamRecord
    in_flight: int = 0
    prefill_tokens: int = 0
    heard_ms: float = 0
    listed_ms: float = 0
    lost_ms: float = 0
    unanswered_ms: float = 0
    failure_share: float = 0
    outcome_ms: float = 0
    report: LoadReport | None = None
    sent_since_report: int = 0
    request_bytes: int = 0
    held_tokens: int = 0
    room_claim: RoomClaim | None = None
    is_unlisted: bool = False
    is_leaving: bool = False
    is_restarted: bool = False
    statistics: RunStatistics = field(default_factory=RunStatistics)
    has_prefilled: bool = False
    _recent_sends: deque[tuple[float, int]] = field(default_factory=deque)

    @property
    def sends_since_report(self) -> int:
        """Return the number of own attempts that the report can't show yet."""
        return len(self._recent_sends)

    @property
    def address(self) -> str:
        """Return the address at which it listens."""
        return self.record.address

    @property
    def accepts_requests(self) -> bool:
        """Return whether it is to get new requests."""
        is_ending = self.is_leaving or self.is_restarted
        return self.record.state is UpstreamState.READY and not is_ending

    def record_send(self, prompt_tokens: int, now_ms: float) -> None:
        """Record an own attempt that was sent just now.

        Plain upstreams send no load report that would end the record.
        """
        if not prompt_tokens:
            return
        self._recent_sends.append((now_ms, prompt_tokens))
        self.sent_since_report += prompt_tokens

    def apply_report(self, report: LoadReport) -> None:
        """Replace the load report, and learn the pace of the runs from it."""
        former = self.report
        self.report = report
        while (
            self._recent_sends
            and self._recent_sends[0][0] < report.at_ms - REPORT_LAG_MS
        ):
            self._recent_sends.popleft()
        self.sent_since_report = sum(tokens for _, tokens in self._recent_sends)
        if former is not None:
            progress = _Progress.between(former, report)
            if progress.interval_ms:
                self.statistics.record_interval(
                    progress.interval_ms, EVENT_INTERVAL_WEIGHT
                )
            if progress.tokens_per_event:
                self.statistics.record_growth(
                    progress.tokens_per_event, EVENT_INTERVAL_WEIGHT
                )


@dataclass
class UpstreamDirectory:
    """All upstreams that the store lists, by instance.

    Parameters
    ----------
    is_loaded
        Whether the store's list was read completely once.
    heard_ms
        Monotonic time at which any upstream last sent something; 0 before.
    pauses
        Pauses that the upstreams asked for.
    limits
        Rates of requests that the upstreams stated.
    """

    clock: Clock
    is_loaded: bool = False
    heard_ms: float = 0
    pauses: UpstreamPauses = field(default_factory=UpstreamPauses)
    limits: RequestLimits = field(default_factory=RequestLimits)
    _upstream_by_instance: dict[str, Upstream] = field(default_factory=dict)
    _instance_by_address: dict[str, str] = field(default_factory=dict)
    _losses_by_domain: dict[str, deque[float]] = field(default_factory=dict)
    _ring_by_service: dict[str, HashRing] = field(default_factory=dict)
    _removed_ms_by_service: dict[str, float] = field(default_factory=dict)
    _outputs_by_service: dict[str, RunStatistics] = field(default_factory=dict)
    _stream_count_by_service: Counter[str] = field(default_factory=Counter)
    _lengths_by_service: defaultdict[str, OutputLengths] = field(
        default_factory=lambda: defaultdict(OutputLengths.create)
    )
    _leaving: LeavingIncarnations = field(default_factory=LeavingIncarnations)
    _loaded_ms: float = math.inf
    _history_by_service: defaultdict[str, BuildHistory] = field(
        default_factory=lambda: defaultdict(BuildHistory)
    )
    _accepting_by_service: dict[str, dict[str, int]] = field(
        default_factory=dict
    )

    def __len__(self) -> int:
        return len(self._upstream_by_instance)

    @property
    def leaving_count(self) -> int:
        """Return the number of listed upstreams that said they leave."""
        return sum(
            upstream.is_leaving
            for upstream in self._upstream_by_instance.values()
        )

    def get(self, instance: str) -> Upstream | None:
        """Return one upstream, or None if it is not listed."""
        return self._upstream_by_instance.get(instance)

    def is_replaced(self, record: UpstreamRecord) -> bool:
        """Return whether a later process is listed at an upstream's address."""
        return any(
            one.record.address == record.address
            and one.record.started_ms > record.started_ms
            for one in self._upstream_by_instance.values()
        )

    def update(self, record: UpstreamRecord) -> Upstream | None:
        """Add or update an upstream; return the one that it replaces.

        A record of an older incarnation at a known address is ignored. One
        that has another build counts as another incarnation.
        """
        self._accepting_by_service.clear()
        listed = self._upstream_by_instance.get(record.instance)
        if listed is not None and _is_same_incarnation(listed.record, record):
            did_accept = listed.accepts_requests
            listed.record = record
            listed.is_unlisted = False
            self._record_left(listed, did_accept=did_accept)
            return None
        replaced = listed or self._at_address(record)
        if replaced is not None:
            if replaced.record.started_ms > record.started_ms:
                return None
            self.remove(replaced.record.instance)
        upstream = Upstream(
            record,
            listed_ms=self.clock.now_ms(),
            is_leaving=self._includes_leaving(record),
        )
        self._upstream_by_instance[record.instance] = upstream
        self._instance_by_address[record.address] = record.instance
        self._ring(record.service).add(record.address)
        history = self._history_by_service[record.service]
        history.record_came(record.build, self.clock.now_ms())
        return replaced

    def remove(self, instance: str) -> Upstream | None:
        """Remove an upstream and return it, or None if it is not listed."""
        upstream = self._upstream_by_instance.pop(instance, None)
        if upstream is not None:
            address = upstream.address
            self._instance_by_address.pop(address)
            service = upstream.record.service
            now_ms = self.clock.now_ms()
            self._ring(service).remove(address)
            self._removed_ms_by_service[service] = now_ms
            self._accepting_by_service.clear()
            history = self._history_by_service[service]
            history.record_removed(upstream.record.build, now_ms)
            if upstream.accepts_requests:
                history.record_left(upstream.record.build, now_ms)
        return upstream

    def record_loaded(self) -> None:
        """Record that the store's list was read completely."""
        if not self.is_loaded:
            self.is_loaded = True
            self._loaded_ms = self.clock.now_ms()

    def record_restarted(self, upstream: Upstream, started_ms: int) -> None:
        """Compare the start that an upstream states with that of its row."""
        listed_ms = upstream.record.started_ms
        if listed_ms and started_ms > listed_ms:
            upstream.is_restarted = True
            self._accepting_by_service.clear()

    def accepting_by_build(self, service: str) -> Mapping[str, int]:
        """Return the upstreams of each listed build that accept requests."""
        accepting = self._accepting_by_service.get(service)
        if accepting is None:
            accepting = count_accepting(
                (upstream.record.build, upstream.accepts_requests)
                for upstream in self._upstream_by_instance.values()
                if upstream.record.service == service
            )
            self._accepting_by_service[service] = accepting
        return accepting

    def sparse_builds(self, service: str) -> frozenset[str]:
        """Return the builds at which no stream is to begin."""
        return sparse_builds(self.accepting_by_build(service))

    def shrinking_builds(self, service: str) -> frozenset[str]:
        """Return the builds at which streams begin only if others are full."""
        return shrinking_builds(
            self.accepting_by_build(service),
            self._history_by_service[service],
            self.clock.now_ms(),
        )

    def accepting_builds(self, service: str) -> set[str]:
        """Return the builds of the upstreams that accept new requests."""
        return {
            build
            for build, accepting in self.accepting_by_build(service).items()
            if accepting
        }

    def single_build(self, service: str, within_ms: float) -> str | None:
        """Return the only build that a service had lately, or None.

        Parameters
        ----------
        within_ms
            Time for which it must have been the only one. Upstreams that name
            no build need no time.
        """
        builds = self.builds_since(service, within_ms)
        if len(builds) != 1 or not self.is_loaded:
            return None
        build = next(iter(builds))
        loaded_since_ms = self.clock.now_ms() - self._loaded_ms
        return build if not build or loaded_since_ms >= within_ms else None

    def builds_since(self, service: str, within_ms: float) -> set[str]:
        """Return the builds that were listed of a service lately."""
        history = self._history_by_service[service]
        listed = self.accepting_by_build(service)
        return history.since(listed, self.clock.now_ms() - within_ms)

    def builds_by_service(self, within_ms: float) -> dict[str, set[str]]:
        """Return the builds that were listed lately, of all services."""
        services = tuple(self._history_by_service)
        builds = {one: self.builds_since(one, within_ms) for one in services}
        return {service: seen for service, seen in builds.items() if seen}

    def lacks_build(self, service: str, build: str) -> bool:
        """Return whether a service has upstreams of other builds alone.

        Upstreams removed within `REPLACEMENT_MS` may be replaced, and so may
        those of a service that has none at all.
        """
        removed_ms = self._history_by_service[service].removed_ms(build)
        if not self.is_loaded or (
            self.clock.now_ms() - removed_ms < REPLACEMENT_MS
        ):
            return False
        offered = self.accepting_builds(service)
        return bool(offered) and build not in offered

    def outputs(self, service: str) -> RunStatistics:
        """Return the speed and output lengths learned of a service."""
        return self._outputs_by_service.setdefault(service, RunStatistics())

    def record_prefill(
        self, upstream: Upstream, tokens: float, duration_ms: float
    ) -> None:
        """Record the time in which an upstream prefilled tokens."""
        outputs = self.outputs(upstream.record.service)
        outputs.record_prefill(tokens, duration_ms)
        if upstream.has_prefilled:
            upstream.statistics.record_prefill(tokens, duration_ms)
            return
        upstream.has_prefilled = True
        upstream.statistics = replace(
            outputs, between_tokens_ms=upstream.statistics.between_tokens_ms
        )

    def record_stream(
        self, upstream: Upstream, events: int, span_ms: float, hint: int = 0
    ) -> None:
        """Record the length of a complete stream.

        Parameters
        ----------
        hint
            Output tokens that its caller expected; 0 if unknown.
        """
        service = upstream.record.service
        self._stream_count_by_service[service] += 1
        weight = max(1 / self._stream_count_by_service[service], _OUTPUT_WEIGHT)
        outputs = self.outputs(service)
        outputs.record_end(events, span_ms, weight)
        per_event = upstream.statistics.tokens_per_event
        if per_event:
            outputs.record_growth(per_event, weight)
        tokens = events * outputs.tokens_per_event
        self._lengths_by_service[service].record(tokens, hint)

    def expected_output(self, service: str, hint: int, most: int) -> float:
        """Return the expected output of a request in tokens; 0 if unknown.

        Parameters
        ----------
        hint, most
            Tokens that its caller expects and allows; 0 if unknown.
        """
        return self._lengths_by_service[service].expected(hint, most)

    def record_unlisted(self, instance: str) -> None:
        """Suspect an upstream that became unlisted in an outage."""
        upstream = self._upstream_by_instance.get(instance)
        if upstream is not None:
            upstream.is_unlisted = True

    def record_leaving(self, instance: str, started_ms: int) -> bool:
        """Record that an incarnation said that it is leaving.

        It gets no new request until a newer incarnation is listed. A row that
        still says ready, also one that returns after its removal, changes
        nothing.

        Returns
        -------
        bool
            Whether this was not known.
        """
        is_new = self._leaving.add(instance, started_ms)
        listed = self._upstream_by_instance.get(instance)
        if listed is not None and self._includes_leaving(listed.record):
            did_accept = listed.accepts_requests
            listed.is_leaving = True
            self._record_left(listed, did_accept=did_accept)
        return is_new

    def instances(self) -> frozenset[str]:
        """Return the identifiers of all listed upstreams."""
        return frozenset(self._upstream_by_instance)

    def lacks_service(self, service: str) -> bool:
        """Return whether the store is known to list no upstream of a service.

        Draining upstreams count as listed, since others may replace them, and
        so do those removed within `REPLACEMENT_MS`. Upstreams that said that
        they are leaving do not count.
        """
        removed_ms = self._removed_ms_by_service.get(service, -math.inf)
        if not self.is_loaded or (
            self.clock.now_ms() - removed_ms < REPLACEMENT_MS
        ):
            return False
        return not any(
            upstream.record.service == service and not upstream.is_leaving
            for upstream in self._upstream_by_instance.values()
        )

    def slots(self, service: str, plan: BuildPlan = ANY_BUILD) -> int:
        """Return how many requests the upstreams of a service run at a time.

        Parameters
        ----------
        plan
            Upstreams that it rules out are left out.
        """
        return sum(
            upstream.record.slots
            for upstream in self.of_service(service)
            if plan.admits(upstream.record.instance, upstream.record.build)
        )

    def of_service(self, service: str) -> Iterator[Upstream]:
        """Yield the upstreams of one service that accept new requests."""
        for upstream in self.accepting(service):
            if not self.is_held(upstream):
                yield upstream

    def accepting(self, service: str) -> Iterator[Upstream]:
        """Yield the upstreams of a service, also those that are held."""
        for upstream in self._upstream_by_instance.values():
            if _accepts_requests(upstream, service):
                yield upstream

    def by_affinity(self, service: str, key: bytes) -> Iterator[Upstream]:
        """Yield a service's upstreams in the order preferred by a key.

        The order depends on addresses only, so restarts do not change it.
        """
        for address in self._ring(service).walk(key):
            instance = self._instance_by_address.get(address, '')
            upstream = self._upstream_by_instance.get(instance)
            if (
                upstream is not None
                and _accepts_requests(upstream, service)
                and not self.is_held(upstream)
            ):
                yield upstream

    def witnesses(self, upstream: Upstream, count: int) -> list[Upstream]:
        """Return other upstreams of its service, to be asked in its place.

        Those heard last come first, each in another failure domain; others
        only if there are too few domains. Those that failed to answer come
        last, so that all are asked in turn. Paused ones are not asked.
        """
        others = sorted(
            (
                other
                for other in self.of_service(upstream.record.service)
                if other is not upstream and not self.is_lost(other)
            ),
            key=lambda other: (other.unanswered_ms, -other.heard_ms),
        )
        by_domain: dict[str, Upstream] = {}
        for heard in others:
            by_domain.setdefault(heard.record.failure_domain, heard)
        by_domain.pop(upstream.record.failure_domain, None)
        chosen = list(by_domain.values())
        chosen.extend(other for other in others if other not in chosen)
        return chosen[:count]

    def record_pause(self, upstream: Upstream, asked_ms: float) -> Pause | None:
        """Record that an upstream asks for a pause; return the pause."""
        record = upstream.record
        return self.pauses.record(
            record.incarnation, asked_ms, self.clock.now_ms(), record.slots
        )

    def is_paused(self, upstream: Upstream) -> bool:
        """Return whether an upstream asked for a pause that has not ended."""
        return self.pauses.is_paused(
            upstream.record.incarnation, self.clock.now_ms()
        )

    def is_held(self, upstream: Upstream) -> bool:
        """Return whether a pause, the steps after it or a limit hold it."""
        return self.is_held_past(upstream, self.clock.now_ms())

    def is_held_past(self, upstream: Upstream, at_ms: float) -> bool:
        """Return whether an upstream is held until after a time."""
        if at_ms >= self.pauses.last_end_ms and not self.limits:
            return False
        return at_ms < self.opens_ms(upstream)

    def opens_ms(self, upstream: Upstream) -> float:
        """Return when an upstream is expected to take a request.

        The time is past for one that takes requests now.
        """
        incarnation = upstream.record.incarnation
        return max(
            self.pauses.opens_ms(incarnation),
            self.limits.opens_ms(incarnation, self.clock.now_ms()),
        )

    def is_limited(self, upstream: Upstream) -> bool:
        """Return whether an upstream states a limit on requests."""
        return self.limits.get(upstream.record.incarnation) is not None

    def record_demand(self, upstream: Upstream, weight: float = 1) -> None:
        """Count a request, or its part, that a limited upstream would get."""
        self.limits.record_demand(
            upstream.record.incarnation, self.clock.now_ms(), weight
        )

    def record_refusal(self, service: str) -> float:
        """Count a request that limits refuse; return the ms until its place."""
        return self.limits.record_refusal(
            (
                upstream.record.incarnation
                for upstream in self.accepting(service)
            ),
            self.clock.now_ms(),
        )

    def is_returning(self, upstream: Upstream) -> bool:
        """Return whether a pause, or the steps after it, have not ended."""
        ends_ms = self.pauses.ends_ms(upstream.record.incarnation)
        return self.clock.now_ms() < ends_ms

    def admit(self, upstream: Upstream) -> bool:
        """Return whether a request may be sent now, and count it if so."""
        incarnation = upstream.record.incarnation
        now_ms = self.clock.now_ms()
        if not self.limits.admit(incarnation, now_ms):
            return False
        return self.pauses.admit(incarnation, now_ms)

    def admit_probe(self, upstream: Upstream) -> bool:
        """Return whether a probe may be sent now, and count it if so."""
        return self.pauses.admit_probe(
            upstream.record.incarnation, self.clock.now_ms()
        )

    def paused_count(self) -> int:
        """Return the number of listed upstreams that are paused."""
        return sum(map(self.is_paused, self._upstream_by_instance.values()))

    def first_opening(self, service: str) -> Upstream | None:
        """Return the held upstream of a service that opens first.

        Returns
        -------
        Upstream or None
            None if an upstream of the service is not held, or none is listed.
        """
        accepting = list(self.accepting(service))
        if not all(map(self.is_held, accepting)):
            return None
        return min(accepting, key=self.opens_ms, default=None)

    def room_until(self, service: str, at_ms: float) -> float:
        """Return how many requests pauses and limits allow by a time."""
        return sum(
            self._upstream_room_until(upstream, at_ms)
            for upstream in self.accepting(service)
        )

    def record_lost(self, upstream: Upstream) -> None:
        """Mark an upstream lost.

        It is lost until it sends something or `LOST_RETRY_MS` passes.
        """
        now_ms = self.clock.now_ms()
        domain = upstream.record.failure_domain
        losses = self._losses_by_domain.setdefault(domain, deque())
        if not self.is_lost(upstream):
            losses.append(now_ms)
        while losses and losses[0] < now_ms - DOMAIN_LOSS_WINDOW_MS:
            losses.popleft()
        upstream.lost_ms = now_ms

    def record_heard(self, upstream: Upstream) -> None:
        """Record that an upstream sent something."""
        upstream.heard_ms = self.clock.now_ms()
        upstream.lost_ms = 0
        upstream.unanswered_ms = 0
        self.heard_ms = upstream.heard_ms

    def record_outcome(self, upstream: Upstream, *, failed: bool) -> None:
        """Add an outcome to the average of failures."""
        share = self.decayed_failure_share(upstream)
        share += _OUTCOME_WEIGHT * (float(failed) - share)
        upstream.failure_share = share
        upstream.outcome_ms = self.clock.now_ms()

    def decayed_failure_share(self, upstream: Upstream) -> float:
        """Return the average of recent failures, which decays with time."""
        if not upstream.failure_share:
            return 0
        age_ms = self.clock.now_ms() - upstream.outcome_ms
        decayed: float = 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)
        return upstream.failure_share * decayed

    def is_lost(self, upstream: Upstream) -> bool:
        """Return whether an upstream is marked lost and not tried again yet."""
        if not upstream.lost_ms:
            return False
        return self.clock.now_ms() - upstream.lost_ms < LOST_RETRY_MS

    def is_suspected(self, upstream: Upstream) -> bool:
        """Return whether an upstream may have ended or be lost.

        It is suspected while it is unlisted, or after several losses in its
        failure domain until it sends something or the losses are older than
        `DOMAIN_LOSS_WINDOW_MS`.
        """
        if upstream.is_unlisted:
            return True
        losses = self._losses_by_domain.get(upstream.record.failure_domain)
        if not losses:
            return False
        start_ms = self.clock.now_ms() - DOMAIN_LOSS_WINDOW_MS
        recent = [lost_ms for lost_ms in losses if lost_ms >= start_ms]
        if len(recent) < DOMAIN_LOSSES_MIN:
            return False
        return max(upstream.heard_ms, upstream.listed_ms) < recent[0]

    def _upstream_room_until(self, upstream: Upstream, at_ms: float) -> float:
        incarnation = upstream.record.incarnation
        now_ms = self.clock.now_ms()
        return min(
            self.pauses.room_until(incarnation, at_ms),
            self.limits.room_until(incarnation, at_ms, now_ms),
        )

    def _record_left(self, upstream: Upstream, *, did_accept: bool) -> None:
        """Record that an upstream stopped to accept requests, if it did."""
        self._accepting_by_service.clear()
        record = upstream.record
        if did_accept and not upstream.accepts_requests:
            history = self._history_by_service[record.service]
            history.record_left(record.build, self.clock.now_ms())

    def _ring(self, service: str) -> HashRing:
        return self._ring_by_service.setdefault(service, HashRing(()))

    def _includes_leaving(self, record: UpstreamRecord) -> bool:
        return self._leaving.includes(record.instance, record.started_ms)

    def _at_address(self, record: UpstreamRecord) -> Upstream | None:
        instance = self._instance_by_address.get(record.address, '')
        return self._upstream_by_instance.get(instance)


def _accepts_requests(upstream: Upstream, service: str) -> bool:
    return upstream.accepts_requests and upstream.record.service == service


def _step(former: RunProgress, newer: RunProgress) -> tuple[int, int]:
    """Return the events and tokens that a run has added."""
    return newer.events - former.events, newer.tokens - former.tokens


def _has_grown(step: tuple[int, int]) -> bool:
    events, tokens = step
    return events > 0 and tokens >= 0


@dataclass(frozen=True, slots=True)
class _Progress:
    """Pace of the runs that two load reports show; 0 where it is unknown."""

    interval_ms: float = 0
    tokens_per_event: float = 0

    @classmethod
    def between(cls, former: LoadReport, newer: LoadReport) -> _Progress:
        """Return the mean time between events, and the tokens of an event.

        A run that was preempted in between holds less than before, and says
        nothing of either.
        """
        span_ms = newer.at_ms - former.at_ms
        if span_ms < EVENT_INTERVAL_SPAN_MS:
            return cls()
        former_by_run = {run.run: run for run in former.runs}
        steps = [
            _step(former_by_run[run.run], run)
            for run in newer.runs
            if run.run in former_by_run
        ]
        events = sum(events for events, _ in steps)
        if events <= 0:
            return cls()
        grown = [step for step in steps if _has_grown(step)]
        tokens = sum(tokens for _, tokens in grown)
        grown_events = sum(events for events, _ in grown)
        interval_ms = span_ms * len(steps) / events
        return cls(interval_ms, tokens / max(grown_events, 1))


def _is_same_incarnation(
    listed: UpstreamRecord, updated: UpstreamRecord
) -> bool:
    return _identity(listed) == _identity(updated)


def _identity(record: UpstreamRecord) -> tuple[str, str, int, str]:
    return record.address, record.service, record.started_ms, record.build
