"""Reports of roll-outs to the entry that decides, and what it tells all.

That entry is found by rendezvous among those that answer, without an election:
the record in the store decides between two that both believe to be it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import msgspec
from absl import logging

from bergamotthread.clock import Clock
from bergamotthread.platform.lease_relay import PeerView
from bergamotthread.platform.region_messages import RegionMessages
from bergamotthread.platform.relayed_feed import MessageAnswer
from bergamotthread.platform.rollout_home import RolloutHome
from bergamotthread.platform.rollout_messages import (
    Answered,
    Ended,
    Halted,
    MessageError,
    Reported,
    decode_answer,
    decode_message,
    encode,
)
from bergamotthread.platform.rollout_orders import rollout_key
from bergamotthread.platform.rollout_rows import RolloutRows
from bergamotthread.platform.table_watch import OPERATOR_REWRITE_MS
from bergamotthread.process.background_tasks import BackgroundTasks
from bergamotthread.process.relay.feed_sources import EntryRecord
from bergamotthread.process.rollouts.order import RolloutOrder
from bergamotthread.process.rollouts.participant import RolloutParticipant
from bergamotthread.process.rollouts.participation import ALONE_MS
from bergamotthread.process.rollouts.reports import (
    REPORT_INTERVAL_MS,
    Directive,
    EntryReport,
    RolloutPhase,
    RolloutRecord,
)
from bergamotthread.process.routing.subset import top_nodes

ROLLOUTS_PATH = b'/api/rollouts'
# Interval between checks for reports and steps that are due.
TICK_MS = 100
# Shortest time between two reports of one service to one entry, from all
# entries together.
REPORT_SPACING_MS = 3.0
# Entries that are asked in turn until one answers a report.
ASKED_MAX = 3
# Time for which an entry that did not answer a report is asked last.
FAILED_MS = 2000.0
# After a return of the store, entries write what it lost at a random time
# within this period, and try so often.
REWRITE_SPREAD_MS = 1000
REWRITE_ATTEMPTS = 5
REWRITE_RETRY_MS = 500


@dataclass
class RolloutRelay:
    """Exchanges reports, directives and ends of roll-outs with other entries.

    Parameters
    ----------
    home
        Decides where this entry is asked to; None only while it is made.
    """

    regions: RegionMessages
    view: PeerView
    participant: RolloutParticipant
    rows: RolloutRows
    rng: random.Random
    clock: Clock
    home: RolloutHome | None = None
    _due_ms_by_service: dict[str, float] = field(default_factory=dict)
    _failed_ms_by_address: dict[str, float] = field(default_factory=dict)
    _tasks: BackgroundTasks = field(default_factory=BackgroundTasks)

    @property
    def answer_by_path(self) -> dict[bytes, MessageAnswer]:
        """Return what answers the messages of other entries."""
        return {ROLLOUTS_PATH: self.answer}

    def is_active(self) -> bool:
        """Return whether this entry follows a roll-out under way."""
        return bool(self.participant.active_orders)

    def answer(self, method: bytes, body: bytes) -> bytes | None:
        """Answer a message of another entry; None if it is invalid."""
        try:
            message = decode_message(body)
        except MessageError as error:
            logging.debug('%s', error)
            return None
        match message:
            case Reported(service, report):
                return encode(self._decide(service, report))
            case Halted(service, order_number):
                self._apply_halt(service, order_number)
            case Ended(record):
                self.rows.learn(record)
        if message.forward:
            passed_on = msgspec.structs.replace(message, forward=False)
            self._tasks.start(
                self.regions.tell_region(ROLLOUTS_PATH, encode(passed_on))
            )
        return b''

    def tell(self, order: RolloutOrder, record: RolloutRecord | None) -> None:
        """Tell all entries that an order is halted or, by a record, ended."""
        message: Halted | Ended
        if record is None:
            message = Halted(order.service, order.number)
            self._apply_halt(order.service, order.number)
            self.rows.log.write(
                'rollout-halted', service=order.service, target=order.target
            )
        else:
            message = Ended(record)
        forwarded = msgspec.structs.replace(message, forward=True)
        self._tasks.start(
            self.regions.tell_all(
                ROLLOUTS_PATH, encode(message), encode(forwarded)
            )
        )

    async def run(self) -> None:
        """Report, and decide where this entry is asked to, until cancelled."""
        while True:
            await self.clock.sleep_ms(TICK_MS)
            self.rows.apply_waiting()
            self._use_again()
            for order in self.participant.active_orders:
                self._report_if_due(order.service)
            if self.home is not None:
                self.home.step_all()

    def handle_new_era(self, former: int, era: int) -> None:
        """Write what the store lost when it came back older."""
        self.rows.expect_loss()
        self._tasks.start(self._write_lost())

    async def _write_lost(self) -> None:
        spread_ms = self.rng.uniform(0, REWRITE_SPREAD_MS)
        await self.clock.sleep_ms(OPERATOR_REWRITE_MS + spread_ms)
        for _ in range(REWRITE_ATTEMPTS):
            are_written = [
                await self.rows.write(record) for record in self.rows.records()
            ]
            if all(are_written):
                return
            await self.clock.sleep_ms(REWRITE_RETRY_MS)

    def _use_again(self) -> None:
        for service, build in self.participant.use_again():
            self.rows.log.write(
                'rollout-build-used-again',
                service=service,
                build=build,
                alone_ms=ALONE_MS,
            )

    def _report_if_due(self, service: str) -> None:
        now_ms = self.clock.now_ms()
        if now_ms < self._due_ms_by_service.get(service, 0):
            return
        report = self.participant.report(service, now_ms)
        if report is not None:
            self._due_ms_by_service[service] = now_ms + REPORT_INTERVAL_MS
            self._tasks.start(self._report(service, report))

    async def _report(self, service: str, report: EntryReport) -> None:
        """Report to the first entry that answers, and follow what it says."""
        encoded = encode(Reported(service, report))
        for address in self._asked(service):
            sent_ms = self.clock.now_ms()
            answered = await self._ask(address, service, report, encoded)
            if answered is not None:
                self._follow(service, answered, sent_ms)
                return

    async def _ask(
        self, address: str, service: str, report: EntryReport, encoded: bytes
    ) -> Answered | None:
        if address == self.view.own_address:
            return self._decide(service, report)
        entry = EntryRecord(address, address, '')
        answer = await self.regions.peers.send(entry, ROLLOUTS_PATH, encoded)
        if answer is not None:
            try:
                return decode_answer(answer)
            except MessageError as error:
                logging.debug('%s: %s', address, error)
        self._failed_ms_by_address[address] = self.clock.now_ms()
        self.rows.log.write(
            'rollout-home-lost', service=service, address=address
        )
        return None

    def _asked(self, service: str) -> list[str]:
        """Return the entries to ask, those that failed lately last."""
        since_ms = self.clock.now_ms() - FAILED_MS
        entries = self.view.responsive_entries()
        ranked = top_nodes(entries, rollout_key(service), len(entries))
        failed_ms = self._failed_ms_by_address
        return sorted(
            ranked, key=lambda entry: failed_ms.get(entry, -1) >= since_ms
        )[:ASKED_MAX]

    def _decide(self, service: str, report: EntryReport) -> Answered:
        decided = self.home and self.home.answer(service, report)
        match decided:
            case Directive():
                return Answered(directive=decided)
            case RolloutRecord():
                return Answered(record=decided)
            case _:
                return Answered()

    def _follow(self, service: str, answered: Answered, sent_ms: float) -> None:
        if answered.record is not None:
            self.rows.learn(answered.record)
        directive = answered.directive
        if directive is None:
            return
        self.participant.apply(service, directive, sent_ms)
        spacing_ms = REPORT_SPACING_MS * len(self.regions.feeds)
        due_ms = sent_ms + max(directive.report_ms, spacing_ms)
        self._due_ms_by_service[service] = due_ms

    def _apply_halt(self, service: str, order_number: int) -> None:
        halt = Directive(order_number, RolloutPhase.HALTED, 0, valid_ms=0)
        self.participant.apply(service, halt, self.clock.now_ms())
