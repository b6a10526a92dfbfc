"""Reading of versions from the platform's object store."""

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

MAX_FOLLOWED = 256


class MissingObjectError(BergamotError):
    """An object that a record names is not in the store."""


@dataclass(frozen=True)
class Archive:
    """Publications and snapshots by the ids that records name.

    Objects never change, so those that were read are kept until a version is
    complete: a reader that the store's limits interrupt goes on where it was.
    """

    store: ObjectStore
    _bodies_by_name: dict[str, bytes] = field(default_factory=dict)

    async def newest(self, row: VersionRow, held: VersionState) -> VersionState:
        """Return the state of the row's version.

        Parameters
        ----------
        held
            State to continue from; a snapshot is read where it is too old.
        """
        if held.version == row.version:
            return held
        is_far = row.version - held.version > MAX_FOLLOWED
        if not held.version or is_far:
            held = await self._snapshot(row.snapshot)
        for publication in await self.publications(row, held.version):
            held = held.follow(publication)
        self._bodies_by_name.clear()
        return held

    async def version(self, row: VersionRow, version: int) -> VersionState:
        """Return the state of an earlier version of the row's history.

        Raises
        ------
        MissingObjectError
            If there is no such version.
        """
        if not 0 < version <= row.version:
            raise MissingObjectError(
                f'version {version}, expected one from 1 to {row.version}',
                step=Step.PUBLISH,
            )
        tail = await self.tail(row.publication_id)
        walked = tail.publications
        while not _covers(tail, walked, version):
            tail = await self.tail(walked[0].previous_id)
            kept = walked if tail.snapshot_version < version else ()
            walked = tail.publications + kept
        state = await self._snapshot(tail.snapshot)
        for publication in walked:
            if state.version < publication.version <= version:
                state = state.follow(publication)
        self._bodies_by_name.clear()
        return state

    async def publications(
        self,
        row: VersionRow,
        since: int,
    ) -> tuple[Publication, ...]:
        """Return the publications after version `since`, oldest first."""
        walked = tuple(one for one in row.recent if one.version > since)
        next_id = walked[0].previous_id if walked else row.publication_id
        next_version = walked[0].version - 1 if walked else row.version
        while next_version > since:
            tail = await self.tail(next_id)
            older = tuple(
                one for one in tail.publications if one.version > since
            )
            walked = older + walked
            next_id = walked[0].previous_id
            next_version = walked[0].version - 1
        return walked

    async def tail(self, publication_id: str) -> Tail:
        """Return a publication with those before it."""
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


def _covers(
    tail: Tail,
    walked: tuple[Publication, ...],
    version: int,
) -> bool:
    """Return whether the tail's snapshot and `walked` lead to `version`."""
    starts_early = tail.snapshot_version < version
    return starts_early and walked[0].version <= tail.snapshot_version + 1
