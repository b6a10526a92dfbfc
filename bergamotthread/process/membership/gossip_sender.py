"""Sending of probes with the member records that fit the byte budget."""

from __future__ import annotations

from collections.abc import Callable

from bergamotthread.clock import Clock
from bergamotthread.connection.transport import Transport
from bergamotthread.process.membership.gossip_queue import (
    GossipQueue,
    record_bytes,
)
from bergamotthread.process.membership.member_table import MemberTable
from bergamotthread.process.overload.byte_budget import ByteBudget
from bergamotthread.wire.messages import (
    Member,
    MemberState,
    Probe,
    ProbeReply,
    ProbeRequest,
)

GOSSIP_BYTES_PER_S = 4096
GOSSIP_BURST_BYTES = 8192
GOSSIP_MESSAGE_BYTES = 100
RECORDS_PER_MESSAGE = 16
ROTATED_RECORDS = 2


class GossipSender:
    """Sends membership messages within a byte budget.

    Each probe and reply carries the own record and the receiver's record if the
    receiver has to refute it. As far as the budget allows, it also carries the
    least often sent changes, and two records in rotation, so that views that
    have diverged converge again.

    Parameters
    ----------
    transport
        Sends the messages.
    clock
        Clock of the process.
    table
        Records of the members.
    config_version
        Returns the configuration version in force.
    """

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        table: MemberTable,
        config_version: Callable[[], int],
    ) -> None:
        self.unsent = 0
        self._transport = transport
        self._clock = clock
        self._table = table
        self._config_version = config_version
        self._queue = GossipQueue()
        self._budget = ByteBudget(
            GOSSIP_BYTES_PER_S, GOSSIP_BURST_BYTES, clock.now_ms()
        )
        self._rotation: list[str] = []

    def push(self, member: Member) -> None:
        """Queue a change for the next messages."""
        self._queue.push(member)

    def send_probe(self, peer: str, sequence: int) -> None:
        """Send a probe, unless the budget is spent."""
        members = self._records_for(peer)
        if members:
            version = self._config_version()
            self._transport.send(peer, Probe(sequence, members, version))

    def send_reply(self, peer: str, sequence: int) -> None:
        """Send the reply to a probe, unless the budget is spent."""
        members = self._records_for(peer)
        if members:
            version = self._config_version()
            self._transport.send(peer, ProbeReply(sequence, members, version))

    def send_request(self, peer: str, sequence: int, target: str) -> None:
        """Ask `peer` to probe `target`, unless the budget is spent."""
        if self._budget.try_spend(GOSSIP_MESSAGE_BYTES, self._clock.now_ms()):
            self._transport.send(peer, ProbeRequest(sequence, target))
        else:
            self.unsent += 1

    def _records_for(self, peer: str) -> tuple[Member, ...]:
        """Return the records of one message, empty if it may not be sent."""
        now_ms = self._clock.now_ms()
        required = self._required_records(peer)
        byte_count = GOSSIP_MESSAGE_BYTES + sum(map(record_bytes, required))
        if not self._budget.try_spend(byte_count, now_ms):
            self.unsent += 1
            return ()
        changes = self._queue.take(
            self._budget.available(now_ms) / 2,
            RECORDS_PER_MESSAGE,
            self._table.count,
        )
        self._budget.try_spend(sum(map(record_bytes, changes)), now_ms)
        refreshed = [
            member
            for member in self._rotated_records()
            if self._budget.try_spend(record_bytes(member), now_ms)
        ]
        return (*required, *changes, *refreshed)

    def _required_records(self, peer: str) -> tuple[Member, ...]:
        own = self._table.own
        member = self._table.get(peer)
        if member is None or member.state is MemberState.ALIVE:
            return (own,)
        return (own, member)

    def _rotated_records(self) -> tuple[Member, ...]:
        if len(self._rotation) < ROTATED_RECORDS:
            self._rotation = [
                member.address
                for member in self._table.others()
                if member.state is not MemberState.DEAD
            ]
        return tuple(
            self._table.get(self._rotation.pop()) or self._table.own
            for _ in range(min(ROTATED_RECORDS, len(self._rotation)))
        )
