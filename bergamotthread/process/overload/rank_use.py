"""What the ranks of requests for a service ask for and get.

Each entry counts its own requests; nothing is exchanged. Callers are spread
over the entries, so what one entry offered lately says what all of them offer.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict
from dataclasses import dataclass, field, replace

from bergamotthread.clock import Clock
from bergamotthread.process.overload.rank import Rank

# A rank is admitted at least this often, against all ranks of its service.
# Callers need a quarter; the rest covers errors of the smoothed counts.
ADMITTED_SHARE_MIN = 0.3
# Time constant of the counts of offered and admitted requests. A rank that
# gets nothing for eight seconds counts as forgotten by its callers.
USE_SMOOTHING_MS = 5000.0
# Time constant of the mix of ranks that waits, and of the rate of arrivals.
MIX_SMOOTHING_MS = 3000.0
# Largest utilisation by more urgent ranks that a wait is extrapolated from.
UTILISATION_BEFORE_MAX = 0.8
# Fraction of all times in which more urgent requests arrive than room is kept
# for; then an upstream preempts less urgent ones.
UNEXPECTED_SHARE_MAX = 0.2


@dataclass(frozen=True, slots=True)
class Precedence:
    """How requests of other ranks change the wait of a request.

    Parameters
    ----------
    ahead_share
        Fraction of the requests that wait that goes before it.
    stretch
        Factor of its wait, by more urgent requests that still arrive.
    kept_tokens
        Tokens of the upstream's memory that it must leave to more urgent
        requests.
    urgency
        Urgency that upstreams are told. Less urgent runs give way, but only
        to requests that no more urgent one is likely to follow.
    """

    ahead_share: float = 1
    stretch: float = 1
    kept_tokens: float = 0
    urgency: int | None = None

    @property
    def while_waiting(self) -> Precedence:
        """Return the precedence of a request that waits for memory.

        Its admission has left the kept memory to others. No run gives way to
        it in place of that memory.
        """
        if not self.kept_tokens:
            return self
        return replace(self, kept_tokens=0, urgency=None)


ARRIVAL_ORDER = Precedence()


@dataclass(frozen=True, slots=True)
class ArrivalsBefore:
    """Admitted requests of more urgent ranks than one.

    Parameters
    ----------
    per_ms
        Their rate at this entry.
    mean_tokens
        Mean tokens of their prompts.
    """

    per_ms: float
    mean_tokens: float


@dataclass
class DecayedSum:
    """Sum whose summands decay exponentially."""

    time_constant_ms: float
    _total: float = 0
    _updated_ms: float = 0

    def add(self, amount: float, now_ms: float) -> None:
        """Add a summand."""
        self._total = self.at(now_ms) + amount
        self._updated_ms = now_ms

    def at(self, now_ms: float) -> float:
        """Return the sum at a time."""
        elapsed_ms = max(now_ms - self._updated_ms, 0)
        return self._total * math.exp(-elapsed_ms / self.time_constant_ms)


@dataclass
class _PositionUse:
    """Use by the requests of one rank."""

    offered: DecayedSum = field(
        default_factory=lambda: DecayedSum(USE_SMOOTHING_MS)
    )
    admitted: DecayedSum = field(
        default_factory=lambda: DecayedSum(USE_SMOOTHING_MS)
    )
    arrivals: DecayedSum = field(
        default_factory=lambda: DecayedSum(MIX_SMOOTHING_MS)
    )
    arrived_tokens: DecayedSum = field(
        default_factory=lambda: DecayedSum(MIX_SMOOTHING_MS)
    )
    waited_ms: DecayedSum = field(
        default_factory=lambda: DecayedSum(MIX_SMOOTHING_MS)
    )


@dataclass
class RankUse:
    """Requests of this entry for one service, by rank."""

    clock: Clock
    rng: random.Random
    _by_position: defaultdict[int, _PositionUse] = field(
        default_factory=lambda: defaultdict(_PositionUse)
    )

    def offer(self, rank: Rank) -> Rank:
        """Count a request, and return the rank as which it competes.

        While a rank gets less than its share, so many of its requests compete
        as the most urgent ones.
        """
        if not rank.matters:
            return rank
        now_ms = self.clock.now_ms()
        use = self._by_position[rank.position]
        promoted = self._is_starved(use) and self._draw_promotion()
        use.offered.add(1, now_ms)
        return Rank(0, rank.count) if promoted else rank

    def admit(self, own: Rank, competing: Rank, tokens: int = 0) -> None:
        """Count a request that was admitted.

        Parameters
        ----------
        own
            Rank of the request.
        competing
            Rank as which it was admitted.
        tokens
            Tokens of its prompt.
        """
        if not own.matters:
            return
        now_ms = self.clock.now_ms()
        self._by_position[own.position].admitted.add(1, now_ms)
        use = self._by_position[competing.position]
        use.arrivals.add(1, now_ms)
        use.arrived_tokens.add(tokens, now_ms)

    def record_wait(self, rank: Rank, wait_ms: float) -> None:
        """Record how long an admitted request waited."""
        if rank.matters:
            use = self._by_position[rank.position]
            use.waited_ms.add(max(wait_ms, 0), self.clock.now_ms())

    def ahead_share(self, rank: Rank) -> float:
        """Return the fraction of what waits that goes before a request.

        By Little's law, the time that requests of a rank waited, per unit of
        time, is the mean number of them that wait.
        """
        if not rank.matters:
            return 1
        now_ms = self.clock.now_ms()
        waited_ms = {
            position: use.waited_ms.at(now_ms)
            for position, use in self._by_position.items()
        }
        total_ms = sum(waited_ms.values())
        if total_ms < 1:
            return 1
        ahead_ms = sum(
            of_rank_ms
            for position, of_rank_ms in waited_ms.items()
            if position <= rank.position
        )
        return ahead_ms / total_ms

    def before(self, rank: Rank) -> ArrivalsBefore:
        """Return the admitted requests of more urgent ranks."""
        now_ms = self.clock.now_ms()
        uses = [
            use
            for position, use in self._by_position.items()
            if position < rank.position
        ]
        arrivals = sum(use.arrivals.at(now_ms) for use in uses)
        tokens = sum(use.arrived_tokens.at(now_ms) for use in uses)
        return ArrivalsBefore(
            arrivals / MIX_SMOOTHING_MS, tokens / arrivals if arrivals else 0
        )

    def _is_starved(self, use: _PositionUse) -> bool:
        now_ms = self.clock.now_ms()
        share = ADMITTED_SHARE_MIN * self._admitted_share()
        return use.admitted.at(now_ms) < share * use.offered.at(now_ms)

    def _draw_promotion(self) -> bool:
        return self.rng.random() < ADMITTED_SHARE_MIN * self._admitted_share()

    def _admitted_share(self) -> float:
        """Return the fraction of all requests that was admitted."""
        now_ms = self.clock.now_ms()
        uses = self._by_position.values()
        offered = sum(use.offered.at(now_ms) for use in uses)
        admitted = sum(use.admitted.at(now_ms) for use in uses)
        return min(admitted / offered, 1) if offered else 1


def kept_prompts(expected: float) -> int:
    """Return for how many arrivals to keep room, of so many expected ones.

    More arrive in at most `UNEXPECTED_SHARE_MAX` of all times, if they arrive
    independently of each other.
    """
    probability = math.exp(-expected)
    more = 1 - probability
    count = 0
    while more > UNEXPECTED_SHARE_MAX:
        count += 1
        probability *= expected / count
        more -= probability
    return count


def stretch_of(utilisation_before: float) -> float:
    """Return the factor of a wait beside arrivals of more urgent work.

    The mean wait in a queue with priorities (Cobham 1954) is that behind the
    work which is there, divided by the fraction that the others leave.
    """
    return 1 / (1 - min(utilisation_before, UTILISATION_BEFORE_MAX))
