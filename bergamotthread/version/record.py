"""Stored records of versions: publications, snapshots, the version row."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from bergamotthread.errors import BergamotError, DecodeError, Step
from bergamotthread.version.diff import ChangeSet, apply_changes
from bergamotthread.version.objects import ObjectSet

VERSION_KEY = 'version/newest'
PUBLICATION_PREFIX = 'version/publication/'
SNAPSHOT_PREFIX = 'version/snapshot/'
MAX_INLINE_BYTES = 2048
MAX_TAIL_BYTES = 32_768
SNAPSHOT_INTERVAL_VERSIONS = 64


class ChainError(BergamotError):
    """A publication does not follow the version that it was applied to."""


class _Record(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """Base of stored records."""


class Publication(_Record, frozen=True):
    """One published version as a change to the previous one.

    Parameters
    ----------
    publication_id, previous_id
        Random ids of this publication and of the previous one.
    published_ms
        Milliseconds since the Unix epoch by the publisher's calendar clock.
    digest
        SHA-256 in hex of the previous digest and this record without its own.
    """

    version: int
    publication_id: str
    previous_id: str
    who: str
    published_ms: int
    changes: ChangeSet
    note: str = ''
    digest: str = ''

    def digest_after(self, previous_digest: str) -> str:
        """Return the digest of this record if it follows `previous_digest`."""
        undigested = msgspec.structs.replace(self, digest='')
        chained = previous_digest.encode() + msgspec.json.encode(undigested)
        return hashlib.sha256(chained).hexdigest()


class Snapshot(_Record, frozen=True):
    """Complete set of objects of one version."""

    version: int
    publication_id: str
    digest: str
    object_set: ObjectSet


class Tail(_Record, frozen=True):
    """A publication and the preceding ones, oldest first.

    They start after the snapshot `snapshot`, or later if they would exceed
    `MAX_TAIL_BYTES`; `snapshot` is empty if there was none.
    """

    publications: tuple[Publication, ...]
    snapshot: str
    snapshot_version: int


class VersionRow(_Record, frozen=True):
    """Body of the row that names the newest version.

    `recent` are the newest publications that fit `MAX_INLINE_BYTES`, oldest
    first; `snapshot` names the newest snapshot and `snapshot_version` is its
    version.
    """

    version: int
    publication_id: str
    digest: str
    who: str
    published_ms: int
    recent: tuple[Publication, ...]
    snapshot: str
    snapshot_version: int
    note: str = ''


class Bundle(_Record, frozen=True):
    """Versions that one process sends to another, oldest first."""

    publications: tuple[Publication, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True)
class VersionState:
    """State after a publication: its version, id, digest and set of objects."""

    version: int = 0
    publication_id: str = ''
    digest: str = ''
    object_set: ObjectSet = ObjectSet()

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> VersionState:
        """Return the state that a snapshot holds."""
        return cls(
            snapshot.version,
            snapshot.publication_id,
            snapshot.digest,
            snapshot.object_set,
        )

    def apply(self, publication: Publication) -> VersionState:
        """Return the state after the next publication.

        Raises
        ------
        ChainError
            If the publication does not follow this state.
        """
        follows = (
            publication.version == self.version + 1
            and publication.previous_id == self.publication_id
            and publication.digest == publication.digest_after(self.digest)
        )
        if not follows:
            raise ChainError(
                f'publication {publication.publication_id} of version '
                f'{publication.version} does not follow version '
                f'{self.version} ({self.publication_id or "none"})',
                step=Step.PUBLISH,
            )
        return VersionState(
            publication.version,
            publication.publication_id,
            publication.digest,
            apply_changes(self.object_set, publication.changes),
        )


_Decoded = TypeVar('_Decoded', VersionRow, Tail, Snapshot, Bundle, Publication)


def encode_record(record: _Record) -> bytes:
    """Return a record as JSON."""
    return msgspec.json.encode(record)


def decode_record(encoded: bytes, kind: type[_Decoded]) -> _Decoded:
    """Decode a record from JSON.

    Raises
    ------
    DecodeError
        If the bytes are not a record of that kind.
    """
    try:
        return msgspec.json.decode(encoded, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        message = f'not a valid {kind.__name__}: {error}'
        raise DecodeError(message, step=Step.DECODE) from error


def tail_name(publication_id: str) -> str:
    """Return the object name of a publication's `Tail`."""
    return f'{PUBLICATION_PREFIX}{publication_id}'


def snapshot_name(publication_id: str) -> str:
    """Return the object name of the snapshot of a publication's version."""
    return f'{SNAPSHOT_PREFIX}{publication_id}'


def trim_publications(
    publications: tuple[Publication, ...],
    max_bytes: int,
) -> tuple[Publication, ...]:
    """Return the newest publications whose total size fits `max_bytes`."""
    kept: list[Publication] = []
    for publication in reversed(publications):
        max_bytes -= len(encode_record(publication))
        if max_bytes < 0:
            break
        kept.append(publication)
    return tuple(reversed(kept))
