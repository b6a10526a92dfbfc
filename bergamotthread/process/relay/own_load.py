"""How much of its own machine an entry uses, and what follows from it.

While the processor or the link is used up and the event loop runs late for it,
all that the entry has taken becomes late. It then refuses a fraction of new
work, the least urgent first, so that what it takes is in time. Streams in
flight go on. Where even that doesn't help, it is not ready for a while.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.machine_limits import MachineLimits
from bergamotthread.process.overload.rank import Rank

# Fraction of the processor or link from which on it counts as used up, and of
# the processor below which it has room again.
USED_UP_SHARE = 0.9
HAS_ROOM_SHARE = 0.75
# Lateness of timers from which on callers notice it. A request passes the event
# loop four times, and the shortest aims leave 200 ms for that.
LATE_MS = 50
# Time that the link needs for what was sent, from which on events are late:
# half of the time in which an event must be passed on.
LINK_LATE_MS = 200
# Time over which use and lateness are averaged.
AVERAGE_MS = 1000
# Fraction of new work that is taken less, or more again, for each second.
STEP_DOWN = 0.2
STEP_UP = 0.1
# Fraction of all new work, and of that of each rank, that is always taken, so
# that none is shut out.
ROOM_MIN = 0.2
RANK_SHARE_MIN = 0.1
# Time at the least room after which the balancer is told.
LASTING_MS = 3000
# Longest time that this entry says that it isn't ready, and the time in which
# it says so once: a tenth, below the eighth from which on a duty is missed.
UNREADY_MAX_MS = 8000
UNREADY_PERIOD_MS = 80_000
_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class OwnUse:
    """What a process has used up to now.

    Parameters
    ----------
    at_ms
        Monotonic time.
    processor_ms, sent_bytes
        Processor time, and bytes that the kernel has taken, since the start.
    unsent_bytes
        Bytes that wait because the kernel has not taken them.
    late_ms
        Time by which the last timer ran late.
    """

    at_ms: float
    processor_ms: float
    sent_bytes: float
    unsent_bytes: float
    late_ms: float


@dataclass
class OwnLoad:
    """Decides what an entry still takes, from its own use alone.

    Parameters
    ----------
    room
        Fraction of new work that is taken.
    processor_share, link_share
        Average use of the machine's processor and link.
    late_ms
        Average lateness of timers.
    backlog_bytes
        Bytes sent that the link can't have carried yet.
    """

    clock: Clock
    machine: MachineLimits
    room: float = 1
    processor_share: float = 0
    link_share: float = 0
    late_ms: float = 0
    backlog_bytes: float = 0
    _last: OwnUse | None = None
    _unsent_bytes: float = 0
    _least_since_ms: float | None = None
    _unready_ms: float | None = None
    _credit_by_rank: dict[Rank, float] = field(default_factory=dict)

    def measure(
        self, written_bytes: float, unsent_bytes: float, late_ms: float
    ) -> None:
        """Take in what was used up to now, several times a second.

        Parameters
        ----------
        written_bytes, unsent_bytes
            Bytes written since the start, and those that still wait.
        late_ms
            Time by which the last timer ran late.
        """
        clock = self.clock
        self.record(
            OwnUse(
                clock.now_ms(),
                clock.processor_ms(),
                written_bytes - unsent_bytes,
                unsent_bytes,
                late_ms,
            )
        )

    def record(self, use: OwnUse) -> None:
        """Take in a measurement."""
        last = self._last
        self._last = use
        if last is None or use.at_ms <= last.at_ms:
            return
        elapsed_ms = use.at_ms - last.at_ms
        self._record_link(use.sent_bytes - last.sent_bytes, elapsed_ms)
        self._unsent_bytes = use.unsent_bytes
        processor_ms = use.processor_ms - last.processor_ms
        share = processor_ms / elapsed_ms / self.machine.cores
        weight = min(elapsed_ms / AVERAGE_MS, 1)
        self.processor_share += weight * (share - self.processor_share)
        self.late_ms += weight * (use.late_ms - self.late_ms)
        self._adjust(elapsed_ms / _MS_PER_S)
        self._update_ready()

    def admits(self, rank: Rank) -> bool:
        """Return whether to take a new request, and count it.

        The room is given to the most urgent rank first. Of a rank that gets a
        part of what it asks for, that part is taken evenly.
        """
        if self.room >= 1:
            return True
        share = self.room * rank.count - rank.position
        share = min(max(share, RANK_SHARE_MIN), 1)
        credit = self._credit_by_rank.get(rank, 0) + share
        is_admitted = credit >= 1
        self._credit_by_rank[rank] = credit - is_admitted
        return is_admitted

    @property
    def description(self) -> str:
        """Return what is observed, for refusals."""
        return (
            f'this entry takes {self.room:.2f} of new requests: processor '
            f'{self.processor_share:.2f} used, {self.late_ms:.0f} ms late, '
            f'link {self.link_late_ms:.0f} ms late'
        )

    @property
    def is_choked(self) -> bool:
        """Return whether new work is refused now."""
        return self.room < 1

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer may send new connections."""
        if self._unready_ms is None:
            return True
        return self.clock.now_ms() - self._unready_ms > UNREADY_MAX_MS

    @property
    def link_late_ms(self) -> float:
        """Return the time that the link needs for what was sent.

        Bytes that the kernel doesn't take wait for the link only if it is used
        up; otherwise for callers that don't read.
        """
        waiting_bytes = self.backlog_bytes
        if self.link_share > USED_UP_SHARE:
            waiting_bytes += self._unsent_bytes
        return waiting_bytes / self.machine.link_bytes_per_s * _MS_PER_S

    def _record_link(self, sent_bytes: float, elapsed_ms: float) -> None:
        carried_bytes = self.machine.link_bytes_per_s * elapsed_ms / _MS_PER_S
        backlog_bytes = self.backlog_bytes + sent_bytes
        self.backlog_bytes = max(backlog_bytes - carried_bytes, 0)
        weight = min(elapsed_ms / AVERAGE_MS, 1)
        share = sent_bytes / carried_bytes
        self.link_share += weight * (share - self.link_share)

    def _adjust(self, elapsed_s: float) -> None:
        """Take less while used up and late, more once there is room."""
        is_used_up = self.processor_share > USED_UP_SHARE
        if self.link_late_ms > LINK_LATE_MS or (
            is_used_up and self.late_ms > LATE_MS
        ):
            self.room = max(self.room - STEP_DOWN * elapsed_s, ROOM_MIN)
            return
        has_processor = (
            self.processor_share < HAS_ROOM_SHARE or self.late_ms < LATE_MS / 2
        )
        if has_processor and self.link_late_ms < LINK_LATE_MS / 2:
            self.room = min(self.room + STEP_UP * elapsed_s, 1)

    def _update_ready(self) -> None:
        now_ms = self.clock.now_ms()
        if self.room > ROOM_MIN:
            self._least_since_ms = None
        elif self._least_since_ms is None:
            self._least_since_ms = now_ms
        since_ms = self._unready_ms
        if since_ms is not None and now_ms - since_ms > UNREADY_PERIOD_MS:
            self._unready_ms = None
        least_ms = self._least_since_ms
        is_lasting = least_ms is not None and now_ms - least_ms > LASTING_MS
        if is_lasting and self._unready_ms is None:
            self._unready_ms = now_ms
