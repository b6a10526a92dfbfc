"""Limits of the poison guard, and how it recognises a common cause."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.process.generations.running_attempts import (
    PROGRESS_MIN_TOKENS,
)

COUNTED_DEATHS_MAX = 3
CHARGED_DEATHS_MAX = 6
PART_DEATHS_MAX = 4
PART_CONTENTS_MIN = 2
QUARANTINE_MS = 86_400_000
# Deaths closer than this have a common cause, within one failure domain where
# entries learn of most deaths (`DomainCorrelation`).
CORRELATION_WINDOW_MS = 5000
CORRELATED_DEATHS_THRESHOLD = 3


@dataclass(frozen=True)
class DomainCorrelation:
    """Deaths of one failure domain at about the same time are not counted.

    For processes that learn of the deaths of all their upstreams, also idle
    ones.
    """

    window_ms: float = CORRELATION_WINDOW_MS


@dataclass(frozen=True)
class SimultaneousDeaths:
    """Deaths at about the same time count once for a fingerprint.

    For processes that learn only of deaths under their own requests. A death
    under requests that were sent after the one before is counted in any case.
    """

    window_ms: float


Correlation = DomainCorrelation | SimultaneousDeaths


@dataclass(frozen=True)
class PoisonLimits:
    """Limits of a poison guard.

    Parameters
    ----------
    counted_deaths_max, charged_deaths_max
        Counted deaths without progress, and deaths of any kind without a
        completion, after which a request is quarantined.
    part_deaths_max, part_contents_min
        Counted deaths, under so many different requests, after which a part of
        prompts is quarantined.
    progress_min
        Progress from which an attempt counts as sound, in the unit in which it
        is recorded.
    quarantine_ms, quarantine_growth
        Length of the first quarantine of a request, and the factor by which
        each further one is longer, up to `QUARANTINE_MS`.
    counts_progressed
        Whether a death counts against an attempt that has made progress.
    """

    counted_deaths_max: int = COUNTED_DEATHS_MAX
    charged_deaths_max: int = CHARGED_DEATHS_MAX
    part_deaths_max: int = PART_DEATHS_MAX
    part_contents_min: int = PART_CONTENTS_MIN
    progress_min: float = PROGRESS_MIN_TOKENS
    quarantine_ms: float = QUARANTINE_MS
    quarantine_growth: float = 1
    counts_progressed: bool = True
    correlation: Correlation = DomainCorrelation()
