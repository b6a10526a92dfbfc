"""Publication of new versions by compare-and-set on one row."""

from __future__ import annotations

import random
import secrets
from dataclasses import dataclass, field, replace

import msgspec

from bergamotthread.clock import Clock
from bergamotthread.errors import BergamotError, Step
from bergamotthread.process.store.platform import ObjectStore, Table
from bergamotthread.version.archive import Archive
from bergamotthread.version.checks import check_object_set
from bergamotthread.version.diff import (
    ChangeSet,
    ObjectName,
    apply_changes,
    diff_sets,
)
from bergamotthread.version.objects import ObjectSet
from bergamotthread.version.publication_write import PublicationWrite
from bergamotthread.version.record import (
    MAX_INLINE_BYTES,
    MAX_TAIL_BYTES,
    SNAPSHOT_INTERVAL_VERSIONS,
    VERSION_KEY,
    Publication,
    Snapshot,
    Tail,
    VersionRow,
    VersionState,
    decode_record,
    encode_record,
    snapshot_name,
    tail_name,
    trim_publications,
)

PUBLICATION_ID_BYTES = 12
PUBLICATION_INITIAL_BACKOFF_MS = 100
MAX_BACKOFF_MS = 2000
MAX_SHOWN_OBJECTS = 4
MAX_SHOWN_PUBLICATIONS = 5


class PublicationConflictError(BergamotError):
    """Another version was published after the base version of a draft.

    Parameters
    ----------
    newer
        Publications after the base version, oldest first.
    clashes
        Objects that both sides changed; empty if that was not compared.
    """

    def __init__(
        self,
        newer: tuple[Publication, ...],
        clashes: frozenset[ObjectName],
    ) -> None:
        shown = newer[-MAX_SHOWN_PUBLICATIONS:]
        descriptions = '; '.join(
            describe_publication(publication) for publication in shown
        )
        hidden = len(newer) - len(shown)
        earlier = f'{hidden} earlier ones; ' if hidden else ''
        clash_names = ', '.join(str(name) for name in sorted(clashes))
        changed_by_both = (
            f'; changed by both: {clash_names}' if clash_names else ''
        )
        super().__init__(
            f'published since the base version: {earlier}{descriptions}'
            f'{changed_by_both}',
            step=Step.PUBLISH,
        )
        self.newer = newer
        self.clashes = clashes


@dataclass(frozen=True)
class NewestVersion:
    """Newest version row, its revision, and the state of that version.

    `row` is None if nothing is published.
    """

    row: VersionRow | None
    revision: int
    state: VersionState


@dataclass(frozen=True)
class Draft:
    """Set of objects that an operator asks to publish.

    Parameters
    ----------
    base
        Version that the set was edited from, 0 for the first publication.
    rebase
        Whether to merge with changes that others published after `base`, if
        they touch other objects than this draft does.
    """

    object_set: ObjectSet
    who: str
    base: int
    note: str = ''
    rebase: bool = False


@dataclass(frozen=True)
class Publisher:
    """Publishes sets of objects through the platform."""

    table: Table
    archive: Archive
    clock: Clock
    rng: random.Random = field(default_factory=random.Random)

    @classmethod
    def from_platform(
        cls,
        table: Table,
        object_store: ObjectStore,
        clock: Clock,
    ) -> Publisher:
        """Return a publisher that uses a table and an object store."""
        return cls(table, Archive(object_store), clock)

    async def newest(self) -> NewestVersion:
        """Read the newest version."""
        return await self._read_newest(VersionState())

    async def publish(self, draft: Draft) -> NewestVersion:
        """Check a draft as a whole and publish it as the next version.

        A draft that changes nothing is not published; the newest version is
        returned.

        Raises
        ------
        ObjectsError
            If the set is not valid.
        PublicationConflictError
            If another version was published after `draft.base`, and the draft
            is not to be rebased or changes an object that was changed since.
        BergamotError
            If `draft.base` is newer than the newest version.
        PublicationUnknownError
            If the store did not answer the write, so that its outcome is
            unknown; `status` shows it later.
        StoreUnavailableError
            If the store did not answer and no version was published.
        """
        check_object_set(draft.object_set)
        newest = await self.newest()
        attempt = 0
        while True:
            draft = await self._rebase_if_needed(draft, newest)
            changes = diff_sets(newest.state.object_set, draft.object_set)
            if newest.row is not None and _is_empty(changes, newest.state):
                return newest
            written = await self._write(draft, changes, newest)
            if written is not None:
                return written
            attempt += 1
            await self._back_off(attempt)
            newest = await self._read_newest(newest.state)

    async def rollback(
        self,
        version: int,
        *,
        who: str,
        base: int,
    ) -> NewestVersion:
        """Publish the set of an earlier version as a new version."""
        newest = await self.newest()
        if newest.row is None:
            raise BergamotError('no version is published', step=Step.PUBLISH)
        state = await self.archive.version(newest.row, version)
        note = f'rollback to version {version}'
        return await self.publish(Draft(state.object_set, who, base, note))

    async def _back_off(self, attempt: int) -> None:
        """Wait a random time, so that concurrent publishers rarely collide."""
        max_pause_ms = min(
            PUBLICATION_INITIAL_BACKOFF_MS * 2**attempt, MAX_BACKOFF_MS
        )
        await self.clock.sleep_ms(self.rng.random() * max_pause_ms)

    async def _read_newest(self, start_state: VersionState) -> NewestVersion:
        row = await self.table.read(VERSION_KEY)
        if row is None:
            return NewestVersion(None, 0, VersionState())
        version_row = decode_record(row.body, VersionRow)
        state = await self.archive.newest(version_row, start_state)
        return NewestVersion(version_row, row.revision, state)

    async def _rebase_if_needed(
        self, draft: Draft, newest: NewestVersion
    ) -> Draft:
        if draft.base == newest.state.version:
            return draft
        if newest.row is None or draft.base > newest.state.version:
            raise BergamotError(
                f'base version {draft.base}, expected at most '
                f'{newest.state.version}',
                step=Step.PUBLISH,
            )
        newer = await self.archive.publications(newest.row, draft.base)
        if not (draft.rebase and draft.base):
            raise PublicationConflictError(newer, frozenset())
        base = await self.archive.version(newest.row, draft.base)
        return _rebase(draft, base, newest.state, newer)

    async def _write(
        self,
        draft: Draft,
        changes: ChangeSet,
        newest: NewestVersion,
    ) -> NewestVersion | None:
        """Write one publication; return None if another one came first."""
        publication = self._build_publication(draft, changes, newest.state)
        state = newest.state.apply(publication)
        row = await self._put_objects(publication, state, newest.row)
        write = PublicationWrite(
            self.table,
            self.archive,
            self.clock,
            row,
            newest.revision,
        )
        revision = await write.run()
        return None if revision is None else NewestVersion(row, revision, state)

    def _build_publication(
        self,
        draft: Draft,
        changes: ChangeSet,
        state: VersionState,
    ) -> Publication:
        undigested = Publication(
            version=state.version + 1,
            publication_id=secrets.token_hex(PUBLICATION_ID_BYTES),
            previous_id=state.publication_id,
            who=draft.who,
            published_ms=self.clock.calendar_ms(),
            changes=changes,
            note=draft.note,
        )
        # The digest is checked on decoded records, and JSON may change the
        # type of numbers, so the record is decoded once before hashing.
        undigested = decode_record(encode_record(undigested), Publication)
        digest = undigested.digest_after(state.digest)
        return msgspec.structs.replace(undigested, digest=digest)

    async def _put_objects(
        self,
        publication: Publication,
        state: VersionState,
        before: VersionRow | None,
    ) -> VersionRow:
        """Store the objects that the next row names, and return that row.

        They have no effect until the row is written.
        """
        tail = await self._build_tail(publication, before)
        name = tail_name(publication.publication_id)
        await self.archive.store.put(name, encode_record(tail))
        snapshot, snapshot_version = tail.snapshot, tail.snapshot_version
        if (
            not snapshot
            or state.version - snapshot_version >= SNAPSHOT_INTERVAL_VERSIONS
        ):
            snapshot, snapshot_version = await self._put_snapshot(state)
        recent = before.recent if before else ()
        return VersionRow(
            version=state.version,
            publication_id=state.publication_id,
            digest=state.digest,
            who=publication.who,
            published_ms=publication.published_ms,
            recent=trim_publications((*recent, publication), MAX_INLINE_BYTES),
            snapshot=snapshot,
            snapshot_version=snapshot_version,
            note=publication.note,
        )

    async def _build_tail(
        self,
        publication: Publication,
        before: VersionRow | None,
    ) -> Tail:
        if before is None:
            return Tail((publication,), '', 0)
        earlier = await self.archive.tail(before.publication_id)
        since_snapshot = tuple(
            previous
            for previous in earlier.publications
            if previous.version > before.snapshot_version
        )
        remaining_bytes = MAX_TAIL_BYTES - len(encode_record(publication))
        return Tail(
            (*trim_publications(since_snapshot, remaining_bytes), publication),
            before.snapshot,
            before.snapshot_version,
        )

    async def _put_snapshot(self, state: VersionState) -> tuple[str, int]:
        snapshot = Snapshot(
            state.version,
            state.publication_id,
            state.digest,
            state.object_set,
        )
        name = snapshot_name(state.publication_id)
        await self.archive.store.put(name, encode_record(snapshot))
        return name, state.version


def _is_empty(changes: ChangeSet, state: VersionState) -> bool:
    lease_ms = changes.upserts.outage_lease_ms
    same_lease = lease_ms == state.object_set.outage_lease_ms
    return same_lease and not changes.names()


def _rebase(
    draft: Draft,
    base: VersionState,
    newest: VersionState,
    newer: tuple[Publication, ...],
) -> Draft:
    """Return the draft rebased onto the newest version.

    Raises
    ------
    ObjectsError
        If the merged set is not valid.
    PublicationConflictError
        If both sides changed the same object.
    """
    own_changes = diff_sets(base.object_set, draft.object_set)
    names_changed_since = frozenset[ObjectName]().union(
        *(publication.changes.names() for publication in newer),
    )
    clashes = own_changes.names() & names_changed_since
    if clashes:
        raise PublicationConflictError(newer, clashes)
    merged = apply_changes(newest.object_set, own_changes)
    if draft.object_set.outage_lease_ms == base.object_set.outage_lease_ms:
        lease_ms = newest.object_set.outage_lease_ms
        merged = msgspec.structs.replace(merged, outage_lease_ms=lease_ms)
    check_object_set(merged)
    return replace(draft, object_set=merged, base=newest.version)


def describe_publication(publication: Publication) -> str:
    """Return version, publisher, note and changed objects as one line."""
    names = sorted(publication.changes.names())
    changed = ', '.join(str(name) for name in names[:MAX_SHOWN_OBJECTS])
    hidden = len(names) - MAX_SHOWN_OBJECTS
    more = f' and {hidden} more' if hidden > 0 else ''
    note = f' ({publication.note})' if publication.note else ''
    return (
        f'version {publication.version} by {publication.who}{note}: '
        f'{changed or "outage_lease_ms"}{more}'
    )
