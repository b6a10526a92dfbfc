"""Why a target doesn't get all requests yet, or isn't kept yet."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.process.rollouts.entry_counts import EntryCounts
from bergamotthread.process.rollouts.exposure import MOVE_DEVIATIONS, Exposure
from bergamotthread.process.rollouts.judgement import Judgement

# Part of the duration before which no move begins, and from which it begins
# with few answers.
MOVE_FROM_PART = 0.4
MOVE_ANYHOW_PART = 0.65
MIN_TARGET_ANSWERS = 20
# The same from then on, if there have been some times as many requests.
FEW_TARGET_ANSWERS = 5
REQUESTS_PER_ANSWER = 10
# A completion leaves this part of the duration, and time, for its writes.
END_PART = 0.05
MIN_END_MS = 400.0
# A target that is suspect or has hardly answered is judged for this long past
# the time limit.
SUSPECT_MS = 2000.0
# Answers are overdue after this many times the former builds' mean time.
OVERDUE_FACTOR = 2.0
MIN_OVERDUE_MS = 500.0
MAX_OVERDUE_PART = 0.2
MIN_OVERDUE = 2


@dataclass
class Readiness:
    """Whether a target may get all requests, and then be kept.

    Parameters
    ----------
    stream_ms
        Longest time for which streams at the former builds are waited for
        after the time limit.
    saw_move
        Whether an entry has told of a move that another decider began.
    """

    counts: EntryCounts
    judgement: Judgement
    stream_ms: float
    saw_move: bool = False
    _former_mean_ms: float = 0

    def failure(
        self, exposure: Exposure, now_ms: float, *, is_moving: bool
    ) -> str:
        """Return why a target fails at the time limit, if it does.

        Answers that are overdue during a move are waited for.
        """
        if exposure.remaining_ms > 0:
            return ''
        if exposure.remaining_ms <= -SUSPECT_MS and self.judgement.is_suspect():
            return 'it is still suspect after the limit'
        overdue = 0 if is_moving else self._overdue(exposure, now_ms)
        return f'{overdue} of its answers are overdue' if overdue else ''

    def obstacle(
        self, exposure: Exposure, now_ms: float, report_ms: float
    ) -> str:
        """Return why requests aren't moved to the target yet.

        A move that another decider has begun goes on if it still fits.

        Parameters
        ----------
        report_ms
            Interval between reports.
        """
        late_ms = -exposure.remaining_ms
        is_known = late_ms >= 0 and _has_evidence(exposure)
        if is_known or late_ms >= SUSPECT_MS:
            return ''
        if self._overdue(exposure, now_ms):
            return 'answers that are overdue'
        if self.judgement.is_doubtful():
            return 'more answers: those seen are suspect'
        if self.saw_move and exposure.fits(0, 0):
            return ''
        if not _has_evidence(exposure):
            return 'answers of the target'
        if not exposure.fits(MOVE_DEVIATIONS, report_ms / 2):
            return 'the bound, which all requests would exceed'
        return ''

    def unmoved(self, exposure: Exposure, now_ms: float) -> str:
        """Return why the roll-out isn't completed yet."""
        end_ms = max(MIN_END_MS, exposure.duration_ms * END_PART)
        if exposure.remaining_ms > end_ms:
            return 'later answers, until shortly before the time limit'
        late_ms = -exposure.remaining_ms
        if self.judgement.is_doubtful() and late_ms < SUSPECT_MS:
            return 'more answers: those seen are suspect'
        if late_ms >= self.stream_ms:
            return ''
        if self._overdue(exposure, now_ms):
            return 'answers that are overdue'
        unmoved = self.counts.unmoved(now_ms)
        return f'{unmoved}, which may use former builds' if unmoved else ''

    def record_steady(self, exposure: Exposure) -> None:
        """Record the former builds' mean time while they get most requests.

        By Little's law it is what runs there over the rate at which it ends.
        """
        totals = exposure.totals
        if totals.former_answered and not self.saw_move:
            ended_per_ms = totals.former_answered / max(1, exposure.elapsed_ms)
            self._former_mean_ms = totals.former_running / ended_per_ms

    def _overdue(self, exposure: Exposure, now_ms: float) -> int:
        """Return how many answers of the target are overdue, if too many."""
        if not self._former_mean_ms:
            return 0
        totals = exposure.totals
        due_ms = max(MIN_OVERDUE_MS, OVERDUE_FACTOR * self._former_mean_ms)
        sent = self.counts.totals_at(now_ms - due_ms).sent
        overdue = sent - (totals.sent - totals.target_running)
        is_many = overdue >= max(MIN_OVERDUE, MAX_OVERDUE_PART * sent)
        return overdue if is_many else 0


def _has_evidence(exposure: Exposure) -> bool:
    part = exposure.elapsed_ms / max(1, exposure.duration_ms)
    totals = exposure.totals
    if part >= MOVE_ANYHOW_PART:
        expected = totals.requests / REQUESTS_PER_ANSWER
        return totals.target_answered >= min(FEW_TARGET_ANSWERS, expected)
    is_enough = totals.target_answered >= MIN_TARGET_ANSWERS
    return part >= MOVE_FROM_PART and is_enough
