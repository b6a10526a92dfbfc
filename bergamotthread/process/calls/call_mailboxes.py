"""Delivery of messages from agents to the requests that wait for them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from bergamotthread.wire.messages import (
    CallOfferReply,
    CallReply,
    Envelope,
    Revoked,
)

OFFER_TICKET = 0

Mailbox = asyncio.Queue[Envelope]


class CallMailboxes:
    """Mailboxes by call and ticket.

    Several requests may wait for the same call and ticket; each has its own
    mailbox. Replies to offers use `OFFER_TICKET`.
    """

    def __init__(self) -> None:
        self._mailboxes_by_call: dict[tuple[str, int], list[Mailbox]] = {}

    def open(self, call: str, ticket: int) -> Mailbox:
        """Return a new mailbox for messages about a call's ticket."""
        mailbox: Mailbox = asyncio.Queue()
        self._mailboxes_by_call.setdefault((call, ticket), []).append(mailbox)
        return mailbox

    def close(self, call: str, ticket: int, mailbox: Mailbox) -> None:
        """Remove a mailbox."""
        mailboxes = self._mailboxes_by_call.get((call, ticket), [])
        if mailbox in mailboxes:
            mailboxes.remove(mailbox)
        if not mailboxes:
            self._mailboxes_by_call.pop((call, ticket), None)

    @contextmanager
    def opened(self, call: str, ticket: int) -> Iterator[Mailbox]:
        """Open a mailbox for the duration of a ``with`` block."""
        mailbox = self.open(call, ticket)
        try:
            yield mailbox
        finally:
            self.close(call, ticket, mailbox)

    def deliver(self, envelope: Envelope) -> bool:
        """Deliver a message; return whether it concerns calls.

        A `Revoked` may also concern a generation, so it counts only if a
        request waits for it.
        """
        match envelope.message:
            case CallOfferReply(call=call):
                self._put((call, OFFER_TICKET), envelope)
            case CallReply(call=call, attempt=ticket):
                self._put((call, ticket), envelope)
            case Revoked(generation=call, attempt=ticket):
                return self._put((call, ticket), envelope)
            case _:
                return False
        return True

    def _put(self, call_id: tuple[str, int], envelope: Envelope) -> bool:
        mailboxes = self._mailboxes_by_call.get(call_id, [])
        for mailbox in mailboxes:
            mailbox.put_nowait(envelope)
        return bool(mailboxes)
