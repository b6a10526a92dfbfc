"""Runs a soak: plays the faults while callers send requests."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from bergamotthread.clock import Clock
from soak.callers import Caller, Choices
from soak.deployment import KEYS, LASTING_KEY, SoakDeployment
from soak.faults import play_fault
from soak.plan import PLANNED, Fault, Plan
from soak.records import Memory, PlayedFault, Records

CALLERS_PER_ENTRY = 10
_SAMPLE_S = 1.0
_MS_PER_S = 1000

_Points = list[tuple[float, float]]


class Soak:
    """One soak, from the start of its processes to their end."""

    def __init__(self, plan: Plan) -> None:
        self.records = Records()
        self.timeline: list[str] = []
        self._plan = plan
        self._clock = Clock.from_system()
        self._deployment = SoakDeployment(plan, self.records, self._clock)
        self._points_by_process: dict[str, _Points] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> Records:
        """Play the plan and return the records of what happened."""
        callers = [
            Caller(f'c{number}', self._choices(), self._clock, self._plan.seed)
            for number in range(
                CALLERS_PER_ENTRY * len(self._deployment.entries)
            )
        ]
        try:
            await self._deployment.start()
            self._begin(self._sample())
            for caller in callers:
                self._begin(caller.run())
            await self._play_all()
        finally:
            # Faults still being played may start processes, so they are
            # cancelled before the deployment ends.
            await _cancel(self._tasks)
            await self._deployment.end()
        for caller in callers:
            self.records.calls += caller.calls
        self._deployment.close_records()
        self.records.memory += [
            Memory(name, tuple(points))
            for name, points in self._points_by_process.items()
        ]
        return self.records

    def _begin(
        self,
        work: Coroutine[None, None, None],
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.append(task)
        return task

    def _choices(self) -> Choices:
        deployment = self._deployment
        return Choices(
            places=lambda: [
                entry.place for entry in deployment.entries if entry.is_offered
            ],
            added_paths=lambda: deployment.paths,
            lasting_key=LASTING_KEY,
            other_keys=KEYS[1:],
        )

    async def _sample(self) -> None:
        while True:
            now_ms = self._clock.now_ms()
            for entry in self._deployment.entries:
                memory_mb = entry.program.memory_mb()
                if memory_mb is not None:
                    process_name = (
                        f'{entry.program.name}-{entry.program.incarnation}'
                    )
                    self._points_by_process.setdefault(process_name, []).append(
                        (now_ms, memory_mb)
                    )
            await asyncio.sleep(_SAMPLE_S)

    async def _play_all(self) -> None:
        start_ms = self._clock.now_ms()
        fault_tasks: list[asyncio.Task[None]] = []
        for fault in self._plan.faults:
            await self._sleep_until(start_ms, fault.at_s)
            fault_tasks.append(self._begin(self._play(fault)))
        await self._sleep_until(start_ms, self._plan.seconds)
        await asyncio.gather(*fault_tasks)

    async def _sleep_until(self, start_ms: float, at_s: float) -> None:
        remaining_ms = start_ms + at_s * _MS_PER_S - self._clock.now_ms()
        await self._clock.sleep_ms(max(remaining_ms, 0))

    async def _play(self, fault: Fault) -> None:
        at_ms = self._clock.now_ms()
        self.timeline.append(str(fault))
        await play_fault(self._deployment, fault)
        if fault.kind not in PLANNED:
            until_ms = self._clock.now_ms()
            self.records.played_faults.append(
                PlayedFault(fault.kind, str(fault.target), at_ms, until_ms),
            )


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
