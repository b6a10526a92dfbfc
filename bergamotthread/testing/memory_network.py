"""Transport in memory with delay, loss and partitions, for tests."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from bergamotthread.connection.transport import Receiver, Transport
from bergamotthread.wire.codec import decode_envelope, encode_envelope
from bergamotthread.wire.messages import Envelope, Message

_MS_PER_S = 1000


@dataclass
class MemoryNetwork:
    """Links between `MemoryTransport` ends.

    Parameters
    ----------
    delay_ms
        One-way delay of every link that `delay_ms_by_link` does not contain.
    jitter_ms
        Maximum extra delay, drawn uniformly; messages can be reordered.
    loss
        Fraction of messages that are lost, 0 to 1.
    duplication
        Fraction of messages that are delivered twice, 0 to 1.
    """

    delay_ms: float = 1
    jitter_ms: float = 0
    loss: float = 0
    duplication: float = 0
    seed: int = 0
    cut_links: set[tuple[str, str]] = field(default_factory=set)
    delay_ms_by_link: dict[tuple[str, str], float] = field(default_factory=dict)
    ends_by_address: dict[str, MemoryTransport] = field(default_factory=dict)
    bytes_by_sender: dict[str, int] = field(default_factory=dict)
    bytes_by_link: Counter[tuple[str, str]] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def transport(self, address: str, incarnation: int = 1) -> MemoryTransport:
        """Return a new end at `address`, which replaces any earlier one."""
        end = MemoryTransport(self, address, incarnation)
        self.ends_by_address[address] = end
        return end

    def cut(self, sender: str, receiver: str) -> None:
        """Drop all messages from `sender` to `receiver`."""
        self.cut_links.add((sender, receiver))

    def cut_both(self, one: str, other: str) -> None:
        """Drop all messages between two ends."""
        self.cut(one, other)
        self.cut(other, one)

    def heal(self) -> None:
        """Restore all links."""
        self.cut_links.clear()

    def carry(self, sender: str, receiver: str, encoded: bytes) -> None:
        """Deliver bytes after the delay of the link, unless they are lost."""
        total = self.bytes_by_sender.get(sender, 0)
        self.bytes_by_sender[sender] = total + len(encoded)
        self.bytes_by_link[sender, receiver] += len(encoded)
        if (sender, receiver) in self.cut_links:
            return
        if self._random.random() < self.loss:
            return
        copies = 2 if self._random.random() < self.duplication else 1
        for _ in range(copies):
            self._schedule(sender, receiver, encoded)

    def _schedule(self, sender: str, receiver: str, encoded: bytes) -> None:
        link = (sender, receiver)
        delay_ms = self.delay_ms_by_link.get(link, self.delay_ms)
        delay_ms += self._random.random() * self.jitter_ms
        asyncio.get_running_loop().call_later(
            delay_ms / _MS_PER_S,
            self._deliver,
            receiver,
            encoded,
        )

    def _deliver(self, receiver: str, encoded: bytes) -> None:
        end = self.ends_by_address.get(receiver)
        if end is not None:
            end.deliver(encoded)


class MemoryTransport(Transport):
    """One end of a `MemoryNetwork`; messages are encoded and decoded."""

    def __init__(
        self,
        network: MemoryNetwork,
        address: str,
        incarnation: int,
    ) -> None:
        self.address = address
        self.incarnation = incarnation
        self._network = network
        self._receiver: Receiver | None = None

    def send(self, peer: str, message: Message) -> None:
        """Pass the encoded message to the network unless this end is closed."""
        if self._network.ends_by_address.get(self.address) is not self:
            return
        envelope = Envelope(self.address, self.incarnation, message)
        self._network.carry(self.address, peer, encode_envelope(envelope))

    def start(self, receiver: Receiver) -> None:
        """Start passing received envelopes to `receiver`."""
        self._receiver = receiver

    def deliver(self, encoded: bytes) -> None:
        """Decode received bytes and pass the envelope to the receiver."""
        if self._receiver is not None:
            self._receiver(decode_envelope(encoded))

    def close(self) -> None:
        """Remove this end from the network."""
        self._receiver = None
        if self._network.ends_by_address.get(self.address) is self:
            self._network.ends_by_address.pop(self.address)
