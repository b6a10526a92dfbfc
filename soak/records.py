"""Records of what callers, back ends and the operator saw during a soak.

All times are in milliseconds of the machine's monotonic clock, which all
processes of a soak share.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Kind(enum.StrEnum):
    """Kind of request, by the prefix of its path."""

    STREAM = '/stream/'
    ONCE_STREAM = '/once-stream/'
    ONCE = '/once/'
    LOOKUP = '/any/'

    @property
    def runs_once(self) -> bool:
        """Return whether a request must not run more than once."""
        return self in {Kind.ONCE, Kind.ONCE_STREAM}

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self in {Kind.STREAM, Kind.ONCE_STREAM}


class Ending(enum.StrEnum):
    """How a request ended for its caller."""

    WHOLE = 'whole'
    CUT = 'cut'
    UNCONNECTED = 'unconnected'
    LEFT = 'left'
    UNANSWERED = 'unanswered'


@dataclass(frozen=True)
class Call:
    """A request that a caller sent, and the answer it got.

    Parameters
    ----------
    path
        Path of the request; differs from the kind's prefix if the request is
        for a route that a published version added.
    incarnation
        Number of starts of the entry's process when the request was sent.
    sealed
        Whether the answer carries a back end's signature.
    answered_ms
        Time at which the head of the answer arrived; 0 if none did.
    origin, resumed_after
        Request that began the stream that is taken up, and the last event that
        its caller has; empty and 0 if none is.
    """

    request: str
    kind: Kind
    path: str
    key: str
    entry: str
    incarnation: int
    sent_ms: float
    ended_ms: float
    ending: Ending
    status: int = 0
    sealed: bool = False
    body: bytes = b''
    answered_ms: float = 0
    origin: str = ''
    resumed_after: int = 0


@dataclass(frozen=True)
class Run:
    """A run of a request at a back end; no end if none was reported.

    Parameters
    ----------
    runner
        Name of the back end's process; a restarted one has another.
    """

    request: str
    runner: str
    at_ms: float
    ended_ms: float | None = None


class NoticeKind(enum.StrEnum):
    """What a back end says of itself in an answer."""

    LEAVING = 'leaving'
    PAUSED = 'paused'
    LIMITED = 'limited'


@dataclass(frozen=True)
class Notice:
    """An answer in which a back end said that it leaves or has no room.

    Parameters
    ----------
    runner
        See `Run`.
    for_ms
        Time for which it wants no requests, if it has no room; the requests
        that it takes in a second, times 1000, if it is limited.
    """

    kind: NoticeKind
    request: str
    runner: str
    at_ms: float
    for_ms: float = 0


@dataclass(frozen=True)
class PublicationRecord:
    """A configuration version that the operator published.

    Parameters
    ----------
    path
        Path prefix of the route that the version added; empty if none.
    revoked
        Key that the version revoked; empty if none.
    """

    version: int
    at_ms: float
    path: str = ''
    revoked: str = ''


@dataclass(frozen=True)
class Crash:
    """Crash of a runner under a request; its sendings form a `series`."""

    series: str
    runner: str
    at_ms: float


@dataclass(frozen=True)
class PlayedFault:
    """A disturbing fault that was played, with its start and end."""

    kind: str
    target: str
    at_ms: float
    until_ms: float


@dataclass(frozen=True)
class PlannedStop:
    """A planned stop of an entry; no end if its process had to be killed."""

    entry: str
    incarnation: int
    at_ms: float
    ended_ms: float | None


@dataclass(frozen=True)
class EntryKill:
    """A kill of an entry's process without notice."""

    entry: str
    incarnation: int
    at_ms: float


@dataclass(frozen=True)
class Memory:
    """Resident memory of a process over time, as (ms, MB) points."""

    process: str
    points: tuple[tuple[float, float], ...]


@dataclass(frozen=True)
class Rollout:
    """A roll-out that was ordered, and what the operator read of it.

    Parameters
    ----------
    runners
        Instances of the target.
    states
        States of the status, each with the time at which it was first read.
    """

    service: str
    target: str
    runners: frozenset[str]
    is_bad: bool
    ordered_ms: float
    duration_ms: float
    states: tuple[tuple[str, float], ...]


@dataclass
class Records:
    """All records of a soak."""

    calls: list[Call] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)
    publications: list[PublicationRecord] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)
    played_faults: list[PlayedFault] = field(default_factory=list)
    planned_stops: list[PlannedStop] = field(default_factory=list)
    entry_kills: list[EntryKill] = field(default_factory=list)
    memory: list[Memory] = field(default_factory=list)
    lines_by_request: dict[str, list[str]] = field(default_factory=dict)
    dropped_lines: int = 0
    rollouts: list[Rollout] = field(default_factory=list)
    rollout_lines: list[str] = field(default_factory=list)
    build_by_runner: dict[str, str] = field(default_factory=dict)

    def runs_by_request(self) -> dict[str, list[Run]]:
        """Return the runs of each request, ordered by start."""
        by_request: dict[str, list[Run]] = {}
        for run in sorted(self.runs, key=lambda run: run.at_ms):
            by_request.setdefault(run.request, []).append(run)
        return by_request

    def is_undisturbed(self, from_ms: float, until_ms: float) -> bool:
        """Return whether no disturbing fault was in force in a time span."""
        return not any(
            fault.at_ms <= until_ms and fault.until_ms >= from_ms
            for fault in self.played_faults
        )
