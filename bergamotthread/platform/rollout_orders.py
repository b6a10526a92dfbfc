"""The operator's orders of roll-outs, as the store has them."""

from __future__ import annotations

from typing import Annotated

import msgspec

from bergamotthread.errors import BergamotError, Step
from bergamotthread.platform.store import StoredRow
from bergamotthread.platform.store_version import StoreVersion
from bergamotthread.platform.tables import NUMBER_BITS
from bergamotthread.process.rollouts.order import RolloutOrder

ROLLOUT_PREFIX = 'rollout/'
# Longer orders are cut to this, so that each roll-out ends.
ROLLOUT_DURATION_S_MAX = 86_400
# Largest length of a key of the store, which bounds the names in an order.
NAME_LENGTH_MAX = 200
_MS_PER_S = 1000

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=NAME_LENGTH_MAX)]


class RolloutOrderError(BergamotError):
    """A row is no order of a roll-out; the message says what was expected."""


class _OrderRow(msgspec.Struct, frozen=True):
    service: _Name
    target: _Name
    duration_s: Annotated[float, msgspec.Meta(gt=0)]


def rollout_key(service: str) -> str:
    """Return the key of a service's rows about roll-outs, in all tables."""
    return f'{ROLLOUT_PREFIX}{service}'


def order_number(version: StoreVersion) -> int:
    """Return a number that grows with each write, in all eras of the store."""
    return (version.era << NUMBER_BITS) | version.number


def decode_order(row: StoredRow) -> RolloutOrder:
    """Return the order in a row.

    Raises
    ------
    RolloutOrderError
        If the row has no valid form, or names another service than its key.
    """
    try:
        order = msgspec.json.decode(row.payload or b'', type=_OrderRow)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise RolloutOrderError(str(error), step=Step.ORDER) from error
    if rollout_key(order.service) != row.key:
        raise RolloutOrderError(
            f'service is {order.service!r}, expected that of key {row.key}',
            step=Step.ORDER,
        )
    return RolloutOrder(
        order.service,
        order_number(row.version),
        order.target,
        min(order.duration_s, ROLLOUT_DURATION_S_MAX) * _MS_PER_S,
    )


def is_same_content(order: RolloutOrder, other: RolloutOrder) -> bool:
    """Return whether two orders differ at most in their number."""
    return (order.service, order.target, order.duration_ms) == (
        other.service,
        other.target,
        other.duration_ms,
    )
