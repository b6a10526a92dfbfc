"""What one entry does in the roll-outs under way: counts, places, builds."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable

from bergamotthread.clock import Clock
from bergamotthread.process.rollouts.build_plan import ANY_BUILD, BuildPlan
from bergamotthread.process.rollouts.gate import (
    AnswerSample,
    RolloutGate,
    UpstreamBuild,
)
from bergamotthread.process.rollouts.order import RolloutOrder, RolloutState
from bergamotthread.process.rollouts.participation import (
    Participation,
    RejectedBuild,
)
from bergamotthread.process.rollouts.reports import (
    Directive,
    EntryReport,
    RolloutPhase,
)

BuildsOf = Callable[[str], Collection[str]]


class RolloutParticipant(RolloutGate):
    """Follows the roll-outs of all services at one entry.

    Parameters
    ----------
    host
        Name of this entry in its reports.
    clock
        Clock of the process.
    builds_of
        Returns the builds of a service that have upstreams.
    """

    def __init__(self, host: str, clock: Clock, builds_of: BuildsOf) -> None:
        self._host = host
        self._clock = clock
        self._builds_of = builds_of
        self._by_service: dict[str, Participation] = {}
        self._rejected_by_service: dict[str, dict[str, RejectedBuild]] = {}
        # Attempts that run, by service and build, also without any order: the
        # former builds run attempts that began before it.
        self._running: Counter[tuple[str, str]] = Counter()

    @property
    def active_orders(self) -> tuple[RolloutOrder, ...]:
        """Orders whose end this entry hasn't seen."""
        return tuple(
            participation.order
            for participation in self._by_service.values()
            if not participation.state.is_end
        )

    @property
    def used_again(self) -> tuple[RolloutOrder, ...]:
        """Latest orders whose target was rolled back and is used again."""
        return tuple(
            participation.order
            for participation in self._by_service.values()
            if participation.is_used_again
        )

    def order_of(self, service: str) -> RolloutOrder | None:
        """Return the latest order for a service, also if it has ended."""
        participation = self._by_service.get(service)
        return None if participation is None else participation.order

    def state_of(self, service: str) -> RolloutState | None:
        """Return the state of the latest order for a service."""
        participation = self._by_service.get(service)
        return None if participation is None else participation.state

    def begin(self, order: RolloutOrder) -> None:
        """Follow an order; one that isn't later than the last is ignored.

        An earlier order for the service counts as ended where it stood: its
        target stays avoided unless it was completed or is the new target.
        """
        previous = self._by_service.get(order.service)
        if previous is not None:
            if previous.order.number >= order.number:
                return
            if not previous.is_target_kept:
                self._reject(previous)
        self._rejected_by_service.get(order.service, {}).pop(order.target, None)
        self._by_service[order.service] = Participation(
            order,
            self._clock.calendar_ms(),
            self._clock.now_ms() + order.duration_ms,
            self._running_at(order, former=False),
        )

    def renumber(self, order: RolloutOrder) -> None:
        """Follow the current order under the number that others know."""
        participation = self._by_service.get(order.service)
        if participation is not None:
            participation.order = order

    def end(
        self,
        order: RolloutOrder,
        state: RolloutState,
        elapsed_ms: float = 0,
    ) -> None:
        """Apply the end of an order; the first end that was seen stays.

        Builds are avoided as replaced only if this entry has followed the
        order: one that learns of a former end may see builds that came later.

        Parameters
        ----------
        elapsed_ms
            Time since the order, which may be from before this process.
        """
        is_followed = self.order_of(order.service) == order
        self.begin(order)
        participation = self._by_service[order.service]
        if participation.order != order or participation.state.is_end:
            return
        participation.state = state
        if state is RolloutState.ROLLED_BACK:
            left_ms = order.duration_ms - elapsed_ms
            until_ms = self._clock.now_ms() + left_ms
            participation.until_ms = min(participation.until_ms, until_ms)
            self._reject(participation)
        elif is_followed:
            listed = frozenset(self._builds_of(order.service))
            participation.replaced_builds = listed - {order.target}

    def rejected(self, order: RolloutOrder) -> tuple[str, ...]:
        """Return the avoided targets of the orders before one."""
        rejected = self._rejected(order.service) - {order.target}
        return tuple(sorted(rejected))

    def learn_rejected(
        self, order: RolloutOrder, rejected: Iterable[str]
    ) -> None:
        """Avoid targets of the orders before one that this entry begins with.

        Their time limits aren't known; that of the order holds for them.
        """
        participation = self._by_service[order.service]
        known = self._rejected_by_service.setdefault(order.service, {})
        for build in rejected:
            known.setdefault(build, RejectedBuild(participation.until_ms))

    def use_again(self) -> tuple[tuple[str, str], ...]:
        """Use rejected builds again that are the only ones left for long.

        What a bad build gets is bounded until the time limit of its order.
        Whoever releases it alone after that wants it rather than nothing.
        Called at short intervals.

        Returns
        -------
        tuple of tuple
            Services and their builds that are used again from now on.
        """
        now_ms = self._clock.now_ms()
        used_again: list[tuple[str, str]] = []
        for service, rejected in self._rejected_by_service.items():
            listed = frozenset(self._builds_of(service))
            for build, one in rejected.items():
                is_alone = build in listed and listed <= rejected.keys()
                one.note_alone(now_ms, is_alone=is_alone)
                if one.is_over(now_ms):
                    used_again.append((service, build))
        for service, build in used_again:
            self._rejected_by_service[service].pop(build)
            participation = self._by_service[service]
            if participation.order.target == build:
                participation.is_used_again = True
        return tuple(used_again)

    def report(self, service: str, now_ms: float) -> EntryReport | None:
        """Return the counts since the order; None without an order."""
        participation = self._by_service.get(service)
        if participation is None:
            return None
        target_running = self._running_at(participation.order, former=False)
        # No more of them can run than run at the target now.
        earlier = min(participation.earlier_running, target_running)
        participation.earlier_running = earlier
        wanted = participation.requests - participation.reported_requests
        participation.reported_requests = participation.requests
        participation.reports += 1
        return EntryReport(
            host=self._host,
            order_number=participation.order.number,
            requests=participation.requests,
            sent=participation.sent,
            granted=participation.granted,
            wanted=wanted,
            former_running=self._running_at(participation.order, former=True),
            phase=participation.phase(now_ms),
            cells=participation.answers.cells(),
            state=participation.state,
            target_running=target_running - earlier,
            began_ms=participation.began_ms,
            number=participation.reports,
        )

    def apply(self, service: str, directive: Directive, sent_ms: float) -> None:
        """Follow a directive.

        Directives of several deciders may cross: none lowers the places that
        were granted, and a halt stays.

        Parameters
        ----------
        sent_ms
            Time at which the report was sent that the directive answers.
        """
        participation = self._by_service.get(service)
        if participation is None:
            return
        if participation.order.number != directive.order_number:
            return
        granted = max(participation.granted, directive.granted)
        participation.granted = granted
        current = participation.directive
        if current is not None and current.phase is RolloutPhase.HALTED:
            return
        until_ms = sent_ms + directive.valid_ms
        is_halt = directive.phase is RolloutPhase.HALTED
        if is_halt or until_ms >= participation.valid_until_ms:
            participation.directive = directive
            participation.valid_until_ms = until_ms

    def record_request(self, service: str) -> None:
        """Record a caller's request for a service, before it is placed."""
        participation = self._by_service.get(service)
        if participation is not None:
            participation.requests += 1

    def plan(self, service: str, bound_build: str | None = None) -> BuildPlan:
        """Return where a request may run now.

        A new request takes a place of the trial as long as there is one. A
        stream goes on at its build alone, or nowhere if that one is avoided.
        """
        participation = self._by_service.get(service)
        if participation is None:
            return ANY_BUILD if bound_build is None else BuildPlan(bound_build)
        if bound_build is not None:
            return self._plan_bound(participation, bound_build)
        if participation.state is RolloutState.COMPLETED:
            return self._plan_completed(participation)
        if participation.is_used_again:
            return BuildPlan(avoided=self._rejected(service))
        return self._plan_new(participation)

    def has_withdrawn(self, service: str, build: str) -> bool:
        """Return whether a build gets nothing more, also no bound attempt."""
        participation = self._by_service.get(service)
        if participation is None:
            return False
        if build in self._rejected(service):
            return True
        if build == participation.order.target:
            phase = participation.phase(self._clock.now_ms())
            is_active = not participation.state.is_end
            return is_active and phase is RolloutPhase.HALTED
        return self._is_replaced(participation, build)

    def admit(self, upstream: UpstreamBuild, *, is_bound: bool) -> bool:
        """Return whether an attempt may be sent now, and count it if so."""
        participation = self._by_service.get(upstream.service)
        if participation is not None:
            if not self._allows(participation, upstream, is_bound=is_bound):
                return False
            is_target = upstream.build == participation.order.target
            participation.sent += int(is_target)
        self._running[upstream.service, upstream.build] += 1
        return True

    def record_ended(self, upstream: UpstreamBuild) -> None:
        """Record that an attempt that was admitted has ended."""
        key = (upstream.service, upstream.build)
        self._running[key] -= 1
        if self._running[key] <= 0:
            self._running.pop(key)

    def record_answer(self, sample: AnswerSample) -> None:
        """Record an answer of an upstream while an order is under way."""
        participation = self._by_service.get(sample.upstream.service)
        if participation is None or participation.state.is_end:
            return
        is_target = sample.upstream.build == participation.order.target
        participation.answers.record(sample, is_target=is_target)

    def _allows(
        self,
        participation: Participation,
        upstream: UpstreamBuild,
        *,
        is_bound: bool,
    ) -> bool:
        """Return whether an attempt may be sent to an upstream.

        A request that was placed before its entry moved is placed again, so
        that a former build runs nothing once that was reported.
        """
        order = participation.order
        now_ms = self._clock.now_ms()
        if upstream.build in self._rejected(order.service):
            return False
        if upstream.build == order.target:
            if is_bound:
                return participation.may_continue(now_ms)
            return participation.may_send_new(now_ms)
        if order.target not in self._builds_of(order.service):
            return True
        if participation.state is RolloutState.COMPLETED:
            return not self._is_replaced(participation, upstream.build)
        is_moving = participation.phase(now_ms) is RolloutPhase.MOVING
        return is_bound or participation.state.is_end or not is_moving

    def _is_replaced(self, participation: Participation, build: str) -> bool:
        """Return whether the target replaced a build, and is there."""
        order = participation.order
        is_replaced = build in participation.replaced_builds
        return is_replaced and order.target in self._builds_of(order.service)

    def _plan_bound(
        self, participation: Participation, bound_build: str
    ) -> BuildPlan:
        order = participation.order
        avoided = self._rejected(order.service)
        is_target = bound_build == order.target
        if is_target and not participation.may_continue(self._clock.now_ms()):
            avoided |= {bound_build}
        return BuildPlan(bound_build, avoided)

    def _plan_completed(self, participation: Participation) -> BuildPlan:
        order = participation.order
        listed = frozenset(self._builds_of(order.service))
        # A build that went away and comes again is no longer the one that was
        # replaced.
        participation.replaced_builds &= listed
        rejected = self._rejected(order.service)
        if order.target not in listed:
            return BuildPlan(avoided=rejected)
        return BuildPlan(avoided=rejected | participation.replaced_builds)

    def _plan_new(self, participation: Participation) -> BuildPlan:
        order = participation.order
        rejected = self._rejected(order.service)
        now_ms = self._clock.now_ms()
        has_target = order.target in self._builds_of(order.service)
        if not (has_target and participation.may_send_new(now_ms)):
            return BuildPlan(avoided=rejected | {order.target})
        directive = participation.directive
        tried = directive.instances if directive else ()
        return BuildPlan(
            order.target, rejected, frozenset(tried) if tried else None
        )

    def _rejected(self, service: str) -> frozenset[str]:
        return frozenset(self._rejected_by_service.get(service, ()))

    def _reject(self, participation: Participation) -> None:
        order = participation.order
        rejected = self._rejected_by_service.setdefault(order.service, {})
        rejected[order.target] = RejectedBuild(participation.until_ms)

    def _running_at(self, order: RolloutOrder, *, former: bool) -> int:
        """Return the attempts that run at the former builds or the target."""
        return sum(
            running
            for (service, build), running in self._running.items()
            if service == order.service and (build != order.target) is former
        )
