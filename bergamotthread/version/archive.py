"""Reads versions from the platform's object store."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotthread.errors import BergamotError, Step
from bergamotthread.process.store.platform import ObjectStore
from bergamotthread.version.record import (
    Publication,
    Snapshot,
    Tail,
    VersionRow,
    VersionState,
    decode_record,
    tail_name,
)

MAX_REPLAYED_PUBLICATIONS = 256


class MissingObjectError(BergamotError):
    """An object that a record refers to is missing from the store."""


@dataclass(frozen=True)
class Archive:
    """Reads publications and snapshots by the names that records contain.

    Objects are immutable. Those already read are cached until a version is
    complete, so that a read interrupted by the store's rate limits can be
    retried without reading them again.
    """

    store: ObjectStore
    _bodies_by_name: dict[str, bytes] = field(default_factory=dict)

    async def newest(
        self, row: VersionRow, start_state: VersionState
    ) -> VersionState:
        """Return the state of the row's version.

        Parameters
        ----------
        start_state
            State to start from; the row's snapshot is used instead if the
            state is empty or more than `MAX_REPLAYED_PUBLICATIONS` versions
            older than the row.

        Raises
        ------
        MissingObjectError
            If an object that the row or a publication refers to is missing.
        """
        if start_state.version == row.version:
            return start_state
        is_far = row.version - start_state.version > MAX_REPLAYED_PUBLICATIONS
        if not start_state.version or is_far:
            start_state = await self._snapshot(row.snapshot)
        for publication in await self.publications(row, start_state.version):
            start_state = start_state.apply(publication)
        self._bodies_by_name.clear()
        return start_state

    async def version(self, row: VersionRow, version: int) -> VersionState:
        """Return the state of any version in the row's history.

        Raises
        ------
        MissingObjectError
            If the version or one of its objects does not exist.
        """
        if not 0 < version <= row.version:
            raise MissingObjectError(
                f'no version {version}, expected 1 to {row.version}',
                step=Step.PUBLISH,
            )
        tail = await self.tail(row.publication_id)
        publications = tail.publications
        while not _reaches_version(tail, publications, version):
            tail = await self.tail(publications[0].previous_id)
            later = publications if tail.snapshot_version < version else ()
            publications = tail.publications + later
        state = await self._snapshot(tail.snapshot)
        for publication in publications:
            if state.version < publication.version <= version:
                state = state.apply(publication)
        self._bodies_by_name.clear()
        return state

    async def publications(
        self,
        row: VersionRow,
        since: int,
    ) -> tuple[Publication, ...]:
        """Return the publications after version `since`, oldest first."""
        found = tuple(
            publication
            for publication in row.recent
            if publication.version > since
        )
        next_id = found[0].previous_id if found else row.publication_id
        next_version = found[0].version - 1 if found else row.version
        while next_version > since:
            tail = await self.tail(next_id)
            older = tuple(
                publication
                for publication in tail.publications
                if publication.version > since
            )
            found = older + found
            next_id = found[0].previous_id
            next_version = found[0].version - 1
        return found

    async def tail(self, publication_id: str) -> Tail:
        """Return a publication together with the ones that precede it."""
        return decode_record(await self._get(tail_name(publication_id)), Tail)

    async def _snapshot(self, name: str) -> VersionState:
        if not name:
            return VersionState()
        snapshot = decode_record(await self._get(name), Snapshot)
        return VersionState.from_snapshot(snapshot)

    async def _get(self, name: str) -> bytes:
        body = self._bodies_by_name.get(name)
        if body is None:
            body = await self.store.get(name)
        if body is None:
            raise MissingObjectError(f'no object {name}', step=Step.PUBLISH)
        self._bodies_by_name[name] = body
        return body


def _reaches_version(
    tail: Tail,
    publications: tuple[Publication, ...],
    version: int,
) -> bool:
    """Return whether the snapshot and `publications` lead to `version`."""
    starts_early = tail.snapshot_version < version
    return starts_early and publications[0].version <= tail.snapshot_version + 1
