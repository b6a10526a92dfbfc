"""Runs the drain of a process and reports its progress."""

from __future__ import annotations

from collections.abc import Callable

from bergamotthread.clock import Clock
from bergamotthread.process.drain.drain_report import DrainReporter
from bergamotthread.process.drain.drain_state import DrainPhase, DrainState

REFRESH_INTERVAL_MS = 250

RemainingWork = Callable[[], tuple[str, ...]]


class DrainRunner:
    """Refreshes the drain of a process and writes its reports.

    Parameters
    ----------
    state
        Announcements and phase of the drain.
    reporter
        Writes reports for `drain status`; None if there is no platform.
    held_by
        Returns descriptions of the work that must end before the host can be
        stopped.
    refresh
        Applies the announcements; called at each interval.
    """

    def __init__(
        self,
        state: DrainState,
        reporter: DrainReporter | None,
        held_by: RemainingWork,
        refresh: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._state = state
        self._reporter = reporter
        self._held_by = held_by
        self._refresh = refresh
        self._clock = clock

    async def run(self) -> None:
        """Refresh and report until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep_ms(REFRESH_INTERVAL_MS)

    async def step(self) -> None:
        """Refresh once and write a report if one is due."""
        self._refresh()
        held_by = self._held_by()
        phase = self._state.refresh(len(held_by))
        if self._reporter is not None:
            await self._reporter.report(phase, held_by)

    async def drain_and_wait(self) -> None:
        """Start a drain as for a signal and wait until no work is left."""
        self._state.apply_signal()
        while self._state.phase is not DrainPhase.DRAINED:
            await self.step()
            await self._clock.sleep_ms(REFRESH_INTERVAL_MS)
