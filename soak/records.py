"""What callers, back ends and the operator saw during a soak.

All times are of the machine's monotonic clock, in milliseconds, which all
processes of a soak share.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Kind(enum.StrEnum):
    """What a request is for, by the prefix of its path."""

    STREAM = '/stream/'
    ONCE_STREAM = '/once-stream/'
    ONCE = '/once/'
    LOOKUP = '/any/'

    @property
    def runs_once(self) -> bool:
        """Return whether it must not run twice."""
        return self in {Kind.ONCE, Kind.ONCE_STREAM}

    @property
    def is_stream(self) -> bool:
        """Return whether its answer is a stream of events."""
        return self in {Kind.STREAM, Kind.ONCE_STREAM}


class Ending(enum.StrEnum):
    """How a request ended for its caller."""

    WHOLE = 'whole'
    CUT = 'cut'
    UNCONNECTED = 'unconnected'
    LEFT = 'left'
    UNANSWERED = 'unanswered'


@dataclass(frozen=True)
class Asked:
    """One request and what its caller got.

    Parameters
    ----------
    path
        Path asked for; another than the kind's where a version is tried.
    life
        Which process of the entry's address it was sent to.
    sealed
        Whether a back end's signature came with the answer.
    """

    request: str
    kind: Kind
    path: str
    key: str
    entry: str
    life: int
    sent_ms: float
    ended_ms: float
    ending: Ending
    status: int = 0
    sealed: bool = False
    body: bytes = b''


@dataclass(frozen=True)
class Ran:
    """A run at a back end, with its end if that was seen."""

    request: str
    runner: str
    at_ms: float
    ended_ms: float | None = None


@dataclass(frozen=True)
class Published:
    """A version that the operator published.

    Parameters
    ----------
    path
        Prefix of a route that it added; empty if none.
    revoked
        Key that it took away; empty if none.
    """

    version: int
    at_ms: float
    path: str = ''
    revoked: str = ''


@dataclass(frozen=True)
class Struck:
    """A fault as it was played, with the time at which it was over."""

    kind: str
    target: str
    at_ms: float
    until_ms: float


@dataclass(frozen=True)
class Stopped:
    """A planned stop of an entry, with the end of its process."""

    entry: str
    life: int
    at_ms: float
    ended_ms: float | None


@dataclass(frozen=True)
class Killed:
    """An entry's process that was killed without notice."""

    entry: str
    life: int
    at_ms: float


@dataclass(frozen=True)
class Memory:
    """Resident memory of a process over its time."""

    process: str
    points: tuple[tuple[float, float], ...]


@dataclass
class Records:
    """All that a soak has seen."""

    asked: list[Asked] = field(default_factory=list)
    ran: list[Ran] = field(default_factory=list)
    published: list[Published] = field(default_factory=list)
    struck: list[Struck] = field(default_factory=list)
    stopped: list[Stopped] = field(default_factory=list)
    killed: list[Killed] = field(default_factory=list)
    memory: list[Memory] = field(default_factory=list)
    lines_by_request: dict[str, list[str]] = field(default_factory=dict)
    dropped_lines: int = 0

    def runs_by_request(self) -> dict[str, list[Ran]]:
        """Return the runs of each request, in order."""
        by_request: dict[str, list[Ran]] = {}
        for run in sorted(self.ran, key=lambda one: one.at_ms):
            by_request.setdefault(run.request, []).append(run)
        return by_request

    def is_calm(self, from_ms: float, until_ms: float) -> bool:
        """Return whether no fault was at work in a span."""
        return not any(
            fault.at_ms <= until_ms and fault.until_ms >= from_ms
            for fault in self.struck
        )
