"""Orders to the stand-ins of a soak, sent as lines to their standard input."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import AsyncIterator
from typing import TypeVar

import msgspec

_Order = TypeVar('_Order')


class StoreOrder(msgspec.Struct, frozen=True):
    """Sets a row of the store, or its faults from now on.

    Parameters
    ----------
    table, key, row
        Row to write, or to remove if `row` is ``None``. If `table` is empty,
        the order changes no row and sets the faults.
    status, late_ms, loses_answers
        See `StoreStandIn`.
    forgets
        Whether to drop the history of changes now; sets no other fault.
    restored_age_ms
        Age of the state to restore now, in ms; 0 for none. Sets no other fault.
    mark
        Name that the store writes with the time once the order is carried
        out; empty for no such line.
    """

    table: str = ''
    key: str = ''
    row: dict[str, object] | None = None
    status: int = 0
    late_ms: float = 0
    loses_answers: bool = False
    forgets: bool = False
    restored_age_ms: float = 0
    mark: str = ''


class RunnerOrder(msgspec.Struct, frozen=True):
    """Sets the behaviour of a runner from now on; see `RunnerScript`."""

    not_run: bool = False
    stalls_after: int | None = None
    comment: int = 0
    leaving: bool = False
    retry_after: str = ''
    request_limit: str = ''
    error_every: int = 0


def encode_order(order: StoreOrder | RunnerOrder) -> bytes:
    """Return an order as one line of JSON."""
    return b'%b\n' % msgspec.json.encode(order)


async def orders_of(kind: type[_Order]) -> AsyncIterator[_Order]:
    """Yield the orders read from standard input until it ends."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader),
        sys.stdin,
    )
    while line := await reader.readline():
        yield msgspec.json.decode(line, type=kind)
