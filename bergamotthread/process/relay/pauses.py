"""Pauses that upstreams ask for, and the return of requests after them.

An upstream that turns a request away may say for how long it wants nothing from
this process. Many processes are turned away together and would return together.
After a pause, each one therefore admits requests in steps: the rate of all of
them together starts at a fraction of what the upstream runs at a time and
doubles with each step. The steps are a fraction of the pause.

    admitted(t) = r * s / ln 2 * (2 ** (t / s) - 1)

is the number that one process admits in t ms after the pause, with steps of s
ms and r admissions per ms at the start. Each process adds a random part of one
admission, so that their first requests are spread as the sum of all requires.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

# Longest pause that is honoured. An upstream whose restart is not noticed gets
# requests again after it.
PAUSE_MAX_MS = 300_000.0
# Length of a step after a pause, as a fraction of the pause.
STEP_FRACTION = 0.25
STEP_MAX_MS = 500.0
# Requests that all processes together admit in the first step, as a fraction of
# the requests that the upstream runs at a time. At the end of a step the rate
# has doubled, so the step admits 1 / ln 2 times as many.
FIRST_STEP_FRACTION = 0.125
# Requests that an upstream runs at a time if it doesn't say so.
SLOTS_DEFAULT = 8
# The steps end once one process may have admitted so many requests.
STEPPED_REQUESTS = 8
# Probes in one pause, and shortest time between two. The users' rule allows two
# requests in a pause.
PAUSE_PROBES_MAX = 2
PROBE_INTERVAL_MS = 2000.0
# A pause is logged again if it is prolonged by so much.
PROLONGED_LOG_MS = 1000.0
_LN_TWO = math.log(2)


def _count_one() -> int:
    return 1


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of an upstream.

    A pause outlives the removal of the upstream's row, and ends with the
    incarnation that asked for it.
    """

    instance: str
    address: str
    started_ms: int


@dataclass(slots=True)
class Pause:
    """Pause of one upstream, and the steps after it.

    Parameters
    ----------
    until_ms
        Monotonic time at which the pause ends.
    step_ms
        Time in which the rate of admissions doubles after the pause.
    first_step
        Requests of this process in the first step, without the doubling.
    phase
        Random part of one admission.
    logged_until_ms
        End of the pause as it was logged last.
    """

    until_ms: float
    step_ms: float
    first_step: float
    phase: float
    logged_until_ms: float = 0
    admitted: int = 0
    probes: int = 0
    probed_ms: float = -math.inf

    @property
    def opens_ms(self) -> float:
        """Return when the next request may be sent."""
        return self._reaches_ms(self.admitted + 1 - self.phase)

    @property
    def ends_ms(self) -> float:
        """Return when the steps are over."""
        return self._reaches_ms(STEPPED_REQUESTS)

    def room_until(self, at_ms: float) -> float:
        """Return how many more requests may be sent up to a time."""
        if at_ms >= self.ends_ms:
            return math.inf
        steps = max(at_ms - self.until_ms, 0) / self.step_ms
        reached = self.first_step / _LN_TWO * (2**steps - 1)
        return max(int(reached + self.phase) - self.admitted, 0)

    def _reaches_ms(self, requests: float) -> float:
        """Return when so many requests may have been admitted."""
        requests = min(requests, STEPPED_REQUESTS)
        steps = math.log2(1 + requests * _LN_TWO / self.first_step)
        return self.until_ms + steps * self.step_ms


@dataclass
class UpstreamPauses:
    """Pauses by incarnation of the upstream.

    Parameters
    ----------
    count_entries
        Returns the number of processes that send to the same upstreams.
    last_end_ms
        Monotonic time from which no upstream is held any more.
    waiting_by_service
        Requests that wait for the first upstream of a service to open.
    """

    rng: random.Random = field(default_factory=random.Random)
    count_entries: Callable[[], int] = _count_one
    last_end_ms: float = -math.inf
    waiting_by_service: Counter[str] = field(default_factory=Counter)
    _pause_by_incarnation: dict[Incarnation, Pause] = field(
        default_factory=dict
    )

    def record(
        self,
        incarnation: Incarnation,
        asked_ms: float,
        now_ms: float,
        slots: int = 0,
    ) -> Pause | None:
        """Record that an upstream asks for a pause from now on.

        An answer never shortens a pause: answers to requests that were sent
        together arrive in any order, and the longest covers them all. After a
        pause, also during the steps, a new one begins.

        Returns
        -------
        Pause or None
            The pause; None if none was asked for.
        """
        if asked_ms <= 0:
            return None
        self._drop_ended(now_ms)
        applied_ms = min(asked_ms, PAUSE_MAX_MS)
        until_ms = now_ms + applied_ms
        step_ms = min(applied_ms * STEP_FRACTION, STEP_MAX_MS)
        pause = self._pause_by_incarnation.get(incarnation)
        if pause is not None and now_ms < pause.until_ms:
            pause.until_ms = max(pause.until_ms, until_ms)
            pause.step_ms = max(pause.step_ms, step_ms)
        else:
            requests = (slots or SLOTS_DEFAULT) * FIRST_STEP_FRACTION
            pause = Pause(
                until_ms,
                step_ms,
                first_step=requests / max(self.count_entries(), 1),
                phase=self.rng.random(),
            )
            self._pause_by_incarnation[incarnation] = pause
        self.last_end_ms = max(self.last_end_ms, pause.ends_ms)
        return pause

    def is_paused(self, incarnation: Incarnation, now_ms: float) -> bool:
        """Return whether an upstream must get nothing."""
        pause = self._pause_by_incarnation.get(incarnation)
        return pause is not None and now_ms < pause.until_ms

    def opens_ms(self, incarnation: Incarnation) -> float:
        """Return when an upstream may get a request; 0 without a pause."""
        pause = self._pause_by_incarnation.get(incarnation)
        return 0 if pause is None else pause.opens_ms

    def ends_ms(self, incarnation: Incarnation) -> float:
        """Return when the steps after a pause are over; 0 without one."""
        pause = self._pause_by_incarnation.get(incarnation)
        return 0 if pause is None else pause.ends_ms

    def room_until(self, incarnation: Incarnation, at_ms: float) -> float:
        """Return how many more requests may be sent up to a time."""
        pause = self._pause_by_incarnation.get(incarnation)
        return math.inf if pause is None else pause.room_until(at_ms)

    def admit(self, incarnation: Incarnation, now_ms: float) -> bool:
        """Return whether a request may be sent now, and count it if so."""
        pause = self._pause_by_incarnation.get(incarnation)
        if pause is None:
            return True
        if now_ms < pause.opens_ms:
            return False
        pause.admitted += 1
        if now_ms >= pause.ends_ms:
            self._pause_by_incarnation.pop(incarnation)
        return True

    def admit_probe(self, incarnation: Incarnation, now_ms: float) -> bool:
        """Return whether a probe may be sent now, and count it if so."""
        pause = self._pause_by_incarnation.get(incarnation)
        if pause is None or now_ms >= pause.until_ms:
            return True
        is_spent = pause.probes >= PAUSE_PROBES_MAX
        if is_spent or now_ms < pause.probed_ms + PROBE_INTERVAL_MS:
            return False
        pause.probes += 1
        pause.probed_ms = now_ms
        return True

    def _drop_ended(self, now_ms: float) -> None:
        pauses = self._pause_by_incarnation
        for incarnation, pause in list(pauses.items()):
            if now_ms >= pause.ends_ms:
                pauses.pop(incarnation)
