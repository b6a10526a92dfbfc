"""Selection of the member records that a probe carries."""

from __future__ import annotations

import heapq
import math

import msgspec

from bergamotthread.wire.messages import Member

RETRANSMIT_FACTOR = 2

_encoder = msgspec.msgpack.Encoder()


def record_bytes(member: Member) -> int:
    """Return the encoded size of a record."""
    return len(_encoder.encode(member))


class _Change(msgspec.Struct):
    member: Member
    byte_count: int
    sent: int = 0


class GossipQueue:
    """Recent changes of members that are to be propagated.

    Each change is sent a number of times that grows with log2 of the number of
    members.
    """

    def __init__(self) -> None:
        self._change_by_address: dict[str, _Change] = {}

    def __len__(self) -> int:
        return len(self._change_by_address)

    def push(self, member: Member) -> None:
        """Add a change; it replaces an earlier one of the same member."""
        change = _Change(member, record_bytes(member))
        self._change_by_address[member.address] = change

    def take(
        self,
        max_bytes: float,
        max_records: int,
        member_count: int,
    ) -> tuple[Member, ...]:
        """Return the least often sent changes that fit, and count them."""
        sends_max = RETRANSMIT_FACTOR * math.ceil(math.log2(member_count + 2))
        chosen = []
        candidates = heapq.nsmallest(
            max_records,
            self._change_by_address.values(),
            key=lambda change: change.sent,
        )
        for change in candidates:
            max_bytes -= change.byte_count
            if max_bytes < 0:
                break
            chosen.append(change.member)
            change.sent += 1
            if change.sent >= sends_max:
                self._change_by_address.pop(change.member.address)
        return tuple(chosen)
