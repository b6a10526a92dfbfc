"""Orders that a soak sends to its stand-ins, as lines on standard input."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import AsyncIterator
from typing import TypeVar

import msgspec

_Order = TypeVar('_Order')


class StoreOrder(msgspec.Struct, frozen=True):
    """What the store does from now on.

    Parameters
    ----------
    table, key, row
        A row to write, or to remove where `row` is none; no row if the table
        is empty.
    status, late_ms, loses_answers
        As `StoreStandIn` has them.
    forgets
        Whether the history is dropped now.
    mark
        Told back with the time once the order is carried out.
    """

    table: str = ''
    key: str = ''
    row: dict[str, object] | None = None
    status: int = 0
    late_ms: float = 0
    loses_answers: bool = False
    forgets: bool = False
    mark: str = ''


class RunnerOrder(msgspec.Struct, frozen=True):
    """How a runner behaves from now on, as `RunnerScript` has it."""

    not_run: bool = False
    stalls_after: int | None = None
    comment: int = 0


def encode_order(order: StoreOrder | RunnerOrder) -> bytes:
    """Return the line of an order."""
    return b'%b\n' % msgspec.json.encode(order)


async def orders_of(kind: type[_Order]) -> AsyncIterator[_Order]:
    """Yield the orders on standard input until it ends."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader),
        sys.stdin,
    )
    while line := await reader.readline():
        yield msgspec.json.decode(line, type=kind)
