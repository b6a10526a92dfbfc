"""Tickets by which an agent keeps its word that it never sends a call."""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass, field


class TicketState(enum.Enum):
    """What became of a ticket."""

    OPEN = 'open'
    USED = 'used'
    CLOSED = 'closed'


@dataclass
class TicketBook:
    """Tickets of one agent process, each good for one sending of one call.

    A call is sent only on an open ticket, and a ticket opens only when it is
    issued. So a ticket that was closed, forgotten or issued by an earlier
    process never sends anything again, however late its call arrives.

    Parameters
    ----------
    capacity
        Tickets that are remembered; the oldest is forgotten first.
    issued
        Number of the last ticket.
    """

    capacity: int = 10_000
    issued: int = 0
    _entries: OrderedDict[tuple[str, int], TicketState] = field(
        default_factory=OrderedDict,
    )

    def issue(self, call: str) -> int:
        """Open a ticket for a call and return its number."""
        self.issued += 1
        self._entries[(call, self.issued)] = TicketState.OPEN
        if len(self._entries) > self.capacity:
            self._entries.popitem(last=False)
        return self.issued

    def use(self, call: str, ticket: int) -> bool:
        """Return whether the call may be sent now; the ticket is then used."""
        if self._entries.get((call, ticket)) is not TicketState.OPEN:
            return False
        self._entries[(call, ticket)] = TicketState.USED
        return True

    def close(self, call: str, ticket: int) -> bool:
        """Close a ticket; return whether it certainly never sent anything."""
        state = self._entries.get((call, ticket))
        if state is TicketState.OPEN:
            self._entries[(call, ticket)] = TicketState.CLOSED
        return state in {TicketState.OPEN, TicketState.CLOSED}

    def close_unsent(self, call: str, ticket: int) -> None:
        """Close a used ticket whose call did not reach the upstream."""
        if self._entries.get((call, ticket)) is TicketState.USED:
            self._entries[(call, ticket)] = TicketState.CLOSED

    def snapshot(self) -> tuple[tuple[str, int, TicketState], ...]:
        """Return all remembered tickets, oldest first."""
        return tuple(
            (call, ticket, state)
            for (call, ticket), state in self._entries.items()
        )

    def restore(
        self,
        tickets: tuple[tuple[str, int, TicketState], ...],
    ) -> None:
        """Remember the tickets of a snapshot."""
        for call, ticket, state in tickets:
            self._entries[(call, ticket)] = state
