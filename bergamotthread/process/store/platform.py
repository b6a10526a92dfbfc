"""Interfaces to the platform's table, object store and host list."""

from __future__ import annotations

import abc
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Row:
    """Row of the table; `revision` is positive and grows with each write."""

    key: str
    body: bytes
    revision: int


@dataclass
class StoreReturns:
    """Tells who must write rows again that the store came back older.

    Parameters
    ----------
    listeners
        Called when an answer shows that the store returned from a copy.
    """

    listeners: list[Callable[[], None]] = field(default_factory=list)

    def notify(self) -> None:
        """Call all listeners."""
        for listener in self.listeners:
            listener()


@dataclass(frozen=True)
class HostEntry:
    """Host in the platform's host list, which lags behind its real state."""

    address: str
    role: str
    region: str
    failure_domain: str
    leaving: bool = False


class Table(abc.ABC):
    """Transactional table with compare-and-set on one row.

    Every method raises `StoreUnavailableError` if no answer arrives in time; a
    write may have taken effect nevertheless.
    """

    @abc.abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return the row, or None if it does not exist."""

    @abc.abstractmethod
    async def write(self, key: str, body: bytes, *, expected: int) -> Row:
        """Write a row whose revision is `expected`; 0 creates the row.

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
    """Immutable objects by name; raises the same errors as `Table`."""

    @abc.abstractmethod
    async def put(self, name: str, body: bytes) -> None:
        """Store an object; storing the same body again is not an error."""

    @abc.abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""

    @abc.abstractmethod
    async def names(self, prefix: str, *, limit: int) -> tuple[str, ...]:
        """Return up to `limit` names that start with `prefix`, sorted."""


class HostList(abc.ABC):
    """The platform's list of live and leaving hosts, which lags behind."""

    @abc.abstractmethod
    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return all hosts that the platform lists."""
