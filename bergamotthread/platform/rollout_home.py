"""Decides on the roll-outs whose reports reach this entry.

All entries of one view report to the same one. Several may decide at once, as
each step is a conditional change of the record in the store, which is written
before anything is granted.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.platform.lease_relay import PeerView
from bergamotthread.platform.rollout_rows import RolloutRows
from bergamotthread.process.background_tasks import BackgroundTasks
from bergamotthread.process.relay.upstreams import UpstreamDirectory
from bergamotthread.process.rollouts.decider import (
    RolloutDecider,
    RolloutFigures,
)
from bergamotthread.process.rollouts.exposure import ServiceView
from bergamotthread.process.rollouts.order import (
    ExposureBound,
    RolloutOrder,
    RolloutState,
)
from bergamotthread.process.rollouts.reports import (
    Directive,
    End,
    EntryReport,
    RolloutPhase,
    RolloutRecord,
)
from bergamotthread.process.rollouts.rollout_record import next_record

# An entry to which nobody reported for this long decides no more.
FED_MS = 1500.0
# Entries that reported within this time are heard. A completion needs half of
# the entries: the former upstreams end with it, and entries on the other side
# of a partition may still use them.
HEARD_MS = 1200.0
PROGRESS_INTERVAL_MS = 2000.0

Tell = Callable[[RolloutOrder, RolloutRecord | None], None]


@dataclass
class _Deciding:
    """One order on which this entry decides."""

    decider: RolloutDecider
    heard_ms_by_host: dict[str, float] = field(default_factory=dict)
    is_busy: bool = False
    is_halt_told: bool = False
    logged_ms: float = 0

    def heard_count(self, now_ms: float, within_ms: float) -> int:
        """Return how many entries reported lately."""
        return sum(
            now_ms - heard_ms <= within_ms
            for heard_ms in self.heard_ms_by_host.values()
        )


@dataclass
class RolloutHome:
    """Deciders of the services for which this entry is asked.

    Parameters
    ----------
    tell
        Tells all entries that an order is halted or, with its record, that it
        has ended.
    """

    clock: Clock
    bound: ExposureBound
    rows: RolloutRows
    directory: UpstreamDirectory
    view: PeerView
    tell: Tell
    _deciding_by_service: dict[str, _Deciding] = field(default_factory=dict)
    _tasks: BackgroundTasks = field(default_factory=BackgroundTasks)

    def answer(
        self, service: str, report: EntryReport
    ) -> Directive | RolloutRecord | None:
        """Return what an entry may do, or the end of the roll-out.

        Returns
        -------
        Directive or RolloutRecord or None
            None if this entry doesn't know the order yet.
        """
        order = self.rows.participant.order_of(service)
        if order is None:
            return None
        record = self.rows.record(service)
        if record is not None and _is_end_of(record, report):
            return record
        now_ms = self.clock.now_ms()
        deciding = self._deciding(order, now_ms)
        deciding.heard_ms_by_host[report.host] = now_ms
        return deciding.decider.apply(report, now_ms)

    def figures(self) -> dict[str, RolloutFigures]:
        """Return what an operator sees, by service."""
        now_ms = self.clock.now_ms()
        return {
            service: deciding.decider.figures(now_ms)
            for service, deciding in self._deciding_by_service.items()
        }

    def step_all(self) -> None:
        """Take the next step of each roll-out, if one is due."""
        now_ms = self.clock.now_ms()
        for service, deciding in tuple(self._deciding_by_service.items()):
            order = self.rows.participant.order_of(service)
            is_replaced = order != deciding.decider.record.order
            if is_replaced or not deciding.heard_count(now_ms, FED_MS):
                self._deciding_by_service.pop(service)
            elif not deciding.is_busy:
                deciding.is_busy = True
                self._tasks.start(self._step(deciding))

    def _deciding(self, order: RolloutOrder, now_ms: float) -> _Deciding:
        deciding = self._deciding_by_service.get(order.service)
        if deciding is not None and deciding.decider.record.order == order:
            return deciding
        record = self.rows.record(order.service)
        if record is None or record.order != order:
            record = self.rows.first_record(order)
        elapsed_ms = self.rows.elapsed_ms(record)
        deciding = _Deciding(
            RolloutDecider.from_record(record, self.bound, elapsed_ms, now_ms)
        )
        self._deciding_by_service[order.service] = deciding
        self.rows.log.write(
            'rollout-deciding',
            service=order.service,
            target=order.target,
            reserved=record.reserved,
            elapsed_ms=round(elapsed_ms),
        )
        return deciding

    async def _step(self, deciding: _Deciding) -> None:
        try:
            await self._take_step(deciding)
        finally:
            deciding.is_busy = False

    async def _take_step(self, deciding: _Deciding) -> None:
        decider = deciding.decider
        order = decider.record.order
        known = self.rows.record(order.service)
        if known is not None:
            decider.apply_record(known)
        now_ms = self.clock.now_ms()
        step = decider.next_step(now_ms, self._service_view(order))
        self._tell_halt(deciding)
        self._log_progress(deciding, now_ms)
        is_stored = known == decider.record or await self._store(deciding)
        if step is None or not is_stored or decider.record.state.is_end:
            return
        if _completes(step):
            if not self._hears_enough(deciding):
                return
            if self.rows.is_unsure(order.service):
                # The reading may last as long as the directives that the step
                # was decided on.
                await self._store(deciding)
                return
        record = next_record(decider.record, step)
        if record is None:
            return
        if await self.rows.write(record):
            decider.record_written(step, record)
            if record.state.is_end:
                self.tell(order, record)
            return
        known = self.rows.record(order.service)
        if known is not None:
            decider.apply_record(known)

    async def _store(self, deciding: _Deciding) -> bool:
        """Write what is known and the store lacks; return whether it has it."""
        decider = deciding.decider
        if await self.rows.write(decider.record):
            return True
        known = self.rows.record(decider.record.order.service)
        if known is not None:
            decider.apply_record(known)
        return False

    def _hears_enough(self, deciding: _Deciding) -> bool:
        heard = deciding.heard_count(self.clock.now_ms(), HEARD_MS)
        return 2 * heard >= len(self.view.present_hosts())

    def _tell_halt(self, deciding: _Deciding) -> None:
        decider = deciding.decider
        is_halted = decider.phase is RolloutPhase.HALTED
        if not is_halted or deciding.is_halt_told:
            return
        deciding.is_halt_told = True
        self.tell(decider.record.order, None)

    def _service_view(self, order: RolloutOrder) -> ServiceView:
        domain_by_target: dict[str, str] = {}
        lost: set[str] = set()
        former_count = 0
        for upstream in self.directory.accepting(order.service):
            upstream_record = upstream.record
            if upstream_record.build == order.target:
                domain = upstream_record.failure_domain
                domain_by_target[upstream_record.instance] = domain
                if self.directory.is_lost(upstream):
                    lost.add(upstream_record.instance)
            else:
                former_count += 1
        return ServiceView(
            domain_by_target,
            former_count,
            self.view.present_hosts(),
            frozenset(lost),
        )

    def _log_progress(self, deciding: _Deciding, now_ms: float) -> None:
        if now_ms - deciding.logged_ms < PROGRESS_INTERVAL_MS:
            return
        deciding.logged_ms = now_ms
        order = deciding.decider.record.order
        figures = deciding.decider.figures(now_ms)
        self.rows.log.write(
            'rollout-progress',
            service=order.service,
            target=order.target,
            phase=figures.phase.value,
            requests=figures.requests,
            sent=figures.sent,
            share=round(figures.sent / max(figures.requests, 1), 3),
            answered=figures.target_answered,
            former_running=figures.former_running,
            counted=round(figures.counted),
            limit=round(figures.limit),
            log_factor=round(figures.log_factor, 1),
            excess_bad=round(figures.excess_bad, 1),
            waits_for=figures.waits_for,
            entries_heard=deciding.heard_count(now_ms, HEARD_MS),
            entries=len(self.view.present_hosts()),
        )


def _is_end_of(record: RolloutRecord, report: EntryReport) -> bool:
    is_same = record.order.number == report.order_number
    return is_same and record.state.is_end


def _completes(step: object) -> bool:
    return isinstance(step, End) and step.state is RolloutState.COMPLETED
