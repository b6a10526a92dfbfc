"""Writes the version row, with retries until the outcome is known."""

from __future__ import annotations

import enum

from transitions import Machine

from bergamotthread.clock import Clock
from bergamotthread.errors import (
    BergamotError,
    Step,
    StoreConflictError,
    StoreUnavailableError,
)
from bergamotthread.process.store.platform import Table
from bergamotthread.process.store.store_client import StoreNotAskedError
from bergamotthread.version.archive import Archive
from bergamotthread.version.record import (
    VERSION_KEY,
    VersionRow,
    decode_record,
    encode_record,
)

WRITE_TIMEOUT_MS = 10_000
RETRY_INTERVAL_MS = 250


class PublicationUnknownError(BergamotError):
    """The store did not answer whether the publication took effect."""


class WriteState(enum.StrEnum):
    """State of the write of a publication.

    `UNANSWERED`: it was sent at least once and may have taken effect.
    `ABANDONED`: it was never sent.
    """

    UNSENT = 'unsent'
    UNANSWERED = 'unanswered'
    PUBLISHED = 'published'
    OVERTAKEN = 'overtaken'
    UNKNOWN = 'unknown'
    ABANDONED = 'abandoned'


_OPEN = [WriteState.UNSENT, WriteState.UNANSWERED]
_TRANSITIONS = (
    ('lose_answer', _OPEN, WriteState.UNANSWERED),
    ('confirm', _OPEN, WriteState.PUBLISHED),
    ('overtake', _OPEN, WriteState.OVERTAKEN),
    ('give_up', WriteState.UNSENT, WriteState.ABANDONED),
    ('give_up', WriteState.UNANSWERED, WriteState.UNKNOWN),
)


class PublicationWrite:
    """Writes one version row with one expected revision.

    If an answer is lost, the write may or may not have taken effect. It is
    repeated with the same expected revision, so that it takes effect at most
    once. On a conflict, the publication id in the history shows whether the
    conflicting row contains this publication or another one came first.
    """

    def __init__(
        self,
        table: Table,
        archive: Archive,
        clock: Clock,
        row: VersionRow,
        expected: int,
    ) -> None:
        self.state = WriteState.UNSENT
        self._table = table
        self._archive = archive
        self._clock = clock
        self._row = row
        self._expected = expected
        self._machine = Machine(
            model=self,
            states=WriteState,
            transitions=[list(transition) for transition in _TRANSITIONS],
            initial=WriteState.UNSENT,
            auto_transitions=False,
        )

    async def run(self) -> int | None:
        """Write the row.

        Returns
        -------
        int or None
            The row's revision, or None if another publication came first.

        Raises
        ------
        PublicationUnknownError
            If the write was sent and not answered in time.
        StoreUnavailableError
            If the write was never sent.
        """
        deadline_ms = self._clock.now_ms() + WRITE_TIMEOUT_MS
        body = encode_record(self._row)
        while True:
            try:
                return await self._attempt(body)
            except StoreUnavailableError as error:
                if self._clock.now_ms() >= deadline_ms:
                    self._give_up(error)
            await self._clock.sleep_ms(RETRY_INTERVAL_MS)

    async def _attempt(self, body: bytes) -> int | None:
        try:
            row = await self._table.write(
                VERSION_KEY,
                body,
                expected=self._expected,
            )
        except StoreNotAskedError:
            raise
        except StoreUnavailableError:
            self._trigger('lose_answer')
            raise
        except StoreConflictError:
            return await self._resolve_conflict()
        self._trigger('confirm')
        return row.revision

    async def _resolve_conflict(self) -> int | None:
        """Return the revision if the row's history has this publication.

        Return None if it does not.
        """
        found = await self._table.read(VERSION_KEY)
        if found is not None:
            newest = decode_record(found.body, VersionRow)
            since = self._row.version - 1
            history = await self._archive.publications(newest, since)
            own_id = self._row.publication_id
            if any(
                publication.publication_id == own_id for publication in history
            ):
                self._trigger('confirm')
                return found.revision
        self._trigger('overtake')
        return None

    def _give_up(self, error: StoreUnavailableError) -> None:
        self._trigger('give_up')
        if self.state is WriteState.ABANDONED:
            raise error
        raise PublicationUnknownError(
            f'no answer from the store; publication {self._row.publication_id} '
            f'of version {self._row.version} may have taken effect',
            step=Step.PUBLISH,
        ) from error

    def _trigger(self, name: str) -> None:
        self._machine.events[name].trigger(self)
