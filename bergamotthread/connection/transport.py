"""Interface through which processes exchange messages."""

from __future__ import annotations

import abc
from collections.abc import Callable

from bergamotthread.wire.messages import Envelope, Message

Receiver = Callable[[Envelope], None]


class Transport(abc.ABC):
    """Sends messages to addresses and passes received ones to a callback.

    Delivery is not guaranteed: a message may be lost, late or out of order.
    The callback runs on the event loop's thread and must not block.
    """

    address: str
    incarnation: int

    @abc.abstractmethod
    def send(self, peer: str, message: Message) -> None:
        """Queue a message for `peer` (IP address and port); never blocks."""

    @abc.abstractmethod
    def start(self, receiver: Receiver) -> None:
        """Start passing received envelopes to `receiver`."""

    @abc.abstractmethod
    def close(self) -> None:
        """Stop and release all connections."""
