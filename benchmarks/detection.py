"""False suspicions and detection time of losses, by detector limits.

Heartbeats arrive at a regular interval with jitter, interrupted by random
pauses of the peer. The table is written to `docs/design/detection-figures.md`.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path

from bergamotthread.connection.detector import (
    PEER_LIMITS,
    TOKEN_LIMITS,
    DetectorLimits,
    SilenceDetector,
)
from bergamotthread.process.generations.generations import WATCH_INTERVAL_MS

FIGURES_FILE = Path('docs/design/detection-figures.md')
HOUR_MS = 3_600_000
PAUSE_INTERVAL_MS = 10_000
PAUSE_MIN_MS = 50
RESUMED_PREFILL_TOKENS = 2127
FLOORS_MS = (100, 200, 400, 700, 1000)
DEVIATIONS = (4, 8)
PAUSES_MS = (350, 650)


@dataclass(frozen=True)
class Signal:
    """Interval and jitter of heartbeats or tokens, and the longest pause."""

    interval_ms: float
    jitter_ms: float
    pause_max_ms: float


@dataclass(frozen=True)
class Suspicions:
    """False suspicions per hour, and the mean suspicion threshold."""

    per_hour: float
    threshold_ms: float

    @property
    def notice_ms(self) -> float:
        """Return the mean time until a loss is detected."""
        return self.threshold_ms + WATCH_INTERVAL_MS

    @property
    def prefill_per_hour(self) -> float:
        """Return the tokens per generation prefilled for false suspicions."""
        return self.per_hour * RESUMED_PREFILL_TOKENS


def measure_suspicions(
    limits: DetectorLimits,
    signal: Signal,
    hours: float = 1,
    seed: int = 1,
) -> Suspicions:
    """Simulate a live peer; count the silences in which it is suspected."""
    source = random.Random(seed)
    detector = SilenceDetector(limits, 0)
    now_ms = float(0)
    pause_ms = source.expovariate(1 / PAUSE_INTERVAL_MS)
    suspicions = 0
    thresholds = float(0)
    samples = 0
    while now_ms < hours * HOUR_MS:
        silence_ms = signal.interval_ms + source.random() * signal.jitter_ms
        if now_ms >= pause_ms:
            silence_ms += source.uniform(PAUSE_MIN_MS, signal.pause_max_ms)
            pause_ms = now_ms + source.expovariate(1 / PAUSE_INTERVAL_MS)
        now_ms += silence_ms
        suspicions += detector.is_suspected(now_ms)
        thresholds += detector.threshold_ms()
        samples += 1
        detector.record(now_ms)
    return Suspicions(suspicions / hours, thresholds / samples)


PEER_SIGNAL = Signal(interval_ms=20, jitter_ms=10, pause_max_ms=350)
TOKEN_SIGNAL = Signal(interval_ms=20, jitter_ms=20, pause_max_ms=650)


def lines() -> Iterator[str]:
    """Yield the lines of the table."""
    for name, limits, signal in (
        ('peer', PEER_LIMITS, PEER_SIGNAL),
        ('token', TOKEN_LIMITS, TOKEN_SIGNAL),
    ):
        for pause_ms in PAUSES_MS:
            paused = replace(signal, pause_max_ms=pause_ms)
            for floor_ms in FLOORS_MS:
                for deviations in DEVIATIONS:
                    adjusted = replace(
                        limits, floor_ms=floor_ms, deviations=deviations
                    )
                    yield _line(name, adjusted, paused)


def _line(name: str, limits: DetectorLimits, signal: Signal) -> str:
    suspicions = measure_suspicions(limits, signal)
    return (
        f'| {name} | {signal.pause_max_ms:.0f} | {limits.floor_ms:.0f} |'
        f' {limits.deviations:.0f} | {suspicions.per_hour:.0f} |'
        f' {suspicions.prefill_per_hour:.0f} | {suspicions.notice_ms:.0f} |'
    )


_TITLE = (
    '# False suspicions by detector limits',
    '',
    'Written by `python -m benchmarks.detection`; one hour, a pause each 10 s.',
    'Prefill is that of one running generation of 2,127 tokens.',
    '',
    '| detector | longest pause ms | floor ms | deviations |'
    ' false suspicions an hour | prefill tokens an hour | noticed within ms |',
    '| --- | ---: | ---: | ---: | ---: | ---: | ---: |',
)


def main() -> None:
    """Print the table and write it to `FIGURES_FILE`."""
    text = '\n'.join((*_TITLE, *lines(), ''))
    print(text)  # noqa: T201, WPS421
    FIGURES_FILE.write_text(text)


if __name__ == '__main__':
    main()
