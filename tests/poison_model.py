"""Model of entries, upstreams and streams around poison guards, in memory.

Entries exchange deaths, cleared fingerprints and quarantines as their relay
does; upstreams end a while after a deadly request was sent to them.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from bergamotthread.clock import Clock
from bergamotthread.process.poison.death_log import DeathNotice
from bergamotthread.process.poison.guard import PoisonGuard
from bergamotthread.process.poison.verdicts import Quarantined, Suspect
from bergamotthread.process.relay.crash_watch import RELAYED_LIMITS
from bergamotthread.wire.messages import Quarantine

# Bounds that the platform states for a part of prompts.
PART_CRASHES = 5
STABLE_MS = 4000
TOLD_MS = 80
# Time after which entries cut from one another learn from the store.
STORE_MS = 1200
HEAD_MS = 150
EVENT_MS = 200
# A crash follows the head, if it was sent, within a tenth of a second.
HEAD_BEFORE_MS = 50
RESTART_MS = 2000
RETRY_MS = 50
# Crashes after which a case is played no further: its streams aren't served.
CRASHES_MAX = 80
RESEND_MS = 800
SHARED_PART = 1
DEADLY_PARTS = (11, 12)
SOUND_PARTS = tuple(range(20, 27))
OWN_PARTS = itertools.count(1000)


@dataclass(frozen=True)
class Case:
    """What is drawn.

    Parameters
    ----------
    deadly_share, deadly_parts
        Share of streams with a part that crashes upstreams, and how many such
        parts there are.
    crash_ms, has_head
        Time from the sending to the crash, and whether a head comes before.
    is_shared
        Whether all streams have the same first part.
    cut_from_ms, cut_ms
        When entries learn of one another only from the store.
    resends
        How often a refused deadly request comes again.
    """

    seed: int
    entries: int
    upstreams: int
    deadly_share: float
    deadly_parts: int
    crash_ms: float
    has_head: bool
    interval_ms: float
    sound_ms: float
    is_shared: bool
    cut_from_ms: float
    cut_ms: float
    resends: int
    streams: int


@dataclass
class Stream:
    content: int
    parts: tuple[int, ...]
    entry: int
    resends: int
    deadline_ms: float
    is_served: bool = False

    @property
    def deadly_part(self) -> int | None:
        return next((one for one in self.parts if one in DEADLY_PARTS), None)


@dataclass
class Entry:
    """One entry, the sink of its guard."""

    world: World
    number: int
    guard: PoisonGuard = field(init=False)

    def __post_init__(self) -> None:
        clock = Clock(self.world.now_s, self.world.now_s)
        self.guard = PoisonGuard(clock, self, limits=RELAYED_LIMITS)

    def quarantined(self, notice: Quarantine) -> None:
        self.world.tell(
            self,
            lambda guard, age_ms: (
                None
                if guard.is_quarantined(notice.fingerprint)
                else guard.restore_quarantine(
                    notice, RELAYED_LIMITS.quarantine_ms - age_ms
                )
            ),
        )

    def clear(self, cleared: tuple[int, ...]) -> None:
        for one in cleared:
            self.world.tell(
                self, lambda guard, _, one=one: guard.merge_clear(one)
            )


@dataclass
class Upstream:
    name: str
    is_alive: bool = True
    runs: dict[str, tuple[Entry, Stream]] = field(default_factory=dict)


@dataclass
class World:
    """Plays one case; `play` returns it with what was seen."""

    case: Case
    now_ms: float = 0
    crash_ms_by_part: defaultdict[int, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    sent_ms_by_part: defaultdict[int, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    sound: list[Stream] = field(default_factory=list)
    _events: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )
    _ids: itertools.count[int] = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.case.seed)
        self.entries = [Entry(self, one) for one in range(self.case.entries)]
        self.upstreams = [
            Upstream(f'u{one}-0') for one in range(self.case.upstreams)
        ]

    @property
    def crashes(self) -> int:
        return sum(map(len, self.crash_ms_by_part.values()))

    @property
    def served_share(self) -> float:
        served = sum(stream.is_served for stream in self.sound)
        return served / max(len(self.sound), 1)

    def late(self, part: int) -> int:
        """Return the sendings that came too late after the fifth crash."""
        crash_ms = self.crash_ms_by_part[part]
        if len(crash_ms) < PART_CRASHES:
            return 0
        limit_ms = crash_ms[PART_CRASHES - 1] + STABLE_MS
        return sum(at_ms > limit_ms for at_ms in self.sent_ms_by_part[part])

    def now_s(self) -> float:
        return self.now_ms / 1000

    def at(self, delay_ms: float, act: Callable[[], None]) -> None:
        entry = (self.now_ms + delay_ms, next(self._ids), act)
        heapq.heappush(self._events, entry)

    def tell(
        self, sender: Entry, apply: Callable[[PoisonGuard, float], None]
    ) -> None:
        case = self.case
        since_ms = self.now_ms - case.cut_from_ms
        delay_ms = STORE_MS if 0 <= since_ms < case.cut_ms else TOLD_MS
        for other in self.entries:
            if other is not sender:
                self.at(
                    delay_ms,
                    lambda guard=other.guard: apply(guard, delay_ms),
                )

    def play(self) -> World:
        for number in range(self.case.streams):
            self.at(number * self.case.interval_ms, self._arrive)
        while self._events and self.crashes < CRASHES_MAX:
            self.now_ms, _, act = heapq.heappop(self._events)
            act()
        return self

    def _arrive(self) -> None:
        case, rng = self.case, self._rng
        is_deadly = rng.random() < case.deadly_share
        middle = rng.choice(
            DEADLY_PARTS[: case.deadly_parts] if is_deadly else SOUND_PARTS
        )
        content = next(self._ids) + 1_000_000
        first = (SHARED_PART,) if case.is_shared else ()
        stream = Stream(
            content,
            (*first, middle, content + 1_000_000),
            rng.randrange(case.entries),
            case.resends if is_deadly else 0,
            self.now_ms + 20_000,
        )
        if not is_deadly:
            self.sound.append(stream)
        self._place(stream)

    def _place(self, stream: Stream) -> None:
        entry = self.entries[stream.entry]
        verdict = entry.guard.check(stream.content, stream.parts)
        if isinstance(verdict, Quarantined):
            self._refused(stream)
            return
        is_tried = isinstance(verdict, Suspect) and verdict.is_tried
        excluded = frozenset()
        if isinstance(verdict, Suspect):
            excluded = entry.guard.agents_with_other_suspects(stream.content)
        free = [
            one
            for one in self.upstreams
            if one.is_alive and one.name not in excluded
        ]
        if is_tried or not free:
            if self.now_ms < stream.deadline_ms:
                self.at(RETRY_MS, lambda: self._place(stream))
            else:
                self._refused(stream)
            return
        upstream = min(
            free, key=lambda one: (len(one.runs), self._rng.random())
        )
        self._send(stream, entry, upstream)

    def _refused(self, stream: Stream) -> None:
        if stream.resends:
            again = replace(
                stream,
                resends=stream.resends - 1,
                entry=self._rng.randrange(self.case.entries),
                deadline_ms=self.now_ms + 20_000,
            )
            self.at(RESEND_MS, lambda: self._place(again))

    def _send(self, stream: Stream, entry: Entry, upstream: Upstream) -> None:
        run = f'r{next(self._ids)}'
        upstream.runs[run] = (entry, stream)
        entry.guard.record_start(
            upstream.name, run, stream.content, stream.parts, has_begun=False
        )
        part = stream.deadly_part
        if part is None:
            self.at(HEAD_MS, lambda: self._event(upstream, run, 0))
            return
        case = self.case
        self.sent_ms_by_part[part].append(self.now_ms)
        if case.has_head:
            head_ms = max(case.crash_ms - HEAD_BEFORE_MS, 0)
            self.at(head_ms, lambda: self._progress(upstream, run, 0))
        self.at(case.crash_ms, lambda: self._crash(upstream, run, part))

    def _progress(
        self, upstream: Upstream, run: str, produced_ms: float
    ) -> bool:
        if run not in upstream.runs:
            return False
        entry, _ = upstream.runs[run]
        entry.clear(
            entry.guard.record_progress(upstream.name, run, produced_ms)
        )
        return True

    def _event(self, upstream: Upstream, run: str, produced_ms: float) -> None:
        if not self._progress(upstream, run, produced_ms):
            return
        entry, stream = upstream.runs[run]
        if produced_ms < self.case.sound_ms:
            later_ms = produced_ms + EVENT_MS
            self.at(EVENT_MS, lambda: self._event(upstream, run, later_ms))
            return
        upstream.runs.pop(run)
        stream.is_served = True
        entry.clear(entry.guard.record_end(upstream.name, run, completed=True))

    def _crash(self, upstream: Upstream, run: str, part: int) -> None:
        if run not in upstream.runs:
            return
        self.crash_ms_by_part[part].append(self.now_ms)
        upstream.is_alive = False
        death_id = next(self._ids) + 1
        cut = list(upstream.runs.values())
        upstream.runs.clear()
        concerned = {entry.number: entry for entry, _ in cut}
        for entry in concerned.values():
            self.at(
                self._rng.uniform(1, 60),
                lambda entry=entry: self._notice(
                    entry, upstream, death_id, cut
                ),
            )
        self.at(RESTART_MS, lambda: self._restart(upstream))

    def _notice(
        self,
        entry: Entry,
        upstream: Upstream,
        death_id: int,
        cut: list[tuple[Entry, Stream]],
    ) -> None:
        notice = entry.guard.record_death(upstream.name, 'domain', death_id)
        if notice.running or notice.waiting:
            self.tell(entry, lambda guard, age: _merge(guard, notice, age))
        for owner, stream in cut:
            if owner is entry:
                self.at(1, lambda stream=stream: self._place(stream))

    def _restart(self, upstream: Upstream) -> None:
        self.upstreams.remove(upstream)
        name, _, starts = upstream.name.partition('-')
        self.upstreams.append(Upstream(f'{name}-{int(starts) + 1}'))


def _merge(guard: PoisonGuard, notice: DeathNotice, age_ms: float) -> None:
    guard.merge_death(
        replace(
            notice,
            age_ms=notice.age_ms + age_ms,
            sent_age_ms=notice.sent_age_ms + age_ms,
        )
    )
