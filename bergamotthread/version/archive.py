"""Reading of versions from the platform's object store."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.errors import BergamotError, Step
from bergamotthread.process.platform import ObjectStore
from bergamotthread.version.record import (
    Publication,
    Snapshot,
    VersionRow,
    VersionState,
    decode_record,
    publication_name,
    snapshot_name,
)


class MissingObjectError(BergamotError):
    """An object that a record names is not in the store."""


@dataclass(frozen=True)
class Archive:
    """Publications and snapshots by the ids that records name."""

    store: ObjectStore

    async def newest(self, row: VersionRow, held: VersionState) -> VersionState:
        """Return the state of the row's version.

        Parameters
        ----------
        held
            State to continue from; read anew where it is too old.
        """
        if held.version == row.version:
            return held
        if held.version < row.snapshot_version:
            held = VersionState.from_snapshot(
                await self._snapshot(row.snapshot)
            )
        following = await self._since(row, held.version)
        for publication in following:
            held = held.follow(publication)
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
        last_id = row.publication_id
        snapshot = await self._snapshot(row.snapshot)
        while snapshot.version > version:
            last_id = snapshot.publication_id
            snapshot = await self._snapshot(snapshot.previous)
        state = VersionState.from_snapshot(snapshot)
        for publication in await self._walk(last_id, state.version):
            if publication.version <= version:
                state = state.follow(publication)
        return state

    async def publications(
        self,
        row: VersionRow,
        since: int,
    ) -> tuple[Publication, ...]:
        """Return the publications after version `since`, oldest first."""
        return await self._since(row, since)

    async def _since(
        self,
        row: VersionRow,
        version: int,
    ) -> tuple[Publication, ...]:
        inline = tuple(one for one in row.recent if one.version > version)
        if not inline:
            return await self._walk(row.publication_id, version)
        if inline[0].version == version + 1:
            return inline
        return await self._walk(inline[0].previous_id, version) + inline

    async def _walk(
        self,
        publication_id: str,
        version: int,
    ) -> tuple[Publication, ...]:
        walked: list[Publication] = []
        while publication_id:
            encoded = await self._get(publication_name(publication_id))
            publication = decode_record(encoded, Publication)
            if publication.version <= version:
                break
            walked.append(publication)
            publication_id = publication.previous_id
            if publication.version == version + 1:
                break
        return tuple(reversed(walked))

    async def _snapshot(self, name: str) -> Snapshot:
        return decode_record(await self._get(name), Snapshot)

    async def _get(self, name: str) -> bytes:
        encoded = await self.store.get(name)
        if encoded is None:
            raise MissingObjectError(f'no object {name}', step=Step.PUBLISH)
        return encoded


def snapshot_of(state: VersionState, previous: str) -> tuple[str, Snapshot]:
    """Return a snapshot of a state with its object name."""
    snapshot = Snapshot(
        state.version,
        state.publication_id,
        state.digest,
        state.object_set,
        previous,
    )
    return snapshot_name(state.publication_id), snapshot
