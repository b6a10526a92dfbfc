"""Life cycle of an entry: starting, ready, draining."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from transitions import Machine

from bergamotthread.clock import Clock

STARTING = 'starting'
READY = 'ready'
DRAINING = 'draining'

# Time until the balancer sends no new connections: it checks once a second and
# removes an entry after two failed checks.
BALANCER_REMOVAL_MS = 2600
# Time in which a caller that has just connected, or got an answer, is expected
# to send its request: a round trip between regions and a lost packet.
REQUEST_UNDER_WAY_MS = 400
# Streams that begin later than this after the request to stop would not end
# before the process is killed.
NEW_STREAM_GRACE_MS = 1500
# Time before the kill at which the process ends the requests still in flight.
KILL_MARGIN_MS = 350


@dataclass
class LifeCycle:
    """Tracks whether a process accepts new connections and streams.

    Parameters
    ----------
    grace_ms
        Time from the request to stop until the process is killed.
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
        """Return the name of the state."""
        return str(self._machine.state)

    def mark_ready(self) -> None:
        """Become ready, because a version has been loaded."""
        if self.state == STARTING:
            self._machine.trigger('become')

    def stop(self) -> None:
        """Start to drain; repeated requests to stop have no effect."""
        if self.state != DRAINING:
            self._stop_ms = self.clock.now_ms()
            self._machine.trigger('drain')

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer may send new connections."""
        return self.state == READY

    @property
    def is_draining(self) -> bool:
        """Return whether a request to stop was received."""
        return self.state == DRAINING

    @property
    def draining_ms(self) -> float:
        """Return the time since the request to stop; 0 if there was none."""
        if not self.is_draining:
            return 0
        return self.clock.now_ms() - self._stop_ms

    @property
    def refuses_streams(self) -> bool:
        """Return whether new streams are refused.

        They would not end before the kill.
        """
        return self.draining_ms > NEW_STREAM_GRACE_MS

    @property
    def is_out_of_rotation(self) -> bool:
        """Return whether the balancer has stopped sending connections."""
        return self.draining_ms > BALANCER_REMOVAL_MS

    @property
    def remaining_ms(self) -> float:
        """Return the time until the process ends; infinite without a drain."""
        if not self.is_draining:
            return math.inf
        return self.grace_ms - KILL_MARGIN_MS - self.draining_ms

    @property
    def must_end(self) -> bool:
        """Return whether the process must end now to exit before the kill."""
        return self.remaining_ms < 0
