"""Admission to the engine beside an agent: run now, queue or refuse.

The gate only decides and does no I/O. Its caller sends what `offer` and
`next_ready` return, and reports first tokens, progress and ends.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.generations.running_attempts import (
    RunningAttempt,
    RunningAttempts,
)
from bergamotthread.process.overload.expected_wait import EngineWork
from bergamotthread.process.overload.fair_queue import FairQueue, QueuedWork
from bergamotthread.request.attempt_key import AttemptKey
from bergamotthread.request.refusal import ReasonCode
from bergamotthread.version.objects import Upstream
from bergamotthread.wire.messages import Dispatch, LoadReport

CHARS_PER_TOKEN = 4
# Cost of an output token, as a number of prefill tokens.
OUTPUT_TOKEN_COST = 40
REMEMBERED_DECISIONS_MAX = 4096
# Prefill limit of dispatches with priority, as a multiple of that of new work;
# benchmarks.routing (scattered loss) compares 1, 2 and 3.
RESUMED_PREFILL_FACTOR = 2
ACTIVE_TEAM_MS = 60_000
DECLINE_RETRY_AFTER_MIN_MS = 50
DECLINE_RETRY_AFTER_MAX_MS = 30_000


@dataclass(frozen=True)
class GateLimits:
    """Capacity of an engine and limits of its queue.

    Parameters
    ----------
    max_running
        Attempts that run at a time.
    kv_capacity
        Tokens that the KV cache holds.
    prefill_tokens
        Prefill tokens in progress at a time. An attempt that is larger starts
        only while no other prefill is in progress.
    max_queued
        Dispatches that wait at a time.
    queue_wait_ms
        Longest expected wait of new work; dispatches with priority, such as
        resumed attempts, may wait longer.
    team_threshold
        While other teams are active, a team may use at most this many times
        the free slots (Choudhury and Hahne 1998), so that some stay free. A
        team may always run one attempt.
    """

    max_running: int = 64
    kv_capacity: int = 200_000
    prefill_tokens: int = 4096
    max_queued: int = 64
    queue_wait_ms: float = 300
    team_threshold: float = 3

    @classmethod
    def from_upstream(cls, upstream: Upstream) -> GateLimits:
        """Return the limits that a published upstream declares."""
        return cls(
            max_running=upstream.max_running,
            kv_capacity=upstream.kv_capacity,
        )


@dataclass(frozen=True)
class Run:
    """The dispatch is to be sent to the engine now."""

    dispatch: Dispatch


@dataclass(frozen=True)
class Queued:
    """The dispatch waits.

    A later call of `next_ready` returns it, unless it is refused or revoked
    before.
    """

    ahead: int
    expected_wait_ms: float


@dataclass(frozen=True)
class Duplicate:
    """The attempt was offered before; the message is a duplicate.

    `dispatched` is False if the attempt still waits in the queue.
    """

    dispatched: bool


@dataclass(frozen=True)
class Refused:
    """The attempt was not dispatched and never will be."""

    generation: str
    attempt: int
    reason: ReasonCode
    retry_after_ms: int = 0


_QueuedDispatch = QueuedWork[Dispatch]
Decision = Run | Queued | Duplicate | Refused


def _characters_to_tokens(text: str) -> int:
    return len(text) // CHARS_PER_TOKEN


def _no_coverage(dispatch: Dispatch) -> int:
    return 0


def _equal_weight(team: str) -> float:
    return 1


@dataclass(frozen=True)
class GateRules:
    """Functions that describe prompts and teams to the gate.

    Parameters
    ----------
    count_tokens
        Returns the length of a prompt in tokens.
    covered_tokens
        Returns the tokens of a dispatch that the engine has cached.
    weight_of
        Returns the weight of a team.
    """

    count_tokens: Callable[[str], int] = _characters_to_tokens
    covered_tokens: Callable[[Dispatch], int] = _no_coverage
    weight_of: Callable[[str], float] = _equal_weight


@dataclass
class AdmissionGate:
    """Decides when each attempt may use one engine.

    Resumed attempts and dispatches with priority go first; new work is shared
    between teams by weight. Dispatches wait while too much prefill is in
    progress or the KV cache is full. They are refused if their expected wait
    exceeds their deadline, new work also if it exceeds `queue_wait_ms`.
    """

    clock: Clock
    limits: GateLimits
    rules: GateRules = GateRules()
    draining: bool = False
    running: RunningAttempts = field(default_factory=RunningAttempts)
    _refused: list[Refused] = field(default_factory=list)
    _dispatched_by_key: OrderedDict[AttemptKey, bool] = field(
        default_factory=OrderedDict,
    )
    _seen_ms_by_team: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._queue: FairQueue[Dispatch] = FairQueue(self.rules.weight_of)

    def offer(self, dispatch: Dispatch) -> Decision:
        """Decide on a dispatch that has just arrived."""
        key = AttemptKey.from_dispatch(dispatch)
        if self._dispatched_by_key.get(key):
            return Duplicate(dispatched=True)
        if self._find_queued(key) is not None:
            return Duplicate(dispatched=False)
        self._record_team(dispatch.team)
        reason = self._early_refusal(dispatch)
        if reason is not None:
            return self._refuse(dispatch, reason)
        return self._decide(self._prepare(dispatch))

    def next_ready(self) -> tuple[Dispatch, ...]:
        """Return the dispatches to start now, with their capacity reserved."""
        self._drop_expired()
        started: list[Dispatch] = []
        queued = self._next_startable()
        while queued is not None:
            self._start(queued)
            started.append(queued.work)
            queued = self._next_startable()
        return tuple(started)

    def take_refused(self) -> tuple[Refused, ...]:
        """Return the attempts refused while queued, since the last call."""
        refused = tuple(self._refused)
        self._refused.clear()
        return refused

    def record_start(self, generation: str, attempt: int) -> None:
        """Record that an attempt was sent to the engine just now."""
        running = self.running.by_key.get(AttemptKey(generation, attempt))
        if running is not None:
            running.started_ms = self.clock.now_ms()

    def record_first_token(self, generation: str, attempt: int) -> None:
        """Record that the prefill of an attempt has finished."""
        self.record_progress(generation, attempt, 1)

    def record_progress(
        self, generation: str, attempt: int, produced: int
    ) -> None:
        """Record the total number of tokens that an attempt has produced."""
        running = self.running.by_key.get(AttemptKey(generation, attempt))
        if running is not None:
            self.running.record_tokens(running, produced, self.clock.now_ms())

    def record_end(self, generation: str, attempt: int) -> None:
        """Release the capacity of an attempt."""
        self.running.end(AttemptKey(generation, attempt), self.clock.now_ms())

    def revoke(self, generation: str, attempt: int) -> bool:
        """Ensure that an attempt is not started from now on.

        Returns
        -------
        bool
            True if it has not been started and never will be; False if it was
            already returned to be started.
        """
        key = AttemptKey(generation, attempt)
        queued = self._find_queued(key)
        if queued is not None:
            self._queue.remove(queued)
        self._record_decision(key, dispatched=False)
        return not self._dispatched_by_key[key]

    def drain(self, *, draining: bool) -> None:
        """Start or stop refusing work; a start also refuses queued work."""
        self.draining = draining
        if draining:
            for queued in self._queue.waiting:
                self._refuse_queued(queued, ReasonCode.DRAINING)

    def load_report(self) -> LoadReport:
        """Return the current load; tokens of queued work are included."""
        waiting = [queued.work for queued in self._queue.waiting]
        context_tokens = sum(
            self._context_tokens(dispatch) for dispatch in waiting
        )
        prefill_tokens = sum(
            self._prefill_tokens(dispatch) for dispatch in waiting
        )
        prefill_tokens += int(
            self.running.remaining_prefill_tokens(self.clock.now_ms())
        )
        statistics = self.running.statistics
        return LoadReport(
            running=len(self.running),
            queued=len(waiting),
            kv_tokens=int(self.running.kv_tokens) + context_tokens,
            kv_capacity=self.limits.kv_capacity,
            draining=self.draining,
            prefill_tokens=prefill_tokens,
            prefill_per_s=statistics.prefill_per_s,
            between_tokens_ms=statistics.between_tokens_ms,
        )

    def _decide(self, queued: _QueuedDispatch) -> Decision:
        wait_ms = self._expected_wait_ms(queued)
        now_ms = self.clock.now_ms()
        if now_ms + wait_ms >= queued.deadline_ms:
            return self._refuse(queued.work, ReasonCode.DEADLINE)
        if not queued.has_priority and wait_ms > self.limits.queue_wait_ms:
            return self._refuse(queued.work, ReasonCode.OVERLOADED)
        self._queue.push(queued)
        if self._next_startable() == queued:
            self._start(queued)
            return Run(queued.work)
        if len(self._queue) > self.limits.max_queued:
            return self._displace(queued, wait_ms)
        return Queued(self._queue.ahead_of(queued), wait_ms)

    def _displace(self, queued: _QueuedDispatch, wait_ms: float) -> Decision:
        victim = self._queue.newest_of_heaviest_team() or queued
        if victim == queued:
            self._queue.remove(queued)
            return self._refuse(queued.work, ReasonCode.OVERLOADED)
        self._refuse_queued(victim, ReasonCode.OVERLOADED)
        return Queued(self._queue.ahead_of(queued), wait_ms)

    def _early_refusal(self, dispatch: Dispatch) -> ReasonCode | None:
        if AttemptKey.from_dispatch(dispatch) in self._dispatched_by_key:
            return ReasonCode.IN_PROGRESS
        if self.draining:
            return ReasonCode.DRAINING
        if dispatch.remaining_ms <= 0:
            return ReasonCode.DEADLINE
        if self._context_tokens(dispatch) >= self.limits.kv_capacity:
            return ReasonCode.TOO_LARGE
        return None

    def _refuse(self, dispatch: Dispatch, reason: ReasonCode) -> Refused:
        self._record_decision(
            AttemptKey.from_dispatch(dispatch), dispatched=False
        )
        retry_after_ms = 0
        if reason is ReasonCode.OVERLOADED:
            retry_after_ms = self._retry_after_ms(dispatch)
        return Refused(
            dispatch.generation,
            dispatch.attempt,
            reason,
            retry_after_ms,
        )

    def _refuse_queued(
        self, queued: _QueuedDispatch, reason: ReasonCode
    ) -> None:
        self._queue.remove(queued)
        self._refused.append(self._refuse(queued.work, reason))

    def _drop_expired(self) -> None:
        now_ms = self.clock.now_ms()
        for queued in self._queue.waiting:
            if queued.deadline_ms <= now_ms:
                self._refuse_queued(queued, ReasonCode.DEADLINE)

    def _next_startable(self) -> _QueuedDispatch | None:
        """Return the first queued dispatch that may start now.

        If it doesn't fit, none behind it starts, not even a smaller one.
        """
        if len(self.running) >= self.limits.max_running:
            return None
        now_ms = self.clock.now_ms()
        count_by_team = self.running.count_by_team()
        for queued in self._queue.waiting:
            if queued.deadline_ms <= now_ms or self._must_wait(
                queued,
                count_by_team[queued.team],
            ):
                continue
            return queued if self._fits(queued) else None
        return None

    def _must_wait(self, queued: _QueuedDispatch, running: int) -> bool:
        if queued.work.suspect and self.running.suspect_count:
            return True
        if queued.has_priority or running == 0:
            return False
        if len(self._seen_ms_by_team) < 2:
            return False
        free = self.limits.max_running - len(self.running)
        return running >= self.limits.team_threshold * free

    def _fits(self, queued: _QueuedDispatch) -> bool:
        dispatch = queued.work
        running_prefill = self.running.prefill_tokens
        total_prefill = running_prefill + self._prefill_tokens(dispatch)
        prefill_max = self.limits.prefill_tokens
        if queued.has_priority:
            prefill_max *= RESUMED_PREFILL_FACTOR
        if running_prefill and total_prefill > prefill_max:
            return False
        if not len(self.running):
            return True
        kv_tokens = self.running.kv_tokens + self._kv_tokens(dispatch)
        return kv_tokens <= self.limits.kv_capacity

    def _start(self, queued: _QueuedDispatch) -> None:
        dispatch = queued.work
        self._queue.start(queued)
        self._record_decision(
            AttemptKey.from_dispatch(dispatch), dispatched=True
        )
        self.running.by_key[AttemptKey.from_dispatch(dispatch)] = (
            RunningAttempt(
                dispatch=dispatch,
                context_tokens=self._context_tokens(dispatch),
                prefill_tokens=self._prefill_tokens(dispatch),
                reserved_tokens=self._output_tokens(dispatch),
                started_ms=self.clock.now_ms(),
            )
        )

    def _record_decision(self, key: AttemptKey, *, dispatched: bool) -> None:
        """Record the first decision on an attempt, and evict the oldest."""
        self._dispatched_by_key.setdefault(key, dispatched)
        if len(self._dispatched_by_key) > REMEMBERED_DECISIONS_MAX:
            self._dispatched_by_key.popitem(last=False)

    def _find_queued(self, key: AttemptKey) -> _QueuedDispatch | None:
        for queued in self._queue.waiting:
            if AttemptKey.from_dispatch(queued.work) == key:
                return queued
        return None

    def _prepare(self, dispatch: Dispatch) -> _QueuedDispatch:
        prefill_tokens = self._prefill_tokens(dispatch)
        output_tokens = self._output_tokens(dispatch)
        return self._queue.prepare(
            dispatch,
            dispatch.team,
            deadline_ms=self.clock.now_ms() + dispatch.remaining_ms,
            cost=prefill_tokens + OUTPUT_TOKEN_COST * output_tokens,
            has_priority=bool(dispatch.accepted) or dispatch.priority > 0,
        )

    def _expected_wait_ms(self, queued: _QueuedDispatch) -> float:
        """Return the longer of the waits for a slot and the prefill ahead."""
        ahead = self._queue.ahead_of(queued)
        statistics = self.running.statistics
        waiting = self._queue.waiting[:ahead]
        prefill_tokens = self.running.remaining_prefill_tokens(
            self.clock.now_ms()
        )
        prefill_tokens += sum(
            self._prefill_tokens(other.work) for other in waiting
        )
        free = self.limits.max_running - len(self.running)
        return EngineWork(
            prefill_tokens,
            statistics.prefill_per_s,
            missing_slots=ahead + 1 - free,
            slot_ms=statistics.run_ms / self.limits.max_running,
        ).wait_ms

    def _retry_after_ms(self, dispatch: Dispatch) -> int:
        """Return when new work may be queued again, as a bounded estimate."""
        wait_ms = self._expected_wait_ms(self._prepare(dispatch))
        excess_ms = wait_ms - self.limits.queue_wait_ms
        bounded_ms = min(DECLINE_RETRY_AFTER_MAX_MS, excess_ms)
        return int(max(DECLINE_RETRY_AFTER_MIN_MS, bounded_ms))

    def _record_team(self, team: str) -> None:
        now_ms = self.clock.now_ms()
        self._seen_ms_by_team[team] = now_ms
        self._seen_ms_by_team = {
            name: seen_ms
            for name, seen_ms in self._seen_ms_by_team.items()
            if seen_ms > now_ms - ACTIVE_TEAM_MS
        }

    def _context_tokens(self, dispatch: Dispatch) -> int:
        prompt_tokens = self.rules.count_tokens(dispatch.prompt)
        return prompt_tokens + len(dispatch.accepted)

    def _prefill_tokens(self, dispatch: Dispatch) -> int:
        covered_tokens = self.rules.covered_tokens(dispatch)
        return max(0, self._context_tokens(dispatch) - covered_tokens)

    def _output_tokens(self, dispatch: Dispatch) -> float:
        expected = self.running.statistics.output_tokens
        return min(dispatch.max_tokens, expected)

    def _kv_tokens(self, dispatch: Dispatch) -> float:
        return self._context_tokens(dispatch) + self._output_tokens(dispatch)
