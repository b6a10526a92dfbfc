"""Narrow interface through which processes exchange messages."""

from __future__ import annotations

import abc
from collections.abc import Callable

from bergamotthread.wire.messages import Envelope, Message

Receiver = Callable[[Envelope], None]


class Transport(abc.ABC):
    """Sends messages to addresses and hands received ones to a receiver.

    Delivery is not guaranteed: a message may be lost, late or out of order.
    `receiver` is called on the loop's thread and must not block.
    """

    address: str
    incarnation: int

    @abc.abstractmethod
    def send(self, peer: str, message: Message) -> None:
        """Queue a message for `peer` (IP number and port); never blocks."""

    @abc.abstractmethod
    def start(self, receiver: Receiver) -> None:
        """Start to hand received envelopes to `receiver`."""

    @abc.abstractmethod
    def close(self) -> None:
        """Stop and release all connections."""
