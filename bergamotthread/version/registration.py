"""Registration of the version that each process has in force, as rows."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from bergamotthread.errors import (
    BergamotError,
    DecodeError,
    Step,
    StoreConflictError,
)
from bergamotthread.process.settings import PlaceSettings
from bergamotthread.process.store.platform import Row, Table

HOLDER_PREFIX = 'version/holder/'
MAX_HOLDERS = 10_000


class HolderRow(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
):
    """Version in force at one process, and its outage lease."""

    address: str
    region: str
    failure_domain: str
    version: int
    outage_lease_ms: int = 0


@dataclass(frozen=True)
class StoredHolder:
    """Holder row with its key and revision in the table."""

    key: str
    revision: int
    incarnation: int
    holder: HolderRow


class Registration:
    """Writes the holder row of this process.

    A deleted key is never used again, so that a delayed deletion can't remove
    a row that was written later. The first write removes the rows of earlier
    incarnations at the same address: this process has bound the address, so no
    earlier one is still serving there.
    """

    def __init__(
        self,
        table: Table,
        place: PlaceSettings,
        incarnation: int,
    ) -> None:
        self._table = table
        self._place = place
        self._incarnation = incarnation
        self._has_removed_earlier = False
        self._generation = 0
        self._revision = 0
        self.recorded: HolderRow | None = None

    async def record(self, version: int, outage_lease_ms: int) -> None:
        """Write the version in force and return once the table has it.

        Raises
        ------
        StoreUnavailableError
            If the table did not answer.
        StoreConflictError
            If the row was changed by others before each of two writes, or a
            row of an earlier incarnation was changed before its deletion.
        """
        holder = HolderRow(
            self._place.address,
            self._place.region,
            self._place.failure_domain,
            version,
            outage_lease_ms,
        )
        if not self._has_removed_earlier:
            await self._remove_earlier()
            self._has_removed_earlier = True
        try:
            await self._write(holder)
        except StoreConflictError:
            await self._reread()
            await self._write(holder)
        self.recorded = holder

    async def remove(self) -> None:
        """Delete the row, once this process admits no more requests."""
        if self._revision:
            await self._table.delete(self._key(), expected=self._revision)
            self._start_new_key()

    async def _remove_earlier(self) -> None:
        for stored in await read_holders(self._table, self._place.address):
            if stored.incarnation < self._incarnation:
                await self._table.delete(stored.key, expected=stored.revision)

    async def _write(self, holder: HolderRow) -> None:
        row = await self._table.write(
            self._key(),
            msgspec.json.encode(holder),
            expected=self._revision,
        )
        self._revision = row.revision

    async def _reread(self) -> None:
        row = await self._table.read(self._key())
        if row is None:
            self._start_new_key()
        else:
            self._revision = row.revision

    def _key(self) -> str:
        prefix = _key_prefix(self._place.address)
        return f'{prefix}{self._incarnation}.{self._generation}'

    def _start_new_key(self) -> None:
        self._generation += 1
        self._revision = 0
        self.recorded = None


async def read_holders(
    table: Table,
    address: str = '',
) -> tuple[StoredHolder, ...]:
    """Return all registered processes, or those at one address.

    Raises
    ------
    DecodeError
        If a row is not a holder row.
    BergamotError
        If there are `MAX_HOLDERS` rows or more, so that some may be missing.
    """
    prefix = _key_prefix(address) if address else HOLDER_PREFIX
    rows = await table.scan(prefix, limit=MAX_HOLDERS)
    if len(rows) >= MAX_HOLDERS:
        raise BergamotError(
            f'{len(rows)} rows under {prefix}, expected fewer than '
            f'{MAX_HOLDERS}; remove those of lost hosts with forget-host',
            step=Step.STORE,
        )
    return tuple(_stored_holder(row) for row in rows)


async def delete_holders(table: Table, address: str) -> int:
    """Delete the rows of processes that are permanently gone from an address.

    Returns
    -------
    int
        Number of deleted rows.
    """
    holders = await read_holders(table, address)
    for stored in holders:
        await table.delete(stored.key, expected=stored.revision)
    return len(holders)


def _key_prefix(address: str) -> str:
    return f'{HOLDER_PREFIX}{address}/'


def _stored_holder(row: Row) -> StoredHolder:
    _, _, serial = row.key.rpartition('/')
    incarnation, _, _ = serial.partition('.')
    try:
        holder = msgspec.json.decode(row.body, type=HolderRow)
        return StoredHolder(row.key, row.revision, int(incarnation), holder)
    except (msgspec.DecodeError, ValueError) as error:
        message = f'{row.key} is not a holder row: {error}'
        raise DecodeError(message, step=Step.STORE) from error
