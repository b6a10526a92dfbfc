"""Counts of answers by route, failure domain and logarithmic buckets."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bergamotthread.process.rollouts.gate import AnswerSample
from bergamotthread.process.rollouts.reports import AnswerCell

BUCKETS_PER_OCTAVE = 2
# Bucket of the longest times, of over an hour.
MAX_BUCKET = 44


@dataclass(frozen=True, slots=True)
class CellKey:
    """Kind of an answer; see `AnswerCell`."""

    route: str
    failure_domain: str
    is_target: bool
    latency_bucket: int
    pace_bucket: int


@dataclass(slots=True)
class AnswerCount:
    """Answers of one kind, and how many of them failed."""

    answered: int = 0
    failed: int = 0


CountByKey = Mapping[CellKey, AnswerCount]


class AnswerCells:
    """Answers that one entry has seen of one roll-out."""

    def __init__(self) -> None:
        self._count_by_key: dict[CellKey, AnswerCount] = {}

    def record(self, sample: AnswerSample, *, is_target: bool) -> None:
        """Count an answer."""
        key = CellKey(
            route=sample.route,
            failure_domain=sample.upstream.failure_domain,
            is_target=is_target,
            latency_bucket=bucket(sample.latency_ms),
            pace_bucket=bucket(sample.pace_ms),
        )
        count = self._count_by_key.setdefault(key, AnswerCount())
        count.answered += 1
        count.failed += int(sample.failed)

    def cells(self) -> tuple[AnswerCell, ...]:
        """Return the counts as a report carries them."""
        return tuple(
            AnswerCell(
                route=key.route,
                failure_domain=key.failure_domain,
                is_target=key.is_target,
                latency_bucket=key.latency_bucket,
                pace_bucket=key.pace_bucket,
                answered=count.answered,
                failed=count.failed,
            )
            for key, count in self._count_by_key.items()
        )


def bucket(time_ms: float) -> int:
    """Return the bucket of a time; 0 for those of up to a millisecond."""
    if time_ms <= 1:
        return 0
    octaves = math.log2(time_ms)
    return min(MAX_BUCKET, 1 + math.floor(octaves * BUCKETS_PER_OCTAVE))


def counts_by_key(cells: Iterable[AnswerCell]) -> dict[CellKey, AnswerCount]:
    """Return the counts of a report, by kind of answer."""
    merged: dict[CellKey, AnswerCount] = {}
    for cell in cells:
        key = CellKey(
            cell.route,
            cell.failure_domain,
            cell.is_target,
            cell.latency_bucket,
            cell.pace_bucket,
        )
        add_count(merged, key, cell.answered, cell.failed)
    return merged


def add_count(
    count_by_key: dict[CellKey, AnswerCount],
    key: CellKey,
    answered: int,
    failed: int,
) -> None:
    """Add answers of one kind to counts."""
    count = count_by_key.setdefault(key, AnswerCount())
    count.answered += answered
    count.failed += failed


def counts_since(
    latest: CountByKey, earlier: CountByKey
) -> dict[CellKey, AnswerCount]:
    """Return what was counted between two reports of an entry.

    A count that has fallen is that of a new process, which began at zero.
    """
    none = AnswerCount()
    gained: dict[CellKey, AnswerCount] = {}
    for key, count in latest.items():
        before = earlier.get(key, none)
        if count.answered < before.answered:
            before = none
        answered = count.answered - before.answered
        if answered:
            gained[key] = AnswerCount(
                answered, max(0, count.failed - before.failed)
            )
    return gained


def median_bucket(count_by_bucket: Counter[int]) -> int:
    """Return the bucket that holds the median; 0 without any answers."""
    remaining = count_by_bucket.total() / 2
    for time_bucket in sorted(count_by_bucket):
        remaining -= count_by_bucket[time_bucket]
        if remaining <= 0:
            return time_bucket
    return 0
