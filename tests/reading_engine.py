"""Model of engines that read prompts in order, seen by late reports."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotthread.clock import Clock
from bergamotthread.process.relay.upstreams import (
    LoadReport,
    RunProgress,
    Upstream,
    UpstreamDirectory,
    UpstreamRecord,
    UpstreamState,
)

PROMPT_TOKENS = 8200
READ_PER_MS = 8
RUN_MS = 5000.0
STALE_MS = 200.0
KV_TOKENS = 88_000


@dataclass
class ReadingEngine:
    """Engine with streams as (sent, tokens, first event), and kept prompts."""

    name: str
    domain: str = 'd'
    streams: list[tuple[float, int, float]] = field(default_factory=list)
    kept: OrderedDict[bytes, int] = field(default_factory=OrderedDict)
    saved_tokens: int = 0

    def send(self, now_ms: float, tokens: int, key: bytes = b'') -> float:
        """Accept a prompt and return the time until its first event."""
        start_ms = max(now_ms, self.streams[-1][2] if self.streams else 0)
        cached = self.kept.pop(key, 0)
        self.saved_tokens += cached
        first_ms = start_ms + max(tokens - cached, 200) / READ_PER_MS
        self.streams.append((now_ms, tokens, first_ms))
        if key:
            self.kept[key] = tokens
        while sum(self.kept.values()) > KV_TOKENS:
            self.kept.popitem(last=False)
        return first_ms - now_ms

    def report(self, now_ms: float) -> LoadReport:
        """Return the load as it was `STALE_MS` ago."""
        at_ms = now_ms - STALE_MS
        self.streams = [
            stream for stream in self.streams if stream[2] + RUN_MS > at_ms
        ]
        seen = [stream for stream in self.streams if stream[0] <= at_ms]
        unread = [tokens for _, tokens, first in seen if first > at_ms]
        return LoadReport(
            0,
            len(seen),
            sum(tokens for _, tokens, _ in seen),
            KV_TOKENS,
            at_ms=now_ms,
            unread_tokens=sum(unread),
            runs=tuple(
                RunProgress(f'{first_ms}', tokens, 10)
                for _, tokens, first_ms in seen
                if first_ms <= at_ms
            ),
        )


def record(name: str, domain: str = 'd', started_ms: int = 1) -> UpstreamRecord:
    """Return the record of an engine."""
    return UpstreamRecord(
        name, 's', f'{name}:1', domain, UpstreamState.READY, 64, started_ms
    )


def directory_of(
    engines: Iterable[ReadingEngine], clock: Clock
) -> UpstreamDirectory:
    """Return a directory that lists engines."""
    directory = UpstreamDirectory(clock)
    for engine in engines:
        directory.update(record(engine.name, engine.domain))
    return directory


def upstream_with(report: LoadReport | None, name: str = 'u') -> Upstream:
    """Return an upstream with a load report."""
    return Upstream(record(name), report=report)
