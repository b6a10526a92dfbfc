"""Builds at which streams began, as far as this process knows."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

from bergamotthread.clock import Clock
from bergamotthread.process.relay.upstreams import UpstreamDirectory

# Callers take a stream up within its time limit, 25 s on the users' sheets.
STREAM_MAX_MS = 30_000.0
# Time and number of streams for which a build is remembered.
KEPT_MS = 60_000.0
KEPT_MAX = 20_000
OWN = 'own'
TOLD = 'told'
SINGLE = 'single'


@dataclass(frozen=True, slots=True)
class KnownBuild:
    """Build at which a stream began.

    Parameters
    ----------
    source
        Where the knowledge came from: `OWN`, `TOLD` by another entry, or
        `SINGLE` if the service had no other build while the stream can have
        begun; with the host of the entry that was asked, if any.
    """

    build: str
    source: str


@dataclass(frozen=True, slots=True)
class _Kept:
    known: KnownBuild
    until_ms: float
    is_ambiguous: bool = False


def stream_key(request_id: bytes) -> int:
    """Return the hash of the request that began a stream."""
    return xxhash.xxh3_64_intdigest(request_id)


@dataclass
class StreamBuilds:
    """Remembers the builds of streams by `stream_key`."""

    clock: Clock
    directory: UpstreamDirectory
    _kept_by_stream: OrderedDict[int, _Kept] = field(
        default_factory=OrderedDict
    )

    def __len__(self) -> int:
        return len(self._kept_by_stream)

    def record(self, stream: int, build: str, source: str) -> None:
        """Remember the build of a stream.

        Streams of the same content that began at different builds are not told
        apart by their content.
        """
        now_ms = self.clock.now_ms()
        kept = self._kept_by_stream
        former = kept.get(stream)
        kept[stream] = _Kept(
            KnownBuild(build, source),
            now_ms + KEPT_MS,
            is_ambiguous=former is not None
            and (former.is_ambiguous or former.known.build != build),
        )
        kept.move_to_end(stream)
        while len(kept) > KEPT_MAX or self._oldest_until_ms <= now_ms:
            kept.popitem(last=False)

    def get(self, stream: int) -> KnownBuild | None:
        """Return the build of a stream, or None if it is not known."""
        kept = self._kept_by_stream.get(stream)
        return None if kept is None or kept.is_ambiguous else kept.known

    def is_ambiguous(self, stream: int) -> bool:
        """Return whether streams of this content began at several builds."""
        kept = self._kept_by_stream.get(stream)
        return kept is not None and kept.is_ambiguous

    def single(self, service: str) -> KnownBuild | None:
        """Return the only build of a service, or None.

        It must have been the only one for as long as a stream may last.
        """
        build = self.directory.single_build(service, STREAM_MAX_MS)
        return None if build is None else KnownBuild(build, SINGLE)

    @property
    def _oldest_until_ms(self) -> float:
        oldest = next(iter(self._kept_by_stream.values()))
        return oldest.until_ms
