"""Life cycle of an entry: starting, ready, draining, stopped."""

from __future__ import annotations

from dataclasses import dataclass, field

from transitions import Machine

from bergamotthread.clock import Clock

STARTING = 'starting'
READY = 'ready'
DRAINING = 'draining'

# The balancer asks once a second and takes an entry out after two misses.
ROTATION_MS = 2600
# Streams that begin later than this after the request to stop would not end
# within the time to the kill.
LATE_STREAM_MS = 1500
# Time before the kill at which the process ends whatever still runs.
KILL_MARGIN_MS = 350


@dataclass
class LifeCycle:
    """Decides what a process does with new work.

    Parameters
    ----------
    grace_ms
        Time between the request to stop and the kill.
    """

    clock: Clock
    grace_ms: float
    _stop_ms: float = 0
    _machine: Machine = field(init=False, repr=False)

    def __post_init__(self) -> None:
        self._machine = Machine(
            states=[STARTING, READY, DRAINING],
            transitions=[
                {'trigger': 'become', 'source': STARTING, 'dest': READY},
                {'trigger': 'drain', 'source': '*', 'dest': DRAINING},
            ],
            initial=STARTING,
            auto_transitions=False,
        )

    @property
    def state(self) -> str:
        """Return the state's name."""
        return str(self._machine.state)

    def version_known(self) -> None:
        """Become ready once a version is in force."""
        if self.state == STARTING:
            self._machine.trigger('become')

    def stop(self) -> None:
        """Start the drain; further requests to stop change nothing."""
        if self.state != DRAINING:
            self._stop_ms = self.clock.now_ms()
            self._machine.trigger('drain')

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer may send new connections."""
        return self.state == READY

    @property
    def is_draining(self) -> bool:
        """Return whether the process is about to end."""
        return self.state == DRAINING

    @property
    def draining_ms(self) -> float:
        """Return the time since the request to stop; 0 if there was none."""
        if not self.is_draining:
            return 0
        return self.clock.now_ms() - self._stop_ms

    @property
    def refuses_streams(self) -> bool:
        """Return whether a new stream could not end before the kill."""
        return self.draining_ms > LATE_STREAM_MS

    @property
    def is_out_of_rotation(self) -> bool:
        """Return whether the balancer has noticed the drain."""
        return self.draining_ms > ROTATION_MS

    @property
    def must_end(self) -> bool:
        """Return whether the kill is about to come."""
        return self.draining_ms > self.grace_ms - KILL_MARGIN_MS
