"""Narrow interfaces to the platform's table, object store and host list."""

from __future__ import annotations

import abc
from dataclasses import dataclass


@dataclass(frozen=True)
class Row:
    """One row of the table; `revision` is above 0 and rises by each write."""

    key: str
    body: bytes
    revision: int


@dataclass(frozen=True)
class HostEntry:
    """One host as the platform's lagging list shows it."""

    address: str
    role: str
    region: str
    failure_domain: str
    leaving: bool = False


class Table(abc.ABC):
    """Transactional table with compare-and-set on one row.

    Every method raises `StoreUnavailableError` when no answer came in time;
    a write may then have taken effect.
    """

    @abc.abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return the row, or None where there is none."""

    @abc.abstractmethod
    async def write(self, key: str, body: bytes, *, expected: int) -> Row:
        """Write a row whose revision is `expected` (0: no row yet).

        Raises
        ------
        StoreConflictError
            If the row has another revision; nothing was written.
        """

    @abc.abstractmethod
    async def delete(self, key: str, *, expected: int) -> None:
        """Delete a row whose revision is `expected`."""

    @abc.abstractmethod
    async def scan(self, prefix: str, *, limit: int) -> tuple[Row, ...]:
        """Return up to `limit` rows whose keys start with `prefix`."""


class ObjectStore(abc.ABC):
    """Immutable objects by name; the same errors as `Table`."""

    @abc.abstractmethod
    async def put(self, name: str, body: bytes) -> None:
        """Store an object; the same name and body again is no error."""

    @abc.abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object, or None where there is none."""

    @abc.abstractmethod
    async def names(self, prefix: str, *, limit: int) -> tuple[str, ...]:
        """Return up to `limit` names that start with `prefix`, sorted."""


class HostList(abc.ABC):
    """The platform's lagging list of live and leaving hosts."""

    @abc.abstractmethod
    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return all hosts that the platform lists."""
