"""Propagation of the versions that a process holds to its peers."""

from __future__ import annotations

from collections import deque

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.version.record import (
    Bundle,
    Publication,
    Snapshot,
    VersionState,
    encode_record,
)
from bergamotthread.wire.codec import MAX_ENVELOPE_BYTES
from bergamotthread.wire.messages import ConfigNotice

WATCHER_TIMEOUT_MS = 12_000
MAX_WATCHERS = 512
MAX_RECENT_PUBLICATIONS = 256
_ENVELOPE_OVERHEAD_BYTES = 1024


class VersionRelay:
    """Sends versions to the peers that ask for them."""

    def __init__(self, transport: Transport, clock: Clock) -> None:
        self._transport = transport
        self._clock = clock
        self._state = VersionState()
        self._recent: deque[Publication] = deque(maxlen=MAX_RECENT_PUBLICATIONS)
        self._snapshot = b''
        self._requested_ms_by_address: dict[str, float] = {}

    def add_watcher(self, peer: str) -> None:
        """Send new versions to a peer for `WATCHER_TIMEOUT_MS` from now on.

        If there are more than `MAX_WATCHERS` peers, the one that asked least
        recently is removed.
        """
        self._requested_ms_by_address.pop(peer, None)
        self._requested_ms_by_address[peer] = self._clock.now_ms()
        if len(self._requested_ms_by_address) > MAX_WATCHERS:
            oldest = next(iter(self._requested_ms_by_address))
            self._requested_ms_by_address.pop(oldest)

    def set_version(
        self,
        state: VersionState,
        publications: tuple[Publication, ...],
    ) -> None:
        """Set a newer version and notify the peers that asked recently.

        Parameters
        ----------
        publications
            The latest publications that led to the version, if known.
        """
        old_version = self._state.version
        self._state = state
        self._snapshot = b''
        self._add_recent(publications)
        self._notify_watchers(old_version)

    def bundle_since(self, version: int) -> bytes:
        """Return a bundle that leads from `version` to the newest version.

        It has the publications after `version`, or the whole set if `version`
        is 0 or not all of them are known. It is empty if nothing follows, or if
        the set is too large to send.
        """
        if version >= self._state.version:
            return b''
        publications = tuple(
            publication
            for publication in self._recent
            if publication.version > version
        )
        if version and publications and publications[0].version == version + 1:
            return encode_record(Bundle(publications))
        self._snapshot = self._snapshot or _encode_snapshot(self._state)
        fits = (
            len(self._snapshot) <= MAX_ENVELOPE_BYTES - _ENVELOPE_OVERHEAD_BYTES
        )
        return self._snapshot if fits else b''

    def _add_recent(self, publications: tuple[Publication, ...]) -> None:
        for publication in publications:
            last = self._recent[-1].version if self._recent else 0
            if publication.version != last + 1:
                self._recent.clear()
            self._recent.append(publication)
        if self._recent and self._recent[-1].version != self._state.version:
            self._recent.clear()

    def _notify_watchers(self, before: int) -> None:
        min_requested_ms = self._clock.now_ms() - WATCHER_TIMEOUT_MS
        document = self.bundle_since(before) if before else b''
        notice = ConfigNotice(self._state.version, document)
        for address, requested_ms in self._requested_ms_by_address.items():
            if requested_ms >= min_requested_ms:
                self._transport.send(address, notice)


def apply_bundle(
    state: VersionState,
    bundle: Bundle,
) -> tuple[VersionState, tuple[Publication, ...]]:
    """Return the state after a bundle, and the publications applied from it.

    Raises
    ------
    ChainError
        If the bundle's history differs from that of `state`.
    """
    snapshot = bundle.snapshot
    if snapshot is not None and snapshot.version > state.version:
        state = VersionState.from_snapshot(snapshot)
    applied: list[Publication] = []
    for publication in bundle.publications:
        if publication.version > state.version + 1:
            break
        if publication.version > state.version:
            state = state.apply(publication)
            applied.append(publication)
    return state, tuple(applied)


def _encode_snapshot(state: VersionState) -> bytes:
    snapshot = Snapshot(
        state.version,
        state.publication_id,
        state.digest,
        state.object_set,
    )
    return encode_record(Bundle(snapshot=snapshot))
