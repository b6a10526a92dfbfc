"""Counters, gauges and percentiles in the Prometheus text format.

Team names must not be used as label values, since callers can read the
metrics.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from hdrh.histogram import HdrHistogram

from bergamotthread.clock import Clock

MAX_LABELS = 200
WINDOW_MS = 60_000
BUFFERED_VALUES = 4096
MAX_VALUE_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)

_UNITS_PER_MS = 10
_PERCENT = 100
_OTHER = 'other'


class _Metric(Protocol):
    kind: str

    def samples(self, name: str) -> Iterator[str]:
        """Yield the exposition lines of the current values."""


@dataclass
class Counter:
    """Count of events since the start."""

    total: float = 0
    kind: str = field(default='counter', init=False)

    def increment(self, by: float = 1) -> None:
        """Add to the count."""
        self.total += by

    def samples(self, name: str) -> Iterator[str]:
        """Yield the line of the count."""
        yield f'{name} {self.total:g}'


@dataclass
class LabelledCounter:
    """Counts of events since the start, by the values of one label.

    Beyond `MAX_LABELS` values, new ones are counted under ``other``.
    """

    label: str
    totals_by_value: dict[str, float] = field(default_factory=dict)
    kind: str = field(default='counter', init=False)

    def increment(self, label_value: str, by: float = 1) -> None:
        """Add to the count of one value of the label."""
        totals = self.totals_by_value
        if label_value not in totals and len(totals) >= MAX_LABELS:
            label_value = _OTHER
        totals[label_value] = totals.get(label_value, 0) + by

    def samples(self, name: str) -> Iterator[str]:
        """Yield a line for each value of the label."""
        for label_value, total in sorted(self.totals_by_value.items()):
            escaped = _escape(label_value)
            yield f'{name}{{{self.label}="{escaped}"}} {total:g}'


@dataclass
class Gauge:
    """Value that is read at each exposition."""

    read: Callable[[], float]
    kind: str = field(default='gauge', init=False)

    def samples(self, name: str) -> Iterator[str]:
        """Yield the line of the current value."""
        yield f'{name} {self.read():g}'


@dataclass
class LabelledGauge:
    """Values that are read at each exposition, by the values of one label."""

    label: str
    read: Callable[[], Mapping[str, float]]
    kind: str = field(default='gauge', init=False)

    def samples(self, name: str) -> Iterator[str]:
        """Yield a line for each value of the label."""
        for label_value, current in sorted(self.read().items()):
            escaped = _escape(label_value)
            yield f'{name}{{{self.label}="{escaped}"}} {current:g}'


class Percentiles:
    """Distribution of durations over the last one to two minutes.

    `record` only appends to a buffer. When the buffer is full or read, equal
    values are added to the histogram together. The count and the sum cover
    the time since the start of the process.
    """

    kind = 'summary'

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buffer: list[float] = []
        self._count = 0
        self._sum_ms = float(0)
        self._current = _new_histogram()
        self._previous = _new_histogram()
        self._started_ms = clock.now_ms()

    def record(self, duration_ms: float) -> None:
        """Record one duration in milliseconds."""
        self._buffer.append(duration_ms)
        if len(self._buffer) >= BUFFERED_VALUES:
            self._flush_buffer()

    def percentile(self, quantile: float) -> float:
        """Return a quantile (0 to 1) of the recent durations, in ms."""
        return _quantile(self._window(), quantile)

    def samples(self, name: str) -> Iterator[str]:
        """Yield the lines of the quantiles, the sum and the count."""
        window = self._window()
        for quantile in QUANTILES:
            duration_ms = _quantile(window, quantile)
            yield f'{name}{{quantile="{quantile:g}"}} {duration_ms:g}'
        yield f'{name}_sum {self._sum_ms:g}'
        yield f'{name}_count {self._count}'

    def _window(self) -> HdrHistogram:
        self._flush_buffer()
        window = _new_histogram()
        window.add(self._previous)
        window.add(self._current)
        return window

    def _flush_buffer(self) -> None:
        self._rotate()
        self._count += len(self._buffer)
        self._sum_ms += sum(self._buffer)
        limit = MAX_VALUE_MS * _UNITS_PER_MS
        units = [
            int(duration_ms * _UNITS_PER_MS) for duration_ms in self._buffer
        ]
        self._buffer.clear()
        for unit, count in collections.Counter(units).items():
            self._current.record_value(max(0, min(unit, limit)), count)

    def _rotate(self) -> None:
        age_ms = self._clock.now_ms() - self._started_ms
        if age_ms < WINDOW_MS:
            return
        is_recent = age_ms < 2 * WINDOW_MS
        self._previous = self._current if is_recent else _new_histogram()
        self._current = _new_histogram()
        self._started_ms = self._clock.now_ms()


@dataclass
class Metrics:
    """All metrics of one process."""

    clock: Clock
    _metrics_by_name: dict[str, _Metric] = field(default_factory=dict)
    _help_by_name: dict[str, str] = field(default_factory=dict)

    def counter(self, name: str, description: str) -> Counter:
        """Return a new counter."""
        counter = Counter()
        self._add(name, description, counter)
        return counter

    def labelled_counter(
        self,
        name: str,
        description: str,
        label: str,
    ) -> LabelledCounter:
        """Return a new counter with one label."""
        counter = LabelledCounter(label)
        self._add(name, description, counter)
        return counter

    def gauge(
        self,
        name: str,
        description: str,
        read: Callable[[], float],
    ) -> None:
        """Add a gauge; `read` returns its current value."""
        self._add(name, description, Gauge(read))

    def labelled_gauge(
        self,
        name: str,
        description: str,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Add a gauge with one label; `read` returns its current values."""
        self._add(name, description, LabelledGauge(label, read))

    def percentiles(self, name: str, description: str) -> Percentiles:
        """Return a new distribution of durations; `name` ends in ``_ms``."""
        percentiles = Percentiles(self.clock)
        self._add(name, description, percentiles)
        return percentiles

    def expose(self) -> str:
        """Return all metrics in the text exposition format, version 0.0.4."""
        lines: list[str] = []
        for name, metric in self._metrics_by_name.items():
            lines.append(f'# HELP {name} {self._help_by_name[name]}')
            lines.append(f'# TYPE {name} {metric.kind}')
            lines.extend(metric.samples(name))
        lines.append('')
        return '\n'.join(lines)

    def _add(self, name: str, description: str, metric: _Metric) -> None:
        if name in self._metrics_by_name:
            raise ValueError(f'metric {name} exists, expected an unused name')
        self._metrics_by_name[name] = metric
        self._help_by_name[name] = description.replace('\n', ' ')


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_VALUE_MS * _UNITS_PER_MS, SIGNIFICANT_DIGITS)


def _quantile(histogram: HdrHistogram, quantile: float) -> float:
    percent = quantile * _PERCENT
    units: float = histogram.get_value_at_percentile(percent)
    return units / _UNITS_PER_MS


def _escape(text: str) -> str:
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')
