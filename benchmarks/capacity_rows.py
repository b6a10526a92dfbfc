"""Row types of docs/CAPACITY.md: measured slopes and computed figures."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from dataclasses import dataclass

ENTRIES = 320
UPSTREAMS = 12_000
TEAMS = 10_000
REGIONS = 10
FAILURE_DOMAINS = 37
MODELS = 5
CHANGES_PER_DAY = 10_000
LOSSES_PER_DAY = 160
RESTARTS_PER_DAY = 1700
REQUESTS_PER_S = 6200
TOKENS_PER_S = 2_100_000
TOKEN_INTERVAL_MS = 37
S_PER_DAY = 86_400

CPU_US_PER_S = 15_000
MEMORY_BYTES = 128 * 1024 * 1024
CONTROL_BYTES_PER_S = 16 * 1024


class Role(enum.StrEnum):
    """Section of a row, in the order of the page."""

    ENTRY = 'entry'
    AGENT = 'agent'
    LEASE_HOLDER = 'lease holder'
    CLI = 'CLI'
    TABLE = 'table and object store'
    FAULTS = 'faults'
    DATA_PATH = 'data path'


class Budget(enum.StrEnum):
    """Budget that a figure is compared with, with its unit."""

    CPU = 'CPU, us/s'
    MEMORY = 'memory, bytes'
    MESSAGES = 'control, bytes/s'
    READS = 'reads/s'
    WRITES = 'writes/s'
    NONE = 'none'


_LIMIT_BY_BUDGET: dict[Budget, float] = {
    Budget.CPU: CPU_US_PER_S,
    Budget.MEMORY: MEMORY_BYTES,
    Budget.MESSAGES: CONTROL_BYTES_PER_S,
    Budget.READS: 2000,
    Budget.WRITES: 500,
}


def limit_of(budget: Budget) -> float | None:
    """Return the limit of a budget, None if it has no limit."""
    return _LIMIT_BY_BUDGET.get(budget)


@dataclass(frozen=True)
class Fit:
    """Least squares line; `deviation` is the worst residual, % of the mean."""

    intercept: float
    slope: float
    deviation: float

    @classmethod
    def from_points(cls, points: Sequence[tuple[float, float]]) -> Fit:
        """Fit a line to points of count and value."""
        count = len(points)
        mean_x = sum(point[0] for point in points) / count
        mean_y = sum(point[1] for point in points) / count
        spread = sum((point[0] - mean_x) ** 2 for point in points)
        slope = (
            sum((point[0] - mean_x) * (point[1] - mean_y) for point in points)
            / spread
        )
        intercept = mean_y - slope * mean_x
        worst = max(
            abs(intercept + slope * point[0] - point[1]) for point in points
        )
        return cls(intercept, slope, 100 * worst / max(mean_y, 1e-9))

    def at(self, count: float) -> float:
        """Return the value of the line at a count, at least 0."""
        return max(0, self.intercept + self.slope * count)


@dataclass(frozen=True)
class MeasuredRow:
    """Figure extrapolated from measurements at four sizes or more.

    `factor` converts the cost of one event to a rate, for instance by events
    per second; `at_count` is the count at the full size.
    """

    role: Role
    figure: str
    budget: Budget
    per: str
    at_count: float
    points: tuple[tuple[float, float], ...]
    carried_by: str
    command: str
    factor: float = 1
    factor_note: str = ''

    @property
    def fit(self) -> Fit:
        """Return the line through the points."""
        return Fit.from_points(self.points)

    @property
    def value(self) -> float:
        """Return the figure at the full size."""
        return self.fit.at(self.at_count) * self.factor


@dataclass(frozen=True)
class ComputedRow:
    """Figure that is computed from stated inputs instead of measured."""

    role: Role
    figure: str
    budget: Budget
    value: float
    inputs: str
    carried_by: str


@dataclass(frozen=True)
class UnmeasuredRow:
    """Figure that has not been measured yet."""

    role: Role
    figure: str


CapacityRow = MeasuredRow | ComputedRow | UnmeasuredRow
RowSource = Callable[[], Sequence[CapacityRow]]

ROW_SOURCES: list[RowSource] = []


def register_rows(source: RowSource) -> RowSource:
    """Register a function that returns rows; usable as a decorator."""
    ROW_SOURCES.append(source)
    return source
