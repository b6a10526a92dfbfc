"""Tickets with which an agent can guarantee that a call was never sent."""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass, field


class TicketState(enum.Enum):
    """State of a ticket.

    `OPEN` permits one sending, `USED` means that the call may have been sent,
    `CLOSED` that it was not and will not be.
    """

    OPEN = 'open'
    USED = 'used'
    CLOSED = 'closed'


@dataclass
class TicketBook:
    """Tickets of one agent process; each permits sending one call once.

    A call is sent only with an open ticket, and only `issue` opens tickets. A
    ticket that was closed, evicted or issued by an earlier process therefore
    never permits a sending, no matter how late its call arrives.

    Parameters
    ----------
    capacity
        Maximum number of tickets kept; the oldest is evicted first.
    issued
        Number of the last ticket issued.
    """

    capacity: int = 10_000
    issued: int = 0
    _state_by_ticket: OrderedDict[tuple[str, int], TicketState] = field(
        default_factory=OrderedDict,
    )

    def issue(self, call: str) -> int:
        """Open a ticket for a call and return its number."""
        self.issued += 1
        self._state_by_ticket[(call, self.issued)] = TicketState.OPEN
        if len(self._state_by_ticket) > self.capacity:
            self._state_by_ticket.popitem(last=False)
        return self.issued

    def use(self, call: str, ticket: int) -> bool:
        """Mark an open ticket as used; return whether the call may be sent."""
        if self._state_by_ticket.get((call, ticket)) is not TicketState.OPEN:
            return False
        self._state_by_ticket[(call, ticket)] = TicketState.USED
        return True

    def close(self, call: str, ticket: int) -> bool:
        """Close a ticket unless used; return whether its call is unsent.

        The result is False for a ticket that is not known, since its call may
        have been sent.
        """
        state = self._state_by_ticket.get((call, ticket))
        if state is TicketState.OPEN:
            self._state_by_ticket[(call, ticket)] = TicketState.CLOSED
        return state in {TicketState.OPEN, TicketState.CLOSED}

    def close_unsent(self, call: str, ticket: int) -> None:
        """Close a used ticket because its call did not reach the upstream."""
        if self._state_by_ticket.get((call, ticket)) is TicketState.USED:
            self._state_by_ticket[(call, ticket)] = TicketState.CLOSED

    def snapshot(self) -> tuple[tuple[str, int, TicketState], ...]:
        """Return all tickets kept, oldest first."""
        return tuple(
            (call, ticket, state)
            for (call, ticket), state in self._state_by_ticket.items()
        )

    def restore(
        self,
        tickets: tuple[tuple[str, int, TicketState], ...],
    ) -> None:
        """Add the tickets of a snapshot."""
        for call, ticket, state in tickets:
            self._state_by_ticket[(call, ticket)] = state
