"""Decides on one roll-out from the reports of the entries."""

from __future__ import annotations

from dataclasses import dataclass

from transitions import Machine

from bergamotthread.process.rollouts.entry_counts import SILENT_MS, EntryCounts
from bergamotthread.process.rollouts.exposure import (
    Exposure,
    ServiceView,
    TrialPlaces,
    trial_instances,
)
from bergamotthread.process.rollouts.judgement import Judgement
from bergamotthread.process.rollouts.order import ExposureBound, RolloutState
from bergamotthread.process.rollouts.readiness import SUSPECT_MS, Readiness
from bergamotthread.process.rollouts.reports import (
    REPORT_INTERVAL_MS,
    Directive,
    End,
    EntryReport,
    Reserve,
    RolloutPhase,
    RolloutRecord,
)
from bergamotthread.process.rollouts.rollout_record import merged_record

# Reports come as often as this from shortly before the time limit on and during
# a move, but no more than one each `REPORT_SPACING_MS` from all entries.
FAST_REPORT_MS = 100.0
REPORT_SPACING_MS = 4.0
FAST_REPORT_PART = 0.8
# A decider ends nothing before all entries have reported to it or this passed.
SETTLING_MS = 1500.0
# Part of the trial's places that its last pulse grants.
LAST_PULSE_PART = 0.4

_TRIAL = RolloutPhase.TRIAL.value
_MOVING = RolloutPhase.MOVING.value
_HALTED = RolloutPhase.HALTED.value
_TRANSITIONS = (
    ('move', _TRIAL, _MOVING),
    ('return_to_trial', _MOVING, _TRIAL),
    ('halt', [_TRIAL, _MOVING], _HALTED),
)


@dataclass(frozen=True, slots=True)
class RolloutFigures:
    """What an operator sees of a roll-out.

    Parameters
    ----------
    counted
        Requests that the target may have got.
    limit
        Requests that it may have got by now.
    log_factor
        Logarithm of the largest factor against the target.
    excess_bad
        Its bad answers beyond what the former builds explain.
    waits_for
        Why it isn't completed yet, or why it ended.
    """

    phase: RolloutPhase
    requests: int
    sent: int
    target_answered: int
    former_running: int
    counted: float
    limit: float
    log_factor: float
    excess_bad: float
    waits_for: str


class RolloutDecider:
    """Decides on one order; any entry may do so, also several at once.

    Reports come to `apply`. `next_step` is called about each 100 ms; the
    step that it returns is written as a compare-and-set of the row. If that
    succeeds the caller tells `record_written`, else it rereads the row and
    tells `apply_record`.

    Parameters
    ----------
    record
        Row of the roll-out as last read.
    bound
        Bound on what a bad target gets.
    order_ms
        Monotonic time of the order.
    now_ms
        Time from which this entry decides.
    stream_ms
        Longest time for which streams at the former builds are waited for
        after the time limit.
    """

    def __init__(
        self,
        record: RolloutRecord,
        bound: ExposureBound,
        order_ms: float,
        now_ms: float,
        stream_ms: float,
    ) -> None:
        self.record = record
        self.phase_name = _TRIAL
        self._bound = bound
        self._order_ms = order_ms
        self._began_ms = now_ms
        self._view = ServiceView({}, 0, frozenset())
        self._counts = EntryCounts()
        self._places = TrialPlaces(record.reserved)
        self._reserved_before = record.reserved
        self._judgement = Judgement(order_ms, now_ms)
        self._readiness = Readiness(self._counts, self._judgement, stream_ms)
        self._instances: tuple[str, ...] = ()
        self._lost_places = 0
        self._is_settled = False
        self._end: End | None = None
        self._waits_for = 'answers of the target'
        self._machine = Machine(
            model=self,
            model_attribute='phase_name',
            states=[phase.value for phase in RolloutPhase],
            initial=_TRIAL,
            transitions=[list(transition) for transition in _TRANSITIONS],
            auto_transitions=False,
        )

    @classmethod
    def from_record(
        cls,
        record: RolloutRecord,
        bound: ExposureBound,
        elapsed_ms: float,
        now_ms: float,
        stream_ms: float = 30_000,
    ) -> RolloutDecider:
        """Return a decider that goes on from a row.

        Parameters
        ----------
        elapsed_ms
            Time since the order, by this entry's calendar.
        """
        return cls(record, bound, now_ms - elapsed_ms, now_ms, stream_ms)

    @property
    def phase(self) -> RolloutPhase:
        """Phase that reports are answered with."""
        match self.record.state:
            case RolloutState.COMPLETED:
                return RolloutPhase.MOVING
            case RolloutState.ROLLED_BACK:
                return RolloutPhase.HALTED
            case RolloutState.ACTIVE:
                return RolloutPhase(self.phase_name)

    def figures(self, now_ms: float) -> RolloutFigures:
        """Return what an operator sees."""
        exposure = self._exposure(now_ms)
        totals = exposure.totals
        return RolloutFigures(
            phase=self.phase,
            requests=totals.requests,
            sent=totals.sent,
            target_answered=totals.target_answered,
            former_running=totals.former_running,
            counted=exposure.counted,
            limit=exposure.limit,
            log_factor=self._judgement.log_factor,
            excess_bad=self._judgement.excess_bad,
            waits_for=self._waits_for,
        )

    def apply(self, report: EntryReport, now_ms: float) -> Directive:
        """Count the report of an entry, and return what it may do."""
        if report.order_number != self.record.order.number:
            return self._directive(RolloutPhase.TRIAL, 0, now_ms)
        is_overtaken = self._counts.is_overtaken(report)
        self._follow(report)
        self._judgement.add(self._counts.apply(report, now_ms))
        phase = self.phase
        if phase is RolloutPhase.TRIAL and not self._is_settled:
            # What another decider has allowed goes on until this one knows
            # enough.
            phase = report.phase
        granted = report.granted
        is_trial = phase is RolloutPhase.TRIAL and self._instances
        if is_trial and not is_overtaken:
            granted = self._places.grant(report, len(self._view.entries))
        return self._directive(phase, granted, now_ms)

    def next_step(
        self, now_ms: float, view: ServiceView
    ) -> Reserve | End | None:
        """Return what to write next, if anything.

        An end is returned until it is written or another one is known.
        """
        if self.record.state.is_end:
            return None
        self._view = view
        self._counts.set_listed(view.entries, now_ms)
        self._counts.record_time(now_ms)
        self._judgement.advance(now_ms, self._counts.totals().target_running)
        self._settle(now_ms)
        exposure = self._exposure(now_ms)
        self._places.raise_reserved(exposure.totals.granted)
        self._choose_instances(exposure)
        if self._is_settled and self.phase is RolloutPhase.TRIAL:
            self._readiness.record_steady(exposure)
        end = self._end or self._decide(exposure, now_ms)
        if end is not None:
            return end if self._is_settled else None
        if self.phase is RolloutPhase.TRIAL and self._instances:
            return self._places.next_reserve(exposure.allowed_places)
        return None

    def record_written(
        self, step: Reserve | End, record: RolloutRecord
    ) -> None:
        """Record that the row was written for a step of `next_step`."""
        if isinstance(step, Reserve):
            self._places.record_reserved(step.reserved)
        self.apply_record(record)

    def apply_record(self, record: RolloutRecord) -> None:
        """Apply a row that was read; an end or a later order stops this."""
        if record.order.number == self.record.order.number:
            self.record = merged_record(self.record, record)
            self._places.raise_reserved(record.reserved)

    def _follow(self, report: EntryReport) -> None:
        """Go on with what another decider has decided, as an entry knows it."""
        if report.phase is RolloutPhase.MOVING:
            self._readiness.saw_move = True
        if report.state is RolloutState.COMPLETED:
            self._end = End(report.state, f'{report.host} has seen this end')
        elif self._end is None:
            if report.state is RolloutState.ROLLED_BACK:
                self._roll_back(f'{report.host} has seen this end')
            elif report.phase is RolloutPhase.HALTED:
                self._roll_back(f'{report.host} was told to halt')

    def _decide(self, exposure: Exposure, now_ms: float) -> End | None:
        reason = self._judgement.condemnation()
        reason = reason or self._failure(exposure, now_ms)
        if reason:
            return self._roll_back(reason)
        if self.phase is RolloutPhase.TRIAL:
            self._waits_for = self._obstacle(exposure, now_ms)
            if not self._waits_for:
                self._machine.events['move'].trigger(self)
                self._judgement.set_alone(now_ms, is_alone=True)
            return None
        if not (exposure.fits(0, 0) and self._view.has_target):
            self._machine.events['return_to_trial'].trigger(self)
            self._judgement.set_alone(now_ms, is_alone=False)
            self._readiness.saw_move = False
            return None
        self._waits_for = self._readiness.unmoved(exposure, now_ms)
        if self._waits_for:
            return None
        running = exposure.totals.target_running
        self._judgement.advance(now_ms, running, is_last=True)
        reason = self._judgement.condemnation()
        if reason:
            return self._roll_back(reason)
        return End(RolloutState.COMPLETED, 'all requests go to the target')

    def _roll_back(self, reason: str) -> End:
        """Halt; this decider doesn't go back on it."""
        self._machine.events['halt'].trigger(self)
        self._waits_for = reason
        self._end = End(RolloutState.ROLLED_BACK, reason)
        return self._end

    def _failure(self, exposure: Exposure, now_ms: float) -> str:
        """Return why the target fails at the time limit; empty if not."""
        target = self.record.order.target
        if exposure.remaining_ms <= 0 and not self._view.domain_by_target:
            return f'{target} has no upstreams at the time limit'
        if exposure.remaining_ms <= -SUSPECT_MS and not self._view.has_target:
            return f'{target} has no upstreams that answer after the limit'
        is_moving = self.phase is RolloutPhase.MOVING
        reason = self._readiness.failure(exposure, now_ms, is_moving=is_moving)
        return f'{target} fails: {reason}' if reason else ''

    def _obstacle(self, exposure: Exposure, now_ms: float) -> str:
        """Return why requests aren't moved to the target yet."""
        if not self._view.has_target:
            return 'upstreams of the target'
        if not self._is_settled:
            return 'reports of the entries'
        report_ms = self._report_ms(now_ms)
        return self._readiness.obstacle(exposure, now_ms, report_ms)

    def _settle(self, now_ms: float) -> None:
        """Find out whether the entries have told what was done before."""
        if self._is_settled:
            return
        if self._counts.has_all() or now_ms - self._began_ms >= SETTLING_MS:
            self._is_settled = True
            granted = self._counts.totals().granted
            self._lost_places = max(0, self._reserved_before - granted)

    def _choose_instances(self, exposure: Exposure) -> None:
        pulse = max(exposure.allowed_places * LAST_PULSE_PART, 1)
        self._instances = trial_instances(
            self._view,
            self.record.order.number,
            pulse,
            exposure.requests_per_ms,
        )

    def _exposure(self, now_ms: float) -> Exposure:
        elapsed_ms = now_ms - self._order_ms
        return Exposure(
            bound=self._bound,
            duration_ms=self.record.order.duration_ms,
            elapsed_ms=elapsed_ms,
            totals=self._counts.totals(),
            requests_per_ms=self._counts.requests_per_ms(now_ms, elapsed_ms),
            reserved=self._places.reserved,
            lost_places=self._lost_places,
        )

    def _directive(
        self, phase: RolloutPhase, granted: int, now_ms: float
    ) -> Directive:
        is_trial = phase is RolloutPhase.TRIAL
        return Directive(
            order_number=self.record.order.number,
            phase=phase,
            granted=granted,
            valid_ms=SILENT_MS,
            instances=self._instances if is_trial else (),
            report_ms=self._report_ms(now_ms),
        )

    def _report_ms(self, now_ms: float) -> float:
        elapsed_part = (now_ms - self._order_ms) / max(
            1, self.record.order.duration_ms
        )
        is_trial = self.phase is RolloutPhase.TRIAL
        if is_trial and elapsed_part < FAST_REPORT_PART:
            return REPORT_INTERVAL_MS
        spaced_ms = REPORT_SPACING_MS * len(self._view.entries)
        return min(REPORT_INTERVAL_MS, max(FAST_REPORT_MS, spaced_ms))
