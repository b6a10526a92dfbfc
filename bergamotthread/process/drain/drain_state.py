"""State of the drain of one process: announcements, phase and deadline."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from transitions import Machine

from bergamotthread.clock import Clock
from bergamotthread.version.objects import Stop
from bergamotthread.wire.messages import DrainNotice

HAND_OVER_MARGIN_MS = 30_000
SIGNAL_DRAIN_TIMEOUT_MS = 60_000


class DrainPhase(enum.StrEnum):
    """Phase of a process between normal work and its end.

    In `STOPPING` the deadline is so close that the remaining work is handed
    over. In `DRAINED` no work remains and the host is safe to stop.
    """

    SERVING = 'serving'
    DRAINING = 'draining'
    STOPPING = 'stopping'
    DRAINED = 'drained'


class DrainSource(enum.StrEnum):
    """Source that announced a drain."""

    SIGNAL = 'signal'
    PUBLISHED = 'published'
    NOTICE = 'notice'
    HOST_LIST = 'host_list'


@dataclass(frozen=True)
class DrainAnnouncement:
    """Drain announced by one source; times are in monotonic time."""

    source: DrainSource
    start_ms: float
    deadline_ms: float
    reason: str = ''


PhaseListener = Callable[[DrainPhase], None]

_SERVING = DrainPhase.SERVING.value
_DRAINING = DrainPhase.DRAINING.value
_STOPPING = DrainPhase.STOPPING.value
_DRAINED = DrainPhase.DRAINED.value
_TRANSITIONS = (
    ('start', _SERVING, _DRAINING),
    ('hand_over', _DRAINING, _STOPPING),
    ('finish', [_DRAINING, _STOPPING], _DRAINED),
    ('reopen', _DRAINED, _DRAINING),
    ('resume', [_DRAINING, _STOPPING, _DRAINED], _SERVING),
)


class DrainState:
    """State machine of a drain that any of several sources may announce.

    `may_dispatch` decides from the announcements and the clock alone whether
    new work may start, so it depends neither on the platform nor on a timer.
    `refresh` updates the phase; it is called on changes and periodically.

    Parameters
    ----------
    clock
        Clock of the process.
    address
        Address of the process in stops and in the host list.
    listener
        Called with each phase when it is entered.
    hand_over_margin_ms
        Time before the deadline at which remaining work is handed over.
    """

    def __init__(
        self,
        clock: Clock,
        address: str,
        listener: PhaseListener | None = None,
        hand_over_margin_ms: float = HAND_OVER_MARGIN_MS,
    ) -> None:
        self.state = _SERVING
        self._clock = clock
        self._address = address
        self._created_calendar_ms = clock.calendar_ms()
        self._listener = listener
        self._hand_over_margin_ms = hand_over_margin_ms
        self._announcement_by_source: dict[DrainSource, DrainAnnouncement] = {}
        self._machine = Machine(
            model=self,
            model_attribute='state',
            states=[phase.value for phase in DrainPhase],
            initial=_SERVING,
            transitions=[list(transition) for transition in _TRANSITIONS],
            auto_transitions=False,
            after_state_change='notify',
        )

    @property
    def phase(self) -> DrainPhase:
        """Phase as of the last `refresh`."""
        return DrainPhase(self.state)

    @property
    def announcements(self) -> tuple[DrainAnnouncement, ...]:
        """Announcements, including those that start in the future."""
        return tuple(self._announcement_by_source.values())

    def notify(self) -> None:
        """Call the listener with the phase that was entered."""
        if self._listener is not None:
            self._listener(self.phase)

    def may_dispatch(self) -> bool:
        """Return whether new work may start now."""
        return self._earliest_started() is None

    def deadline_ms(self) -> float | None:
        """Return the earliest deadline of started drains, None without one."""
        started = self._earliest_started()
        return None if started is None else started.deadline_ms

    def announce(self, announcement: DrainAnnouncement) -> None:
        """Add an announcement; it replaces an earlier one of its source."""
        self._announcement_by_source[announcement.source] = announcement

    def withdraw(self, source: DrainSource) -> None:
        """Remove the announcement of a source; a signal can't be withdrawn."""
        if source is not DrainSource.SIGNAL:
            self._announcement_by_source.pop(source, None)

    def apply_signal(self) -> None:
        """Start a drain because the process received a signal to end."""
        self._announce_now(
            DrainSource.SIGNAL, SIGNAL_DRAIN_TIMEOUT_MS, 'signal to end'
        )

    def apply_notice(self, notice: DrainNotice) -> None:
        """Start or withdraw a drain as another process requested."""
        if notice.draining:
            self._announce_now(
                DrainSource.NOTICE, notice.deadline_ms, notice.reason
            )
        else:
            self.withdraw(DrainSource.NOTICE)

    def apply_stops(self, stops: Iterable[Stop]) -> None:
        """Apply the planned stops of a published version.

        A stop whose deadline passed before this process was created is
        ignored: it concerned an earlier process.
        """
        own = [
            stop
            for stop in stops
            if stop.address == self._address
            and stop.deadline_ms > self._created_calendar_ms
        ]
        if not own:
            self.withdraw(DrainSource.PUBLISHED)
            return
        first = min(own, key=lambda stop: stop.start_ms)
        monotonic_offset_ms = self._clock.now_ms() - self._clock.calendar_ms()
        self.announce(
            DrainAnnouncement(
                source=DrainSource.PUBLISHED,
                start_ms=first.start_ms + monotonic_offset_ms,
                deadline_ms=first.deadline_ms + monotonic_offset_ms,
                reason=first.reason,
            )
        )

    def apply_leaving(self, *, leaving: bool) -> None:
        """Apply whether the platform's host list marks this host as leaving."""
        if leaving:
            self._announce_now(
                DrainSource.HOST_LIST,
                SIGNAL_DRAIN_TIMEOUT_MS,
                'host is leaving',
            )
        else:
            self.withdraw(DrainSource.HOST_LIST)

    def refresh(self, work_count: int) -> DrainPhase:
        """Update the phase from the announcements, the time and the work left.

        Parameters
        ----------
        work_count
            Number of work items that the process holds, such as generations,
            calls and outputs not fetched yet.
        """
        target = self._target_phase(work_count)
        if target is self.phase:
            return target
        match target:
            case DrainPhase.SERVING:
                self._trigger('resume')
            case DrainPhase.DRAINING:
                self._enter_draining()
            case DrainPhase.STOPPING:
                self._enter_draining()
                self._trigger('hand_over')
            case DrainPhase.DRAINED:
                self._enter_draining()
                self._trigger('finish')
        return self.phase

    def _target_phase(self, work_count: int) -> DrainPhase:
        started = self._earliest_started()
        if started is None:
            return DrainPhase.SERVING
        if work_count == 0:
            return DrainPhase.DRAINED
        if self.phase is DrainPhase.STOPPING:
            return self.phase
        remaining_ms = started.deadline_ms - self._clock.now_ms()
        if remaining_ms <= self._hand_over_margin_ms:
            return DrainPhase.STOPPING
        return DrainPhase.DRAINING

    def _enter_draining(self) -> None:
        match self.phase:
            case DrainPhase.SERVING:
                self._trigger('start')
            case DrainPhase.DRAINED:
                self._trigger('reopen')

    def _trigger(self, event: str) -> None:
        self._machine.events[event].trigger(self)

    def _earliest_started(self) -> DrainAnnouncement | None:
        now_ms = self._clock.now_ms()
        started = [
            announcement
            for announcement in self._announcement_by_source.values()
            if announcement.start_ms <= now_ms
        ]
        if not started:
            return None
        return min(started, key=lambda started_drain: started_drain.deadline_ms)

    def _announce_now(
        self,
        source: DrainSource,
        duration_ms: float,
        reason: str,
    ) -> None:
        current = self._announcement_by_source.get(source)
        now_ms = self._clock.now_ms()
        if current is None or now_ms + duration_ms < current.deadline_ms:
            start_ms = now_ms if current is None else current.start_ms
            deadline_ms = now_ms + duration_ms
            self.announce(
                DrainAnnouncement(source, start_ms, deadline_ms, reason)
            )


def stopping_addresses(
    stops: Iterable[Stop],
    calendar_ms: int,
) -> frozenset[str]:
    """Return the addresses with a published stop in progress.

    Entries send no new work to them, even if the agent itself has not learned
    of the stop.
    """
    return frozenset(
        stop.address
        for stop in stops
        if stop.start_ms <= calendar_ms < stop.deadline_ms
    )
