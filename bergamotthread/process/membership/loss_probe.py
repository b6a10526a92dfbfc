"""Probes of lost agents, so that they are used again once they respond."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.wire.messages import Acks

FIRST_INTERVAL_MS = 200
MAX_INTERVAL_MS = 10_000
MAX_PROBES = 64


@dataclass(frozen=True)
class _Schedule:
    interval_ms: float
    next_ms: float


class LostAgentProber:
    """Probes lost agents with exponential backoff.

    A probe is an empty acknowledgement, which an agent answers with its load
    report. After `MAX_PROBES` probes without an answer an agent is no longer
    probed, and returns to use only once it sends a message by itself.
    """

    def __init__(self, transport: Transport, clock: Clock) -> None:
        self._transport = transport
        self._clock = clock
        self._schedules_by_agent: dict[str, _Schedule] = {}
        self._probes_by_agent: dict[str, int] = {}

    def add(self, agent: str) -> None:
        """Start probing an agent that was lost."""
        next_ms = self._clock.now_ms() + FIRST_INTERVAL_MS
        schedule = _Schedule(FIRST_INTERVAL_MS, next_ms)
        self._schedules_by_agent.setdefault(agent, schedule)

    def remove(self, agent: str) -> None:
        """Stop probing an agent."""
        self._schedules_by_agent.pop(agent, None)
        self._probes_by_agent.pop(agent, None)

    def send_due(self) -> None:
        """Send the probes that are due."""
        now_ms = self._clock.now_ms()
        for agent, schedule in tuple(self._schedules_by_agent.items()):
            if schedule.next_ms <= now_ms:
                self._send(agent, schedule, now_ms)

    def _send(self, agent: str, schedule: _Schedule, now_ms: float) -> None:
        sent = self._probes_by_agent.get(agent, 0)
        if sent >= MAX_PROBES:
            self.remove(agent)
            return
        self._probes_by_agent[agent] = sent + 1
        interval_ms = min(schedule.interval_ms * 2, MAX_INTERVAL_MS)
        self._schedules_by_agent[agent] = _Schedule(
            interval_ms,
            now_ms + interval_ms,
        )
        self._transport.send(agent, Acks(()))
